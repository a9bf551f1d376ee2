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

/** Configures logging to standard error, as JSON lines or as text for a terminal. The message of a log event
 * is its name; its values are key-value fields. */
final class LogSetup {
  /** Format of log lines; {@code auto} is text at a terminal, else JSON. */
  enum Form {
    auto, json, text
  }

  private LogSetup() {}

  static void configure(Form form, Level level) {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.reset();
    boolean json = form == Form.json || form == Form.auto && System.console() == null;
    Encoder<ILoggingEvent> encoder = json ? jsonEncoder(context) : textEncoder(context);
    ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
    appender.setContext(context);
    appender.setTarget("System.err");
    appender.setEncoder(encoder);
    appender.start();
    ch.qos.logback.classic.Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
    root.addAppender(appender);
    root.setLevel(Level.WARN);
    context.getLogger("hollyslip").setLevel(level);
  }

  private static Encoder<ILoggingEvent> jsonEncoder(LoggerContext context) {
    LogstashEncoder encoder = new LogstashEncoder();
    encoder.setContext(context);
    encoder.start();
    return encoder;
  }

  private static Encoder<ILoggingEvent> textEncoder(LoggerContext context) {
    PatternLayoutEncoder encoder = new PatternLayoutEncoder();
    encoder.setContext(context);
    encoder.setPattern("%d{HH:mm:ss.SSS} %-5level %msg %kvp{NONE}%n%ex{short}");
    encoder.start();
    return encoder;
  }
}
