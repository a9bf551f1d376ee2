package hollyslip.load;

import hollyslip.engine.Engine;
import hollyslip.volume.IoKind;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;

/** Runs the clients of a {@link Scenario} against running gateways on open-loop schedules, with one thread
 * per client. Several processes can share a scenario: each runs every n-th client of the same schedule. */
public final class LoadRun {
  /** Configuration of a run.
   *
   * @param socketDirs
   *          directories of the volumes' sockets, one per gateway
   * @param process
   *          index of this process among {@code processes}
   * @param startUs
   *          start of the schedule on the machine's monotonic clock
   * @param maxLatenessUs
   *          the run is invalid if the generator is later than this, us, for one request in a thousand */
  public record Config(Scenario scenario, List<Path> socketDirs, int process, int processes, long startUs,
      boolean closedLoop,
      long maxLatenessUs) {}

  /** Result of a run; {@code lateness} covers all clients. */
  public record Result(LatencyLog log, Map<OpenLoop.End, Long> ends, Histogram lateness, long due,
      long answered,
      long waited, boolean valid) {}

  private final Config config;
  private final LatencyLog log = new LatencyLog();
  private final Map<OpenLoop.End, AtomicLong> ends = new EnumMap<>(OpenLoop.End.class);
  private final List<Client> clients = new ArrayList<>();

  private final class Client implements Runnable {
    final OpenLoop loop;
    final RingTarget target;
    OpenLoop.Stats stats;
    /** Private to the client and merged at the end, because threads contending for a shared log would become
     * late. */
    final LatencyLog ownLog = new LatencyLog();

    Client(Scenario.VolumeLoad load, int index, int clientCount, long seed) throws IOException {
      Path socket = config.socketDirs()
          .get(config.scenario().gatewayOf(load, index) % config.socketDirs().size())
          .resolve(load.volume() + ".sock");
      target = new RingTarget(socket, load.depth(), load.maxBlocks() * 4_096);
      SplittableRandom seeds = new SplittableRandom(seed);
      RequestMix mix = new RequestMix(load, index, clientCount, (long) load.sizeMib() << 20, seeds
          .nextLong());
      ArrivalProcess arrivals = new ArrivalProcess(load.shape(), load.rate() / clientCount, seeds.nextLong());
      String reads = load.plan() + ".read";
      String writes = load.plan() + ".write";
      loop = new OpenLoop(arrivals, mix, target, config.closedLoop(), completion -> {
        ends.get(completion.end()).incrementAndGet();
        if (completion.end() == OpenLoop.End.SERVED) {
          ownLog.add(completion.operation().kind() == IoKind.READ ? reads : writes, (completion.dueUs()
              - config
                  .startUs()) / 1_000_000, completion.latencyUs());
        }
      });
    }

    @Override
    public void run() {
      stats = loop.run(config.startUs(), (long) (config.scenario().seconds() * 1e6));
      log.add(ownLog);
      target.close();
    }
  }

  public LoadRun(Config config) throws IOException {
    this.config = config;
    for (OpenLoop.End end : OpenLoop.End.values()) {
      ends.put(end, new AtomicLong());
    }
    SplittableRandom random = new SplittableRandom(config.scenario().seed());
    int clientIndex = 0;
    for (Scenario.VolumeLoad load : config.scenario().volumes()) {
      int clientCount = config.scenario().clientCount(load);
      for (int index = 0; index < clientCount; index++) {
        long seed = random.nextLong();
        if (clientIndex++ % config.processes() == config.process()) {
          clients.add(new Client(load, index, clientCount, seed));
        }
      }
    }
  }

  /** Ends the schedule early; {@link #run} returns the results so far. */
  public void stop() {
    clients.forEach(c -> c.loop.stop());
  }

  /** Runs the schedule; returns after the last answer. */
  public Result run() throws InterruptedException {
    List<Thread> threads = clients.stream().map(client -> new Thread(client, "load")).toList();
    threads.forEach(Thread::start);
    for (Thread thread : threads) {
      thread.join();
    }
    Histogram lateness = new Histogram(60_000_000L, 3);
    long due = 0, answered = 0, waited = 0;
    for (Client client : clients) {
      if (client.stats == null) {
        throw new IllegalStateException("a client thread failed; see the log");
      }
      lateness.add(client.stats.lateness());
      due += client.stats.due();
      answered += client.stats.answered();
      waited += client.stats.waited();
    }
    Map<OpenLoop.End, Long> counted = new EnumMap<>(OpenLoop.End.class);
    ends.forEach((end, count) -> counted.put(end, count.get()));
    return new Result(log, counted, lateness, due, answered, waited, new OpenLoop.Stats(due, answered,
        lateness, waited)
        .valid(
            config.maxLatenessUs()));
  }

  /** A start time that leaves all clients enough time to start. */
  public static long nearFutureStartUs() {
    return Engine.monotonicMicros() + 200_000;
  }
}
