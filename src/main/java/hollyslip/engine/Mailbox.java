package hollyslip.engine;

import java.util.Queue;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscUnboundedArrayQueue;

/** What other threads have for the engine, and how it sleeps until there is something. Letters are the things
 * themselves that happened, so that posting one makes no garbage. */
final class Mailbox {
  private static final int CHUNK_SIZE = 4_096;

  private final Spin spin = new Spin();
  private final Queue<Runnable> queue = new MpscUnboundedArrayQueue<>(CHUNK_SIZE);
  private volatile boolean asleep;
  private volatile Thread owner;

  void setOwner(Thread thread) {
    owner = thread;
  }

  /** Any thread. */
  void post(Runnable letter) {
    queue.add(letter);
    if (asleep) {
      LockSupport.unpark(owner);
    }
  }

  /** The owner alone. */
  Runnable poll() {
    return queue.poll();
  }

  /** The owner alone. */
  boolean isEmpty() {
    return queue.isEmpty();
  }

  /** Waits for a letter, but no longer than so many us. */
  void await(long us) {
    if (spin.until(us * 1_000, () -> !queue.isEmpty())) {
      return;
    }
    long left = us * 1_000 - spin.lastSpinNs();
    if (left > 0) {
      asleep = true;
      if (queue.isEmpty()) {
        LockSupport.parkNanos(this, left);
      }
      asleep = false;
    }
  }
}
