package hollyslip.emulator;

import java.util.PriorityQueue;

/** Virtual time, us, and what is to happen: in order of time, then in the order in which it was put in. */
final class EventQueue {
  /** Not 0, since a birth at 0 means "long ago" to the module. */
  static final long START = 10_000_000_000L;

  private final PriorityQueue<Happening> queue = new PriorityQueue<>();
  private long now = START;
  private long order;
  private long played;

  private record Happening(long at, long order, Runnable what) implements Comparable<Happening> {
    @Override
    public int compareTo(Happening o) {
      return at != o.at ? Long.compare(at, o.at) : Long.compare(order, o.order);
    }
  }

  long now() {
    return now;
  }

  /** Happens then, or now if that has passed. */
  void at(long us, Runnable what) {
    queue.add(new Happening(Math.max(now, us), order++, what));
  }

  void in(long us, Runnable what) {
    at(now + us, what);
  }

  /** Plays all that happens up to a time. */
  void until(long end) {
    while (!queue.isEmpty() && queue.peek().at <= end) {
      Happening h = queue.poll();
      now = h.at;
      played++;
      h.what.run();
    }
    now = Math.max(now, end);
  }

  /** How much has happened. */
  long played() {
    return played;
  }
}
