package hollyslip.cli;

import hollyslip.load.Scenario;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Plays a scripted day of faults. */
@Command(name = "demo", mixinStandardHelpOptions = true, description = "Plays a scripted day of faults, about a minute long, on stand-ins that it starts, audits it, and exits with 1 if a rule was broken.")
final class DemoCommand implements Callable<Integer> {
  @Option(names = "--dir", description = "directory for records and logs; default: a new temporary directory")
  Path dir;

  @Override
  public Integer call() throws IOException, InterruptedException {
    LogSetup.configure(LogSetup.Form.text, ch.qos.logback.classic.Level.WARN);
    try (InputStream in = DemoCommand.class.getResourceAsStream("/hollyslip/demo.day")) {
      return DayPlayback.play(Scenario.parse(new String(in.readAllBytes(), StandardCharsets.UTF_8)), dir);
    }
  }
}
