package hollyslip.settings;

import hollyslip.settings.Ast.*;
import hollyslip.settings.ScriptError.Location;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;

/** Runs a script: no I/O but the loading of neighbours, a bound on steps, on depth and on the size of values,
 * no recursion, so every script ends. Values are None (null), Boolean, Long, Double, String, {@link Sequence}
 * (list or tuple), {@link Dict} and {@link Callable}. Source: the Starlark specification, "Data types" and
 * "Built-in constants and functions". */
final class Evaluator {
  /** Bounds on what a script may do. */
  private static final long MAX_STEPS = 2_000_000;
  private static final int MAX_CALL_DEPTH = 50, MAX_ELEMENTS = 200_000, MAX_STRING_LENGTH = 1 << 20;

  /** A list or a tuple. */
  static final class Sequence {
    final List<Object> elements;
    final boolean tuple;
    boolean frozen;

    Sequence(List<Object> all, boolean tuple) {
      this.elements = all;
      this.tuple = tuple;
    }

    @Override
    public boolean equals(Object o) {
      return o instanceof Sequence i && i.tuple == tuple && i.elements.equals(elements);
    }

    @Override
    public int hashCode() {
      return elements.hashCode();
    }
  }

  /** A dict, in order of insertion. */
  static final class Dict {
    final Map<Object, Object> entries = new LinkedHashMap<>();
    boolean frozen;

    @Override
    public boolean equals(Object o) {
      return o instanceof Dict d && d.entries.equals(entries);
    }

    @Override
    public int hashCode() {
      return entries.hashCode();
    }
  }

  /** Something that can be called. */
  interface Callable {
    Object call(Location location, List<Object> positional, Map<String, Object> named);
  }

  /** Names of a module, or of a call; a call sees its module's below its own. */
  private static final class Scope {
    final Map<String, Object> names = new HashMap<>();
    final Scope parent;

    Scope(Scope below) {
      this.parent = below;
    }

    Scope find(String name) {
      for (Scope s = this; s != null; s = s.parent) {
        if (s.names.containsKey(name)) {
          return s;
        }
      }
      return null;
    }
  }

  private static final class JumpException extends RuntimeException {
    final String keyword;
    final transient Object value;

    JumpException(String word, Object value) {
      super(word, null, false, false);
      this.keyword = word;
      this.value = value;
    }
  }

  private final Map<String, Object> predeclared;
  private final Function<String, String> fileReader;
  private final Map<String, Scope> modules = new HashMap<>();
  private final List<FunctionDefinition> callStack = new ArrayList<>();
  private long steps;

  /** @param predeclared
   *          names that every module sees
   * @param neighbours
   *          text of a file by its name; null: there is none */
  Evaluator(Map<String, Object> predeclared, Function<String, String> neighbours) {
    this.predeclared = predeclared;
    this.fileReader = neighbours;
  }

  /** Runs a module; again gives what the first run made. */
  void execute(String file, Location from) {
    loadModule(file, from);
  }

  private Scope loadModule(String file, Location from) {
    Scope done = modules.get(file);
    if (done != null) {
      return done;
    }
    if (modules.containsKey(file)) {
      throw new ScriptError(from, "load of " + file + " goes round in a circle");
    }
    String text = fileReader.apply(file);
    if (text == null) {
      throw new ScriptError(from, "file " + file + " cannot be read");
    }
    modules.put(file, null);
    Scope base = new Scope(null);
    base.names.putAll(predeclared);
    Builtins.addTo(base.names);
    Scope scope = new Scope(base);
    try {
      execute(Parser.parse(file, text), scope);
    } catch (JumpException j) {
      throw new ScriptError(from, "'" + j.keyword + "' outside a function or loop in " + file);
    }
    scope.names.values().forEach(Evaluator::freeze);
    modules.put(file, scope);
    return scope;
  }

