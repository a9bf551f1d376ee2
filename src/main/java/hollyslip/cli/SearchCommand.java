package hollyslip.cli;

import hollyslip.emulator.ScenarioSearch;
import hollyslip.emulator.ScenarioSearch.Finding;
import hollyslip.load.Scenario;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Searches for fault scenarios that break rules. */
@Command(name = "search", mixinStandardHelpOptions = true, description = "Generates random faults for a day file, plays them in the emulator on all cores, and looks for days that break a rule, which it minimises, or else for those that serve the fewest requests in time. They are written to day files that 'emulate' and 'replay' can play again.")
final class SearchCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "day file; its faults are ignored")
  Path file;
  @Option(names = "--rounds", defaultValue = "10", description = "number of rounds; each starts from the worst days of the rounds before")
  int rounds;
  @Option(names = "--days", defaultValue = "64", description = "number of days per round")
  int days;
  @Option(names = "--seed", defaultValue = "1", description = "seed of the random faults")
  long seed;
  @Option(names = "--out", required = true, description = "directory for the days found")
  Path out;
  @Option(names = "--keep", defaultValue = "3", description = "maximum number of days to write, of those that break a rule, or of the worst if none does")
  int keep;

  @Override
  public Integer call() throws IOException {
    LogSetup.configure(LogSetup.Form.text, ch.qos.logback.classic.Level.OFF);
    try {
      ScenarioSearch search = new ScenarioSearch(Scenario.parse(Files.readString(file)), seed);
      List<Finding> all = search.search(rounds, days);
      List<Finding> broken = all.stream().filter(found -> !found.brokenRules().isEmpty()).toList();
      System.out.printf("simulated: %d days, %d broke a rule%n", search.runCount(), broken.size());
      Files.createDirectories(out);
      int written = 0;
      for (Finding found : (broken.isEmpty() ? all : broken).subList(0, Math.min(keep, broken.isEmpty()
          ? all.size()
          : broken.size()))) {
        Finding smallest = broken.isEmpty() ? found : search.shrink(found);
        Path target = out.resolve((broken.isEmpty() ? "worst-" : "broken-") + written++ + ".day");
        Files.writeString(target, "# found by hollyslip search, seed " + seed + "; in aim " + smallest.inAim()
            + " "
            + smallest.firstBreach().replace("\n", " ") + "\n" + smallest.scenario().toText());
        System.out.printf(Locale.ROOT, "%s: %d troubles, %.1f%% in aim, %s%n", target,
            smallest.scenario().disturbances().size(), 100 * smallest.inAim(), smallest.firstBreach());
      }
      return broken.isEmpty() ? Main.EXIT_OK : Main.EXIT_FAILURE;
    } catch (IllegalArgumentException e) {
      System.err.println(file + ": " + e.getMessage());
      return Main.EXIT_INVALID_INPUT;
    }
  }
}
