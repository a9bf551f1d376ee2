package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class ArrivalClockTest {
  private static final long START = 1_000_000;

  private final ArrivalClock clock = new ArrivalClock(START);

  @Test
  void aLoopThatIsNotHeldUpReadsWhatJustCame() {
    assertEquals(START + 10_000, clock.arrival(START + 10_000));
    assertEquals(START + 10_000, clock.queuedSince(START + 10_000));
  }

  @Test
  void whatIsReadAfterAHoldUpMayHaveComeAtItsStart() {
    clock.tick(START + 50_000);
    clock.tick(START + 100_000);
    assertEquals(START + 50_000 + 2 * ArrivalClock.TICK_US, clock.arrival(START + 900_000));
    // The first tick after it may come before the look at the sockets.
    clock.tick(START + 900_000);
    assertEquals(START + 100_000 + 2 * ArrivalClock.TICK_US, clock.arrival(START + 900_000));
    clock.tick(START + 950_000);
    assertEquals(START + 960_000, clock.arrival(START + 960_000));
  }

  @Test
  void aConnectionMayHaveWaitedSinceNobodyWasAcceptedUntilTheQueueIsEmpty() {
    clock.acceptStopped(START + 20_000);
    clock.tick(START + 1_950_000);
    clock.tick(START + 2_000_000);
    clock.acceptStopped(START + 2_000_000);
    assertEquals(START + 20_000, clock.queuedSince(START + 2_010_000));
    clock.queueEmpty();
    assertEquals(START + 2_010_000, clock.queuedSince(START + 2_010_000));
  }
}
