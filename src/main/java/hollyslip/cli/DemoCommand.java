package hollyslip.cli;

import hollyslip.load.Day;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The scripted bad day. */
@Command(name = "demo", mixinStandardHelpOptions = true, description = "Plays a scripted bad day of about a minute on stand-ins of its own, audits it, and ends with 1 if a rule was broken.")
final class DemoCommand implements Callable<Integer> {
  @Option(names = "--dir", description = "folder for records and logs; a fresh temporary one if not given")
  Path dir;

  @Override
  public Integer call() throws IOException, InterruptedException {
    LogSetup.configure(LogSetup.Form.text, ch.qos.logback.classic.Level.WARN);
    try (InputStream in = DemoCommand.class.getResourceAsStream("/hollyslip/demo.day")) {
      return DayPlayback.play(Day.parse(new String(in.readAllBytes(), StandardCharsets.UTF_8)), dir);
    }
  }
}
