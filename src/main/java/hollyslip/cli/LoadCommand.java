package hollyslip.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import hollyslip.emulator.EmulationResult;
import hollyslip.emulator.Emulation;
import hollyslip.load.Scenario;
import hollyslip.load.LatencyLog;
import hollyslip.load.LoadRun;
import hollyslip.load.LocalCluster;
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

/** Generates open-loop load and reports latencies. */
@Command(name = "load", mixinStandardHelpOptions = true, description = "Open-loop load, which does not wait for answers, and its latencies.", subcommands = {
    LoadCommand.Run.class, LoadCommand.Report.class, LoadCommand.Compare.class, LoadCommand.Forecast.class})
final class LoadCommand implements Callable<Integer> {
  static final double[] PERCENTILES = {50, 90, 99, 99.9, 100};
  private static final ObjectMapper JSON = new ObjectMapper();

  @Override
  public Integer call() {
    picocli.CommandLine.usage(this, System.err);
    return Main.EXIT_INVALID_INPUT;
  }

  /** Runs the load of the volumes of a day file. */
  @Command(name = "run", mixinStandardHelpOptions = true, description = "Runs the load of the volumes of a day file (docs/load.md) against running gateways, without its faults. Exits with 1 if the generator was too late for the results to be valid.")
  static final class Run implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "day file")
    Path file;
    @Option(names = "--sockets", split = ",", required = true, description = "directories of the volumes' sockets, one per gateway")
    List<Path> sockets;
    @Option(names = "--seconds", description = "duration in seconds, instead of that of the file")
    Double seconds;
    @Option(names = "--seed", description = "seed to use instead of that of the file")
    Long seed;
    @Option(names = "--closed", description = "closed loop, for comparison: each client waits for an answer before it sends the next request")
    boolean closed;
    @Option(names = "--lateness-ms", defaultValue = "1", description = "how late the generator may send one request in a thousand, in ms")
    double maxLatenessMs;
    @Option(names = "--process", defaultValue = "0/1", description = "i/n: runs every n-th client of the schedule, starting with the i-th")
    String process;
    @Option(names = "--start-us", description = "start of the schedule on the machine's monotonic clock, the same for all processes of a run")
    Long startUs;
    @Option(names = "--log", description = "file to write the HdrHistogram log to")
    Path logFile;
    @Option(names = "--json", description = "file to write the results to as JSON")
    Path jsonFile;

    @Override
    public Integer call() throws IOException, InterruptedException {
      LogSetup.configure(LogSetup.Form.text, ch.qos.logback.classic.Level.WARN);
      LoadRun run;
      Scenario day;
      try {
        day = Scenario.parse(Files.readString(file));
        day = seconds == null ? day : day.withDuration(seconds);
        day = seed == null ? day : day.with(seed);
        int[] share = parseProcess();
        run = new LoadRun(new LoadRun.Config(day, sockets, share[0], share[1], startUs == null
            ? LoadRun.nearFutureStartUs()
            : startUs, closed, (long) (maxLatenessMs * 1_000)));
      } catch (IllegalArgumentException e) {
        System.err.println(file + ": " + e.getMessage());
        return Main.EXIT_INVALID_INPUT;
      }
      // Ctrl-C ends the schedule early; the report is still written.
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
        LoadRun.Result result = run.run();
        if (logFile != null) {
          result.log().write(logFile);
        }
        if (jsonFile != null) {
          JSON.writerWithDefaultPrettyPrinter().writeValue(jsonFile.toFile(), toJson(result));
        }
        printResult(result);
        return result.valid() ? Main.EXIT_OK : Main.EXIT_FAILURE;
      } finally {
        reported.countDown();
      }
    }

    private int[] parseProcess() {
      String[] parts = process.split("/");
      try {
        int index = Integer.parseInt(parts[0]);
        int count = Integer.parseInt(parts[1]);
        if (index >= 0 && index < count) {
          return new int[]{index, count};
        }
      } catch (RuntimeException e) {
        // Reported below.
      }
      throw new IllegalArgumentException("--process: must be i/n with i below n, not " + process);
    }

    private static ObjectNode toJson(LoadRun.Result result) {
      ObjectNode json = JSON.createObjectNode();
      json.put("valid", result.valid())
          .put("due", result.due())
          .put("answered", result.answered())
          .put("waited", result.waited());
      json.put("lateness_p999_us", result.lateness().getValueAtPercentile(99.9));
      result.ends().forEach((end, count) -> json.put(end.name().toLowerCase(Locale.ROOT), count));
      for (String tag : result.log().tags()) {
        Histogram histogram = result.log().merged(tag);
        ObjectNode percentiles = json.putObject(tag).put("count", histogram.getTotalCount());
        for (double percentile : PERCENTILES) {
          percentiles.put("p" + percentile, histogram.getValueAtPercentile(percentile));
        }
      }
      return json;
    }

    private void printResult(LoadRun.Result result) {
      printTable(result.log());
      System.out.printf(Locale.ROOT, "measured: %d due, %s, %d found no room at first%n", result.due(),
          result.ends().toString().toLowerCase(Locale.ROOT), result.waited());
      System.out.printf(Locale.ROOT,
          "generator late by %.3f ms at p99, %.3f ms at p99.9, %.3f ms at most: %s%n",
          result.lateness().getValueAtPercentile(99) / 1e3, result.lateness().getValueAtPercentile(99.9)
              / 1e3,
          result.lateness().getMaxValue() / 1e3, result.valid()
              ? "valid"
              : "NOT VALID, these figures say nothing of the gateway");
      if (closed) {
        System.out.println("closed loop: stalls are hidden, as nothing is asked while one lasts");
      }
    }
  }

  /** Merges and prints latency logs. */
  @Command(name = "report", mixinStandardHelpOptions = true, description = "Merges HdrHistogram logs of one or more processes and prints their percentiles.")
  static final class Report implements Callable<Integer> {
    @Parameters(paramLabel = "LOG", arity = "1..*", description = "HdrHistogram logs")
    List<Path> logs;
    @Option(names = "--by-second", description = "also print a row per second, over all tags")
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
        return Main.EXIT_INVALID_INPUT;
      }
    }

    private static void printSeconds(LatencyLog all) {
      java.util.TreeMap<Long, Histogram> histograms = new java.util.TreeMap<>();
      for (String tag : all.tags()) {
        all.histogramsBySecond(tag)
            .forEach((second, histogram) -> histograms.computeIfAbsent(second,
                k -> new Histogram(3_600_000_000L, 3)).add(histogram));
      }
      printHeader("second");
      histograms.forEach((second, histogram) -> printRow(String.valueOf(second), histogram));
    }
  }

  /** Compares the latencies of two runs. */
  @Command(name = "compare", mixinStandardHelpOptions = true, description = "Prints the percentiles of two logs side by side, with the ratio of the second to the first.")
  static final class Compare implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "LOG", description = "log of the first run")
    Path before;
    @Parameters(index = "1", paramLabel = "LOG", description = "log of the second run")
    Path after;

    @Override
    public Integer call() {
      try {
        LatencyLog first = LatencyLog.read(before);
        LatencyLog second = LatencyLog.read(after);
        System.out.printf("%-20s %8s %12s %12s %8s%n", "tag", "at", "before ms", "after ms", "ratio");
        for (String tag : first.tags()) {
          Histogram firstHistogram = first.merged(tag);
          Histogram secondHistogram = second.merged(tag);
          for (double percentile : PERCENTILES) {
            if (secondHistogram != null) {
              double firstMs = firstHistogram.getValueAtPercentile(percentile) / 1e3;
              double secondMs = secondHistogram.getValueAtPercentile(percentile) / 1e3;
              System.out.printf(Locale.ROOT, "%-20s %8s %12.3f %12.3f %8.2f%n", tag, percentile, firstMs,
                  secondMs, secondMs / firstMs);
            }
          }
        }
        return Main.EXIT_OK;
      } catch (IOException e) {
        System.err.println(e.getMessage());
        return Main.EXIT_INVALID_INPUT;
      }
    }
  }

  /** Compares the emulator with a real run over sockets. */
  @Command(name = "forecast", mixinStandardHelpOptions = true, description = "Plays a day without its faults on stand-ins over sockets and in the emulator, and prints both side by side, to show how accurate the emulator is on this machine.")
  static final class Forecast implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "day file")
    Path file;
    @Option(names = "--times", split = ",", defaultValue = "1", description = "factors by which the load of the file is multiplied, run one after the other")
    double[] loadFactors;

    @Override
    public Integer call() throws IOException, InterruptedException {
      LogSetup.configure(LogSetup.Form.text, ch.qos.logback.classic.Level.WARN);
      try {
        Scenario day = Scenario.parse(Files.readString(file)).with(List.of());
        System.out.printf("%-6s %-16s %26s %26s %26s%n", "load", "plan.kind", "served a second", "p50 ms",
            "p99 ms");
        for (double t : loadFactors) {
          compareAtLoad(day.scaledBy(t), t);
        }
        return Main.EXIT_OK;
      } catch (IllegalArgumentException e) {
        System.err.println(file + ": " + e.getMessage());
        return Main.EXIT_INVALID_INPUT;
      }
    }

    private static void compareAtLoad(Scenario day, double times) throws IOException, InterruptedException {
      Path dir = Files.createTempDirectory("hollyslip-forecast");
      LoadRun.Result result;
      try (LocalCluster stage = new LocalCluster(day, dir)) {
        stage.start();
        // Warm-up: the JVM compiles the gateways' code as it is used, so the first run is not counted.
        new LoadRun(new LoadRun.Config(day.withDuration(Math.min(5, day.seconds())), stage.socketDirs(), 0, 1,
            LoadRun.nearFutureStartUs(), false, 1_000)).run();
        result = new LoadRun(new LoadRun.Config(day, stage.socketDirs(), 0, 1, LoadRun.nearFutureStartUs(),
            false, 1_000))
            .run();
      }
      EmulationResult outcome = Emulation.play(day);
      for (String tag : result.log().tags()) {
        Histogram measured = result.log().merged(tag);
        Histogram simulated = outcome.plansAndKinds().get(tag).latency();
        double seconds = day.seconds();
        System.out.printf(Locale.ROOT, "%-6s %-16s %s %s %s%n", times, tag,
            formatPair(measured.getTotalCount() / seconds, simulated.getTotalCount() / seconds),
            formatPair(measured.getValueAtPercentile(50) / 1e3, simulated.getValueAtPercentile(50) / 1e3),
            formatPair(measured.getValueAtPercentile(99) / 1e3, simulated.getValueAtPercentile(99) / 1e3));
      }
      System.out.printf(Locale.ROOT, "       generator late by %.3f ms at p99.9: %s%n", result.lateness()
          .getValueAtPercentile(99.9) / 1e3, result.valid() ? "valid" : "NOT VALID");
    }

    /** Formats a measured value, the simulated one, and their ratio. */
    private static String formatPair(double measured, double simulated) {
      return String.format(Locale.ROOT, "%9.2f %9.2f %6.2f", measured, simulated, simulated / measured);
    }
  }

  private static LatencyLog readAndMerge(List<Path> logs) throws IOException {
    LatencyLog merged = new LatencyLog();
    for (Path path : logs) {
      merged.add(LatencyLog.read(path));
    }
    return merged;
  }

  private static void printTable(LatencyLog log) {
    printHeader("plan.kind");
    log.tags().forEach(tag -> printRow(tag, log.merged(tag)));
  }

  private static void printHeader(String first) {
    System.out.printf("%-20s %9s", first, "served");
    for (double p : PERCENTILES) {
      System.out.printf(" %10s", p == 100 ? "max ms" : "p" + (p % 1 == 0 ? (int) p : p) + " ms");
    }
    System.out.println();
  }

  private static void printRow(String name, Histogram histogram) {
    System.out.printf("%-20s %9d", name, histogram.getTotalCount());
    for (double percentile : PERCENTILES) {
      System.out.printf(Locale.ROOT, " %10.3f", histogram.getValueAtPercentile(percentile) / 1e3);
    }
    System.out.println();
  }
}
