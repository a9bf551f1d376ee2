package hollyslip.load;

import hollyslip.HostScheduler.NodeState;
import hollyslip.settings.Deployment;
import hollyslip.settings.Loader;
import hollyslip.standin.DiskServer;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Runs the nodes and gateways of a {@link Day} on real sockets: stand-ins in this process, gateways in
 * separate processes. */
public final class Stage implements AutoCloseable {
  private static final long SHARD_BYTES = 64 << 20;

  final List<DiskServer> disks = new ArrayList<>();
  final List<Child> gateways = new ArrayList<>();
  final List<Deployment> deployments = new ArrayList<>();
  private final Day day;
  private final Path dir;

  /** @param dir
   *          directory of settings, sockets and logs */
  public Stage(Day day, Path dir) {
    day.checkPlayableOverSockets();
    this.day = day;
    this.dir = dir;
  }

  /** Starts everything and returns once clients can connect. */
  public void start() throws IOException {
    Files.createDirectories(dir);
    Day.Nodes n = day.nodes();
    for (int i = 0; i < n.count(); i++) {
      disks.add(new DiskServer(DiskServer.Config.timed("store-" + i, SHARD_BYTES, n.cores(), n.queue(), n
          .baseUs(),
          day.seed() * 100 + i)));
    }
    NodeState[] on = new NodeState[n.count()];
    Arrays.fill(on, NodeState.ON);
    writeNodeList(on);
    for (int g = 0; g < day.gateways(); g++) {
      Files.writeString(settingsFile(g), ScenarioSettings.gatewayScript(day, g));
      Loader.Loaded loaded = Loader.load(settingsFile(g));
      if (!loaded.faults().isEmpty()) {
        throw new IOException("settings of the day: " + loaded.faults());
      }
      deployments.add(loaded.deployment());
      gateways.add(startGateway(g));
    }
  }

  /** Starts the process of a gateway. */
  Child startGateway(int number) throws IOException {
    return new Child(settingsFile(number), dir.resolve("gateway-" + number + ".log"));
  }

  private Path settingsFile(int gateway) {
    return dir.resolve("gateway-" + gateway + ".star");
  }

  /** Atomically replaces the gateways' node list. */
  void writeNodeList(NodeState[] states) throws IOException {
    Path fresh = dir.resolve("fleet.star.new");
    Files.writeString(fresh, ScenarioSettings.nodeListScript(disks.size(), i -> disks.get(i)
        .address()
        .getPort(),
        i -> states[i]));
    Files.move(fresh, dir.resolve("fleet.star"), StandardCopyOption.ATOMIC_MOVE);
  }

  /** Directories of the volumes' sockets, one per gateway. */
  public List<Path> sockets() {
    return deployments.stream().map(d -> d.gateway().socketDir()).toList();
  }

  @Override
  public void close() throws InterruptedException {
    for (Child c : gateways) {
      if (c.isAlive()) {
        c.kill();
      }
    }
    disks.forEach(DiskServer::close);
  }
}
