package hollyslip;

import java.util.List;

/** A read-only view of the scheduler's state of one node, traced beside what was measured on its connections.
 *
 * @param inFlight
 *          attempts in flight that count against the window
 * @param queued
 *          requests queued for the node
 * @param window
 *          attempts that may be in flight
 * @param expectedLatencyUs
 *          expected latency of a request sent now
 * @param unresponsive
 *          an attempt had no answer, and none has arrived since */
public record NodeSnapshot(long node, HostScheduler.NodeState state, int inFlight, int queued, double window,
    double expectedLatencyUs, boolean unresponsive, boolean cold) {

  /** One for each node that the scheduler knows, by node number. */
  public static List<NodeSnapshot> of(TokenBorrowingScheduler scheduler) {
    return scheduler.nodes.values()
        .stream()
        .map(n -> new NodeSnapshot(n.id, n.state, n.countedInFlight, n.queued, n.window,
            n.expectedLatency(), n.unresponsive, n.isCold()))
        .toList();
  }
}
