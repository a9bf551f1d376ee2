package hollyslip.load;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.EncodableHistogram;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramLogReader;
import org.HdrHistogram.HistogramLogWriter;

/** Latencies by tag and second, stored as HdrHistogram interval logs. Merging the logs of several processes
 * gives the same figures as one process recording everything. Thread-safe. */
public final class LatencyLog {
  private static final long MAX_LATENCY_US = 3_600_000_000L;

  private final Map<String, TreeMap<Long, Histogram>> byTag = new TreeMap<>();

  /** Records the latency of a request that was due in the given second of the run. */
  public synchronized void add(String tag, long second, long us) {
    interval(tag, second).recordValue(Math.max(0, Math.min(us, MAX_LATENCY_US)));
  }

  private Histogram interval(String tag, long second) {
    return byTag.computeIfAbsent(tag, k -> new TreeMap<>())
        .computeIfAbsent(second, k -> new Histogram(MAX_LATENCY_US, 3));
  }

  /** Adds all latencies of another log. */
  public synchronized void add(LatencyLog other) {
    other.byTag.forEach((tag, seconds) -> seconds.forEach((s, h) -> interval(tag, s).add(h)));
  }

  /** Histogram of a tag over all seconds; null if the tag is absent. */
  public synchronized Histogram all(String tag) {
    TreeMap<Long, Histogram> seconds = byTag.get(tag);
    if (seconds == null) {
      return null;
    }
    Histogram sum = new Histogram(MAX_LATENCY_US, 3);
    seconds.values().forEach(sum::add);
    return sum;
  }

  /** Tags in sorted order. */
  public synchronized List<String> tags() {
    return List.copyOf(byTag.keySet());
  }

  /** Histograms of a tag by second of the run. */
  public synchronized Map<Long, Histogram> seconds(String tag) {
    return new TreeMap<>(byTag.getOrDefault(tag, new TreeMap<>()));
  }

  /** Writes the log in HdrHistogram's log format, version 1.3, with one interval per tag and second. */
  public synchronized void write(Path file) throws IOException {
    try (PrintStream out = new PrintStream(Files.newOutputStream(file), false,
        java.nio.charset.StandardCharsets.UTF_8)) {
      HistogramLogWriter w = new HistogramLogWriter(out);
      w.outputComment("hollyslip load: us from when a request was due to its answer, by second of the run");
      w.outputLogFormatVersion();
      w.outputBaseTime(0);
      w.outputLegend();
      byTag.forEach((tag, seconds) -> seconds.forEach((s, h) -> {
        Histogram copy = h.copy();
        copy.setTag(tag);
        copy.setStartTimeStamp(s * 1_000);
        copy.setEndTimeStamp((s + 1) * 1_000);
        w.outputIntervalHistogram(copy);
      }));
    }
  }

  /** Reads a log.
   *
   * @throws IOException
   *           if it cannot be read; the message names the file and the interval */
  public static LatencyLog read(Path file) throws IOException {
    LatencyLog log = new LatencyLog();
    int n = 0;
    try (InputStream in = Files.newInputStream(file)) {
      HistogramLogReader r = new HistogramLogReader(in);
      while (r.hasNext()) {
        n++;
        EncodableHistogram e = r.nextIntervalHistogram();
        if (!(e instanceof Histogram h)) {
          throw new IOException(file + ": interval " + n + " is no histogram of integers");
        }
        log.interval(h.getTag() == null ? "" : h.getTag(), h.getStartTimeStamp() / 1_000).add(h);
      }
    } catch (RuntimeException e) {
      throw new IOException(file + ": interval " + (n + 1) + ": " + e.getMessage(), e);
    }
    if (n == 0) {
      throw new IOException(file + ": holds no interval");
    }
    return log;
  }
}
