package hollyslip.engine;

/** Lets one fact a second through to the log and counts the others, so that a storm is one line a second.
 * Free of clock. */
final class Sampler {
  private static final long EVERY_US = 1_000_000;
  private long next = Long.MIN_VALUE;
  private long passedOver;

  /** How many facts the line stands for, or 0: no line now. */
  long admit(long now) {
    passedOver++;
    if (now < next) {
      return 0;
    }
    next = now + EVERY_US;
    long n = passedOver;
    passedOver = 0;
    return n;
  }
}
