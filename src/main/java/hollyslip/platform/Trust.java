package hollyslip.platform;

/** How long a kept connection may have been idle to be used again, us. Guards against machines that give
 * connections up earlier than the settings say, so that what may not run twice is lost with them. Harm: more
 * connections are made, as long as such breaks go on. No I/O, no clock. */
final class Trust {
  /** After a break, this part of the idle time that ended in it; after an answer on a kept connection, this
   * multiple of what it was. */
  private static final double KEPT = 0.5, REGAIN = 1.01;

  private final long leastUs, mostUs;
  private long us;

  /** Between {@code leastUs} and {@code mostUs}, with which it starts. */
  Trust(long leastUs, long mostUs) {
    this.leastUs = leastUs;
    this.mostUs = mostUs;
    us = mostUs;
  }

  long us() {
    return us;
  }

  /** A connection that had been idle for so long turned out to be gone. */
  void broke(long idleUs) {
    us = Math.min(us, Math.max(leastUs, (long) (KEPT * idleUs)));
  }

  /** A kept connection brought an answer. */
  void held() {
    us = us >= mostUs / REGAIN ? mostUs : (long) Math.ceil(us * REGAIN);
  }
}
