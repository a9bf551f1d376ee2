package hollyslip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hollyslip.HostScheduler.*;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The per-node limit on requests in flight ("window") at nodes of different latency. */
class WindowTest {
  private static final long START = 50_000_000;

  private final RuleAudit audit = new RuleAudit(Fixtures.settings(), START, 2);
  private long nextId;

  /** Completes {@code responses} requests with the given latencies, in turn, while more requests are queued;
   * returns the number in flight afterwards. */
  private int inFlightAfter(int responses, long... latenciesUs) {
    if (nextId == 0) {
      audit.updateNodes(true, List.of(Fixtures.node(1, 0, NodeState.ON, 0)));
    }
    for (int i = 0; i < responses; i++) {
      for (int k = 0; k < 2; k++) {
        audit.submit(Fixtures.request(nextId++, "read", "free", null, 9, 2, 0));
      }
      audit.advanceTo(Math.max(audit.now, audit.inFlight.get(0).sentAt()
          + latenciesUs[i % latenciesUs.length]));
      audit.completeAttempt(audit.inFlight.get(0), Result.OK);
    }
    assertEquals(List.of(), audit.violations);
    return audit.inFlight.size();
  }

  /** Guards against a window that stayed at 4.25, as a fractional window never counted as full. */
  @Test
  void widensToItsMaximumWhileLatencyShowsNoQueue() {
    assertEquals(32, inFlightAfter(2_000, 1_000));
  }

  /** Hundreds of hosts share nodes of high latency; a wider window of each host only lengthened their
   * queues. */
  @Test
  void staysNearItsInitialSizeWhileLatencyIsHigh() {
    assertEquals(4, inFlightAfter(2_000, 10_000));
  }

  @Test
  void microsecondJitterDoesNotNarrowIt() {
    inFlightAfter(2_000, 50);
    int before = audit.inFlight.size();
    assertTrue(inFlightAfter(300, 50, 50, 700, 800) >= before, "in flight: " + audit.inFlight.size());
  }

  /** Found by a forecast: windows of nodes with 2 ms latency were closed by jitter of a few ms, as on a busy
   * machine, so that requests waited tens of ms without need. */
  @Test
  void millisecondJitterDoesNotNarrowIt() {
    inFlightAfter(2_000, 1_500);
    int before = audit.inFlight.size();
    assertTrue(inFlightAfter(400, 1_500, 1_500, 9_000) >= before, "in flight: " + audit.inFlight.size()
        + " of " + before);
  }

  @Test
  void aSuddenLatencyIncreaseNarrowsIt() {
    inFlightAfter(2_000, 1_000);
    assertTrue(inFlightAfter(60, 50_000) < 24, "in flight: " + audit.inFlight.size());
  }
}
