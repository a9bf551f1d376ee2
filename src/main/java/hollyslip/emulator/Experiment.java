package hollyslip.emulator;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import hollyslip.audit.Asked;
import hollyslip.load.Day;
import hollyslip.settings.Script;
import hollyslip.settings.ScriptError;
import java.io.IOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ForkJoinPool;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Runs a scenario in the emulator repeatedly: for each point of a parameter sweep, on the same seeds.
 * Completed runs are stored in {@code runs.jsonl}, so that an interrupted experiment can be resumed.
 * <p>
 * The file is a script like the settings (docs/settings.md): {@code experiment(day = "x.day", seeds = 8)} and
 * {@code sweep("name", [...])}; in the text of the day file {@code $name} is replaced by the value. */
public final class Experiment {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final List<String> FUNCTIONS = List.of("experiment", "sweep");
  private static final Pattern PLACEHOLDER = Pattern.compile("\\$([A-Za-z][A-Za-z0-9_]*)");

  /** One run as it is stored; latencies in us. */
  public record Run(Map<String, String> point, long seed, String day, double inAim, double served,
      double refused,
      double failed, double p50, double p99, double p999, @JsonProperty("happenings") long eventCount,
      List<String> broken) {
    boolean matches(Map<String, String> p, long s, String text) {
      return point.equals(p) && seed == s && day.equals(text);
    }
  }

  /** Measures of a run, by name. */
  public static final Map<String, ToDoubleFunction<Run>> FIGURES = measures();

  private final String scenarioTemplate;
  private final int seeds;
  private final Map<String, List<String>> sweeps;
  /** Values of further names that a value of a sweep sets as well, by {@code name=value}. */
  private final Map<String, Map<String, String>> linkedValues;

  private Experiment(String text, int seeds, Map<String, List<String>> sweeps,
      Map<String, Map<String, String>> linked) {
    this.linkedValues = linked;
    this.scenarioTemplate = text;
    this.seeds = seeds;
    this.sweeps = sweeps;
  }

  private static Map<String, ToDoubleFunction<Run>> measures() {
    Map<String, ToDoubleFunction<Run>> f = new LinkedHashMap<>();
    f.put("in aim %", r -> 100 * r.inAim());
    f.put("served %", r -> 100 * r.served());
    f.put("refused %", r -> 100 * r.refused());
    f.put("p50 ms", r -> r.p50() / 1e3);
    f.put("p99 ms", r -> r.p99() / 1e3);
    f.put("p99.9 ms", r -> r.p999() / 1e3);
    return f;
  }

  /** Reads an experiment and its day file.
   *
   * @throws IllegalArgumentException
   *           if either is invalid; the message names file and line, or the point of the sweep */
  public static Experiment read(Path file) throws IOException {
    JsonNode said;
    try {
      Script script = Script.run(file, FUNCTIONS);
      said = script.declared();
    } catch (ScriptError e) {
      throw new IllegalArgumentException(e.text());
    }
    if (said.path("experiment").size() != 1) {
      throw new IllegalArgumentException(file + ": experiment(...) must occur exactly once");
    }
    JsonNode e = said.get("experiment").get(0);
    int seeds = e.path("seeds").asInt(8);
    if (!e.path("day").isTextual() || seeds < 1 || seeds > 10_000) {
      throw new IllegalArgumentException(file + ": experiment: needs a day and between 1 and 10,000 seeds");
    }
    Map<String, List<String>> sweeps = new LinkedHashMap<>();
    Map<String, Map<String, String>> linked = new LinkedHashMap<>();
    for (JsonNode s : said.path("sweep")) {
      List<String> values = new ArrayList<>();
      String name = s.path("name").asText();
      for (JsonNode v : s.path("values")) {
        // A dict sets several names at once: the entry under the swept name is the value, the others go
        // with it.
        values.add(v.isObject() ? v.path(name).asText() : v.asText());
        v.fields()
            .forEachRemaining(f -> linked.computeIfAbsent(name + "=" + values.get(values.size() - 1),
                k -> new LinkedHashMap<>()).put(f.getKey(), f.getValue().asText()));
      }
      if (!s.path("name").isTextual() || values.isEmpty()) {
        throw new IllegalArgumentException(file + ": sweep: needs a name and values");
      }
      sweeps.put(s.get("name").asText(), values);
    }
    String text = Files.readString(file.toAbsolutePath().resolveSibling(e.get("day").asText()));
    Experiment x = new Experiment(text, seeds, sweeps, linked);
    for (Map<String, String> p : x.points()) {
      try {
        x.scenario(p, 0);
      } catch (IllegalArgumentException wrong) {
        throw new IllegalArgumentException(e.get("day").asText() + " at " + p + ": " + wrong.getMessage());
      }
    }
    return x;
  }

  /** Names of the sweeps, in order. */
  public List<String> names() {
    return List.copyOf(sweeps.keySet());
  }

