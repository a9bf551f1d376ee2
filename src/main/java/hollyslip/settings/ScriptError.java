package hollyslip.settings;

import java.util.ArrayList;
import java.util.List;

/** A fault of a settings script: what, where, and through which calls. */
public final class ScriptError extends RuntimeException {
  private final List<String> callers = new ArrayList<>();
  private final Location location;

  /** A location in a file; lines and columns count from 1. */
  public record Location(String file, int line, int column) {
    @Override
    public String toString() {
      return file + ":" + line + ":" + column;
    }
  }

  ScriptError(Location location, String what) {
    super(what);
    this.location = location;
  }

  /** The call of a function at a location passes this on. */
  ScriptError addCaller(String function, Location at) {
    if (callers.size() < 20) {
      callers.add("  called from " + at + " (" + function + ")");
    }
    return this;
  }

  public Location location() {
    return location;
  }

  /** {@code file:line:column: what}, then a line for each call on the way. */
  public String text() {
    return callers.isEmpty()
        ? location + ": " + getMessage()
        : location + ": " + getMessage() + "\n" + String.join("\n", callers);
  }
}
