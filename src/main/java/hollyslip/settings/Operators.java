package hollyslip.settings;

import hollyslip.settings.Evaluator.Callable;
import hollyslip.settings.Evaluator.Dict;
import hollyslip.settings.Evaluator.Sequence;
import hollyslip.settings.ScriptError.Location;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Operators on values, and methods of lists and dicts. Source: the Starlark specification, "Expressions" and
 * "Built-in methods". */
final class Operators {
  private Operators() {}

  static String typeName(Object value) {
    return value == null
        ? "NoneType"
        : value instanceof Boolean
            ? "bool"
            : value instanceof Long
                ? "int"
                : value instanceof Double
                    ? "float"
                    : value instanceof String
                        ? "string"
                        : value instanceof Sequence sequence
                            ? sequence.tuple ? "tuple" : "list"
                            : value instanceof Dict ? "dict" : "function";
  }

  static ScriptError typeError(Location location, String operation, Object... values) {
    List<String> types = new ArrayList<>();
    for (Object value : values) {
      types.add(typeName(value));
    }
    return new ScriptError(location, operation + " is not supported for " + String.join(" and ", types));
  }

  static List<Object> elements(Location location, Object value) {
    if (value instanceof Sequence sequence) {
      return new ArrayList<>(sequence.elements);
    }
    if (value instanceof Dict dict) {
      return new ArrayList<>(dict.entries.keySet());
    }
    throw typeError(location, "iteration", value);
  }

  static Object unary(Location location, String op, Object operand) {
    if (operand instanceof Long integer) {
      return op.equals("-") ? checkOverflow(location, () -> Math.negateExact(integer)) : integer;
    }
    if (operand instanceof Double floating) {
      return op.equals("-") ? -floating : floating;
    }
    throw typeError(location, "'" + op + "'", operand);
  }

  private static Object checkOverflow(Location location, java.util.function.Supplier<Long> operation) {
    try {
      return operation.get();
    } catch (ArithmeticException e) {
      throw new ScriptError(location, "result does not fit into 64 bits");
    }
  }

  static Object binary(Location location, String op, Object a, Object b) {
    switch (op) {
      case "==" :
        return Evaluator.areEqual(a, b);
      case "!=" :
        return !Evaluator.areEqual(a, b);
      case "in" :
        return contains(location, a, b);
      case "not in" :
        return !contains(location, a, b);
      case "<" :
        return compare(location, a, b) < 0;
      case ">" :
        return compare(location, a, b) > 0;
      case "<=" :
        return compare(location, a, b) <= 0;
      case ">=" :
        return compare(location, a, b) >= 0;
      default :
        return arithmetic(location, op, a, b);
    }
  }

  private static Object arithmetic(Location location, String op, Object a, Object b) {
    if (a instanceof Long x && b instanceof Long y && !op.equals("/")) {
      return integerArithmetic(location, op, x, y);
    }
    if (a instanceof Number x && b instanceof Number y) {
      return floatArithmetic(location, op, x.doubleValue(), y.doubleValue());
    }
    if (op.equals("+") && a instanceof String x && b instanceof String y) {
      return x + y;
    }
    if (op.equals("+") && a instanceof Sequence x && b instanceof Sequence y && x.tuple == y.tuple) {
      List<Object> all = new ArrayList<>(x.elements);
      all.addAll(y.elements);
      return new Sequence(all, x.tuple);
    }
    if (op.equals("*") && a instanceof Long && !(b instanceof Long)) {
      return arithmetic(location, op, b, a);
    }
    if (op.equals("*") && b instanceof Long n) {
      return repeat(location, a, n);
    }
    if (op.equals("%") && a instanceof String s) {
      return Builtins.formatPercent(location, s, b instanceof Sequence i && i.tuple
          ? i.elements
          : java.util.Arrays.asList(b));
    }
    throw typeError(location, "'" + op + "'", a, b);
  }

