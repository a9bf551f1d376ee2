package hollyslip.node;

import hollyslip.recovery.EpochElection.Holder;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/** Assigns serials to the connections of one process, per address: a node compares the serials of all
 * connections that it gets, whatever id this process knows it by. All lanes connect under one client name, so
 * the fence of one lane must leave the connections of the others alive. Thread-safe. */
public final class ConnectionSerials {
  private final Map<InetSocketAddress, Long> lastSerials = new HashMap<>();
  private final Map<InetSocketAddress, TreeSet<Long>> liveSerials = new HashMap<>();

  /** Creates the fence of a new connection, which counts as live from now on. */
  synchronized Fence nextFence(InetSocketAddress address, String client, Holder holder) {
    TreeSet<Long> live = liveSerials.computeIfAbsent(address, k -> new TreeSet<>());
    Fence fence = new Fence(client, holder, lastSerials.merge(address, 1L, Long::sum), live);
    live.add(fence.serial());
    return fence;
  }

  /** Records that a connection has ended, so that later fences invalidate it. */
  synchronized void markClosed(InetSocketAddress address, long serial) {
    liveSerials.get(address).remove(serial);
  }
}
