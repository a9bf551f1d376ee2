package hollyslip.gateway;

import hollyslip.HostScheduler.NodeState;
import hollyslip.HostScheduler.VolumeChanged;
import hollyslip.admin.Provisioner;
import hollyslip.engine.Engine;
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

/** Serves hosted volumes: for each one the engine, the scheduler and a socket in the tenant's directory. */
final class HostedVolumes implements Provisioner {
  private static final Logger LOG = LoggerFactory.getLogger(HostedVolumes.class);

  private final EngineLanes lanes;
  private final Acceptor acceptor;
  private final Path socketDir;
  private final int hosts;
  private final BiConsumer<String, NodeState> nodeStateSetter;
  private final Supplier<Map<String, NodeView>> nodes;
  private final Map<Long, VhostServer> servers = new ConcurrentHashMap<>();
  /** Creates and removes sockets, in the order of the engine's confirmations. File operations may be slow,
   * and the engine's thread must not wait for them. */
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

  private static String qualifiedName(HostedVolume volume, Tenant tenant) {
    return tenant.name() + "/" + volume.name();
  }

  /** Returns the socket path of a volume. */
  Path socketPath(String tenant, String volume) {
    return socketDir.resolve(tenant).resolve(volume + ".sock");
  }

  private Volume toVolume(HostedVolume volume, Tenant tenant) {
    return new Volume(volume.id(), qualifiedName(volume, tenant), tenant.name(), volume.plan(), hosts, volume
        .bytes(), volume.extentBytes(), volume
            .extents());
  }

  private static LongPredicate memberPredicate(Tenant tenant) {
    Set<Long> users = Set.copyOf(tenant.members().values());
    return users::contains;
  }

  @Override
  public CompletableFuture<Void> serve(HostedVolume volume, Tenant tenant, VolumeChanged terms) {
    Volume servedVolume = toVolume(volume, tenant);
    return lanes.serve(servedVolume, terms).thenRunAsync(() -> {
      VhostServer server = servers.get(volume.id());
      if (server == null) {
        openServer(volume, tenant);
      } else {
        server.setAllowedUsers(memberPredicate(tenant));
        server.resize(servedVolume);
      }
    }, socketExecutor);
  }

  private void openServer(HostedVolume volume, Tenant tenant) {
    try {
      Path path = socketPath(tenant.name(), volume.name());
      Files.createDirectories(path.getParent());
      servers.put(volume.id(), new VhostServer(lanes, acceptor, qualifiedName(volume, tenant), path,
          memberPredicate(tenant)));
      // Every user may connect; users who are not members are rejected by the user ID that the kernel
      // reports.
      Files.setPosixFilePermissions(path, PosixFilePermissions.fromString("rw-rw-rw-"));
      logVolumeEvent("volume.served", volume, tenant);
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  @Override
  public CompletableFuture<Void> drain(HostedVolume volume, Tenant tenant) {
    Engine.Drain drain = lanes.drain(toVolume(volume, tenant));
    CompletableFuture<Void> closed = drain.answered().thenRunAsync(() -> {
      VhostServer server = servers.remove(volume.id());
      if (server != null) {
        server.retire();
      }
      logVolumeEvent(drain.settled().isDone() ? "volume.gone" : "volume.gone-unsettled", volume, tenant);
    }, socketExecutor);
    return closed.thenCombine(drain.settled(), (gone, settled) -> null);
  }

  private static void logVolumeEvent(String event, HostedVolume volume, Tenant tenant) {
    LOG.atInfo()
        .addKeyValue("volume", qualifiedName(volume, tenant))
        .addKeyValue("tenant", tenant.name())
        .log(event);
  }

  @Override
  public void setNodeState(String name, NodeState state) {
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
