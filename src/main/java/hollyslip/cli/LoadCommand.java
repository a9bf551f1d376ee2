package hollyslip.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import hollyslip.emulator.Outcome;
import hollyslip.emulator.World;
import hollyslip.load.Day;
import hollyslip.load.LatencyLog;
import hollyslip.load.LoadRun;
import hollyslip.load.Stage;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Load on a schedule, and what became of it. */
@Command(name = "load", mixinStandardHelpOptions = true, description = "Load that does not wait for answers, and its figures.", subcommands = {
    LoadCommand.Run.class, LoadCommand.Report.class, LoadCommand.Compare.class, LoadCommand.Forecast.class})
final class LoadCommand implements Callable<Integer> {
  static final double[] PERCENTILES = {50, 90, 99, 99.9, 100};
  private static final ObjectMapper JSON = new ObjectMapper();

  @Override
  public Integer call() {
    picocli.CommandLine.usage(this, System.err);
    return Main.EXIT_USAGE;
  }

  /** Plays the volumes of a day file. */
  @Command(name = "run", mixinStandardHelpOptions = true, description = "Plays the volumes of a day file (docs/load.md) against gateways that run; its troubles are not played. Ends with 1 if the generator was too late for its figures to count.")
  static final class Run implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "day file")
    Path file;
    @Option(names = "--sockets", split = ",", required = true, description = "folders of the volumes' sockets, one a gateway")
    List<Path> sockets;
    @Option(names = "--seconds", description = "in place of the file's")
    Double seconds;
    @Option(names = "--seed", description = "in place of the file's")
    Long seed;
    @Option(names = "--closed", description = "baseline: each client waits for its answer before it asks again, as if that were the load")
    boolean closed;
    @Option(names = "--lateness-ms", defaultValue = "1", description = "how late the generator may come to one request in a thousand")
    double maxLatenessMs;
    @Option(names = "--process", defaultValue = "0/1", description = "i/n: plays every n-th client of the schedule, from the i-th")
    String process;
    @Option(names = "--start-us", description = "when the schedule begins, on the machine's monotonic clock: the same for all processes of a run")
    Long startUs;
    @Option(names = "--log", description = "where the HdrHistogram log goes")
    Path logFile;
    @Option(names = "--json", description = "where the figures go as JSON")
    Path jsonFile;

    @Override
    public Integer call() throws IOException, InterruptedException {
      LogSetup.configure(LogSetup.Form.text, ch.qos.logback.classic.Level.WARN);
      LoadRun run;
      Day day;
      try {
        day = Day.parse(Files.readString(file));
        day = seconds == null ? day : day.lasting(seconds);
        day = seed == null ? day : day.with(seed);
        int[] which = parseProcess();
        run = new LoadRun(new LoadRun.Config(day, sockets, which[0], which[1], startUs == null
            ? LoadRun.soon()
            : startUs, closed, (long) (maxLatenessMs * 1_000)));
      } catch (IllegalArgumentException e) {
        System.err.println(file + ": " + e.getMessage());
        return Main.EXIT_USAGE;
      }
      // Ctrl-C ends the schedule; the report is still written.
      CountDownLatch reported = new CountDownLatch(1);
      Thread hook = new Thread(() -> {
        run.stop();
        try {
          reported.await();
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      });
      Runtime.getRuntime().addShutdownHook(hook);
      try {
        LoadRun.Result r = run.run();
        if (logFile != null) {
          r.log().write(logFile);
        }
        if (jsonFile != null) {
          JSON.writerWithDefaultPrettyPrinter().writeValue(jsonFile.toFile(), toJson(r));
        }
        printResult(r);
        return r.valid() ? Main.EXIT_OK : Main.EXIT_FAILURE;
      } finally {
        reported.countDown();
      }
    }

    private int[] parseProcess() {
      String[] w = process.split("/");
      try {
        int i = Integer.parseInt(w[0]);
        int n = Integer.parseInt(w[1]);
        if (i >= 0 && i < n) {
          return new int[]{i, n};
        }
      } catch (RuntimeException e) {
        // Said below.
      }
      throw new IllegalArgumentException("--process: must be i/n with i below n, not " + process);
    }

    private static ObjectNode toJson(LoadRun.Result r) {
      ObjectNode o = JSON.createObjectNode();
      o.put("valid", r.valid()).put("due", r.due()).put("answered", r.answered()).put("waited", r.waited());
      o.put("lateness_p999_us", r.lateness().getValueAtPercentile(99.9));
      r.ends().forEach((e, n) -> o.put(e.name().toLowerCase(Locale.ROOT), n));
      for (String tag : r.log().tags()) {
        Histogram h = r.log().all(tag);
        ObjectNode t = o.putObject(tag).put("count", h.getTotalCount());
        for (double p : PERCENTILES) {
          t.put("p" + p, h.getValueAtPercentile(p));
        }
      }
      return o;
    }

    private void printResult(LoadRun.Result r) {
      printTable(r.log());
      System.out.printf(Locale.ROOT, "measured: %d due, %s, %d found no room at first%n", r.due(), r.ends()
          .toString()
          .toLowerCase(Locale.ROOT), r.waited());
      System.out.printf(Locale.ROOT,
          "generator late by %.3f ms at p99, %.3f ms at p99.9, %.3f ms at most: %s%n", r
              .lateness()
              .getValueAtPercentile(99) / 1e3, r.lateness().getValueAtPercentile(99.9) / 1e3, r.lateness()
                  .getMaxValue() / 1e3, r.valid()
                      ? "valid"
                      : "NOT VALID, these figures say nothing of the gateway");
      if (closed) {
        System.out.println("closed loop: stalls are hidden, as nothing is asked while one lasts");
      }
    }
  }

  /** Merges logs. */
  @Command(name = "report", mixinStandardHelpOptions = true, description = "Merges HdrHistogram logs of one or more processes and prints their percentiles.")
  static final class Report implements Callable<Integer> {
    @Parameters(paramLabel = "LOG", arity = "1..*", description = "logs")
    List<Path> logs;
    @Option(names = "--by-second", description = "a row a second, all tags together")
    boolean bySecond;

    @Override
    public Integer call() {
      try {
        LatencyLog all = readAndMerge(logs);
        printTable(all);
        if (bySecond) {
          printSeconds(all);
        }
        return Main.EXIT_OK;
      } catch (IOException e) {
        System.err.println(e.getMessage());
        return Main.EXIT_USAGE;
      }
    }

    private static void printSeconds(LatencyLog all) {
      java.util.TreeMap<Long, Histogram> sums = new java.util.TreeMap<>();
      for (String tag : all.tags()) {
        all.seconds(tag)
            .forEach((s, h) -> sums.computeIfAbsent(s, k -> new Histogram(3_600_000_000L, 3)).add(h));
      }
      printHeader("second");
      sums.forEach((s, h) -> printRow(String.valueOf(s), h));
    }
  }

  /** Two runs side by side. */
  @Command(name = "compare", mixinStandardHelpOptions = true, description = "Percentiles of two logs side by side, with the second's part of the first.")
  static final class Compare implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "LOG", description = "before")
    Path before;
    @Parameters(index = "1", paramLabel = "LOG", description = "after")
    Path after;

    @Override
    public Integer call() {
      try {
        LatencyLog a = LatencyLog.read(before);
        LatencyLog b = LatencyLog.read(after);
        System.out.printf("%-20s %8s %12s %12s %8s%n", "tag", "at", "before ms", "after ms", "ratio");
        for (String tag : a.tags()) {
          Histogram x = a.all(tag);
          Histogram y = b.all(tag);
          for (double p : PERCENTILES) {
            if (y != null) {
              double of = x.getValueAtPercentile(p) / 1e3;
              double is = y.getValueAtPercentile(p) / 1e3;
              System.out.printf(Locale.ROOT, "%-20s %8s %12.3f %12.3f %8.2f%n", tag, p, of, is, is / of);
            }
          }
        }
        return Main.EXIT_OK;
      } catch (IOException e) {
        System.err.println(e.getMessage());
        return Main.EXIT_USAGE;
      }
    }
  }

  /** The emulator's word against sockets. */
  @Command(name = "forecast", mixinStandardHelpOptions = true, description = "Plays a day without its troubles on stand-ins over sockets and in the emulator, and prints both side by side: what the emulator is worth on this machine.")
  static final class Forecast implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "day file")
    Path file;
    @Option(names = "--times", split = ",", defaultValue = "1", description = "the load in so many times that of the file, one after the other")
    double[] loadFactors;

    @Override
    public Integer call() throws IOException, InterruptedException {
      LogSetup.configure(LogSetup.Form.text, ch.qos.logback.classic.Level.WARN);
      try {
        Day day = Day.parse(Files.readString(file)).with(List.of());
        System.out.printf("%-6s %-16s %26s %26s %26s%n", "load", "plan.kind", "served a second", "p50 ms",
            "p99 ms");
        for (double t : loadFactors) {
          compareAtLoad(day.times(t), t);
        }
        return Main.EXIT_OK;
      } catch (IllegalArgumentException e) {
        System.err.println(file + ": " + e.getMessage());
        return Main.EXIT_USAGE;
      }
    }

    private static void compareAtLoad(Day day, double times) throws IOException, InterruptedException {
      Path dir = Files.createTempDirectory("hollyslip-forecast");
      LoadRun.Result r;
      try (Stage stage = new Stage(day, dir)) {
        stage.start();
        // The gateways' code is compiled as it is used: what comes first is not counted.
        new LoadRun(new LoadRun.Config(day.lasting(Math.min(5, day.seconds())), stage.sockets(), 0, 1, LoadRun
            .soon(), false, 1_000)).run();
        r = new LoadRun(new LoadRun.Config(day, stage.sockets(), 0, 1, LoadRun.soon(), false, 1_000)).run();
      }
      Outcome o = World.play(day);
      for (String tag : r.log().tags()) {
        Histogram is = r.log().all(tag);
        Histogram was = o.kinds().get(tag).latency();
        double s = day.seconds();
        System.out.printf(Locale.ROOT, "%-6s %-16s %s %s %s%n", times, tag, formatPair(is.getTotalCount() / s,
            was
                .getTotalCount() / s), formatPair(is.getValueAtPercentile(50) / 1e3, was.getValueAtPercentile(
                    50)
                    / 1e3), formatPair(is
                        .getValueAtPercentile(99) / 1e3, was.getValueAtPercentile(99) / 1e3));
      }
      System.out.printf(Locale.ROOT, "       generator late by %.3f ms at p99.9: %s%n", r.lateness()
          .getValueAtPercentile(99.9) / 1e3, r.valid() ? "valid" : "NOT VALID");
    }

    /** Measured, simulated, and their ratio. */
    private static String formatPair(double measured, double simulated) {
      return String.format(Locale.ROOT, "%9.2f %9.2f %6.2f", measured, simulated, simulated / measured);
    }
  }

  private static LatencyLog readAndMerge(List<Path> logs) throws IOException {
    LatencyLog all = new LatencyLog();
    for (Path p : logs) {
      all.add(LatencyLog.read(p));
    }
    return all;
  }

  private static void printTable(LatencyLog log) {
    printHeader("plan.kind");
    log.tags().forEach(tag -> printRow(tag, log.all(tag)));
  }

  private static void printHeader(String first) {
    System.out.printf("%-20s %9s", first, "served");
    for (double p : PERCENTILES) {
      System.out.printf(" %10s", p == 100 ? "max ms" : "p" + (p % 1 == 0 ? (int) p : p) + " ms");
    }
    System.out.println();
  }

  private static void printRow(String name, Histogram h) {
    System.out.printf("%-20s %9d", name, h.getTotalCount());
    for (double p : PERCENTILES) {
      System.out.printf(Locale.ROOT, " %10.3f", h.getValueAtPercentile(p) / 1e3);
    }
    System.out.println();
  }
}
