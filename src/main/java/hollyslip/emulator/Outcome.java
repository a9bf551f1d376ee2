package hollyslip.emulator;

import hollyslip.audit.Asked;
import hollyslip.audit.Auditor;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** What came of a simulated run.
 *
 * @param audit
 *          the seven rules, from what both ends saw
 * @param plans
 *          figures by plan
 * @param kinds
 *          figures by plan and kind, such as {@code gold.read}
 * @param timeline
 *          figures by when requests were due: {@link #INTERVAL_US} each, from the start
 * @param happenings
 *          how much happened in the sequence of virtual time */
public record Outcome(Auditor.Report audit, Map<String, Tally> plans, Map<String, Tally> kinds,
    List<Tally> timeline,
    long happenings) {
  /** Length of a stretch of the timeline, us. */
  public static final long INTERVAL_US = 250_000;

  /** One plan's requests; latency, us, from when a request was due to its answer, of those served. */
  public static final class Tally {
    private final Map<Asked.Answer, Long> answers = new EnumMap<>(Asked.Answer.class);
    private final Histogram latency = new Histogram(3_600_000_000L, 3);
    private long inAim, abandoned, neverSubmitted;

    void add(Asked.Answer answer, boolean leaver, long tookUs, long aimUs) {
      if (leaver) {
        abandoned++;
        return;
      }
      answers.merge(answer, 1L, Long::sum);
      if (answer == Asked.Answer.SERVED) {
        latency.recordValue(Math.min(tookUs, latency.getHighestTrackableValue()));
        inAim += tookUs <= aimUs ? 1 : 0;
      }
    }

    void neverSubmitted(long n) {
      neverSubmitted += n;
    }

    void addAll(Tally o) {
      o.answers.forEach((a, n) -> answers.merge(a, n, Long::sum));
      latency.add(o.latency);
      inAim += o.inAim;
      abandoned += o.abandoned;
      neverSubmitted += o.neverSubmitted;
    }

    /** How many ended so. */
    public long count(Asked.Answer answer) {
      return answers.getOrDefault(answer, 0L);
    }

    /** Requests whose clients stayed. */
    public long asked() {
      return answers.values().stream().mapToLong(n -> n).sum() + neverSubmitted;
    }

    /** Part of {@link #asked} that was served within its class's aim. */
    public double inAim() {
      return asked() == 0 ? 1 : (double) inAim / asked();
    }

    /** Of those that were served. */
    public Histogram latency() {
      return latency;
    }
  }

  /** All plans together. */
  public Tally all() {
    Tally sum = new Tally();
    new TreeMap<>(plans).values().forEach(sum::addAll);
    return sum;
  }
}
