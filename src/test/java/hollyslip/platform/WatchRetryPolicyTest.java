package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Updates from discovery count as delivered 6 s after a watch fell silent. Tests each phase on a simulated
 * clock that is polled every 50 ms, as {@link DiscoveryClient} does, with the worst case that may follow. */
class WatchRetryPolicyTest {
  private static final long TICK_US = 50_000, DELIVERED_AFTER_US = 6_000_000, MARGIN_US = 2_000_000;
  private final WatchRetryPolicy policy = new WatchRetryPolicy();
  private long now;

  /** Advances the clock to the next time at which a watch is opened. */
  private long advanceUntilOpened(boolean inUse) {
    for (long start = now; !policy.shouldOpen(now, inUse); now += TICK_US) {
      assertTrue(now - start < 60_000_000);
    }
    policy.attemptStarted(now);
    return now;
  }

  /** Simulates an attempt that is connected and never answered. */
  private void timeOutAttempt() {
    while (!policy.attemptOverdue(now)) {
      now += TICK_US;
    }
    policy.watchFailed(now);
  }

  private void answerAttempt() {
    policy.attemptStarted(now);
    policy.watchAnswered(now);
  }

  @Test
  void watchThatReceivesDataIsKept() {
    answerAttempt();
    for (int i = 0; i < 100; i++) {
      now += 2_000_000;
      assertFalse(policy.shouldOpen(now, true));
      policy.dataReceived(now);
    }
  }

  @Test
  void silentWatchIsReplacedInTimeEvenIfTwoAttemptsFail() {
    answerAttempt();
    policy.dataReceived(now);
    long silentSince = now;
    advanceUntilOpened(true);
    timeOutAttempt();
    advanceUntilOpened(true);
    timeOutAttempt();
    assertTrue(advanceUntilOpened(true) - silentSince <= DELIVERED_AFTER_US - MARGIN_US, () -> "" + now);
  }

  /** An incomplete object counts as silence: only complete ones are reported to the policy. */
  @Test
  void silenceAfterTheResponseHeadCountsFromTheHead() {
    answerAttempt();
    long silentSince = now;
    assertTrue(advanceUntilOpened(true) - silentSince <= WatchRetryPolicy.SILENCE_TIMEOUT_US + TICK_US);
  }

  @Test
  void attemptsFollowQuicklyWhileDiscoveryIsDown() {
    answerAttempt();
    advanceUntilOpened(true);
    for (int i = 0; i < 50; i++) {
      long before = now;
      timeOutAttempt();
      advanceUntilOpened(true);
      // Updates that reach discovery when it comes back count as delivered then; a drain grants 0.5 s or
      // more.
      assertTrue(now - before <= 400_000, () -> "" + now);
    }
  }

  @Test
  void refusedAttemptsAreRetriedAtALimitedRate() {
    policy.attemptStarted(now);
    int opened = 0;
    for (; now < 10_000_000; now += 1_000) {
      if (policy.shouldOpen(now, false)) {
        policy.attemptStarted(now);
        policy.watchFailed(now);
        opened++;
      }
    }
    assertTrue(opened >= 10_000_000 / WatchRetryPolicy.MAX_RETRY_DELAY_US && opened <= 60, "" + opened);
  }

  @Test
  void resetWatchIsReplacedImmediately() {
    answerAttempt();
    now += 500_000;
    policy.dataReceived(now);
    policy.watchFailed(now);
    long lostAt = now;
    assertEquals(lostAt, advanceUntilOpened(false));
  }
}
