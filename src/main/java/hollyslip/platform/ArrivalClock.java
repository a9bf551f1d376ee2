package hollyslip.platform;

/** Estimates when bytes came that are read now: the time of a request counts from then, but a process that
 * was held up reads late, and connections may have waited in the listener's queue with their requests in
 * them. Estimates are early rather than late: they are late by two ticks at most. No I/O, no clock: times are
 * us, handed in. */
final class ArrivalClock {
  /** How often a loop that is not held up calls {@link #tick}, us. */
  static final long TICK_US = 20_000;

  private static final long NEVER = Long.MAX_VALUE;

  /** The last tick and the one before. All that had come by then was read before the last, as the loop looks
   * at its sockets between any two. The last alone does not tell: a wait that was interrupted ends without a
   * look. */
  private long lastTick, tickBefore;
  /** Since when connections may have been waiting for their accept; {@link #NEVER}: none does. */
  private long queuedSince = NEVER;

  ArrivalClock(long now) {
    lastTick = now;
    tickBefore = now;
  }

  /** The loop runs its timers. */
  void tick(long now) {
    tickBefore = lastTick;
    lastTick = now;
  }

  /** When bytes that are read at {@code now} may have come at the earliest. */
  long arrival(long now) {
    return Math.min(now, tickBefore + 2 * TICK_US);
  }

  /** Connections may wait in the listener's queue from now on. */
  void acceptStopped(long now) {
    queuedSince = Math.min(queuedSince, arrival(now));
  }

  /** Nobody was left in the listener's queue. */
  void queueEmpty() {
    queuedSince = NEVER;
  }

  /** Since when a connection that is accepted at {@code now} may have waited, with bytes in it. */
  long queuedSince(long now) {
    return Math.min(queuedSince, arrival(now));
  }
}
