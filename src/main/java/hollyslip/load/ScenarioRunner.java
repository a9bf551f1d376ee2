package hollyslip.load;

import hollyslip.HostScheduler.NodeState;
import hollyslip.audit.RequestRecord;
import hollyslip.audit.Auditor;
import hollyslip.audit.AuditParameters;
import hollyslip.audit.OperatorEvent;
import hollyslip.audit.RunRecords;
import hollyslip.engine.Engine;
import hollyslip.settings.Deployment;
import hollyslip.settings.Loader;
import hollyslip.standin.CommandRecord;
import hollyslip.standin.StandInDiskServer;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;

/** Plays a {@link Scenario} in real time with stand-ins in this process, gateways in separate processes and
 * ring clients on threads, and then audits the records of both ends. The schedule depends on the seed
 * only. */
public final class ScenarioRunner {
  /** Delay after which a node state sent to a gateway counts as known there, us; covers the delivery of the
   * signal. */
  private static final long SIGNAL_DELAY_US = 200_000;

  private final Scenario scenario;
  private final Path dir;
  private final PrintStream out;
  private final long slackUs;
  private final SplittableRandom random;
  private final LocalCluster cluster;
  private final List<StandInDiskServer> disks;
  private final NodeState[] states, lastToldStates;
  private final List<GatewayProcess> gateways;
  private final List<Deployment> deployments;
  private final List<Client> clients = new ArrayList<>();
  private final List<OperatorEvent> operatorRecords = new ArrayList<>();
  private final PriorityQueue<Step> steps = new PriorityQueue<>();
  private boolean nodeListDown;
  private int nextStepOrder;

  private record Step(double atSeconds, int order, String description, Action action)
      implements
        Comparable<Step> {
    @Override
    public int compareTo(Step other) {
      return atSeconds != other.atSeconds
          ? Double.compare(atSeconds, other.atSeconds)
          : Integer.compare(order, other.order);
    }
  }

  private interface Action {
    void run() throws IOException, InterruptedException;
  }

  private record Client(RingLoad load, Thread thread, Scenario.VolumeLoad volume, int gateway) {}

  /** Result of playing a scenario. */
  public record Result(Auditor.Report audit, List<String> wrongReads, Map<RequestRecord.Answer, Long> answers,
      Map<String, Histogram> latency, boolean stoppedCleanly) {
    public boolean isClean() {
      return audit.kept() && wrongReads.isEmpty() && stoppedCleanly;
    }
  }

  /** @param slackUs
   *          tolerance added to the promised answer time, us: the gateway's clock of a request starts when it
   *          takes the request, the client's when it publishes it */
  public ScenarioRunner(Scenario scenario, Path dir, PrintStream out, long slackUs) {
    scenario.checkPlayableOverSockets();
    this.slackUs = slackUs;
    this.scenario = scenario;
    this.dir = dir;
    this.out = out;
    cluster = new LocalCluster(scenario, dir);
    disks = cluster.disks;
    gateways = cluster.gateways;
    deployments = cluster.deployments;
    random = new SplittableRandom(scenario.seed());
    states = new NodeState[scenario.nodes().count()];
    Arrays.fill(states, NodeState.ON);
    lastToldStates = states.clone();
  }

  /** Plays and audits the scenario. The records stay in the directory. */
  public Result play() throws IOException, InterruptedException {
    Files.createDirectories(dir);
    try {
      start();
      long startNs = System.nanoTime();
      scheduleSteps();
      while (!steps.isEmpty()) {
        Step step = steps.poll();
        double delaySeconds = step.atSeconds - (System.nanoTime() - startNs) / 1e9;
        if (delaySeconds > 0) {
          Thread.sleep((long) (delaySeconds * 1_000));
        }
        if (!step.description.isEmpty()) {
          out.printf(Locale.ROOT, "%6.1f s  %s%n", step.atSeconds, step.description);
        }
        step.action.run();
      }
      return finish();
    } finally {
      cluster.close();
    }
  }

  private void start() throws IOException {
    cluster.start();
    for (Deployment deployment : deployments) {
      operatorRecords.add(new OperatorEvent.GatewayStart(deployment.gateway().name(), Engine
          .monotonicMicros()));
    }
    for (Scenario.VolumeLoad volume : scenario.volumes()) {
      for (int client = 0; client < scenario.clientCount(volume); client++) {
        startClient(volume, client);
      }
    }
  }

