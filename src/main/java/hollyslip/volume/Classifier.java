package hollyslip.volume;

import java.util.List;
import java.util.Set;

/** Says of which class a request is and how many units it counts: both as configured, by kind and size. */
public final class Classifier {
  private final List<Row> rules;
  private final long unitBytes;
  private final int maxUnits;

  /** One row: requests of these kinds up to {@code mostBytes} are of this class. */
  public record Row(String className, Set<IoKind> kinds, long maxBytes) {
    public Row {
      kinds = Set.copyOf(kinds);
    }
  }

  /** @param rows
   *          in order; the first that fits decides
   * @param unitBytes
   *          bytes that one unit stands for
   * @param mostUnits
   *          units counted at most */
  public Classifier(List<Row> rows, long unitBytes, int mostUnits) {
    this.rules = List.copyOf(rows);
    this.unitBytes = unitBytes;
    this.maxUnits = mostUnits;
    if (unitBytes < 1 || mostUnits < 1) {
      throw new IllegalArgumentException("unitBytes, mostUnits: must be at least 1");
    }
    for (IoKind kind : IoKind.values()) {
      if (rows.stream().noneMatch(r -> r.kinds.contains(kind) && r.maxBytes == Long.MAX_VALUE)) {
        throw new IllegalArgumentException("no request class takes " + kind + " of any size");
      }
    }
  }

  /** Name of the class of a request of this kind and so many bytes. */
  public String className(IoKind kind, long bytes) {
    for (Row row : rules) {
      if (bytes <= row.maxBytes && row.kinds.contains(kind)) {
        return row.className;
      }
    }
    throw new IllegalStateException("no class for " + kind + " of " + bytes + " bytes");
  }

  /** Units of a request: its bytes over the bytes of a unit, rounded up, at least one, at most what one
   * request may count; without data, one. */
  public double units(IoKind kind, long bytes) {
    return kind.carriesData() ? Math.max(1, Math.min(maxUnits, (bytes + unitBytes - 1) / unitBytes)) : 1;
  }
}
