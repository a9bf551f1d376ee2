package hollyslip.settings;

import hollyslip.settings.Ast.*;
import hollyslip.settings.ScriptError.Place;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;

/** Runs a script: no I/O but the loading of neighbours, a bound on steps, on depth and on the size of values,
 * no recursion, so every script ends. Values are None (null), Boolean, Long, Double, String, {@link Items}
 * (list or tuple), {@link Dict} and {@link Callable}. Source: the Starlark specification, "Data types" and
 * "Built-in constants and functions". */
final class Evaluator {
  /** Bounds on what a script may do. */
  private static final long MOST_STEPS = 2_000_000;
  private static final int MOST_CALLS = 50, MOST_ITEMS = 200_000, MOST_TEXT = 1 << 20;

  /** A list or a tuple. */
  static final class Items {
    final List<Object> all;
    final boolean tuple;
    boolean frozen;

    Items(List<Object> all, boolean tuple) {
      this.all = all;
      this.tuple = tuple;
    }

    @Override
    public boolean equals(Object o) {
      return o instanceof Items i && i.tuple == tuple && i.all.equals(all);
    }

    @Override
    public int hashCode() {
      return all.hashCode();
    }
  }

  /** A dict, in order of insertion. */
  static final class Dict {
    final Map<Object, Object> all = new LinkedHashMap<>();
    boolean frozen;

    @Override
    public boolean equals(Object o) {
      return o instanceof Dict d && d.all.equals(all);
    }

    @Override
    public int hashCode() {
      return all.hashCode();
    }
  }

  /** Something that can be called. */
  interface Callable {
    Object call(Place place, List<Object> positional, Map<String, Object> named);
  }

  /** Names of a module, or of a call; a call sees its module's below its own. */
  private static final class Scope {
    final Map<String, Object> names = new HashMap<>();
    final Scope below;

    Scope(Scope below) {
      this.below = below;
    }

    Scope find(String name) {
      for (Scope s = this; s != null; s = s.below) {
        if (s.names.containsKey(name)) {
          return s;
        }
      }
      return null;
    }
  }

  private static final class Jumped extends RuntimeException {
    final String word;
    final transient Object value;

    Jumped(String word, Object value) {
      super(word, null, false, false);
      this.word = word;
      this.value = value;
    }
  }

  private final Map<String, Object> predeclared;
  private final Function<String, String> neighbours;
  private final Map<String, Scope> loaded = new HashMap<>();
  private final List<Def> running = new ArrayList<>();
  private long steps;

  /** @param predeclared
   *          names that every module sees
   * @param neighbours
   *          text of a file by its name; null: there is none */
  Evaluator(Map<String, Object> predeclared, Function<String, String> neighbours) {
    this.predeclared = predeclared;
    this.neighbours = neighbours;
  }

  /** Runs a module; again gives what the first run made. */
  void run(String file, Place from) {
    module(file, from);
  }

  private Scope module(String file, Place from) {
    Scope done = loaded.get(file);
    if (done != null) {
      return done;
    }
    if (loaded.containsKey(file)) {
      throw new ScriptError(from, "load of " + file + " goes round in a circle");
    }
    String text = neighbours.apply(file);
    if (text == null) {
      throw new ScriptError(from, "file " + file + " cannot be read");
    }
    loaded.put(file, null);
    Scope base = new Scope(null);
    base.names.putAll(predeclared);
    Builtins.add(base.names);
    Scope scope = new Scope(base);
    try {
      run(Parser.parse(file, text), scope);
    } catch (Jumped j) {
      throw new ScriptError(from, "'" + j.word + "' outside a function or loop in " + file);
    }
    scope.names.values().forEach(Evaluator::freeze);
    loaded.put(file, scope);
    return scope;
  }

  static void freeze(Object value) {
    if (value instanceof Items i && !i.frozen) {
      i.frozen = true;
      i.all.forEach(Evaluator::freeze);
    } else if (value instanceof Dict d && !d.frozen) {
      d.frozen = true;
      d.all.values().forEach(Evaluator::freeze);
    }
  }

  private void step(Place place) {
    if (++steps > MOST_STEPS) {
      throw new ScriptError(place, "more than " + MOST_STEPS + " steps");
    }
  }

  // Statements.

  private void run(List<Statement> body, Scope scope) {
    for (Statement s : body) {
      step(s.place());
      run(s, scope);
    }
  }

  private void run(Statement s, Scope scope) {
    if (s instanceof Assign a) {
      Object value = evaluate(a.value(), scope);
      if (!a.op().isEmpty()) {
        value = Operators.binary(a.place(), a.op(), evaluate(a.target(), scope), value);
        size(a.place(), value);
      }
      assign(a.target(), value, scope);
    } else if (s instanceof Evaluate e) {
      evaluate(e.value(), scope);
    } else if (s instanceof If i) {
      run(truth(evaluate(i.condition(), scope)) ? i.then() : i.otherwise(), scope);
    } else if (s instanceof For f) {
      loop(f, scope);
    } else if (s instanceof Def d) {
      scope.names.put(d.name(), function(d, scope));
    } else if (s instanceof Return r) {
      throw new Jumped("return", r.value() == null ? null : evaluate(r.value(), scope));
    } else if (s instanceof Jump j) {
      if (!j.word().equals("pass")) {
        throw new Jumped(j.word(), null);
      }
    } else if (s instanceof Load l) {
      load(l, scope);
    }
  }

