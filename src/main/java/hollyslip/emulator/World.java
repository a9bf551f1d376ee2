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

/** A {@link Day} in virtual time: gateways with the product's engine and module, nodes, network and clients
 * as models. One thread plays it; equal days give equal runs. It is a model in figures of our own, so what
 * comes out is called simulated. */
public final class World {
  /** The operator's word of a node's state reaches a gateway within this, us. */
  private static final long LIST_US = 50_000;
  /** How old nodes are at the start, us: long warm. */
  private static final long AGE_US = 3_600_000_000L;
  /** How long after the load's end and the last deadline a run goes on, us. */
  private static final long AFTER_US = 2_000_000;

  final Day day;
  final EventQueue time = new EventQueue();
  private final Deployment deployment;
  private final Map<String, Volume> volumes;
  private final RequestClassifier classifier;
  private final SplittableRandom random;
  private final List<EmulatedNode> disks = new ArrayList<>();
  private final List<EmulatedGateway> sites = new ArrayList<>();
  private final List<EmulatedClient> callers = new ArrayList<>();
  private final NodeState[] states;
  private final List<Asked> asked = new ArrayList<>();
  private final List<Told> told = new ArrayList<>();
  private final Map<String, NodeState> lastTold = new HashMap<>();
  private final Map<String, Outcome.Tally> tallies = new TreeMap<>();
  private final Map<String, Outcome.Tally> kinds = new TreeMap<>();
  private final List<Outcome.Tally> timeline = new ArrayList<>();
  private boolean listDown;
  private long marks;

  private World(Day day, Deployment deployment) {
    this.day = day;
    this.deployment = deployment;
    volumes = deployment.byName();
    classifier = new RequestClassifier(deployment.rows(), deployment.gateway().unitBytes(), deployment.store()
        .maxUnits());
    random = new SplittableRandom(day.seed());
    states = new NodeState[day.nodes().count()];
    Arrays.fill(states, NodeState.ON);
  }

  /** Plays a day.
   *
   * @throws IllegalArgumentException
   *           its plans or volumes do not make settings; names what is wrong */
  public static Outcome play(Day day) {
    World w = new World(day, deployment(day));
    w.build();
    w.day.troubles().forEach(w::trouble);
    return w.run();
  }

