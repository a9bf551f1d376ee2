package hollyslip.engine;

import java.util.function.BooleanSupplier;

/** Spins for work before the thread sleeps, since waking it takes tens of us: longer where work arrives
 * often, shorter where spinning was in vain. Drawback: takes up to {@code MAX_SPIN_NS} of a core before each
 * sleep. For a single thread. */
public final class AdaptiveSpinner {
  private static final long MIN_SPIN_NS = 5_000, MAX_SPIN_NS = 120_000;

  private long spinNs = MAX_SPIN_NS / 4;
  private long lastSpinNs;

  /** Spins until there is work or the time is up; returns whether there is work. */
  public boolean spinUntil(long maxNs, BooleanSupplier work) {
    long startNs = System.nanoTime();
    long limitNs = Math.min(spinNs, maxNs);
    do {
      if (work.getAsBoolean()) {
        spinNs = Math.min(MAX_SPIN_NS, spinNs * 2);
        return true;
      }
      Thread.onSpinWait();
      lastSpinNs = System.nanoTime() - startNs;
    } while (lastSpinNs < limitNs);
    if (limitNs == spinNs) {
      spinNs = Math.max(MIN_SPIN_NS, spinNs / 2);
    }
    return false;
  }

  /** Duration of the last spin without work, ns. */
  long lastSpinNs() {
    return lastSpinNs;
  }
}
