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
  public synchronized void add(String tag, long second, long latencyUs) {
    interval(tag, second).recordValue(Math.max(0, Math.min(latencyUs, MAX_LATENCY_US)));
  }

  private Histogram interval(String tag, long second) {
    return byTag.computeIfAbsent(tag, k -> new TreeMap<>())
        .computeIfAbsent(second, k -> new Histogram(MAX_LATENCY_US, 3));
  }

  /** Adds all latencies of another log. */
  public synchronized void add(LatencyLog other) {
    other.byTag.forEach((tag, seconds) -> seconds.forEach((second, histogram) -> interval(tag, second).add(
        histogram)));
  }

  /** Histogram of a tag over all seconds; null if the tag is absent. */
  public synchronized Histogram merged(String tag) {
    TreeMap<Long, Histogram> bySecond = byTag.get(tag);
    if (bySecond == null) {
      return null;
    }
    Histogram sum = new Histogram(MAX_LATENCY_US, 3);
    bySecond.values().forEach(sum::add);
    return sum;
  }

  /** Tags in sorted order. */
  public synchronized List<String> tags() {
    return List.copyOf(byTag.keySet());
  }

  /** Histograms of a tag by second of the run. */
  public synchronized Map<Long, Histogram> histogramsBySecond(String tag) {
    return new TreeMap<>(byTag.getOrDefault(tag, new TreeMap<>()));
  }

  /** Writes the log in HdrHistogram's log format, version 1.3, with one interval per tag and second. */
  public synchronized void write(Path file) throws IOException {
    try (PrintStream out = new PrintStream(Files.newOutputStream(file), false,
        java.nio.charset.StandardCharsets.UTF_8)) {
      HistogramLogWriter writer = new HistogramLogWriter(out);
      writer.outputComment(
          "hollyslip load: us from when a request was due to its answer, by second of the run");
      writer.outputLogFormatVersion();
      writer.outputBaseTime(0);
      writer.outputLegend();
      byTag.forEach((tag, seconds) -> seconds.forEach((second, histogram) -> {
        Histogram copy = histogram.copy();
        copy.setTag(tag);
        copy.setStartTimeStamp(second * 1_000);
        copy.setEndTimeStamp((second + 1) * 1_000);
        writer.outputIntervalHistogram(copy);
      }));
    }
  }

  /** Reads a log.
   *
   * @throws IOException
   *           if it cannot be read; the message names the file and the interval */
  public static LatencyLog read(Path file) throws IOException {
    LatencyLog log = new LatencyLog();
    int intervals = 0;
    try (InputStream in = Files.newInputStream(file)) {
      HistogramLogReader reader = new HistogramLogReader(in);
      while (reader.hasNext()) {
        intervals++;
        EncodableHistogram interval = reader.nextIntervalHistogram();
        if (!(interval instanceof Histogram histogram)) {
          throw new IOException(file + ": interval " + intervals + " is not an integer histogram");
        }
        log.interval(histogram.getTag() == null ? "" : histogram.getTag(), histogram.getStartTimeStamp()
            / 1_000).add(histogram);
      }
    } catch (RuntimeException e) {
      throw new IOException(file + ": interval " + (intervals + 1) + ": " + e.getMessage(), e);
    }
    if (intervals == 0) {
      throw new IOException(file + ": contains no interval");
    }
    return log;
  }
}
