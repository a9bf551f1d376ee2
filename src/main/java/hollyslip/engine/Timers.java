package hollyslip.engine;

import java.util.PriorityQueue;

/** Due times on the engine's clock, us, earliest first, then in the order in which they were set. */
final class Timers {
  private final PriorityQueue<Entry> heap = new PriorityQueue<>();
  private long order;

  /** A timer; {@link #cancel} makes it do nothing. */
  static final class Entry implements Comparable<Entry> {
    final long at;
    private final long order;
    private Runnable task;

    private Entry(long at, long order, Runnable task) {
      this.at = at;
      this.order = order;
      this.task = task;
    }

    void cancel() {
      task = null;
    }

    @Override
    public int compareTo(Entry o) {
      return at != o.at ? Long.compare(at, o.at) : Long.compare(order, o.order);
    }
  }

  Entry set(long at, Runnable task) {
    Entry e = new Entry(at, order++, task);
    heap.add(e);
    return e;
  }

  /** Runs what is due. */
  void run(long now) {
    while (!heap.isEmpty() && heap.peek().at <= now) {
      Runnable task = heap.poll().task;
      if (task != null) {
        task.run();
      }
    }
  }

  /** Due time of the next one, or {@code Long.MAX_VALUE}. */
  long next() {
    while (!heap.isEmpty() && heap.peek().task == null) {
      heap.poll();
    }
    return heap.isEmpty() ? Long.MAX_VALUE : heap.peek().at;
  }

  int size() {
    return heap.size();
  }
}
