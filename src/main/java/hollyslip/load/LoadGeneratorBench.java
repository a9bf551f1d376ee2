package hollyslip.load;

import hollyslip.engine.Engine;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;

/** Measures how many arrivals per second the load generator sustains. The target is an echo, so all measured
 * lateness is the generator's own. */
public final class LoadGeneratorBench {
  private final int rounds, threads;
  private final double seconds;
  private final int[] rates;

  public LoadGeneratorBench(int rounds, double seconds, int threads, int[] rates) {
    this.rounds = rounds;
    this.seconds = seconds;
    this.threads = threads;
    this.rates = rates.clone();
  }

  /** Answers every request at the next poll. */
  private static final class Echo implements OpenLoop.Target {
    private final ArrayDeque<OpenLoop.ScheduledRequest> inFlight = new ArrayDeque<>();

    @Override
    public boolean submit(OpenLoop.ScheduledRequest request) {
      return inFlight.add(request);
    }

    @Override
    public void flush() {
      // Nothing is buffered.
    }

    @Override
    public int poll() {
      int n = inFlight.size();
      for (int i = 0; i < n; i++) {
        inFlight.poll().complete(OpenLoop.End.SERVED);
      }
      return n;
    }

    @Override
    public void awaitAnswers(long untilUs) {
      Thread.onSpinWait();
    }

    @Override
    public long now() {
      return Engine.monotonicMicros();
    }
  }

  /** Prints one row per rate and round. */
  public void run() throws InterruptedException {
    System.out.printf("%10s %8s %14s %14s %14s %8s%n", "due/s", "threads", "answered/s", "late p99 ms",
        "late p99.9 ms", "valid");
    for (int rate : rates) {
      for (int round = 0; round < rounds; round++) {
        measure(rate, round);
      }
    }
  }

  private void measure(int rate, int round) throws InterruptedException {
    Scenario.VolumeLoad load = new Scenario.VolumeLoad("v", "p", 64, rate, 0.5, 4, 64, threads,
        ArrivalProcess.Shape.POISSON, 0, 0, 0);
    long start = LoadRun.nearFutureStartUs();
    List<OpenLoop.Stats> stats = new ArrayList<>();
    List<Thread> threadList = new ArrayList<>();
    for (int t = 0; t < threads; t++) {
      long seed = 100L * round + t;
      LatencyLog log = new LatencyLog();
      OpenLoop loop = new OpenLoop(new ArrivalProcess(load.shape(), (double) rate / threads, seed),
          new RequestMix(
              load, t,
              threads, 64 << 20, seed), new Echo(), false, completion -> log.add("p", (completion.dueUs()
                  - start) / 1_000_000,
                  completion
                      .latencyUs()));
      Thread thread = new Thread(() -> {
        OpenLoop.Stats own = loop.run(start, (long) (seconds * 1e6));
        synchronized (stats) {
          stats.add(own);
        }
      });
      threadList.add(thread);
      thread.start();
    }
    for (Thread t : threadList) {
      t.join();
    }
    Histogram lateness = new Histogram(60_000_000L, 3);
    stats.forEach(s -> lateness.add(s.lateness()));
    long answered = stats.stream().mapToLong(OpenLoop.Stats::answered).sum();
    System.out.printf(Locale.ROOT, "%10d %8d %14.0f %14.3f %14.3f %8s%n", rate, threads, answered / seconds,
        lateness
            .getValueAtPercentile(99) / 1e3, lateness.getValueAtPercentile(99.9) / 1e3, lateness
                .getValueAtPercentile(
                    99.9) <= 1_000);
  }
}
