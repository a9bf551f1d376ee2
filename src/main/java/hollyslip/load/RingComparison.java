package hollyslip.load;

import hollyslip.TokenBorrowingScheduler;
import hollyslip.HostScheduler.Result;
import hollyslip.engine.Attempt;
import hollyslip.engine.Engine;
import hollyslip.engine.NodeTransport;
import hollyslip.front.vhost.VhostServer;
import hollyslip.gateway.Gateway;
import hollyslip.load.RingBench.StandinProcess;
import hollyslip.load.RingBench.Measurement;
import hollyslip.settings.Deployment;
import hollyslip.volume.RequestClassifier;
import hollyslip.volume.ExtentSplitter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Compares the path from ring through gateway to node with the node client alone and with the ring alone. */
public final class RingComparison {
  private static final long BYTES = 16 << 20;

  private final int rounds;
  private final double seconds;
  private final int nodes;
  private final int[] depths;
  private final int block;
  private final List<String> paths;

  /** @param rounds
   *          rounds of each measurement; medians are printed
   * @param seconds
   *          duration of one measurement, after a warm-up of half that time
   * @param nodes
   *          number of stand-ins behind the gateway
   * @param depths
   *          numbers of outstanding requests
   * @param block
   *          bytes of a read
   * @param paths
   *          any of echo, direct and gateway */
  public RingComparison(int rounds, double seconds, int nodes, int[] depths, int block, List<String> paths) {
    this.rounds = rounds;
    this.seconds = seconds;
    this.nodes = nodes;
    this.depths = depths.clone();
    this.block = block;
    this.paths = List.copyOf(paths);
  }

  /** Runs the measurements and prints the table. */
  public void run() throws Exception {
    Path dir = Files.createTempDirectory("hollyslip-bench-");
    List<StandinProcess> standins = new ArrayList<>();
    try {
      for (int i = 0; i < nodes; i++) {
        standins.add(new StandinProcess("node-" + i));
      }
      Deployment deployment = BenchDeployment.load(dir, standins.stream()
          .mapToInt(standin -> standin.address.getPort())
          .toArray(),
          "",
          String.format(
              "volume('v', plan = 'p', size = 16 * MiB, extent = %d, shards = list(range(%d)), at = 0)%n",
              Math
                  .max(64 << 10, block), nodes));
      Gateway gateway = new Gateway(deployment);
      Engine echoEngine = startEchoEngine(deployment);
      VhostServer echoFront = new VhostServer(echoEngine, new hollyslip.front.vhost.Acceptor(), "v", dir
          .resolve(
              "echo.sock"), VhostServer.ANY_USER);
      Map<String, List<Measurement>> rows = new HashMap<>();
      for (int round = 0; round < rounds; round++) {
        for (int depth : depths) {
          for (String path : paths) {
            add(rows, switch (path) {
              case "echo" -> RingBench.measureRing(path, echoFront.path(), depth, block, seconds, BYTES,
                  echoEngine::totals);
              case "direct" -> RingBench.measureNodeClient(standins.get(0).address, depth, block, seconds,
                  BYTES);
              default -> RingBench.measureRing(path, gateway.socketPath("v"), depth, block, seconds, BYTES,
                  gateway
                      .lanes()::totals);
            });
          }
        }
      }
      print(rows);
      echoFront.close();
      echoEngine.stop().get();
      gateway.close();
    } finally {
      standins.forEach(StandinProcess::close);
    }
  }

  private static void add(Map<String, List<Measurement>> rows, Measurement row) {
    rows.computeIfAbsent(row.path() + row.depth(), k -> new ArrayList<>()).add(row);
  }

  private void print(Map<String, List<Measurement>> rows) {
    System.out.printf("%-8s %6s %10s %9s %9s %9s %11s %11s %8s%n", "path", "depth", "requests/s", "p50 us",
        "p99 us", "p99.9 us", "bytes/req", "module ns", "/direct");
    for (int depth : depths) {
      List<Measurement> baseline = rows.get("direct" + depth);
      double directRate = baseline == null ? Double.NaN : Measurement.median(baseline).rate();
      for (String path : paths) {
        Measurement median = Measurement.median(rows.get(path + depth));
        System.out.printf(Locale.ROOT, "%-8s %6d %10.0f %9.1f %9.1f %9.1f %11.0f %11.0f %8.2f%n", path, depth,
            median.rate(), median.p50(), median.p99(), median.p999(), median.allocated(), median.moduleNs(),
            median.rate() / directRate);
      }
    }
  }

  /** Starts an engine whose nodes answer at once without transferring bytes, to measure the cost of ring,
   * engine and scheduler. */
  private static Engine startEchoEngine(Deployment deployment) {
    Engine engine = new Engine(new Engine.Config(deployment.schedulerSettings(), new RequestClassifier(
        deployment.classificationRules(),
        deployment.gateway()
            .unitBytes(), deployment
                .store()
                .maxUnits()), new ExtentSplitter(1 << 20), 65_536, 1 << 30, 0), deployment.volumesByName(),
        new TokenBorrowingScheduler(deployment.schedulerSettings()));
    engine.start(new NodeTransport() {
      @Override
      public void send(Attempt attempt) {
        engine.attemptEnded(attempt, Result.OK, null);
      }

      @Override
      public WithdrawResult withdraw(Attempt attempt) {
        return WithdrawResult.ENDED;
      }

      @Override
      public void fence(Attempt attempt) {}

      @Override
      public void probe(long node) {}

      @Override
      public void flush() {}

      @Override
      public void watchNodeList() {}

      @Override
      public void close() {}
    });
    engine.updateNodes(new hollyslip.HostScheduler.NodeList(true, deployment.nodes()
        .stream()
        .map(Deployment.Node::toNodeEntry)
        .toList()));
    return engine;
  }
}
