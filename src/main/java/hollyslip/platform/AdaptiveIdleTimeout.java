package hollyslip.platform;

/** How long a kept connection may have been idle to be used again, us. Guards against machines that give
 * connections up earlier than the settings say, so that what may not run twice is lost with them. Harm: more
 * connections are made, as long as such breaks go on. No I/O, no clock. */
final class AdaptiveIdleTimeout {
  /** After a break, this part of the idle time that ended in it; after an answer on a kept connection, this
   * multiple of what it was. */
  private static final double DECREASE_FACTOR = 0.5, INCREASE_FACTOR = 1.01;

  private final long minUs, maxUs;
  private long timeoutUs;

  /** Between {@code leastUs} and {@code mostUs}, with which it starts. */
  AdaptiveIdleTimeout(long leastUs, long mostUs) {
    this.minUs = leastUs;
    this.maxUs = mostUs;
    timeoutUs = mostUs;
  }

  long timeoutUs() {
    return timeoutUs;
  }

  /** A connection that had been idle for so long turned out to be gone. */
  void recordStale(long idleUs) {
    timeoutUs = Math.min(timeoutUs, Math.max(minUs, (long) (DECREASE_FACTOR * idleUs)));
  }

  /** A kept connection brought an answer. */
  void recordSuccess() {
    timeoutUs = timeoutUs >= maxUs / INCREASE_FACTOR ? maxUs : (long) Math.ceil(timeoutUs * INCREASE_FACTOR);
  }
}
