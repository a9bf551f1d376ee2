package hollyslip.settings;

import java.util.ArrayList;
import java.util.List;

/** An error in a settings script, with its location and the calls that led to it. */
public final class ScriptError extends RuntimeException {
  private final List<String> callers = new ArrayList<>();
  private final Location location;

  /** A position in a file; lines and columns count from 1. */
  public record Location(String file, int line, int column) {
    @Override
    public String toString() {
      return file + ":" + line + ":" + column;
    }
  }

  ScriptError(Location location, String message) {
    super(message);
    this.location = location;
  }

  /** Records that the error passed through a call of {@code function}; at most 20 calls are kept. */
  ScriptError addCaller(String function, Location callLocation) {
    if (callers.size() < 20) {
      callers.add("  called from " + callLocation + " (" + function + ")");
    }
    return this;
  }

  public Location location() {
    return location;
  }

  /** Returns {@code file:line:column: message}, followed by a line for each call, innermost first. */
  public String text() {
    return callers.isEmpty()
        ? location + ": " + getMessage()
        : location + ": " + getMessage() + "\n" + String.join("\n", callers);
  }
}
