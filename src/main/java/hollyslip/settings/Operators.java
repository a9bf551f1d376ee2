package hollyslip.settings;

import hollyslip.settings.Evaluator.Callable;
import hollyslip.settings.Evaluator.Dict;
import hollyslip.settings.Evaluator.Sequence;
import hollyslip.settings.ScriptError.Location;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Operators and methods of values. Source: the Starlark specification, "Expressions" and "Built-in
 * methods". */
final class Operators {
  private Operators() {}

  static String typeName(Object v) {
    return v == null
        ? "NoneType"
        : v instanceof Boolean
            ? "bool"
            : v instanceof Long
                ? "int"
                : v instanceof Double
                    ? "float"
                    : v instanceof String
                        ? "string"
                        : v instanceof Sequence i
                            ? i.tuple ? "tuple" : "list"
                            : v instanceof Dict ? "dict" : "function";
  }

  static ScriptError typeError(Location location, String what, Object... values) {
    List<String> types = new ArrayList<>();
    for (Object v : values) {
      types.add(typeName(v));
    }
    return new ScriptError(location, what + " does not go with " + String.join(" and ", types));
  }

  static List<Object> elements(Location location, Object v) {
    if (v instanceof Sequence i) {
      return new ArrayList<>(i.elements);
    }
    if (v instanceof Dict d) {
      return new ArrayList<>(d.entries.keySet());
    }
    throw typeError(location, "going through it", v);
  }

  static Object unary(Location location, String op, Object v) {
    if (v instanceof Long n) {
      return op.equals("-") ? checkOverflow(location, () -> Math.negateExact(n)) : n;
    }
    if (v instanceof Double d) {
      return op.equals("-") ? -d : d;
    }
    throw typeError(location, "'" + op + "'", v);
  }

