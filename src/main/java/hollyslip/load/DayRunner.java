package hollyslip.load;

import hollyslip.HostScheduler.NodeState;
import hollyslip.audit.Asked;
import hollyslip.audit.Auditor;
import hollyslip.audit.Figures;
import hollyslip.audit.Told;
import hollyslip.audit.Witness;
import hollyslip.engine.Engine;
import hollyslip.settings.Deployment;
import hollyslip.settings.Loader;
import hollyslip.standin.Command;
import hollyslip.standin.DiskServer;
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

/** Plays a {@link Day} in real time with stand-ins in this process, gateways in separate processes and ring
 * clients on threads, and then audits the records of both ends. The schedule depends on the seed only. */
public final class DayRunner {
  /** Delay after which a node state sent to a gateway counts as known there, us; covers the delivery of the
   * signal. */
  private static final long SIGNAL_DELAY_US = 200_000;

  private final Day day;
  private final Path dir;
  private final PrintStream out;
  private final long slackUs;
  private final SplittableRandom random;
  private final Stage cluster;
  private final List<DiskServer> disks;
  private final NodeState[] states, lastToldStates;
  private final List<Child> gateways;
  private final List<Deployment> deployments;
  private final List<Client> clients = new ArrayList<>();
  private final List<Told> operatorRecords = new ArrayList<>();
  private final PriorityQueue<Step> steps = new PriorityQueue<>();
  private boolean nodeListDown;
  private int nextStepOrder;

  private record Step(double atSeconds, int order, String description, Action action)
      implements
        Comparable<Step> {
    @Override
    public int compareTo(Step o) {
      return atSeconds != o.atSeconds
          ? Double.compare(atSeconds, o.atSeconds)
          : Integer.compare(order, o.order);
    }
  }

  private interface Action {
    void run() throws IOException, InterruptedException;
  }

  private record Client(RingLoad load, Thread thread, Day.VolumeLoad volume, int gateway) {}

  /** Result of playing a scenario. */
  public record Result(Auditor.Report audit, List<String> wrongReads, Map<Asked.Answer, Long> answers,
      Map<String, Histogram> latency, boolean stoppedCleanly) {
    public boolean kept() {
      return audit.kept() && wrongReads.isEmpty() && stoppedCleanly;
    }
  }

  /** @param slackUs
   *          tolerance added to the promised answer time, us: the gateway's clock of a request starts when it
   *          takes the request, the client's when it publishes it */
  public DayRunner(Day day, Path dir, PrintStream out, long slackUs) {
    day.checkPlayableOverSockets();
    this.slackUs = slackUs;
    this.day = day;
    this.dir = dir;
    this.out = out;
    cluster = new Stage(day, dir);
    disks = cluster.disks;
    gateways = cluster.gateways;
    deployments = cluster.deployments;
    random = new SplittableRandom(day.seed());
    states = new NodeState[day.nodes().count()];
    Arrays.fill(states, NodeState.ON);
    lastToldStates = states.clone();
  }

  /** Plays and audits the scenario. The records stay in the directory. */
  public Result play() throws IOException, InterruptedException {
    Files.createDirectories(dir);
    try {
      start();
      long from = System.nanoTime();
      scheduleSteps();
      while (!steps.isEmpty()) {
        Step s = steps.poll();
        double wait = s.atSeconds - (System.nanoTime() - from) / 1e9;
        if (wait > 0) {
          Thread.sleep((long) (wait * 1_000));
        }
        if (!s.description.isEmpty()) {
          out.printf(Locale.ROOT, "%6.1f s  %s%n", s.atSeconds, s.description);
        }
        s.action.run();
      }
      return finish();
    } finally {
      cluster.close();
    }
  }

  private void start() throws IOException {
    cluster.start();
    for (Deployment d : deployments) {
      operatorRecords.add(new Told.Started(d.gateway().name(), Engine.monotonicMicros()));
    }
    for (Day.VolumeLoad v : day.volumes()) {
      for (int c = 0; c < day.clientCount(v); c++) {
        startClient(v, c);
      }
    }
  }

  private void startClient(Day.VolumeLoad v, int number) throws IOException {
    int all = day.clientCount(v);
    int g = day.gatewayOf(v, number);
    Deployment d = deployments.get(g);
    long part = d.byName().get(v.volume()).bytes() / all / 4096 * 4096;
    long deadline = d.classes().stream().mapToLong(c -> c.deadlineUs()).max().orElseThrow();
    RingLoad load = new RingLoad(new RingLoad.Plan(v.volume() + "-" + number, d.gateway().name(), v.volume(),
        number * part, part, 0, v.depth(), (long) (1e6 * all / v.rate()), v.readFraction(), v.maxBlocks(),
        deadline,
        d.gateway().unitBytes(), day.seed() * 1_000 + clients.size()), d.gateway()
            .socketDir()
            .resolve(v.volume() + ".sock"));
    Thread t = new Thread(load, "client-" + v.volume() + "-" + number);
    clients.add(new Client(load, t, v, g));
    t.start();
  }

  // Disturbances.