  private void loop(For f, Scope scope) {
    for (Object item : Operators.items(f.place(), evaluate(f.source(), scope))) {
      step(f.place());
      assign(f.target(), item, scope);
      try {
        run(f.body(), scope);
      } catch (Jumped j) {
        if (j.word.equals("break")) {
          return;
        }
        if (!j.word.equals("continue")) {
          throw j;
        }
      }
    }
  }

  private void load(Load l, Scope scope) {
    if (l.file().contains("/") || l.file().contains("\\") || l.file().startsWith(".")) {
      throw new ScriptError(l.place(), "load: '" + l.file() + "' is not the name of a neighbouring file");
    }
    Scope from = module(l.file(), l.place());
    for (int i = 0; i < l.names().size(); i++) {
      String name = l.names().get(i);
      if (!from.names.containsKey(name) || name.startsWith("_")) {
        throw new ScriptError(l.place(), "load: " + l.file() + " has no name " + name);
      }
      scope.names.put(l.as().get(i), from.names.get(name));
    }
  }

  private void assign(Expr target, Object value, Scope scope) {
    if (target instanceof Name n) {
      scope.names.put(n.name(), value);
    } else if (target instanceof Index i) {
      Operators.store(i.place(), evaluate(i.of(), scope), evaluate(i.index(), scope), value);
    } else {
      List<Expr> parts = target instanceof TupleOf t ? t.items() : ((ListOf) target).items();
      List<Object> values = Operators.items(target.place(), value);
      if (values.size() != parts.size()) {
        throw new ScriptError(target.place(), values.size() + " values for " + parts.size() + " names");
      }
      for (int i = 0; i < parts.size(); i++) {
        assign(parts.get(i), values.get(i), scope);
      }
    }
  }

  private Callable function(Def d, Scope scope) {
    List<Object> standards = new ArrayList<>();
    d.parameters().forEach(p -> standards.add(p.standard() == null ? null : evaluate(p.standard(), scope)));
    return (place, positional, named) -> {
      if (running.contains(d)) {
        throw new ScriptError(place, d.name() + " calls itself");
      }
      if (running.size() >= MOST_CALLS) {
        throw new ScriptError(place, "more than " + MOST_CALLS + " calls deep");
      }
      Scope own = new Scope(scope);
      bind(d, place, positional, named, standards, own);
      running.add(d);
      try {
        run(d.body(), own);
        return null;
      } catch (Jumped j) {
        if (!j.word.equals("return")) {
          throw new ScriptError(place, "'" + j.word + "' outside a loop in " + d.name());
        }
        return j.value;
      } catch (ScriptError e) {
        throw e.through(d.name(), place);
      } finally {
        running.remove(running.size() - 1);
      }
    };
  }

  private static void bind(Def d, Place place, List<Object> positional, Map<String, Object> named,
      List<Object> standards, Scope own) {
    if (positional.size() > d.parameters().size()) {
      throw new ScriptError(place, d.name() + " takes " + d.parameters().size() + " arguments, not "
          + positional.size());
    }
    for (int i = 0; i < d.parameters().size(); i++) {
      Parameter p = d.parameters().get(i);
      if (i < positional.size()) {
        own.names.put(p.name(), positional.get(i));
      } else if (p.standard() != null) {
        own.names.put(p.name(), standards.get(i));
      }
    }
    for (Map.Entry<String, Object> e : named.entrySet()) {
      int i = -1;
      for (int k = 0; k < d.parameters().size(); k++) {
        i = d.parameters().get(k).name().equals(e.getKey()) ? k : i;
      }
      if (i < 0 || i < positional.size()) {
        throw new ScriptError(place, d.name() + ": argument " + e.getKey() + (i < 0
            ? " is not known"
            : " is given twice"));
      }
      own.names.put(e.getKey(), e.getValue());
    }
    for (Parameter p : d.parameters()) {
      if (!own.names.containsKey(p.name())) {
        throw new ScriptError(place, d.name() + ": argument " + p.name() + " is missing");
      }
    }
  }

  // Expressions.

  static boolean truth(Object value) {
    if (value instanceof Boolean b) {
      return b;
    }
    if (value instanceof Items i) {
      return !i.all.isEmpty();
    }
    if (value instanceof Dict d) {
      return !d.all.isEmpty();
    }
    return value != null && !value.equals("") && !value.equals(0L) && !value.equals(0.0);
  }

