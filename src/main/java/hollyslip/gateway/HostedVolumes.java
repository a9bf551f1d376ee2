package hollyslip.gateway;

import hollyslip.HostScheduler.NodeState;
import hollyslip.HostScheduler.VolumeChanged;
import hollyslip.admin.Carrier;
import hollyslip.engine.EngineLanes;
import hollyslip.front.vhost.Acceptor;
import hollyslip.front.vhost.VhostServer;
import hollyslip.tenant.HostedVolume;
import hollyslip.tenant.Tenant;
import hollyslip.volume.Volume;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.BiConsumer;
import java.util.function.LongPredicate;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Serves hosted volumes: the engine, the module and a socket for each, in the tenant's folder. */
final class HostedVolumes implements Carrier {
  private static final Logger LOG = LoggerFactory.getLogger(HostedVolumes.class);

  private final EngineLanes lanes;
  private final Acceptor acceptor;
  private final Path socketDir;
  private final int hosts;
  private final BiConsumer<String, NodeState> nodeStateSetter;
  private final Supplier<Map<String, NodeView>> nodes;
  private final Map<Long, VhostServer> servers = new ConcurrentHashMap<>();
  /** Sockets are made and removed here, in the order of the engine's word: files may be slow, and the
   * engine's thread must not wait for them. */
  private final ExecutorService socketExecutor = Executors.newSingleThreadExecutor(r -> {
    Thread t = new Thread(r, "sockets");
    t.setDaemon(true);
    return t;
  });

  HostedVolumes(EngineLanes engine, Acceptor acceptor, Path sockets, int hosts,
      BiConsumer<String, NodeState> nodeState, Supplier<Map<String, NodeView>> nodes) {
    this.lanes = engine;
    this.acceptor = acceptor;
    this.socketDir = sockets;
    this.hosts = hosts;
    this.nodeStateSetter = nodeState;
    this.nodes = nodes;
  }

  private static String qualifiedName(HostedVolume v, Tenant t) {
    return t.name() + "/" + v.name();
  }

  /** Socket of a volume. */
  Path socketPath(String tenant, String volume) {
    return socketDir.resolve(tenant).resolve(volume + ".sock");
  }

  private Volume toVolume(HostedVolume v, Tenant t) {
    return new Volume(v.id(), qualifiedName(v, t), t.name(), v.plan(), hosts, v.bytes(), v.extentBytes(), v
        .extents());
  }

  private static LongPredicate memberPredicate(Tenant t) {
    Set<Long> users = Set.copyOf(t.members().values());
    return users::contains;
  }

  @Override
  public CompletableFuture<Void> serve(HostedVolume v, Tenant t, VolumeChanged terms) {
    Volume volume = toVolume(v, t);
    return lanes.serve(volume, terms).thenRunAsync(() -> {
      VhostServer front = servers.get(v.id());
      if (front == null) {
        openServer(v, t);
      } else {
        front.setAllowedUsers(memberPredicate(t));
        front.resize(volume);
      }
    }, socketExecutor);
  }

  private void openServer(HostedVolume v, Tenant t) {
    try {
      Path path = socketPath(t.name(), v.name());
      Files.createDirectories(path.getParent());
      servers.put(v.id(), new VhostServer(lanes, acceptor, qualifiedName(v, t), path, memberPredicate(t)));
      // Anybody may knock: who is no member is turned away by the user number that the kernel tells.
      Files.setPosixFilePermissions(path, PosixFilePermissions.fromString("rw-rw-rw-"));
      LOG.atInfo()
          .addKeyValue("volume", qualifiedName(v, t))
          .addKeyValue("tenant", t.name())
          .log("volume.served");
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  @Override
  public CompletableFuture<Void> drain(HostedVolume v, Tenant t) {
    return lanes.drain(toVolume(v, t)).thenRunAsync(() -> {
      VhostServer front = servers.remove(v.id());
      if (front != null) {
        front.retire();
      }
      LOG.atInfo()
          .addKeyValue("volume", qualifiedName(v, t))
          .addKeyValue("tenant", t.name())
          .log("volume.gone");
    }, socketExecutor);
  }

  @Override
  public void node(String name, NodeState state) {
    nodeStateSetter.accept(name, state);
  }

  @Override
  public Map<String, NodeView> nodes() {
    return nodes.get();
  }

  void close() {
    socketExecutor.shutdown();
    servers.values().forEach(VhostServer::close);
  }
}
