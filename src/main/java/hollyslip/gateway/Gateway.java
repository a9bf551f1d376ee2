package hollyslip.gateway;

import hollyslip.TokenBorrowingScheduler;
import hollyslip.HostScheduler;
import hollyslip.HostScheduler.NodeEntry;
import hollyslip.HostScheduler.NodeState;
import hollyslip.HostScheduler.VolumeChanged;
import hollyslip.admin.AdminServer;
import hollyslip.admin.Provisioner;
import hollyslip.admin.ControlPlane;
import hollyslip.engine.Engine;
import hollyslip.engine.EngineLanes;
import hollyslip.fleet.Membership;
import hollyslip.fleet.NodeIds;
import hollyslip.front.sftp.SftpServer;
import hollyslip.front.vhost.Acceptor;
import hollyslip.front.vhost.VhostServer;
import hollyslip.node.NodePool;
import hollyslip.node.NodeSurvey;
import hollyslip.node.ConnectionSerials;
import hollyslip.recovery.EpochStore;
import hollyslip.recovery.EpochElection;
import hollyslip.recovery.EpochElection.Holder;
import hollyslip.settings.Deployment;
import hollyslip.store.FileSystemDirectory;
import hollyslip.tenant.Change.NodeStatePut;
import hollyslip.tenant.Shard;
import hollyslip.volume.RequestClassifier;
import hollyslip.volume.ExtentSplitter;
import hollyslip.volume.Volume;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Assembles one gateway from its settings; the only class that knows all parts. */
public final class Gateway {
  private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);

  /** Maximum command size that nodes accept: the NBD protocol's limit without a block size constraint is 32
   * MiB. */
  private static final long MAX_COMMAND_BYTES = 32 << 20;

  /** Size of each lane's range of request IDs; a cookie has 12 more bits. */
  private static final long REQUEST_IDS_PER_LANE = 1L << 44;

  /** Distance between the seeds of two lanes, so that seeds of neighboring gateways do not coincide. */
  private static final long LANE_SEED_STEP = 1L << 32;

  private final Deployment deployment;
  private final EngineLanes lanes;
  private final Membership membership;
  private final List<NodePool> pools = new ArrayList<>();
  private final List<VhostServer> vhostServers = new ArrayList<>();
  private final SftpServer sftp;
  private final Acceptor acceptor;
  private final HostedVolumes hostedVolumes;
  private final ControlPlane control;
  private final AdminServer admin;
  private final EpochStore epochStore;
  private final CompletableFuture<Void> superseded = new CompletableFuture<>();
  private volatile Holder holder;
  private CompletableFuture<Void> stopping;
  private final NodeIds nodeIds = new NodeIds();
  /** The node list in use, with the ids of {@link #nodeIds}. */
  private volatile List<Deployment.Node> currentNodes;

  /** First ID of hosted tenants and volumes; volumes in the settings have lower IDs. */
  private static final long FIRST_HOSTED_ID = 1 << 20;

  /** Builds and starts the gateway. When this returns, the sockets of all volumes in the settings and in the
   * store listen; if one of a volume in the store does not, the reason was logged. */
  public Gateway(Deployment deployment) throws IOException {
    this(deployment, false);
  }

  /** Builds and starts the gateway.
   *
   * @param takeOver
   *          an operator says that no other gateway with this name is alive, whatever the nodes report
   * @throws IOException
   *           if, among other reasons, another gateway with this name is alive or uses the state directory */
  public Gateway(Deployment deployment, boolean takeOver) throws IOException {
    this.deployment = deployment;
    currentNodes = assignIds(deployment.nodes());
    Deployment.GatewayConfig process = deployment.gateway();
    epochStore = new EpochStore(process.stateDir());
    holder = takeEpoch(takeOver);
    lanes = new EngineLanes(createEngines(), deployment.volumesByName(), this::settingsTerms);
    membership = new Membership(deployment.rules().coldUs(), lanes::updateNodes);
    ConnectionSerials serials = new ConnectionSerials();
    for (int i = 0; i < process.cores(); i++) {
      NodePool pool = new NodePool(lanes.lane(i), new NodePool.Limits(process.name(), holder, process
          .connectionsPerNode(), process
              .maxAttemptsPerConnection(), deployment.allowed().connectTimeoutUs(), deployment.rules()
                  .orderSettleUs()),
          serials, deployment.schedulerSettings().reportFields(), new MembershipUpdater(), process
              .ioThreads());
      pool.updateAddresses(nodeAddresses(currentNodes));
      lanes.lane(i).start(pool);
      pools.add(pool);
    }
    lanes.start();
    membership.replaceAll(nodeEntries(currentNodes));
    Files.createDirectories(process.socketDir());
    acceptor = new Acceptor();
    hostedVolumes = process.hosting() == null
        ? null
        : new HostedVolumes(lanes, acceptor, process.socketDir(), process.hosts(), this::setNodeState,
            this::nodeViews);
    control = hostedVolumes == null
        ? null
        : new ControlPlane(new FileSystemDirectory(process.stateDir().resolve("store")), createShards(
            deployment),
            FIRST_HOSTED_ID, process
                .hosts(),
            hostedVolumes, System::currentTimeMillis);
    admin = control == null ? null : admin(process);
    if (control != null) {
      control.start().join();
    }
    // Only now: the node states set by administrators are in force.
    for (Volume volume : deployment.volumes()) {
      vhostServers.add(new VhostServer(lanes, acceptor, volume.name(), socketPath(volume.name()),
          VhostServer.ANY_USER));
    }
    sftp = process.sftp() ? new SftpServer(lanes, process.socketDir().resolve("sftp.sock")) : null;
    LOG.atInfo()
        .addKeyValue("name", process.name())
        .addKeyValue("epoch", holder.epoch())
        .addKeyValue("volumes", deployment.volumes().size())
        .addKeyValue("nodes", deployment.nodes().size())
        .log("gateway.started");
  }

  /** Creates the lanes' engines, each with its own scheduler and random source and its part of the capacity
   * limits. */
  private List<Engine> createEngines() {
    Deployment.GatewayConfig process = deployment.gateway();
    RequestClassifier classifier = new RequestClassifier(deployment.classificationRules(), process
        .unitBytes(), deployment
            .store()
            .maxUnits());
    List<Engine> engines = new ArrayList<>();
    for (int i = 0; i < process.cores(); i++) {
      HostScheduler.Settings settings = deployment.schedulerSettings();
      HostScheduler.Rules rules = settings.rules();
      // The free part of the attempt budget, beside its share of the requests, is per process: the lanes
      // divide it, because their sum would exceed it otherwise.
      HostScheduler.Rules laneRules = new HostScheduler.Rules(rules.answerSlackUs(), rules.drainGraceUs(),
          rules.coldFrom(), rules
              .coldUs(), rules.fallMultiple(), rules.fallUs(), rules.orderSettleUs(), rules.budgetShare(),
          rules.budgetFree() / process
              .cores(), rules.budgetWindowUs(), rules.askWithinUs());
      HostScheduler.Settings laneSettings = new HostScheduler.Settings(settings.seed() + i * LANE_SEED_STEP,
          settings.index(), settings
              .hosts(),
          settings
              .zone(), settings.tickUs(), settings.listOnRequest(), settings.classes(), settings.plans(),
          laneRules, settings.allowed(), settings
              .store(), settings
                  .reportSource(), settings.reportFields());
      engines.add(new Engine(new Engine.Config(laneSettings, classifier, new ExtentSplitter(
          MAX_COMMAND_BYTES), Math
              .max(1,
                  process
                      .maxRequests() / process.cores()), Math.max(1, process.maxRequestBytes() / process
                          .cores()),
          i
              * REQUEST_IDS_PER_LANE), Map
                  .of(),
          new TokenBorrowingScheduler(laneSettings)));
    }
    return engines;
  }

  /** Terms of a volume in the settings for a lane that takes it over: its plan, and no group. */
  private VolumeChanged settingsTerms(Volume volume) {
    HostScheduler.Plan plan = deployment.plans()
        .stream()
        .filter(candidate -> candidate.name().equals(volume.plan()))
        .findFirst()
        .orElseThrow();
    return new VolumeChanged(volume.id(), volume.hosts(), plan, 0, plan.weight());
  }

  /** Takes an epoch above all that the epoch store and the nodes know. */
  private Holder takeEpoch(boolean takeOver) throws IOException {
    String name = deployment.gateway().name();
    long recorded = epochStore.last();
    Map<String, EpochElection.NodeView> views = NodeSurvey.queryHolders(nodeAddresses(currentNodes), name,
        deployment
            .allowed()
            .connectTimeoutUs());
    EpochElection.Decision decision = takeOver
        ? EpochElection.decideForcedTakeover(recorded, views.values())
        : EpochElection.decideAtStart(recorded, views.values());
    if (decision.action() == EpochElection.Action.YIELD) {
      epochStore.close();
      throw new IOException("another gateway named " + name + " lives, with epoch " + decision.other().epoch()
          + " (recorded on disk: " + recorded + "); reported by nodes " + nodeNames(views, decision.other())
          + "; stop it, or start with --take-over if it no longer runs");
    }
    if (recorded < decision.other().epoch()) {
      LOG.atWarn()
          .addKeyValue("name", name)
          .addKeyValue("recorded", recorded)
          .addKeyValue("known", decision.other().epoch())
          .addKeyValue("taken", decision.epoch())
          .log("gateway.epoch.behind");
    }
    epochStore.advanceTo(decision.epoch());
    return new Holder(decision.epoch(), new SecureRandom().nextLong(Long.MAX_VALUE));
  }

  private static List<String> nodeNames(Map<String, EpochElection.NodeView> views, Holder other) {
    return views.entrySet()
        .stream()
        .filter(view -> view.getValue().holder().equals(other))
        .map(Map.Entry::getKey)
        .sorted()
        .toList();
  }

  /** Handles a node's report that another gateway holds this name; called on the engine's thread. */
  private void handleSuperseded(long node, EpochElection.NodeView view) {
    EpochElection.Decision decision = EpochElection.decideInService(holder, view);
    if (decision.action() == EpochElection.Action.GO_ON || superseded.isDone()) {
      return;
    }
    LOG.atError()
        .addKeyValue("name", deployment.gateway().name())
        .addKeyValue("node", node)
        .addKeyValue("epoch", holder.epoch())
        .addKeyValue("other", view.holder().epoch())
        .addKeyValue("open", view.openConnections())
        .addKeyValue("verdict", decision.action())
        .log("gateway.superseded");
    if (decision.action() == EpochElection.Action.YIELD) {
      lanes.refuseAll();
      superseded.complete(null);
      return;
    }
    Holder newHolder = new Holder(decision.epoch(), holder.instance());
    holder = newHolder;
    CompletableFuture.runAsync(() -> record(newHolder.epoch())).whenComplete((done, error) -> {
      if (error == null) {
        for (int i = 0; i < pools.size(); i++) {
          NodePool pool = pools.get(i);
          lanes.lane(i).execute(() -> pool.changeHolder(newHolder));
        }
      } else {
        LOG.atError().setCause(error).log("gateway.epoch");
        superseded.complete(null);
      }
    });
  }

  private void record(long newEpoch) {
    try {
      epochStore.advanceTo(newEpoch);
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  /** Completes when a newer gateway with the same name was found: this one must stop. */
  public CompletableFuture<Void> superseded() {
    return superseded;
  }

  /** The current epoch. */
  public long epoch() {
    return holder.epoch();
  }

  private AdminServer admin(Deployment.GatewayConfig process) throws IOException {
    Deployment.TenantHosting hosting = process.hosting();
    AdminServer.ensureOperatorToken(control, process.stateDir().resolve("operator.token"));
    return new AdminServer(control, process.socketDir().resolve("admin.sock"), hosting.port(), hosting.cert(),
        hosting.key());
  }

  /** Creates the shards as stated in the settings; extents of volumes in the settings count as allocated. */
  private static List<Shard> createShards(Deployment deployment) {
    Map<Integer, List<Shard.Range>> allocated = new HashMap<>();
    for (Volume volume : deployment.volumes()) {
      volume.extents()
          .forEach(extent -> allocated.computeIfAbsent(extent.shard(), k -> new ArrayList<>())
              .add(new Shard.Range(extent.offset(), extent.offset() + volume.extentBytes())));
    }
    return deployment.nodes()
        .stream()
        .filter(node -> node.state() != NodeState.GONE)
        .map(node -> new Shard(node.shard(), node.zone(), node.capacity(), node.bytes(), allocated
            .getOrDefault(node.shard(), List
                .of())))
        .toList();
  }

  private void setNodeState(String name, NodeState state) {
    for (Deployment.Node node : currentNodes) {
      if (node.name().equals(name)) {
        List<NodeEntry> before = membership.list();
        membership.setState(node.id(), state);
        logNodeChanges(before);
      }
    }
  }

  private Map<String, Provisioner.NodeView> nodeViews() {
    Map<Long, NodeEntry> listed = new HashMap<>();
    membership.list().forEach(entry -> listed.put(entry.node(), entry));
    Map<String, Provisioner.NodeView> views = new TreeMap<>();
    for (Deployment.Node node : currentNodes) {
      NodeEntry entry = listed.get(node.id());
      views.put(node.name(), new Provisioner.NodeView(node.id(), node.shard(), node.zone(), entry == null
          ? node.state()
          : entry.state()));
    }
    return views;
  }

  /** Gives each node of a list the id that it keeps as long as it is the same node. */
  private List<Deployment.Node> assignIds(List<Deployment.Node> nodes) {
    return nodes.stream()
        .map(node -> node.withId(nodeIds.assign(new NodeIds.Identity(node.name(), node.host(), node.port(),
            node.zone(), node.shard()), node.id())))
        .toList();
  }

  private static List<NodePool.Address> nodeAddresses(List<Deployment.Node> nodes) {
    return nodes.stream()
        .map(node -> new NodePool.Address(node.id(), node.name(), new InetSocketAddress(node.host(), node
            .port()), node.shard()))
        .toList();
  }

  private static List<NodeEntry> nodeEntries(List<Deployment.Node> nodes) {
    return nodes.stream().map(Deployment.Node::toNodeEntry).toList();
  }

  /** Passes events of the nodes through the membership to the scheduler. */
  private final class MembershipUpdater implements NodePool.NodeEventListener {
    @Override
    public boolean onNodeStarted(long node, long boot, long ageUs) {
      boolean newStart = membership.recordStart(node, boot, ageUs, Engine.monotonicMicros());
      if (newStart) {
        LOG.atInfo().addKeyValue("node", node).addKeyValue("age_ms", ageUs / 1_000).log("node.started");
      }
      return newStart;
    }

    @Override
    public void onSuperseded(long node, EpochElection.NodeView view) {
      handleSuperseded(node, view);
    }

    @Override
    public void onNodeListRequested() {
      membership.republish();
    }
  }

  private void logNodeChanges(List<NodeEntry> before) {
    List<NodeEntry> after = membership.list();
    for (NodeEntry entry : after) {
      NodeEntry previous = before.stream()
          .filter(previousEntry -> previousEntry.node() == entry.node())
          .findFirst()
          .orElse(null);
      if (previous == null || previous.state() != entry.state()) {
        LOG.atInfo()
            .addKeyValue("node", entry.node())
            .addKeyValue("shard", entry.cell())
            .addKeyValue("state", entry.state())
            .log("node.state");
      }
    }
    before.stream()
        .filter(previousEntry -> after.stream().noneMatch(entry -> entry.node() == previousEntry.node()))
        .forEach(previousEntry -> LOG.atInfo()
            .addKeyValue("node", previousEntry.node())
            .addKeyValue("shard", previousEntry.cell())
            .addKeyValue("state", "GONE")
            .log("node.state"));
  }

  /** Replaces the node list; all other settings stay unchanged. The node states set by administrators take
   * precedence over the settings. */
  public synchronized void replaceNodes(Deployment newDeployment) {
    if (control == null) {
      applyNodes(newDeployment.nodes(), List.of());
      return;
    }
    // On the control's thread, where administrators' changes are applied: none can come in between.
    control.read(records -> {
      applyNodes(newDeployment.nodes(), records.nodes());
      return null;
    }).exceptionally(error -> {
      LOG.atError().setCause(error).log("nodes.replaced");
      return null;
    }).join();
  }

  private void applyNodes(List<Deployment.Node> listedNodes, Collection<NodeStatePut> setStates) {
    List<Deployment.Node> nodes = assignIds(listedNodes);
    List<NodePool.Address> addresses = nodeAddresses(nodes);
    for (int i = 0; i < pools.size(); i++) {
      NodePool pool = pools.get(i);
      lanes.lane(i).execute(() -> pool.updateAddresses(addresses));
    }
    List<NodeEntry> before = membership.list();
    currentNodes = nodes;
    membership.replaceAll(nodeEntries(withSetStates(nodes, setStates)));
    logNodeChanges(before);
    LOG.atInfo().addKeyValue("nodes", nodes.size()).log("nodes.replaced");
  }

  private static List<Deployment.Node> withSetStates(List<Deployment.Node> nodes,
      Collection<NodeStatePut> setStates) {
    Map<String, NodeState> states = new HashMap<>();
    setStates.forEach(set -> states.put(set.node(), set.state()));
    return nodes.stream()
        .map(node -> node.withState(states.getOrDefault(node.name(), node.state())))
        .toList();
  }

  /** Returns the socket path of a volume in the settings. */
  public Path socketPath(String volume) {
    return deployment.gateway().socketDir().resolve(volume + ".sock");
  }

  /** Returns the socket path of a hosted volume. */
  public Path socketPath(String tenant, String volume) {
    return hostedVolumes.socketPath(tenant, volume);
  }

  /** Returns the control of hosted tenants; null if hosting is disabled. */
  public ControlPlane control() {
    return control;
  }

  /** Returns the server of the administration API; null if hosting is disabled. */
  public AdminServer admin() {
    return admin;
  }

  /** Returns the number of clients connected to a volume. */
  public int deviceCount(String volume) {
    return vhostServers.stream()
        .filter(f -> f.path().equals(socketPath(volume)))
        .mapToInt(VhostServer::deviceCount)
        .sum();
  }

  /** Returns the lanes that process the requests. */
  public EngineLanes lanes() {
    return lanes;
  }

  public Membership membership() {
    return membership;
  }

  /** Stops accepting requests, answers all pending ones and then closes the sockets; completes when all are
   * answered. */
  public synchronized CompletableFuture<Void> stop() {
    if (stopping == null) {
      stopping = stopAll();
    }
    return stopping;
  }

  private CompletableFuture<Void> stopAll() {
    return lanes.stop().whenComplete((done, error) -> {
      if (admin != null) {
        admin.close();
        control.close();
        hostedVolumes.close();
      }
      vhostServers.forEach(VhostServer::close);
      acceptor.close();
      if (sftp != null) {
        sftp.close();
      }
      try {
        epochStore.close();
      } catch (IOException e) {
        LOG.atWarn().setCause(e).log("gateway.stop");
      }
    });
  }

  /** Registers a listener that is called when the engine terminates, intended or not, or when a newer gateway
   * has superseded this one. */
  public void onTermination(Runnable listener) {
    lanes.termination().whenComplete((done, error) -> listener.run());
    superseded.thenRun(listener);
  }

  /** Stops and waits, with a limit derived from the longest deadline of a client. Returns whether all
   * requests were answered. */
  public boolean close() {
    long maxDeadlineUs = deployment.classes().stream().mapToLong(c -> c.deadlineUs()).max().orElse(0);
    try {
      stop().get(maxDeadlineUs * 2 + 1_000_000, TimeUnit.MICROSECONDS);
      return true;
    } catch (ExecutionException | TimeoutException e) {
      LOG.atError().setCause(e).log("gateway.stop");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return false;
  }
}
