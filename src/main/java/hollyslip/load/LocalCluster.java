package hollyslip.load;

import hollyslip.HostScheduler.NodeState;
import hollyslip.settings.Deployment;
import hollyslip.settings.Loader;
import hollyslip.standin.StandInDiskServer;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Runs the nodes and gateways of a {@link Scenario} on real sockets: stand-ins in this process, gateways in
 * separate processes. */
public final class LocalCluster implements AutoCloseable {
  private static final long SHARD_BYTES = 64 << 20;

  final List<StandInDiskServer> disks = new ArrayList<>();
  final List<GatewayProcess> gateways = new ArrayList<>();
  final List<Deployment> deployments = new ArrayList<>();
  private final Scenario scenario;
  private final Path dir;

  /** @param dir
   *          directory of settings, sockets and logs */
  public LocalCluster(Scenario scenario, Path dir) {
    scenario.checkPlayableOverSockets();
    this.scenario = scenario;
    this.dir = dir;
  }

  /** Starts everything and returns once clients can connect. */
  public void start() throws IOException {
    Files.createDirectories(dir);
    Scenario.Nodes nodes = scenario.nodes();
    for (int i = 0; i < nodes.count(); i++) {
      disks.add(new StandInDiskServer(StandInDiskServer.Config.timed("store-" + i, SHARD_BYTES, nodes.cores(),
          nodes
              .queue(), nodes
                  .baseUs(),
          scenario.seed() * 100 + i)));
    }
    NodeState[] states = new NodeState[nodes.count()];
    Arrays.fill(states, NodeState.ON);
    writeNodeList(states);
    for (int gateway = 0; gateway < scenario.gateways(); gateway++) {
      Files.writeString(settingsFile(gateway), ScenarioSettings.gatewayScript(scenario, gateway));
      Loader.LoadResult loaded = Loader.load(settingsFile(gateway));
      if (!loaded.faults().isEmpty()) {
        throw new IOException("invalid settings for the scenario: " + loaded.faults());
      }
      deployments.add(loaded.deployment());
      gateways.add(startGateway(gateway));
    }
  }

  /** Starts the process of a gateway. */
  GatewayProcess startGateway(int number) throws IOException {
    return new GatewayProcess(settingsFile(number), dir.resolve("gateway-" + number + ".log"));
  }

  private Path settingsFile(int gateway) {
    return dir.resolve("gateway-" + gateway + ".star");
  }

  /** Atomically replaces the gateways' node list. */
  void writeNodeList(NodeState[] states) throws IOException {
    Path newFile = dir.resolve("fleet.star.new");
    Files.writeString(newFile, ScenarioSettings.nodeListScript(disks.size(), i -> disks.get(i)
        .address()
        .getPort(),
        i -> states[i]));
    Files.move(newFile, dir.resolve("fleet.star"), StandardCopyOption.ATOMIC_MOVE);
  }

  /** Directories of the volumes' sockets, one per gateway. */
  public List<Path> socketDirs() {
    return deployments.stream().map(d -> d.gateway().socketDir()).toList();
  }

  @Override
  public void close() throws InterruptedException {
    for (GatewayProcess gateway : gateways) {
      if (gateway.isAlive()) {
        gateway.kill();
      }
    }
    disks.forEach(StandInDiskServer::close);
  }
}
