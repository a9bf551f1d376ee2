package hollyslip.settings;

import hollyslip.settings.Evaluator.Callable;
import hollyslip.settings.Evaluator.Dict;
import hollyslip.settings.Evaluator.Items;
import hollyslip.settings.ScriptError.Place;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Operators and methods of values. Source: the Starlark specification, "Expressions" and "Built-in
 * methods". */
final class Operators {
  private Operators() {}

  static String type(Object v) {
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
                        : v instanceof Items i
                            ? i.tuple ? "tuple" : "list"
                            : v instanceof Dict ? "dict" : "function";
  }

  static ScriptError wrong(Place place, String what, Object... values) {
    List<String> types = new ArrayList<>();
    for (Object v : values) {
      types.add(type(v));
    }
    return new ScriptError(place, what + " does not go with " + String.join(" and ", types));
  }

  static List<Object> items(Place place, Object v) {
    if (v instanceof Items i) {
      return new ArrayList<>(i.all);
    }
    if (v instanceof Dict d) {
      return new ArrayList<>(d.all.keySet());
    }
    throw wrong(place, "going through it", v);
  }

  static Object sign(Place place, String op, Object v) {
    if (v instanceof Long n) {
      return op.equals("-") ? exact(place, () -> Math.negateExact(n)) : n;
    }
    if (v instanceof Double d) {
      return op.equals("-") ? -d : d;
    }
    throw wrong(place, "'" + op + "'", v);
  }

  private static Object exact(Place place, java.util.function.Supplier<Long> of) {
    try {
      return of.get();
    } catch (ArithmeticException e) {
      throw new ScriptError(place, "result is not a number of 64 bits");
    }
  }

  static Object binary(Place place, String op, Object a, Object b) {
    switch (op) {
      case "==" :
        return Evaluator.same(a, b);
      case "!=" :
        return !Evaluator.same(a, b);
      case "in" :
        return in(place, a, b);
      case "not in" :
        return !in(place, a, b);
      case "<" :
        return compare(place, a, b) < 0;
      case ">" :
        return compare(place, a, b) > 0;
      case "<=" :
        return compare(place, a, b) <= 0;
      case ">=" :
        return compare(place, a, b) >= 0;
      default :
        return arithmetic(place, op, a, b);
    }
  }

  private static Object arithmetic(Place place, String op, Object a, Object b) {
    if (a instanceof Long x && b instanceof Long y && !op.equals("/")) {
      return integers(place, op, x, y);
    }
    if (a instanceof Number x && b instanceof Number y) {
      return floats(place, op, x.doubleValue(), y.doubleValue());
    }
    if (op.equals("+") && a instanceof String x && b instanceof String y) {
      return x + y;
    }
    if (op.equals("+") && a instanceof Items x && b instanceof Items y && x.tuple == y.tuple) {
      List<Object> all = new ArrayList<>(x.all);
      all.addAll(y.all);
      return new Items(all, x.tuple);
    }
    if (op.equals("*") && a instanceof Long && !(b instanceof Long)) {
      return arithmetic(place, op, b, a);
    }
    if (op.equals("*") && b instanceof Long n) {
      return repeat(place, a, n);
    }
    if (op.equals("%") && a instanceof String s) {
      return Builtins.percent(place, s, b instanceof Items i && i.tuple ? i.all : java.util.Arrays.asList(b));
    }
    throw wrong(place, "'" + op + "'", a, b);
  }

  private static Object repeat(Place place, Object a, long n) {
    long times = Math.max(0, n);
    if (a instanceof String s) {
      if (times * s.length() > 1 << 20 || times > 1 << 20) {
        throw new ScriptError(place, "a value larger than a script may make");
      }
      return s.repeat((int) times);
    }
    if (a instanceof Items i) {
      if (times * i.all.size() > 200_000 || times > 200_000) {
        throw new ScriptError(place, "a value larger than a script may make");
      }
      List<Object> all = new ArrayList<>();
      for (long k = 0; k < times; k++) {
        all.addAll(i.all);
      }
      return new Items(all, i.tuple);
    }
    throw wrong(place, "'*'", a, n);
  }

  private static Object integers(Place place, String op, long x, long y) {
    if ((op.equals("//") || op.equals("%")) && y == 0) {
      throw new ScriptError(place, "division by zero");
    }
    return exact(place, () -> switch (op) {
      case "+" -> Math.addExact(x, y);
      case "-" -> Math.subtractExact(x, y);
      case "*" -> Math.multiplyExact(x, y);
      case "//" -> Math.floorDiv(x, y);
      case "%" -> Math.floorMod(x, y);
      default -> throw wrong(place, "'" + op + "'", x, y);
    });
  }

  private static Object floats(Place place, String op, double x, double y) {
    if (op.contains("/") && y == 0) {
      throw new ScriptError(place, "division by zero");
    }
    return switch (op) {
      case "+" -> x + y;
      case "-" -> x - y;
      case "*" -> x * y;
      case "/" -> x / y;
      case "//" -> Math.floor(x / y);
      case "%" -> x - Math.floor(x / y) * y;
      default -> throw wrong(place, "'" + op + "'", x, y);
    };
  }

