package hollyslip.load;

import com.sun.management.ThreadMXBean;
import hollyslip.engine.Engine;
import hollyslip.node.NbdDirect;
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
    public static Measurement median(List<Measurement> rows) {
      Measurement first = rows.get(0);
      return new Measurement(first.path, first.depth, median(rows, Measurement::rate), median(rows,
          Measurement::p50), median(rows, Measurement::p99),
          median(rows, Measurement::p999), median(rows, Measurement::allocated), median(rows,
              Measurement::moduleNs));
    }

    private static double median(List<Measurement> rows, java.util.function.ToDoubleFunction<Measurement> f) {
      double[] all = rows.stream().mapToDouble(f).sorted().toArray();
      return all[all.length / 2];
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
      BufferedReader out = new BufferedReader(new InputStreamReader(process.getInputStream(),
          StandardCharsets.UTF_8));
      address = new InetSocketAddress("127.0.0.1", Integer.parseInt(out.readLine().split(" ")[1]));
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
      Supplier<Engine.Totals> totals, boolean sleeps) throws IOException {
    int size = Integer.highestOneBit(Math.max(4, 2 * depth - 1));
    try (RingClient c = new RingClient(RingClient.Options.usual(1, size, block))) {
      c.connect(socket);
      Histogram h = new Histogram(60_000_000_000L, 3);
      SplittableRandom random = new SplittableRandom(1);
      long warm = System.nanoTime() + (long) (seconds * 5e8);
      long until = warm + (long) (seconds * 1e9);
      long counted = 0;
      long failed = 0;
      Engine.Totals before = totals.get();
      Map<Long, Long> allocated = allocatedBytesByThread();
      boolean measuring = false;
      int[] bad = {0};
      for (long now = System.nanoTime(); now < until; now = System.nanoTime()) {
        if (!measuring && now >= warm) {
          measuring = true;
          h.reset();
          bad[0] = 0;
          before = totals.get();
          allocated = allocatedBytesByThread();
          counted = now;
        }
        while (c.out() < depth) {
          long asked = System.nanoTime();
          c.submit(0, IoKind.READ, random.nextLong(bytes / block) * block, block, null, (s, r, d) -> {
            h.recordValue(System.nanoTime() - asked);
            bad[0] += s == 0 ? 0 : 1;
          });
        }
        c.kick();
        if (c.poll() == 0 && sleeps) {
          c.await(1);
        }
      }
      double took = (System.nanoTime() - counted) / 1e9;
      failed = bad[0];
      Engine.Totals after = totals.get();
      double n = Math.max(1, h.getTotalCount());
      long garbage = allocatedSince(allocated);
      if (failed > 0) {
        throw new IOException(failed + " of " + (long) n + " requests were not served");
      }
      return measurement(path, depth, h, took, garbage / n, (after.moduleNs() - before.moduleNs()) / n);
    }
  }

  /** Measures reads with the node client alone. */
  public static Measurement measureNodeClient(InetSocketAddress node, int depth, int block, double seconds,
      long bytes)
      throws IOException,
      InterruptedException {
    ArrayBlockingQueue<Long> answers = new ArrayBlockingQueue<>(2 * depth);
    Map<Long, Long> asked = new ConcurrentHashMap<>();
    Histogram h = new Histogram(60_000_000_000L, 3);
    SplittableRandom random = new SplittableRandom(1);
    try (NbdDirect d = new NbdDirect(node, "shard-0", (id, ok) -> answers.add(id))) {
      ByteBuffer[] into = new ByteBuffer[depth];
      Arrays.setAll(into, i -> ByteBuffer.allocateDirect(block));
      long warm = System.nanoTime() + (long) (seconds * 5e8);
      long until = warm + (long) (seconds * 1e9);
      long counted = warm;
      int out = 0;
      boolean measuring = false;
      for (long now = System.nanoTime(); now < until; now = System.nanoTime()) {
        if (!measuring && now >= warm) {
          measuring = true;
          h.reset();
          counted = now;
        }
        boolean more = out < depth;
        for (; out < depth; out++) {
          long at = System.nanoTime();
          asked.put(d.read(random.nextLong(bytes / block) * block, into[out]), at);
        }
        if (more) {
          d.flush();
        }
        for (Long id = answers.poll(); id != null; id = answers.poll()) {
          h.recordValue(System.nanoTime() - asked.remove(id));
          out--;
        }
      }
      return measurement("direct", depth, h, (System.nanoTime() - counted) / 1e9, 0, 0);
    }
  }

  private static Measurement measurement(String path, int depth, Histogram h, double seconds,
      double allocated,
      double moduleNs) {
    return new Measurement(path, depth, h.getTotalCount() / seconds, h.getValueAtPercentile(50) / 1e3, h
        .getValueAtPercentile(99) / 1e3, h.getValueAtPercentile(99.9) / 1e3, allocated, moduleNs);
  }

  /** Bytes allocated so far by each thread except the client's own. */
  private static Map<Long, Long> allocatedBytesByThread() {
    ThreadMXBean bean = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    Map<Long, Long> all = new java.util.HashMap<>();
    List<Long> ids = new ArrayList<>();
    for (long id : bean.getAllThreadIds()) {
      if (id != Thread.currentThread().getId()) {
        ids.add(id);
      }
    }
    ids.forEach(id -> all.put(id, bean.getThreadAllocatedBytes(id)));
    return all;
  }

  private static long allocatedSince(Map<Long, Long> before) {
    long sum = 0;
    for (Map.Entry<Long, Long> e : allocatedBytesByThread().entrySet()) {
      sum += Math.max(0, e.getValue() - before.getOrDefault(e.getKey(), 0L));
    }
    return sum;
  }
}
