package hollyslip.platform;

import java.io.PrintStream;
import java.util.HashMap;
import java.util.Map;

/** Lines on standard output, one an event: time in Unix ms, name, facts. Of each name at most one line a
 * second, which says how many it stands for: a flood must not block the event loop on a full pipe. Signals
 * come on threads of their own, so any thread may write. */
final class Log {
  private static final long PAUSE_MS = 1000;

  private final PrintStream out;
  private final Map<String, Line> lines = new HashMap<>();

  /** What is known of an event's name. */
  private static final class Line {
    long at = Long.MIN_VALUE / 2;
    long passedOver;
  }

  Log(PrintStream out) {
    this.out = out;
  }

  /** {@code name} is one of a fixed set; {@code facts} may hold anything. */
  synchronized void event(String name, Object... facts) {
    long now = System.currentTimeMillis();
    Line line = lines.computeIfAbsent(name, k -> new Line());
    if (now - line.at < PAUSE_MS) {
      line.passedOver++;
      return;
    }
    StringBuilder text = new StringBuilder().append(now).append(' ').append(name);
    for (Object fact : facts) {
      text.append(' ').append(plain(String.valueOf(fact)));
    }
    if (line.passedOver > 0) {
      text.append(" (and ").append(line.passedOver).append(" more before)");
    }
    line.at = now;
    line.passedOver = 0;
    out.println(text);
  }

  /** The same work, which is not ended by a fault of its own: what runs again and again on the event loop
   * would be dropped there at its first one, with no word. */
  Runnable guarded(Runnable work) {
    return () -> {
      try {
        work.run();
      } catch (RuntimeException fault) {
        StackTraceElement[] trace = fault.getStackTrace();
        event("node.fault", fault, trace.length > 0 ? trace[0] : "");
      }
    };
  }

  /** Bytes from outside must not forge lines. */
  private static String plain(String fact) {
    String cut = fact.length() > 200 ? fact.substring(0, 200) : fact;
    return cut.replaceAll("[^ -~]", "?");
  }
}
