package hollyslip.engine;

import java.util.Arrays;

/** Due times on the engine's clock, us, earliest first, then in the order in which they were set. A cancelled
 * one is gone at once: nearly all are cancelled, long before they are due, and would be kept alive by the
 * heap, with all that they point to. */
final class TimerQueue {
  /** What is to be done. */
  interface Task {
    void onDue();
  }

  private Timer[] heap = new Timer[64];
  private int count;
  private long nextSequence;

  /** A timer. */
  final class Timer {
    private final long dueAt;
    private final long sequence;
    private Task task;
    private int heapIndex;

    private Timer(long at, long order, Task task) {
      this.dueAt = at;
      this.sequence = order;
      this.task = task;
    }

    /** It does nothing any more; again, or after it was due, changes nothing. */
    void cancel() {
      if (task != null) {
        task = null;
        remove(heapIndex);
      }
    }

    private boolean before(Timer o) {
      return dueAt != o.dueAt ? dueAt < o.dueAt : sequence < o.sequence;
    }
  }

  Timer schedule(long at, Task task) {
    Timer e = new Timer(at, nextSequence++, task);
    if (count == heap.length) {
      heap = Arrays.copyOf(heap, 2 * count);
    }
    siftUp(e, count++);
    return e;
  }

  /** Runs what is due, also what it sets as due meanwhile. */
  void runDue(long now) {
    while (count > 0 && heap[0].dueAt <= now) {
      Task task = heap[0].task;
      heap[0].task = null;
      remove(0);
      task.onDue();
    }
  }

  /** Due time of the next one, or {@code Long.MAX_VALUE}. */
  long nextDueTime() {
    return count == 0 ? Long.MAX_VALUE : heap[0].dueAt;
  }

  int size() {
    return count;
  }

  private void remove(int place) {
    Timer last = heap[--count];
    heap[count] = null;
    if (place < count) {
      siftUp(last, place);
      siftDown(last, last.heapIndex);
    }
  }

  private void setSlot(Timer e, int place) {
    heap[place] = e;
    e.heapIndex = place;
  }

  private void siftUp(Timer e, int from) {
    int at = from;
    while (at > 0 && e.before(heap[(at - 1) / 2])) {
      setSlot(heap[(at - 1) / 2], at);
      at = (at - 1) / 2;
    }
    setSlot(e, at);
  }

  private void siftDown(Timer e, int from) {
    int at = from;
    for (int child = 2 * at + 1; child < count; child = 2 * at + 1) {
      if (child + 1 < count && heap[child + 1].before(heap[child])) {
        child++;
      }
      if (!heap[child].before(e)) {
        break;
      }
      setSlot(heap[child], at);
      at = child;
    }
    setSlot(e, at);
  }
}