  private Object evaluate(Expr e, Scope scope) {
    step(e.place());
    if (e instanceof Literal l) {
      return l.value();
    }
    if (e instanceof Name n) {
      Scope s = scope.find(n.name());
      if (s == null) {
        throw new ScriptError(n.place(), "name " + n.name() + " is not known");
      }
      return s.names.get(n.name());
    }
    if (e instanceof ListOf l) {
      return new Items(all(l.items(), scope), false);
    }
    if (e instanceof TupleOf t) {
      return new Items(all(t.items(), scope), true);
    }
    if (e instanceof DictOf d) {
      Dict dict = new Dict();
      for (int i = 0; i < d.keys().size(); i++) {
        Operators.store(d.place(), dict, evaluate(d.keys().get(i), scope), evaluate(d.values().get(i),
            scope));
      }
      return dict;
    }
    if (e instanceof Conditional c) {
      return evaluate(truth(evaluate(c.condition(), scope)) ? c.then() : c.otherwise(), scope);
    }
    if (e instanceof Comprehension c) {
      return comprehension(c, scope);
    }
    if (e instanceof Call c) {
      return call(c, scope);
    }
    return size(e.place(), operation(e, scope));
  }

  private Object operation(Expr e, Scope scope) {
    if (e instanceof Unary u) {
      Object of = evaluate(u.of(), scope);
      return u.op().equals("not") ? (Object) !truth(of) : Operators.sign(u.place(), u.op(), of);
    }
    if (e instanceof Binary b) {
      Object left = evaluate(b.left(), scope);
      if (b.op().equals("and") || b.op().equals("or")) {
        return truth(left) == b.op().equals("or") ? left : evaluate(b.right(), scope);
      }
      return Operators.binary(b.place(), b.op(), left, evaluate(b.right(), scope));
    }
    if (e instanceof Dot d) {
      return Operators.method(d.place(), evaluate(d.of(), scope), d.name());
    }
    if (e instanceof Index i) {
      return Operators.index(i.place(), evaluate(i.of(), scope), evaluate(i.index(), scope));
    }
    Slice s = (Slice) e;
    return Operators.slice(s.place(), evaluate(s.of(), scope), s.from() == null
        ? null
        : evaluate(s.from(), scope), s.to() == null ? null : evaluate(s.to(), scope));
  }

  private Object size(Place place, Object value) {
    boolean large = value instanceof String s && s.length() > MOST_TEXT || value instanceof Items i && i.all
        .size() > MOST_ITEMS;
    if (large) {
      throw new ScriptError(place, "a value larger than a script may make");
    }
    // What a value is made of counts as steps, so that doubling it again and again ends too.
    steps += value instanceof String s ? s.length() / 64 : value instanceof Items i ? i.all.size() / 8 : 0;
    return value;
  }

  private List<Object> all(List<Expr> items, Scope scope) {
    List<Object> values = new ArrayList<>();
    items.forEach(i -> values.add(evaluate(i, scope)));
    return values;
  }

  private Object call(Call c, Scope scope) {
    Object f = evaluate(c.function(), scope);
    if (!(f instanceof Callable callable)) {
      throw new ScriptError(c.place(), Operators.type(f) + " cannot be called");
    }
    List<Object> positional = new ArrayList<>();
    Map<String, Object> named = new LinkedHashMap<>();
    for (Argument a : c.arguments()) {
      Object value = evaluate(a.value(), scope);
      if (a.name() == null) {
        positional.add(value);
      } else if (named.containsKey(a.name())) {
        throw new ScriptError(c.place(), "argument " + a.name() + " is given twice");
      } else {
        named.put(a.name(), value);
      }
    }
    return size(c.place(), callable.call(c.function().place(), positional, Collections.unmodifiableMap(
        named)));
  }

  private Object comprehension(Comprehension c, Scope scope) {
    Items list = new Items(new ArrayList<>(), false);
    Dict dict = new Dict();
    clause(c, 0, new Scope(scope), list, dict);
    return c.value() == null ? list : dict;
  }

  private void clause(Comprehension c, int n, Scope scope, Items list, Dict dict) {
    if (n == c.clauses().size()) {
      Object item = evaluate(c.item(), scope);
      if (c.value() == null) {
        list.all.add(item);
        size(c.place(), list.all.size() > MOST_ITEMS ? list : null);
      } else {
        Operators.store(c.place(), dict, item, evaluate(c.value(), scope));
      }
      return;
    }
    Clause k = c.clauses().get(n);
    if (k.target() == null) {
      if (truth(evaluate(k.source(), scope))) {
        clause(c, n + 1, scope, list, dict);
      }
      return;
    }
    for (Object item : Operators.items(c.place(), evaluate(k.source(), scope))) {
      step(c.place());
      assign(k.target(), item, scope);
      clause(c, n + 1, scope, list, dict);
    }
  }

  static boolean same(Object a, Object b) {
    if (a instanceof Number x && b instanceof Number y && (a instanceof Double || b instanceof Double)) {
      return x.doubleValue() == y.doubleValue();
    }
    return Objects.equals(a, b);
  }
}
