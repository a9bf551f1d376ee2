package hollyslip.engine;

import java.util.Arrays;

/** Due times on the engine's clock, us, earliest first, then in the order in which they were set. A cancelled
 * one is gone at once: nearly all are cancelled, long before they are due, and would be kept alive by the
 * heap, with all that they point to. */
final class Timers {
  /** What is to be done. */
  interface Task {
    void due();
  }

  private Entry[] heap = new Entry[64];
  private int count;
  private long order;

  /** A timer. */
  final class Entry {
    private final long at;
    private final long order;
    private Task task;
    private int place;

    private Entry(long at, long order, Task task) {
      this.at = at;
      this.order = order;
      this.task = task;
    }

    /** It does nothing any more; again, or after it was due, changes nothing. */
    void cancel() {
      if (task != null) {
        task = null;
        remove(place);
      }
    }

    private boolean before(Entry o) {
      return at != o.at ? at < o.at : order < o.order;
    }
  }

  Entry set(long at, Task task) {
    Entry e = new Entry(at, order++, task);
    if (count == heap.length) {
      heap = Arrays.copyOf(heap, 2 * count);
    }
    up(e, count++);
    return e;
  }

  /** Runs what is due, also what it sets as due meanwhile. */
  void run(long now) {
    while (count > 0 && heap[0].at <= now) {
      Task task = heap[0].task;
      heap[0].task = null;
      remove(0);
      task.due();
    }
  }

  /** Due time of the next one, or {@code Long.MAX_VALUE}. */
  long next() {
    return count == 0 ? Long.MAX_VALUE : heap[0].at;
  }

  int size() {
    return count;
  }

  private void remove(int place) {
    Entry last = heap[--count];
    heap[count] = null;
    if (place < count) {
      up(last, place);
      down(last, last.place);
    }
  }

  private void put(Entry e, int place) {
    heap[place] = e;
    e.place = place;
  }

  private void up(Entry e, int from) {
    int at = from;
    while (at > 0 && e.before(heap[(at - 1) / 2])) {
      put(heap[(at - 1) / 2], at);
      at = (at - 1) / 2;
    }
    put(e, at);
  }

  private void down(Entry e, int from) {
    int at = from;
    for (int child = 2 * at + 1; child < count; child = 2 * at + 1) {
      if (child + 1 < count && heap[child + 1].before(heap[child])) {
        child++;
      }
      if (!heap[child].before(e)) {
        break;
      }
      put(heap[child], at);
      at = child;
    }
    put(e, at);
  }
}
