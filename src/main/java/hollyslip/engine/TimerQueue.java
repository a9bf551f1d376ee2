package hollyslip.engine;

import java.util.Arrays;

/** Timers on the engine's clock, us: by due time, then in the order in which they were set. A cancelled timer
 * is removed at once, since nearly all timers are cancelled long before they are due, and the heap would keep
 * them and all that they refer to alive. */
final class TimerQueue {
  interface Task {
    void onDue();
  }

  private Timer[] heap = new Timer[64];
  private int count;
  private long nextSequence;

  final class Timer {
    private final long dueAt;
    private final long sequence;
    private Task task;
    private int heapIndex;

    private Timer(long dueAt, long sequence, Task task) {
      this.dueAt = dueAt;
      this.sequence = sequence;
      this.task = task;
    }

    /** Cancels the timer; no effect if it was cancelled before or has run. */
    void cancel() {
      if (task != null) {
        task = null;
        remove(heapIndex);
      }
    }

    private boolean before(Timer other) {
      return dueAt != other.dueAt ? dueAt < other.dueAt : sequence < other.sequence;
    }
  }

  Timer schedule(long dueAt, Task task) {
    Timer timer = new Timer(dueAt, nextSequence++, task);
    if (count == heap.length) {
      heap = Arrays.copyOf(heap, 2 * count);
    }
    siftUp(timer, count++);
    return timer;
  }

  /** Runs all due timers, including those that they schedule as due in turn. */
  void runDue(long now) {
    while (count > 0 && heap[0].dueAt <= now) {
      Task task = heap[0].task;
      heap[0].task = null;
      remove(0);
      task.onDue();
    }
  }

  /** Due time of the next timer; {@code Long.MAX_VALUE} if there is none. */
  long nextDueTime() {
    return count == 0 ? Long.MAX_VALUE : heap[0].dueAt;
  }

  int size() {
    return count;
  }

  private void remove(int index) {
    Timer last = heap[--count];
    heap[count] = null;
    if (index < count) {
      siftUp(last, index);
      siftDown(last, last.heapIndex);
    }
  }

  private void setSlot(Timer timer, int index) {
    heap[index] = timer;
    timer.heapIndex = index;
  }

  private void siftUp(Timer timer, int start) {
    int index = start;
    while (index > 0 && timer.before(heap[(index - 1) / 2])) {
      setSlot(heap[(index - 1) / 2], index);
      index = (index - 1) / 2;
    }
    setSlot(timer, index);
  }

  private void siftDown(Timer timer, int start) {
    int index = start;
    for (int child = 2 * index + 1; child < count; child = 2 * index + 1) {
      if (child + 1 < count && heap[child + 1].before(heap[child])) {
        child++;
      }
      if (!heap[child].before(timer)) {
        break;
      }
      setSlot(heap[child], index);
      index = child;
    }
    setSlot(timer, index);
  }
}
