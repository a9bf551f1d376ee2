package hollyslip.platform;

/** Estimates when bytes that are read now arrived. A request's deadline counts from its arrival, but a
 * process that was suspended or delayed reads late, and connections may have waited in the accept queue with
 * requests already sent on them. Estimates err on the early side: they are late by two ticks at most. Does no
 * I/O and has no clock; times are passed in, us. */
final class ArrivalTimeEstimator {
  /** Interval at which an undelayed event loop calls {@link #tick}, us. */
  static final long TICK_US = 20_000;

  private static final long NEVER = Long.MAX_VALUE;

  /** The last tick and the one before it. All bytes that had arrived by the previous tick were read before
   * the last one, as the event loop polls its sockets between any two ticks. The last tick alone is not
   * enough: an interrupted select returns without polling. */
  private long lastTick, previousTick;
  /** Since when connections may have been waiting in the accept queue; {@link #NEVER}: none is waiting. */
  private long queuedSince = NEVER;

  ArrivalTimeEstimator(long now) {
    lastTick = now;
    previousTick = now;
  }

  /** Called periodically by a timer of the event loop. Returns how late the call is, us. */
  long tick(long now) {
    previousTick = lastTick;
    lastTick = now;
    return Math.max(0, now - previousTick - TICK_US);
  }

  /** Earliest time at which bytes that are read at {@code now} may have arrived. */
  long earliestArrival(long now) {
    return Math.min(now, previousTick + 2 * TICK_US);
  }

  /** Connections may wait in the accept queue from now on. */
  void acceptingStopped(long now) {
    queuedSince = Math.min(queuedSince, earliestArrival(now));
  }

  /** The accept queue was found empty. */
  void acceptQueueEmpty() {
    queuedSince = NEVER;
  }

  /** Since when a connection that is accepted at {@code now} may have waited in the accept queue, possibly
   * with bytes already received. */
  long queuedSince(long now) {
    return Math.min(queuedSince, earliestArrival(now));
  }
}
