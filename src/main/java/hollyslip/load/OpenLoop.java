package hollyslip.load;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;

/** Asks when requests are due, whether or not earlier ones were answered, and counts each one's latency from
 * when it was due: what a stall holds up is late by all that it waited. How late the generator itself came to
 * a request is kept beside, and a run in which that is too much is not valid. One thread; time and target are
 * given, so that it runs in virtual time too. */
public final class OpenLoop {
  /** Where requests go. */
  public interface Target {
    /** Hands one in; false: no room. {@link ScheduledRequest#complete} is called from {@link #poll}. */
    boolean submit(ScheduledRequest shot);

    /** Tells of what was handed in since the last call. */
    void flush();

    /** Takes the answers that have come; how many there were. */
    int poll();

    /** Waits for an answer, until then at the latest, us. */
    void awaitAnswers(long untilUs);

    /** The clock, us. */
    long now();
  }

  /** How a request ended. */
  public enum End {
    SERVED, REFUSED, FAILED
  }

  /** A request. */
  public static final class ScheduledRequest {
    public final RequestMix.Operation operation;
    private final OpenLoop loop;
    private final long dueUs;

    private ScheduledRequest(OpenLoop loop, RequestMix.Operation ask, long dueUs) {
      this.loop = loop;
      this.operation = ask;
      this.dueUs = dueUs;
    }

    /** Its answer has come. */
    public void complete(End end) {
      loop.answered(this, end);
    }

    /** When it was due, us. */
    public long dueUs() {
      return dueUs;
    }
  }

  /** One answer, for whoever keeps them: {@code dueUs} and {@code tookUs} from when the request was due. */
  public record Completion(RequestMix.Operation operation, End end, long dueUs, long latencyUs) {}

  /** What came of a run.
   *
   * @param due
   *          requests that were due
   * @param answered
   *          of those
   * @param lateness
   *          how late the generator came to each, us
   * @param waited
   *          requests that found no room at the target when they were due */
  public record Stats(long due, long answered, Histogram lateness, long waited) {
    /** Whether its figures can be believed: the generator's lateness, at 99.9 of a hundred, within the
     * bound. */
    public boolean valid(long mostUs) {
      return lateness.getTotalCount() > 0 && lateness.getValueAtPercentile(99.9) <= mostUs;
    }
  }

  /** How long answers are waited for after the last request, us. */
  private static final long DRAIN_TIMEOUT_US = 10_000_000;

  private final ArrivalProcess arrivals;
  private final RequestMix mix;
  private final Target target;
  private final boolean closedLoop;
  private final Consumer<Completion> listener;
  private final Histogram lateness = new Histogram(60_000_000L, 3);
  private final ArrayDeque<ScheduledRequest> backlog = new ArrayDeque<>();
  private volatile boolean stopping;
  private long due, answered, waited;

  /** @param closed
   *          the baseline that hides stalls: one request at a time, and its latency from when it was sent
   * @param keeper
   *          hears of every answer */
  public OpenLoop(ArrivalProcess arrivals, RequestMix mix, Target target, boolean closed,
      Consumer<Completion> keeper) {
    this.arrivals = arrivals;
    this.mix = mix;
    this.target = target;
    this.closedLoop = closed;
    this.listener = keeper;
  }

  /** Asks nothing more; {@link #run} ends when all is answered. From any thread. */
  public void stop() {
    stopping = true;
  }

  /** Runs from {@code startUs} for so long, then until the last answer.
   *
   * @param startUs
   *          the same for all processes that steer to one schedule */
  public Stats run(long startUs, long lengthUs) {
    long next = startUs + arrivals.nextDueUs(1);
    long end = startUs + lengthUs;
    while (next < end && !stopping) {
      target.poll();
      long now = target.now();
      while (next <= now && next < end && !(closedLoop && due > answered)) {
        lateness.recordValue(Math.min(now - next, lateness.getHighestTrackableValue()));
        backlog.add(new ScheduledRequest(this, mix.next(false), closedLoop ? now : next));
        due++;
        next = startUs + arrivals.nextDueUs(1);
        if (closedLoop) {
          next = Math.max(next, now);
        }
      }
      submitBacklog();
      target.flush();
      if (target.poll() == 0) {
        target.awaitAnswers(closedLoop && due > answered ? end : next);
      }
    }
    drain();
    return new Stats(due, answered, lateness, waited);
  }

  private void submitBacklog() {
    for (ScheduledRequest s = backlog.peek(); s != null; s = backlog.peek()) {
      if (!target.submit(s)) {
        waited++;
        return;
      }
      backlog.poll();
    }
  }

  private void drain() {
    long until = target.now() + DRAIN_TIMEOUT_US;
    while (answered < due && target.now() < until) {
      submitBacklog();
      target.flush();
      if (target.poll() == 0) {
        target.awaitAnswers(until);
      }
    }
  }

  private void answered(ScheduledRequest s, End end) {
    answered++;
    listener.accept(new Completion(s.operation, end, s.dueUs, target.now() - s.dueUs));
  }
}
