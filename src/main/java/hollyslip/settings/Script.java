package hollyslip.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import hollyslip.settings.Evaluator.Callable;
import hollyslip.settings.Evaluator.Dict;
import hollyslip.settings.Evaluator.Sequence;
import hollyslip.settings.ScriptError.Location;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The result of running a settings script: its declarations, in the order of their calls, and where they
 * are. */
public final class Script {
  /** Functions that declare something. */
  static final List<String> DECLARATION_KINDS = List.of("gateway", "rules", "store", "request_class", "plan",
      "node", "volume");

  /** Maximum number of declarations in a script; enough for thousands of nodes. */
  private static final int MAX_DECLARATIONS = 100_000;

  private static final ObjectMapper JSON = new ObjectMapper();

  private final ObjectNode declarations = JSON.createObjectNode();
  private final Map<String, Location> locations = new HashMap<>();
  private int declarationCount;

  private Script() {}

  /** Runs the script in a file. {@code load} reads files of the same directory.
   *
   * @throws ScriptError
   *           if the script fails */
  public static Script run(Path file) {
    return run(file, DECLARATION_KINDS);
  }

  /** Runs the script in a file, with the names of the functions that declare something. */
  public static Script run(Path file, List<String> kinds) {
    Path dir = file.toAbsolutePath().getParent();
    return run(file.getFileName().toString(), name -> {
      try {
        return Files.readString(dir.resolve(name));
      } catch (IOException e) {
        return null;
      }
    }, kinds);
  }

  /** Runs a script whose files are given by a function from name to text, which returns null for a missing
   * file. */
  public static Script run(String file, java.util.function.Function<String, String> texts) {
    return run(file, texts, DECLARATION_KINDS);
  }

  private static Script run(String file, java.util.function.Function<String, String> texts,
      List<String> kinds) {
    Script script = new Script();
    Map<String, Object> names = new HashMap<>();
    for (String kind : kinds) {
      names.put(kind, (Callable) (location, positional, named) -> script.declare(kind, location, positional,
          named));
    }
    try {
      new Evaluator(names, texts).execute(file, new Location(file, 1, 1));
    } catch (StackOverflowError e) {
      throw new ScriptError(new Location(file, 1, 1), "nesting is too deep");
    }
    return script;
  }

  /** Returns the declarations: an array for each kind. */
  public JsonNode declarations() {
    return declarations;
  }

  /** Returns the location of the declaration that a JSON pointer such as {@code /node/3/port} points into, or
   * null. */
  public Location location(String pointer) {
    String[] segments = pointer.split("/");
    return segments.length > 2 ? locations.get("/" + segments[1] + "/" + segments[2]) : null;
  }

  private Object declare(String kind, Location location, List<Object> positional, Map<String, Object> named) {
    if (++declarationCount > MAX_DECLARATIONS) {
      throw new ScriptError(location, "more than " + MAX_DECLARATIONS + " declarations");
    }
    ObjectNode declaration = JSON.createObjectNode();
    if (positional.size() > 1 || positional.size() == 1 && !(positional.get(0) instanceof String)) {
      throw new ScriptError(location, kind + ": takes a name as its only positional argument");
    }
    if (positional.size() == 1) {
      declaration.put("name", (String) positional.get(0));
    }
    for (Map.Entry<String, Object> argument : named.entrySet()) {
      if (declaration.has(argument.getKey())) {
        throw new ScriptError(location, kind + ": argument " + argument.getKey() + " is given twice");
      }
      if (argument.getValue() != null) {
        declaration.set(argument.getKey(), toJson(location, argument.getValue(), 0));
      }
    }
    ArrayNode sameKind = declarations.withArray("/" + kind);
    locations.put("/" + kind + "/" + sameKind.size(), location);
    sameKind.add(declaration);
    return declaration.path("name").isTextual() ? declaration.get("name").asText() : null;
  }

  private static JsonNode toJson(Location location, Object value, int depth) {
    if (depth > 20) {
      throw new ScriptError(location, "value is nested too deep");
    }
    if (value instanceof Boolean bool) {
      return JSON.getNodeFactory().booleanNode(bool);
    }
    if (value instanceof Long number) {
      return JSON.getNodeFactory().numberNode(number);
    }
    if (value instanceof Double floating) {
      return JSON.getNodeFactory().numberNode(floating);
    }
    if (value instanceof String text) {
      return JSON.getNodeFactory().textNode(text);
    }
    if (value instanceof Sequence sequence) {
      ArrayNode array = JSON.createArrayNode();
      sequence.elements.forEach(element -> array.add(toJson(location, element, depth + 1)));
      return array;
    }
    if (value instanceof Dict dict) {
      ObjectNode object = JSON.createObjectNode();
      dict.entries.forEach((key, element) -> object.set(Builtins.str(key), toJson(location, element, depth
          + 1)));
      return object;
    }
    if (value == null) {
      return JSON.nullNode();
    }
    throw new ScriptError(location, Operators.typeName(value) + " cannot be used as a setting");
  }

  /** An error in the declarations; {@code location} is null if it concerns no single declaration. */
  public record Fault(Location location, String message) {
    @Override
    public String toString() {
      return (location == null ? "" : location + ": ") + message;
    }
  }

  /** Returns the faults sorted by location, then by message. */
  static List<Fault> sorted(List<Fault> faults) {
    List<Fault> sorted = new ArrayList<>(faults);
    sorted.sort(java.util.Comparator.comparing((Fault f) -> f.location() == null ? "" : f.location().file())
        .thenComparing(f -> f.location() == null ? 0 : f.location().line())
        .thenComparing(f -> f.location() == null ? 0 : f.location().column())
        .thenComparing(Fault::message));
    return sorted;
  }
}
