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

/** Built-in functions and string methods. Source: the Starlark specification, "Built-in constants and
 * functions" and "string" methods. The units of time (results in us) and size (in bytes) are additions. */
final class Builtins {
  private static final int MAX_RANGE_SIZE = 200_000;

  private Builtins() {}

  static void checkArgumentCount(Location location, String name, List<Object> arguments, int min, int max) {
    if (arguments.size() < min || arguments.size() > max) {
      throw new ScriptError(location, name + ": cannot be called with " + arguments.size() + " arguments");
    }
  }

  private static Callable singleArgument(String name,
      java.util.function.BiFunction<Location, Object, Object> function) {
    return (location, arguments, named) -> {
      checkArgumentCount(location, name, arguments, 1, 1);
      if (!named.isEmpty()) {
        throw new ScriptError(location, name + ": takes no named arguments");
      }
      return function.apply(location, arguments.get(0));
    };
  }

  static void addTo(Map<String, Object> names) {
    names.put("KiB", 1L << 10);
    names.put("MiB", 1L << 20);
    names.put("GiB", 1L << 30);
    names.put("us", singleArgument("us", (location, value) -> toMicros(location, value, 1)));
    names.put("ms", singleArgument("ms", (location, value) -> toMicros(location, value, 1_000)));
    names.put("seconds", singleArgument("seconds", (location, value) -> toMicros(location, value,
        1_000_000)));
    names.put("len", singleArgument("len", Builtins::length));
    names.put("str", singleArgument("str", (location, value) -> str(value)));
    names.put("bool", singleArgument("bool", (location, value) -> Evaluator.isTruthy(value)));
    names.put("int", singleArgument("int", Builtins::toInt));
    names.put("float", singleArgument("float", Builtins::toFloat));
    names.put("list", singleArgument("list", (location, value) -> new Sequence(new ArrayList<>(Operators
        .elements(location, value)),
        false)));
    names.put("tuple", singleArgument("tuple", (location, value) -> new Sequence(new ArrayList<>(Operators
        .elements(location, value)),
        true)));
    names.put("type", singleArgument("type", (location, value) -> Operators.typeName(value)));
    names.put("fail", (Callable) (location, arguments, named) -> {
      throw new ScriptError(location, "fail: " + String.join(" ", arguments.stream()
          .map(Builtins::str)
          .toList()));
    });
    names.put("range", (Callable) Builtins::range);
    names.put("enumerate", singleArgument("enumerate", (location, value) -> {
      List<Object> pairs = new ArrayList<>();
      for (Object item : Operators.elements(location, value)) {
        pairs.add(new Sequence(Arrays.asList((long) pairs.size(), item), true));
      }
      return new Sequence(pairs, false);
    }));
    names.put("zip", (Callable) Builtins::zip);
    names.put("sorted", singleArgument("sorted", (location, value) -> {
      List<Object> all = new ArrayList<>(Operators.elements(location, value));
      all.sort((a, b) -> Operators.compare(location, a, b));
      return new Sequence(all, false);
    }));
    names.put("min", (Callable) (location, arguments, named) -> minOrMax(location, arguments, -1));
    names.put("max", (Callable) (location, arguments, named) -> minOrMax(location, arguments, 1));
  }

  private static Object toMicros(Location location, Object value, long unitUs) {
    if (!(value instanceof Number number) || !Double.isFinite(number.doubleValue()) || Math.abs(number
        .doubleValue()
        * unitUs) > 1e15) {
      throw Operators.typeError(location, "conversion to a time", value);
    }
    return Math.round(number.doubleValue() * unitUs);
  }

  private static Object length(Location location, Object value) {
    if (value instanceof String text) {
      return (long) text.length();
    }
    return (long) (value instanceof Dict dict
        ? dict.entries.size()
        : Operators.elements(location, value).size());
  }

  private static Object toInt(Location location, Object value) {
    if (value instanceof Number number) {
      return number.longValue();
    }
    try {
      return Long.parseLong(String.valueOf(value).strip());
    } catch (NumberFormatException e) {
      throw new ScriptError(location, "int: " + repr(value) + " is not an integer");
    }
  }

  private static Object toFloat(Location location, Object value) {
    if (value instanceof Number number) {
      return number.doubleValue();
    }
    try {
      return Double.parseDouble(String.valueOf(value).strip());
    } catch (NumberFormatException e) {
      throw new ScriptError(location, "float: " + repr(value) + " is not a number");
    }
  }

  private static Object range(Location location, List<Object> arguments, Map<String, Object> named) {
    checkArgumentCount(location, "range", arguments, 1, 3);
    if (arguments.stream().anyMatch(v -> !(v instanceof Long))) {
      throw new ScriptError(location, "range: arguments must be integers");
    }
    long start = arguments.size() == 1 ? 0 : (Long) arguments.get(0);
    long end = (Long) arguments.get(arguments.size() == 1 ? 0 : 1);
    long step = arguments.size() == 3 ? (Long) arguments.get(2) : 1;
    if (step == 0) {
      throw new ScriptError(location, "range: step must not be zero");
    }
    List<Object> numbers = new ArrayList<>();
    for (long i = start; step > 0 ? i < end : i > end; i += step) {
      if (numbers.size() == MAX_RANGE_SIZE) {
        throw new ScriptError(location, "range: more than " + MAX_RANGE_SIZE);
      }
      numbers.add(i);
    }
    return new Sequence(numbers, false);
  }

