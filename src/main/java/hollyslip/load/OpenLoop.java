package hollyslip.load;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;

/** Open-loop load generator: submits requests when they are due, whether or not earlier ones were answered,
 * and measures the latency of each from its due time, so that waiting caused by a stall is counted in full.
 * The lateness of the generator itself is recorded separately; a run with too much of it is invalid.
 * Single-threaded; clock and target are injected, so that it also runs in virtual time. */
public final class OpenLoop {
  /** Destination of the requests. */
  public interface Target {
    /** Submits a request; returns false if there is no room. {@link ScheduledRequest#complete} is called from
     * {@link #poll}. */
    boolean submit(ScheduledRequest shot);

    /** Notifies the destination of the requests submitted since the last call. */
    void flush();

    /** Processes the answers that have arrived and returns their number. */
    int poll();

    /** Waits for an answer, at most until the given time, us. */
    void awaitAnswers(long untilUs);

    /** Current time, us. */
    long now();
  }

  /** How a request ended. */
  public enum End {
    SERVED, REFUSED, FAILED
  }

  /** A request with its due time. */
  public static final class ScheduledRequest {
    public final RequestMix.Operation operation;
    private final OpenLoop loop;
    private final long dueUs;

    private ScheduledRequest(OpenLoop loop, RequestMix.Operation ask, long dueUs) {
      this.loop = loop;
      this.operation = ask;
      this.dueUs = dueUs;
    }

    /** Reports the answer. */
    public void complete(End end) {
      loop.answered(this, end);
    }

    /** Due time, us. */
    public long dueUs() {
      return dueUs;
    }
  }

  /** An answered request; {@code dueUs} is its due time and {@code latencyUs} the latency measured from
   * it. */
  public record Completion(RequestMix.Operation operation, End end, long dueUs, long latencyUs) {}

  /** Statistics of a run.
   *
   * @param due
   *          number of requests that were due
   * @param answered
   *          number of those that were answered
   * @param lateness
   *          lateness of the generator for each request, us
   * @param waited
   *          number of failed attempts to submit because the target had no room */
  public record Stats(long due, long answered, Histogram lateness, long waited) {
    /** Whether the figures are reliable: the generator's lateness at the 99.9th percentile is within the
     * bound. */
    public boolean valid(long mostUs) {
      return lateness.getTotalCount() > 0 && lateness.getValueAtPercentile(99.9) <= mostUs;
    }
  }

  /** How long to wait for outstanding answers after the last request, us. */
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
   *          whether to run as a closed loop, the baseline that hides stalls: one request at a time, its
   *          latency measured from when it was sent
   * @param keeper
   *          receives every completion */
  public OpenLoop(ArrivalProcess arrivals, RequestMix mix, Target target, boolean closed,
      Consumer<Completion> keeper) {
    this.arrivals = arrivals;
    this.mix = mix;
    this.target = target;
    this.closedLoop = closed;
    this.listener = keeper;
  }

  /** Stops submitting requests; {@link #run} returns once all are answered. May be called from any thread. */
  public void stop() {
    stopping = true;
  }

  /** Runs the schedule from {@code startUs} for {@code lengthUs}, then waits for the last answer.
   *
   * @param startUs
   *          the same for all processes that share a schedule */
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
