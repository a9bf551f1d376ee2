package hollyslip.emulator;

import hollyslip.HostScheduler.NodeEntry;
import hollyslip.HostScheduler.NodeState;
import hollyslip.HostScheduler.RequestClass;
import hollyslip.audit.Asked;
import hollyslip.audit.Auditor;
import hollyslip.audit.Told;
import hollyslip.load.Day;
import hollyslip.load.ScenarioSettings;
import hollyslip.node.Nbd;
import hollyslip.settings.Deployment;
import hollyslip.settings.Loader;
import hollyslip.standin.Command;
import hollyslip.standin.ServiceModel;
import hollyslip.volume.RequestClassifier;
import hollyslip.volume.IoKind;
import hollyslip.volume.Volume;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Stream;

/** Plays a {@link Day} in virtual time, with the production engine and scheduler and with models of nodes,
 * network and clients. Single-threaded and deterministic: equal scenarios give equal runs. The models use
 * parameters of their own, so the results are always labelled as simulated. */
public final class World {
  /** Maximum delay until a gateway learns a node state set by the operator, us. */
  private static final long MAX_LIST_DELAY_US = 50_000;
  /** Age of the nodes at the start, us; they are long warm. */
  private static final long INITIAL_NODE_AGE_US = 3_600_000_000L;
  /** Additional run time after the end of the load and the last deadline, us. */
  private static final long DRAIN_TIME_US = 2_000_000;

  final Day scenario;
  final EventQueue events = new EventQueue();
  private final Deployment deployment;
  private final Map<String, Volume> volumes;
  private final RequestClassifier classifier;
  private final SplittableRandom random;
  private final List<EmulatedNode> nodes = new ArrayList<>();
  private final List<EmulatedGateway> gateways = new ArrayList<>();
  private final List<EmulatedClient> clients = new ArrayList<>();
  private final NodeState[] states;
  private final List<Asked> asked = new ArrayList<>();
  private final List<Told> operatorRecords = new ArrayList<>();
  private final Map<String, NodeState> lastToldStates = new HashMap<>();
  private final Map<String, Outcome.Tally> tallies = new TreeMap<>();
  private final Map<String, Outcome.Tally> kinds = new TreeMap<>();
  private final List<Outcome.Tally> timeline = new ArrayList<>();
  private boolean nodeListDown;
  private long lastWriteId;

  private World(Day day, Deployment deployment) {
    this.scenario = day;
    this.deployment = deployment;
    volumes = deployment.byName();
    classifier = new RequestClassifier(deployment.rows(), deployment.gateway().unitBytes(), deployment.store()
        .maxUnits());
    random = new SplittableRandom(day.seed());
    states = new NodeState[day.nodes().count()];
    Arrays.fill(states, NodeState.ON);
  }

  /** Plays a scenario.
   *
   * @throws IllegalArgumentException
   *           if its plans or volumes do not make valid settings; the message names the reason */
  public static Outcome play(Day day) {
    World w = new World(day, deployment(day));
    w.build();
    w.scenario.troubles().forEach(w::scheduleDisturbance);
    return w.run();
  }

