package hollyslip.load;

import com.sun.management.ThreadMXBean;
import hollyslip.engine.Engine;
import hollyslip.node.DirectNbdClient;
import hollyslip.volume.IoKind;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;

/** Measures reads at a constant queue depth, through a ring or with the node client alone. */
public final class RingBench {
  /** One measurement: requests per second, latencies in us, and allocated bytes and scheduler time in ns per
   * request. */
  public record Measurement(String path, int depth, double rate, double p50, double p99, double p999,
      double allocated, double moduleNs) {
    /** Median of each figure. */
    public static Measurement median(List<Measurement> measurements) {
      Measurement first = measurements.get(0);
      return new Measurement(first.path, first.depth, median(measurements, Measurement::rate), median(
          measurements,
          Measurement::p50), median(measurements, Measurement::p99),
          median(measurements, Measurement::p999), median(measurements, Measurement::allocated), median(
              measurements,
              Measurement::moduleNs));
    }

    private static double median(List<Measurement> measurements,
        java.util.function.ToDoubleFunction<Measurement> figure) {
      double[] sorted = measurements.stream().mapToDouble(figure).sorted().toArray();
      return sorted[sorted.length / 2];
    }
  }

  private RingBench() {}

  /** A stand-in without simulated service times in a separate process. */
  public static final class StandinProcess implements AutoCloseable {
    private final Process process;
    public final InetSocketAddress address;

    public StandinProcess(String name) throws IOException {
      process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
          System.getProperty("java.class.path"), "hollyslip.cli.Main", "standin", "--name", name)
          .redirectError(ProcessBuilder.Redirect.INHERIT)
          .start();
      BufferedReader stdout = new BufferedReader(new InputStreamReader(process.getInputStream(),
          StandardCharsets.UTF_8));
      address = new InetSocketAddress("127.0.0.1", Integer.parseInt(stdout.readLine().split(" ")[1]));
    }

