package hollyslip.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import hollyslip.settings.Evaluator.Callable;
import hollyslip.settings.Evaluator.Dict;
import hollyslip.settings.Evaluator.Items;
import hollyslip.settings.ScriptError.Place;
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
  static final List<String> DECLARATIONS = List.of("gateway", "rules", "store", "request_class", "plan",
      "node", "volume");

  /** Declarations of one script, and how many one may make: a fleet of thousands fits. */
  private static final int MOST_DECLARATIONS = 100_000;

  private static final ObjectMapper JSON = new ObjectMapper();

  private final ObjectNode declared = JSON.createObjectNode();
  private final Map<String, Place> places = new HashMap<>();
  private int count;

  private Script() {}

  /** Runs the script in a file; {@code load} reaches its neighbours.
   *
   * @throws ScriptError
   *           it cannot be run */
  public static Script run(Path file) {
    return run(file, DECLARATIONS);
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
    return run(file, texts, DECLARATIONS);
  }

  private static Script run(String file, java.util.function.Function<String, String> texts,
      List<String> kinds) {
    Script script = new Script();
    Map<String, Object> names = new HashMap<>();
    for (String kind : kinds) {
      names.put(kind, (Callable) (place, positional, named) -> script.declare(kind, place, positional,
          named));
    }
    try {
      new Evaluator(names, texts).run(file, new Place(file, 1, 1));
    } catch (StackOverflowError e) {
      throw new ScriptError(new Place(file, 1, 1), "nested too deep");
    }
    return script;
  }

  /** What was declared: an array for each kind of call. */
  public JsonNode declared() {
    return declared;
  }

  /** Where the declaration stands to which a pointer such as {@code /node/3/port} leads; null: none. */
  public Place place(String pointer) {
    String[] parts = pointer.split("/");
    return parts.length > 2 ? places.get("/" + parts[1] + "/" + parts[2]) : null;
  }

  private Object declare(String kind, Place place, List<Object> positional, Map<String, Object> named) {
    if (++count > MOST_DECLARATIONS) {
      throw new ScriptError(place, "more than " + MOST_DECLARATIONS + " declarations");
    }
    ObjectNode one = JSON.createObjectNode();
    if (positional.size() > 1 || positional.size() == 1 && !(positional.get(0) instanceof String)) {
      throw new ScriptError(place, kind + ": takes its name first and everything else by name");
    }
    if (positional.size() == 1) {
      one.put("name", (String) positional.get(0));
    }
    for (Map.Entry<String, Object> e : named.entrySet()) {
      if (one.has(e.getKey())) {
        throw new ScriptError(place, kind + ": argument " + e.getKey() + " is given twice");
      }
      if (e.getValue() != null) {
        one.set(e.getKey(), json(place, e.getValue(), 0));
      }
    }
    ArrayNode all = declared.withArray("/" + kind);
    places.put("/" + kind + "/" + all.size(), place);
    all.add(one);
    return one.path("name").isTextual() ? one.get("name").asText() : null;
  }

  private static JsonNode json(Place place, Object v, int depth) {
    if (depth > 20) {
      throw new ScriptError(place, "a value nested too deep");
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
    if (v instanceof Items i) {
      ArrayNode a = JSON.createArrayNode();
      i.all.forEach(o -> a.add(json(place, o, depth + 1)));
      return a;
    }
    if (v instanceof Dict d) {
      ObjectNode o = JSON.createObjectNode();
      d.all.forEach((k, value) -> o.set(Builtins.text(k), json(place, value, depth + 1)));
      return o;
    }
    if (v == null) {
      return JSON.nullNode();
    }
    throw new ScriptError(place, Operators.type(v) + " cannot be a setting");
  }

  /** A fault of what was declared. */
  public record Fault(Place place, String what) {
    @Override
    public String toString() {
      return (place == null ? "" : place + ": ") + what;
    }
  }

  /** Faults by place, then by words. */
  static List<Fault> sorted(List<Fault> faults) {
    List<Fault> all = new ArrayList<>(faults);
    all.sort(java.util.Comparator.comparing((Fault f) -> f.place() == null ? "" : f.place().file())
        .thenComparing(f -> f.place() == null ? 0 : f.place().line())
        .thenComparing(f -> f.place() == null ? 0 : f.place().column())
        .thenComparing(Fault::what));
    return all;
  }
}
