package hollyslip.load;

import java.util.Arrays;
import java.util.Locale;
import java.util.SplittableRandom;

/** Due times of requests. The schedule depends only on shape, rate and seed, never on answers. Performs no
 * I/O and reads no clock. */
public final class ArrivalProcess {
  /** Interval within which the rate is treated as constant, us. */
  private static final long RATE_STEP_US = 10_000;
  /** Shape parameter of the Pareto-distributed on and off times of {@link Kind#ONOFF}; below 2, so their
   * variance is infinite. */
  private static final double PARETO_SHAPE = 1.5;
  /** Upper bound of an on or off time, as a multiple of the mean. */
  private static final double MAX_DURATION_MEANS = 50;

  /** How the rate varies over time, and whether the gaps are random. */
  public enum Kind {
    /** Exponentially distributed gaps at a constant rate. */
    POISSON,
    /** Equal gaps at a constant rate. */
    STEADY,
    /** Rises from zero to twice the rate over each period. */
    RAMP,
    /** Half the rate in the first half of each period, one and a half times the rate in the second. */
    STEP,
    /** {@code swing} times the rate in the first tenth of each period, and less in the rest so that the mean
     * rate holds. */
    BURST,
    /** Sine wave with the given period; {@code swing} is its amplitude as a fraction of the rate. */
    CURVE,
    /** Twice the rate while on and nothing while off; on and off times are heavy-tailed with a mean of half
     * the period each. */
    ONOFF
  }

  /** A kind of arrival process with its parameters.
   *
   * @param periodS
   *          period, s
   * @param swing
   *          amplitude; its meaning depends on the kind */
  public record Shape(Kind kind, double periodS, double swing) {
    /** Random arrivals at a constant rate. */
    public static final Shape POISSON = new Shape(Kind.POISSON, 0, 0);

    public Shape {
      boolean constantRate = kind == Kind.POISSON || kind == Kind.STEADY;
      if (!constantRate && !(periodS > 0)) {
        throw new IllegalArgumentException("shape " + keyword(kind) + " needs a period above 0");
      }
      if (kind == Kind.CURVE && !(swing > 0 && swing <= 1)) {
        throw new IllegalArgumentException("shape curve needs a swing above 0, at most 1");
      }
      if (kind == Kind.BURST && !(swing > 1 && swing <= 10)) {
        throw new IllegalArgumentException("shape burst needs a swing above 1, at most 10");
      }
    }

    /** Returns the shape with the given keyword, the lower-case name of its kind; an empty keyword means
     * Poisson.
     *
     * @throws IllegalArgumentException
     *           if the keyword is unknown, or a parameter is missing or out of range */
    public static Shape of(String keyword, double periodS, double swing) {
      return keyword.isEmpty()
          ? POISSON
          : Arrays.stream(Kind.values())
              .filter(k -> keyword(k).equals(keyword))
              .findFirst()
              .map(k -> new Shape(k, periodS, swing))
              .orElseThrow(() -> new IllegalArgumentException("unknown shape '" + keyword
                  + "'; known shapes: "
                  + Arrays.stream(Kind.values()).map(Shape::keyword).toList()));
    }

    /** The keyword that {@link #of} accepts for this shape. */
    public String keyword() {
      return keyword(kind);
    }

    private static String keyword(Kind kind) {
      return kind.name().toLowerCase(Locale.ROOT);
    }
  }

  private final Shape shape;
  private final double requestsPerUs;
  private final SplittableRandom random;
  private double nowUs;
  private boolean on;
  private double nextToggleUs;

  /** @param rate
   *          mean number of requests per second */
  public ArrivalProcess(Shape shape, double rate, long seed) {
    this.shape = shape;
    requestsPerUs = rate / 1e6;
    random = new SplittableRandom(seed);
    if (shape.kind() == Kind.ONOFF) {
      on = random.nextBoolean();
      nextToggleUs = paretoDurationUs();
    }
  }

  /** Due time of the next request, us after the start of the schedule. {@code rateMultiplier} multiplies the
   * rate from the previous request on. */
  public long nextDueUs(double rateMultiplier) {
    double remainingGap = nextGap();
    while (true) {
      double stepEndUs = Math.floor(nowUs / RATE_STEP_US + 1) * RATE_STEP_US;
      double rate = requestsPerUs * rateMultiplier * rateFactor(nowUs);
      double dueUs = rate > 0 ? nowUs + remainingGap / rate : Double.MAX_VALUE;
      if (dueUs <= stepEndUs) {
        nowUs = dueUs;
        return (long) nowUs;
      }
      remainingGap -= rate * (stepEndUs - nowUs);
      nowUs = stepEndUs;
    }
  }

  private double nextGap() {
    return shape.kind() == Kind.STEADY ? 1 : -Math.log(1 - random.nextDouble());
  }

  /** Rate at the given time as a multiple of the mean rate. */
  private double rateFactor(double timeUs) {
    double period = shape.periodS() * 1e6;
    double phase = period > 0 ? timeUs % period / period : 0;
    return switch (shape.kind()) {
      case POISSON, STEADY -> 1;
      case RAMP -> 2 * phase;
      case STEP -> phase < 0.5 ? 0.5 : 1.5;
      case BURST -> phase < 0.1 ? shape.swing() : (1 - 0.1 * shape.swing()) / 0.9;
      case CURVE -> 1 + shape.swing() * Math.sin(2 * Math.PI * phase);
      case ONOFF -> {
        while (timeUs >= nextToggleUs) {
          on = !on;
          nextToggleUs += paretoDurationUs();
        }
        yield on ? 2 : 0;
      }
    };
  }

  private double paretoDurationUs() {
    double meanUs = shape.periodS() * 1e6 / 2;
    double minimumUs = meanUs * (PARETO_SHAPE - 1) / PARETO_SHAPE;
    return Math.min(MAX_DURATION_MEANS * meanUs, minimumUs / Math.pow(1 - random.nextDouble(), 1
        / PARETO_SHAPE));
  }
}
