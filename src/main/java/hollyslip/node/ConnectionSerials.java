package hollyslip.node;

import hollyslip.recovery.EpochElection.Holder;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/** Serials of the connections of one process, by node: its lanes connect under one name, and the fence of one
 * must let the others' connections live. Safe for any thread. */
public final class ConnectionSerials {
  private final Map<Long, Long> lastSerialByNode = new HashMap<>();
  private final Map<Long, TreeSet<Long>> liveSerialsByNode = new HashMap<>();

  /** What a new connection says of itself; it counts as live from now on. */
  synchronized Fence nextFence(long node, String client, Holder holder) {
    TreeSet<Long> others = liveSerialsByNode.computeIfAbsent(node, k -> new TreeSet<>());
    Fence f = new Fence(client, holder, lastSerialByNode.merge(node, 1L, Long::sum), others);
    others.add(f.serial());
    return f;
  }

  /** A connection is over: fences from now on kill what it brought. */
  synchronized void markClosed(long node, long serial) {
    liveSerialsByNode.get(node).remove(serial);
  }
}
