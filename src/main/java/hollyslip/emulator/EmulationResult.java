package hollyslip.emulator;

import hollyslip.audit.RequestRecord;
import hollyslip.audit.Auditor;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Results of an emulated run.
 *
 * @param audit
 *          result of the audit of the seven rules, from what both ends observed
 * @param plans
 *          tallies by plan
 * @param plansAndKinds
 *          tallies by plan and kind, such as {@code gold.read}
 * @param timeline
 *          tallies by due time of the requests, in intervals of {@link #INTERVAL_US} from the start
 * @param eventCount
 *          number of events processed in virtual time */
public record EmulationResult(Auditor.Report audit, Map<String, Tally> plans,
    Map<String, Tally> plansAndKinds,
    List<Tally> timeline,
    long eventCount) {
  /** Length of an interval of the timeline, us. */
  public static final long INTERVAL_US = 250_000;

  /** Tally of requests. Latencies, us, are measured from due time to answer and cover served requests
   * only. */
  public static final class Tally {
    private final Map<RequestRecord.Answer, Long> answers = new EnumMap<>(RequestRecord.Answer.class);
    private final Histogram latency = new Histogram(3_600_000_000L, 3);
    private long inAim, abandoned, neverSubmitted;

    void add(RequestRecord.Answer answer, boolean disconnected, long latencyUs, long aimUs) {
      if (disconnected) {
        abandoned++;
        return;
      }
      answers.merge(answer, 1L, Long::sum);
      if (answer == RequestRecord.Answer.SERVED) {
        latency.recordValue(Math.min(latencyUs, latency.getHighestTrackableValue()));
        inAim += latencyUs <= aimUs ? 1 : 0;
      }
    }

    void neverSubmitted(long count) {
      neverSubmitted += count;
    }

    void addAll(Tally other) {
      other.answers.forEach((answer, count) -> answers.merge(answer, count, Long::sum));
      latency.add(other.latency);
      inAim += other.inAim;
      abandoned += other.abandoned;
      neverSubmitted += other.neverSubmitted;
    }

    /** Number of requests that ended with this answer. */
    public long count(RequestRecord.Answer answer) {
      return answers.getOrDefault(answer, 0L);
    }

    /** Number of requests whose clients did not disconnect. */
    public long asked() {
      return answers.values().stream().mapToLong(n -> n).sum() + neverSubmitted;
    }

    /** Fraction of {@link #asked} that was served within the aim of its class. */
    public double inAim() {
      return asked() == 0 ? 1 : (double) inAim / asked();
    }

    /** Latencies of the served requests. */
    public Histogram latency() {
      return latency;
    }
  }

  /** Sum over all plans. */
  public Tally all() {
    Tally sum = new Tally();
    new TreeMap<>(plans).values().forEach(sum::addAll);
    return sum;
  }
}
