package hollyslip.cli;

import hollyslip.load.Scenario;
import hollyslip.load.ScenarioRunner;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Plays a day and prints its results, for the commands demo and replay. */
final class DayPlayback {
  /** Time between the publishing of a request and its receipt by the gateway, also while a restarted gateway
   * warms up, us. */
  private static final long CLOCK_SLACK_US = 100_000;

  private DayPlayback() {}

  static int play(Scenario day, Path dir) throws IOException, InterruptedException {
    Path records = dir == null ? Files.createTempDirectory("hollyslip-day-") : dir;
    System.out.println("records and logs: " + records);
    ScenarioRunner.Result result = new ScenarioRunner(day, records, System.out, CLOCK_SLACK_US).play();
    System.out.println();
    System.out.printf("%-12s %10s%n", "answer", "requests");
    result.answers()
        .forEach((answer, count) -> System.out.printf("%-12s %10d%n", answer.name().toLowerCase(Locale.ROOT),
            count));
    System.out.println();
    System.out.printf("%-20s %8s %9s %9s %9s   served, ms%n", "plan, kind", "served", "p50", "p99", "p99.9");
    result.latency()
        .forEach((key, histogram) -> System.out.printf(Locale.ROOT,
            "%-20s %8d %9.2f %9.2f %9.2f%n", key, histogram.getTotalCount(),
            histogram.getValueAtPercentile(50) / 1e3, histogram.getValueAtPercentile(99) / 1e3,
            histogram.getValueAtPercentile(99.9) / 1e3));
    System.out.println();
    boolean kept = AuditCommand.printReport(result.audit());
    result.wrongReads().stream().limit(10).forEach(w -> System.out.println("  wrong read: " + w));
    System.out.printf("reads that contradict what was answered before: %d%n", result.wrongReads().size());
    System.out.println(result.stoppedCleanly()
        ? "gateways stopped cleanly"
        : "a gateway did not stop cleanly");
    System.out.println(result.isClean() && kept ? "all rules kept" : "NOT all rules kept");
    return result.isClean() ? Main.EXIT_OK : Main.EXIT_FAILURE;
  }
}
