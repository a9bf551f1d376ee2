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

/** Several engines, each with a module and node connections of its own, on a core each: a lane acts as a host
 * among hosts. A volume is on one lane at a time, with all its rings, so its limit, reserve, order and
 * records are one module's; what hosts may do without knowing of each other, lanes may (docs/cores.md). */
public final class Lanes implements Intake {
  private static final Logger LOG = LoggerFactory.getLogger(Lanes.class);

  /** How often lanes are compared, ms. */
  private static final long BALANCE_INTERVAL_MS = 1_000;

  private final List<Engine> engines;
  private final Function<Volume, VolumeChanged> termsOf;
  private final Map<String, Route> routes = new ConcurrentHashMap<>();
  private final Map<String, Volume> volumes = new ConcurrentHashMap<>();
  private final Set<Runnable> capacityListeners = ConcurrentHashMap.newKeySet();
  private final LaneBalancer balancer = new LaneBalancer();
  private final ScheduledExecutorService balanceTimer = Executors.newSingleThreadScheduledExecutor(r -> {
    Thread t = new Thread(r, "lanes");
    t.setDaemon(true);
    return t;
  });

  /** Where a volume's requests go; guarded by its own monitor, so that no request is under way to a lane that
   * has been told to hand the volume over. */
  private static final class Route {
    final long volumeId;
    int lane;
    boolean moving;
    VolumeChanged currentTerms;
    CompletableFuture<Void> lastChange = CompletableFuture.completedFuture(null);
    long offeredRequests, balancedRequests;

    Route(long id, int lane) {
      this.volumeId = id;
      this.lane = lane;
    }
  }

  /** @param engines
   *          the lanes, not started; they must know no volumes yet
   * @param fixed
   *          volumes of the settings
   * @param terms
   *          their terms, for a lane that takes one over */
  public Lanes(List<Engine> engines, Map<String, Volume> fixed, Function<Volume, VolumeChanged> terms) {
    this.engines = List.copyOf(engines);
    this.termsOf = terms;
    fixed.values().forEach(v -> {
      Route r = route(v);
      volumes.put(v.name(), v);
      engines.get(r.lane).addVolume(v);
    });
  }

