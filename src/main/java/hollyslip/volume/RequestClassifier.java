package hollyslip.volume;

import java.util.List;
import java.util.Set;

/** Determines a request's class and its number of units, both from configured rules by operation and size. */
public final class RequestClassifier {
  private final List<Rule> rules;
  private final long unitBytes;
  private final int maxUnits;

  /** Requests with one of these operations and at most {@code maxBytes} are of this class. */
  public record Rule(String className, Set<IoKind> kinds, long maxBytes) {
    public Rule {
      kinds = Set.copyOf(kinds);
    }
  }

  /** @param rules
   *          in order; the first match decides
   * @param unitBytes
   *          bytes per unit
   * @param maxUnits
   *          maximum number of units of a request */
  public RequestClassifier(List<Rule> rules, long unitBytes, int maxUnits) {
    this.rules = List.copyOf(rules);
    this.unitBytes = unitBytes;
    this.maxUnits = maxUnits;
    if (unitBytes < 1 || maxUnits < 1) {
      throw new IllegalArgumentException("unitBytes, maxUnits: must be at least 1");
    }
    for (IoKind kind : IoKind.values()) {
      if (rules.stream().noneMatch(r -> r.kinds.contains(kind) && r.maxBytes == Long.MAX_VALUE)) {
        throw new IllegalArgumentException("no request class takes " + kind + " of any size");
      }
    }
  }

  /** Name of the class of a request of the given size. */
  public String className(IoKind kind, long bytes) {
    for (Rule rule : rules) {
      if (bytes <= rule.maxBytes && rule.kinds.contains(kind)) {
        return rule.className;
      }
    }
    throw new IllegalStateException("no class for " + kind + " of " + bytes + " bytes");
  }

  /** Units of a request: its size divided by the unit size, rounded up, between 1 and the maximum; 1 for
   * operations without data. */
  public double units(IoKind kind, long bytes) {
    return kind.carriesData() ? Math.max(1, Math.min(maxUnits, (bytes + unitBytes - 1) / unitBytes)) : 1;
  }
}
