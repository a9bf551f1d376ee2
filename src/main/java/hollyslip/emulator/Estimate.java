package hollyslip.emulator;

import java.util.Arrays;
import org.apache.commons.statistics.distribution.TDistribution;

/** A mean of runs and how far the true one may lie from it: the two-sided interval of Student's t.
 *
 * @param mean
 *          of the runs
 * @param half
 *          half the interval's width; infinite for a single run
 * @param runs
 *          how many */
public record Estimate(double mean, double half, int runs) {
  /** Trust in the interval. */
  public static final double CONFIDENCE_LEVEL = 0.95;

  /** Of independent runs. */
  public static Estimate of(double... values) {
    int n = values.length;
    if (n == 0) {
      throw new IllegalArgumentException("an estimate needs a run");
    }
    double mean = Arrays.stream(values).average().orElseThrow();
    if (n == 1) {
      return new Estimate(mean, Double.POSITIVE_INFINITY, 1);
    }
    double variance = Arrays.stream(values).map(v -> (v - mean) * (v - mean)).sum() / (n - 1);
    double t = TDistribution.of(n - 1).inverseCumulativeProbability((1 + CONFIDENCE_LEVEL) / 2);
    return new Estimate(mean, t * Math.sqrt(variance / n), n);
  }

  /** Of what the second of two variants has more than the first on the same seeds: what all seeds share falls
   * out. */
  public static Estimate paired(double[] first, double[] second) {
    if (first.length != second.length) {
      throw new IllegalArgumentException("pairs need as many runs of both: " + first.length + " and "
          + second.length);
    }
    double[] d = new double[first.length];
    Arrays.setAll(d, i -> second[i] - first[i]);
    return of(d);
  }

  /** Whether it differs from nothing by more than chance. */
  public boolean clear() {
    return Math.abs(mean) > half;
  }
}
