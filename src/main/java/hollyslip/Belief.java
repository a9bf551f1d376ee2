package hollyslip;

import java.util.List;

/** A read-only view of what the scheduler knows of one node, to be traced beside what its connections see.
 *
 * @param out
 *          attempts in flight that count against the window
 * @param held
 *          requests queued for the node
 * @param window
 *          attempts that may be in flight
 * @param expectedUs
 *          expected latency of a request sent now
 * @param silent
 *          the last attempts had no answer */
public record Belief(long node, HostScheduler.NodeState state, int out, int held, double window,
    double expectedUs, boolean silent, boolean cold) {

  /** One for each node that the scheduler knows, by node number. */
  public static List<Belief> of(Choice choice) {
    return choice.nodes.values()
        .stream()
        .map(n -> new Belief(n.id, n.state, n.countedInFlight, n.queued, n.window,
            n.expectedLatency(), n.unresponsive, n.isCold()))
        .toList();
  }
}
