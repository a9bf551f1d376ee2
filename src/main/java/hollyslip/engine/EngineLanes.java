package hollyslip.engine;

import hollyslip.HostScheduler.NodeList;
import hollyslip.HostScheduler.VolumeChanged;
import hollyslip.volume.Volume;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A group of engines, one per core, each with its own scheduler and node connections: a lane acts like one
 * host among several. A volume is on one lane at a time, with all its rings, so that a single scheduler has
 * its limit, reserve, order and records. Whatever hosts may do without knowing of each other, lanes may do
 * too (docs/cores.md). */
public final class EngineLanes implements RequestIntake {
  private static final Logger LOG = LoggerFactory.getLogger(EngineLanes.class);

  /** How often the loads of the lanes are compared, ms. */
  private static final long BALANCE_INTERVAL_MS = 1_000;

  private final List<Engine> engines;
  private final Function<Volume, VolumeChanged> termsOf;
  private final Map<String, Route> routes = new ConcurrentHashMap<>();
  private final Map<String, Volume> volumes = new ConcurrentHashMap<>();
  private final Set<Runnable> capacityListeners = ConcurrentHashMap.newKeySet();
  private final LaneBalancer balancer = new LaneBalancer();
  private final ScheduledExecutorService balanceTimer = Executors.newSingleThreadScheduledExecutor(task -> {
    Thread thread = new Thread(task, "lanes");
    thread.setDaemon(true);
    return thread;
  });

  /** Route of a volume's requests. Guarded by its own monitor, so that no request is on its way to a lane
   * that has been told to hand the volume over. */
  private static final class Route {
    final long volumeId;
    int lane;
    boolean moving;
    VolumeChanged currentTerms;
    CompletableFuture<Void> lastChange = CompletableFuture.completedFuture(null);
    long offeredRequests, countedRequests;

    Route(long volumeId, int lane) {
      this.volumeId = volumeId;
      this.lane = lane;
    }
  }

  /** @param engines
   *          the lanes, not started and without volumes
   * @param configuredVolumes
   *          volumes of the settings
   * @param termsOf
   *          their terms, for a lane that takes a volume over */
  public EngineLanes(List<Engine> engines, Map<String, Volume> configuredVolumes,
      Function<Volume, VolumeChanged> termsOf) {
    this.engines = List.copyOf(engines);
    this.termsOf = termsOf;
    configuredVolumes.values().forEach(v -> {
      Route route = route(v);
      volumes.put(v.name(), v);
      engines.get(route.lane).addVolume(v);
    });
  }

  /** Starts balancing the lanes. */
  public void start() {
    if (engines.size() > 1) {
      balanceTimer.scheduleAtFixedRate(this::rebalance, BALANCE_INTERVAL_MS, BALANCE_INTERVAL_MS,
          TimeUnit.MILLISECONDS);
    }
  }

  public int size() {
    return engines.size();
  }

  public Engine lane(int index) {
    return engines.get(index);
  }

  /** The lane of a volume; -1 if the volume is unknown. */
  public int laneOf(String volume) {
    Route route = routes.get(volume);
    if (route == null) {
      return -1;
    }
    synchronized (route) {
      return route.lane;
    }
  }

  private Route route(Volume v) {
    return routes.computeIfAbsent(v.name(), k -> new Route(v.id(), (int) (v.id() % engines.size())));
  }

  @Override
  public boolean offer(IoRequest io) {
    Route route = routes.get(io.volume());
    if (route == null) {
      throw new IllegalArgumentException("volume: " + io.volume() + " is not known");
    }
    synchronized (route) {
      if (route.moving) {
        return false;
      }
      route.offeredRequests++;
      return engines.get(route.lane).offer(io);
    }
  }

  @Override
  public void abandon(IoRequest io) {
    if (io.activeRequest != null) {
      io.activeRequest.engine().abandon(io);
    }
  }

  @Override
  public void addCapacityListener(Runnable listener) {
    capacityListeners.add(listener);
    engines.forEach(e -> e.addCapacityListener(listener));
  }

  @Override
  public void removeCapacityListener(Runnable listener) {
    capacityListeners.remove(listener);
    engines.forEach(e -> e.removeCapacityListener(listener));
  }

  @Override
  public Map<String, Volume> volumes() {
    return Collections.unmodifiableMap(volumes);
  }

