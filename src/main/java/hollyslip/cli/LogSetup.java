package hollyslip.cli;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import net.logstash.logback.encoder.LogstashEncoder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs go to standard error: JSON lines, or lines to be read at a terminal. One event a fact; its name is
 * the message, its figures are fields. */
final class LogSetup {
  /** How logs are written. */
  enum Form {
    auto, json, text
  }

  private LogSetup() {}

  static void configure(Form form, Level level) {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.reset();
    boolean json = form == Form.json || form == Form.auto && System.console() == null;
    Encoder<ILoggingEvent> encoder = json ? jsonEncoder(context) : textEncoder(context);
    ConsoleAppender<ILoggingEvent> out = new ConsoleAppender<>();
    out.setContext(context);
    out.setTarget("System.err");
    out.setEncoder(encoder);
    out.start();
    ch.qos.logback.classic.Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
    root.addAppender(out);
    root.setLevel(Level.WARN);
    context.getLogger("hollyslip").setLevel(level);
  }

  private static Encoder<ILoggingEvent> jsonEncoder(LoggerContext context) {
    LogstashEncoder e = new LogstashEncoder();
    e.setContext(context);
    e.start();
    return e;
  }

  private static Encoder<ILoggingEvent> textEncoder(LoggerContext context) {
    PatternLayoutEncoder e = new PatternLayoutEncoder();
    e.setContext(context);
    e.setPattern("%d{HH:mm:ss.SSS} %-5level %msg %kvp{NONE}%n%ex{short}");
    e.start();
    return e;
  }
}
