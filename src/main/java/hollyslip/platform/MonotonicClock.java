package hollyslip.platform;

/** The scheduler's clock: starts at Unix time and is then monotonic, unaffected by changes of the system
 * clock. */
final class MonotonicClock {
  private final long startUnixUs = System.currentTimeMillis() * 1000;
  private final long startNanos = System.nanoTime();

  /** Current time, us. */
  long now() {
    return startUnixUs + (System.nanoTime() - startNanos) / 1000;
  }

  /** Converts Unix time of the system clock, ms, to this clock, us: the two differ once the system clock was
   * adjusted. */
  long fromWallClock(long unixMs) {
    return now() + (unixMs - System.currentTimeMillis()) * 1000;
  }
}
