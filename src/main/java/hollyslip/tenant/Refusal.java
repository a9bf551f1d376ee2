package hollyslip.tenant;

import java.util.HashMap;
import java.util.Map;

/** A command that cannot be carried out: nothing has changed. */
public final class Refusal extends RuntimeException {
  private static final long serialVersionUID = 1;

  /** What kind of obstacle it is. */
  public enum Kind {
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

  private final Kind kind;
  private final String field;
  private final transient Map<String, Object> figures;

  Refusal(Kind kind, String field, String what, Map<String, Object> figures) {
    super(what, null, false, false);
    this.kind = kind;
    this.field = field;
    Map<String, Object> plain = new HashMap<>();
    figures.forEach((name, figure) -> plain.put(name, figure instanceof Double d ? Plain.number(d) : figure));
    this.figures = Map.copyOf(plain);
  }

  static Refusal invalid(String field, String what) {
    return new Refusal(Kind.INVALID, field, what, Map.of());
  }

  /** What is named is not there. */
  public static Refusal unknown(String field, Object name) {
    return new Refusal(Kind.UNKNOWN, field, field + " " + name + " is not known", Map.of());
  }

  static Refusal conflict(String field, String what) {
    return new Refusal(Kind.CONFLICT, field, what, Map.of());
  }

  public Kind kind() {
    return kind;
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
