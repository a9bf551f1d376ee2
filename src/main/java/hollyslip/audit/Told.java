package hollyslip.audit;

import hollyslip.HostScheduler.NodeState;

/** An action of the operator, as the operator recorded it. Times are microseconds on the machine's monotonic
 * clock. */
public sealed interface Told {
  long atUs();

  /** A gateway was informed of the state of a node. */
  record State(String gateway, String node, NodeState state, long atUs) implements Told {}

  /** A node was started cold. */
  record Born(String node, long atUs) implements Told {}

  /** A gateway was started. */
  record Started(String gateway, long atUs) implements Told {}
}
