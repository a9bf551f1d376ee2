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

/** Runs the clients of a {@link Day} against running gateways on open-loop schedules, with one thread per
 * client. Several processes can share a scenario: each runs every n-th client of the same schedule. */
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
  public record Config(Day day, List<Path> socketDirs, int process, int processes, long startUs,
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

    Client(Day.VolumeLoad v, int number, int all, long seed) throws IOException {
      Path socket = config.socketDirs()
          .get(config.day().gatewayOf(v, number) % config.socketDirs().size())
          .resolve(v.volume() + ".sock");
      target = new RingTarget(socket, v.depth(), v.maxBlocks() * 4_096);
      SplittableRandom seeds = new SplittableRandom(seed);
      RequestMix mix = new RequestMix(v, number, all, (long) v.sizeMib() << 20, seeds.nextLong());
      ArrivalProcess arrivals = new ArrivalProcess(v.shape(), v.rate() / all, seeds.nextLong());
      String reads = v.plan() + ".read";
      String writes = v.plan() + ".write";
      loop = new OpenLoop(arrivals, mix, target, config.closedLoop(), d -> {
        ends.get(d.end()).incrementAndGet();
        if (d.end() == OpenLoop.End.SERVED) {
          ownLog.add(d.operation().kind() == IoKind.READ ? reads : writes, (d.dueUs() - config
              .startUs()) / 1_000_000, d.latencyUs());
        }
      });
    }

    @Override
    public void run() {
      stats = loop.run(config.startUs(), (long) (config.day().seconds() * 1e6));
      log.add(ownLog);
      target.close();
    }
  }

  public LoadRun(Config config) throws IOException {
    this.config = config;
    for (OpenLoop.End e : OpenLoop.End.values()) {
      ends.put(e, new AtomicLong());
    }
    SplittableRandom random = new SplittableRandom(config.day().seed());
    int n = 0;
    for (Day.VolumeLoad v : config.day().volumes()) {
      int all = config.day().clientCount(v);
      for (int c = 0; c < all; c++) {
        long seed = random.nextLong();
        if (n++ % config.processes() == config.process()) {
          clients.add(new Client(v, c, all, seed));
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
    List<Thread> threads = clients.stream().map(c -> new Thread(c, "load")).toList();
    threads.forEach(Thread::start);
    for (Thread t : threads) {
      t.join();
    }
    Histogram lateness = new Histogram(60_000_000L, 3);
    long due = 0, got = 0, waited = 0;
    for (Client c : clients) {
      if (c.stats == null) {
        throw new IllegalStateException("a client ended with a fault; see the log");
      }
      lateness.add(c.stats.lateness());
      due += c.stats.due();
      got += c.stats.answered();
      waited += c.stats.waited();
    }
    Map<OpenLoop.End, Long> counted = new EnumMap<>(OpenLoop.End.class);
    ends.forEach((e, count) -> counted.put(e, count.get()));
    return new Result(log, counted, lateness, due, got, waited, new OpenLoop.Stats(due, got, lateness, waited)
        .valid(
            config.maxLatenessUs()));
  }

  /** A start time that leaves all clients enough time to start. */
  public static long soon() {
    return Engine.monotonicMicros() + 200_000;
  }
}
