package hollyslip.load;

import hollyslip.gateway.Gateway;
import hollyslip.load.RingBench.StandinProcess;
import hollyslip.load.RingBench.Measurement;
import hollyslip.settings.Deployment;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;

/** Compares numbers of lanes (by default 1, 2, 4 and 8) under the same load: volumes of equal weight with one
 * client each, which submits as fast as requests are answered. */
public final class CoresBench {
  private static final int VOLUMES = 8, BLOCK = 4_096;
  private static final long BYTES = 2 << 20;
  private static final List<String> THREAD_NAME_PREFIXES = List.of("engine", "node-io");

  private final int rounds;
  private final double seconds;
  private final int depth;
  private final int nodes;
  private final int[] laneCounts;

  /** @param rounds
   *          rounds of each measurement; medians are printed
   * @param seconds
   *          duration of one measurement
   * @param depth
   *          outstanding requests of each client
   * @param nodes
   *          number of stand-ins
   * @param laneCounts
   *          lane counts to compare */
  public CoresBench(int rounds, double seconds, int depth, int nodes, int[] laneCounts) {
    this.rounds = rounds;
    this.seconds = seconds;
    this.depth = depth;
    this.nodes = nodes;
    this.laneCounts = laneCounts.clone();
  }

  /** Totals over all clients: requests per second, the latencies of the worst client, and the smallest rate
   * of a volume relative to the mean. */
  private record Total(double rate, double p50, double p99, double p999, double minShare,
      double[] busyCores) {
    static Total of(List<Measurement> measurements, double[] busy) {
      double rate = measurements.stream().mapToDouble(Measurement::rate).sum();
      return new Total(rate, max(measurements, Measurement::p50), max(measurements, Measurement::p99), max(
          measurements,
          Measurement::p999), measurements.stream()
              .mapToDouble(Measurement::rate)
              .min()
              .orElseThrow() * measurements.size() / rate, busy);
    }

    private static double max(List<Measurement> measurements,
        java.util.function.ToDoubleFunction<Measurement> figure) {
      return measurements.stream().mapToDouble(figure).max().orElseThrow();
    }
  }

  /** Runs the measurements and prints the table. */
  public void run() throws Exception {
    System.out.printf("%-6s %12s %10s %10s %10s %18s %8s %8s%n", "lanes", "requests/s", "p50 us",
        "p99 us",
        "p99.9 us", "least of a volume", "engines", "node-io");
    List<List<Total>> totalsByLaneCount = new ArrayList<>();
    IntStream.range(0, laneCounts.length).forEach(i -> totalsByLaneCount.add(new ArrayList<>()));
    for (int round = 0; round < rounds; round++) {
      for (int i = 0; i < laneCounts.length; i++) {
        totalsByLaneCount.get(i).add(measure(laneCounts[i]));
      }
    }
    for (int i = 0; i < laneCounts.length; i++) {
      List<Total> totals = totalsByLaneCount.get(i);
      System.out.printf(Locale.ROOT, "%-6d %12.0f %10.1f %10.1f %10.1f %18.2f %8.1f %8.1f%n", laneCounts[i],
          median(totals,
              Total::rate),
          median(totals, Total::p50), median(totals, Total::p99), median(totals, Total::p999), median(totals,
              Total::minShare),
          median(totals,
              x -> x.busyCores[0]),
          median(totals, x -> x.busyCores[1]));
    }
  }

  private static double median(List<Total> totals, java.util.function.ToDoubleFunction<Total> figure) {
    double[] sorted = totals.stream().mapToDouble(figure).sorted().toArray();
    return sorted[sorted.length / 2];
  }

  /** Number of cores kept busy by the gateway's engine and node I/O threads. */
  private static double[] busyCores(long wallNs) {
    java.lang.management.ThreadMXBean bean = java.lang.management.ManagementFactory.getThreadMXBean();
    double[] cores = new double[THREAD_NAME_PREFIXES.size()];
    for (java.lang.management.ThreadInfo thread : bean.getThreadInfo(bean.getAllThreadIds())) {
      for (int group = 0; thread != null && group < cores.length; group++) {
        if (thread.getThreadName().startsWith(THREAD_NAME_PREFIXES.get(group))) {
          cores[group] += (double) bean.getThreadCpuTime(thread.getThreadId()) / wallNs;
        }
      }
    }
    return cores;
  }

  private Total measure(int cores) throws Exception {
    Path dir = Files.createTempDirectory("hollyslip-bench-");
    List<StandinProcess> standins = new ArrayList<>();
    try {
      for (int i = 0; i < nodes; i++) {
        standins.add(new StandinProcess("node-" + i));
      }
      StringBuilder volumes = new StringBuilder();
      for (int volume = 0; volume < VOLUMES; volume++) {
        volumes.append(String.format(
            "volume('v%d', tenant = 't%d', plan = 'p', size = 2 * MiB, extent = 64 * "
                + "KiB, shards = list(range(%d)), at = %d * MiB)%n", volume, volume, nodes, 2 * volume
                    / nodes));
      }
      Deployment deployment = BenchDeployment.load(dir, standins.stream()
          .mapToInt(standin -> standin.address.getPort())
          .toArray(),
          ", cores = " + cores, volumes.toString());
      Gateway gateway = new Gateway(deployment);
      Measurement[] measurements = new Measurement[VOLUMES];
      Thread[] clients = new Thread[VOLUMES];
      for (int volume = 0; volume < VOLUMES; volume++) {
        int index = volume;
        clients[volume] = new Thread(() -> {
          try {
            measurements[index] = RingBench.measureRingBlocking("v" + index, gateway.socketPath("v" + index),
                depth, BLOCK, seconds,
                BYTES,
                gateway
                    .lanes()::totals);
          } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
          }
        });
        clients[volume].start();
      }
      long startNs = System.nanoTime();
      for (Thread client : clients) {
        client.join();
      }
      double[] busy = busyCores(System.nanoTime() - startNs);
      gateway.close();
      return Total.of(Arrays.asList(measurements), busy);
    } finally {
      standins.forEach(StandinProcess::close);
    }
  }
}
