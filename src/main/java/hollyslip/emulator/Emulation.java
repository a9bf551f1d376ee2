package hollyslip.emulator;

import hollyslip.HostScheduler.NodeEntry;
import hollyslip.HostScheduler.NodeState;
import hollyslip.HostScheduler.RequestClass;
import hollyslip.audit.RequestRecord;
import hollyslip.audit.Auditor;
import hollyslip.audit.OperatorEvent;
import hollyslip.load.Scenario;
import hollyslip.load.ScenarioSettings;
import hollyslip.node.Nbd;
import hollyslip.settings.Deployment;
import hollyslip.settings.Loader;
import hollyslip.standin.CommandRecord;
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

/** Plays a {@link Scenario} in virtual time, with the production engine and scheduler and with models of
 * nodes, network and clients. Single-threaded and deterministic: equal scenarios give equal runs. The models
 * use parameters of their own, so the results are always labelled as simulated. */
public final class Emulation {
  /** Maximum delay until a gateway learns a node state set by the operator, us. */
  private static final long MAX_LIST_DELAY_US = 50_000;
  /** Age of the nodes at the start, us; they are long warm. */
  private static final long INITIAL_NODE_AGE_US = 3_600_000_000L;
  /** Additional run time after the end of the load and the last deadline, us. */
  private static final long DRAIN_TIME_US = 2_000_000;

  final Scenario scenario;
  final EventQueue events = new EventQueue();
  private final Deployment deployment;
  private final Map<String, Volume> volumes;
  private final RequestClassifier classifier;
  private final SplittableRandom random;
  private final List<EmulatedNode> nodes = new ArrayList<>();
  private final List<EmulatedGateway> gateways = new ArrayList<>();
  private final List<EmulatedClient> clients = new ArrayList<>();
  private final NodeState[] states;
  private final List<RequestRecord> asked = new ArrayList<>();
  private final List<OperatorEvent> operatorRecords = new ArrayList<>();
  private final Map<String, NodeState> lastToldStates = new HashMap<>();
  private final Map<String, EmulationResult.Tally> tallies = new TreeMap<>();
  private final Map<String, EmulationResult.Tally> kinds = new TreeMap<>();
  private final List<EmulationResult.Tally> timeline = new ArrayList<>();
  private boolean nodeListDown;
  private long lastWriteId;

  private Emulation(Scenario scenario, Deployment deployment) {
    this.scenario = scenario;
    this.deployment = deployment;
    volumes = deployment.volumesByName();
    classifier = new RequestClassifier(deployment.classificationRules(), deployment.gateway().unitBytes(),
        deployment.store()
            .maxUnits());
    random = new SplittableRandom(scenario.seed());
    states = new NodeState[scenario.nodes().count()];
    Arrays.fill(states, NodeState.ON);
  }

  /** Plays a scenario.
   *
   * @throws IllegalArgumentException
   *           if its plans or volumes do not make valid settings; the message names the reason */
  public static EmulationResult play(Scenario scenario) {
    Emulation emulation = new Emulation(scenario, deployment(scenario));
    emulation.build();
    emulation.scenario.disturbances().forEach(emulation::scheduleDisturbance);
    return emulation.run();
  }

