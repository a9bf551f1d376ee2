package hollyslip.emulator;

import java.util.Arrays;
import org.apache.commons.statistics.distribution.TDistribution;

/** Mean of several runs with its two-sided confidence interval by Student's t-distribution.
 *
 * @param mean
 *          mean of the runs
 * @param halfWidth
 *          half the width of the interval; infinite for a single run
 * @param runs
 *          number of runs */
public record Estimate(double mean, double halfWidth, int runs) {
  /** Confidence level of the interval. */
  public static final double CONFIDENCE_LEVEL = 0.95;

  /** Estimates the mean of independent runs. */
  public static Estimate of(double... values) {
    int runs = values.length;
    if (runs == 0) {
      throw new IllegalArgumentException("an estimate needs at least one run");
    }
    double mean = Arrays.stream(values).average().orElseThrow();
    if (runs == 1) {
      return new Estimate(mean, Double.POSITIVE_INFINITY, 1);
    }
    double variance = Arrays.stream(values).map(value -> (value - mean) * (value - mean)).sum() / (runs - 1);
    double quantile = TDistribution.of(runs - 1).inverseCumulativeProbability((1 + CONFIDENCE_LEVEL) / 2);
    return new Estimate(mean, quantile * Math.sqrt(variance / runs), runs);
  }

  /** Estimates by how much a second variant exceeds the first on the same seeds; pairing removes the variance
   * that runs of the same seed share. */
  public static Estimate paired(double[] first, double[] second) {
    if (first.length != second.length) {
      throw new IllegalArgumentException("paired estimates need equal numbers of runs: " + first.length
          + " and "
          + second.length);
    }
    double[] differences = new double[first.length];
    Arrays.setAll(differences, i -> second[i] - first[i]);
    return of(differences);
  }

  /** Whether the mean differs significantly from zero. */
  public boolean isSignificant() {
    return Math.abs(mean) > halfWidth;
  }
}