  private static Object zip(Location location, List<Object> arguments, Map<String, Object> named) {
    List<Object> rows = new ArrayList<>();
    int size = arguments.stream()
        .mapToInt(argument -> Operators.elements(location, argument).size())
        .min()
        .orElse(0);
    for (int i = 0; i < size; i++) {
      List<Object> row = new ArrayList<>();
      for (Object argument : arguments) {
        row.add(Operators.elements(location, argument).get(i));
      }
      rows.add(new Sequence(row, true));
    }
    return new Sequence(rows, false);
  }

  private static Object minOrMax(Location location, List<Object> arguments, int sign) {
    List<Object> candidates = arguments.size() == 1
        ? Operators.elements(location, arguments.get(0))
        : arguments;
    if (candidates.isEmpty()) {
      throw new ScriptError(location, "min, max: no values given");
    }
    return Collections.max(candidates, (x, y) -> sign * Operators.compare(location, x, y));
  }

  static String str(Object value) {
    return value instanceof String text ? text : repr(value);
  }

  static String repr(Object value) {
    if (value == null) {
      return "None";
    }
    if (value instanceof Boolean bool) {
      return bool ? "True" : "False";
    }
    if (value instanceof String text) {
      return "\"" + text.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + "\"";
    }
    if (value instanceof Sequence sequence) {
      String elements = String.join(", ", sequence.elements.stream().map(Builtins::repr).toList());
      return sequence.tuple
          ? "(" + elements + (sequence.elements.size() == 1 ? ",)" : ")")
          : "[" + elements + "]";
    }
    if (value instanceof Dict dict) {
      return "{" + String.join(", ", dict.entries.entrySet()
          .stream()
          .map(e -> repr(e.getKey()) + ": " + repr(e.getValue()))
          .toList()) + "}";
    }
    return value instanceof Callable ? "<function>" : value.toString();
  }

  /** Evaluates {@code format % values}; %s, %r, %d and %% are supported. */
  static Object formatPercent(Location location, String format, List<Object> values) {
    StringBuilder out = new StringBuilder();
    int used = 0;
    for (int i = 0; i < format.length(); i++) {
      char c = format.charAt(i);
      if (c != '%') {
        out.append(c);
        continue;
      }
      char conversion = ++i < format.length() ? format.charAt(i) : ' ';
      if (conversion == '%') {
        out.append('%');
      } else if ("srd".indexOf(conversion) < 0 || used == values.size()) {
        throw new ScriptError(location, "'%': " + (used == values.size()
            ? "not enough values"
            : "%" + conversion + " is not supported"));
      } else {
        Object value = values.get(used++);
        out.append(conversion == 'r'
            ? repr(value)
            : conversion == 'd' ? str(toInt(location, value)) : str(value));
      }
    }
    if (used < values.size()) {
      throw new ScriptError(location, "'%': too many values");
    }
    return out.toString();
  }

  static Callable stringMethod(String text, String name) {
    return switch (name) {
      case "upper" -> (location, arguments, named) -> text.toUpperCase(Locale.ROOT);
      case "lower" -> (location, arguments, named) -> text.toLowerCase(Locale.ROOT);
      case "strip" -> (location, arguments, named) -> text.strip();
      case "startswith" -> singleArgument(name, (location, value) -> text.startsWith(str(value)));
      case "endswith" -> singleArgument(name, (location, value) -> text.endsWith(str(value)));
      case "join" -> singleArgument(name, (location, value) -> String.join(text, Operators.elements(location,
          value)
          .stream()
          .map(Builtins::str)
          .toList()));
      case "split" -> singleArgument(name, (location, value) -> {
        if (str(value).isEmpty()) {
          throw new ScriptError(location, "split: the separator is empty");
        }
        return new Sequence(new ArrayList<>(List.of(text.split(java.util.regex.Pattern.quote(str(value)),
            -1))),
            false);
      });
      case "replace" -> (location, arguments, named) -> {
        checkArgumentCount(location, name, arguments, 2, 2);
        if (str(arguments.get(0)).isEmpty()) {
          throw new ScriptError(location, "replace: the text to replace is empty");
        }
        return text.replace(str(arguments.get(0)), str(arguments.get(1)));
      };
      case "format" -> (location, arguments, named) -> formatBraces(location, text, arguments, named);
      default -> null;
    };
  }

  private static Object formatBraces(Location location, String format, List<Object> positional,
      Map<String, Object> named) {
    StringBuilder out = new StringBuilder();
    int used = 0;
    for (int i = 0; i < format.length(); i++) {
      char c = format.charAt(i);
      boolean escaped = i + 1 < format.length() && format.charAt(i + 1) == c;
      if (c != '{' && c != '}' || escaped) {
        out.append(c);
        i += (c == '{' || c == '}') ? 1 : 0;
        continue;
      }
      int end = format.indexOf('}', i);
      if (c == '}' || end < 0) {
        throw new ScriptError(location, "format: unmatched brace");
      }
      String field = format.substring(i + 1, end);
      Object value;
      if (field.isEmpty() && used < positional.size()) {
        value = positional.get(used++);
      } else if (named.containsKey(field)) {
        value = named.get(field);
      } else {
        throw new ScriptError(location, "format: no value for {" + field + "}");
      }
      out.append(str(value));
      i = end;
    }
    return out.toString();
  }
}
