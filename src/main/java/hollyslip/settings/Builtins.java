package hollyslip.settings;

import hollyslip.settings.Evaluator.Callable;
import hollyslip.settings.Evaluator.Dict;
import hollyslip.settings.Evaluator.Items;
import hollyslip.settings.ScriptError.Place;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Functions that every script sees, and methods of strings. Source: the Starlark specification, "Built-in
 * constants and functions" and "string" methods; units of time (us) and size (bytes) are ours. */
final class Builtins {
  private static final int MOST_RANGE = 200_000;

  private Builtins() {}

  static void count(Place place, String name, List<Object> a, int least, int most) {
    if (a.size() < least || a.size() > most) {
      throw new ScriptError(place, name + ": " + a.size() + " arguments");
    }
  }

  private static Callable one(String name, java.util.function.BiFunction<Place, Object, Object> f) {
    return (p, a, n) -> {
      count(p, name, a, 1, 1);
      if (!n.isEmpty()) {
        throw new ScriptError(p, name + ": takes no named arguments");
      }
      return f.apply(p, a.get(0));
    };
  }

  static void add(Map<String, Object> to) {
    to.put("KiB", 1L << 10);
    to.put("MiB", 1L << 20);
    to.put("GiB", 1L << 30);
    to.put("us", one("us", (p, v) -> time(p, v, 1)));
    to.put("ms", one("ms", (p, v) -> time(p, v, 1_000)));
    to.put("seconds", one("seconds", (p, v) -> time(p, v, 1_000_000)));
    to.put("len", one("len", Builtins::length));
    to.put("str", one("str", (p, v) -> text(v)));
    to.put("bool", one("bool", (p, v) -> Evaluator.truth(v)));
    to.put("int", one("int", Builtins::integer));
    to.put("float", one("float", Builtins::floating));
    to.put("list", one("list", (p, v) -> new Items(new ArrayList<>(Operators.items(p, v)), false)));
    to.put("tuple", one("tuple", (p, v) -> new Items(new ArrayList<>(Operators.items(p, v)), true)));
    to.put("type", one("type", (p, v) -> Operators.type(v)));
    to.put("fail", (Callable) (p, a, n) -> {
      throw new ScriptError(p, "fail: " + String.join(" ", a.stream().map(Builtins::text).toList()));
    });
    to.put("range", (Callable) Builtins::range);
    to.put("enumerate", one("enumerate", (p, v) -> {
      List<Object> pairs = new ArrayList<>();
      for (Object item : Operators.items(p, v)) {
        pairs.add(new Items(Arrays.asList((long) pairs.size(), item), true));
      }
      return new Items(pairs, false);
    }));
    to.put("zip", (Callable) Builtins::zip);
    to.put("sorted", one("sorted", (p, v) -> {
      List<Object> all = new ArrayList<>(Operators.items(p, v));
      all.sort((a, b) -> Operators.compare(p, a, b));
      return new Items(all, false);
    }));
    to.put("min", (Callable) (p, a, n) -> extreme(p, a, -1));
    to.put("max", (Callable) (p, a, n) -> extreme(p, a, 1));
  }

  private static Object time(Place p, Object v, long us) {
    if (!(v instanceof Number n) || !Double.isFinite(n.doubleValue()) || Math.abs(n.doubleValue()
        * us) > 1e15) {
      throw Operators.wrong(p, "a time", v);
    }
    return Math.round(n.doubleValue() * us);
  }

  private static Object length(Place p, Object v) {
    if (v instanceof String s) {
      return (long) s.length();
    }
    return (long) (v instanceof Dict d ? d.all.size() : Operators.items(p, v).size());
  }

  private static Object integer(Place p, Object v) {
    if (v instanceof Number n) {
      return n.longValue();
    }
    try {
      return Long.parseLong(String.valueOf(v).strip());
    } catch (NumberFormatException e) {
      throw new ScriptError(p, "int: " + repr(v) + " is not a whole number");
    }
  }

  private static Object floating(Place p, Object v) {
    if (v instanceof Number n) {
      return n.doubleValue();
    }
    try {
      return Double.parseDouble(String.valueOf(v).strip());
    } catch (NumberFormatException e) {
      throw new ScriptError(p, "float: " + repr(v) + " is not a number");
    }
  }

  private static Object range(Place p, List<Object> a, Map<String, Object> n) {
    count(p, "range", a, 1, 3);
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
      if (all.size() == MOST_RANGE) {
        throw new ScriptError(p, "range: more than " + MOST_RANGE);
      }
      all.add(i);
    }
    return new Items(all, false);
  }

  private static Object zip(Place p, List<Object> a, Map<String, Object> n) {
    List<Object> rows = new ArrayList<>();
    int size = a.stream().mapToInt(v -> Operators.items(p, v).size()).min().orElse(0);
    for (int i = 0; i < size; i++) {
      List<Object> row = new ArrayList<>();
      for (Object v : a) {
        row.add(Operators.items(p, v).get(i));
      }
      rows.add(new Items(row, true));
    }
    return new Items(rows, false);
  }

  private static Object extreme(Place p, List<Object> a, int sign) {
    List<Object> all = a.size() == 1 ? Operators.items(p, a.get(0)) : a;
    if (all.isEmpty()) {
      throw new ScriptError(p, "min, max: of nothing");
    }
    return Collections.max(all, (x, y) -> sign * Operators.compare(p, x, y));
  }

  static String text(Object v) {
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
    if (v instanceof Items i) {
      String inner = String.join(", ", i.all.stream().map(Builtins::repr).toList());
      return i.tuple ? "(" + inner + (i.all.size() == 1 ? ",)" : ")") : "[" + inner + "]";
    }
    if (v instanceof Dict d) {
      return "{" + String.join(", ", d.all.entrySet()
          .stream()
          .map(e -> repr(e.getKey()) + ": " + repr(e.getValue()))
          .toList()) + "}";
    }
    return v instanceof Callable ? "<function>" : v.toString();
  }

  /** {@code "%s %d" % values}. */
  static Object percent(Place p, String format, List<Object> values) {
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
        out.append(kind == 'r' ? repr(v) : kind == 'd' ? text(integer(p, v)) : text(v));
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
      case "startswith" -> one(name, (p, v) -> s.startsWith(text(v)));
      case "endswith" -> one(name, (p, v) -> s.endsWith(text(v)));
      case "join" -> one(name, (p, v) -> String.join(s, Operators.items(p, v)
          .stream()
          .map(Builtins::text)
          .toList()));
      case "split" -> one(name, (p, v) -> {
        if (text(v).isEmpty()) {
          throw new ScriptError(p, "split: an empty separator");
        }
        return new Items(new ArrayList<>(List.of(s.split(java.util.regex.Pattern.quote(text(v)), -1))),
            false);
      });
      case "replace" -> (p, a, n) -> {
        count(p, name, a, 2, 2);
        if (text(a.get(0)).isEmpty()) {
          throw new ScriptError(p, "replace: of nothing");
        }
        return s.replace(text(a.get(0)), text(a.get(1)));
      };
      case "format" -> (p, a, n) -> format(p, s, a, n);
      default -> null;
    };
  }

  private static Object format(Place p, String s, List<Object> a, Map<String, Object> named) {
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
      out.append(text(v));
      i = end;
    }
    return out.toString();
  }
}
