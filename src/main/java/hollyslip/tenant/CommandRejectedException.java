package hollyslip.tenant;

import java.util.HashMap;
import java.util.Map;

/** A command that cannot be carried out: nothing has changed. */
public final class CommandRejectedException extends RuntimeException {
  private static final long serialVersionUID = 1;

  /** What kind of obstacle it is. */
  public enum Reason {
    /** A field is missing or out of range. */
    INVALID,
    /** What is named is not there, or not this caller's to see. */
    UNKNOWN,
    /** The name is taken, or the state does not allow it now. */
    CONFLICT,
    /** It would not fit; the figures say why and what would. */
    NO_ROOM,
    /** The caller's revision is not the present one. */
    STALE,
    /** The key of the request was used for another request. */
    KEY_REUSED
  }

  private final Reason reason;
  private final String field;
  private final transient Map<String, Object> figures;

  CommandRejectedException(Reason kind, String field, String what, Map<String, Object> figures) {
    super(what, null, false, false);
    this.reason = kind;
    this.field = field;
    Map<String, Object> plain = new HashMap<>();
    figures.forEach((name, figure) -> plain.put(name, figure instanceof Double d
        ? Plain.toWholeIfExact(d)
        : figure));
    this.figures = Map.copyOf(plain);
  }

  static CommandRejectedException invalid(String field, String what) {
    return new CommandRejectedException(Reason.INVALID, field, what, Map.of());
  }

  /** What is named is not there. */
  public static CommandRejectedException unknown(String field, Object name) {
    return new CommandRejectedException(Reason.UNKNOWN, field, field + " " + name + " is not known", Map
        .of());
  }

  static CommandRejectedException conflict(String field, String what) {
    return new CommandRejectedException(Reason.CONFLICT, field, what, Map.of());
  }

  public Reason reason() {
    return reason;
  }

  /** Field that it is about. */
  public String field() {
    return field;
  }

  /** Figures that say why, and what would fit; may be empty. */
  public Map<String, Object> figures() {
    return figures;
  }
}