  static int compare(Place place, Object a, Object b) {
    if (a instanceof Long x && b instanceof Long y) {
      return x.compareTo(y);
    }
    if (a instanceof Number x && b instanceof Number y) {
      return Double.compare(x.doubleValue(), y.doubleValue());
    }
    if (a instanceof String x && b instanceof String y) {
      return x.compareTo(y);
    }
    if (a instanceof Items x && b instanceof Items y) {
      for (int i = 0; i < Math.min(x.all.size(), y.all.size()); i++) {
        if (!Evaluator.same(x.all.get(i), y.all.get(i))) {
          return compare(place, x.all.get(i), y.all.get(i));
        }
      }
      return Integer.compare(x.all.size(), y.all.size());
    }
    throw wrong(place, "a comparison", a, b);
  }

  private static boolean in(Place place, Object a, Object b) {
    if (b instanceof String s && a instanceof String part) {
      return s.contains(part);
    }
    if (b instanceof Dict d) {
      return d.all.containsKey(a);
    }
    return items(place, b).stream().anyMatch(i -> Evaluator.same(i, a));
  }

  static Object index(Place place, Object of, Object index) {
    if (of instanceof Dict d) {
      if (!d.all.containsKey(index)) {
        throw new ScriptError(place, "the dict has no key " + Builtins.repr(index));
      }
      return d.all.get(index);
    }
    if (index instanceof Long n && of instanceof Items i) {
      return i.all.get(place(place, n, i.all.size()));
    }
    if (index instanceof Long n && of instanceof String s) {
      int k = place(place, n, s.length());
      return s.substring(k, k + 1);
    }
    throw wrong(place, "an index", of, index);
  }

  private static int place(Place place, long n, int size) {
    long k = n < 0 ? n + size : n;
    if (k < 0 || k >= size) {
      throw new ScriptError(place, "index " + n + " of " + size);
    }
    return (int) k;
  }

  static Object slice(Place place, Object of, Object from, Object to) {
    int size = of instanceof String s ? s.length() : of instanceof Items i ? i.all.size() : -1;
    if (size < 0 || from != null && !(from instanceof Long) || to != null && !(to instanceof Long)) {
      throw wrong(place, "a slice", of);
    }
    int a = bound(from, size, 0);
    int b = Math.max(a, bound(to, size, size));
    return of instanceof String s
        ? s.substring(a, b)
        : new Items(new ArrayList<>(((Items) of).all.subList(a, b)), ((Items) of).tuple);
  }

  private static int bound(Object n, int size, int standard) {
    if (n == null) {
      return standard;
    }
    long k = (Long) n < 0 ? (Long) n + size : (Long) n;
    return (int) Math.max(0, Math.min(size, k));
  }

  static void store(Place place, Object of, Object index, Object value) {
    if (of instanceof Dict d) {
      if (d.frozen) {
        throw new ScriptError(place, "the dict is frozen");
      }
      if (index instanceof Dict || index instanceof Items i && !i.tuple) {
        throw new ScriptError(place, type(index) + " cannot be a key");
      }
      d.all.put(index, value);
    } else if (of instanceof Items i && !i.tuple && index instanceof Long n) {
      if (i.frozen) {
        throw new ScriptError(place, "the list is frozen");
      }
      i.all.set(place(place, n, i.all.size()), value);
    } else {
      throw wrong(place, "an assignment to an index", of, index);
    }
  }

  /** A method of a value, bound to it. */
  static Object method(Place place, Object of, String name) {
    Callable m = of instanceof String s
        ? Builtins.stringMethod(s, name)
        : of instanceof Items i && !i.tuple
            ? listMethod(i, name)
            : of instanceof Dict d ? dictMethod(d, name) : null;
    if (m == null) {
      throw new ScriptError(place, type(of) + " has no method " + name);
    }
    return m;
  }

  private static Callable listMethod(Items i, String name) {
    return switch (name) {
      case "append" -> (p, a, n) -> {
        Builtins.count(p, "append", a, 1, 1);
        thaw(p, i);
        i.all.add(a.get(0));
        return null;
      };
      case "extend" -> (p, a, n) -> {
        Builtins.count(p, "extend", a, 1, 1);
        thaw(p, i);
        i.all.addAll(items(p, a.get(0)));
        if (i.all.size() > 200_000) {
          throw new ScriptError(p, "a value larger than a script may make");
        }
        return null;
      };
      default -> null;
    };
  }

  private static void thaw(Place place, Items i) {
    if (i.frozen) {
      throw new ScriptError(place, "the list is frozen");
    }
  }

  private static Callable dictMethod(Dict d, String name) {
    return switch (name) {
      case "get" -> (p, a, n) -> {
        Builtins.count(p, "get", a, 1, 2);
        return d.all.containsKey(a.get(0)) ? d.all.get(a.get(0)) : a.size() > 1 ? a.get(1) : null;
      };
      case "keys" -> (p, a, n) -> new Items(new ArrayList<>(d.all.keySet()), false);
      case "values" -> (p, a, n) -> new Items(new ArrayList<>(d.all.values()), false);
      case "items" -> (p, a, n) -> {
        List<Object> pairs = new ArrayList<>();
        for (Map.Entry<Object, Object> e : d.all.entrySet()) {
          pairs.add(new Items(new ArrayList<>(java.util.Arrays.asList(e.getKey(), e.getValue())), true));
        }
        return new Items(pairs, false);
      };
      default -> null;
    };
  }
}
