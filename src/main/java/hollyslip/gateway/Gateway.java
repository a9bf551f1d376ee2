package hollyslip.gateway;

import hollyslip.TokenBorrowingScheduler;
import hollyslip.HostScheduler;
import hollyslip.HostScheduler.NodeEntry;
import hollyslip.HostScheduler.NodeState;
import hollyslip.HostScheduler.VolumeChanged;
import hollyslip.admin.AdminServer;
import hollyslip.admin.Carrier;
import hollyslip.admin.Control;
import hollyslip.engine.Engine;
import hollyslip.engine.EngineLanes;
import hollyslip.fleet.Membership;
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
import hollyslip.store.Folder;
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

/** One gateway, put together from its settings: the one place that knows all parts. */
public final class Gateway {
  private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);

  /** Longest command that nodes take: the NBD protocol's limit without a block size constraint is 32 MiB. */
  private static final long MAX_COMMAND_BYTES = 32 << 20;

  /** Requests that a lane can number before the next one's numbers begin; a cookie has 12 bits more. */
  private static final long REQUEST_IDS_PER_LANE = 1L << 44;

  /** Between the seeds of two lanes, so that those of neighbouring gateways do not meet. */
  private static final long LANE_SEED_STEP = 1L << 32;

  private final Deployment deployment;
  private final EngineLanes lanes;
  private final Membership membership;
  private final List<NodePool> pools = new ArrayList<>();
  private final List<VhostServer> vhostServers = new ArrayList<>();
  private final SftpServer sftp;
  private final Acceptor acceptor;
  private final HostedVolumes hostedVolumes;
  private final Control control;
  private final AdminServer admin;
  private final EpochStore epochStore;
  private final CompletableFuture<Void> superseded = new CompletableFuture<>();
  private volatile Holder holder;
  private CompletableFuture<Void> stopping;
  private volatile List<Deployment.Node> currentNodes;

  /** Ids of hosted tenants and volumes begin here; those of the settings' volumes are below. */
  private static final long FIRST_HOSTED_ID = 1 << 20;

  /** Builds and starts it; when this returns the sockets of all volumes listen, those of the settings and of
   * the store, or it was logged of a volume of the store why its one does not. */
  public Gateway(Deployment deployment) throws IOException {
    this(deployment, false);
  }

  /** As the other.
   *
   * @param takeOver
   *          an operator says that no other gateway of this name lives, whatever nodes say
   * @throws IOException
   *           among others: another gateway of this name lives, or uses the state folder */
  public Gateway(Deployment deployment, boolean takeOver) throws IOException {
    this.deployment = deployment;
    currentNodes = deployment.nodes();
    Deployment.Process p = deployment.gateway();
    epochStore = new EpochStore(p.stateDir());
    holder = takeEpoch(takeOver);
    lanes = new EngineLanes(createEngines(), deployment.byName(), this::settingsTerms);
    membership = new Membership(deployment.rules().coldUs(), lanes::updateNodes);
    ConnectionSerials serials = new ConnectionSerials();
    for (int i = 0; i < p.cores(); i++) {
      NodePool pool = new NodePool(lanes.lane(i), new NodePool.Limits(p.name(), holder, p.connections(), p
          .perConnection(), deployment.allowed().connectTimeoutUs(), deployment.rules().orderSettleUs()),
          serials, deployment.module().reportFields(), new MembershipUpdater(), p.ioThreads());
      pool.updateAddresses(nodeAddresses(deployment));
      lanes.lane(i).start(pool);
      pools.add(pool);
    }
    lanes.start();
    membership.replaceAll(nodeEntries(deployment));
    Files.createDirectories(p.socketDir());
    acceptor = new Acceptor();
    for (Volume v : deployment.volumes()) {
      vhostServers.add(new VhostServer(lanes, acceptor, v.name(), socket(v.name()), VhostServer.ANYBODY));
    }
    sftp = p.sftp() ? new SftpServer(lanes, p.socketDir().resolve("sftp.sock")) : null;
    hostedVolumes = p.hosting() == null
        ? null
        : new HostedVolumes(lanes, acceptor, p.socketDir(), p.hosts(), this::setNodeState, this::nodeViews);
    control = hostedVolumes == null
        ? null
        : new Control(new Folder(p.stateDir().resolve("store")), createShards(deployment), FIRST_HOSTED_ID, p
            .hosts(),
            hostedVolumes, System::currentTimeMillis);
    admin = control == null ? null : admin(p);
    if (control != null) {
      control.start().join();
    }
    LOG.atInfo()
        .addKeyValue("name", p.name())
        .addKeyValue("epoch", holder.epoch())
        .addKeyValue("volumes", deployment.volumes().size())
        .addKeyValue("nodes", deployment.nodes().size())
        .log("gateway.started");
  }

  /** The lanes' engines: each a module with its own random source, and its part of what may be held. */
  private List<Engine> createEngines() {
    Deployment.Process p = deployment.gateway();
    RequestClassifier classifier = new RequestClassifier(deployment.rows(), p.unitBytes(), deployment.store()
        .maxUnits());
    List<Engine> engines = new ArrayList<>();
    for (int i = 0; i < p.cores(); i++) {
      HostScheduler.Settings m = deployment.module();
      HostScheduler.Rules r = m.rules();
      // What the budget allows beside its share is the process's: lanes divide it, or the sum would pass it.
      HostScheduler.Rules part = new HostScheduler.Rules(r.answerSlackUs(), r.drainGraceUs(), r.coldFrom(), r
          .coldUs(), r.fallMultiple(), r.fallUs(), r.orderSettleUs(), r.budgetShare(), r.budgetFree() / p
              .cores(), r.budgetWindowUs(), r.askWithinUs());
      HostScheduler.Settings own = new HostScheduler.Settings(m.seed() + i * LANE_SEED_STEP, m.index(), m
          .hosts(),
          m
              .zone(), m.tickUs(), m.listOnRequest(), m.classes(), m.plans(), part, m.allowed(), m
                  .store(), m
                      .reportSource(), m.reportFields());
      engines.add(new Engine(new Engine.Config(own, classifier, new ExtentSplitter(MAX_COMMAND_BYTES), Math
          .max(1,
              p
                  .mostRequests() / p.cores()), Math.max(1, p.mostBytes() / p.cores()), i
                      * REQUEST_IDS_PER_LANE), Map
                          .of(),
          new TokenBorrowingScheduler(own)));
    }
    return engines;
  }

  /** Terms of a volume of the settings, for a lane that takes it over: its plan, and no group. */
  private VolumeChanged settingsTerms(Volume v) {
    HostScheduler.Plan plan = deployment.plans()
        .stream()
        .filter(each -> each.name().equals(v.plan()))
        .findFirst()
        .orElseThrow();
    return new VolumeChanged(v.id(), v.hosts(), plan, 0, plan.weight());
  }

  /** Takes an epoch above all that our record and the nodes know. */
  private Holder takeEpoch(boolean takeOver) throws IOException {
    String name = deployment.gateway().name();
    long recorded = epochStore.last();
    Map<String, EpochElection.NodeView> known = NodeSurvey.queryHolders(nodeAddresses(deployment), name,
        deployment
            .allowed()
            .connectTimeoutUs());
    EpochElection.Decision step = takeOver
        ? EpochElection.decideForcedTakeover(recorded, known.values())
        : EpochElection.decideAtStart(recorded, known.values());
    if (step.action() == EpochElection.Action.YIELD) {
      epochStore.close();
      throw new IOException("another gateway named " + name + " lives, with epoch " + step.other().epoch()
          + " (ours on disk: " + recorded + "): nodes that say so are " + nodeNames(known, step.other())
          + "; stop it, or start with --take-over if it is gone");
    }
    if (recorded < step.other().epoch()) {
      LOG.atWarn()
          .addKeyValue("name", name)
          .addKeyValue("recorded", recorded)
          .addKeyValue("known", step.other().epoch())
          .addKeyValue("taken", step.epoch())
          .log("gateway.epoch.behind");
    }
    epochStore.advanceTo(step.epoch());
    return new Holder(step.epoch(), new SecureRandom().nextLong(Long.MAX_VALUE));
  }

  private static List<String> nodeNames(Map<String, EpochElection.NodeView> known, Holder other) {
    return known.entrySet()
        .stream()
        .filter(e -> e.getValue().holder().equals(other))
        .map(Map.Entry::getKey)
        .sorted()
        .toList();
  }

  /** A node says that another one holds our name; engine's thread. */
  private void handleSuperseded(long node, EpochElection.NodeView known) {
    EpochElection.Decision step = EpochElection.decideInService(holder, known);
    if (step.action() == EpochElection.Action.GO_ON || superseded.isDone()) {
      return;
    }
    LOG.atError()
        .addKeyValue("name", deployment.gateway().name())
        .addKeyValue("node", node)
        .addKeyValue("epoch", holder.epoch())
        .addKeyValue("other", known.holder().epoch())
        .addKeyValue("open", known.openConnections())
        .addKeyValue("verdict", step.action())
        .log("gateway.superseded");
    if (step.action() == EpochElection.Action.YIELD) {
      lanes.refuseAll();
      superseded.complete(null);
      return;
    }
    Holder next = new Holder(step.epoch(), holder.instance());
    holder = next;
    CompletableFuture.runAsync(() -> record(next.epoch())).whenComplete((done, e) -> {
      if (e == null) {
        for (int i = 0; i < pools.size(); i++) {
          NodePool pool = pools.get(i);
          lanes.lane(i).execute(() -> pool.changeHolder(next));
        }
      } else {
        LOG.atError().setCause(e).log("gateway.epoch");
        superseded.complete(null);
      }
    });
  }

  private void record(long taken) {
    try {
      epochStore.advanceTo(taken);
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  /** Complete when a newer gateway of the same name was found: this one must end. */
  public CompletableFuture<Void> superseded() {
    return superseded;
  }

  /** The epoch that it has now. */
  public long epoch() {
    return holder.epoch();
  }

  private AdminServer admin(Deployment.Process p) throws IOException {
    Deployment.Hosting h = p.hosting();
    AdminServer.bootstrap(control, p.stateDir().resolve("operator.token"));
    return new AdminServer(control, p.socketDir().resolve("admin.sock"), h.port(), h.cert(), h.key());
  }

  /** Shards as the settings state them; what volumes of the settings have of them is taken. */
  private static List<Shard> createShards(Deployment d) {
    Map<Integer, List<Shard.Range>> taken = new HashMap<>();
    for (Volume v : d.volumes()) {
      v.extents()
          .forEach(e -> taken.computeIfAbsent(e.shard(), k -> new ArrayList<>())
              .add(new Shard.Range(e.offset(), e.offset() + v.extentBytes())));
    }
    return d.nodes()
        .stream()
        .filter(n -> n.state() != NodeState.GONE)
        .map(n -> new Shard(n.shard(), n.zone(), n.capacity(), n.bytes(), taken.getOrDefault(n.shard(), List
            .of())))
        .toList();
  }

  private void setNodeState(String name, NodeState state) {
    for (Deployment.Node n : currentNodes) {
      if (n.name().equals(name)) {
        List<NodeEntry> before = membership.list();
        membership.setState(n.id(), state);
        logNodeChanges(before);
      }
    }
  }

  private Map<String, Carrier.NodeView> nodeViews() {
    Map<Long, NodeEntry> listed = new HashMap<>();
    membership.list().forEach(l -> listed.put(l.node(), l));
    Map<String, Carrier.NodeView> views = new TreeMap<>();
    for (Deployment.Node n : currentNodes) {
      NodeEntry l = listed.get(n.id());
      views.put(n.name(), new Carrier.NodeView(n.id(), n.shard(), n.zone(), l == null
          ? n.state()
          : l.state()));
    }
    return views;
  }

  private static List<NodePool.Address> nodeAddresses(Deployment d) {
    return d.nodes()
        .stream()
        .map(n -> new NodePool.Address(n.id(), n.name(), new InetSocketAddress(n.host(), n.port()), "shard-"
            + n.shard()))
        .toList();
  }

  private static List<NodeEntry> nodeEntries(Deployment d) {
    return d.nodes().stream().map(Deployment.Node::listed).toList();
  }

  /** News of starts go through the membership to the module. */
  private final class MembershipUpdater implements NodePool.NodeEventListener {
    @Override
    public boolean onNodeStarted(long node, long boot, long ageUs) {
      boolean fresh = membership.recordStart(node, boot, ageUs, Engine.monotonicMicros());
      if (fresh) {
        LOG.atInfo().addKeyValue("node", node).addKeyValue("age_ms", ageUs / 1_000).log("node.started");
      }
      return fresh;
    }

    @Override
    public void onSuperseded(long node, EpochElection.NodeView known) {
      handleSuperseded(node, known);
    }

    @Override
    public void onNodeListRequested() {
      membership.republish();
    }
  }

  private void logNodeChanges(List<NodeEntry> before) {
    List<NodeEntry> now = membership.list();
    for (NodeEntry l : now) {
      NodeEntry old = before.stream().filter(b -> b.node() == l.node()).findFirst().orElse(null);
      if (old == null || old.state() != l.state()) {
        LOG.atInfo()
            .addKeyValue("node", l.node())
            .addKeyValue("shard", l.cell())
            .addKeyValue("state", l.state())
            .log("node.state");
      }
    }
    before.stream()
        .filter(b -> now.stream().noneMatch(l -> l.node() == b.node()))
        .forEach(b -> LOG.atInfo()
            .addKeyValue("node", b.node())
            .addKeyValue("shard", b.cell())
            .addKeyValue("state", "GONE")
            .log("node.state"));
  }

  /** Takes on another node list; the rest of the settings stays as it was. */
  public void nodes(Deployment next) {
    List<NodePool.Address> addresses = nodeAddresses(next);
    for (int i = 0; i < pools.size(); i++) {
      NodePool pool = pools.get(i);
      lanes.lane(i).execute(() -> pool.updateAddresses(addresses));
    }
    List<NodeEntry> before = membership.list();
    currentNodes = next.nodes();
    membership.replaceAll(nodeEntries(next));
    if (control != null) {
      // The administrators' word stands against the settings'.
      control.read(r -> List.copyOf(r.nodes()))
          .thenAccept(all -> all.forEach(n -> setNodeState(n.node(), n.state())));
    }
    logNodeChanges(before);
    LOG.atInfo().addKeyValue("nodes", next.nodes().size()).log("nodes.replaced");
  }

  /** Socket of a volume. */
  public Path socket(String volume) {
    return deployment.gateway().socketDir().resolve(volume + ".sock");
  }

  /** Socket of a hosted volume. */
  public Path socket(String tenant, String volume) {
    return hostedVolumes.socketPath(tenant, volume);
  }

  /** Who records and decides on hosted tenants; null: none are hosted. */
  public Control control() {
    return control;
  }

  /** The administration API; null: no tenants are hosted. */
  public AdminServer admin() {
    return admin;
  }

  /** Clients attached to a volume. */
  public int devices(String volume) {
    return vhostServers.stream()
        .filter(f -> f.path().equals(socket(volume)))
        .mapToInt(VhostServer::deviceCount)
        .sum();
  }

  /** Where its requests go. */
  public EngineLanes lanes() {
    return lanes;
  }

  public Membership membership() {
    return membership;
  }

  /** Takes no more, answers everything, then closes the sockets; complete when all is answered. */
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

  /** Has this called when the engine ends, wanted or not. */
  public void onFault(Runnable listener) {
    lanes.termination().whenComplete((done, error) -> listener.run());
    superseded.thenRun(listener);
  }

  /** Stops and waits, but no longer than the longest time that a client waits. Whether all was answered. */
  public boolean close() {
    long most = deployment.classes().stream().mapToLong(c -> c.deadlineUs()).max().orElse(0);
    try {
      stop().get(most * 2 + 1_000_000, TimeUnit.MICROSECONDS);
      return true;
    } catch (ExecutionException | TimeoutException e) {
      LOG.atError().setCause(e).log("gateway.stop");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return false;
  }
}
