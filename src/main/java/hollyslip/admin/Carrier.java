package hollyslip.admin;

import hollyslip.HostScheduler.NodeState;
import hollyslip.HostScheduler.VolumeChanged;
import hollyslip.tenant.HostedVolume;
import hollyslip.tenant.Tenant;
import java.util.concurrent.CompletableFuture;

/** What carries recorded decisions out. Calls come in the order of the records, on one thread. */
public interface Carrier {
  /** Serves a volume, or serves it on other terms or larger; complete when that holds. */
  CompletableFuture<Void> serve(HostedVolume volume, Tenant tenant, VolumeChanged terms);

  /** Takes nothing more for a volume; complete when all of it is answered and nothing of it is left. */
  CompletableFuture<Void> drain(HostedVolume volume, Tenant tenant);

  /** The administrators' word on a node. */
  void node(String name, NodeState state);

  /** Names of the nodes that there are, with what is known of them. */
  java.util.Map<String, NodeView> nodes();

  /** A node as listed. */
  record NodeView(long id, int shard, String zone, NodeState state) {}
}