  private static Object repeat(Location location, Object value, long count) {
    long times = Math.max(0, count);
    if (value instanceof String text) {
      if (times * text.length() > 1 << 20 || times > 1 << 20) {
        throw new ScriptError(location, "value is too large");
      }
      return text.repeat((int) times);
    }
    if (value instanceof Sequence sequence) {
      if (times * sequence.elements.size() > 200_000 || times > 200_000) {
        throw new ScriptError(location, "value is too large");
      }
      List<Object> repeated = new ArrayList<>();
      for (long k = 0; k < times; k++) {
        repeated.addAll(sequence.elements);
      }
      return new Sequence(repeated, sequence.tuple);
    }
    throw typeError(location, "'*'", value, count);
  }

  private static Object integerArithmetic(Location location, String op, long x, long y) {
    if ((op.equals("//") || op.equals("%")) && y == 0) {
      throw new ScriptError(location, "division by zero");
    }
    return checkOverflow(location, () -> switch (op) {
      case "+" -> Math.addExact(x, y);
      case "-" -> Math.subtractExact(x, y);
      case "*" -> Math.multiplyExact(x, y);
      case "//" -> Math.floorDiv(x, y);
      case "%" -> Math.floorMod(x, y);
      default -> throw typeError(location, "'" + op + "'", x, y);
    });
  }

  private static Object floatArithmetic(Location location, String op, double x, double y) {
    if (op.contains("/") && y == 0) {
      throw new ScriptError(location, "division by zero");
    }
    return switch (op) {
      case "+" -> x + y;
      case "-" -> x - y;
      case "*" -> x * y;
      case "/" -> x / y;
      case "//" -> Math.floor(x / y);
      case "%" -> x - Math.floor(x / y) * y;
      default -> throw typeError(location, "'" + op + "'", x, y);
    };
  }

  static int compare(Location location, Object a, Object b) {
    if (a instanceof Long x && b instanceof Long y) {
      return x.compareTo(y);
    }
    if (a instanceof Number x && b instanceof Number y) {
      return Double.compare(x.doubleValue(), y.doubleValue());
    }
    if (a instanceof String x && b instanceof String y) {
      return x.compareTo(y);
    }
    if (a instanceof Sequence x && b instanceof Sequence y) {
      for (int i = 0; i < Math.min(x.elements.size(), y.elements.size()); i++) {
        if (!Evaluator.areEqual(x.elements.get(i), y.elements.get(i))) {
          return compare(location, x.elements.get(i), y.elements.get(i));
        }
      }
      return Integer.compare(x.elements.size(), y.elements.size());
    }
    throw typeError(location, "comparison", a, b);
  }

  private static boolean contains(Location location, Object element, Object container) {
    if (container instanceof String text && element instanceof String part) {
      return text.contains(part);
    }
    if (container instanceof Dict dict) {
      return dict.entries.containsKey(element);
    }
    return elements(location, container).stream().anyMatch(other -> Evaluator.areEqual(other, element));
  }

  static Object getIndex(Location location, Object object, Object index) {
    if (object instanceof Dict dict) {
      if (!dict.entries.containsKey(index)) {
        throw new ScriptError(location, "the dict has no key " + Builtins.repr(index));
      }
      return dict.entries.get(index);
    }
    if (index instanceof Long number && object instanceof Sequence sequence) {
      return sequence.elements.get(elementIndex(location, number, sequence.elements.size()));
    }
    if (index instanceof Long number && object instanceof String text) {
      int position = elementIndex(location, number, text.length());
      return text.substring(position, position + 1);
    }
    throw typeError(location, "indexing", object, index);
  }

  private static int elementIndex(Location location, long index, int size) {
    long position = index < 0 ? index + size : index;
    if (position < 0 || position >= size) {
      throw new ScriptError(location, "index " + index + " is out of range for length " + size);
    }
    return (int) position;
  }

