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
    long tick = ArrivalClock.TICK_US;
    clock.tick(START + tick);
    clock.tick(START + 2 * tick);
    assertEquals(START + 3 * tick, clock.arrival(START + 900_000));
    // The first tick after it may come before the look at the sockets.
    clock.tick(START + 900_000);
    assertEquals(START + 4 * tick, clock.arrival(START + 900_000));
    clock.tick(START + 900_000 + tick);
    assertEquals(START + 910_000 + tick, clock.arrival(START + 910_000 + tick));
  }

  @Test
  void aConnectionMayHaveWaitedSinceNobodyWasAcceptedUntilTheQueueIsEmpty() {
    clock.acceptStopped(START + 20_000);
    clock.tick(START + 1_980_000);
    clock.tick(START + 2_000_000);
    clock.acceptStopped(START + 2_000_000);
    assertEquals(START + 20_000, clock.queuedSince(START + 2_010_000));
    clock.queueEmpty();
    assertEquals(START + 2_010_000, clock.queuedSince(START + 2_010_000));
  }
}
