package hollyslip.engine;

/** Lets one event per second through to the log and counts the others, so that a burst of events becomes one
 * line per second. The caller provides the time. */
final class LogSampler {
  private static final long INTERVAL_US = 1_000_000;
  private long nextLogAt = Long.MIN_VALUE;
  private long unlogged;

  /** Number of events that the log line stands for; 0 if nothing is to be logged now. */
  long admit(long now) {
    unlogged++;
    if (now < nextLogAt) {
      return 0;
    }
    nextLogAt = now + INTERVAL_US;
    long occurrences = unlogged;
    unlogged = 0;
    return occurrences;
  }
}
