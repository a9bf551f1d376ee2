package hollyslip.tenant;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.util.List;

/** Figures as people read them: whole ones without a point, none with an exponent, bytes with their unit. */
public final class Plain {
  private static final List<String> UNITS = List.of("KiB", "MiB", "GiB", "TiB");
  private static final double MAX_EXACT_LONG = 1L << 53;

  private Plain() {}

  /** A whole figure as a {@code Long}, others as they are. */
  public static Number toWholeIfExact(double figure) {
    if (Math.abs(figure) <= MAX_EXACT_LONG && figure == Math.rint(figure)) {
      return (long) figure;
    }
    return figure;
  }

  /** Digits alone, three after the point at most. */
  public static String formatNumber(double figure) {
    if (Double.isNaN(figure) || Double.isInfinite(figure)) {
      return Double.toString(figure);
    }
    BigDecimal d = BigDecimal.valueOf(figure);
    return (d.scale() > 3 ? d.setScale(3, RoundingMode.HALF_UP) : d).stripTrailingZeros().toPlainString();
  }

  /** Bytes in the largest unit of which there is at least one: {@code 1.5 GiB}, {@code 512 bytes}. */
  public static String bytes(long bytes) {
    int unit = -1;
    double in = bytes;
    while (Math.abs(in) >= 1024 && unit < UNITS.size() - 1) {
      in /= 1024;
      unit++;
    }
    return unit < 0 ? bytes + " bytes" : formatNumber(in) + " " + UNITS.get(unit);
  }
}
