package hollyslip.tenant;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.util.List;

/** Formats numbers for people: whole numbers without a decimal point, none with an exponent, bytes with a
 * unit. */
public final class NumberFormatter {
  private static final List<String> UNITS = List.of("KiB", "MiB", "GiB", "TiB");
  private static final double MAX_EXACT_LONG = 1L << 53;

  private NumberFormatter() {}

  /** Returns a whole number as a {@code Long}, and any other number unchanged. */
  public static Number toWholeIfExact(double value) {
    if (Math.abs(value) <= MAX_EXACT_LONG && value == Math.rint(value)) {
      return (long) value;
    }
    return value;
  }

  /** Formats a number without an exponent, with at most three decimal places. */
  public static String formatNumber(double value) {
    if (Double.isNaN(value) || Double.isInfinite(value)) {
      return Double.toString(value);
    }
    BigDecimal decimal = BigDecimal.valueOf(value);
    return (decimal.scale() > 3 ? decimal.setScale(3, RoundingMode.HALF_UP) : decimal).stripTrailingZeros()
        .toPlainString();
  }

  /** Formats a byte count in the largest unit of which there is at least one: {@code 1.5 GiB},
   * {@code 512 bytes}. */
  public static String formatBytes(long bytes) {
    int unit = -1;
    double scaled = bytes;
    while (Math.abs(scaled) >= 1024 && unit < UNITS.size() - 1) {
      scaled /= 1024;
      unit++;
    }
    return unit < 0 ? bytes + " bytes" : formatNumber(scaled) + " " + UNITS.get(unit);
  }
}