  private void startClient(Scenario.VolumeLoad volume, int index) throws IOException {
    int clientCount = scenario.clientCount(volume);
    int gateway = scenario.gatewayOf(volume, index);
    Deployment deployment = deployments.get(gateway);
    long partBytes = deployment.volumesByName().get(volume.volume()).bytes() / clientCount / 4096 * 4096;
    long deadlineUs = deployment.classes().stream().mapToLong(c -> c.deadlineUs()).max().orElseThrow();
    RingLoad load = new RingLoad(new RingLoad.Config(volume.volume() + "-" + index, deployment.gateway()
        .name(),
        volume.volume(),
        index * partBytes, partBytes, 0, volume.depth(), (long) (1e6 * clientCount / volume.rate()), volume
            .readFraction(), volume.maxBlocks(),
        deadlineUs,
        deployment.gateway().unitBytes(), scenario.seed() * 1_000 + clients.size()), deployment.gateway()
            .socketDir()
            .resolve(volume.volume() + ".sock"));
    Thread thread = new Thread(load, "client-" + volume.volume() + "-" + index);
    clients.add(new Client(load, thread, volume, gateway));
    thread.start();
  }

  // Disturbances.

  private void scheduleStep(double atSeconds, String description, Action action) {
    steps.add(new Step(atSeconds, nextStepOrder++, description, action));
  }

  private void scheduleSteps() {
    for (Scenario.Disturbance disturbance : scenario.disturbances()) {
      scheduleDisturbance(disturbance);
    }
    for (double atSeconds = 10; atSeconds < scenario.seconds(); atSeconds += 10) {
      double now = atSeconds;
      scheduleStep(now, "", () -> out.printf(Locale.ROOT, "%6.1f s  %d requests submitted%n", now, clients
          .stream()
          .mapToInt(c -> c.load().requestCount())
          .sum()));
    }
    scheduleStep(scenario.seconds(), "load ends", () -> clients.forEach(c -> c.load().finish()));
  }

  private void scheduleDisturbance(Scenario.Disturbance disturbance) {
    double endSeconds = disturbance.at() + disturbance.seconds();
    switch (disturbance.kind()) {
      case "stall" -> scheduleOnNodes(disturbance, d -> d.stall((long) (disturbance.seconds() * 1e6)), null);
      case "hang" -> scheduleOnNodes(disturbance, d -> d.faults.silent = true, d -> d.faults.silent = false);
      case "vanish" -> scheduleOnNodes(disturbance, d -> d.faults.silent = true, this::restart);
      case "mass-restart" -> scheduleOnNodes(disturbance, this::restart, null);
      case "fast-errors" -> scheduleOnNodes(disturbance, d -> d.faults.errorRate = disturbance.size(),
          d -> d.faults.errorRate = 0);
      case "answer-lost" -> scheduleOnNodes(disturbance, d -> d.faults.lostResponseRate = disturbance.size(),
          d -> d.faults.lostResponseRate = 0);
      case "late-write" -> scheduleOnNodes(disturbance, d -> d.faults.writeDelayUs = (long) (disturbance
          .size()
          * 1e6),
          d -> d.faults.writeDelayUs = 0);
      case "slow" -> scheduleOnNodes(disturbance, d -> d.slow(disturbance.size()), d -> d.slow(1));
      case "full" -> scheduleOnNodes(disturbance, d -> d.faults.full = true, d -> d.faults.full = false);
      case "heavy-tail" -> scheduleOnNodes(disturbance, d -> {
        d.faults.slowCommandFactor = disturbance.size();
        d.faults.slowCommandRate = 0.02;
      }, d -> d.faults.slowCommandRate = 0);
      case "drain" -> scheduleOnNodes(disturbance, d -> setNodeState(d, NodeState.DRAINING), disturbance
          .seconds() > 0
              ? d -> setNodeState(d, NodeState.ON)
              : null);
      case "preempt" -> {
        for (StandInDiskServer d : affectedNodes(disturbance)) {
          scheduleStep(disturbance.at(), "preempt: " + d.name() + " drains", () -> setNodeState(d,
              NodeState.DRAINING));
          scheduleStep(disturbance.at() + disturbance.killDelaySeconds(), "preempt: " + d.name()
              + " is killed", d::kill);
          scheduleStep(endSeconds, "preempt: " + d.name() + " restarts cold", () -> {
            restart(d);
            setNodeState(d, NodeState.ON);
          });
        }
      }
      case "burst" -> scheduleLoadFactor(disturbance, c -> true);
      case "plan-burst" -> scheduleLoadFactor(disturbance, c -> c.volume()
          .plan()
          .equals(disturbance.target()));
      case "volume-burst" -> scheduleLoadFactor(disturbance, c -> c.volume()
          .volume()
          .equals(disturbance.target()));
      case "hot-volumes", "scan" -> {
        List<Client> selected = clients.stream()
            .filter(c -> random.nextDouble() < disturbance.fraction())
            .toList();
        scheduleLoadFactor(disturbance, selected::contains);
        if (disturbance.kind().equals("scan")) {
          scheduleStep(disturbance.at(), "", () -> selected.forEach(c -> c.load().readsOnly(true)));
          scheduleStep(endSeconds, "", () -> selected.forEach(c -> c.load().readsOnly(false)));
        }
      }
      case "retry-abuse" -> {
        scheduleStep(disturbance.at(), "clients of " + disturbance.target() + " retry without backoff",
            () -> targetClients(disturbance)
                .forEach(c -> c.load()
                    .retryImmediately(true)));
        scheduleStep(endSeconds, "", () -> targetClients(disturbance).forEach(c -> c.load()
            .retryImmediately(false)));
      }
      case "reconnect" -> scheduleStep(disturbance.at(), "clients reconnect", () -> clients.stream()
          .filter(c -> random.nextDouble() < disturbance.fraction())
          .forEach(c -> c.load().reconnect()));
      case "client-vanish" -> scheduleStep(disturbance.at(), "a client vanishes", () -> startVanishingClient(
          disturbance
              .target()));
      case "list-down" -> {
        scheduleStep(disturbance.at(), "the node list becomes unavailable", () -> nodeListDown = true);
        scheduleStep(endSeconds, "the node list is available again", () -> {
          nodeListDown = false;
          publishNodeList();
        });
      }
      case "gateway-crash" -> {
        int gateway = random.nextInt(scenario.gateways());
        scheduleStep(disturbance.at(), "gateway " + gateway + " is killed", () -> gateways.get(gateway)
            .kill());
        scheduleStep(endSeconds, "gateway " + gateway + " is restarted", () -> {
          operatorRecords.add(new OperatorEvent.GatewayStart(deployments.get(gateway).gateway().name(), Engine
              .monotonicMicros()));
          gateways.set(gateway, cluster.startGateway(gateway));
        });
      }
      default -> throw new IllegalStateException(disturbance.kind());
    }
  }

