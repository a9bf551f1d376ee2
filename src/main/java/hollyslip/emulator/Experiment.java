package hollyslip.emulator;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import hollyslip.audit.RequestRecord;
import hollyslip.load.Scenario;
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
    boolean matches(Map<String, String> otherPoint, long otherSeed, String dayText) {
      return point.equals(otherPoint) && seed == otherSeed && day.equals(dayText);
    }
  }

  /** Measures of a run, by name. */
  public static final Map<String, ToDoubleFunction<Run>> MEASURES = measures();

  private final String scenarioTemplate;
  private final int seeds;
  private final Map<String, List<String>> sweeps;
  /** Values of further names that a value of a sweep sets as well, by {@code name=value}. */
  private final Map<String, Map<String, String>> linkedValues;

  private Experiment(String scenarioTemplate, int seeds, Map<String, List<String>> sweeps,
      Map<String, Map<String, String>> linkedValues) {
    this.linkedValues = linkedValues;
    this.scenarioTemplate = scenarioTemplate;
    this.seeds = seeds;
    this.sweeps = sweeps;
  }

  private static Map<String, ToDoubleFunction<Run>> measures() {
    Map<String, ToDoubleFunction<Run>> measures = new LinkedHashMap<>();
    measures.put("in aim %", run -> 100 * run.inAim());
    measures.put("served %", run -> 100 * run.served());
    measures.put("refused %", run -> 100 * run.refused());
    measures.put("p50 ms", run -> run.p50() / 1e3);
    measures.put("p99 ms", run -> run.p99() / 1e3);
    measures.put("p99.9 ms", run -> run.p999() / 1e3);
    return measures;
  }

  /** Reads an experiment and its day file.
   *
   * @throws IllegalArgumentException
   *           if either is invalid; the message names file and line, or the point of the sweep */
  public static Experiment read(Path file) throws IOException {
    JsonNode declared;
    try {
      Script script = Script.run(file, FUNCTIONS);
      declared = script.declarations();
    } catch (ScriptError e) {
      throw new IllegalArgumentException(e.text());
    }
    if (declared.path("experiment").size() != 1) {
      throw new IllegalArgumentException(file + ": experiment(...) must occur exactly once");
    }
    JsonNode declaration = declared.get("experiment").get(0);
    int seeds = declaration.path("seeds").asInt(8);
    if (!declaration.path("day").isTextual() || seeds < 1 || seeds > 10_000) {
      throw new IllegalArgumentException(file + ": experiment: needs a day and between 1 and 10,000 seeds");
    }
    Map<String, List<String>> sweeps = new LinkedHashMap<>();
    Map<String, Map<String, String>> linked = new LinkedHashMap<>();
    for (JsonNode sweep : declared.path("sweep")) {
      List<String> values = new ArrayList<>();
      String name = sweep.path("name").asText();
      for (JsonNode value : sweep.path("values")) {
        // A dict sets several names at once: the entry under the swept name is the value, the others go
        // with it.
        values.add(value.isObject() ? value.path(name).asText() : value.asText());
        value.fields()
            .forEachRemaining(entry -> linked.computeIfAbsent(name + "=" + values.get(values.size() - 1),
                k -> new LinkedHashMap<>()).put(entry.getKey(), entry.getValue().asText()));
      }
      if (!sweep.path("name").isTextual() || values.isEmpty()) {
        throw new IllegalArgumentException(file + ": sweep: needs a name and values");
      }
      sweeps.put(sweep.get("name").asText(), values);
    }
    String text = Files.readString(file.toAbsolutePath().resolveSibling(declaration.get("day").asText()));
    Experiment experiment = new Experiment(text, seeds, sweeps, linked);
    for (Map<String, String> point : experiment.points()) {
      try {
        experiment.scenario(point, 0);
      } catch (IllegalArgumentException invalid) {
        throw new IllegalArgumentException(declaration.get("day").asText() + " at " + point + ": " + invalid
            .getMessage());
      }
    }
    return experiment;
  }

  /** Names of the sweeps, in order. */
  public List<String> sweepNames() {
    return List.copyOf(sweeps.keySet());
  }

  /** All points of the sweep; the last name varies fastest. */
  public List<Map<String, String>> points() {
    List<Map<String, String>> all = List.of(Map.of());
    for (Map.Entry<String, List<String>> sweep : sweeps.entrySet()) {
      List<Map<String, String>> next = new ArrayList<>();
      for (Map<String, String> point : all) {
        for (String value : sweep.getValue()) {
          Map<String, String> extended = new LinkedHashMap<>(point);
          extended.put(sweep.getKey(), value);
          next.add(extended);
        }
      }
      all = next;
    }
    return all;
  }

  private String scenarioText(Map<String, String> point) {
    Map<String, String> all = new LinkedHashMap<>();
    point.forEach((name, value) -> all.putAll(linkedValues.getOrDefault(name + "=" + value, Map.of())));
    all.putAll(point);
    Matcher matcher = PLACEHOLDER.matcher(scenarioTemplate);
    StringBuilder out = new StringBuilder();
    while (matcher.find()) {
      String value = all.get(matcher.group(1));
      if (value == null) {
        throw new IllegalArgumentException("$" + matcher.group(1) + " is not swept");
      }
      matcher.appendReplacement(out, Matcher.quoteReplacement(value));
    }
    return matcher.appendTail(out).toString();
  }

  private Scenario scenario(Map<String, String> point, long seed) {
    return Scenario.parse(scenarioText(point)).with(seed);
  }

  /** Runs what is not stored yet on the given number of threads, and returns all runs of this experiment.
   *
   * @param runsFile
   *          file of stored runs; created if absent
   * @param progress
   *          called for each new run */
  public List<Run> run(Path runsFile, int threads, Consumer<Run> progress) throws IOException,
      InterruptedException {
    List<Run> stored = Files.exists(runsFile) ? readRuns(runsFile) : List.of();
    List<Run> done = new ArrayList<>();
    ForkJoinPool pool = new ForkJoinPool(threads);
    try (Writer out = Files.newBufferedWriter(runsFile, StandardCharsets.UTF_8, StandardOpenOption.CREATE,
        StandardOpenOption.APPEND)) {
      List<java.util.concurrent.Future<Run>> running = new ArrayList<>();
      for (Map<String, String> point : points()) {
        for (long seed = 1; seed <= seeds; seed++) {
          long runSeed = seed;
          String dayText = scenarioText(point);
          stored.stream()
              .filter(run -> run.matches(point, runSeed, dayText))
              .findFirst()
              .ifPresentOrElse(done::add, () -> running.add(pool
                  .submit(() -> appendRun(out, play(point, runSeed, dayText)))));
        }
      }
      for (var future : running) {
        Run run = future.get();
        done.add(run);
        progress.accept(run);
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
  private static List<Run> readRuns(Path runsFile) throws IOException {
    String text = Files.readString(runsFile);
    int completeLength = text.lastIndexOf('\n') + 1;
    if (completeLength < text.length()) {
      Files.writeString(runsFile, text.substring(0, completeLength));
    }
    List<Run> all = new ArrayList<>();
    for (String line : text.substring(0, completeLength).lines().toList()) {
      try {
        all.add(JSON.readValue(line, Run.class));
      } catch (IOException e) {
        throw new IOException(runsFile + ": line " + (all.size() + 1) + " is not a valid run: " + e
            .getMessage(),
            e);
      }
    }
    return all;
  }

  private static Run appendRun(Writer out, Run run) throws IOException {
    String line = JSON.writeValueAsString(run) + "\n";
    synchronized (out) {
      out.write(line);
      out.flush();
    }
    return run;
  }

  private Run play(Map<String, String> point, long seed, String dayText) {
    EmulationResult result = Emulation.play(scenario(point, seed));
    EmulationResult.Tally tally = result.all();
    double requests = Math.max(1, tally.asked());
    return new Run(point, seed, dayText, tally.inAim(), tally.count(RequestRecord.Answer.SERVED) / requests,
        tally
            .count(RequestRecord.Answer.REFUSED)
            / requests, tally
                .count(RequestRecord.Answer.FAILED) / requests, tally.latency().getValueAtPercentile(50),
        tally.latency()
            .getValueAtPercentile(99), tally
                .latency()
                .getValueAtPercentile(99.9), result.eventCount(), result.audit()
                    .breaches()
                    .stream()
                    .map(breach -> breach.rule().name())
                    .distinct()
                    .sorted()
                    .toList());
  }

  /** Runs at one point, ordered by seed. */
  public static List<Run> runsAt(List<Run> runs, Map<String, String> point) {
    Map<Long, Run> bySeed = new TreeMap<>();
    runs.stream().filter(run -> run.point().equals(point)).forEach(run -> bySeed.put(run.seed(), run));
    return List.copyOf(bySeed.values());
  }
}
