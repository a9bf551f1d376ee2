package hollyslip.admin;

import hollyslip.HostScheduler.NodeState;
import hollyslip.HostScheduler.VolumeChanged;
import hollyslip.tenant.HostedVolume;
import hollyslip.tenant.Tenant;
import java.util.concurrent.CompletableFuture;

/** Carries out recorded changes. Calls arrive on one thread, in the order of the records. */
public interface Provisioner {
  /** Serves a volume, or applies new terms or a new size to it. The future completes when this is in
   * effect. */
  CompletableFuture<Void> serve(HostedVolume volume, Tenant tenant, VolumeChanged terms);

  /** Stops accepting requests for a volume. The future completes when all its requests are answered, none of
   * them can take effect any more, and its resources are released: its extents may then be given to another
   * volume. */
  CompletableFuture<Void> drain(HostedVolume volume, Tenant tenant);

  /** Sets the state that administrators chose for a node. */
  void setNodeState(String name, NodeState state);

  /** Returns the known nodes by name. */
  java.util.Map<String, NodeView> nodes();

  /** A node as shown to administrators. */
  record NodeView(long id, int shard, String zone, NodeState state) {}
}
