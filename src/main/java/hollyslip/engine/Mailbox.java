package hollyslip.engine;

import java.util.Queue;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscUnboundedArrayQueue;

/** Messages from other threads to the engine, and the engine's sleep until one arrives. Requests and attempts
 * are messages themselves, so that posting them allocates nothing. */
final class Mailbox {
  private static final int CHUNK_SIZE = 4_096;

  private final AdaptiveSpinner spinner = new AdaptiveSpinner();
  private final Queue<Runnable> queue = new MpscUnboundedArrayQueue<>(CHUNK_SIZE);
  private volatile boolean asleep;
  private volatile Thread owner;

  void setOwner(Thread thread) {
    owner = thread;
  }

  /** Thread-safe. */
  void post(Runnable message) {
    queue.add(message);
    if (asleep) {
      LockSupport.unpark(owner);
    }
  }

  /** Owner thread only. */
  Runnable poll() {
    return queue.poll();
  }

  /** Owner thread only. */
  boolean isEmpty() {
    return queue.isEmpty();
  }

  /** Waits for a message, at most for the given us. Owner thread only. */
  void await(long us) {
    if (spinner.spinUntil(us * 1_000, () -> !queue.isEmpty())) {
      return;
    }
    long remainingNs = us * 1_000 - spinner.lastSpinNs();
    if (remainingNs > 0) {
      asleep = true;
      if (queue.isEmpty()) {
        LockSupport.parkNanos(this, remainingNs);
      }
      asleep = false;
    }
  }
}
