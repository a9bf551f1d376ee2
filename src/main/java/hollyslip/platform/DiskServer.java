package hollyslip.platform;

import hollyslip.HostScheduler.NodeState;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;

/** A disk server listed by discovery, with this process's idle connections to it. */
final class DiskServer {
  final String host;
  /** The id that the scheduler knows it by. */
  final long nodeId;
  InetSocketAddress address;
  NodeState state = NodeState.ON;
  /** Time of its last start, as listed (Unix ms) and on the scheduler's clock (us); 0: long ago. */
  long startedAtMs, startedAtUs;
  /** Connections without a call, most recently used last. */
  final Deque<DiskConnection> idleConnections = new ArrayDeque<>();
  /** Calls that have not ended. */
  int activeCalls;

  DiskServer(String host, long nodeId) {
    this.host = host;
    this.nodeId = nodeId;
  }
}
