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
    /** Hands one in; false: no room. {@link Shot#answered} is called from {@link #poll}. */
    boolean submit(Shot shot);

    /** Tells of what was handed in since the last call. */
    void flush();

    /** Takes the answers that have come; how many there were. */
    int poll();

    /** Waits for an answer, until then at the latest, us. */
    void idle(long untilUs);

    /** The clock, us. */
    long now();
  }

  /** How a request ended. */
  public enum End {
    SERVED, REFUSED, FAILED
  }

  /** A request. */
  public static final class Shot {
    public final RequestMix.Ask ask;
    private final OpenLoop loop;
    private final long dueUs;

    private Shot(OpenLoop loop, RequestMix.Ask ask, long dueUs) {
      this.loop = loop;
      this.ask = ask;
      this.dueUs = dueUs;
    }

    /** Its answer has come. */
    public void answered(End end) {
      loop.answered(this, end);
    }

    /** When it was due, us. */
    public long dueUs() {
      return dueUs;
    }
  }

  /** One answer, for whoever keeps them: {@code dueUs} and {@code tookUs} from when the request was due. */
  public record Done(RequestMix.Ask ask, End end, long dueUs, long tookUs) {}

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
  public record Ran(long due, long answered, Histogram lateness, long waited) {
    /** Whether its figures can be believed: the generator's lateness, at 99.9 of a hundred, within the
     * bound. */
    public boolean valid(long mostUs) {
      return lateness.getTotalCount() > 0 && lateness.getValueAtPercentile(99.9) <= mostUs;
    }
  }

  /** How long answers are waited for after the last request, us. */
  private static final long PATIENCE_US = 10_000_000;

  private final ArrivalProcess arrivals;
  private final RequestMix mix;
  private final Target target;
  private final boolean closed;
  private final Consumer<Done> keeper;
  private final Histogram lateness = new Histogram(60_000_000L, 3);
  private final ArrayDeque<Shot> backlog = new ArrayDeque<>();
  private volatile boolean stopping;
  private long due, answered, waited;

  /** @param closed
   *          the baseline that hides stalls: one request at a time, and its latency from when it was sent
   * @param keeper
   *          hears of every answer */
  public OpenLoop(ArrivalProcess arrivals, RequestMix mix, Target target, boolean closed, Consumer<Done> keeper) {
    this.arrivals = arrivals;
    this.mix = mix;
    this.target = target;
    this.closed = closed;
    this.keeper = keeper;
  }

  /** Asks nothing more; {@link #run} ends when all is answered. From any thread. */
  public void stop() {
    stopping = true;
  }

  /** Runs from {@code startUs} for so long, then until the last answer.
   *
   * @param startUs
   *          the same for all processes that steer to one schedule */
  public Ran run(long startUs, long lengthUs) {
    long next = startUs + arrivals.next(1);
    long end = startUs + lengthUs;
    while (next < end && !stopping) {
      target.poll();
      long now = target.now();
      while (next <= now && next < end && !(closed && due > answered)) {
        lateness.recordValue(Math.min(now - next, lateness.getHighestTrackableValue()));
        backlog.add(new Shot(this, mix.next(false), closed ? now : next));
        due++;
        next = startUs + arrivals.next(1);
        if (closed) {
          next = Math.max(next, now);
        }
      }
      handIn();
      target.flush();
      if (target.poll() == 0) {
        target.idle(closed && due > answered ? end : next);
      }
    }
    drain();
    return new Ran(due, answered, lateness, waited);
  }

  private void handIn() {
    for (Shot s = backlog.peek(); s != null; s = backlog.peek()) {
      if (!target.submit(s)) {
        waited++;
        return;
      }
      backlog.poll();
    }
  }

  private void drain() {
    long until = target.now() + PATIENCE_US;
    while (answered < due && target.now() < until) {
      handIn();
      target.flush();
      if (target.poll() == 0) {
        target.idle(until);
      }
    }
  }

  private void answered(Shot s, End end) {
    answered++;
    keeper.accept(new Done(s.ask, end, s.dueUs, target.now() - s.dueUs));
  }
}
