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
  private static final int MOST_COMMAND = 1 << 20;

  final World world;
  final int index;
  final String name;
  private final HostScheduler.Settings settings;
  private final RequestClassifier classifier;
  private final SplittableRandom random;
  /** Until when each node is out of reach. */
  private final long[] cutUntil;
  private final List<EmulatedClient> callers = new ArrayList<>();
  /** Those that come through it alone: each gateway with all of them is what would limit the size of
   * worlds. */
  private final Map<String, Volume> volumes = new TreeMap<>();
  private long epoch;
  private Engine engine;
  private EmulatedTransport net;
  private Membership membership;
  private boolean alive;
  private long wakeAt;
  private double busyUntil;
  private boolean stepping;

  EmulatedGateway(World world, int index, RequestClassifier classifier, SplittableRandom random) {
    this.world = world;
    this.index = index;
    this.classifier = classifier;
    this.random = random;
    name = "gateway-" + index;
    HostScheduler.Settings s = world.deployment().module();
    settings = new HostScheduler.Settings(s.seed(), index, s.hosts(), s.zone(), s.tickUs(), s.listOnRequest(),
        s
            .classes(), s.plans(), s.rules(), s.allowed(), s.store(), s.reportSource(), s.reportFields());
    cutUntil = new long[world.disks().size()];
  }

  void add(EmulatedClient caller) {
    callers.add(caller);
    volumes.put(caller.load.volume(), world.volumes().get(caller.load.volume()));
  }

  boolean isAlive() {
    return alive;
  }

  Engine engine() {
    return engine;
  }

  int mostOut() {
    return world.deployment().gateway().connections() * world.deployment().gateway().perConnection();
  }

  long connectTimeoutUs() {
    return world.deployment().allowed().connectTimeoutUs();
  }

  /** Starts it, with the list as it stands. */
  void start() {
    var g = world.deployment().gateway();
    alive = true;
    wakeAt = Long.MAX_VALUE;
    busyUntil = world.time.now();
    net = new EmulatedTransport(this, ++epoch);
    engine = new Engine(new Engine.Config(settings, classifier, new ExtentSplitter(MOST_COMMAND), g
        .mostRequests(),
        g
            .mostBytes(), 0), volumes, new TokenBorrowingScheduler(settings), world.time::now);
    engine.startWithoutThread(net);
    Engine mine = engine;
    membership = new Membership(settings.rules().coldUs(), mine::updateNodes);
    membership.replaceAll(world.listed());
    world.told(this, world.listed());
    callers.forEach(c -> c.arrived(mine));
    poke();
  }

  /** Kills it: nothing that it held is answered; its clients keep what they asked and ask again. */
  void kill() {
    alive = false;
    net.close();
    engine = null;
    callers.forEach(EmulatedClient::abandoned);
  }

  /** When something that leaves now arrives at the other end. */
  long arrival(EmulatedNode disk) {
    long mean = world.day.nodes().netUs();
    long delay = mean / 2 + (mean > 0 ? random.nextLong(mean + 1) : 0);
    return Math.max(world.time.now(), cutUntil[disk.index]) + delay;
  }

  /** A node is out of reach for so long. */
  void cut(EmulatedNode disk, long us) {
    cutUntil[disk.index] = world.time.now() + us;
  }

  /** Something comes in: the engine's thread takes it when it is through with what came before. */
  void input(Runnable what) {
    busyUntil = Math.max(busyUntil, world.time.now()) + world.day.nodes().engineUs() / 2;
    long at = (long) busyUntil;
    Engine mine = engine;
    world.time.at(at, () -> {
      if (engine == mine && alive) {
        what.run();
        poke();
      }
    });
  }

  /** Has the engine do what there is to do, and wakes it when it wants to. */
  private void poke() {
    if (stepping) {
      return;
    }
    stepping = true;
    long next = engine.runUntilIdle();
    stepping = false;
    if (next < Long.MAX_VALUE && (next < wakeAt || wakeAt <= world.time.now())) {
      wakeAt = next;
      Engine mine = engine;
      world.time.at(next, () -> {
        if (engine == mine && alive) {
          if (wakeAt <= world.time.now()) {
            wakeAt = Long.MAX_VALUE;
          }
          poke();
        }
      });
    }
  }

  boolean started(EmulatedNode disk, long boot, long ageUs) {
    return membership.recordStart(disk.index + 1, boot, ageUs, world.time.now());
  }

  /** The operator's word on one node reaches it. */
  void state(NodeEntry l) {
    input(() -> {
      membership.setState(l.node(), l.state());
      world.told(this, List.of(l));
    });
  }

  /** The module asks for the list. */
  void wanted() {
    Engine mine = engine;
    world.time.in(world.listDelay(random), () -> {
      if (alive && engine == mine) {
        input(() -> {
          if (world.listDown()) {
            engine.nodeListFailed();
          } else {
            membership.replaceAll(world.listed());
            world.told(this, world.listed());
          }
        });
      }
    });
  }

  /** Takes a request from a client, which hears whether there was room. */
  void offer(IoRequest io, Consumer<Boolean> taken) {
    input(() -> taken.accept(engine.offer(io)));
  }

  void depart(IoRequest io) {
    if (alive) {
      input(() -> engine.abandon(io));
    }
  }
}
