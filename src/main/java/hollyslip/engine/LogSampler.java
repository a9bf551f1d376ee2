package hollyslip.engine;

/** Lets one fact a second through to the log and counts the others, so that a storm is one line a second.
 * Free of clock. */
final class LogSampler {
  private static final long INTERVAL_US = 1_000_000;
  private long nextLogAt = Long.MIN_VALUE;
  private long unlogged;

  /** How many facts the line stands for, or 0: no line now. */
  long admit(long now) {
    unlogged++;
    if (now < nextLogAt) {
      return 0;
    }
    nextLogAt = now + INTERVAL_US;
    long n = unlogged;
    unlogged = 0;
    return n;
  }
}
