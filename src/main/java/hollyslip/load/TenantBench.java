package hollyslip.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import hollyslip.TokenBorrowingScheduler;
import hollyslip.HostScheduler;
import hollyslip.HostScheduler.NodeEntry;
import hollyslip.HostScheduler.NodeState;
import hollyslip.admin.ApiClient;
import hollyslip.admin.Provisioner;
import hollyslip.admin.ControlPlane;
import hollyslip.gateway.Gateway;
import hollyslip.load.RingBench.StandinProcess;
import hollyslip.load.RingBench.Measurement;
import hollyslip.settings.Deployment;
import hollyslip.store.FileSystemDirectory;
import hollyslip.tenant.HostedVolume;
import hollyslip.tenant.Shard;
import hollyslip.tenant.Tenant;
import hollyslip.tenant.Terms;
import hollyslip.tenant.Specs;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.HdrHistogram.Histogram;

/** Measures the cost of tenants: changes during traffic, a neighbour that floods, recovery from the store,
 * and the scheduler with many volumes. */
public final class TenantBench {
  private static final long BYTES = 4 << 20;
  private static final int BLOCK = 4_096;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final int rounds;
  private final double seconds;

  /** @param rounds
   *          rounds of each measurement
   * @param seconds
   *          duration of one measurement */
  public TenantBench(int rounds, double seconds) {
    this.rounds = rounds;
    this.seconds = seconds;
  }

  /** Runs the measurements and prints the tables. */
  public void run() throws Exception {
    Path dir = Files.createTempDirectory("hollyslip-bench-");
    measureModule();
    measureRecovery(dir);
    measureTraffic(dir);
  }

  // Scheduler alone.

  private static HostScheduler.Settings settings(Path dir) throws IOException {
    return deployment(dir, 1, 2).schedulerSettings();
  }

  private void measureModule() throws IOException {
    System.out.printf("%-24s %12s %14s%n", "module, volumes", "ns/request", "bytes/volume");
    for (int round = 0; round < rounds; round++) {
      for (int volumes : new int[]{10, 50_000}) {
        measure(volumes);
      }
    }
  }

  private void measure(int volumes) throws IOException {
    TokenBorrowingScheduler scheduler = new TokenBorrowingScheduler(settings(Files.createTempDirectory(
        "hollyslip-bench-")));
    long[] nowUs = {1_000_000};
    List<HostScheduler.Action> actions = new ArrayList<>();
    scheduler.handle(nowUs[0], new HostScheduler.NodeList(true, List.of(new NodeEntry(1, "a", 0, NodeState.ON,
        0),
        new NodeEntry(2, "a", 1, NodeState.ON, 0))), actions::add);
    System.gc();
    long heapBefore = usedHeapBytes();
    HostScheduler.Plan plan = new HostScheduler.Plan("p", 10, 1, 1, 1, 0, 0, 0);
    for (int v = 0; v < volumes; v++) {
      scheduler.handle(nowUs[0], new HostScheduler.VolumeChanged(v, 1, plan, 1 + v / 5, 1), actions::add);
    }
    SplittableRandom random = new SplittableRandom(1);
    long nextId = 0;
    long startNs = 0;
    int measuredRequests = 400_000;
    for (int i = 0; i < measuredRequests * 2; i++) {
      if (i == measuredRequests) {
        startNs = System.nanoTime();
      }
      nowUs[0] += 20;
      actions.clear();
      long requestId = nextId++;
      scheduler.handle(nowUs[0], new HostScheduler.Request(requestId, "any", "p", requestId, random.nextInt(
          volumes), 1, (int) (requestId
              & 1), 1, 5_000_000, false), actions::add);
      for (HostScheduler.Action action : List.copyOf(actions)) {
        if (action instanceof HostScheduler.Send send) {
          scheduler.handle(nowUs[0] + 5, new HostScheduler.AttemptEnded(send.request(), 0, send.node(),
              HostScheduler.Result.OK, true, 100, 0, 0, null), actions::add);
        }
      }
    }
    long tookNs = System.nanoTime() - startNs;
    System.gc();
    System.out.printf(Locale.ROOT, "%-24d %12.0f %14.0f%n", volumes, (double) tookNs / measuredRequests,
        volumes < 100
            ? 0
            : (double) (usedHeapBytes() - heapBefore) / volumes);
    java.lang.ref.Reference.reachabilityFence(scheduler);
  }

