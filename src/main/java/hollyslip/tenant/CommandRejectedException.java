package hollyslip.tenant;

import java.util.HashMap;
import java.util.Map;

/** Thrown for a command that cannot be carried out; nothing has changed. */
public final class CommandRejectedException extends RuntimeException {
  private static final long serialVersionUID = 1;

  /** Why the command was rejected. */
  public enum Reason {
    /** A field is missing or out of range. */
    INVALID,
    /** The named resource does not exist, or the caller may not see it. */
    UNKNOWN,
    /** The name is taken, or the present state does not allow the command. */
    CONFLICT,
    /** Capacity or quota does not suffice; the figures say why and what would fit. */
    NO_ROOM,
    /** The caller's revision is not the current one. */
    STALE,
    /** The idempotency key was used for a different request. */
    KEY_REUSED
  }

  private final Reason reason;
  private final String field;
  private final transient Map<String, Object> figures;

  CommandRejectedException(Reason kind, String field, String message, Map<String, Object> figures) {
    super(message, null, false, false);
    this.reason = kind;
    this.field = field;
    Map<String, Object> formatted = new HashMap<>();
    figures.forEach((name, figure) -> formatted.put(name, figure instanceof Double d
        ? NumberFormatter.toWholeIfExact(d)
        : figure));
    this.figures = Map.copyOf(formatted);
  }

  static CommandRejectedException invalid(String field, String message) {
    return new CommandRejectedException(Reason.INVALID, field, message, Map.of());
  }

  /** The named resource does not exist. */
  public static CommandRejectedException unknown(String field, Object name) {
    return new CommandRejectedException(Reason.UNKNOWN, field, field + " " + name + " is not known", Map
        .of());
  }

  static CommandRejectedException conflict(String field, String message) {
    return new CommandRejectedException(Reason.CONFLICT, field, message, Map.of());
  }

  public Reason reason() {
    return reason;
  }

  /** The field or header that caused the rejection. */
  public String field() {
    return field;
  }

  /** Figures that say why the command was rejected and what would fit; may be empty. */
  public Map<String, Object> figures() {
    return figures;
  }
}
