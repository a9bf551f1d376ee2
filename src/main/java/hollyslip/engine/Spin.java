package hollyslip.engine;

import java.util.function.BooleanSupplier;

/** How long a thread looks for work before it sleeps: waking it costs tens of us, so where work comes often
 * it looks longer, where looking was in vain, shorter. Harm: up to the most of it is burnt of a core before
 * each sleep. For one thread. */
public final class Spin {
  private static final long LEAST_NS = 5_000, MOST_NS = 120_000;

  private long length = MOST_NS / 4;
  private long spent;

  /** Looks until there is work or the time is up; whether there is. */
  public boolean until(long mostNs, BooleanSupplier work) {
    long from = System.nanoTime();
    long most = Math.min(length, mostNs);
    do {
      if (work.getAsBoolean()) {
        length = Math.min(MOST_NS, length * 2);
        return true;
      }
      Thread.onSpinWait();
      spent = System.nanoTime() - from;
    } while (spent < most);
    if (most == length) {
      length = Math.max(LEAST_NS, length / 2);
    }
    return false;
  }

  /** How long the last look in vain took, ns. */
  long spent() {
    return spent;
  }
}