  /** All points of the sweep; the last name varies fastest. */
  public List<Map<String, String>> points() {
    List<Map<String, String>> all = List.of(Map.of());
    for (Map.Entry<String, List<String>> s : sweeps.entrySet()) {
      List<Map<String, String>> next = new ArrayList<>();
      for (Map<String, String> p : all) {
        for (String v : s.getValue()) {
          Map<String, String> q = new LinkedHashMap<>(p);
          q.put(s.getKey(), v);
          next.add(q);
        }
      }
      all = next;
    }
    return all;
  }

  private String scenarioText(Map<String, String> point) {
    Map<String, String> all = new LinkedHashMap<>();
    point.forEach((k, v) -> all.putAll(linkedValues.getOrDefault(k + "=" + v, Map.of())));
    all.putAll(point);
    Matcher m = PLACEHOLDER.matcher(scenarioTemplate);
    StringBuilder out = new StringBuilder();
    while (m.find()) {
      String v = all.get(m.group(1));
      if (v == null) {
        throw new IllegalArgumentException("$" + m.group(1) + " is not swept");
      }
      m.appendReplacement(out, Matcher.quoteReplacement(v));
    }
    return m.appendTail(out).toString();
  }

  private Day scenario(Map<String, String> point, long seed) {
    return Day.parse(scenarioText(point)).with(seed);
  }

  /** Runs what is not stored yet on the given number of threads, and returns all runs of this experiment.
   *
   * @param kept
   *          file of stored runs; created if absent
   * @param progress
   *          called for each new run */
  public List<Run> run(Path kept, int threads, Consumer<Run> progress) throws IOException,
      InterruptedException {
    List<Run> before = Files.exists(kept) ? readRuns(kept) : List.of();
    List<Run> done = new ArrayList<>();
    ForkJoinPool pool = new ForkJoinPool(threads);
    try (Writer out = Files.newBufferedWriter(kept, StandardCharsets.UTF_8, StandardOpenOption.CREATE,
        StandardOpenOption.APPEND)) {
      List<java.util.concurrent.Future<Run>> running = new ArrayList<>();
      for (Map<String, String> p : points()) {
        for (long seed = 1; seed <= seeds; seed++) {
          long s = seed;
          String t = scenarioText(p);
          before.stream()
              .filter(r -> r.matches(p, s, t))
              .findFirst()
              .ifPresentOrElse(done::add, () -> running.add(pool
                  .submit(() -> appendRun(out, play(p, s, t)))));
        }
      }
      for (var f : running) {
        Run r = f.get();
        done.add(r);
        progress.accept(r);
      }
    } catch (ExecutionException e) {
      throw new IOException(e.getCause());
    } finally {
      pool.shutdownNow();
    }
    return done;
  }

  /** Reads the stored runs. An interruption may have truncated the last line. Only that line is dropped, and
   * also removed from the file, because the next run would be appended to it and be lost too.
   *
   * @throws IOException
   *           if another line cannot be read; the message names it */
  private static List<Run> readRuns(Path kept) throws IOException {
    String text = Files.readString(kept);
    int whole = text.lastIndexOf('\n') + 1;
    if (whole < text.length()) {
      Files.writeString(kept, text.substring(0, whole));
    }
    List<Run> all = new ArrayList<>();
    for (String line : text.substring(0, whole).lines().toList()) {
      try {
        all.add(JSON.readValue(line, Run.class));
      } catch (IOException e) {
        throw new IOException(kept + ": line " + (all.size() + 1) + " is not a valid run: " + e.getMessage(),
            e);
      }
    }
    return all;
  }

  private static Run appendRun(Writer out, Run r) throws IOException {
    String line = JSON.writeValueAsString(r) + "\n";
    synchronized (out) {
      out.write(line);
      out.flush();
    }
    return r;
  }

  private Run play(Map<String, String> point, long seed, String of) {
    Outcome o = World.play(scenario(point, seed));
    Outcome.Tally t = o.all();
    double n = Math.max(1, t.asked());
    return new Run(point, seed, of, t.inAim(), t.count(Asked.Answer.SERVED) / n, t.count(Asked.Answer.REFUSED)
        / n, t
            .count(Asked.Answer.FAILED) / n, t.latency().getValueAtPercentile(50), t.latency()
                .getValueAtPercentile(99), t
                    .latency()
                    .getValueAtPercentile(99.9), o.happenings(), o.audit()
                        .breaches()
                        .stream()
                        .map(b -> b.rule().name())
                        .distinct()
                        .sorted()
                        .toList());
  }

  /** Runs at one point, ordered by seed. */
  public static List<Run> of(List<Run> runs, Map<String, String> point) {
    Map<Long, Run> bySeed = new TreeMap<>();
    runs.stream().filter(r -> r.point().equals(point)).forEach(r -> bySeed.put(r.seed(), r));
    return List.copyOf(bySeed.values());
  }
}
