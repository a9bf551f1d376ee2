package hollyslip.audit;

import hollyslip.HostScheduler.NodeState;

/** What the operator did and when, by the operator's own record: the gateway was told of a node's state, a
 * node was started, a gateway was started. Times are of the machine's monotonic clock, us. */
public sealed interface Told {
  long atUs();

  /** A gateway was told that a node is in this state. */
  record State(String gateway, String node, NodeState state, long atUs) implements Told {}

  /** A node was started cold. */
  record Born(String node, long atUs) implements Told {}

  /** A gateway was started. */
  record Started(String gateway, long atUs) implements Told {}
}
