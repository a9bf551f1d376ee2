package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What discovery tells counts as told 6 s after a watch fell silent: each phase on a scripted clock, looked
 * at every 50 ms as {@link DiscoveryClient} does, with the worst that may follow. */
class WatchRetryPolicyTest {
  private static final long TICK = 50_000, TOLD = 6_000_000, MARGIN = 2_000_000;
  private final WatchClock times = new WatchClock();
  private long now;

  /** Moves on to the next moment at which a watch is opened. */
  private long untilOpened(boolean inUse) {
    for (long start = now; !times.shouldOpen(now, inUse); now += TICK) {
      assertTrue(now - start < 60_000_000);
    }
    times.attemptStarted(now);
    return now;
  }

  /** An attempt that is accepted and never answered. */
  private void unanswered() {
    while (!times.attemptOverdue(now)) {
      now += TICK;
    }
    times.watchFailed(now);
  }

  private void answered() {
    times.attemptStarted(now);
    times.watchAnswered(now);
  }

  @Test
  void aWatchThatSpeaksIsKept() {
    answered();
    for (int i = 0; i < 100; i++) {
      now += 2_000_000;
      assertFalse(times.shouldOpen(now, true));
      times.dataReceived(now);
    }
  }

  @Test
  void aSilentWatchIsReplacedInTimeThoughTheNextTwoFailToo() {
    answered();
    times.dataReceived(now);
    long silentSince = now;
    untilOpened(true);
    unanswered();
    untilOpened(true);
    unanswered();
    assertTrue(untilOpened(true) - silentSince <= TOLD - MARGIN, () -> "" + now);
  }

  /** Half an object is no word: only what is whole counts as heard, so this is the case above. */
  @Test
  void silenceAfterTheHeadCountsFromTheHead() {
    answered();
    long silentSince = now;
    assertTrue(untilOpened(true) - silentSince <= WatchClock.SILENT_US + TICK);
  }

  @Test
  void whileDiscoveryIsDownOneIsOftenBeingOpened() {
    answered();
    untilOpened(true);
    for (int i = 0; i < 50; i++) {
      long before = now;
      unanswered();
      untilOpened(true);
      // What discovery gets at its return counts as told then; a drain's grace is half a second or more.
      assertTrue(now - before <= 400_000, () -> "" + now);
    }
  }

  @Test
  void refusedAttemptsArePacedAndNeverStop() {
    times.attemptStarted(now);
    int opened = 0;
    for (; now < 10_000_000; now += 1_000) {
      if (times.shouldOpen(now, false)) {
        times.attemptStarted(now);
        times.watchFailed(now);
        opened++;
      }
    }
    assertTrue(opened >= 10_000_000 / WatchClock.MAX_RETRY_DELAY_US && opened <= 60, "" + opened);
  }

  @Test
  void aResetWatchIsReplacedAtOnce() {
    answered();
    now += 500_000;
    times.dataReceived(now);
    times.watchFailed(now);
    long lost = now;
    assertEquals(lost, untilOpened(false));
  }
}
