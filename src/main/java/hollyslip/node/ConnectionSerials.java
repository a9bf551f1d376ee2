package hollyslip.node;

import hollyslip.recovery.EpochElection.Holder;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/** Assigns serials to the connections of one process, per node. All lanes connect under one client name, so
 * the fence of one lane must leave the connections of the others alive. Thread-safe. */
public final class ConnectionSerials {
  private final Map<Long, Long> lastSerialByNode = new HashMap<>();
  private final Map<Long, TreeSet<Long>> liveSerialsByNode = new HashMap<>();

  /** Creates the fence of a new connection, which counts as live from now on. */
  synchronized Fence nextFence(long node, String client, Holder holder) {
    TreeSet<Long> liveSerials = liveSerialsByNode.computeIfAbsent(node, k -> new TreeSet<>());
    Fence fence = new Fence(client, holder, lastSerialByNode.merge(node, 1L, Long::sum), liveSerials);
    liveSerials.add(fence.serial());
    return fence;
  }

  /** Records that a connection has ended, so that later fences invalidate it. */
  synchronized void markClosed(long node, long serial) {
    liveSerialsByNode.get(node).remove(serial);
  }
}
