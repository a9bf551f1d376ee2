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

/** Plays a {@link Day} in real time: stand-ins in this process, gateways in processes of their own, ring
 * clients on threads; then audits what both ends have written down. The schedule depends on the seed
 * alone. */
public final class DayRunner {
  /** How long after its word reached a gateway a change of the list counts as told, us: the signal's way. */
  private static final long SIGNAL_US = 200_000;

  private final Day day;
  private final Path dir;
  private final PrintStream out;
  private final long slackUs;
  private final SplittableRandom random;
  private final Stage stage;
  private final List<DiskServer> disks;
  private final NodeState[] states, lastTold;
  private final List<Child> gateways;
  private final List<Deployment> deployments;
  private final List<Client> clients = new ArrayList<>();
  private final List<Told> told = new ArrayList<>();
  private final PriorityQueue<Step> steps = new PriorityQueue<>();
  private boolean listDown;
  private int order;

  private record Step(double at, int order, String what, Action action) implements Comparable<Step> {
    @Override
    public int compareTo(Step o) {
      return at != o.at ? Double.compare(at, o.at) : Integer.compare(order, o.order);
    }
  }

  private interface Action {
    void run() throws IOException, InterruptedException;
  }

  private record Client(RingLoad load, Thread thread, Day.Load volume, int gateway) {}

  /** What came of a day. */
  public record Result(Auditor.Report audit, List<String> wrongReads, Map<Asked.Answer, Long> answers,
      Map<String, Histogram> latency, boolean stoppedCleanly) {
    public boolean kept() {
      return audit.kept() && wrongReads.isEmpty() && stoppedCleanly;
    }
  }

  /** @param slackUs
   *          how much later than a deployment promises an answer may reach its client: the two ends' clocks
   *          of one request begin at its publishing and its taking */
  public DayRunner(Day day, Path dir, PrintStream out, long slackUs) {
    day.onSockets();
    this.slackUs = slackUs;
    this.day = day;
    this.dir = dir;
    this.out = out;
    stage = new Stage(day, dir);
    disks = stage.disks;
    gateways = stage.gateways;
    deployments = stage.deployments;
    random = new SplittableRandom(day.seed());
    states = new NodeState[day.nodes().count()];
    Arrays.fill(states, NodeState.ON);
    lastTold = states.clone();
  }

  /** Plays it and audits; records stay in the folder. */
  public Result play() throws IOException, InterruptedException {
    Files.createDirectories(dir);
    try {
      start();
      long from = System.nanoTime();
      schedule();
      while (!steps.isEmpty()) {
        Step s = steps.poll();
        double wait = s.at - (System.nanoTime() - from) / 1e9;
        if (wait > 0) {
          Thread.sleep((long) (wait * 1_000));
        }
        if (!s.what.isEmpty()) {
          out.printf(Locale.ROOT, "%6.1f s  %s%n", s.at, s.what);
        }
        s.action.run();
      }
      return finish();
    } finally {
      stage.close();
    }
  }

  private void start() throws IOException {
    stage.start();
    for (Deployment d : deployments) {
      told.add(new Told.Started(d.gateway().name(), Engine.monotonicMicros()));
    }
    for (Day.Load v : day.volumes()) {
      for (int c = 0; c < day.clients(v); c++) {
        startClient(v, c);
      }
    }
  }

  private void startClient(Day.Load v, int number) throws IOException {
    int all = day.clients(v);
    int g = day.gateway(v, number);
    Deployment d = deployments.get(g);
    long part = d.byName().get(v.volume()).bytes() / all / 4096 * 4096;
    long deadline = d.classes().stream().mapToLong(c -> c.deadlineUs()).max().orElseThrow();
    RingLoad load = new RingLoad(new RingLoad.Plan(v.volume() + "-" + number, d.gateway().name(), v.volume(),
        number * part, part, 0, v.depth(), (long) (1e6 * all / v.rate()), v.reads(), v.mostBlocks(), deadline,
        d.gateway().unitBytes(), day.seed() * 1_000 + clients.size()), d.gateway()
            .socketDir()
            .resolve(v.volume() + ".sock"));
    Thread t = new Thread(load, "client-" + v.volume() + "-" + number);
    clients.add(new Client(load, t, v, g));
    t.start();
  }

