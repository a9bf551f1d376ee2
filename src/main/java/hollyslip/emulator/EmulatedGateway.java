package hollyslip.emulator;

import hollyslip.TokenBorrowingScheduler;
import hollyslip.HostScheduler;
import hollyslip.HostScheduler.NodeEntry;
import hollyslip.engine.Engine;
import hollyslip.engine.IoRequest;
import hollyslip.fleet.Membership;
import hollyslip.volume.RequestClassifier;
import hollyslip.volume.ExtentSplitter;
import hollyslip.volume.Volume;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;

/** A gateway: the product's engine and module, started and killed as often as the run wants, in virtual
 * time. */
final class EmulatedGateway {
  /** Longest command, bytes: as the gateway's own. */
  private static final int MAX_COMMAND_BYTES = 1 << 20;

  final World emulation;
  final int index;
  final String name;
  private final HostScheduler.Settings settings;
  private final RequestClassifier classifier;
  private final SplittableRandom random;
  /** Until when each node is out of reach. */
  private final long[] partitionedUntil;
  private final List<EmulatedClient> clients = new ArrayList<>();
  /** Those that come through it alone: each gateway with all of them is what would limit the size of
   * worlds. */
  private final Map<String, Volume> volumes = new TreeMap<>();
  private long epoch;
  private Engine engine;
  private EmulatedTransport transport;
  private Membership membership;
  private boolean alive;
  private long wakeAt;
  private double busyUntil;
  private boolean runningEngine;

  EmulatedGateway(World world, int index, RequestClassifier classifier, SplittableRandom random) {
    this.emulation = world;
    this.index = index;
    this.classifier = classifier;
    this.random = random;
    name = "gateway-" + index;
    HostScheduler.Settings s = world.deployment().module();
    settings = new HostScheduler.Settings(s.seed(), index, s.hosts(), s.zone(), s.tickUs(), s.listOnRequest(),
        s
            .classes(), s.plans(), s.rules(), s.allowed(), s.store(), s.reportSource(), s.reportFields());
    partitionedUntil = new long[world.nodes().size()];
  }

  void add(EmulatedClient caller) {
    clients.add(caller);
    volumes.put(caller.load.volume(), emulation.volumes().get(caller.load.volume()));
  }

  boolean isAlive() {
    return alive;
  }

  Engine engine() {
    return engine;
  }

  int maxInFlight() {
    return emulation.deployment().gateway().connections() * emulation.deployment().gateway().perConnection();
  }

  long connectTimeoutUs() {
    return emulation.deployment().allowed().connectTimeoutUs();
  }

  /** Starts it, with the list as it stands. */
  void start() {
    var g = emulation.deployment().gateway();
    alive = true;
    wakeAt = Long.MAX_VALUE;
    busyUntil = emulation.events.now();
    transport = new EmulatedTransport(this, ++epoch);
    engine = new Engine(new Engine.Config(settings, classifier, new ExtentSplitter(MAX_COMMAND_BYTES), g
        .mostRequests(),
        g
            .mostBytes(), 0), volumes, new TokenBorrowingScheduler(settings), emulation.events::now);
    engine.startWithoutThread(transport);
    Engine mine = engine;
    membership = new Membership(settings.rules().coldUs(), mine::updateNodes);
    membership.replaceAll(emulation.nodeEntries());
    emulation.recordNodeStates(this, emulation.nodeEntries());
    clients.forEach(c -> c.onGatewayStarted(mine));
    runEngine();
  }

  /** Kills it: nothing that it held is answered; its clients keep what they asked and ask again. */
  void kill() {
    alive = false;
    transport.close();
    engine = null;
    clients.forEach(EmulatedClient::onGatewayKilled);
  }

  /** When something that leaves now arrives at the other end. */
  long arrivalTime(EmulatedNode disk) {
    long mean = emulation.scenario.nodes().netUs();
    long delay = mean / 2 + (mean > 0 ? random.nextLong(mean + 1) : 0);
    return Math.max(emulation.events.now(), partitionedUntil[disk.index]) + delay;
  }

  /** A node is out of reach for so long. */
  void partition(EmulatedNode disk, long us) {
    partitionedUntil[disk.index] = emulation.events.now() + us;
  }

  /** Something comes in: the engine's thread takes it when it is through with what came before. */
  void runOnEngine(Runnable what) {
    busyUntil = Math.max(busyUntil, emulation.events.now()) + emulation.scenario.nodes().engineUs() / 2;
    long at = (long) busyUntil;
    Engine mine = engine;
    emulation.events.schedule(at, () -> {
      if (engine == mine && alive) {
        what.run();
        runEngine();
      }
    });
  }

  /** Has the engine do what there is to do, and wakes it when it wants to. */
  private void runEngine() {
    if (runningEngine) {
      return;
    }
    runningEngine = true;
    long next = engine.runUntilIdle();
    runningEngine = false;
    if (next < Long.MAX_VALUE && (next < wakeAt || wakeAt <= emulation.events.now())) {
      wakeAt = next;
      Engine mine = engine;
      emulation.events.schedule(next, () -> {
        if (engine == mine && alive) {
          if (wakeAt <= emulation.events.now()) {
            wakeAt = Long.MAX_VALUE;
          }
          runEngine();
        }
      });
    }
  }

  boolean recordNodeStart(EmulatedNode disk, long boot, long ageUs) {
    return membership.recordStart(disk.index + 1, boot, ageUs, emulation.events.now());
  }

  /** The operator's word on one node reaches it. */
  void updateNodeState(NodeEntry l) {
    runOnEngine(() -> {
      membership.setState(l.node(), l.state());
      emulation.recordNodeStates(this, List.of(l));
    });
  }

  /** The module asks for the list. */
  void requestNodeList() {
    Engine mine = engine;
    emulation.events.scheduleAfter(emulation.listDelay(random), () -> {
      if (alive && engine == mine) {
        runOnEngine(() -> {
          if (emulation.nodeListDown()) {
            engine.nodeListFailed();
          } else {
            membership.replaceAll(emulation.nodeEntries());
            emulation.recordNodeStates(this, emulation.nodeEntries());
          }
        });
      }
    });
  }

  /** Takes a request from a client, which hears whether there was room. */
  void offer(IoRequest io, Consumer<Boolean> taken) {
    runOnEngine(() -> taken.accept(engine.offer(io)));
  }

  void abandon(IoRequest io) {
    if (alive) {
      runOnEngine(() -> engine.abandon(io));
    }
  }
}
