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
      for (int held : new int[]{10, 1_000, 10_000}) {
        double[] took = new double[rounds];
        for (int i = 0; i < rounds; i++) {
          took[i] = measure(volumes, held);
        }
        java.util.Arrays.sort(took);
        System.out.printf(Locale.ROOT, "%-10d %10d %12.0f%n", volumes, held, took[rounds / 2]);
      }
    }
  }

  /** Adds one request per answer, so that the number of waiting requests stays constant. */
  private static double measure(int volumes, int held) throws IOException {
    TokenBorrowingScheduler choice = new TokenBorrowingScheduler(BenchDeployment.load(Files
        .createTempDirectory(
            "hollyslip-bench-"), new int[]{1, 2},
        ", hosted = True", "").module());
    List<HostScheduler.Action> actions = new ArrayList<>();
    ArrayDeque<HostScheduler.Send> out = new ArrayDeque<>();
    long now = 1_000_000;
    choice.handle(now, new HostScheduler.NodeList(true, List.of(new NodeEntry(1, "a", 0, NodeState.ON, 0),
        new NodeEntry(2, "a", 1, NodeState.ON, 0))), actions::add);
    long id = 0;
    long from = 0;
    for (int i = -held; i < 2 * MEASURED_REQUESTS; i++) {
      if (i == MEASURED_REQUESTS) {
        from = System.nanoTime();
      }
      now += 10;
      actions.clear();
      if (i >= 0 && !out.isEmpty()) {
        HostScheduler.Send s = out.poll();
        choice.handle(now, new HostScheduler.AttemptEnded(s.request(), 0, s.node(), HostScheduler.Result.OK,
            true,
            200, 0, 0, null), actions::add);
      }
      long r = id++;
      choice.handle(now, new HostScheduler.Request(r, "any", "p", r, r % volumes, 1, (int) (r & 1), 1,
          3_600_000_000L, false), actions::add);
      for (HostScheduler.Action a : actions) {
        if (a instanceof HostScheduler.Send s) {
          out.add(s);
        }
      }
    }
    double ns = (double) (System.nanoTime() - from) / MEASURED_REQUESTS;
    java.lang.ref.Reference.reachabilityFence(choice);
    return ns;
  }
}
