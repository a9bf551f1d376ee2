package hollyslip.settings;

import hollyslip.settings.Evaluator.Callable;
import hollyslip.settings.Evaluator.Dict;
import hollyslip.settings.Evaluator.Sequence;
import hollyslip.settings.ScriptError.Location;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Functions that every script sees, and methods of strings. Source: the Starlark specification, "Built-in
 * constants and functions" and "string" methods; units of time (us) and size (bytes) are ours. */
final class Builtins {
  private static final int MAX_RANGE_SIZE = 200_000;

  private Builtins() {}

  static void checkArgumentCount(Location location, String name, List<Object> a, int least, int most) {
    if (a.size() < least || a.size() > most) {
      throw new ScriptError(location, name + ": " + a.size() + " arguments");
    }
  }

  private static Callable singleArgument(String name,
      java.util.function.BiFunction<Location, Object, Object> f) {
    return (p, a, n) -> {
      checkArgumentCount(p, name, a, 1, 1);
      if (!n.isEmpty()) {
        throw new ScriptError(p, name + ": takes no named arguments");
      }
      return f.apply(p, a.get(0));
    };
  }

  static void addTo(Map<String, Object> to) {
    to.put("KiB", 1L << 10);
    to.put("MiB", 1L << 20);
    to.put("GiB", 1L << 30);
    to.put("us", singleArgument("us", (p, v) -> toMicros(p, v, 1)));
    to.put("ms", singleArgument("ms", (p, v) -> toMicros(p, v, 1_000)));
    to.put("seconds", singleArgument("seconds", (p, v) -> toMicros(p, v, 1_000_000)));
    to.put("len", singleArgument("len", Builtins::length));
    to.put("str", singleArgument("str", (p, v) -> str(v)));
    to.put("bool", singleArgument("bool", (p, v) -> Evaluator.isTruthy(v)));
    to.put("int", singleArgument("int", Builtins::toInt));
    to.put("float", singleArgument("float", Builtins::toFloat));
    to.put("list", singleArgument("list", (p, v) -> new Sequence(new ArrayList<>(Operators.elements(p, v)),
        false)));
    to.put("tuple", singleArgument("tuple", (p, v) -> new Sequence(new ArrayList<>(Operators.elements(p, v)),
        true)));
    to.put("type", singleArgument("type", (p, v) -> Operators.typeName(v)));
    to.put("fail", (Callable) (p, a, n) -> {
      throw new ScriptError(p, "fail: " + String.join(" ", a.stream().map(Builtins::str).toList()));
    });
    to.put("range", (Callable) Builtins::range);
    to.put("enumerate", singleArgument("enumerate", (p, v) -> {
      List<Object> pairs = new ArrayList<>();
      for (Object item : Operators.elements(p, v)) {
        pairs.add(new Sequence(Arrays.asList((long) pairs.size(), item), true));
      }
      return new Sequence(pairs, false);
    }));
    to.put("zip", (Callable) Builtins::zip);
    to.put("sorted", singleArgument("sorted", (p, v) -> {
      List<Object> all = new ArrayList<>(Operators.elements(p, v));
      all.sort((a, b) -> Operators.compare(p, a, b));
      return new Sequence(all, false);
    }));
    to.put("min", (Callable) (p, a, n) -> minOrMax(p, a, -1));
    to.put("max", (Callable) (p, a, n) -> minOrMax(p, a, 1));
  }

  private static Object toMicros(Location p, Object v, long us) {
    if (!(v instanceof Number n) || !Double.isFinite(n.doubleValue()) || Math.abs(n.doubleValue()
        * us) > 1e15) {
      throw Operators.typeError(p, "a time", v);
    }
    return Math.round(n.doubleValue() * us);
  }

  private static Object length(Location p, Object v) {
    if (v instanceof String s) {
      return (long) s.length();
    }
    return (long) (v instanceof Dict d ? d.entries.size() : Operators.elements(p, v).size());
  }

  private static Object toInt(Location p, Object v) {
    if (v instanceof Number n) {
      return n.longValue();
    }
    try {
      return Long.parseLong(String.valueOf(v).strip());
    } catch (NumberFormatException e) {
      throw new ScriptError(p, "int: " + repr(v) + " is not a whole number");
    }
  }

  private static Object toFloat(Location p, Object v) {
    if (v instanceof Number n) {
      return n.doubleValue();
    }
    try {
      return Double.parseDouble(String.valueOf(v).strip());
    } catch (NumberFormatException e) {
      throw new ScriptError(p, "float: " + repr(v) + " is not a number");
    }
  }

  private static Object range(Location p, List<Object> a, Map<String, Object> n) {
    checkArgumentCount(p, "range", a, 1, 3);
    if (a.stream().anyMatch(v -> !(v instanceof Long))) {
      throw new ScriptError(p, "range: takes whole numbers");
    }
    long from = a.size() == 1 ? 0 : (Long) a.get(0);
    long to = (Long) a.get(a.size() == 1 ? 0 : 1);
    long step = a.size() == 3 ? (Long) a.get(2) : 1;
    if (step == 0) {
      throw new ScriptError(p, "range: a step of zero");
    }
    List<Object> all = new ArrayList<>();
    for (long i = from; step > 0 ? i < to : i > to; i += step) {
      if (all.size() == MAX_RANGE_SIZE) {
        throw new ScriptError(p, "range: more than " + MAX_RANGE_SIZE);
      }
      all.add(i);
    }
    return new Sequence(all, false);
  }