  // Trouble.

  private void at(double seconds, String what, Action action) {
    steps.add(new Step(seconds, order++, what, action));
  }

  private void schedule() {
    for (Day.Trouble t : day.troubles()) {
      trouble(t);
    }
    for (double s = 10; s < day.seconds(); s += 10) {
      double now = s;
      at(now, "", () -> out.printf(Locale.ROOT, "%6.1f s  %d requests asked%n", now, clients.stream()
          .mapToInt(c -> c.load().asked())
          .sum()));
    }
    at(day.seconds(), "load ends", () -> clients.forEach(c -> c.load().finish()));
  }

  private void trouble(Day.Trouble t) {
    double end = t.at() + t.seconds();
    switch (t.kind()) {
      case "stall" -> nodes(t, d -> d.stall((long) (t.seconds() * 1e6)), null);
      case "hang" -> nodes(t, d -> d.faults.silent = true, d -> d.faults.silent = false);
      case "vanish" -> nodes(t, d -> d.faults.silent = true, this::restart);
      case "mass-restart" -> nodes(t, this::restart, null);
      case "fast-errors" -> nodes(t, d -> d.faults.errors = t.size(), d -> d.faults.errors = 0);
      case "answer-lost" -> nodes(t, d -> d.faults.loseAnswers = t.size(), d -> d.faults.loseAnswers = 0);
      case "late-write" -> nodes(t, d -> d.faults.lateWriteUs = (long) (t.size() * 1e6),
          d -> d.faults.lateWriteUs = 0);
      case "slow" -> nodes(t, d -> d.slow(t.size()), d -> d.slow(1));
      case "full" -> nodes(t, d -> d.faults.full = true, d -> d.faults.full = false);
      case "heavy-tail" -> nodes(t, d -> {
        d.faults.heavyFactor = t.size();
        d.faults.heavyPart = 0.02;
      }, d -> d.faults.heavyPart = 0);
      case "drain" -> nodes(t, d -> list(d, NodeState.DRAINING), t.seconds() > 0
          ? d -> list(d, NodeState.ON)
          : null);
      case "preempt" -> {
        for (DiskServer d : struck(t)) {
          at(t.at(), "preempt: " + d.name() + " drains", () -> list(d, NodeState.DRAINING));
          at(t.at() + t.preemptedAfter(), "preempt: " + d.name() + " dies", d::kill);
          at(end, "preempt: " + d.name() + " is back, cold", () -> {
            restart(d);
            list(d, NodeState.ON);
          });
        }
      }
      case "burst" -> loads(t, c -> true);
      case "plan-burst" -> loads(t, c -> c.volume().plan().equals(t.target()));
      case "volume-burst" -> loads(t, c -> c.volume().volume().equals(t.target()));
      case "hot-volumes", "scan" -> {
        List<Client> hot = clients.stream().filter(c -> random.nextDouble() < t.part()).toList();
        loads(t, hot::contains);
        if (t.kind().equals("scan")) {
          at(t.at(), "", () -> hot.forEach(c -> c.load().readsOnly(true)));
          at(end, "", () -> hot.forEach(c -> c.load().readsOnly(false)));
        }
      }
      case "retry-abuse" -> {
        at(t.at(), "clients of " + t.target() + " ask again at once", () -> of(t).forEach(c -> c.load()
            .abusive(true)));
        at(end, "", () -> of(t).forEach(c -> c.load().abusive(false)));
      }
      case "reconnect" -> at(t.at(), "clients drop and come again", () -> clients.stream()
          .filter(c -> random.nextDouble() < t.part())
          .forEach(c -> c.load().drop()));
      case "client-vanish" -> at(t.at(), "a client vanishes", () -> vanish(t.target()));
      case "list-down" -> {
        at(t.at(), "the node list is out of reach", () -> listDown = true);
        at(end, "the node list is back", () -> {
          listDown = false;
          tellList();
        });
      }
      case "gateway-crash" -> {
        int g = random.nextInt(day.gateways());
        at(t.at(), "gateway " + g + " is killed", () -> gateways.get(g).kill());
        at(end, "gateway " + g + " is started again", () -> {
          told.add(new Told.Started(deployments.get(g).gateway().name(), Engine.monotonicMicros()));
          gateways.set(g, stage.gateway(g));
        });
      }
      default -> throw new IllegalStateException(t.kind());
    }
  }