  static Object slice(Location location, Object object, Object start, Object end) {
    int size = object instanceof String text
        ? text.length()
        : object instanceof Sequence sequence ? sequence.elements.size() : -1;
    if (size < 0 || start != null && !(start instanceof Long) || end != null && !(end instanceof Long)) {
      throw typeError(location, "slicing", object);
    }
    int first = sliceBound(start, size, 0);
    int last = Math.max(first, sliceBound(end, size, size));
    return object instanceof String text
        ? text.substring(first, last)
        : new Sequence(new ArrayList<>(((Sequence) object).elements.subList(first, last)),
            ((Sequence) object).tuple);
  }

  private static int sliceBound(Object index, int size, int defaultBound) {
    if (index == null) {
      return defaultBound;
    }
    long position = (Long) index < 0 ? (Long) index + size : (Long) index;
    return (int) Math.max(0, Math.min(size, position));
  }

  static void setIndex(Location location, Object object, Object index, Object value) {
    if (object instanceof Dict dict) {
      if (dict.frozen) {
        throw new ScriptError(location, "the dict is frozen");
      }
      if (index instanceof Dict || index instanceof Sequence sequence && !sequence.tuple) {
        throw new ScriptError(location, typeName(index) + " cannot be a dict key");
      }
      dict.entries.put(index, value);
    } else if (object instanceof Sequence sequence && !sequence.tuple && index instanceof Long number) {
      if (sequence.frozen) {
        throw new ScriptError(location, "the list is frozen");
      }
      sequence.elements.set(elementIndex(location, number, sequence.elements.size()), value);
    } else {
      throw typeError(location, "assignment to an index", object, index);
    }
  }

  /** Returns a method bound to its object. */
  static Object boundMethod(Location location, Object object, String name) {
    Callable method = object instanceof String text
        ? Builtins.stringMethod(text, name)
        : object instanceof Sequence sequence && !sequence.tuple
            ? listMethod(sequence, name)
            : object instanceof Dict dict ? dictMethod(dict, name) : null;
    if (method == null) {
      throw new ScriptError(location, typeName(object) + " has no method " + name);
    }
    return method;
  }

  private static Callable listMethod(Sequence list, String name) {
    return switch (name) {
      case "append" -> (location, arguments, named) -> {
        Builtins.checkArgumentCount(location, "append", arguments, 1, 1);
        requireMutable(location, list);
        list.elements.add(arguments.get(0));
        return null;
      };
      case "extend" -> (location, arguments, named) -> {
        Builtins.checkArgumentCount(location, "extend", arguments, 1, 1);
        requireMutable(location, list);
        list.elements.addAll(elements(location, arguments.get(0)));
        if (list.elements.size() > 200_000) {
          throw new ScriptError(location, "value is too large");
        }
        return null;
      };
      default -> null;
    };
  }

  private static void requireMutable(Location location, Sequence list) {
    if (list.frozen) {
      throw new ScriptError(location, "the list is frozen");
    }
  }

  private static Callable dictMethod(Dict dict, String name) {
    return switch (name) {
      case "get" -> (location, arguments, named) -> {
        Builtins.checkArgumentCount(location, "get", arguments, 1, 2);
        return dict.entries.containsKey(arguments.get(0))
            ? dict.entries.get(arguments.get(0))
            : arguments.size() > 1 ? arguments.get(1) : null;
      };
      case "keys" -> (location, arguments, named) -> new Sequence(new ArrayList<>(dict.entries.keySet()),
          false);
      case "values" -> (location, arguments, named) -> new Sequence(new ArrayList<>(dict.entries.values()),
          false);
      case "items" -> (location, arguments, named) -> {
        List<Object> pairs = new ArrayList<>();
        for (Map.Entry<Object, Object> entry : dict.entries.entrySet()) {
          pairs.add(new Sequence(new ArrayList<>(java.util.Arrays.asList(entry.getKey(), entry.getValue())),
              true));
        }
        return new Sequence(pairs, false);
      };
      default -> null;
    };
  }
}