  private static Object zip(Location p, List<Object> a, Map<String, Object> n) {
    List<Object> rows = new ArrayList<>();
    int size = a.stream().mapToInt(v -> Operators.elements(p, v).size()).min().orElse(0);
    for (int i = 0; i < size; i++) {
      List<Object> row = new ArrayList<>();
      for (Object v : a) {
        row.add(Operators.elements(p, v).get(i));
      }
      rows.add(new Sequence(row, true));
    }
    return new Sequence(rows, false);
  }

  private static Object minOrMax(Location p, List<Object> a, int sign) {
    List<Object> all = a.size() == 1 ? Operators.elements(p, a.get(0)) : a;
    if (all.isEmpty()) {
      throw new ScriptError(p, "min, max: of nothing");
    }
    return Collections.max(all, (x, y) -> sign * Operators.compare(p, x, y));
  }

  static String str(Object v) {
    return v instanceof String s ? s : repr(v);
  }

  static String repr(Object v) {
    if (v == null) {
      return "None";
    }
    if (v instanceof Boolean b) {
      return b ? "True" : "False";
    }
    if (v instanceof String s) {
      return "\"" + s.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + "\"";
    }
    if (v instanceof Sequence i) {
      String inner = String.join(", ", i.elements.stream().map(Builtins::repr).toList());
      return i.tuple ? "(" + inner + (i.elements.size() == 1 ? ",)" : ")") : "[" + inner + "]";
    }
    if (v instanceof Dict d) {
      return "{" + String.join(", ", d.entries.entrySet()
          .stream()
          .map(e -> repr(e.getKey()) + ": " + repr(e.getValue()))
          .toList()) + "}";
    }
    return v instanceof Callable ? "<function>" : v.toString();
  }

  /** {@code "%s %d" % values}. */
  static Object formatPercent(Location p, String format, List<Object> values) {
    StringBuilder out = new StringBuilder();
    int used = 0;
    for (int i = 0; i < format.length(); i++) {
      char c = format.charAt(i);
      if (c != '%') {
        out.append(c);
        continue;
      }
      char kind = ++i < format.length() ? format.charAt(i) : ' ';
      if (kind == '%') {
        out.append('%');
      } else if ("srd".indexOf(kind) < 0 || used == values.size()) {
        throw new ScriptError(p, "'%': " + (used == values.size()
            ? "too few values"
            : "%" + kind + " is not known"));
      } else {
        Object v = values.get(used++);
        out.append(kind == 'r' ? repr(v) : kind == 'd' ? str(toInt(p, v)) : str(v));
      }
    }
    if (used < values.size()) {
      throw new ScriptError(p, "'%': too many values");
    }
    return out.toString();
  }

  static Callable stringMethod(String s, String name) {
    return switch (name) {
      case "upper" -> (p, a, n) -> s.toUpperCase(Locale.ROOT);
      case "lower" -> (p, a, n) -> s.toLowerCase(Locale.ROOT);
      case "strip" -> (p, a, n) -> s.strip();
      case "startswith" -> singleArgument(name, (p, v) -> s.startsWith(str(v)));
      case "endswith" -> singleArgument(name, (p, v) -> s.endsWith(str(v)));
      case "join" -> singleArgument(name, (p, v) -> String.join(s, Operators.elements(p, v)
          .stream()
          .map(Builtins::str)
          .toList()));
      case "split" -> singleArgument(name, (p, v) -> {
        if (str(v).isEmpty()) {
          throw new ScriptError(p, "split: an empty separator");
        }
        return new Sequence(new ArrayList<>(List.of(s.split(java.util.regex.Pattern.quote(str(v)), -1))),
            false);
      });
      case "replace" -> (p, a, n) -> {
        checkArgumentCount(p, name, a, 2, 2);
        if (str(a.get(0)).isEmpty()) {
          throw new ScriptError(p, "replace: of nothing");
        }
        return s.replace(str(a.get(0)), str(a.get(1)));
      };
      case "format" -> (p, a, n) -> formatBraces(p, s, a, n);
      default -> null;
    };
  }

  private static Object formatBraces(Location p, String s, List<Object> a, Map<String, Object> named) {
    StringBuilder out = new StringBuilder();
    int used = 0;
    for (int i = 0; i < s.length(); i++) {
      char c = s.charAt(i);
      boolean twice = i + 1 < s.length() && s.charAt(i + 1) == c;
      if (c != '{' && c != '}' || twice) {
        out.append(c);
        i += (c == '{' || c == '}') ? 1 : 0;
        continue;
      }
      int end = s.indexOf('}', i);
      if (c == '}' || end < 0) {
        throw new ScriptError(p, "format: a brace stands alone");
      }
      String field = s.substring(i + 1, end);
      Object v;
      if (field.isEmpty() && used < a.size()) {
        v = a.get(used++);
      } else if (named.containsKey(field)) {
        v = named.get(field);
      } else {
        throw new ScriptError(p, "format: no value for {" + field + "}");
      }
      out.append(str(v));
      i = end;
    }
    return out.toString();
  }
}
