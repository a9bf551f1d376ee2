package hollyslip.emulator;

import java.util.PriorityQueue;

/** Virtual time, us, and what is to happen: in order of time, then in the order in which it was put in. */
final class EventQueue {
  /** Not 0, since a birth at 0 means "long ago" to the module. */
  static final long START_US = 10_000_000_000L;

  private final PriorityQueue<ScheduledEvent> queue = new PriorityQueue<>();
  private long now = START_US;
  private long order;
  private long processedCount;

  private record ScheduledEvent(long at, long order, Runnable action) implements Comparable<ScheduledEvent> {
    @Override
    public int compareTo(ScheduledEvent o) {
      return at != o.at ? Long.compare(at, o.at) : Long.compare(order, o.order);
    }
  }

  long now() {
    return now;
  }

  /** Happens then, or now if that has passed. */
  void schedule(long us, Runnable what) {
    queue.add(new ScheduledEvent(Math.max(now, us), order++, what));
  }

  void scheduleAfter(long us, Runnable what) {
    schedule(now + us, what);
  }

  /** Plays all that happens up to a time. */
  void runUntil(long end) {
    while (!queue.isEmpty() && queue.peek().at <= end) {
      ScheduledEvent h = queue.poll();
      now = h.at;
      processedCount++;
      h.action.run();
    }
    now = Math.max(now, end);
  }

  /** How much has happened. */
  long processedCount() {
    return processedCount;
  }
}
