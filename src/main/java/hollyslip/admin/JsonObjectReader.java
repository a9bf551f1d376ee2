package hollyslip.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Reads a JSON object field by field and names the field that is wrong. Fields that are not known are
 * refused: a misspelt one must not pass for one that is left out. */
record JsonObjectReader(JsonNode object, String path) {
  JsonObjectReader(JsonNode object, String prefix, Set<String> known) {
    this(object, prefix);
    if (object == null || !object.isObject()) {
      throw ApiException.invalid(prefix.isEmpty() ? "body" : prefix, "must be an object");
    }
    object.fieldNames().forEachRemaining(f -> {
      if (!known.contains(f)) {
        throw ApiException.invalid(pathOf(f), "is not known; known are " + known.stream().sorted().toList());
      }
    });
  }

  private String pathOf(String field) {
    return path.isEmpty() ? field : path + "." + field;
  }

  private JsonNode get(String field) {
    JsonNode n = object.get(field);
    return n == null || n.isNull() ? null : n;
  }

  String string(String field) {
    JsonNode n = get(field);
    if (n == null || !n.isTextual()) {
      throw ApiException.invalid(pathOf(field), n == null ? "is missing" : "must be a text");
    }
    return n.asText();
  }

  double number(String field, Double standard) {
    Double d = number(field);
    if (d == null && standard == null) {
      throw ApiException.invalid(pathOf(field), "is missing");
    }
    return d == null ? standard : d;
  }

  /** Null: not given. */
  Double number(String field) {
    JsonNode n = get(field);
    if (n != null && (!n.isNumber() || Double.isInfinite(n.asDouble()) || Double.isNaN(n.asDouble()))) {
      throw ApiException.invalid(pathOf(field), "must be a number");
    }
    return n == null ? null : n.asDouble();
  }

  long integer(String field, Long standard) {
    JsonNode n = get(field);
    if (n == null && standard == null || n != null && !(n.isIntegralNumber() && n.canConvertToLong())) {
      throw ApiException.invalid(pathOf(field), n == null ? "is missing" : "must be a whole number");
    }
    return n == null ? standard : n.asLong();
  }

  JsonObjectReader object(String field, Set<String> known) {
    if (get(field) == null) {
      throw ApiException.invalid(pathOf(field), "is missing");
    }
    return new JsonObjectReader(get(field), pathOf(field), known);
  }

  /** Whole numbers by name. */
  Map<String, Long> integerMap(String field) {
    Map<String, Long> map = new TreeMap<>();
    JsonNode n = get(field);
    if (n != null) {
      Set<String> names = new java.util.HashSet<>();
      n.fieldNames().forEachRemaining(names::add);
      JsonObjectReader inner = new JsonObjectReader(n, pathOf(field), names);
      names.forEach(name -> map.put(name, inner.integer(name, null)));
    }
    return map;
  }

  /** Lays a merge patch (RFC 7396) over an object. */
  static ObjectNode mergePatch(ObjectNode target, JsonNode patch) {
    if (patch == null || !patch.isObject()) {
      throw ApiException.invalid("body", "must be an object");
    }
    patch.fields().forEachRemaining(e -> {
      JsonNode old = target.get(e.getKey());
      if (e.getValue().isNull()) {
        target.remove(e.getKey());
      } else if (e.getValue().isObject()) {
        target.set(e.getKey(), mergePatch(old instanceof ObjectNode o ? o : target.objectNode(), e
            .getValue()));
      } else {
        target.set(e.getKey(), e.getValue());
      }
    });
    return target;
  }
}