  private interface NodeAction {
    void run(StandInDiskServer node) throws IOException;
  }

  private void scheduleOnNodes(Scenario.Disturbance disturbance, NodeAction begin, NodeAction end) {
    for (StandInDiskServer node : affectedNodes(disturbance)) {
      scheduleStep(disturbance.at(), disturbance.kind() + ": " + node.name(), () -> begin.run(node));
      if (end != null) {
        scheduleStep(disturbance.at() + disturbance.seconds(), disturbance.kind() + " over: " + node.name(),
            () -> end.run(node));
      }
    }
  }

  private List<StandInDiskServer> affectedNodes(Scenario.Disturbance disturbance) {
    if (!disturbance.target().isEmpty()) {
      return disks.stream().filter(d -> d.name().equals(disturbance.target())).toList();
    }
    List<StandInDiskServer> remaining = new ArrayList<>(disks);
    List<StandInDiskServer> chosen = new ArrayList<>();
    for (long n = Math.max(1, Math.round(disturbance.fraction() * disks.size())); n > 0; n--) {
      chosen.add(remaining.remove(random.nextInt(remaining.size())));
    }
    return chosen;
  }

  private List<Client> targetClients(Scenario.Disturbance disturbance) {
    return clients.stream()
        .filter(c -> c.volume().volume().equals(disturbance.target()) || c.volume()
            .plan()
            .equals(disturbance.target()))
        .toList();
  }

  private void scheduleLoadFactor(Scenario.Disturbance disturbance,
      java.util.function.Predicate<Client> filter) {
    scheduleStep(disturbance.at(), disturbance.kind() + " " + disturbance.target() + ": " + disturbance.size()
        + " times the load", () -> clients
            .stream()
            .filter(filter)
            .forEach(c -> c.load().rateFactor(disturbance.size())));
    scheduleStep(disturbance.at() + disturbance.seconds(), disturbance.kind() + " over", () -> clients
        .stream()
        .filter(filter)
        .forEach(c -> c.load().rateFactor(1)));
  }