  static void freeze(Object value) {
    if (value instanceof Sequence i && !i.frozen) {
      i.frozen = true;
      i.elements.forEach(Evaluator::freeze);
    } else if (value instanceof Dict d && !d.frozen) {
      d.frozen = true;
      d.entries.values().forEach(Evaluator::freeze);
    }
  }

  private void countStep(Location location) {
    if (++steps > MAX_STEPS) {
      throw new ScriptError(location, "more than " + MAX_STEPS + " steps");
    }
  }

  // Statements.

  private void execute(List<Statement> body, Scope scope) {
    for (Statement s : body) {
      countStep(s.location());
      execute(s, scope);
    }
  }

  private void execute(Statement s, Scope scope) {
    if (s instanceof Assignment a) {
      Object value = evaluate(a.value(), scope);
      if (!a.op().isEmpty()) {
        value = Operators.binary(a.location(), a.op(), evaluate(a.target(), scope), value);
        checkSize(a.location(), value);
      }
      assign(a.target(), value, scope);
    } else if (s instanceof ExpressionStatement e) {
      evaluate(e.value(), scope);
    } else if (s instanceof IfStatement i) {
      execute(isTruthy(evaluate(i.condition(), scope)) ? i.then() : i.otherwise(), scope);
    } else if (s instanceof ForStatement f) {
      executeFor(f, scope);
    } else if (s instanceof FunctionDefinition d) {
      scope.names.put(d.name(), defineFunction(d, scope));
    } else if (s instanceof ReturnStatement r) {
      throw new JumpException("return", r.value() == null ? null : evaluate(r.value(), scope));
    } else if (s instanceof JumpStatement j) {
      if (!j.keyword().equals("pass")) {
        throw new JumpException(j.keyword(), null);
      }
    } else if (s instanceof LoadStatement l) {
      executeLoad(l, scope);
    }
  }

  private void executeFor(ForStatement f, Scope scope) {
    for (Object item : Operators.elements(f.location(), evaluate(f.iterable(), scope))) {
      countStep(f.location());
      assign(f.target(), item, scope);
      try {
        execute(f.body(), scope);
      } catch (JumpException j) {
        if (j.keyword.equals("break")) {
          return;
        }
        if (!j.keyword.equals("continue")) {
          throw j;
        }
      }
    }
  }

  private void executeLoad(LoadStatement l, Scope scope) {
    if (l.file().contains("/") || l.file().contains("\\") || l.file().startsWith(".")) {
      throw new ScriptError(l.location(), "load: '" + l.file() + "' is not the name of a neighbouring file");
    }
    Scope from = loadModule(l.file(), l.location());
    for (int i = 0; i < l.names().size(); i++) {
      String name = l.names().get(i);
      if (!from.names.containsKey(name) || name.startsWith("_")) {
        throw new ScriptError(l.location(), "load: " + l.file() + " has no name " + name);
      }
      scope.names.put(l.localNames().get(i), from.names.get(name));
    }
  }

  private void assign(Expression target, Object value, Scope scope) {
    if (target instanceof Identifier n) {
      scope.names.put(n.name(), value);
    } else if (target instanceof IndexExpression i) {
      Operators.setIndex(i.location(), evaluate(i.object(), scope), evaluate(i.index(), scope), value);
    } else {
      List<Expression> parts = target instanceof TupleExpression t
          ? t.items()
          : ((ListExpression) target).items();
      List<Object> values = Operators.elements(target.location(), value);
      if (values.size() != parts.size()) {
        throw new ScriptError(target.location(), values.size() + " values for " + parts.size() + " names");
      }
      for (int i = 0; i < parts.size(); i++) {
        assign(parts.get(i), values.get(i), scope);
      }
    }
  }

