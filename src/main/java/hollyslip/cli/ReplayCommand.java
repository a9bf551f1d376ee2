package hollyslip.cli;

import hollyslip.load.Scenario;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Plays a day file through real gateways. */
@Command(name = "replay", mixinStandardHelpOptions = true, description = "Plays a day file (docs/replay.md) in real time through real gateways on stand-ins, audits it, and exits with 1 if a rule was broken.")
final class ReplayCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "day file")
  Path file;
  @Option(names = "--dir", description = "directory for records and logs; default: a new temporary directory")
  Path dir;

  @Override
  public Integer call() throws IOException, InterruptedException {
    LogSetup.configure(LogSetup.Form.text, ch.qos.logback.classic.Level.WARN);
    Scenario day;
    try {
      day = Scenario.parse(Files.readString(file));
    } catch (Scenario.ParseException e) {
      System.err.println(file + ": " + e.getMessage());
      return Main.EXIT_INVALID_INPUT;
    }
    return DayPlayback.play(day, dir);
  }
}
