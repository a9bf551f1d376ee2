package hollyslip.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Reads the fields of a JSON object and names the invalid one in errors. Unknown fields are rejected, so
 * that a misspelled field is not mistaken for an omitted one. */
record JsonObjectReader(JsonNode object, String path) {
  JsonObjectReader(JsonNode object, String path, Set<String> knownFields) {
    this(object, path);
    if (object == null || !object.isObject()) {
      throw ApiException.invalid(path.isEmpty() ? "body" : path, "must be an object");
    }
    object.fieldNames().forEachRemaining(field -> {
      if (!knownFields.contains(field)) {
        throw ApiException.invalid(pathOf(field), "is unknown; known fields are " + knownFields.stream()
            .sorted()
            .toList());
      }
    });
  }

  private String pathOf(String field) {
    return path.isEmpty() ? field : path + "." + field;
  }

  private JsonNode get(String field) {
    JsonNode node = object.get(field);
    return node == null || node.isNull() ? null : node;
  }

  String string(String field) {
    JsonNode node = get(field);
    if (node == null || !node.isTextual()) {
      throw ApiException.invalid(pathOf(field), node == null ? "is missing" : "must be a string");
    }
    return node.asText();
  }

  double number(String field, Double defaultValue) {
    Double value = number(field);
    if (value == null && defaultValue == null) {
      throw ApiException.invalid(pathOf(field), "is missing");
    }
    return value == null ? defaultValue : value;
  }

  /** Returns null if the field is missing. */
  Double number(String field) {
    JsonNode node = get(field);
    if (node != null && (!node.isNumber() || Double.isInfinite(node.asDouble()) || Double.isNaN(node
        .asDouble()))) {
      throw ApiException.invalid(pathOf(field), "must be a number");
    }
    return node == null ? null : node.asDouble();
  }

  long integer(String field, Long defaultValue) {
    JsonNode node = get(field);
    if (node == null && defaultValue == null || node != null && !(node.isIntegralNumber() && node
        .canConvertToLong())) {
      throw ApiException.invalid(pathOf(field), node == null ? "is missing" : "must be a whole number");
    }
    return node == null ? defaultValue : node.asLong();
  }

  JsonObjectReader object(String field, Set<String> knownFields) {
    if (get(field) == null) {
      throw ApiException.invalid(pathOf(field), "is missing");
    }
    return new JsonObjectReader(get(field), pathOf(field), knownFields);
  }

  /** Returns an object of integers as a map; empty if the field is missing. */
  Map<String, Long> integerMap(String field) {
    Map<String, Long> map = new TreeMap<>();
    JsonNode node = get(field);
    if (node != null) {
      Set<String> names = new java.util.HashSet<>();
      node.fieldNames().forEachRemaining(names::add);
      JsonObjectReader reader = new JsonObjectReader(node, pathOf(field), names);
      names.forEach(name -> map.put(name, reader.integer(name, null)));
    }
    return map;
  }

  /** Applies a merge patch (RFC 7396) to an object. */
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