    @Override
    public void close() {
      process.destroy();
    }
  }

  /** Measures reads through a ring. {@code totals} are those of the gateway, which runs in this process. */
  public static Measurement measureRing(String path, Path socket, int depth, int block, double seconds,
      long bytes,
      Supplier<Engine.Totals> totals) throws IOException {
    return measureRing(path, socket, depth, block, seconds, bytes, totals, false);
  }

  /** Like {@link #measureRing}, but the client sleeps while it waits, for use with many clients at a time. */
  static Measurement measureRingBlocking(String path, Path socket, int depth, int block, double seconds,
      long bytes,
      Supplier<Engine.Totals> totals) throws IOException {
    return measureRing(path, socket, depth, block, seconds, bytes, totals, true);
  }

  private static Measurement measureRing(String path, Path socket, int depth, int block, double seconds,
      long bytes,
      Supplier<Engine.Totals> totals, boolean blocking) throws IOException {
    int queueSize = Integer.highestOneBit(Math.max(4, 2 * depth - 1));
    try (RingClient client = new RingClient(RingClient.Options.allFeatures(1, queueSize, block))) {
      client.connect(socket);
      Histogram latencies = new Histogram(60_000_000_000L, 3);
      SplittableRandom random = new SplittableRandom(1);
      long warmUpEnd = System.nanoTime() + (long) (seconds * 5e8);
      long end = warmUpEnd + (long) (seconds * 1e9);
      long measuredFrom = 0;
      long failed = 0;
      Engine.Totals before = totals.get();
      Map<Long, Long> allocatedBefore = allocatedBytesByThread();
      boolean measuring = false;
      int[] failures = {0};
      for (long now = System.nanoTime(); now < end; now = System.nanoTime()) {
        if (!measuring && now >= warmUpEnd) {
          measuring = true;
          latencies.reset();
          failures[0] = 0;
          before = totals.get();
          allocatedBefore = allocatedBytesByThread();
          measuredFrom = now;
        }
        while (client.inFlight() < depth) {
          long submittedAt = System.nanoTime();
          client.submit(0, IoKind.READ, random.nextLong(bytes / block) * block, block, null, (status, retryMs,
              data) -> {
            latencies.recordValue(System.nanoTime() - submittedAt);
            failures[0] += status == 0 ? 0 : 1;
          });
        }
        client.kick();
        if (client.poll() == 0 && blocking) {
          client.await(1);
        }
      }
      double elapsedSeconds = (System.nanoTime() - measuredFrom) / 1e9;
      failed = failures[0];
      Engine.Totals after = totals.get();
      double requests = Math.max(1, latencies.getTotalCount());
      long allocatedBytes = allocatedSince(allocatedBefore);
      if (failed > 0) {
        throw new IOException(failed + " of " + (long) requests + " requests were not served");
      }
      return measurement(path, depth, latencies, elapsedSeconds, allocatedBytes / requests, (after.moduleNs()
          - before.moduleNs()) / requests);
    }
  }

  /** Measures reads with the node client alone. */
  public static Measurement measureNodeClient(InetSocketAddress node, int depth, int block, double seconds,
      long bytes)
      throws IOException,
      InterruptedException {
    ArrayBlockingQueue<Long> answers = new ArrayBlockingQueue<>(2 * depth);
    Map<Long, Long> submittedAt = new ConcurrentHashMap<>();
    Histogram latencies = new Histogram(60_000_000_000L, 3);
    SplittableRandom random = new SplittableRandom(1);
    try (DirectNbdClient client = new DirectNbdClient(node, "shard-0", (id, ok) -> answers.add(id))) {
      ByteBuffer[] buffers = new ByteBuffer[depth];
      Arrays.setAll(buffers, i -> ByteBuffer.allocateDirect(block));
      long warmUpEnd = System.nanoTime() + (long) (seconds * 5e8);
      long end = warmUpEnd + (long) (seconds * 1e9);
      long measuredFrom = warmUpEnd;
      int outstanding = 0;
      boolean measuring = false;
      for (long now = System.nanoTime(); now < end; now = System.nanoTime()) {
        if (!measuring && now >= warmUpEnd) {
          measuring = true;
          latencies.reset();
          measuredFrom = now;
        }
        boolean submitted = outstanding < depth;
        for (; outstanding < depth; outstanding++) {
          long startedAt = System.nanoTime();
          submittedAt.put(client.read(random.nextLong(bytes / block) * block, buffers[outstanding]),
              startedAt);
        }
        if (submitted) {
          client.flush();
        }
        for (Long id = answers.poll(); id != null; id = answers.poll()) {
          latencies.recordValue(System.nanoTime() - submittedAt.remove(id));
          outstanding--;
        }
      }
      return measurement("direct", depth, latencies, (System.nanoTime() - measuredFrom) / 1e9, 0, 0);
    }
  }

  private static Measurement measurement(String path, int depth, Histogram latencies, double seconds,
      double allocated,
      double moduleNs) {
    return new Measurement(path, depth, latencies.getTotalCount() / seconds, latencies.getValueAtPercentile(
        50) / 1e3, latencies
            .getValueAtPercentile(99) / 1e3, latencies.getValueAtPercentile(99.9) / 1e3, allocated, moduleNs);
  }

  /** Bytes allocated so far by each thread except the client's own. */
  private static Map<Long, Long> allocatedBytesByThread() {
    ThreadMXBean bean = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    Map<Long, Long> bytesByThread = new java.util.HashMap<>();
    List<Long> ids = new ArrayList<>();
    for (long id : bean.getAllThreadIds()) {
      if (id != Thread.currentThread().getId()) {
        ids.add(id);
      }
    }
    ids.forEach(id -> bytesByThread.put(id, bean.getThreadAllocatedBytes(id)));
    return bytesByThread;
  }

  private static long allocatedSince(Map<Long, Long> before) {
    long sum = 0;
    for (Map.Entry<Long, Long> thread : allocatedBytesByThread().entrySet()) {
      sum += Math.max(0, thread.getValue() - before.getOrDefault(thread.getKey(), 0L));
    }
    return sum;
  }
}
