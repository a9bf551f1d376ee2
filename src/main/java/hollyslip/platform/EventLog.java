package hollyslip.platform;

import java.io.PrintStream;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Structured log on standard output, one line per event: Unix time in ms, the event's name and
 * {@code key=value} fields. A separate thread writes the lines, so that a reader that stops reading never
 * blocks the event loop; lines that do not fit into its queue are dropped and counted. Each event name is
 * limited to {@link #LINES_PER_SECOND}, with bursts of {@link #BURST_LINES}; the next line of that name says
 * how many were suppressed. Thread-safe. */
final class EventLog implements AutoCloseable {
  /** Sustained rate of one event name in lines per second, and its burst size. */
  static final int LINES_PER_SECOND = 20, BURST_LINES = 60;

  /** Capacity of the queue to the writer, lines. */
  private static final int QUEUE_CAPACITY = 512;

  /** Longest value of a field, characters; longer ones are truncated. */
  private static final int MAX_VALUE_LENGTH = 200;

  private final PrintStream out;
  private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
  private final Map<String, RateLimit> rateLimits = new HashMap<>();
  private final AtomicLong unwrittenLines = new AtomicLong();
  private final Thread writer = new Thread(this::writeLines, "log");
  private long droppedLines;

  /** Token bucket that limits the lines of one event name. */
  private static final class RateLimit {
    double tokens = BURST_LINES;
    long refilledAt;
    long suppressedLines;
  }

  EventLog(PrintStream out) {
    this.out = out;
    writer.setDaemon(true);
    writer.start();
  }

  /** Logs one event.
   *
   * @param name
   *          one of a fixed set of names
   * @param fields
   *          alternating keys and values; values may contain any characters */
  synchronized void event(String name, Object... fields) {
    RateLimit rateLimit = rateLimits.computeIfAbsent(name, k -> new RateLimit());
    if (!tryAcquire(rateLimit)) {
      rateLimit.suppressedLines++;
      return;
    }
    StringBuilder line = new StringBuilder().append(System.currentTimeMillis()).append(' ').append(name);
    for (int i = 0; i + 1 < fields.length; i += 2) {
      line.append(' ').append(fields[i]).append('=').append(escapeValue(String.valueOf(fields[i + 1])));
    }
    if (rateLimit.suppressedLines > 0) {
      line.append(" left_out=").append(rateLimit.suppressedLines);
    }
    if (droppedLines > 0) {
      line.append(" dropped=").append(droppedLines);
    }
    unwrittenLines.incrementAndGet();
    if (queue.offer(line.toString())) {
      rateLimit.suppressedLines = 0;
      droppedLines = 0;
    } else {
      unwrittenLines.decrementAndGet();
      droppedLines++;
    }
  }

  private static boolean tryAcquire(RateLimit rateLimit) {
    long now = System.nanoTime();
    if (rateLimit.refilledAt != 0) {
      double refill = (now - rateLimit.refilledAt) / 1e9 * LINES_PER_SECOND;
      rateLimit.tokens = Math.min(BURST_LINES, rateLimit.tokens + refill);
    }
    rateLimit.refilledAt = now;
    if (rateLimit.tokens < 1) {
      return false;
    }
    rateLimit.tokens--;
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

  /** Waits until all lines logged so far are written, at most {@code ms}. */
  void flush(long ms) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
    while (unwrittenLines.get() > 0 && System.nanoTime() < end) {
      Thread.sleep(1);
    }
  }

  /** Stops the writer; queued lines are not written. */
  @Override
  public void close() {
    writer.interrupt();
  }

  /** Wraps a task so that its exceptions are logged and do not propagate: the event loop silently cancels a
   * periodic task at its first exception. */
  Runnable guarded(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        fault("node.fault", e);
      }
    };
  }

  /** Logs an unexpected exception with the stack frame that threw it. */
  void fault(String name, RuntimeException e) {
    StackTraceElement[] trace = e.getStackTrace();
    event(name, "fault", e, "at", trace.length > 0 ? trace[0] : "");
  }

  /** Quotes and sanitizes a value, so that external input cannot forge lines or fields. */
  private static String escapeValue(String text) {
    String truncated = text.length() > MAX_VALUE_LENGTH ? text.substring(0, MAX_VALUE_LENGTH) : text;
    String printable = truncated.replaceAll("[^ -~]", "?").replace('"', '\'');
    return printable.isEmpty() || printable.indexOf(' ') >= 0 || printable.indexOf('=') >= 0
        ? '"' + printable + '"'
        : printable;
  }
}
