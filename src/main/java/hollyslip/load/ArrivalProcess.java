package hollyslip.load;

import java.util.Arrays;
import java.util.Locale;
import java.util.SplittableRandom;

/** When requests are due: a schedule that depends on the shape, the rate and the seed alone, never on
 * answers. Free of I/O and clock. */
public final class ArrivalProcess {
  /** Rates count as constant over so long, us. */
  private static final long RATE_STEP_US = 10_000;
  /** Tail of the on and off times of {@link Kind#ONOFF}: below 2, so that their variance has no end. */
  private static final double PARETO_SHAPE = 1.5;
  /** Longest on or off time, in mean ones. */
  private static final double MAX_MEAN_DURATIONS = 50;

  /** How the rate moves, and whether gaps are drawn. */
  public enum Kind {
    /** Gaps of an exponential distribution, the rate as it is. */
    POISSON,
    /** Equal gaps. */
    STEADY,
    /** From nothing up to twice the rate over a period, and again. */
    RAMP,
    /** Half the rate for half a period, then one and a half times. */
    STEP,
    /** {@code swing} times the rate for a tenth of each period, less between so that the mean holds. */
    BURST,
    /** A sine of the period, up and down by the part {@code swing} of the rate. */
    CURVE,
    /** On and off, with times of heavy tails and a mean of half the period each; twice the rate when on. */
    ONOFF
  }

  /** A kind with its figures.
   *
   * @param periodS
   *          period, s
   * @param swing
   *          as the kind says */
  public record Shape(Kind kind, double periodS, double swing) {
    /** Requests at random, at one rate. */
    public static final Shape POISSON = new Shape(Kind.POISSON, 0, 0);

    public Shape {
      boolean plain = kind == Kind.POISSON || kind == Kind.STEADY;
      if (!plain && !(periodS > 0)) {
        throw new IllegalArgumentException("shape " + keyword(kind) + " needs a period above 0");
      }
      if (kind == Kind.CURVE && !(swing > 0 && swing <= 1)) {
        throw new IllegalArgumentException("shape curve needs a swing above 0, at most 1");
      }
      if (kind == Kind.BURST && !(swing > 1 && swing <= 10)) {
        throw new IllegalArgumentException("shape burst needs a swing above 1, at most 10");
      }
    }

    /** Reads one: {@code word} is the kind's name in small letters; empty: Poisson.
     *
     * @throws IllegalArgumentException
     *           it is not known, or a figure is missing or out of range */
    public static Shape of(String word, double periodS, double swing) {
      return word.isEmpty()
          ? POISSON
          : Arrays.stream(Kind.values())
              .filter(k -> keyword(k).equals(word))
              .findFirst()
              .map(k -> new Shape(k, periodS, swing))
              .orElseThrow(() -> new IllegalArgumentException("shape '" + word + "' is not known; known are "
                  + Arrays.stream(Kind.values()).map(Shape::keyword).toList()));
    }

    /** The word that {@link #of} knows it by. */
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
   *          requests a second in the mean */
  public ArrivalProcess(Shape shape, double rate, long seed) {
    this.shape = shape;
    requestsPerUs = rate / 1e6;
    random = new SplittableRandom(seed);
    if (shape.kind() == Kind.ONOFF) {
      on = random.nextBoolean();
      nextToggleUs = paretoDurationUs();
    }
  }

  /** When the next request is due, us after the start of the schedule; {@code speed}: so many times the rate
   * from the last one on. */
  public long nextDueUs(double speed) {
    double need = nextGap();
    while (true) {
      double end = Math.floor(nowUs / RATE_STEP_US + 1) * RATE_STEP_US;
      double rate = requestsPerUs * speed * rateFactor(nowUs);
      double due = rate > 0 ? nowUs + need / rate : Double.MAX_VALUE;
      if (due <= end) {
        nowUs = due;
        return (long) nowUs;
      }
      need -= rate * (end - nowUs);
      nowUs = end;
    }
  }

  private double nextGap() {
    return shape.kind() == Kind.STEADY ? 1 : -Math.log(1 - random.nextDouble());
  }

  /** The rate's part of its mean at a time. */
  private double rateFactor(double us) {
    double period = shape.periodS() * 1e6;
    double phase = period > 0 ? us % period / period : 0;
    return switch (shape.kind()) {
      case POISSON, STEADY -> 1;
      case RAMP -> 2 * phase;
      case STEP -> phase < 0.5 ? 0.5 : 1.5;
      case BURST -> phase < 0.1 ? shape.swing() : (1 - 0.1 * shape.swing()) / 0.9;
      case CURVE -> 1 + shape.swing() * Math.sin(2 * Math.PI * phase);
      case ONOFF -> {
        while (us >= nextToggleUs) {
          on = !on;
          nextToggleUs += paretoDurationUs();
        }
        yield on ? 2 : 0;
      }
    };
  }

  private double paretoDurationUs() {
    double mean = shape.periodS() * 1e6 / 2;
    double least = mean * (PARETO_SHAPE - 1) / PARETO_SHAPE;
    return Math.min(MAX_MEAN_DURATIONS * mean, least / Math.pow(1 - random.nextDouble(), 1 / PARETO_SHAPE));
  }
}