  private Callable defineFunction(FunctionDefinition d, Scope scope) {
    List<Object> standards = new ArrayList<>();
    d.parameters()
        .forEach(p -> standards.add(p.defaultValue() == null ? null : evaluate(p.defaultValue(), scope)));
    return (location, positional, named) -> {
      if (callStack.contains(d)) {
        throw new ScriptError(location, d.name() + " calls itself");
      }
      if (callStack.size() >= MAX_CALL_DEPTH) {
        throw new ScriptError(location, "more than " + MAX_CALL_DEPTH + " calls deep");
      }
      Scope own = new Scope(scope);
      bindArguments(d, location, positional, named, standards, own);
      callStack.add(d);
      try {
        execute(d.body(), own);
        return null;
      } catch (JumpException j) {
        if (!j.keyword.equals("return")) {
          throw new ScriptError(location, "'" + j.keyword + "' outside a loop in " + d.name());
        }
        return j.value;
      } catch (ScriptError e) {
        throw e.addCaller(d.name(), location);
      } finally {
        callStack.remove(callStack.size() - 1);
      }
    };
  }

  private static void bindArguments(FunctionDefinition d, Location location, List<Object> positional,
      Map<String, Object> named,
      List<Object> standards, Scope own) {
    if (positional.size() > d.parameters().size()) {
      throw new ScriptError(location, d.name() + " takes " + d.parameters().size() + " arguments, not "
          + positional.size());
    }
    for (int i = 0; i < d.parameters().size(); i++) {
      Parameter p = d.parameters().get(i);
      if (i < positional.size()) {
        own.names.put(p.name(), positional.get(i));
      } else if (p.defaultValue() != null) {
        own.names.put(p.name(), standards.get(i));
      }
    }
    for (Map.Entry<String, Object> e : named.entrySet()) {
      int i = -1;
      for (int k = 0; k < d.parameters().size(); k++) {
        i = d.parameters().get(k).name().equals(e.getKey()) ? k : i;
      }
      if (i < 0 || i < positional.size()) {
        throw new ScriptError(location, d.name() + ": argument " + e.getKey() + (i < 0
            ? " is not known"
            : " is given twice"));
      }
      own.names.put(e.getKey(), e.getValue());
    }
    for (Parameter p : d.parameters()) {
      if (!own.names.containsKey(p.name())) {
        throw new ScriptError(location, d.name() + ": argument " + p.name() + " is missing");
      }
    }
  }

  // Expressions.

  static boolean isTruthy(Object value) {
    if (value instanceof Boolean b) {
      return b;
    }
    if (value instanceof Sequence i) {
      return !i.elements.isEmpty();
    }
    if (value instanceof Dict d) {
      return !d.entries.isEmpty();
    }
    return value != null && !value.equals("") && !value.equals(0L) && !value.equals(0.0);
  }

  private Object evaluate(Expression e, Scope scope) {
    countStep(e.location());
    if (e instanceof Literal l) {
      return l.value();
    }
    if (e instanceof Identifier n) {
      Scope s = scope.find(n.name());
      if (s == null) {
        throw new ScriptError(n.location(), "name " + n.name() + " is not known");
      }
      return s.names.get(n.name());
    }
    if (e instanceof ListExpression l) {
      return new Sequence(evaluateAll(l.items(), scope), false);
    }
    if (e instanceof TupleExpression t) {
      return new Sequence(evaluateAll(t.items(), scope), true);
    }
    if (e instanceof DictExpression d) {
      Dict dict = new Dict();
      for (int i = 0; i < d.keys().size(); i++) {
        Operators.setIndex(d.location(), dict, evaluate(d.keys().get(i), scope), evaluate(d.values().get(i),
            scope));
      }
      return dict;
    }
    if (e instanceof ConditionalExpression c) {
      return evaluate(isTruthy(evaluate(c.condition(), scope)) ? c.then() : c.otherwise(), scope);
    }
    if (e instanceof Comprehension c) {
      return evaluateComprehension(c, scope);
    }
    if (e instanceof CallExpression c) {
      return evaluateCall(c, scope);
    }
    return checkSize(e.location(), evaluateOperation(e, scope));
  }

