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

/** All settings of one gateway, checked.
 *
 * @param gateway
 *          what binds the process
 * @param classes
 *          request classes, with the rows that classify
 * @param rows
 *          kinds and sizes by class
 * @param plans
 *          plans
 * @param rules
 *          figures of the rules
 * @param allowed
 *          what the deployment allows
 * @param store
 *          what is known of the store as a whole
 * @param nodes
 *          storage nodes
 * @param volumes
 *          volumes */
public record Deployment(Process gateway, List<RequestClass> classes, List<RequestClassifier.Rule> rows,
    List<Plan> plans, Rules rules, Allowed allowed, Store store, List<Node> nodes, List<Volume> volumes) {

  /** What binds the process.
   *
   * @param name
   *          of this instance, unique among those of the deployment
   * @param index
   *          its number among them
   * @param hosts
   *          how many there are
   * @param zone
   *          where it runs
   * @param socketDir
   *          folder of the volumes' sockets
   * @param stateDir
   *          folder of what must outlive a restart
   * @param seed
   *          of the module's random source
   * @param tickUs
   *          how early before a deadline answers are due, us
   * @param unitBytes
   *          bytes that one unit stands for
   * @param mostRequests
   *          requests held at most
   * @param mostBytes
   *          bytes of requests held at most
   * @param connections
   *          connections to one node at most
   * @param perConnection
   *          attempts on one connection at most
   * @param ioThreads
   *          threads for node connections
   * @param sftp
   *          whether file commands are served, on {@code sftp.sock} in the socket folder
   * @param hosting
   *          null: no tenants are hosted
   * @param cores
   *          lanes: engines with a module each, a core each */
  public record Process(String name, int index, int hosts, String zone, Path socketDir, Path stateDir,
      long seed, long tickUs, long unitBytes, long mostRequests, long mostBytes, int connections,
      int perConnection, int ioThreads, boolean sftp, Hosting hosting, int cores) {
    /** One that hosts nobody. */
    public Process(String name, int index, int hosts, String zone, Path socketDir, Path stateDir, long seed,
        long tickUs, long unitBytes, long mostRequests, long mostBytes, int connections, int perConnection,
        int ioThreads, boolean sftp) {
      this(name, index, hosts, zone, socketDir, stateDir, seed, tickUs, unitBytes, mostRequests, mostBytes,
          connections, perConnection, ioThreads, sftp, null, 1);
    }
  }

  /** That tenants are hosted, and where the administration API listens.
   *
   * @param port
   *          on the loopback address, 0: a free one; -1: only on {@code admin.sock} in the socket folder
   * @param cert
   *          certificate chain for the port, PEM; null: without TLS
   * @param key
   *          its private key, PEM */
  public record Hosting(int port, Path cert, Path key) {}

  /** A storage node. {@code capacity}: units a second that may be promised on its shard; {@code bytes}: size
   * of the shard; both only matter where tenants are hosted. */
  public record Node(long id, String name, String host, int port, String zone, int shard, NodeState state,
      double capacity, long bytes) {
    /** One that hosts nothing. */
    public Node(long id, String name, String host, int port, String zone, int shard, NodeState state) {
      this(id, name, host, port, zone, shard, state, 0, 0);
    }

    /** As the module's list has it. */
    public NodeEntry listed() {
      return new NodeEntry(id, zone, shard, state, 0);
    }
  }

  /** The module's settings. */
  public Settings module() {
    return new Settings(gateway.seed(), gateway.index(), gateway.hosts(), gateway.zone(), gateway.tickUs(),
        false, classes, plans, rules, allowed, store, allowed.probes()
            ? ReportSource.PROBE
            : ReportSource.NONE, allowed.probes() ? List.of("inflight", "queue", "latency_ms") : List.of());
  }

  /** Volumes by name. */
  public Map<String, Volume> byName() {
    Map<String, Volume> map = new LinkedHashMap<>();
    volumes.forEach(v -> map.put(v.name(), v));
    return map;
  }
}
