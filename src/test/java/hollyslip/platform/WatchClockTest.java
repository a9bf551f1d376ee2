package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What discovery tells counts as told 6 s after a watch fell silent: each phase on a scripted clock, looked
 * at every 50 ms as {@link Discovery} does, with the worst that may follow. */
class WatchClockTest {
  private static final long TICK = 50_000, TOLD = 6_000_000, MARGIN = 2_000_000;
  private final WatchClock times = new WatchClock();
  private long now;

  /** Moves on to the next moment at which a watch is opened. */
  private long untilOpened(boolean inUse) {
    for (long start = now; !times.opensAt(now, inUse); now += TICK) {
      assertTrue(now - start < 60_000_000);
    }
    times.opening(now);
    return now;
  }

  /** An attempt that is accepted and never answered. */
  private void unanswered() {
    while (!times.attemptOverdue(now)) {
      now += TICK;
    }
    times.failed(now);
  }

  private void answered() {
    times.opening(now);
    times.answered(now);
  }

  @Test
  void aWatchThatSpeaksIsKept() {
    answered();
    for (int i = 0; i < 100; i++) {
      now += 2_000_000;
      assertFalse(times.opensAt(now, true));
      times.heard(now);
    }
  }

  @Test
  void aSilentWatchIsReplacedInTimeThoughTheNextTwoFailToo() {
    answered();
    times.heard(now);
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
    times.opening(now);
    int opened = 0;
    for (; now < 10_000_000; now += 1_000) {
      if (times.opensAt(now, false)) {
        times.opening(now);
        times.failed(now);
        opened++;
      }
    }
    assertTrue(opened >= 10_000_000 / WatchClock.MOST_PAUSE_US && opened <= 60, "" + opened);
  }

  @Test
  void aResetWatchIsReplacedAtOnce() {
    answered();
    now += 500_000;
    times.heard(now);
    times.failed(now);
    long lost = now;
    assertEquals(lost, untilOpened(false));
  }
}