  private Object evaluateOperation(Expression e, Scope scope) {
    if (e instanceof UnaryExpression u) {
      Object of = evaluate(u.operand(), scope);
      return u.op().equals("not") ? (Object) !isTruthy(of) : Operators.unary(u.location(), u.op(), of);
    }
    if (e instanceof BinaryExpression b) {
      Object left = evaluate(b.left(), scope);
      if (b.op().equals("and") || b.op().equals("or")) {
        return isTruthy(left) == b.op().equals("or") ? left : evaluate(b.right(), scope);
      }
      return Operators.binary(b.location(), b.op(), left, evaluate(b.right(), scope));
    }
    if (e instanceof DotExpression d) {
      return Operators.boundMethod(d.location(), evaluate(d.object(), scope), d.name());
    }
    if (e instanceof IndexExpression i) {
      return Operators.getIndex(i.location(), evaluate(i.object(), scope), evaluate(i.index(), scope));
    }
    SliceExpression s = (SliceExpression) e;
    return Operators.slice(s.location(), evaluate(s.object(), scope), s.start() == null
        ? null
        : evaluate(s.start(), scope), s.end() == null ? null : evaluate(s.end(), scope));
  }

  private Object checkSize(Location location, Object value) {
    boolean large = value instanceof String s && s.length() > MAX_STRING_LENGTH || value instanceof Sequence i
        && i.elements
            .size() > MAX_ELEMENTS;
    if (large) {
      throw new ScriptError(location, "a value larger than a script may make");
    }
    // What a value is made of counts as steps, so that doubling it again and again ends too.
    steps += value instanceof String s
        ? s.length() / 64
        : value instanceof Sequence i ? i.elements.size() / 8 : 0;
    return value;
  }

  private List<Object> evaluateAll(List<Expression> items, Scope scope) {
    List<Object> values = new ArrayList<>();
    items.forEach(i -> values.add(evaluate(i, scope)));
    return values;
  }

  private Object evaluateCall(CallExpression c, Scope scope) {
    Object f = evaluate(c.function(), scope);
    if (!(f instanceof Callable callable)) {
      throw new ScriptError(c.location(), Operators.typeName(f) + " cannot be called");
    }
    List<Object> positional = new ArrayList<>();
    Map<String, Object> named = new LinkedHashMap<>();
    for (Argument a : c.arguments()) {
      Object value = evaluate(a.value(), scope);
      if (a.name() == null) {
        positional.add(value);
      } else if (named.containsKey(a.name())) {
        throw new ScriptError(c.location(), "argument " + a.name() + " is given twice");
      } else {
        named.put(a.name(), value);
      }
    }
    return checkSize(c.location(), callable.call(c.function().location(), positional, Collections
        .unmodifiableMap(
            named)));
  }

  private Object evaluateComprehension(Comprehension c, Scope scope) {
    Sequence list = new Sequence(new ArrayList<>(), false);
    Dict dict = new Dict();
    evaluateClauses(c, 0, new Scope(scope), list, dict);
    return c.value() == null ? list : dict;
  }

  private void evaluateClauses(Comprehension c, int n, Scope scope, Sequence list, Dict dict) {
    if (n == c.clauses().size()) {
      Object item = evaluate(c.element(), scope);
      if (c.value() == null) {
        list.elements.add(item);
        checkSize(c.location(), list.elements.size() > MAX_ELEMENTS ? list : null);
      } else {
        Operators.setIndex(c.location(), dict, item, evaluate(c.value(), scope));
      }
      return;
    }
    Clause k = c.clauses().get(n);
    if (k.target() == null) {
      if (isTruthy(evaluate(k.expression(), scope))) {
        evaluateClauses(c, n + 1, scope, list, dict);
      }
      return;
    }
    for (Object item : Operators.elements(c.location(), evaluate(k.expression(), scope))) {
      countStep(c.location());
      assign(k.target(), item, scope);
      evaluateClauses(c, n + 1, scope, list, dict);
    }
  }

  static boolean areEqual(Object a, Object b) {
    if (a instanceof Number x && b instanceof Number y && (a instanceof Double || b instanceof Double)) {
      return x.doubleValue() == y.doubleValue();
    }
    return Objects.equals(a, b);
  }
}
