package hollyslip.platform;

/** How long a connection may have been idle to be reused, us. Guards against peers and middleboxes that drop
 * idle connections earlier than the settings say: a request that must not run twice would be lost with the
 * connection. Drawback: more new connections while such breaks continue. No I/O, no clock. */
final class AdaptiveIdleTimeout {
  /** After a break, the timeout becomes this fraction of the idle time that preceded it; after a response on
   * a reused connection, it grows by this factor. */
  private static final double DECREASE_FACTOR = 0.5, INCREASE_FACTOR = 1.01;

  private final long minUs, maxUs;
  private long timeoutUs;

  /** Stays between {@code minUs} and {@code maxUs}, and starts at {@code maxUs}. */
  AdaptiveIdleTimeout(long minUs, long maxUs) {
    this.minUs = minUs;
    this.maxUs = maxUs;
    timeoutUs = maxUs;
  }

  long timeoutUs() {
    return timeoutUs;
  }

  /** A connection that had been idle for this long turned out to be closed. */
  void recordStale(long idleUs) {
    timeoutUs = Math.min(timeoutUs, Math.max(minUs, (long) (DECREASE_FACTOR * idleUs)));
  }

  /** A reused connection delivered a response. */
  void recordSuccess() {
    timeoutUs = timeoutUs >= maxUs / INCREASE_FACTOR ? maxUs : (long) Math.ceil(timeoutUs * INCREASE_FACTOR);
  }
}
