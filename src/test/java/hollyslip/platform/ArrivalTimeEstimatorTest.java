package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class ArrivalTimeEstimatorTest {
  private static final long START_US = 1_000_000;

  private final ArrivalTimeEstimator estimator = new ArrivalTimeEstimator(START_US);

  @Test
  void anUndelayedLoopEstimatesTheReadTime() {
    assertEquals(START_US + 10_000, estimator.earliestArrival(START_US + 10_000));
    assertEquals(START_US + 10_000, estimator.queuedSince(START_US + 10_000));
  }

  @Test
  void afterADelayBytesMayHaveArrivedAtItsStart() {
    long tick = ArrivalTimeEstimator.TICK_US;
    estimator.tick(START_US + tick);
    estimator.tick(START_US + 2 * tick);
    assertEquals(START_US + 3 * tick, estimator.earliestArrival(START_US + 900_000));
    // The first tick after the delay may run before the sockets are polled.
    estimator.tick(START_US + 900_000);
    assertEquals(START_US + 4 * tick, estimator.earliestArrival(START_US + 900_000));
    estimator.tick(START_US + 900_000 + tick);
    assertEquals(START_US + 910_000 + tick, estimator.earliestArrival(START_US + 910_000 + tick));
  }

  @Test
  void queuedSinceIsWhenAcceptingStoppedUntilTheQueueIsEmpty() {
    estimator.acceptingStopped(START_US + 20_000);
    estimator.tick(START_US + 1_980_000);
    estimator.tick(START_US + 2_000_000);
    estimator.acceptingStopped(START_US + 2_000_000);
    assertEquals(START_US + 20_000, estimator.queuedSince(START_US + 2_010_000));
    estimator.acceptQueueEmpty();
    assertEquals(START_US + 2_010_000, estimator.queuedSince(START_US + 2_010_000));
  }
}