  private void restart(StandInDiskServer node) throws IOException {
    node.faults.clear();
    operatorRecords.add(new OperatorEvent.NodeStart(node.name(), Engine.monotonicMicros()));
    node.restart();
  }

  private void setNodeState(StandInDiskServer node, NodeState state) throws IOException {
    states[disks.indexOf(node)] = state;
    publishNodeList();
  }

  private void publishNodeList() throws IOException {
    cluster.writeNodeList(states);
    if (nodeListDown) {
      return;
    }
    // For the audit, a drain counts only once the gateway must have been told of it, its end counts at
    // once.
    long now = Engine.monotonicMicros();
    for (int g = 0; g < gateways.size(); g++) {
      if (gateways.get(g).isAlive()) {
        gateways.get(g).reload();
      }
      for (int i = 0; i < states.length; i++) {
        // An unchanged state is not recorded again: a later record of a drain would count as newer than
        // the one of its end.
        if (states[i] == lastToldStates[i]) {
          continue;
        }
        operatorRecords.add(new OperatorEvent.NodeStateChange(deployments.get(g).gateway().name(), disks.get(
            i).name(),
            states[i],
            states[i] == NodeState.ON ? now : now + SIGNAL_DELAY_US));
      }
    }
    System.arraycopy(states, 0, lastToldStates, 0, states.length);
  }

  /** Starts an additional client that submits requests and disconnects while all are outstanding. */
  private void startVanishingClient(String volume) throws IOException {
    Scenario.VolumeLoad volumeLoad = scenario.volumes()
        .stream()
        .filter(l -> l.volume().equals(volume))
        .findFirst()
        .orElse(scenario.volumes().get(0));
    Deployment deployment = deployments.get(0);
    // Reads only, because another client owns this part of the volume.
    RingLoad ringLoad = new RingLoad(new RingLoad.Config("leaver", deployment.gateway().name(), volumeLoad
        .volume(), 0, 1 << 20, 40,
        32, 0, 1, 4, 2_000_000, deployment.gateway().unitBytes(), scenario.seed() + 5), deployment.gateway()
            .socketDir()
            .resolve(volumeLoad.volume() + ".sock"));
    Thread thread = new Thread(() -> {
      try {
        ringLoad.runThenVanish();
      } catch (IOException e) {
        out.println("          the vanishing client could not connect: " + e.getMessage());
      }
    }, "leaver");
    clients.add(new Client(ringLoad, thread, volumeLoad, 0));
    thread.start();
  }

  // Shutdown and audit.

  private Result finish() throws IOException, InterruptedException {
    for (Client client : clients) {
      client.thread().join(120_000);
    }
    boolean stoppedCleanly = true;
    for (GatewayProcess gateway : gateways) {
      stoppedCleanly &= gateway.stop() == 0;
    }
    List<RequestRecord> asked = clients.stream().flatMap(client -> client.load().records().stream()).toList();
    List<CommandRecord> commands = disks.stream().flatMap(d -> d.commands().stream()).toList();
    AuditParameters figures = ScenarioSettings.auditFigures(deployments.get(0), slackUs, 50_000);
    RunRecords.writeParameters(dir, figures);
    RunRecords.writeRequests(dir, "clients", asked);
    RunRecords.writeCommands(dir, "nodes", commands);
    RunRecords.writeOperatorEvents(dir, "operator", operatorRecords);
    Map<RequestRecord.Answer, Long> answers = new java.util.EnumMap<>(RequestRecord.Answer.class);
    asked.forEach(request -> answers.merge(request.answer(), 1L, Long::sum));
    Map<String, Histogram> latency = new java.util.TreeMap<>();
    for (RequestRecord request : asked) {
      if (request.answer() == RequestRecord.Answer.SERVED) {
        String key = planOf(request.volume()) + (request.kind() == 0 ? " read" : " write");
        latency.computeIfAbsent(key, k -> new Histogram(600_000_000L, 3))
            .recordValue(request.answeredUs() - request.askedUs());
      }
    }
    // The vanishing client reads blocks of another client, which its own block stamps do not cover.
    List<String> wrongReads = clients.stream()
        .filter(client -> !client.thread().getName().equals("leaver"))
        .flatMap(client -> client.load().wrongReads().stream())
        .toList();
    return new Result(Auditor.check(figures, asked, commands, operatorRecords), wrongReads, answers, latency,
        stoppedCleanly);
  }

  private String planOf(String volume) {
    return deployments.get(0).volumesByName().get(volume).plan();
  }
}
