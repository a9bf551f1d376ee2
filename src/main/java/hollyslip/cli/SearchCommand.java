package hollyslip.cli;

import hollyslip.emulator.BadDays;
import hollyslip.emulator.BadDays.Found;
import hollyslip.load.Day;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Looks for bad days. */
@Command(name = "search", mixinStandardHelpOptions = true, description = "Draws troubles for a day file, plays them in the emulator on all cores, and looks for those that break a rule, which it makes small, or else serve least in time. What it finds goes into day files that 'emulate' and 'replay' play again.")
final class SearchCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "day file; its troubles are not used")
  Path file;
  @Option(names = "--rounds", defaultValue = "10", description = "rounds; each goes on from the worst of those before")
  int rounds;
  @Option(names = "--days", defaultValue = "64", description = "days of a round")
  int days;
  @Option(names = "--seed", defaultValue = "1", description = "of all that is drawn")
  long seed;
  @Option(names = "--out", required = true, description = "folder of the days found")
  Path out;
  @Option(names = "--keep", defaultValue = "3", description = "days kept at most where none breaks a rule, and of those that do")
  int keep;

  @Override
  public Integer call() throws IOException {
    LogSetup.configure(LogSetup.Form.text, ch.qos.logback.classic.Level.OFF);
    try {
      BadDays search = new BadDays(Day.parse(Files.readString(file)), seed);
      List<Found> all = search.search(rounds, days);
      List<Found> broken = all.stream().filter(f -> !f.broken().isEmpty()).toList();
      System.out.printf("simulated: %d days, %d broke a rule%n", search.played(), broken.size());
      Files.createDirectories(out);
      int n = 0;
      for (Found f : (broken.isEmpty() ? all : broken).subList(0, Math.min(keep, broken.isEmpty()
          ? all.size()
          : broken.size()))) {
        Found smallest = broken.isEmpty() ? f : search.shrink(f);
        Path to = out.resolve((broken.isEmpty() ? "worst-" : "broken-") + n++ + ".day");
        Files.writeString(to, "# found by hollyslip search, seed " + seed + "; in aim " + smallest.inAim()
            + " "
            + smallest.first().replace("\n", " ") + "\n" + smallest.day().text());
        System.out.printf(Locale.ROOT, "%s: %d troubles, %.1f%% in aim, %s%n", to, smallest.day()
            .troubles()
            .size(), 100 * smallest.inAim(), smallest.first());
      }
      return broken.isEmpty() ? Main.EXIT_OK : Main.EXIT_FAILURE;
    } catch (IllegalArgumentException e) {
      System.err.println(file + ": " + e.getMessage());
      return Main.EXIT_USAGE;
    }
  }
}
