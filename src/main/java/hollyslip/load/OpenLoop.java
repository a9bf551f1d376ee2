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
    boolean submit(ScheduledRequest request);

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

    private ScheduledRequest(OpenLoop loop, RequestMix.Operation operation, long dueUs) {
      this.loop = loop;
      this.operation = operation;
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
    public boolean valid(long maxLatenessUs) {
      return lateness.getTotalCount() > 0 && lateness.getValueAtPercentile(99.9) <= maxLatenessUs;
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

  /** @param closedLoop
   *          whether to run as a closed loop, the baseline that hides stalls: one request at a time, its
   *          latency measured from when it was sent
   * @param listener
   *          receives every completion */
  public OpenLoop(ArrivalProcess arrivals, RequestMix mix, Target target, boolean closedLoop,
      Consumer<Completion> listener) {
    this.arrivals = arrivals;
    this.mix = mix;
    this.target = target;
    this.closedLoop = closedLoop;
    this.listener = listener;
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
    long nextDue = startUs + arrivals.nextDueUs(1);
    long end = startUs + lengthUs;
    while (nextDue < end && !stopping) {
      target.poll();
      long now = target.now();
      while (nextDue <= now && nextDue < end && !(closedLoop && due > answered)) {
        lateness.recordValue(Math.min(now - nextDue, lateness.getHighestTrackableValue()));
        backlog.add(new ScheduledRequest(this, mix.next(false), closedLoop ? now : nextDue));
        due++;
        nextDue = startUs + arrivals.nextDueUs(1);
        if (closedLoop) {
          nextDue = Math.max(nextDue, now);
        }
      }
      submitBacklog();
      target.flush();
      if (target.poll() == 0) {
        target.awaitAnswers(closedLoop && due > answered ? end : nextDue);
      }
    }
    drain();
    return new Stats(due, answered, lateness, waited);
  }

  private void submitBacklog() {
    for (ScheduledRequest request = backlog.peek(); request != null; request = backlog.peek()) {
      if (!target.submit(request)) {
        waited++;
        return;
      }
      backlog.poll();
    }
  }

  private void drain() {
    long giveUpAt = target.now() + DRAIN_TIMEOUT_US;
    while (answered < due && target.now() < giveUpAt) {
      submitBacklog();
      target.flush();
      if (target.poll() == 0) {
        target.awaitAnswers(giveUpAt);
      }
    }
  }

  private void answered(ScheduledRequest request, End end) {
    answered++;
    listener.accept(new Completion(request.operation, end, request.dueUs, target.now() - request.dueUs));
  }
}
