package hollyslip.cli;

import hollyslip.Choice;
import hollyslip.HostScheduler.Result;
import hollyslip.engine.Attempt;
import hollyslip.engine.Engine;
import hollyslip.engine.NodePort;
import hollyslip.front.vhost.VhostServer;
import hollyslip.load.RingBench;
import hollyslip.load.RingBench.Node;
import hollyslip.load.RingBench.Row;
import hollyslip.settings.Deployment;
import hollyslip.settings.Loader;
import hollyslip.volume.Classifier;
import hollyslip.volume.Splitter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Ring to gateway to node, against the node alone and against the ring alone. */
@Command(name = "ring", mixinStandardHelpOptions = true, description = "Reads of 4 KiB, medians of rounds taken in turn: ring to gateway to stand-in; the node client straight to the same stand-in; ring to gateway with an echo in place of nodes.")
final class BenchRing implements Callable<Integer> {
  private static final long BYTES = 16 << 20;

  @Option(names = "--rounds", defaultValue = "3", description = "rounds")
  int rounds;
  @Option(names = "--seconds", defaultValue = "2", description = "seconds of one measurement, after half of that to warm up")
  double seconds;
  @Option(names = "--nodes", defaultValue = "2", description = "stand-ins behind the gateway")
  int nodes;
  @Option(names = "--depths", split = ",", defaultValue = "1,32,256", description = "requests out at a time")
  int[] depths;

  @Override
  public Integer call() throws Exception {
    Logs.to(Logs.Form.text, ch.qos.logback.classic.Level.WARN);
    Path dir = Files.createTempDirectory("hollyslip-bench-");
    List<Node> started = new ArrayList<>();
    try {
      for (int i = 0; i < nodes; i++) {
        started.add(new Node("node-" + i));
      }
      Deployment d = deployment(dir, started);
      Gateway gateway = new Gateway(d);
      Engine echo = echo(d);
      VhostServer echoFront = new VhostServer(echo, new hollyslip.front.vhost.Acceptor(), "v", dir.resolve(
          "echo.sock"), VhostServer.ANYBODY);
      Map<String, List<Row>> rows = new HashMap<>();
      for (int round = 0; round < rounds; round++) {
        for (int depth : depths) {
          add(rows, RingBench.ring("echo", echoFront.path(), depth, seconds, BYTES, echo));
          add(rows, RingBench.direct(started.get(0).address, depth, seconds, BYTES));
          add(rows, RingBench.ring("gateway", gateway.socket("v"), depth, seconds, BYTES, gateway.engine()));
        }
      }
      print(rows);
      echoFront.close();
      echo.stop().get();
      gateway.close();
    } finally {
      started.forEach(Node::close);
    }
    return Main.DONE;
  }

  private static void add(Map<String, List<Row>> rows, Row row) {
    rows.computeIfAbsent(row.path() + row.depth(), k -> new ArrayList<>()).add(row);
  }

  private void print(Map<String, List<Row>> rows) {
    System.out.printf("%-8s %6s %10s %9s %9s %9s %11s %11s %8s%n", "path", "depth", "requests/s", "p50 us",
        "p99 us", "p99.9 us", "bytes/req", "module ns", "/direct");
    for (int depth : depths) {
      double direct = Row.median(rows.get("direct" + depth)).rate();
      for (String path : List.of("echo", "direct", "gateway")) {
        Row r = Row.median(rows.get(path + depth));
        System.out.printf(Locale.ROOT, "%-8s %6d %10.0f %9.1f %9.1f %9.1f %11.0f %11.0f %8.2f%n", path, depth,
            r.rate(), r.p50(), r.p99(), r.p999(), r.allocated(), r.moduleNs(), r.rate() / direct);
      }
    }
  }

  private static Deployment deployment(Path dir, List<Node> nodes) throws IOException {
    StringBuilder s = new StringBuilder(
        """
            gateway("bench", socket_dir = "run", state_dir = "state", unit_bytes = 4 * KiB)
            rules(drain_grace = seconds(1), cold_from = 0.2, cold = seconds(5), fall_multiple = 3, fall = seconds(2), settle = ms(300))
            store(mean_units = 1, most_units = 256)
            request_class("any", kinds = ["read", "write", "flush", "discard", "write_zeroes"], effect = "safe", aim = ms(250), deadline = seconds(5))
            plan("p", rate = 1e6, reserve = 1e6, weight = 1)
            """);
    for (int i = 0; i < nodes.size(); i++) {
      s.append(String.format("node('n-%d', port = %d, shard = %d)%n", i, nodes.get(i).address.getPort(), i));
    }
    s.append(String.format(
        "volume('v', plan = 'p', size = 16 * MiB, extent = 64 * KiB, shards = list(range(%d)), at = 0)%n",
        nodes.size()));
    Loader.Loaded loaded = Loader.load(Files.writeString(dir.resolve("bench.star"), s));
    if (!loaded.faults().isEmpty()) {
      throw new IOException(loaded.faults().toString());
    }
    return loaded.deployment();
  }

  /** An engine whose nodes answer at once without any bytes: what ring, engine and module cost. */
  private static Engine echo(Deployment d) {
    Engine e = new Engine(new Engine.Config(d.module(), new Classifier(d.rows(), d.gateway().unitBytes(), d
        .store()
        .mostUnits()), new Splitter(1 << 20), 65_536, 1 << 30), d.byName(), new Choice(d.module()));
    e.start(new NodePort() {
      @Override
      public void send(Attempt attempt) {
        e.outcome(attempt, Result.OK, null);
      }

      @Override
      public Withdrawn withdraw(Attempt attempt) {
        return Withdrawn.ENDED;
      }

      @Override
      public void fence(Attempt attempt) {}

      @Override
      public void probe(long node) {}

      @Override
      public void flush() {}

      @Override
      public void watch() {}

      @Override
      public void close() {}
    });
    e.nodes(new hollyslip.HostScheduler.NodeList(true, d.nodes()
        .stream()
        .map(Deployment.Node::listed)
        .toList()));
    return e;
  }
}
