package hollyslip.settings;

import java.util.ArrayList;
import java.util.List;

/** A fault of a settings script: what, where, and through which calls. */
public final class ScriptError extends RuntimeException {
  private final List<String> calls = new ArrayList<>();
  private final Place place;

  /** A place in a file; lines and columns count from 1. */
  public record Place(String file, int line, int column) {
    @Override
    public String toString() {
      return file + ":" + line + ":" + column;
    }
  }

  ScriptError(Place place, String what) {
    super(what);
    this.place = place;
  }

  /** The call of a function at a place passes this on. */
  ScriptError through(String function, Place at) {
    if (calls.size() < 20) {
      calls.add("  called from " + at + " (" + function + ")");
    }
    return this;
  }

  public Place place() {
    return place;
  }

  /** {@code file:line:column: what}, then a line for each call on the way. */
  public String text() {
    return calls.isEmpty()
        ? place + ": " + getMessage()
        : place + ": " + getMessage() + "\n" + String.join("\n", calls);
  }
}