  private void scheduleStep(double seconds, String what, Action action) {
    steps.add(new Step(seconds, nextStepOrder++, what, action));
  }

  private void scheduleSteps() {
    for (Day.Disturbance t : day.troubles()) {
      scheduleDisturbance(t);
    }
    for (double s = 10; s < day.seconds(); s += 10) {
      double now = s;
      scheduleStep(now, "", () -> out.printf(Locale.ROOT, "%6.1f s  %d requests asked%n", now, clients
          .stream()
          .mapToInt(c -> c.load().asked())
          .sum()));
    }
    scheduleStep(day.seconds(), "load ends", () -> clients.forEach(c -> c.load().finish()));
  }

  private void scheduleDisturbance(Day.Disturbance t) {
    double end = t.at() + t.seconds();
    switch (t.kind()) {
      case "stall" -> scheduleOnNodes(t, d -> d.stall((long) (t.seconds() * 1e6)), null);
      case "hang" -> scheduleOnNodes(t, d -> d.faults.silent = true, d -> d.faults.silent = false);
      case "vanish" -> scheduleOnNodes(t, d -> d.faults.silent = true, this::restart);
      case "mass-restart" -> scheduleOnNodes(t, this::restart, null);
      case "fast-errors" -> scheduleOnNodes(t, d -> d.faults.errors = t.size(), d -> d.faults.errors = 0);
      case "answer-lost" -> scheduleOnNodes(t, d -> d.faults.loseAnswers = t.size(),
          d -> d.faults.loseAnswers = 0);
      case "late-write" -> scheduleOnNodes(t, d -> d.faults.lateWriteUs = (long) (t.size() * 1e6),
          d -> d.faults.lateWriteUs = 0);
      case "slow" -> scheduleOnNodes(t, d -> d.slow(t.size()), d -> d.slow(1));
      case "full" -> scheduleOnNodes(t, d -> d.faults.full = true, d -> d.faults.full = false);
      case "heavy-tail" -> scheduleOnNodes(t, d -> {
        d.faults.heavyFactor = t.size();
        d.faults.heavyPart = 0.02;
      }, d -> d.faults.heavyPart = 0);
      case "drain" -> scheduleOnNodes(t, d -> setNodeState(d, NodeState.DRAINING), t.seconds() > 0
          ? d -> setNodeState(d, NodeState.ON)
          : null);
      case "preempt" -> {
        for (DiskServer d : affectedNodes(t)) {
          scheduleStep(t.at(), "preempt: " + d.name() + " drains", () -> setNodeState(d, NodeState.DRAINING));
          scheduleStep(t.at() + t.killDelaySeconds(), "preempt: " + d.name() + " dies", d::kill);
          scheduleStep(end, "preempt: " + d.name() + " is back, cold", () -> {
            restart(d);
            setNodeState(d, NodeState.ON);
          });
        }
      }
      case "burst" -> scheduleLoadFactor(t, c -> true);
      case "plan-burst" -> scheduleLoadFactor(t, c -> c.volume().plan().equals(t.target()));
      case "volume-burst" -> scheduleLoadFactor(t, c -> c.volume().volume().equals(t.target()));
      case "hot-volumes", "scan" -> {
        List<Client> hot = clients.stream().filter(c -> random.nextDouble() < t.fraction()).toList();
        scheduleLoadFactor(t, hot::contains);
        if (t.kind().equals("scan")) {
          scheduleStep(t.at(), "", () -> hot.forEach(c -> c.load().readsOnly(true)));
          scheduleStep(end, "", () -> hot.forEach(c -> c.load().readsOnly(false)));
        }
      }
      case "retry-abuse" -> {
        scheduleStep(t.at(), "clients of " + t.target() + " ask again at once", () -> targetClients(t)
            .forEach(c -> c.load()
                .retryImmediately(true)));
        scheduleStep(end, "", () -> targetClients(t).forEach(c -> c.load().retryImmediately(false)));
      }
      case "reconnect" -> scheduleStep(t.at(), "clients drop and come again", () -> clients.stream()
          .filter(c -> random.nextDouble() < t.fraction())
          .forEach(c -> c.load().reconnect()));
      case "client-vanish" -> scheduleStep(t.at(), "a client vanishes", () -> startVanishingClient(t
          .target()));
      case "list-down" -> {
        scheduleStep(t.at(), "the node list is out of reach", () -> nodeListDown = true);
        scheduleStep(end, "the node list is back", () -> {
          nodeListDown = false;
          publishNodeList();
        });
      }
      case "gateway-crash" -> {
        int g = random.nextInt(day.gateways());
        scheduleStep(t.at(), "gateway " + g + " is killed", () -> gateways.get(g).kill());
        scheduleStep(end, "gateway " + g + " is started again", () -> {
          operatorRecords.add(new Told.Started(deployments.get(g).gateway().name(), Engine
              .monotonicMicros()));
          gateways.set(g, cluster.startGateway(g));
        });
      }
      default -> throw new IllegalStateException(t.kind());
    }
  }

  private interface NodeAction {
    void run(DiskServer d) throws IOException;
  }