  /** Settings of the scenario's gateways. */
  private static Deployment deployment(Day day) {
    try {
      Path dir = Files.createTempDirectory("hollyslip-emulate");
      try {
        Files.writeString(dir.resolve("fleet.star"), ScenarioSettings.nodeListScript(day.nodes().count(),
            i -> 1 + i,
            i -> NodeState.ON));
        Path file = Files.writeString(dir.resolve("gateway-0.star"), ScenarioSettings.gatewayScript(day, 0));
        Loader.Loaded loaded = Loader.load(file);
        if (!loaded.faults().isEmpty()) {
          throw new IllegalArgumentException("invalid settings for the scenario: " + loaded.faults());
        }
        return loaded.deployment();
      } finally {
        try (Stream<Path> all = Files.walk(dir)) {
          for (Path p : all.sorted(Comparator.reverseOrder()).toList()) {
            Files.delete(p);
          }
        }
      }
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  private void build() {
    var n = scenario.nodes();
    for (int i = 0; i < n.count(); i++) {
      nodes.add(new EmulatedNode(i, events, ServiceModel.timed(n.cores(), n.queue(), n.baseUs()), random
          .split(),
          INITIAL_NODE_AGE_US));
    }
    for (int i = 0; i < scenario.gateways(); i++) {
      gateways.add(new EmulatedGateway(this, i, classifier, random.split()));
    }
    // Drawn exactly as in the load generator, so that both submit the same requests at the same times.
    SplittableRandom clientSeeds = new SplittableRandom(scenario.seed());
    for (Day.VolumeLoad v : scenario.volumes()) {
      int all = scenario.clientCount(v);
      for (int c = 0; c < all; c++) {
        EmulatedGateway site = gateways.get(scenario.gatewayOf(v, c));
        EmulatedClient caller = new EmulatedClient(this, site, v, c, all, volumes.get(v.volume()).bytes(),
            clientSeeds
                .nextLong());
        site.add(caller);
        clients.add(caller);
      }
    }
    gateways.forEach(s -> {
      operatorRecords.add(new Told.Started(s.name, events.now()));
      s.start();
    });
    clients.forEach(EmulatedClient::scheduleNextArrival);
  }

  private Outcome run() {
    long end = EventQueue.START_US + (long) (scenario.seconds() * 1e6);
    events.runUntil(end);
    clients.forEach(EmulatedClient::endLoad);
    events.runUntil(end + DRAIN_TIME_US + deployment.classes()
        .stream()
        .mapToLong(RequestClass::deadlineUs)
        .max()
        .orElseThrow());
    clients.forEach(EmulatedClient::recordUnanswered);
    List<Command> commands = new ArrayList<>();
    nodes.forEach(d -> commands.addAll(d.commandLog()));
    return new Outcome(Auditor.check(ScenarioSettings.auditFigures(deployment, 0, 0), asked, commands,
        operatorRecords), tallies,
        kinds, timeline, events
            .processedCount());
  }

  // Called by the parts of the emulation.

  Deployment deployment() {
    return deployment;
  }

  Map<String, Volume> volumes() {
    return volumes;
  }

  List<EmulatedNode> nodes() {
    return nodes;
  }

  boolean nodeListDown() {
    return nodeListDown;
  }

  long listDelay(SplittableRandom of) {
    return of.nextLong(MAX_LIST_DELAY_US);
  }

  long nextWriteId() {
    return ++lastWriteId;
  }

  RequestClass requestClass(IoKind kind, long length) {
    String name = classifier.className(kind, length);
    return deployment.classes().stream().filter(c -> c.name().equals(name)).findFirst().orElseThrow();
  }

  /** The node list as the operator sees it. */
  List<NodeEntry> nodeEntries() {
    List<NodeEntry> all = new ArrayList<>();
    for (int i = 0; i < states.length; i++) {
      all.add(nodeEntries(i));
    }
    return all;
  }

  private NodeEntry nodeEntries(int disk) {
    return new NodeEntry(disk + 1, deployment.nodes().get(disk).zone(), disk, states[disk], 0);
  }

  /** Records the node states that a gateway has been told. */
  void recordNodeStates(EmulatedGateway site, List<NodeEntry> list) {
    for (NodeEntry l : list) {
      String key = site.name + "/" + l.node();
      NodeState before = lastToldStates.getOrDefault(key, NodeState.ON);
      if (before != l.state()) {
        lastToldStates.put(key, l.state());
        operatorRecords.add(new Told.State(site.name, nodes.get((int) l.node() - 1).name, l.state(), events
            .now()));
      }
    }
  }

  void recordRequest(Asked a, String plan, long dueUs, long aimUs) {
    asked.add(a);
    tally(plan).add(a.answer(), a.left(), a.answeredUs() - dueUs, aimUs);
    kinds.computeIfAbsent(plan + (a.kind() == Nbd.CMD_READ ? ".read" : ".write"), k -> new Outcome.Tally())
        .add(a.answer(), a.left(), a.answeredUs() - dueUs, aimUs);
    int interval = (int) ((dueUs - EventQueue.START_US) / Outcome.INTERVAL_US);
    while (timeline.size() <= interval) {
      timeline.add(new Outcome.Tally());
    }
    timeline.get(interval).add(a.answer(), a.left(), a.answeredUs() - dueUs, aimUs);
  }

  void never(String plan, long count) {
    tally(plan).neverSubmitted(count);
  }

  private Outcome.Tally tally(String plan) {
    return tallies.computeIfAbsent(plan, k -> new Outcome.Tally());
  }

  // Disturbances.

  private void schedule(double seconds, Runnable what) {
    events.schedule(EventQueue.START_US + (long) (seconds * 1e6), what);
  }

  private void scheduleDisturbance(Day.Disturbance t) {
    double end = t.at() + t.seconds();
    switch (t.kind()) {
      case "stall" -> scheduleOnNodes(t, d -> d.stallFor((long) (t.seconds() * 1e6)), d -> {});
      case "hang" -> scheduleOnNodes(t, d -> d.faults.silent = true, d -> d.faults.silent = false);
      case "vanish" -> scheduleOnNodes(t, d -> d.faults.silent = true, this::restart);
      case "mass-restart" -> scheduleOnNodes(t, this::restart, d -> {});
      case "fast-errors" -> scheduleOnNodes(t, d -> d.faults.errors = t.size(), d -> d.faults.errors = 0);
      case "answer-lost" -> scheduleOnNodes(t, d -> d.faults.loseAnswers = t.size(),
          d -> d.faults.loseAnswers = 0);
      case "late-write" -> scheduleOnNodes(t, d -> d.faults.lateWriteUs = (long) (t.size() * 1e6),
          d -> d.faults.lateWriteUs = 0);
      case "slow" -> scheduleOnNodes(t, d -> d.setSlowdown(Math.max(0.01, t.size())), d -> d.setSlowdown(1));
      case "full" -> scheduleOnNodes(t, d -> d.faults.full = true, d -> d.faults.full = false);
      case "heavy-tail" -> scheduleOnNodes(t, d -> {
        d.faults.heavyFactor = t.size();
        d.faults.heavyPart = 0.02;
      }, d -> d.faults.heavyPart = 0);
      case "drain" -> scheduleOnNodes(t, d -> setNodeState(d, NodeState.DRAINING), d -> setNodeState(d,
          NodeState.ON));
      case "preempt" -> scheduleOnNodes(t, d -> {
        setNodeState(d, NodeState.DRAINING);
        events.scheduleAfter((long) (1e6 * t.killDelaySeconds()), d::kill);
      }, d -> {
        restart(d);
        setNodeState(d, NodeState.ON);
      });
      case "partition" -> {
        List<EmulatedGateway> cut = gateways.stream().filter(s -> random.nextDouble() < t.size()).toList();
        scheduleOnNodes(t, d -> cut.forEach(s -> s.partition(d, (long) (t.seconds() * 1e6))), d -> {});
      }
      case "burst" -> scheduleLoadFactor(t, c -> true);
      case "plan-burst" -> scheduleLoadFactor(t, c -> c.load.plan().equals(t.target()));
      case "volume-burst" -> scheduleLoadFactor(t, c -> c.load.volume().equals(t.target()));
      case "hot-volumes", "scan" -> {
        List<EmulatedClient> hot = clients.stream().filter(c -> random.nextDouble() < t.fraction()).toList();
        scheduleLoadFactor(t, hot::contains);
        boolean scan = t.kind().equals("scan");
        schedule(t.at(), () -> hot.forEach(c -> c.readsOnly(scan)));
        schedule(end, () -> hot.forEach(c -> c.readsOnly(false)));
      }
      case "retry-abuse" -> {
        schedule(t.at(), () -> targetClients(t).forEach(c -> c.retryImmediately(true)));
        schedule(end, () -> targetClients(t).forEach(c -> c.retryImmediately(false)));
      }
      case "reconnect" -> schedule(t.at(), () -> clients.stream()
          .filter(c -> random.nextDouble() < t.fraction())
          .forEach(EmulatedClient::reconnect));
      case "client-vanish" -> schedule(t.at(), () -> targetClients(t).stream()
          .limit(1)
          .forEach(EmulatedClient::reconnect));
      case "list-down" -> {
        schedule(t.at(), () -> nodeListDown = true);
        schedule(end, () -> {
          nodeListDown = false;
          publishNodeList();
        });
      }
      case "gateway-crash" -> scheduleCrash(gateways.get(random.nextInt(gateways.size())), t);
      default -> throw new IllegalStateException(t.kind());
    }
  }

  private void scheduleCrash(EmulatedGateway site, Day.Disturbance t) {
    schedule(t.at(), () -> {
      if (site.isAlive()) {
        site.kill();
      }
    });
    schedule(t.at() + t.seconds(), () -> {
      if (!site.isAlive()) {
        operatorRecords.add(new Told.Started(site.name, events.now()));
        site.start();
      }
    });
  }

  private void scheduleOnNodes(Day.Disturbance t, Consumer<EmulatedNode> begin, Consumer<EmulatedNode> end) {
    for (EmulatedNode d : affectedNodes(t)) {
      schedule(t.at(), () -> begin.accept(d));
      schedule(t.at() + t.seconds(), () -> end.accept(d));
    }
  }

  private List<EmulatedNode> affectedNodes(Day.Disturbance t) {
    if (!t.target().isEmpty()) {
      return nodes.stream().filter(d -> d.name.equals(t.target())).toList();
    }
    List<EmulatedNode> left = new ArrayList<>(nodes);
    List<EmulatedNode> chosen = new ArrayList<>();
    for (long n = Math.max(1, Math.round(t.fraction() * nodes.size())); n > 0 && !left.isEmpty(); n--) {
      chosen.add(left.remove(random.nextInt(left.size())));
    }
    return chosen;
  }

  private List<EmulatedClient> targetClients(Day.Disturbance t) {
    return clients.stream()
        .filter(c -> c.load.volume().equals(t.target()) || c.load.plan().equals(t.target()))
        .toList();
  }

  private void scheduleLoadFactor(Day.Disturbance t, Predicate<EmulatedClient> which) {
    schedule(t.at(), () -> clients.stream().filter(which).forEach(c -> c.rateFactor(t.size())));
    schedule(t.at() + t.seconds(), () -> clients.stream().filter(which).forEach(c -> c.rateFactor(1)));
  }

  private void restart(EmulatedNode d) {
    d.faults.clear();
    d.start();
    operatorRecords.add(new Told.Born(d.name, events.now()));
  }

  private void setNodeState(EmulatedNode d, NodeState state) {
    states[d.index] = state;
    if (!nodeListDown) {
      NodeEntry l = nodeEntries(d.index);
      gateways.stream()
          .filter(EmulatedGateway::isAlive)
          .forEach(s -> events.scheduleAfter(listDelay(random), () -> {
            if (s.isAlive() && states[d.index] == state) {
              s.updateNodeState(l);
            }
          }));
    }
  }

  private void publishNodeList() {
    for (int i = 0; i < states.length; i++) {
      setNodeState(nodes.get(i), states[i]);
    }
  }
}
