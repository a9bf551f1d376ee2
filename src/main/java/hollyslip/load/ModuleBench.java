package hollyslip.load;

import hollyslip.TokenBorrowingScheduler;
import hollyslip.HostScheduler;
import hollyslip.HostScheduler.NodeEntry;
import hollyslip.HostScheduler.NodeState;
import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Measures the cost of a request in the scheduler alone, by the number of requests waiting in it. */
public final class ModuleBench {
  private static final int MEASURED_REQUESTS = 200_000;

  private final int rounds;

  /** @param rounds
   *          rounds of each measurement; medians are printed */
  public ModuleBench(int rounds) {
    this.rounds = rounds;
  }

  /** Runs the measurements and prints the table. */
  public void run() throws IOException {
    System.out.printf("%-10s %10s %12s%n", "volumes", "held", "ns/request");
    for (int volumes : new int[]{1, 50}) {
      for (int queued : new int[]{10, 1_000, 10_000}) {
        double[] nsPerRequest = new double[rounds];
        for (int i = 0; i < rounds; i++) {
          nsPerRequest[i] = measure(volumes, queued);
        }
        java.util.Arrays.sort(nsPerRequest);
        System.out.printf(Locale.ROOT, "%-10d %10d %12.0f%n", volumes, queued, nsPerRequest[rounds / 2]);
      }
    }
  }

  /** Adds one request per answer, so that the number of waiting requests stays constant. */
  private static double measure(int volumes, int queued) throws IOException {
    TokenBorrowingScheduler scheduler = new TokenBorrowingScheduler(BenchDeployment.load(Files
        .createTempDirectory(
            "hollyslip-bench-"), new int[]{1, 2},
        ", hosted = True", "").schedulerSettings());
    List<HostScheduler.Action> actions = new ArrayList<>();
    ArrayDeque<HostScheduler.Send> inFlight = new ArrayDeque<>();
    long nowUs = 1_000_000;
    scheduler.handle(nowUs, new HostScheduler.NodeList(true, List.of(new NodeEntry(1, "a", 0, NodeState.ON,
        0),
        new NodeEntry(2, "a", 1, NodeState.ON, 0))), actions::add);
    long nextId = 0;
    long startNs = 0;
    for (int i = -queued; i < 2 * MEASURED_REQUESTS; i++) {
      if (i == MEASURED_REQUESTS) {
        startNs = System.nanoTime();
      }
      nowUs += 10;
      actions.clear();
      if (i >= 0 && !inFlight.isEmpty()) {
        HostScheduler.Send send = inFlight.poll();
        scheduler.handle(nowUs, new HostScheduler.AttemptEnded(send.request(), 0, send.node(),
            HostScheduler.Result.OK,
            true,
            200, 0, 0, null), actions::add);
      }
      long requestId = nextId++;
      scheduler.handle(nowUs, new HostScheduler.Request(requestId, "any", "p", requestId, requestId % volumes,
          1, (int) (requestId & 1), 1,
          3_600_000_000L, false), actions::add);
      for (HostScheduler.Action action : actions) {
        if (action instanceof HostScheduler.Send send) {
          inFlight.add(send);
        }
      }
    }
    double ns = (double) (System.nanoTime() - startNs) / MEASURED_REQUESTS;
    java.lang.ref.Reference.reachabilityFence(scheduler);
    return ns;
  }
}
