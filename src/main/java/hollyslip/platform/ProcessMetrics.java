package hollyslip.platform;

import java.util.Locale;

/** Counts what happened to requests and attempts since the last report. Does no I/O. */
final class ProcessMetrics {
  /** What is counted. The names, in lower case, are the fields of the report. */
  enum Counter {
    /** Requests passed to the scheduler. */
    ACCEPTED,
    /** Requests whose client disconnected before the response. */
    ABANDONED,
    /** Requests refused as too many of their connection were waiting. */
    TOO_MANY,
    /** Requests whose id was open or had been sent before. */
    REPEATED,
    /** Attempts started, those of them that were not the first of their request, and those that were not sent
     * as their client may have disconnected. */
    ATTEMPTS, RETRIES, WITHHELD
  }

  private static final Counter[] COUNTERS = Counter.values();

  private final long[] counts = new long[COUNTERS.length];

  void increment(Counter counter) {
    counts[counter.ordinal()]++;
  }

  /** Returns alternating names and counts, and starts again at zero. */
  Object[] takeReport() {
    Object[] report = new Object[2 * COUNTERS.length];
    for (Counter counter : COUNTERS) {
      report[2 * counter.ordinal()] = counter.name().toLowerCase(Locale.ROOT);
      report[2 * counter.ordinal() + 1] = counts[counter.ordinal()];
      counts[counter.ordinal()] = 0;
    }
    return report;
  }
}
