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

/** A gateway in virtual time: the production engine and scheduler, which can be started and killed
 * repeatedly. */
final class EmulatedGateway {
  /** Maximum length of a command, bytes; the same as in the real gateway. */
  private static final int MAX_COMMAND_BYTES = 1 << 20;

  final Emulation emulation;
  final int index;
  final String name;
  private final HostScheduler.Settings settings;
  private final RequestClassifier classifier;
  private final SplittableRandom random;
  /** Per node, the time until which it is unreachable from this gateway. */
  private final long[] partitionedUntil;
  private final List<EmulatedClient> clients = new ArrayList<>();
  /** Only the volumes used through this gateway: holding all volumes in every gateway would limit the size of
   * emulations. */
  private final Map<String, Volume> volumes = new TreeMap<>();
  private long epoch;
  private Engine engine;
  private EmulatedTransport transport;
  private Membership membership;
  private boolean alive;
  private long wakeAt;
  private double busyUntil;
  private boolean runningEngine;

  EmulatedGateway(Emulation emulation, int index, RequestClassifier classifier, SplittableRandom random) {
    this.emulation = emulation;
    this.index = index;
    this.classifier = classifier;
    this.random = random;
    name = "gateway-" + index;
    HostScheduler.Settings common = emulation.deployment().schedulerSettings();
    settings = new HostScheduler.Settings(common.seed(), index, common.hosts(), common.zone(), common
        .tickUs(), common.listOnRequest(),
        common
            .classes(), common.plans(), common.rules(), common.allowed(), common.store(), common
                .reportSource(), common.reportFields());
    partitionedUntil = new long[emulation.nodes().size()];
  }

  void add(EmulatedClient client) {
    clients.add(client);
    volumes.put(client.load.volume(), emulation.volumes().get(client.load.volume()));
  }

  boolean isAlive() {
    return alive;
  }

  Engine engine() {
    return engine;
  }

  int maxInFlight() {
    return emulation.deployment().gateway().connectionsPerNode() * emulation.deployment()
        .gateway()
        .maxAttemptsPerConnection();
  }

  long connectTimeoutUs() {
    return emulation.deployment().allowed().connectTimeoutUs();
  }

  /** Starts the gateway with the current node list. */
  void start() {
    var gateway = emulation.deployment().gateway();
    alive = true;
    wakeAt = Long.MAX_VALUE;
    busyUntil = emulation.events.now();
    transport = new EmulatedTransport(this, ++epoch);
    engine = new Engine(new Engine.Config(settings, classifier, new ExtentSplitter(MAX_COMMAND_BYTES), gateway
        .maxRequests(),
        gateway
            .maxRequestBytes(), 0), volumes, new TokenBorrowingScheduler(settings), emulation.events::now);
    engine.startWithoutThread(transport);
    Engine startedEngine = engine;
    membership = new Membership(settings.rules().coldUs(), startedEngine::updateNodes);
    membership.replaceAll(emulation.nodeEntries());
    emulation.recordNodeStates(this, emulation.nodeEntries());
    clients.forEach(client -> client.onGatewayStarted(startedEngine));
    runEngine();
  }

  /** Kills the gateway: nothing that it held is answered, and its clients submit their requests again. */
  void kill() {
    alive = false;
    transport.close();
    engine = null;
    clients.forEach(EmulatedClient::onGatewayKilled);
  }

  /** Time at which a message sent now arrives at the other end. */
  long arrivalTime(EmulatedNode node) {
    long mean = emulation.scenario.nodes().netUs();
    long delay = mean / 2 + (mean > 0 ? random.nextLong(mean + 1) : 0);
    return Math.max(emulation.events.now(), partitionedUntil[node.index]) + delay;
  }

  /** Makes a node unreachable from this gateway for the given time. */
  void partition(EmulatedNode node, long durationUs) {
    partitionedUntil[node.index] = emulation.events.now() + durationUs;
  }

  /** Runs an input on the engine's thread, once that is done with earlier input. */
  void runOnEngine(Runnable action) {
    busyUntil = Math.max(busyUntil, emulation.events.now()) + emulation.scenario.nodes().engineUs() / 2;
    long at = (long) busyUntil;
    Engine currentEngine = engine;
    emulation.events.schedule(at, () -> {
      if (engine == currentEngine && alive) {
        action.run();
        runEngine();
      }
    });
  }

  /** Runs the engine until it is idle and schedules its next wake-up. */
  private void runEngine() {
    if (runningEngine) {
      return;
    }
    runningEngine = true;
    long nextWakeUp = engine.runUntilIdle();
    runningEngine = false;
    if (nextWakeUp < Long.MAX_VALUE && (nextWakeUp < wakeAt || wakeAt <= emulation.events.now())) {
      wakeAt = nextWakeUp;
      Engine currentEngine = engine;
      emulation.events.schedule(nextWakeUp, () -> {
        if (engine == currentEngine && alive) {
          if (wakeAt <= emulation.events.now()) {
            wakeAt = Long.MAX_VALUE;
          }
          runEngine();
        }
      });
    }
  }

  boolean recordNodeStart(EmulatedNode node, long bootCount, long ageUs) {
    return membership.recordStart(node.index + 1, bootCount, ageUs, emulation.events.now());
  }

  /** Delivers the operator's new state of one node. */
  void updateNodeState(NodeEntry entry) {
    runOnEngine(() -> {
      membership.setState(entry.node(), entry.state());
      emulation.recordNodeStates(this, List.of(entry));
    });
  }

  /** Delivers the node list that the scheduler asked for. */
  void requestNodeList() {
    Engine currentEngine = engine;
    emulation.events.scheduleAfter(emulation.listDelay(random), () -> {
      if (alive && engine == currentEngine) {
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

  /** Offers a request to the engine; the client is told whether it was accepted. */
  void offer(IoRequest request, Consumer<Boolean> listener) {
    runOnEngine(() -> listener.accept(engine.offer(request)));
  }

  void abandon(IoRequest request) {
    if (alive) {
      runOnEngine(() -> engine.abandon(request));
    }
  }
}
