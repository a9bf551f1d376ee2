package hollyslip.engine;

import java.util.function.BooleanSupplier;

/** How long a thread looks for work before it sleeps: waking it costs tens of us, so where work comes often
 * it looks longer, where looking was in vain, shorter. Harm: up to the most of it is burnt of a core before
 * each sleep. For one thread. */
public final class Spin {
  private static final long MIN_SPIN_NS = 5_000, MAX_SPIN_NS = 120_000;

  private long spinNs = MAX_SPIN_NS / 4;
  private long lastSpinNs;

  /** Looks until there is work or the time is up; whether there is. */
  public boolean until(long mostNs, BooleanSupplier work) {
    long from = System.nanoTime();
    long most = Math.min(spinNs, mostNs);
    do {
      if (work.getAsBoolean()) {
        spinNs = Math.min(MAX_SPIN_NS, spinNs * 2);
        return true;
      }
      Thread.onSpinWait();
      lastSpinNs = System.nanoTime() - from;
    } while (lastSpinNs < most);
    if (most == spinNs) {
      spinNs = Math.max(MIN_SPIN_NS, spinNs / 2);
    }
    return false;
  }

  /** How long the last look in vain took, ns. */
  long lastSpinNs() {
    return lastSpinNs;
  }
}
