package hollyslip.platform;

import hollyslip.HostScheduler.NodeState;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;

/** A disk server as discovery names it, with this process's connections to it. */
final class DiskServer {
  final String host;
  /** The module's name for it. */
  final long number;
  InetSocketAddress dial;
  NodeState state = NodeState.ON;
  /** Its last start, as the list has it (ms, wall's clock) and on the module's clock (us); 0: long ago. */
  long bornMs, bornUs;
  /** Connections that carry nothing, most recently used last. */
  final Deque<DiskConnection> idleConnections = new ArrayDeque<>();
  /** Calls that have not ended. */
  int calls;

  DiskServer(String host, long number) {
    this.host = host;
    this.number = number;
  }
}
