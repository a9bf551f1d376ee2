package hollyslip.platform;

import java.io.PrintStream;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Structured lines on standard output, one an event: Unix time in ms, the event's name, {@code key=value}
 * fields. A thread of its own writes them, so that a reader that stops reading never holds up the event loop;
 * what does not fit into its queue is dropped and counted. Each name may write {@link #LINES_PER_SECOND},
 * with bursts of {@link #BURST_LINES}; the next line of that name says how many were left out. Any thread may
 * log. */
final class Log implements AutoCloseable {
  /** Sustained lines a second of one event name, and how many may come at once. */
  static final int LINES_PER_SECOND = 20, BURST_LINES = 60;

  /** Lines that wait for the writer. */
  private static final int QUEUE_CAPACITY = 512;

  /** Longest value of a field, characters. */
  private static final int MAX_VALUE_LENGTH = 200;

  private final PrintStream out;
  private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
  private final Map<String, RateLimit> rateLimits = new HashMap<>();
  private final AtomicLong unwrittenLines = new AtomicLong();
  private final Thread writer = new Thread(this::writeLines, "log");
  private long droppedLines;

  /** A token bucket of lines for one event name. */
  private static final class RateLimit {
    double tokens = BURST_LINES;
    long refilledAt;
    long suppressedLines;
  }

  Log(PrintStream out) {
    this.out = out;
    writer.setDaemon(true);
    writer.start();
  }

  /** Logs one event.
   *
   * @param name
   *          one of a fixed set
   * @param fields
   *          keys and values in turn; values may hold anything */
  synchronized void event(String name, Object... fields) {
    RateLimit allowance = rateLimits.computeIfAbsent(name, k -> new RateLimit());
    if (!tryAcquire(allowance)) {
      allowance.suppressedLines++;
      return;
    }
    StringBuilder line = new StringBuilder().append(System.currentTimeMillis()).append(' ').append(name);
    for (int i = 0; i + 1 < fields.length; i += 2) {
      line.append(' ').append(fields[i]).append('=').append(escapeValue(String.valueOf(fields[i + 1])));
    }
    if (allowance.suppressedLines > 0) {
      line.append(" left_out=").append(allowance.suppressedLines);
    }
    if (droppedLines > 0) {
      line.append(" dropped=").append(droppedLines);
    }
    unwrittenLines.incrementAndGet();
    if (queue.offer(line.toString())) {
      allowance.suppressedLines = 0;
      droppedLines = 0;
    } else {
      unwrittenLines.decrementAndGet();
      droppedLines++;
    }
  }

  private static boolean tryAcquire(RateLimit allowance) {
    long now = System.nanoTime();
    if (allowance.refilledAt != 0) {
      double earned = (now - allowance.refilledAt) / 1e9 * LINES_PER_SECOND;
      allowance.tokens = Math.min(BURST_LINES, allowance.tokens + earned);
    }
    allowance.refilledAt = now;
    if (allowance.tokens < 1) {
      return false;
    }
    allowance.tokens--;
    return true;
  }

  private void writeLines() {
    try {
      while (true) {
        out.println(queue.take());
        unwrittenLines.decrementAndGet();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits until all lines so far are written, but no longer than so many ms. */
  void flush(long ms) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
    while (unwrittenLines.get() > 0 && System.nanoTime() < end) {
      Thread.sleep(1);
    }
  }

  /** Ends the writer; lines that still wait are not written. */
  @Override
  public void close() {
    writer.interrupt();
  }

  /** The same work, which is not ended by a fault of its own: what runs again and again on the event loop
   * would be dropped there at its first one, with no word. */
  Runnable guarded(Runnable work) {
    return () -> {
      try {
        work.run();
      } catch (RuntimeException fault) {
        fault("node.fault", fault);
      }
    };
  }

  /** Logs a fault of this program with the place that it comes from. */
  void fault(String name, RuntimeException fault) {
    StackTraceElement[] trace = fault.getStackTrace();
    event(name, "fault", fault, "at", trace.length > 0 ? trace[0] : "");
  }

  /** Bytes from outside must not forge lines or fields. */
  private static String escapeValue(String text) {
    String cut = text.length() > MAX_VALUE_LENGTH ? text.substring(0, MAX_VALUE_LENGTH) : text;
    String plain = cut.replaceAll("[^ -~]", "?").replace('"', '\'');
    return plain.isEmpty() || plain.indexOf(' ') >= 0 || plain.indexOf('=') >= 0 ? '"' + plain + '"' : plain;
  }
}
