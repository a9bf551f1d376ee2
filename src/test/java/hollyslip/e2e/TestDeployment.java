package hollyslip.e2e;

import hollyslip.HostScheduler.Allowed;
import hollyslip.HostScheduler.Effect;
import hollyslip.HostScheduler.DedupScope;
import hollyslip.HostScheduler.NodeState;
import hollyslip.HostScheduler.Plan;
import hollyslip.HostScheduler.RequestClass;
import hollyslip.HostScheduler.Rules;
import hollyslip.HostScheduler.Store;
import hollyslip.gateway.Gateway;
import hollyslip.settings.Deployment;
import hollyslip.standin.StandInDiskServer;
import hollyslip.volume.RequestClassifier;
import hollyslip.volume.IoKind;
import hollyslip.volume.Volume;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** A small deployment on loopback for tests: stand-in disk servers, settings that refer to them, and
 * gateways. */
final class TestDeployment implements AutoCloseable {
  static final long EXTENT_BYTES = 64 * 1024, SHARD_BYTES = 16 << 20, VOLUME_BYTES = 4 << 20;

  final List<StandInDiskServer> disks = new ArrayList<>();
  final List<Gateway> gateways = new ArrayList<>();
  final Path dir;
  long deadlineUs = 2_000_000;
  long coldUs = 5_000_000;
  int hosts = 1;
  int cores = 1;
  boolean hosted;
  double capacity = 100_000;
  Plan limitedPlan = new Plan("limited", 2_000, 1_000, 1, 1, 4_000, 400, 40);

  TestDeployment(Path dir, int nodes) throws IOException {
    this(dir, nodes, i -> StandInDiskServer.Config.plain("disk-" + i, SHARD_BYTES, true));
  }

  TestDeployment(Path dir, int nodes, java.util.function.IntFunction<StandInDiskServer.Config> config)
      throws IOException {
    this.dir = dir;
    for (int i = 0; i < nodes; i++) {
      disks.add(new StandInDiskServer(config.apply(i)));
    }
  }

  static Volume volume(long id, String name, String plan, int nodes, int hosts) {
    List<Volume.Extent> extents = new ArrayList<>();
    for (int i = 0; i < VOLUME_BYTES / EXTENT_BYTES; i++) {
      int shard = i % nodes;
      extents.add(new Volume.Extent(shard, (id - 1) * VOLUME_BYTES + i / nodes * EXTENT_BYTES));
    }
    return new Volume(id, name, "tenant-" + id, plan, hosts, VOLUME_BYTES, EXTENT_BYTES, extents);
  }

  /** The deployment of a gateway whose folders have another name than the gateway. */
  Deployment deploymentWithFolder(String name, String folder) {
    Deployment deployment = deployment(name, 0, List.of());
    Deployment.GatewayConfig gateway = deployment.gateway();
    return new Deployment(new Deployment.GatewayConfig(name, gateway.index(), gateway.hosts(), gateway.zone(),
        dir.resolve(folder), dir.resolve(folder + "-state"), gateway.seed(), gateway.tickUs(),
        gateway.unitBytes(), gateway.maxRequests(), gateway.maxRequestBytes(), gateway.connectionsPerNode(),
        gateway.maxAttemptsPerConnection(), gateway.ioThreads(), gateway.sftp(), gateway.hosting(), cores),
        deployment.classes(), deployment.classificationRules(), deployment.plans(), deployment.rules(),
        deployment.allowed(),
        deployment.store(), deployment.nodes(), deployment.volumes());
  }

