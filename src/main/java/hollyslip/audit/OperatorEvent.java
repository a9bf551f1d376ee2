package hollyslip.audit;

import hollyslip.HostScheduler.NodeState;

/** An action of the operator, as the operator recorded it. Times are microseconds on the machine's monotonic
 * clock. */
public sealed interface OperatorEvent {
  long atUs();

  /** A gateway was informed of the state of a node. */
  record NodeStateChange(String gateway, String node, NodeState state, long atUs) implements OperatorEvent {}

  /** A node was started cold. */
  record NodeStart(String node, long atUs) implements OperatorEvent {}

  /** A gateway was started. */
  record GatewayStart(String gateway, long atUs) implements OperatorEvent {}
}
