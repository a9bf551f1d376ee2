package hollyslip.cli;

import hollyslip.audit.RequestRecord;
import hollyslip.emulator.EmulationResult;
import hollyslip.emulator.Emulation;
import hollyslip.load.Scenario;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Plays a day file in virtual time. */
@Command(name = "emulate", mixinStandardHelpOptions = true, description = "Plays a day file (docs/replay.md) in virtual time on models of nodes, network and clients, with the engine and scheduler of the gateway, and audits it. All printed results are simulated.")
final class EmulateCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "day file")
  Path file;
  @Option(names = "--seed", description = "seed to use instead of that of the file")
  Long seed;

  @Option(names = "--timeline", description = "also print a row for each quarter of a second in which requests were due")
  boolean printTimeline;

  @Override
  public Integer call() throws IOException {
    LogSetup.configure(LogSetup.Form.text, ch.qos.logback.classic.Level.ERROR);
    Scenario day;
    try {
      day = Scenario.parse(Files.readString(file));
      day = seed == null ? day : day.with(seed);
      long startNanos = System.nanoTime();
      EmulationResult outcome = Emulation.play(day);
      double seconds = (System.nanoTime() - startNanos) / 1e9;
      printPlans(outcome);
      if (printTimeline) {
        printTimeline(outcome);
      }
      System.out.printf(Locale.ROOT,
          "simulated: %.0f s of %d gateways and %d nodes in %.2f s, %,.0f happenings a second%n",
          day.seconds(), day.gateways(), day.nodes().count(), seconds, outcome.eventCount() / seconds);
      return AuditCommand.printReport(outcome.audit()) ? Main.EXIT_OK : Main.EXIT_FAILURE;
    } catch (IllegalArgumentException e) {
      System.err.println(file + ": " + e.getMessage());
      return Main.EXIT_INVALID_INPUT;
    }
  }

  /** Prints a row per plan. */
  static void printPlans(EmulationResult outcome) {
    printHeader("plan");
    outcome.plans().forEach(EmulateCommand::printRow);
  }

  private static void printTimeline(EmulationResult outcome) {
    printHeader("due at, s");
    for (int i = 0; i < outcome.timeline().size(); i++) {
      printRow(String.format(Locale.ROOT, "%.2f", i * EmulationResult.INTERVAL_US / 1e6), outcome.timeline()
          .get(i));
    }
  }

  private static void printHeader(String first) {
    System.out.printf("%-14s %9s %8s %8s %8s %8s %9s %9s %9s%n", first, "asked", "served", "refused",
        "failed", "in aim", "p50 ms", "p99 ms", "p99.9 ms");
  }

  private static void printRow(String name, EmulationResult.Tally tally) {
    double requests = Math.max(1, tally.asked());
    System.out.printf(Locale.ROOT, "%-14s %9d %7.2f%% %7.2f%% %7.2f%% %7.2f%% %9.2f %9.2f %9.2f%n", name,
        tally.asked(), 100 * tally.count(RequestRecord.Answer.SERVED) / requests,
        100 * tally.count(RequestRecord.Answer.REFUSED) / requests, 100 * tally.count(
            RequestRecord.Answer.FAILED) / requests,
        100 * tally.inAim(), tally.latency().getValueAtPercentile(50) / 1e3,
        tally.latency().getValueAtPercentile(99) / 1e3, tally.latency().getValueAtPercentile(99.9) / 1e3);
  }
}