  /** Like {@link Engine#serve}, on the volume's lane. */
  public CompletableFuture<Void> serve(Volume volume, VolumeChanged newTerms) {
    Route route = route(volume);
    synchronized (route) {
      route.lastChange = route.lastChange.thenCompose(done -> {
        synchronized (route) {
          route.currentTerms = newTerms;
          return engines.get(route.lane).serve(volume, newTerms);
        }
      });
      return route.lastChange.thenRun(() -> volumes.put(volume.name(), volume));
    }
  }

  /** Like {@link Engine#drain}, on the volume's lane. */
  public Engine.Drain drain(Volume volume) {
    Route route = routes.get(volume.name());
    if (route == null) {
      return Engine.Drain.completed();
    }
    synchronized (route) {
      CompletableFuture<Engine.Drain> started = route.lastChange.thenApply(done -> {
        synchronized (route) {
          return engines.get(route.lane).drain(volume);
        }
      });
      route.lastChange = started.thenCompose(Engine.Drain::settled);
      return new Engine.Drain(started.thenCompose(Engine.Drain::answered), route.lastChange.thenRun(() -> {
        routes.remove(volume.name(), route);
        volumes.remove(volume.name());
      }));
    }
  }

  /** Moves a volume to a lane: its new requests wait in their rings until those in flight are answered, then
   * the other lane takes over. Completes when the other lane serves the volume; a failed move leaves it on
   * its lane. */
  public CompletableFuture<Void> move(String volume, int to) {
    Route route = routes.get(volume);
    if (route == null) {
      return CompletableFuture.failedFuture(new IllegalArgumentException("volume: " + volume
          + " is not known"));
    }
    synchronized (route) {
      route.lastChange = route.lastChange.thenCompose(done -> moveNow(volume, route, to));
      return route.lastChange;
    }
  }

  private CompletableFuture<Void> moveNow(String volume, Route route, int to) {
    Volume v = volumes.get(volume);
    Engine from;
    synchronized (route) {
      if (v == null || route.lane == to) {
        return CompletableFuture.completedFuture(null);
      }
      from = engines.get(route.lane);
      route.moving = true;
    }
    VolumeChanged volumeTerms = route.currentTerms != null ? route.currentTerms : termsOf.apply(v);
    long startNs = System.nanoTime();
    CompletableFuture<Void> moved = from.handOver(v)
        .thenCompose(done -> engines.get(to).serve(v, volumeTerms));
    return moved.whenComplete((ok, error) -> {
      synchronized (route) {
        route.lane = error == null ? to : route.lane;
        route.moving = false;
      }
      capacityListeners.forEach(Runnable::run);
      LOG.atInfo()
          .addKeyValue("volume", volume)
          .addKeyValue("lane", to)
          .addKeyValue("paused_us", (System.nanoTime() - startNs) / 1_000)
          .setCause(error)
          .log("volume.moved");
    });
  }

  private void rebalance() {
    List<LaneBalancer.Load> loads = new ArrayList<>();
    Map<Long, String> names = new java.util.HashMap<>();
    routes.forEach((name, route) -> {
      synchronized (route) {
        loads.add(new LaneBalancer.Load(route.volumeId, route.lane, route.offeredRequests
            - route.countedRequests));
        route.countedRequests = route.offeredRequests;
      }
      names.put(route.volumeId, name);
    });
    loads.sort((a, b) -> Long.compare(a.volume(), b.volume()));
    LaneBalancer.Move move = balancer.decide(engines.size(), loads);
    if (move != null) {
      move(names.get(move.volume()), move.to());
    }
  }

  /** Applies an update of the node list to all lanes. */
  public void updateNodes(NodeList list) {
    engines.forEach(e -> e.updateNodes(list));
  }

  /** Like {@link Engine#refuseAll}, on all lanes. */
  public void refuseAll() {
    engines.forEach(Engine::refuseAll);
  }

  /** Totals over all lanes. */
  public Engine.Totals totals() {
    return engines.stream().map(Engine::totals).reduce(Engine.Totals::plus).orElseThrow();
  }

  /** Like {@link Engine#stop}, on all lanes. */
  public CompletableFuture<Void> stop() {
    balanceTimer.shutdownNow();
    return allOf(Engine::stop);
  }

  /** Completes when all lanes have ended; exceptionally as soon as one of them ends with a fault. */
  public CompletableFuture<Void> termination() {
    CompletableFuture<Void> all = allOf(Engine::termination);
    engines.forEach(e -> e.termination().exceptionally(error -> {
      all.completeExceptionally(error);
      return null;
    }));
    return all;
  }

  private CompletableFuture<Void> allOf(Function<Engine, CompletableFuture<Void>> operation) {
    return CompletableFuture.allOf(engines.stream().map(operation).toArray(CompletableFuture<?>[]::new));
  }
}