  Deployment deployment(String name, int index, List<Integer> draining) {
    List<RequestClass> classes = List.of(new RequestClass("read", Effect.SAFE, DedupScope.ALL, 0, 250_000,
        deadlineUs, 2, 0.2, false, false), new RequestClass("write", Effect.UNSAFE, DedupScope.CELL, 0,
            250_000,
            deadlineUs, 2, 0.2, false, true));
    List<RequestClassifier.Rule> rows = List.of(new RequestClassifier.Rule("read", Set.of(IoKind.READ),
        Long.MAX_VALUE),
        new RequestClassifier.Rule("write", Set.of(IoKind.WRITE, IoKind.FLUSH, IoKind.DISCARD,
            IoKind.WRITE_ZEROES),
            Long.MAX_VALUE));
    List<Deployment.Node> nodes = new ArrayList<>();
    for (int i = 0; i < disks.size(); i++) {
      nodes.add(new Deployment.Node(100 + i, disks.get(i).name(), "127.0.0.1",
          disks.get(i).address().getPort(), "a", i, draining.contains(i) ? NodeState.DRAINING : NodeState.ON,
          capacity, SHARD_BYTES));
    }
    List<Volume> volumes = List.of(volume(1, "stock", "gold", disks.size(), hosts), volume(2, "orders",
        "gold", disks.size(), hosts), volume(3, "capped", "limited", disks.size(), hosts));
    return new Deployment(new Deployment.GatewayConfig(name, index, hosts, "a", dir.resolve(name),
        dir.resolve(name + "-state"), 7, 1_000, 4096, 10_000, 256 << 20, 2, 256, 2, true, hosted
            ? new Deployment.TenantHosting(0, null, null)
            : null, cores), classes, rows,
        List.of(new Plan("gold", 1e6, 1e5, 3, 1, 0, 0, 0), limitedPlan),
        new Rules(8_000, 1_000_000, 0.2, coldUs, 3, 2_000_000, 300_000, 0.5, 20, 5_000_000, 0),
        new Allowed(4, false, false, false, true, 500_000, 250_000),
        new Store(1, 256, 200, 0.4, 0.1, 0, false), nodes, volumes);
  }

  /** Writes the same deployment as a settings script, for a gateway in its own process. */
  Path writeSettings(String name, int index, int hosts) throws IOException {
    StringBuilder script = new StringBuilder();
    script.append(String.format(
        "gateway('%s', index = %d, hosts = %d, zone = 'a', socket_dir = '%s', state_dir = '%s-state', "
            + "unit_bytes = 4 * KiB, hosted = %s)%n", name, index, hosts, name, name, hosted
                ? "True"
                : "False"));
    script.append(String.format(
        "rules(drain_grace = seconds(1), cold_from = 0.2, cold = %d, fall_multiple = 3, fall = seconds(2), "
            + "settle = ms(300), budget_share = 0.5, budget_free = 20, budget_window = seconds(5))%n",
        coldUs));
    script.append("store(mean_units = 1, most_units = 256, cold_units = 200)\n");
    script.append(String.format(
        "request_class('read', kinds = ['read'], effect = 'safe', aim = ms(250), deadline = %d, "
            + "worth = 2)%n", deadlineUs));
    script.append(String.format(
        "request_class('write', kinds = ['write', 'flush', 'discard', 'write_zeroes'], effect = 'unsafe', "
            + "aim = ms(250), deadline = %d, worth = 2)%n", deadlineUs));
    script.append("plan('gold', rate = 1e6, reserve = 1e5, weight = 3)\n");
    script.append(String.format(
        "plan('limited', rate = %s, reserve = %s, weight = 1, limit = %s, limit_burst = %s, limit_slack = "
            + "%s)%n", limitedPlan.rate(), limitedPlan.reserve(), limitedPlan.limit(),
        limitedPlan.limitBurst(), limitedPlan.limitSlack()));
    for (int i = 0; i < disks.size(); i++) {
      script.append(String.format("node('%s', id = %d, port = %d, shard = %d, capacity = %s, bytes = %d)%n",
          disks.get(i).name(), 100 + i, disks.get(i).address().getPort(), i, capacity, SHARD_BYTES));
    }
    int id = 0;
    for (String volume : List.of("stock", "orders", "capped")) {
      script.append(String.format(
          "volume('%s', tenant = 't', plan = '%s', size = 4 * MiB, extent = 64 * KiB, shards = "
              + "list(range(%d)), at = %d * MiB)%n", volume, id == 2 ? "limited" : "gold", disks.size(), 4
                  * id++));
    }
    return java.nio.file.Files.writeString(dir.resolve(name + ".star"), script);
  }

  Gateway startGateway() throws IOException {
    return startGateway("gw-" + gateways.size(), gateways.size());
  }

  Gateway startGateway(String name, int index) throws IOException {
    Gateway gateway = new Gateway(deployment(name, index, List.of()));
    gateways.add(gateway);
    return gateway;
  }

  @Override
  public void close() {
    gateways.forEach(Gateway::close);
    disks.forEach(StandInDiskServer::close);
  }
}