  private void scheduleOnNodes(Day.Disturbance t, NodeAction begin, NodeAction end) {
    for (DiskServer d : affectedNodes(t)) {
      scheduleStep(t.at(), t.kind() + ": " + d.name(), () -> begin.run(d));
      if (end != null) {
        scheduleStep(t.at() + t.seconds(), t.kind() + " over: " + d.name(), () -> end.run(d));
      }
    }
  }

  private List<DiskServer> affectedNodes(Day.Disturbance t) {
    if (!t.target().isEmpty()) {
      return disks.stream().filter(d -> d.name().equals(t.target())).toList();
    }
    List<DiskServer> left = new ArrayList<>(disks);
    List<DiskServer> chosen = new ArrayList<>();
    for (long n = Math.max(1, Math.round(t.fraction() * disks.size())); n > 0; n--) {
      chosen.add(left.remove(random.nextInt(left.size())));
    }
    return chosen;
  }

  private List<Client> targetClients(Day.Disturbance t) {
    return clients.stream()
        .filter(c -> c.volume().volume().equals(t.target()) || c.volume().plan().equals(t.target()))
        .toList();
  }

  private void scheduleLoadFactor(Day.Disturbance t, java.util.function.Predicate<Client> which) {
    scheduleStep(t.at(), t.kind() + " " + t.target() + ": " + t.size() + " times the load", () -> clients
        .stream()
        .filter(which)
        .forEach(c -> c.load().rateFactor(t.size())));
    scheduleStep(t.at() + t.seconds(), t.kind() + " over", () -> clients.stream()
        .filter(which)
        .forEach(c -> c.load().rateFactor(1)));
  }

  private void restart(DiskServer d) throws IOException {
    d.faults.clear();
    operatorRecords.add(new Told.Born(d.name(), Engine.monotonicMicros()));
    d.restart();
  }

  private void setNodeState(DiskServer d, NodeState state) throws IOException {
    states[disks.indexOf(d)] = state;
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
        operatorRecords.add(new Told.State(deployments.get(g).gateway().name(), disks.get(i).name(),
            states[i],
            states[i] == NodeState.ON ? now : now + SIGNAL_DELAY_US));
      }
    }
    System.arraycopy(states, 0, lastToldStates, 0, states.length);
  }

  /** Starts an additional client that submits requests and disconnects while all are outstanding. */
  private void startVanishingClient(String volume) throws IOException {
    Day.VolumeLoad v = day.volumes()
        .stream()
        .filter(l -> l.volume().equals(volume))
        .findFirst()
        .orElse(day.volumes().get(0));
    Deployment d = deployments.get(0);
    // Reads only, because another client owns this part of the volume.
    RingLoad load = new RingLoad(new RingLoad.Plan("leaver", d.gateway().name(), v.volume(), 0, 1 << 20, 40,
        32, 0, 1, 4, 2_000_000, d.gateway().unitBytes(), day.seed() + 5), d.gateway()
            .socketDir()
            .resolve(v.volume() + ".sock"));
    Thread t = new Thread(() -> {
      try {
        load.runThenVanish();
      } catch (IOException e) {
        out.println("          the vanishing client found no gateway: " + e.getMessage());
      }
    }, "leaver");
    clients.add(new Client(load, t, v, 0));
    t.start();
  }

  // Shutdown and audit.

  private Result finish() throws IOException, InterruptedException {
    for (Client c : clients) {
      c.thread().join(120_000);
    }
    boolean clean = true;
    for (Child c : gateways) {
      clean &= c.stop() == 0;
    }
    List<Asked> asked = clients.stream().flatMap(c -> c.load().records().stream()).toList();
    List<Command> commands = disks.stream().flatMap(d -> d.commands().stream()).toList();
    Figures figures = ScenarioSettings.auditFigures(deployments.get(0), slackUs, 50_000);
    Witness.figures(dir, figures);
    Witness.asked(dir, "clients", asked);
    Witness.commands(dir, "nodes", commands);
    Witness.told(dir, "operator", operatorRecords);
    Map<Asked.Answer, Long> answers = new java.util.EnumMap<>(Asked.Answer.class);
    asked.forEach(a -> answers.merge(a.answer(), 1L, Long::sum));
    Map<String, Histogram> latency = new java.util.TreeMap<>();
    for (Asked a : asked) {
      if (a.answer() == Asked.Answer.SERVED) {
        String key = planOf(a.volume()) + (a.kind() == 0 ? " read" : " write");
        latency.computeIfAbsent(key, k -> new Histogram(600_000_000L, 3))
            .recordValue(a.answeredUs() - a.askedUs());
      }
    }
    // The vanishing client reads blocks of another client, which its own block stamps do not cover.
    List<String> wrong = clients.stream()
        .filter(c -> !c.thread().getName().equals("leaver"))
        .flatMap(c -> c.load().wrong().stream())
        .toList();
    return new Result(Auditor.check(figures, asked, commands, operatorRecords), wrong, answers, latency,
        clean);
  }

  private String planOf(String volume) {
    return deployments.get(0).byName().get(volume).plan();
  }
}