  private static long usedHeapBytes() {
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  // Store.

  private static final class NoOpCarrier implements Provisioner {
    @Override
    public CompletableFuture<Void> serve(HostedVolume v, Tenant t, HostScheduler.VolumeChanged terms) {
      return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> drain(HostedVolume v, Tenant t) {
      return CompletableFuture.completedFuture(null);
    }

    @Override
    public void setNodeState(String name, NodeState state) {}

    @Override
    public Map<String, NodeView> nodes() {
      return Map.of();
    }
  }

  private static ControlPlane control(Path dir) throws IOException {
    List<Shard> shards = new ArrayList<>();
    for (int i = 0; i < 36; i++) {
      shards.add(new Shard(i, "zone-" + i % 3, 1e7, 1L << 40, List.of()));
    }
    return new ControlPlane(new FileSystemDirectory(dir), shards, 1 << 20, 1, new NoOpCarrier(),
        System::currentTimeMillis);
  }

  private void measureRecovery(Path dir) throws Exception {
    System.out.printf("%n%-24s %10s %12s %14s %14s%n", "store", "volumes", "made/s", "log, ms",
        "snapshot, ms");
    for (int tenants : new int[]{10, 1_000, 10_000}) {
      Path folder = dir.resolve("store-" + tenants);
      ControlPlane control = control(folder);
      long startNs = System.nanoTime();
      control.execute((r, at) -> r.createPlan(at, "bench", new Specs.PlanSpec("p", new Terms(10, 1, 1, 1, 0,
          0,
          0))),
          r -> null).join();
      List<CompletableFuture<Object>> commands = new ArrayList<>();
      for (int t = 0; t < tenants; t++) {
        String name = "t" + t;
        commands.add(control.execute((r, at) -> r.createTenant(at, "bench", new Specs.TenantSpec(name, 1,
            new Tenant.Quota(
                100, 1L << 40, 100), Map.of())), r -> null));
        for (int v = 0; v < 5; v++) {
          String volume = "v" + v;
          commands.add(control.execute((r, at) -> r.createVolume(at, "bench", name, new Specs.VolumeSpec(
              volume,
              "p", null,
              16 << 20, 4 << 20)), r -> null));
        }
      }
      commands.forEach(CompletableFuture::join);
      double rate = commands.size() / ((System.nanoTime() - startNs) / 1e9);
      control.close();
      double log = openMillis(folder, true);
      double snapshot = openMillis(folder, false);
      System.out.printf(Locale.ROOT, "%-24s %10d %12.0f %14.0f %14.0f%n", tenants + " tenants", tenants * 5,
          rate, log, snapshot);
    }
  }

  /** Time to load the registry, ms; takes a snapshot afterwards if {@code takeSnapshot} is set. */
  private static double openMillis(Path folder, boolean takeSnapshot) throws IOException {
    long startNs = System.nanoTime();
    ControlPlane control = control(folder);
    double ms = (System.nanoTime() - startNs) / 1e6;
    if (takeSnapshot) {
      control.takeSnapshot().join();
    }
    control.close();
    return ms;
  }

  // Over sockets.

  private static Deployment deployment(Path dir, int... ports) throws IOException {
    return BenchDeployment.load(dir, ports, ", hosted = True", "");
  }

  private static void request(ApiClient api, String method, String path, String body) throws IOException {
    ApiClient.Response answer = api.send(method, path, JSON.readTree(body.replace('\'', '"')), Map.of(
        "If-Match",
        "*"));
    if (!answer.isSuccess()) {
      throw new IOException(path + ": " + answer);
    }
  }

  private void measureTraffic(Path dir) throws Exception {
    List<StandinProcess> nodes = List.of(new StandinProcess("node-0"), new StandinProcess("node-1"));
    Gateway gateway = new Gateway(deployment(dir, nodes.stream()
        .mapToInt(standin -> standin.address.getPort())
        .toArray()));
    String token = Files.readString(dir.resolve("state/operator.token")).trim();
    try (ApiClient api = ApiClient.connect(dir.resolve("run/admin.sock"), token)) {
      long uid = ((Number) Files.getAttribute(Path.of("/proc/self"), "unix:uid")).longValue();
      request(api, "POST", "/v1/plans", "{'name':'p','reserve':100,'weight':1}");
      for (String tenant : List.of("a", "b")) {
        request(api, "POST", "/v1/tenants", "{'name':'" + tenant
            + "','quota':{'reserve':200,'bytes':16777216},'members':{'me':" + uid + "}}");
        request(api, "POST", "/v1/tenants/" + tenant + "/volumes",
            "{'name':'v','plan':'p','bytes':4194304,'extent_bytes':65536}");
      }
      for (String tenant : List.of("a", "b")) {
        while (!api.send("GET", "/v1/tenants/" + tenant + "/volumes/v", null, Map.of())
            .body()
            .get("phase")
            .asText()
            .equals("active")) {
          Thread.onSpinWait();
        }
      }
      System.out.printf("%n%-34s %8s %10s %9s %9s %11s %12s%n", "requests of b, 4 KiB reads", "depth",
          "requests/s", "p50 us", "p99 us", "changes/s", "change p99");
      for (int round = 0; round < rounds; round++) {
        print("alone", RingBench.measureRing("b", gateway.socketPath("b", "v"), 4, BLOCK, seconds, BYTES,
            gateway
                .lanes()::totals), 4,
            null, 0);
        measureDuringChanges(gateway, api);
        measureDuringFlood(gateway);
      }
    }
    gateway.close();
    nodes.forEach(StandinProcess::close);
  }

  private static void print(String label, Measurement measurement, int depth, Histogram changes,
      double changeSeconds) {
    System.out.printf(Locale.ROOT, "%-34s %8d %10.0f %9.1f %9.1f %11s %12s%n", label, depth, measurement
        .rate(), measurement.p50(),
        measurement.p99(), changes == null
            ? "-"
            : String.format(Locale.ROOT, "%.0f", changes.getTotalCount() / changeSeconds), changes == null
                ? "-"
                : changes.getValueAtPercentile(99) + " us");
  }

  /** Measures tenant b while an administrator changes tenant a, one change after the other. */
  private void measureDuringChanges(Gateway gateway, ApiClient api) throws Exception {
    Histogram changeLatencies = new Histogram(60_000_000, 3);
    boolean[] stopped = new boolean[1];
    long startNs = System.nanoTime();
    Thread administrator = new Thread(() -> {
      for (int i = 0; !stopped[0]; i++) {
        long startedAt = System.nanoTime();
        try {
          request(api, "PATCH", "/v1/tenants/a", "{'weight':" + (1 + i % 7) + "}");
        } catch (IOException e) {
          throw new java.io.UncheckedIOException(e);
        }
        changeLatencies.recordValue((System.nanoTime() - startedAt) / 1_000);
      }
    });
    administrator.start();
    Measurement measurement = RingBench.measureRing("b", gateway.socketPath("b", "v"), 4, BLOCK, seconds,
        BYTES,
        gateway
            .lanes()::totals);
    stopped[0] = true;
    administrator.join();
    print("while tenant a is changed", measurement, 4, changeLatencies, (System.nanoTime() - startNs) / 1e9);
  }

  /** Measures tenant b while tenant a keeps its rings full. */
  private void measureDuringFlood(Gateway gateway) throws Exception {
    Measurement[] flood = new Measurement[1];
    Thread flooder = new Thread(() -> {
      try {
        flood[0] = RingBench.measureRing("a", gateway.socketPath("a", "v"), 256, BLOCK, seconds * 1.5, BYTES,
            gateway
                .lanes()::totals);
      } catch (Exception e) {
        throw new IllegalStateException(e);
      }
    });
    flooder.start();
    Measurement measurement = RingBench.measureRing("b", gateway.socketPath("b", "v"), 4, BLOCK, seconds,
        BYTES,
        gateway
            .lanes()::totals);
    flooder.join();
    print("while tenant a keeps 256 out", measurement, 4, null, 0);
  }
}