  private static Object checkOverflow(Location location, java.util.function.Supplier<Long> of) {
    try {
      return of.get();
    } catch (ArithmeticException e) {
      throw new ScriptError(location, "result is not a number of 64 bits");
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

  private static Object repeat(Location location, Object a, long n) {
    long times = Math.max(0, n);
    if (a instanceof String s) {
      if (times * s.length() > 1 << 20 || times > 1 << 20) {
        throw new ScriptError(location, "a value larger than a script may make");
      }
      return s.repeat((int) times);
    }
    if (a instanceof Sequence i) {
      if (times * i.elements.size() > 200_000 || times > 200_000) {
        throw new ScriptError(location, "a value larger than a script may make");
      }
      List<Object> all = new ArrayList<>();
      for (long k = 0; k < times; k++) {
        all.addAll(i.elements);
      }
      return new Sequence(all, i.tuple);
    }
    throw typeError(location, "'*'", a, n);
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
    throw typeError(location, "a comparison", a, b);
  }

  private static boolean contains(Location location, Object a, Object b) {
    if (b instanceof String s && a instanceof String part) {
      return s.contains(part);
    }
    if (b instanceof Dict d) {
      return d.entries.containsKey(a);
    }
    return elements(location, b).stream().anyMatch(i -> Evaluator.areEqual(i, a));
  }

  static Object getIndex(Location location, Object of, Object index) {
    if (of instanceof Dict d) {
      if (!d.entries.containsKey(index)) {
        throw new ScriptError(location, "the dict has no key " + Builtins.repr(index));
      }
      return d.entries.get(index);
    }
    if (index instanceof Long n && of instanceof Sequence i) {
      return i.elements.get(elementIndex(location, n, i.elements.size()));
    }
    if (index instanceof Long n && of instanceof String s) {
      int k = elementIndex(location, n, s.length());
      return s.substring(k, k + 1);
    }
    throw typeError(location, "an index", of, index);
  }

  private static int elementIndex(Location location, long n, int size) {
    long k = n < 0 ? n + size : n;
    if (k < 0 || k >= size) {
      throw new ScriptError(location, "index " + n + " of " + size);
    }
    return (int) k;
  }

  static Object slice(Location location, Object of, Object from, Object to) {
    int size = of instanceof String s ? s.length() : of instanceof Sequence i ? i.elements.size() : -1;
    if (size < 0 || from != null && !(from instanceof Long) || to != null && !(to instanceof Long)) {
      throw typeError(location, "a slice", of);
    }
    int a = sliceBound(from, size, 0);
    int b = Math.max(a, sliceBound(to, size, size));
    return of instanceof String s
        ? s.substring(a, b)
        : new Sequence(new ArrayList<>(((Sequence) of).elements.subList(a, b)), ((Sequence) of).tuple);
  }

  private static int sliceBound(Object n, int size, int standard) {
    if (n == null) {
      return standard;
    }
    long k = (Long) n < 0 ? (Long) n + size : (Long) n;
    return (int) Math.max(0, Math.min(size, k));
  }

  static void setIndex(Location location, Object of, Object index, Object value) {
    if (of instanceof Dict d) {
      if (d.frozen) {
        throw new ScriptError(location, "the dict is frozen");
      }
      if (index instanceof Dict || index instanceof Sequence i && !i.tuple) {
        throw new ScriptError(location, typeName(index) + " cannot be a key");
      }
      d.entries.put(index, value);
    } else if (of instanceof Sequence i && !i.tuple && index instanceof Long n) {
      if (i.frozen) {
        throw new ScriptError(location, "the list is frozen");
      }
      i.elements.set(elementIndex(location, n, i.elements.size()), value);
    } else {
      throw typeError(location, "an assignment to an index", of, index);
    }
  }

  /** A method of a value, bound to it. */
  static Object boundMethod(Location location, Object of, String name) {
    Callable m = of instanceof String s
        ? Builtins.stringMethod(s, name)
        : of instanceof Sequence i && !i.tuple
            ? listMethod(i, name)
            : of instanceof Dict d ? dictMethod(d, name) : null;
    if (m == null) {
      throw new ScriptError(location, typeName(of) + " has no method " + name);
    }
    return m;
  }

  private static Callable listMethod(Sequence i, String name) {
    return switch (name) {
      case "append" -> (p, a, n) -> {
        Builtins.checkArgumentCount(p, "append", a, 1, 1);
        requireMutable(p, i);
        i.elements.add(a.get(0));
        return null;
      };
      case "extend" -> (p, a, n) -> {
        Builtins.checkArgumentCount(p, "extend", a, 1, 1);
        requireMutable(p, i);
        i.elements.addAll(elements(p, a.get(0)));
        if (i.elements.size() > 200_000) {
          throw new ScriptError(p, "a value larger than a script may make");
        }
        return null;
      };
      default -> null;
    };
  }

  private static void requireMutable(Location location, Sequence i) {
    if (i.frozen) {
      throw new ScriptError(location, "the list is frozen");
    }
  }

  private static Callable dictMethod(Dict d, String name) {
    return switch (name) {
      case "get" -> (p, a, n) -> {
        Builtins.checkArgumentCount(p, "get", a, 1, 2);
        return d.entries.containsKey(a.get(0)) ? d.entries.get(a.get(0)) : a.size() > 1 ? a.get(1) : null;
      };
      case "keys" -> (p, a, n) -> new Sequence(new ArrayList<>(d.entries.keySet()), false);
      case "values" -> (p, a, n) -> new Sequence(new ArrayList<>(d.entries.values()), false);
      case "items" -> (p, a, n) -> {
        List<Object> pairs = new ArrayList<>();
        for (Map.Entry<Object, Object> e : d.entries.entrySet()) {
          pairs.add(new Sequence(new ArrayList<>(java.util.Arrays.asList(e.getKey(), e.getValue())), true));
        }
        return new Sequence(pairs, false);
      };
      default -> null;
    };
  }
}
