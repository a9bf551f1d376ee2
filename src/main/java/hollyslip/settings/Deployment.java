package hollyslip.settings;

import hollyslip.HostScheduler.Allowed;
import hollyslip.HostScheduler.NodeEntry;
import hollyslip.HostScheduler.NodeState;
import hollyslip.HostScheduler.Plan;
import hollyslip.HostScheduler.ReportSource;
import hollyslip.HostScheduler.RequestClass;
import hollyslip.HostScheduler.Rules;
import hollyslip.HostScheduler.Settings;
import hollyslip.HostScheduler.Store;
import hollyslip.volume.RequestClassifier;
import hollyslip.volume.Volume;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The validated settings of one gateway.
 *
 * @param gateway
 *          settings of the gateway process
 * @param classes
 *          request classes
 * @param classificationRules
 *          rules that assign requests to classes by kind and size
 * @param plans
 *          service plans
 * @param rules
 *          parameters of the service rules
 * @param allowed
 *          what the deployment allows the scheduler to do
 * @param store
 *          properties of the store as a whole
 * @param nodes
 *          storage nodes
 * @param volumes
 *          volumes */
public record Deployment(GatewayConfig gateway, List<RequestClass> classes,
    List<RequestClassifier.Rule> classificationRules,
    List<Plan> plans, Rules rules, Allowed allowed, Store store, List<Node> nodes, List<Volume> volumes) {

  /** Settings of the gateway process.
   *
   * @param name
   *          name of this gateway, unique in the deployment
   * @param index
   *          index of this gateway, from 0
   * @param hosts
   *          number of gateways in the deployment
   * @param zone
   *          zone that the gateway runs in
   * @param socketDir
   *          directory of the volumes' sockets
   * @param stateDir
   *          directory of the state that survives a restart
   * @param seed
   *          seed of the scheduler's random source
   * @param tickUs
   *          margin before a deadline by which answers are due, us
   * @param unitBytes
   *          bytes per unit of work
   * @param maxRequests
   *          maximum number of requests held at a time
   * @param maxRequestBytes
   *          maximum bytes of requests held at a time
   * @param connectionsPerNode
   *          maximum number of connections to one node
   * @param maxAttemptsPerConnection
   *          maximum number of concurrent attempts on one connection
   * @param ioThreads
   *          number of I/O threads for node connections
   * @param sftp
   *          whether SFTP is served, on {@code sftp.sock} in the socket directory
   * @param hosting
   *          settings for hosting tenants; null: no tenants are hosted
   * @param cores
   *          number of lanes; each is an engine with its own scheduler on its own core */
  public record GatewayConfig(String name, int index, int hosts, String zone, Path socketDir, Path stateDir,
      long seed, long tickUs, long unitBytes, long maxRequests, long maxRequestBytes, int connectionsPerNode,
      int maxAttemptsPerConnection, int ioThreads, boolean sftp, TenantHosting hosting, int cores) {
    /** A gateway with one lane that hosts no tenants. */
    public GatewayConfig(String name, int index, int hosts, String zone, Path socketDir, Path stateDir,
        long seed,
        long tickUs, long unitBytes, long mostRequests, long mostBytes, int connections, int perConnection,
        int ioThreads, boolean sftp) {
      this(name, index, hosts, zone, socketDir, stateDir, seed, tickUs, unitBytes, mostRequests, mostBytes,
          connections, perConnection, ioThreads, sftp, null, 1);
    }
  }

  /** Settings of a gateway that hosts tenants: where its administration API listens.
   *
   * @param port
   *          port on the loopback address; 0: any free port; -1: only on {@code admin.sock} in the socket
   *          directory
   * @param cert
   *          PEM certificate chain for the port; null: without TLS
   * @param key
   *          PEM private key of the certificate */
  public record TenantHosting(int port, Path cert, Path key) {}

  /** A storage node. {@code capacity}: units per second that can be reserved on its shard; {@code bytes}:
   * size of the shard. Both are used only if tenants are hosted. */
  public record Node(long id, String name, String host, int port, String zone, int shard, NodeState state,
      double capacity, long bytes) {
    /** A node without reservable capacity or bytes, for gateways that host no tenants. */
    public Node(long id, String name, String host, int port, String zone, int shard, NodeState state) {
      this(id, name, host, port, zone, shard, state, 0, 0);
    }

    /** The same node under another id. */
    public Node withId(long newId) {
      return new Node(newId, name, host, port, zone, shard, state, capacity, bytes);
    }

    /** The same node in another state. */
    public Node withState(NodeState newState) {
      return new Node(id, name, host, port, zone, shard, newState, capacity, bytes);
    }

    /** Returns the scheduler's node list entry for this node. */
    public NodeEntry toNodeEntry() {
      return new NodeEntry(id, zone, shard, state, 0);
    }
  }

  /** Returns the scheduler's settings. */
  public Settings schedulerSettings() {
    return new Settings(gateway.seed(), gateway.index(), gateway.hosts(), gateway.zone(), gateway.tickUs(),
        false, classes, plans, rules, allowed, store, allowed.probes()
            ? ReportSource.PROBE
            : ReportSource.NONE, allowed.probes() ? List.of("inflight", "queue", "latency_ms") : List.of());
  }

  /** Returns the volumes by name, in order of declaration. */
  public Map<String, Volume> volumesByName() {
    Map<String, Volume> map = new LinkedHashMap<>();
    volumes.forEach(v -> map.put(v.name(), v));
    return map;
  }
}
