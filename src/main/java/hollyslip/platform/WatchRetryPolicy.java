package hollyslip.platform;

/** Decides when a watch is abandoned and the next one is opened. No I/O, no clock: times are passed in, us.
 * Updates count as delivered some seconds after a watch fell silent, whether they arrived or not, so each
 * phase has a time limit: an open watch must deliver something complete within {@link #SILENCE_TIMEOUT_US},
 * an attempt must be answered within {@link #RESPONSE_TIMEOUT_US}, and the next attempt follows a failure
 * after a delay. */
final class WatchRetryPolicy {
  /** Discovery sends an empty line at least every 2 s; 1.5 times that counts as silence. Drawback: a process
   * that was stalled for a second opens a watch needlessly. */
  static final long SILENCE_TIMEOUT_US = 3_000_000;

  /** Limit for connecting and receiving the response head: the discovery agent is on this machine and
   * responds without delay. Updates that it receives when discovery comes back count as delivered
   * immediately, so the next attempt must follow soon. */
  static final long RESPONSE_TIMEOUT_US = 250_000;

  /** How long an attempt that was not answered in time stays open beside newer ones, us, and how many such
   * attempts there may be. */
  static final long OVERDUE_LIFETIME_US = 5_000_000;
  static final int MAX_OVERDUE = 5;

  /** Delay after failed attempts: doubled from the minimum to the maximum. */
  static final long MIN_RETRY_DELAY_US = 50_000, MAX_RETRY_DELAY_US = 200_000;

  private final long silenceTimeoutUs, responseTimeoutUs;
  private long lastReceivedAt, attemptStartedAt, nextAttemptAt = Long.MIN_VALUE,
      retryDelayUs = MIN_RETRY_DELAY_US;

  WatchRetryPolicy() {
    this(SILENCE_TIMEOUT_US, RESPONSE_TIMEOUT_US);
  }

  WatchRetryPolicy(long silenceTimeoutUs, long responseTimeoutUs) {
    this.silenceTimeoutUs = silenceTimeoutUs;
    this.responseTimeoutUs = responseTimeoutUs;
  }

  /** Time within which an attempt must be answered, us. */
  long responseTimeoutUs() {
    return responseTimeoutUs;
  }

  /** Called when the discovery address changes. */
  void resetRetryDelay() {
    retryDelayUs = MIN_RETRY_DELAY_US;
  }

  void attemptStarted(long now) {
    attemptStartedAt = now;
  }

  /** Whether the pending attempt has taken too long. */
  boolean attemptOverdue(long now) {
    return now - attemptStartedAt >= responseTimeoutUs;
  }

  /** An attempt failed, or the watch in use has ended. */
  void watchFailed(long now) {
    // Counted from the start of the attempt: one that used up its time has waited long enough.
    nextAttemptAt = Math.max(now, attemptStartedAt + retryDelayUs);
    retryDelayUs = Math.min(MAX_RETRY_DELAY_US, 2 * retryDelayUs);
  }

  void watchAnswered(long now) {
    lastReceivedAt = now;
  }

  /** Something complete was received: an object, or whitespace between two. */
  void dataReceived(long now) {
    lastReceivedAt = now;
    retryDelayUs = MIN_RETRY_DELAY_US;
  }

  /** Whether to open a watch now, given that no attempt is pending.
   *
   * @param inUse
   *          whether an answered watch is in use, which is replaced only once it is silent */
  boolean shouldOpen(long now, boolean inUse) {
    return now >= nextAttemptAt && (!inUse || now - lastReceivedAt >= silenceTimeoutUs);
  }
}