  private interface OnNode {
    void run(DiskServer d) throws IOException;
  }

  private void nodes(Day.Trouble t, OnNode begin, OnNode end) {
    for (DiskServer d : struck(t)) {
      at(t.at(), t.kind() + ": " + d.name(), () -> begin.run(d));
      if (end != null) {
        at(t.at() + t.seconds(), t.kind() + " over: " + d.name(), () -> end.run(d));
      }
    }
  }

  private List<DiskServer> struck(Day.Trouble t) {
    if (!t.target().isEmpty()) {
      return disks.stream().filter(d -> d.name().equals(t.target())).toList();
    }
    List<DiskServer> left = new ArrayList<>(disks);
    List<DiskServer> chosen = new ArrayList<>();
    for (long n = Math.max(1, Math.round(t.part() * disks.size())); n > 0; n--) {
      chosen.add(left.remove(random.nextInt(left.size())));
    }
    return chosen;
  }

  private List<Client> of(Day.Trouble t) {
    return clients.stream()
        .filter(c -> c.volume().volume().equals(t.target()) || c.volume().plan().equals(t.target()))
        .toList();
  }

  private void loads(Day.Trouble t, java.util.function.Predicate<Client> which) {
    at(t.at(), t.kind() + " " + t.target() + ": " + t.size() + " times the load", () -> clients.stream()
        .filter(which)
        .forEach(c -> c.load().speed(t.size())));
    at(t.at() + t.seconds(), t.kind() + " over", () -> clients.stream()
        .filter(which)
        .forEach(c -> c.load().speed(1)));
  }

  private void restart(DiskServer d) throws IOException {
    d.faults.clear();
    told.add(new Told.Born(d.name(), Engine.monotonicMicros()));
    d.restart();
  }

  private void list(DiskServer d, NodeState state) throws IOException {
    states[disks.indexOf(d)] = state;
    tellList();
  }

  private void tellList() throws IOException {
    stage.writeFleet(states);
    if (listDown) {
      return;
    }
    // Counted against a gateway: the word of a drain once it must have come, the word of its end at once.
    long now = Engine.monotonicMicros();
    for (int g = 0; g < gateways.size(); g++) {
      if (gateways.get(g).isAlive()) {
        gateways.get(g).reload();
      }
      for (int i = 0; i < states.length; i++) {
        // Said again is not said anew: the later word of a drain would count after the one of its end.
        if (states[i] == lastTold[i]) {
          continue;
        }
        told.add(new Told.State(deployments.get(g).gateway().name(), disks.get(i).name(), states[i],
            states[i] == NodeState.ON ? now : now + SIGNAL_US));
      }
    }
    System.arraycopy(states, 0, lastTold, 0, states.length);
  }

  /** One client more that asks and leaves with everything out. */
  private void vanish(String volume) throws IOException {
    Day.Load v = day.volumes()
        .stream()
        .filter(l -> l.volume().equals(volume))
        .findFirst()
        .orElse(day.volumes().get(0));
    Deployment d = deployments.get(0);
    // It only reads: its part of the volume is another client's.
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

  // The end.

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
    Figures figures = ScenarioSettings.figures(deployments.get(0), slackUs, 50_000);
    Witness.figures(dir, figures);
    Witness.asked(dir, "clients", asked);
    Witness.commands(dir, "nodes", commands);
    Witness.told(dir, "operator", told);
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
    // The leaver reads another's blocks, which its own reference copy does not know.
    List<String> wrong = clients.stream()
        .filter(c -> !c.thread().getName().equals("leaver"))
        .flatMap(c -> c.load().wrong().stream())
        .toList();
    return new Result(Auditor.check(figures, asked, commands, told), wrong, answers, latency, clean);
  }

  private String planOf(String volume) {
    return deployments.get(0).byName().get(volume).plan();
  }
}
