package hollyslip.platform;

/** The module's clock: Unix time in us at the start, and never a step back or forth from then on. */
final class Clock {
  private final long startUnixUs = System.currentTimeMillis() * 1000;
  private final long startNanos = System.nanoTime();

  /** us. */
  long now() {
    return startUnixUs + (System.nanoTime() - startNanos) / 1000;
  }

  /** A moment of the wall's clock, ms, on this one, us: the two differ once the wall's has been set. */
  long ofWall(long unixMs) {
    return now() + (unixMs - System.currentTimeMillis()) * 1000;
  }
}
