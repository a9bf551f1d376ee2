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

/** A settings script: what its calls declare, in the order in which they were made, and where. */
public final class Script {
  /** Calls that declare something. */
  static final List<String> DECLARATION_KINDS = List.of("gateway", "rules", "store", "request_class", "plan",
      "node", "volume");

  /** Declarations of one script, and how many one may make: a fleet of thousands fits. */
  private static final int MAX_DECLARATIONS = 100_000;

  private static final ObjectMapper JSON = new ObjectMapper();

  private final ObjectNode declared = JSON.createObjectNode();
  private final Map<String, Location> locations = new HashMap<>();
  private int declarationCount;

  private Script() {}

  /** Runs the script in a file; {@code load} reaches its neighbours.
   *
   * @throws ScriptError
   *           it cannot be run */
  public static Script run(Path file) {
    return run(file, DECLARATION_KINDS);
  }

  /** As the other, with calls of other names that declare something. */
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

  /** Runs a script out of named texts; null: there is no such file. */
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
      throw new ScriptError(new Location(file, 1, 1), "nested too deep");
    }
    return script;
  }

  /** What was declared: an array for each kind of call. */
  public JsonNode declared() {
    return declared;
  }

  /** Where the declaration stands to which a pointer such as {@code /node/3/port} leads; null: none. */
  public Location location(String pointer) {
    String[] parts = pointer.split("/");
    return parts.length > 2 ? locations.get("/" + parts[1] + "/" + parts[2]) : null;
  }

  private Object declare(String kind, Location location, List<Object> positional, Map<String, Object> named) {
    if (++declarationCount > MAX_DECLARATIONS) {
      throw new ScriptError(location, "more than " + MAX_DECLARATIONS + " declarations");
    }
    ObjectNode one = JSON.createObjectNode();
    if (positional.size() > 1 || positional.size() == 1 && !(positional.get(0) instanceof String)) {
      throw new ScriptError(location, kind + ": takes its name first and everything else by name");
    }
    if (positional.size() == 1) {
      one.put("name", (String) positional.get(0));
    }
    for (Map.Entry<String, Object> e : named.entrySet()) {
      if (one.has(e.getKey())) {
        throw new ScriptError(location, kind + ": argument " + e.getKey() + " is given twice");
      }
      if (e.getValue() != null) {
        one.set(e.getKey(), toJson(location, e.getValue(), 0));
      }
    }
    ArrayNode all = declared.withArray("/" + kind);
    locations.put("/" + kind + "/" + all.size(), location);
    all.add(one);
    return one.path("name").isTextual() ? one.get("name").asText() : null;
  }

  private static JsonNode toJson(Location location, Object v, int depth) {
    if (depth > 20) {
      throw new ScriptError(location, "a value nested too deep");
    }
    if (v instanceof Boolean b) {
      return JSON.getNodeFactory().booleanNode(b);
    }
    if (v instanceof Long n) {
      return JSON.getNodeFactory().numberNode(n);
    }
    if (v instanceof Double d) {
      return JSON.getNodeFactory().numberNode(d);
    }
    if (v instanceof String s) {
      return JSON.getNodeFactory().textNode(s);
    }
    if (v instanceof Sequence i) {
      ArrayNode a = JSON.createArrayNode();
      i.elements.forEach(o -> a.add(toJson(location, o, depth + 1)));
      return a;
    }
    if (v instanceof Dict d) {
      ObjectNode o = JSON.createObjectNode();
      d.entries.forEach((k, value) -> o.set(Builtins.str(k), toJson(location, value, depth + 1)));
      return o;
    }
    if (v == null) {
      return JSON.nullNode();
    }
    throw new ScriptError(location, Operators.typeName(v) + " cannot be a setting");
  }

  /** A fault of what was declared. */
  public record Fault(Location location, String message) {
    @Override
    public String toString() {
      return (location == null ? "" : location + ": ") + message;
    }
  }

  /** Faults by location, then by words. */
  static List<Fault> sorted(List<Fault> faults) {
    List<Fault> all = new ArrayList<>(faults);
    all.sort(java.util.Comparator.comparing((Fault f) -> f.location() == null ? "" : f.location().file())
        .thenComparing(f -> f.location() == null ? 0 : f.location().line())
        .thenComparing(f -> f.location() == null ? 0 : f.location().column())
        .thenComparing(Fault::message));
    return all;
  }
}
