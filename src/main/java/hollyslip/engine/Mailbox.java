package hollyslip.engine;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;

/** What other threads have for the engine, and how it sleeps until there is something. */
final class Mailbox {
  /** How long the engine looks again before it sleeps, ns: waking a thread costs more than this. Harm: so
   * much of a core is burnt each time before a sleep. */
  private static final long SPIN_NS = 30_000;

  private final ConcurrentLinkedQueue<Runnable> queue = new ConcurrentLinkedQueue<>();
  private volatile boolean asleep;
  private volatile Thread owner;

  void owner(Thread thread) {
    owner = thread;
  }

  /** Any thread. */
  void put(Runnable letter) {
    queue.add(letter);
    if (asleep) {
      LockSupport.unpark(owner);
    }
  }

  Runnable poll() {
    return queue.poll();
  }

  /** Waits for a letter, but no longer than so many us. */
  void await(long us) {
    long from = System.nanoTime();
    long spin = Math.min(SPIN_NS, us * 1_000);
    while (System.nanoTime() - from < spin) {
      if (!queue.isEmpty()) {
        return;
      }
      Thread.onSpinWait();
    }
    long left = us * 1_000 - (System.nanoTime() - from);
    if (left > 0) {
      asleep = true;
      if (queue.isEmpty()) {
        LockSupport.parkNanos(this, left);
      }
      asleep = false;
    }
  }
}
