package hollyslip.emulator;

import java.util.PriorityQueue;

/** Virtual clock, us, with its queue of events, which run in order of time and then of insertion. */
final class EventQueue {
  /** Start of virtual time. Not 0, because a node start time of 0 means "long ago" to the scheduler. */
  static final long START_US = 10_000_000_000L;

  private final PriorityQueue<ScheduledEvent> queue = new PriorityQueue<>();
  private long now = START_US;
  private long nextOrder;
  private long processedCount;

  private record ScheduledEvent(long timeUs, long order, Runnable action)
      implements
        Comparable<ScheduledEvent> {
    @Override
    public int compareTo(ScheduledEvent other) {
      return timeUs != other.timeUs ? Long.compare(timeUs, other.timeUs) : Long.compare(order, other.order);
    }
  }

  long now() {
    return now;
  }

  /** Runs an action at the given time, or now if that time has passed. */
  void schedule(long timeUs, Runnable action) {
    queue.add(new ScheduledEvent(Math.max(now, timeUs), nextOrder++, action));
  }

  void scheduleAfter(long delayUs, Runnable action) {
    schedule(now + delayUs, action);
  }

  /** Processes all events up to the given time. */
  void runUntil(long end) {
    while (!queue.isEmpty() && queue.peek().timeUs <= end) {
      ScheduledEvent event = queue.poll();
      now = event.timeUs;
      processedCount++;
      event.action.run();
    }
    now = Math.max(now, end);
  }

  /** Number of events processed. */
  long processedCount() {
    return processedCount;
  }
}