  /** Compares lanes from now on. */
  public void start() {
    if (engines.size() > 1) {
      balanceTimer.scheduleAtFixedRate(this::rebalance, BALANCE_INTERVAL_MS, BALANCE_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }
  }

  public int size() {
    return engines.size();
  }

  /** A lane's engine. */
  public Engine lane(int n) {
    return engines.get(n);
  }

  /** The lane of a volume, -1: it is not known. */
  public int laneOf(String volume) {
    Route r = routes.get(volume);
    if (r == null) {
      return -1;
    }
    synchronized (r) {
      return r.lane;
    }
  }

  private Route route(Volume v) {
    return routes.computeIfAbsent(v.name(), k -> new Route(v.id(), (int) (v.id() % engines.size())));
  }

  @Override
  public boolean offer(Io io) {
    Route r = routes.get(io.volume());
    if (r == null) {
      throw new IllegalArgumentException("volume: " + io.volume() + " is not known");
    }
    synchronized (r) {
      if (r.moving) {
        return false;
      }
      r.offeredRequests++;
      return engines.get(r.lane).offer(io);
    }
  }

  @Override
  public void depart(Io io) {
    if (io.activeRequest != null) {
      io.activeRequest.engine().depart(io);
    }
  }

  @Override
  public void onRoom(Runnable listener) {
    capacityListeners.add(listener);
    engines.forEach(e -> e.onRoom(listener));
  }

  @Override
  public void forgetRoom(Runnable listener) {
    capacityListeners.remove(listener);
    engines.forEach(e -> e.forgetRoom(listener));
  }

  @Override
  public Map<String, Volume> volumes() {
    return Collections.unmodifiableMap(volumes);
  }

  /** As {@link Engine#serve}, on the volume's lane. */
  public CompletableFuture<Void> serve(Volume volume, VolumeChanged changed) {
    Route r = route(volume);
    synchronized (r) {
      r.lastChange = r.lastChange.thenCompose(done -> {
        synchronized (r) {
          r.currentTerms = changed;
          return engines.get(r.lane).serve(volume, changed);
        }
      });
      return r.lastChange.thenRun(() -> volumes.put(volume.name(), volume));
    }
  }

  /** As {@link Engine#drain}, on the volume's lane. */
  public CompletableFuture<Void> drain(Volume volume) {
    Route r = routes.get(volume.name());
    if (r == null) {
      return CompletableFuture.completedFuture(null);
    }
    synchronized (r) {
      r.lastChange = r.lastChange.thenCompose(done -> {
        synchronized (r) {
          return engines.get(r.lane).drain(volume);
        }
      });
      return r.lastChange.thenRun(() -> {
        routes.remove(volume.name(), r);
        volumes.remove(volume.name());
      });
    }
  }

  /** Moves a volume to a lane: its requests wait in their rings while those that are inside are answered,
   * then the other lane takes it on. Complete when the other lane serves it; what fails leaves it where it
   * is. */
  public CompletableFuture<Void> move(String volume, int to) {
    Route r = routes.get(volume);
    if (r == null) {
      return CompletableFuture.failedFuture(new IllegalArgumentException("volume: " + volume
          + " is not known"));
    }
    synchronized (r) {
      r.lastChange = r.lastChange.thenCompose(done -> moveNow(volume, r, to));
      return r.lastChange;
    }
  }

  private CompletableFuture<Void> moveNow(String volume, Route r, int to) {
    Volume v = volumes.get(volume);
    Engine from;
    synchronized (r) {
      if (v == null || r.lane == to) {
        return CompletableFuture.completedFuture(null);
      }
      from = engines.get(r.lane);
      r.moving = true;
    }
    VolumeChanged told = r.currentTerms != null ? r.currentTerms : termsOf.apply(v);
    long at = System.nanoTime();
    CompletableFuture<Void> done = from.handOver(v).thenCompose(none -> engines.get(to).serve(v, told));
    return done.whenComplete((ok, error) -> {
      synchronized (r) {
        r.lane = error == null ? to : r.lane;
        r.moving = false;
      }
      capacityListeners.forEach(Runnable::run);
      LOG.atInfo()
          .addKeyValue("volume", volume)
          .addKeyValue("lane", to)
          .addKeyValue("paused_us", (System.nanoTime() - at) / 1_000)
          .setCause(error)
          .log("volume.moved");
    });
  }

  private void rebalance() {
    List<LaneBalancer.Load> loads = new ArrayList<>();
    Map<Long, String> names = new java.util.HashMap<>();
    routes.forEach((name, r) -> {
      synchronized (r) {
        loads.add(new LaneBalancer.Load(r.volumeId, r.lane, r.offeredRequests - r.balancedRequests));
        r.balancedRequests = r.offeredRequests;
      }
      names.put(r.volumeId, name);
    });
    loads.sort((a, b) -> Long.compare(a.volume(), b.volume()));
    LaneBalancer.Move m = balancer.decide(engines.size(), loads);
    if (m != null) {
      move(names.get(m.volume()), m.to());
    }
  }

  /** News of the node list, for all lanes. */
  public void nodes(NodeList list) {
    engines.forEach(e -> e.nodes(list));
  }

  /** As {@link Engine#refuseAll}. */
  public void refuseAll() {
    engines.forEach(Engine::refuseAll);
  }

  /** Sums over the lanes. */
  public Engine.Totals totals() {
    return engines.stream().map(Engine::totals).reduce(Engine.Totals::plus).orElseThrow();
  }

  /** As {@link Engine#stop}, all lanes. */
  public CompletableFuture<Void> stop() {
    balanceTimer.shutdownNow();
    return allOf(Engine::stop);
  }

  /** Complete when all lanes have ended; exceptionally as soon as one has with a fault. */
  public CompletableFuture<Void> ended() {
    CompletableFuture<Void> all = allOf(Engine::termination);
    engines.forEach(e -> e.termination().exceptionally(error -> {
      all.completeExceptionally(error);
      return null;
    }));
    return all;
  }

  private CompletableFuture<Void> allOf(Function<Engine, CompletableFuture<Void>> each) {
    return CompletableFuture.allOf(engines.stream().map(each).toArray(CompletableFuture<?>[]::new));
  }
}