  /** The settings of a day's gateways. */
  private static Deployment deployment(Day day) {
    try {
      Path dir = Files.createTempDirectory("hollyslip-emulate");
      try {
        Files.writeString(dir.resolve("fleet.star"), ScenarioSettings.fleet(day.nodes().count(), i -> 1 + i,
            i -> NodeState.ON));
        Path file = Files.writeString(dir.resolve("gateway-0.star"), ScenarioSettings.text(day, 0));
        Loader.Loaded loaded = Loader.load(file);
        if (!loaded.faults().isEmpty()) {
          throw new IllegalArgumentException("settings of the day: " + loaded.faults());
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
    var n = day.nodes();
    for (int i = 0; i < n.count(); i++) {
      disks.add(new EmulatedNode(i, time, ServiceModel.timed(n.cores(), n.queue(), n.baseUs()), random.split(),
          AGE_US));
    }
    for (int i = 0; i < day.gateways(); i++) {
      sites.add(new EmulatedGateway(this, i, classifier, random.split()));
    }
    // Drawn as the generator of load does: both ask the same at the same times.
    SplittableRandom clients = new SplittableRandom(day.seed());
    for (Day.Load v : day.volumes()) {
      int all = day.clients(v);
      for (int c = 0; c < all; c++) {
        EmulatedGateway site = sites.get(day.gateway(v, c));
        EmulatedClient caller = new EmulatedClient(this, site, v, c, all, volumes.get(v.volume()).bytes(), clients
            .nextLong());
        site.add(caller);
        callers.add(caller);
      }
    }
    sites.forEach(s -> {
      told.add(new Told.Started(s.name, time.now()));
      s.start();
    });
    callers.forEach(EmulatedClient::begin);
  }

  private Outcome run() {
    long end = EventQueue.START + (long) (day.seconds() * 1e6);
    time.until(end);
    callers.forEach(EmulatedClient::end);
    time.until(end + AFTER_US + deployment.classes()
        .stream()
        .mapToLong(RequestClass::deadlineUs)
        .max()
        .orElseThrow());
    callers.forEach(EmulatedClient::finish);
    List<Command> commands = new ArrayList<>();
    disks.forEach(d -> commands.addAll(d.log()));
    return new Outcome(Auditor.check(ScenarioSettings.figures(deployment, 0, 0), asked, commands, told), tallies,
        kinds, timeline, time
            .played());
  }

  // What its parts ask of it.

  Deployment deployment() {
    return deployment;
  }

  Map<String, Volume> volumes() {
    return volumes;
  }

  List<EmulatedNode> disks() {
    return disks;
  }

  boolean listDown() {
    return listDown;
  }

  long listDelay(SplittableRandom of) {
    return of.nextLong(LIST_US);
  }

  long nextMark() {
    return ++marks;
  }

  RequestClass rules(IoKind kind, long length) {
    String name = classifier.className(kind, length);
    return deployment.classes().stream().filter(c -> c.name().equals(name)).findFirst().orElseThrow();
  }

  /** The list as the operator has it. */
  List<NodeEntry> listed() {
    List<NodeEntry> all = new ArrayList<>();
    for (int i = 0; i < states.length; i++) {
      all.add(listed(i));
    }
    return all;
  }

  private NodeEntry listed(int disk) {
    return new NodeEntry(disk + 1, deployment.nodes().get(disk).zone(), disk, states[disk], 0);
  }

  /** A gateway was told so. */
  void told(EmulatedGateway site, List<NodeEntry> list) {
    for (NodeEntry l : list) {
      String key = site.name + "/" + l.node();
      NodeState before = lastTold.getOrDefault(key, NodeState.ON);
      if (before != l.state()) {
        lastTold.put(key, l.state());
        told.add(new Told.State(site.name, disks.get((int) l.node() - 1).name, l.state(), time.now()));
      }
    }
  }

  void note(Asked a, String plan, long dueUs, long aimUs) {
    asked.add(a);
    tally(plan).add(a.answer(), a.left(), a.answeredUs() - dueUs, aimUs);
    kinds.computeIfAbsent(plan + (a.kind() == Nbd.CMD_READ ? ".read" : ".write"), k -> new Outcome.Tally())
        .add(a.answer(), a.left(), a.answeredUs() - dueUs, aimUs);
    int interval = (int) ((dueUs - EventQueue.START) / Outcome.INTERVAL_US);
    while (timeline.size() <= interval) {
      timeline.add(new Outcome.Tally());
    }
    timeline.get(interval).add(a.answer(), a.left(), a.answeredUs() - dueUs, aimUs);
  }

  void never(String plan, long count) {
    tally(plan).never(count);
  }

  private Outcome.Tally tally(String plan) {
    return tallies.computeIfAbsent(plan, k -> new Outcome.Tally());
  }

  // Trouble.

  private void at(double seconds, Runnable what) {
    time.at(EventQueue.START + (long) (seconds * 1e6), what);
  }

  private void trouble(Day.Trouble t) {
    double end = t.at() + t.seconds();
    switch (t.kind()) {
      case "stall" -> nodes(t, d -> d.stall((long) (t.seconds() * 1e6)), d -> {});
      case "hang" -> nodes(t, d -> d.faults.silent = true, d -> d.faults.silent = false);
      case "vanish" -> nodes(t, d -> d.faults.silent = true, this::restart);
      case "mass-restart" -> nodes(t, this::restart, d -> {});
      case "fast-errors" -> nodes(t, d -> d.faults.errors = t.size(), d -> d.faults.errors = 0);
      case "answer-lost" -> nodes(t, d -> d.faults.loseAnswers = t.size(), d -> d.faults.loseAnswers = 0);
      case "late-write" -> nodes(t, d -> d.faults.lateWriteUs = (long) (t.size() * 1e6),
          d -> d.faults.lateWriteUs = 0);
      case "slow" -> nodes(t, d -> d.slow(Math.max(0.01, t.size())), d -> d.slow(1));
      case "full" -> nodes(t, d -> d.faults.full = true, d -> d.faults.full = false);
      case "heavy-tail" -> nodes(t, d -> {
        d.faults.heavyFactor = t.size();
        d.faults.heavyPart = 0.02;
      }, d -> d.faults.heavyPart = 0);
      case "drain" -> nodes(t, d -> list(d, NodeState.DRAINING), d -> list(d, NodeState.ON));
      case "preempt" -> nodes(t, d -> {
        list(d, NodeState.DRAINING);
        time.in((long) (1e6 * t.preemptedAfter()), d::kill);
      }, d -> {
        restart(d);
        list(d, NodeState.ON);
      });
      case "partition" -> {
        List<EmulatedGateway> cut = sites.stream().filter(s -> random.nextDouble() < t.size()).toList();
        nodes(t, d -> cut.forEach(s -> s.cut(d, (long) (t.seconds() * 1e6))), d -> {});
      }
      case "burst" -> loads(t, c -> true);
      case "plan-burst" -> loads(t, c -> c.load.plan().equals(t.target()));
      case "volume-burst" -> loads(t, c -> c.load.volume().equals(t.target()));
      case "hot-volumes", "scan" -> {
        List<EmulatedClient> hot = callers.stream().filter(c -> random.nextDouble() < t.part()).toList();
        loads(t, hot::contains);
        boolean scan = t.kind().equals("scan");
        at(t.at(), () -> hot.forEach(c -> c.readsOnly(scan)));
        at(end, () -> hot.forEach(c -> c.readsOnly(false)));
      }
      case "retry-abuse" -> {
        at(t.at(), () -> of(t).forEach(c -> c.abusive(true)));
        at(end, () -> of(t).forEach(c -> c.abusive(false)));
      }
      case "reconnect" -> at(t.at(), () -> callers.stream()
          .filter(c -> random.nextDouble() < t.part())
          .forEach(EmulatedClient::drop));
      case "client-vanish" -> at(t.at(), () -> of(t).stream().limit(1).forEach(EmulatedClient::drop));
      case "list-down" -> {
        at(t.at(), () -> listDown = true);
        at(end, () -> {
          listDown = false;
          tellList();
        });
      }
      case "gateway-crash" -> crash(sites.get(random.nextInt(sites.size())), t);
      default -> throw new IllegalStateException(t.kind());
    }
  }

  private void crash(EmulatedGateway site, Day.Trouble t) {
    at(t.at(), () -> {
      if (site.isAlive()) {
        site.kill();
      }
    });
    at(t.at() + t.seconds(), () -> {
      if (!site.isAlive()) {
        told.add(new Told.Started(site.name, time.now()));
        site.start();
      }
    });
  }

  private void nodes(Day.Trouble t, Consumer<EmulatedNode> begin, Consumer<EmulatedNode> end) {
    for (EmulatedNode d : struck(t)) {
      at(t.at(), () -> begin.accept(d));
      at(t.at() + t.seconds(), () -> end.accept(d));
    }
  }

  private List<EmulatedNode> struck(Day.Trouble t) {
    if (!t.target().isEmpty()) {
      return disks.stream().filter(d -> d.name.equals(t.target())).toList();
    }
    List<EmulatedNode> left = new ArrayList<>(disks);
    List<EmulatedNode> chosen = new ArrayList<>();
    for (long n = Math.max(1, Math.round(t.part() * disks.size())); n > 0 && !left.isEmpty(); n--) {
      chosen.add(left.remove(random.nextInt(left.size())));
    }
    return chosen;
  }

  private List<EmulatedClient> of(Day.Trouble t) {
    return callers.stream()
        .filter(c -> c.load.volume().equals(t.target()) || c.load.plan().equals(t.target()))
        .toList();
  }

  private void loads(Day.Trouble t, Predicate<EmulatedClient> which) {
    at(t.at(), () -> callers.stream().filter(which).forEach(c -> c.speed(t.size())));
    at(t.at() + t.seconds(), () -> callers.stream().filter(which).forEach(c -> c.speed(1)));
  }

  private void restart(EmulatedNode d) {
    d.faults.clear();
    d.start();
    told.add(new Told.Born(d.name, time.now()));
  }

  private void list(EmulatedNode d, NodeState state) {
    states[d.index] = state;
    if (!listDown) {
      NodeEntry l = listed(d.index);
      sites.stream().filter(EmulatedGateway::isAlive).forEach(s -> time.in(listDelay(random), () -> {
        if (s.isAlive() && states[d.index] == state) {
          s.state(l);
        }
      }));
    }
  }

  private void tellList() {
    for (int i = 0; i < states.length; i++) {
      list(disks.get(i), states[i]);
    }
  }
}