  /** Settings of the scenario's gateways. */
  private static Deployment deployment(Scenario scenario) {
    try {
      Path dir = Files.createTempDirectory("hollyslip-emulate");
      try {
        Files.writeString(dir.resolve("fleet.star"), ScenarioSettings.nodeListScript(scenario.nodes().count(),
            i -> 1 + i,
            i -> NodeState.ON));
        Path file = Files.writeString(dir.resolve("gateway-0.star"), ScenarioSettings.gatewayScript(scenario,
            0));
        Loader.LoadResult loaded = Loader.load(file);
        if (!loaded.faults().isEmpty()) {
          throw new IllegalArgumentException("invalid settings for the scenario: " + loaded.faults());
        }
        return loaded.deployment();
      } finally {
        try (Stream<Path> files = Files.walk(dir)) {
          for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
            Files.delete(path);
          }
        }
      }
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  private void build() {
    var nodeModel = scenario.nodes();
    for (int i = 0; i < nodeModel.count(); i++) {
      nodes.add(new EmulatedNode(i, events, ServiceModel.timed(nodeModel.cores(), nodeModel.queue(), nodeModel
          .baseUs()), random
              .split(),
          INITIAL_NODE_AGE_US));
    }
    for (int i = 0; i < scenario.gateways(); i++) {
      gateways.add(new EmulatedGateway(this, i, classifier, random.split()));
    }
    // Drawn exactly as in the load generator, so that both submit the same requests at the same times.
    SplittableRandom clientSeeds = new SplittableRandom(scenario.seed());
    for (Scenario.VolumeLoad load : scenario.volumes()) {
      int clientCount = scenario.clientCount(load);
      for (int index = 0; index < clientCount; index++) {
        EmulatedGateway gateway = gateways.get(scenario.gatewayOf(load, index));
        EmulatedClient client = new EmulatedClient(this, gateway, load, index, clientCount, volumes.get(load
            .volume()).bytes(),
            clientSeeds
                .nextLong());
        gateway.add(client);
        clients.add(client);
      }
    }
    gateways.forEach(gateway -> {
      operatorRecords.add(new OperatorEvent.GatewayStart(gateway.name, events.now()));
      gateway.start();
    });
    clients.forEach(EmulatedClient::scheduleNextArrival);
  }

  private EmulationResult run() {
    long end = EventQueue.START_US + (long) (scenario.seconds() * 1e6);
    events.runUntil(end);
    clients.forEach(EmulatedClient::endLoad);
    events.runUntil(end + DRAIN_TIME_US + deployment.classes()
        .stream()
        .mapToLong(RequestClass::deadlineUs)
        .max()
        .orElseThrow());
    clients.forEach(EmulatedClient::recordUnanswered);
    List<CommandRecord> commands = new ArrayList<>();
    nodes.forEach(node -> commands.addAll(node.commandLog()));
    return new EmulationResult(Auditor.check(ScenarioSettings.auditFigures(deployment, 0, 0), asked, commands,
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

  long listDelay(SplittableRandom source) {
    return source.nextLong(MAX_LIST_DELAY_US);
  }

  long nextWriteId() {
    return ++lastWriteId;
  }

  RequestClass requestClass(IoKind kind, long length) {
    String name = classifier.className(kind, length);
    return deployment.classes()
        .stream()
        .filter(candidate -> candidate.name().equals(name))
        .findFirst()
        .orElseThrow();
  }

  /** The node list as the operator sees it. */
  List<NodeEntry> nodeEntries() {
    List<NodeEntry> entries = new ArrayList<>();
    for (int i = 0; i < states.length; i++) {
      entries.add(nodeEntry(i));
    }
    return entries;
  }

  private NodeEntry nodeEntry(int node) {
    return new NodeEntry(node + 1, deployment.nodes().get(node).zone(), node, states[node], 0);
  }

  /** Records the node states that a gateway has been told. */
  void recordNodeStates(EmulatedGateway gateway, List<NodeEntry> entries) {
    for (NodeEntry entry : entries) {
      String key = gateway.name + "/" + entry.node();
      NodeState before = lastToldStates.getOrDefault(key, NodeState.ON);
      if (before != entry.state()) {
        lastToldStates.put(key, entry.state());
        operatorRecords.add(new OperatorEvent.NodeStateChange(gateway.name, nodes.get((int) entry.node()
            - 1).name, entry
                .state(), events
                    .now()));
      }
    }
  }

  void recordRequest(RequestRecord request, String plan, long dueUs, long aimUs) {
    asked.add(request);
    tally(plan).add(request.answer(), request.left(), request.answeredUs() - dueUs, aimUs);
    kinds.computeIfAbsent(plan + (request.kind() == Nbd.CMD_READ ? ".read" : ".write"),
        key -> new EmulationResult.Tally())
        .add(request.answer(), request.left(), request.answeredUs() - dueUs, aimUs);
    int interval = (int) ((dueUs - EventQueue.START_US) / EmulationResult.INTERVAL_US);
    while (timeline.size() <= interval) {
      timeline.add(new EmulationResult.Tally());
    }
    timeline.get(interval).add(request.answer(), request.left(), request.answeredUs() - dueUs, aimUs);
  }

  void recordNeverSubmitted(String plan, long count) {
    tally(plan).neverSubmitted(count);
  }

  private EmulationResult.Tally tally(String plan) {
    return tallies.computeIfAbsent(plan, k -> new EmulationResult.Tally());
  }

  // Disturbances.

  private void schedule(double seconds, Runnable action) {
    events.schedule(EventQueue.START_US + (long) (seconds * 1e6), action);
  }

  private void scheduleDisturbance(Scenario.Disturbance disturbance) {
    double endSeconds = disturbance.at() + disturbance.seconds();
    switch (disturbance.kind()) {
      case "stall" -> scheduleOnNodes(disturbance, node -> node.stallFor((long) (disturbance.seconds()
          * 1e6)), node -> {});
      case "hang" -> scheduleOnNodes(disturbance, node -> node.faults.silent = true,
          node -> node.faults.silent = false);
      case "vanish" -> scheduleOnNodes(disturbance, node -> node.faults.silent = true, this::restart);
      case "mass-restart" -> scheduleOnNodes(disturbance, this::restart, node -> {});
      case "fast-errors" -> scheduleOnNodes(disturbance, node -> node.faults.errorRate = disturbance.size(),
          node -> node.faults.errorRate = 0);
      case "answer-lost" -> scheduleOnNodes(disturbance, node -> node.faults.lostResponseRate = disturbance
          .size(),
          node -> node.faults.lostResponseRate = 0);
      case "late-write" -> scheduleOnNodes(disturbance, node -> node.faults.writeDelayUs = (long) (disturbance
          .size() * 1e6),
          node -> node.faults.writeDelayUs = 0);
      case "slow" -> scheduleOnNodes(disturbance, node -> node.setSlowdown(Math.max(0.01, disturbance
          .size())), node -> node.setSlowdown(1));
      case "full" -> scheduleOnNodes(disturbance, node -> node.faults.full = true,
          node -> node.faults.full = false);
      case "heavy-tail" -> scheduleOnNodes(disturbance, node -> {
        node.faults.slowCommandFactor = disturbance.size();
        node.faults.slowCommandRate = 0.02;
      }, node -> node.faults.slowCommandRate = 0);
      case "drain" -> scheduleOnNodes(disturbance, node -> setNodeState(node, NodeState.DRAINING),
          node -> setNodeState(node,
              NodeState.ON));
      case "preempt" -> scheduleOnNodes(disturbance, node -> {
        setNodeState(node, NodeState.DRAINING);
        events.scheduleAfter((long) (1e6 * disturbance.killDelaySeconds()), node::kill);
      }, node -> {
        restart(node);
        setNodeState(node, NodeState.ON);
      });
      case "partition" -> {
        List<EmulatedGateway> partitioned = gateways.stream()
            .filter(gateway -> random.nextDouble() < disturbance.size())
            .toList();
        scheduleOnNodes(disturbance, node -> partitioned.forEach(gateway -> gateway.partition(node,
            (long) (disturbance.seconds() * 1e6))), node -> {});
      }
      case "burst" -> scheduleLoadFactor(disturbance, client -> true);
      case "plan-burst" -> scheduleLoadFactor(disturbance, client -> client.load.plan()
          .equals(disturbance.target()));
      case "volume-burst" -> scheduleLoadFactor(disturbance, client -> client.load.volume()
          .equals(disturbance.target()));
      case "hot-volumes", "scan" -> {
        List<EmulatedClient> selected = clients.stream()
            .filter(client -> random.nextDouble() < disturbance.fraction())
            .toList();
        scheduleLoadFactor(disturbance, selected::contains);
        boolean scan = disturbance.kind().equals("scan");
        schedule(disturbance.at(), () -> selected.forEach(client -> client.readsOnly(scan)));
        schedule(endSeconds, () -> selected.forEach(client -> client.readsOnly(false)));
      }
      case "retry-abuse" -> {
        schedule(disturbance.at(), () -> targetClients(disturbance).forEach(client -> client.retryImmediately(
            true)));
        schedule(endSeconds, () -> targetClients(disturbance).forEach(client -> client.retryImmediately(
            false)));
      }
      case "reconnect" -> schedule(disturbance.at(), () -> clients.stream()
          .filter(client -> random.nextDouble() < disturbance.fraction())
          .forEach(EmulatedClient::reconnect));
      case "client-vanish" -> schedule(disturbance.at(), () -> targetClients(disturbance).stream()
          .limit(1)
          .forEach(EmulatedClient::reconnect));
      case "list-down" -> {
        schedule(disturbance.at(), () -> nodeListDown = true);
        schedule(endSeconds, () -> {
          nodeListDown = false;
          publishNodeList();
        });
      }
      case "gateway-crash" -> scheduleCrash(gateways.get(random.nextInt(gateways.size())), disturbance);
      default -> throw new IllegalStateException(disturbance.kind());
    }
  }

  private void scheduleCrash(EmulatedGateway gateway, Scenario.Disturbance disturbance) {
    schedule(disturbance.at(), () -> {
      if (gateway.isAlive()) {
        gateway.kill();
      }
    });
    schedule(disturbance.at() + disturbance.seconds(), () -> {
      if (!gateway.isAlive()) {
        operatorRecords.add(new OperatorEvent.GatewayStart(gateway.name, events.now()));
        gateway.start();
      }
    });
  }

  private void scheduleOnNodes(Scenario.Disturbance disturbance, Consumer<EmulatedNode> begin,
      Consumer<EmulatedNode> end) {
    for (EmulatedNode node : affectedNodes(disturbance)) {
      schedule(disturbance.at(), () -> begin.accept(node));
      schedule(disturbance.at() + disturbance.seconds(), () -> end.accept(node));
    }
  }

  private List<EmulatedNode> affectedNodes(Scenario.Disturbance disturbance) {
    if (!disturbance.target().isEmpty()) {
      return nodes.stream().filter(node -> node.name.equals(disturbance.target())).toList();
    }
    List<EmulatedNode> remaining = new ArrayList<>(nodes);
    List<EmulatedNode> chosen = new ArrayList<>();
    for (long n = Math.max(1, Math.round(disturbance.fraction() * nodes.size())); n > 0 && !remaining
        .isEmpty(); n--) {
      chosen.add(remaining.remove(random.nextInt(remaining.size())));
    }
    return chosen;
  }

  private List<EmulatedClient> targetClients(Scenario.Disturbance disturbance) {
    return clients.stream()
        .filter(client -> client.load.volume().equals(disturbance.target()) || client.load.plan()
            .equals(disturbance.target()))
        .toList();
  }

  private void scheduleLoadFactor(Scenario.Disturbance disturbance, Predicate<EmulatedClient> filter) {
    schedule(disturbance.at(), () -> clients.stream()
        .filter(filter)
        .forEach(client -> client.rateFactor(disturbance.size())));
    schedule(disturbance.at() + disturbance.seconds(), () -> clients.stream()
        .filter(filter)
        .forEach(client -> client.rateFactor(1)));
  }

  private void restart(EmulatedNode node) {
    node.faults.clear();
    node.start();
    operatorRecords.add(new OperatorEvent.NodeStart(node.name, events.now()));
  }

  private void setNodeState(EmulatedNode node, NodeState state) {
    states[node.index] = state;
    if (!nodeListDown) {
      NodeEntry entry = nodeEntry(node.index);
      gateways.stream()
          .filter(EmulatedGateway::isAlive)
          .forEach(gateway -> events.scheduleAfter(listDelay(random), () -> {
            if (gateway.isAlive() && states[node.index] == state) {
              gateway.updateNodeState(entry);
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
