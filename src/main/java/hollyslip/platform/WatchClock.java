package hollyslip.platform;

/** When a watch is given up and the next one is opened; no I/O, no clock: times are us, handed in. What
 * discovery has to tell counts as told some seconds after a watch fell silent, whether it arrived or not, so
 * each phase has its bound: an open watch must say something whole within {@link #SILENT_US}, one that is
 * being opened must be answered within {@link #RESPONSE_TIMEOUT_US}, and a failed one is followed by the next after a
 * pause. */
final class WatchClock {
  /** Discovery sends an empty line every 2 s at least; half as long again is silence. Harm: a process that
   * was held up for a second opens a watch in vain. */
  static final long SILENT_US = 3_000_000;

  /** Connecting and the answer's head: the agent is on this machine and answers without delay. What it gets
   * when discovery comes back counts as told at once, so the next attempt must not be far. */
  static final long RESPONSE_TIMEOUT_US = 250_000;

  /** An attempt that is not answered soon stays open for so long, us, beside newer ones; and how many do. */
  static final long OVERDUE_LIFETIME_US = 5_000_000;
  static final int MAX_OVERDUE = 5;

  /** Pauses after failed attempts: doubled from the first to the last. */
  static final long MIN_RETRY_DELAY_US = 50_000, MAX_RETRY_DELAY_US = 200_000;

  private final long silenceTimeoutUs, responseTimeoutUs;
  private long lastReceivedAt, attemptStartedAt, nextAttemptAt = Long.MIN_VALUE, retryDelayUs = MIN_RETRY_DELAY_US;

  WatchClock() {
    this(SILENT_US, RESPONSE_TIMEOUT_US);
  }

  WatchClock(long silentUs, long answerUs) {
    this.silenceTimeoutUs = silentUs;
    this.responseTimeoutUs = answerUs;
  }

  /** Within how long an attempt must be answered, us. */
  long responseTimeoutUs() {
    return responseTimeoutUs;
  }

  /** Another discovery is asked from now on. */
  void resetRetryDelay() {
    retryDelayUs = MIN_RETRY_DELAY_US;
  }

  void attemptStarted(long now) {
    attemptStartedAt = now;
  }

  /** Whether the attempt that is under way has taken too long. */
  boolean attemptOverdue(long now) {
    return now - attemptStartedAt >= responseTimeoutUs;
  }

  /** An attempt came to nothing, or the watch that was in use has ended. */
  void watchFailed(long now) {
    // An attempt that used up its time has waited long enough.
    nextAttemptAt = Math.max(now, attemptStartedAt + retryDelayUs);
    retryDelayUs = Math.min(MAX_RETRY_DELAY_US, 2 * retryDelayUs);
  }

  void watchAnswered(long now) {
    lastReceivedAt = now;
  }

  /** Something whole has come: an object, or blanks between two. */
  void dataReceived(long now) {
    lastReceivedAt = now;
    retryDelayUs = MIN_RETRY_DELAY_US;
  }

  /** Whether a watch is to be opened now, none being opened already. */
  boolean shouldOpen(long now, boolean inUse) {
    return now >= nextAttemptAt && (!inUse || now - lastReceivedAt >= silenceTimeoutUs);
  }
}
