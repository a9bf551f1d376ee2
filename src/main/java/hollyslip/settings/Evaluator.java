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

/** Evaluates a script. The only I/O is loading files from the script's directory. Steps, call depth and value
 * sizes are limited and recursion is forbidden, so every script terminates. Values are None (null), Boolean,
 * Long, Double, String, {@link Sequence} (list or tuple), {@link Dict} and {@link Callable}. Source: the
 * Starlark specification, "Data types" and "Built-in constants and functions". */
final class Evaluator {
  /** Limits that make every script terminate. */
  private static final long MAX_STEPS = 2_000_000;
  private static final int MAX_CALL_DEPTH = 50, MAX_ELEMENTS = 200_000, MAX_STRING_LENGTH = 1 << 20;

  /** A list or a tuple. */
  static final class Sequence {
    final List<Object> elements;
    final boolean tuple;
    boolean frozen;

    Sequence(List<Object> elements, boolean tuple) {
      this.elements = elements;
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

  /** A dict, which keeps insertion order. */
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

  /** A function or a bound method. */
  interface Callable {
    Object call(Location location, List<Object> positional, Map<String, Object> named);
  }

  /** The names of a module or of a function call. A name not found in a call's scope is looked up in that of
   * its module. */
  private static final class Scope {
    final Map<String, Object> names = new HashMap<>();
    final Scope parent;

    Scope(Scope parent) {
      this.parent = parent;
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

  /** Unwinds to the enclosing loop or function call. */
  private static final class JumpException extends RuntimeException {
    final String keyword;
    final transient Object value;

    JumpException(String keyword, Object value) {
      super(keyword, null, false, false);
      this.keyword = keyword;
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
   * @param fileReader
   *          returns the text of a file by its name, or null if it cannot be read */
  Evaluator(Map<String, Object> predeclared, Function<String, String> fileReader) {
    this.predeclared = predeclared;
    this.fileReader = fileReader;
  }

  /** Executes a module, unless it was executed before. */
  void execute(String file, Location location) {
    loadModule(file, location);
  }

  private Scope loadModule(String file, Location location) {
    Scope existing = modules.get(file);
    if (existing != null) {
      return existing;
    }
    if (modules.containsKey(file)) {
      throw new ScriptError(location, "load of " + file + " forms a cycle");
    }
    String text = fileReader.apply(file);
    if (text == null) {
      throw new ScriptError(location, "file " + file + " cannot be read");
    }
    modules.put(file, null);
    Scope universe = new Scope(null);
    universe.names.putAll(predeclared);
    Builtins.addTo(universe.names);
    Scope scope = new Scope(universe);
    try {
      execute(Parser.parse(file, text), scope);
    } catch (JumpException j) {
      throw new ScriptError(location, "'" + j.keyword + "' outside a function or loop in " + file);
    }
    scope.names.values().forEach(Evaluator::freeze);
    modules.put(file, scope);
    return scope;
  }

  static void freeze(Object value) {
    if (value instanceof Sequence sequence && !sequence.frozen) {
      sequence.frozen = true;
      sequence.elements.forEach(Evaluator::freeze);
    } else if (value instanceof Dict dict && !dict.frozen) {
      dict.frozen = true;
      dict.entries.values().forEach(Evaluator::freeze);
    }
  }

  private void countStep(Location location) {
    if (++steps > MAX_STEPS) {
      throw new ScriptError(location, "more than " + MAX_STEPS + " steps");
    }
  }

  // Statements.

  private void execute(List<Statement> body, Scope scope) {
    for (Statement statement : body) {
      countStep(statement.location());
      execute(statement, scope);
    }
  }

  private void execute(Statement statement, Scope scope) {
    if (statement instanceof Assignment assignment) {
      Object value = evaluate(assignment.value(), scope);
      if (!assignment.op().isEmpty()) {
        value = Operators.binary(assignment.location(), assignment.op(), evaluate(assignment.target(), scope),
            value);
        checkSize(assignment.location(), value);
      }
      assign(assignment.target(), value, scope);
    } else if (statement instanceof ExpressionStatement expression) {
      evaluate(expression.value(), scope);
    } else if (statement instanceof IfStatement ifStatement) {
      execute(isTruthy(evaluate(ifStatement.condition(), scope))
          ? ifStatement.then()
          : ifStatement.otherwise(), scope);
    } else if (statement instanceof ForStatement forStatement) {
      executeFor(forStatement, scope);
    } else if (statement instanceof FunctionDefinition definition) {
      scope.names.put(definition.name(), defineFunction(definition, scope));
    } else if (statement instanceof ReturnStatement returnStatement) {
      throw new JumpException("return", returnStatement.value() == null
          ? null
          : evaluate(returnStatement.value(), scope));
    } else if (statement instanceof JumpStatement jump) {
      if (!jump.keyword().equals("pass")) {
        throw new JumpException(jump.keyword(), null);
      }
    } else if (statement instanceof LoadStatement load) {
      executeLoad(load, scope);
    }
  }

  private void executeFor(ForStatement loop, Scope scope) {
    for (Object item : Operators.elements(loop.location(), evaluate(loop.iterable(), scope))) {
      countStep(loop.location());
      assign(loop.target(), item, scope);
      try {
        execute(loop.body(), scope);
      } catch (JumpException jump) {
        if (jump.keyword.equals("break")) {
          return;
        }
        if (!jump.keyword.equals("continue")) {
          throw jump;
        }
      }
    }
  }

  private void executeLoad(LoadStatement load, Scope scope) {
    if (load.file().contains("/") || load.file().contains("\\") || load.file().startsWith(".")) {
      throw new ScriptError(load.location(), "load: '" + load.file()
          + "' is not the name of a file in the same directory");
    }
    Scope module = loadModule(load.file(), load.location());
    for (int i = 0; i < load.names().size(); i++) {
      String name = load.names().get(i);
      if (!module.names.containsKey(name) || name.startsWith("_")) {
        throw new ScriptError(load.location(), "load: " + load.file() + " has no name " + name);
      }
      scope.names.put(load.localNames().get(i), module.names.get(name));
    }
  }

  private void assign(Expression target, Object value, Scope scope) {
    if (target instanceof Identifier identifier) {
      scope.names.put(identifier.name(), value);
    } else if (target instanceof IndexExpression subscript) {
      Operators.setIndex(subscript.location(), evaluate(subscript.object(), scope),
          evaluate(subscript.index(), scope), value);
    } else {
      List<Expression> targets = target instanceof TupleExpression tuple
          ? tuple.items()
          : ((ListExpression) target).items();
      List<Object> values = Operators.elements(target.location(), value);
      if (values.size() != targets.size()) {
        throw new ScriptError(target.location(), values.size() + " values for " + targets.size()
            + " targets");
      }
      for (int i = 0; i < targets.size(); i++) {
        assign(targets.get(i), values.get(i), scope);
      }
    }
  }

  private Callable defineFunction(FunctionDefinition definition, Scope scope) {
    List<Object> defaults = new ArrayList<>();
    definition.parameters()
        .forEach(parameter -> defaults.add(parameter.defaultValue() == null
            ? null
            : evaluate(parameter.defaultValue(), scope)));
    return (location, positional, named) -> {
      if (callStack.contains(definition)) {
        throw new ScriptError(location, definition.name() + " calls itself; recursion is not supported");
      }
      if (callStack.size() >= MAX_CALL_DEPTH) {
        throw new ScriptError(location, "more than " + MAX_CALL_DEPTH + " calls deep");
      }
      Scope local = new Scope(scope);
      bindArguments(definition, location, positional, named, defaults, local);
      callStack.add(definition);
      try {
        execute(definition.body(), local);
        return null;
      } catch (JumpException jump) {
        if (!jump.keyword.equals("return")) {
          throw new ScriptError(location, "'" + jump.keyword + "' outside a loop in " + definition.name());
        }
        return jump.value;
      } catch (ScriptError e) {
        throw e.addCaller(definition.name(), location);
      } finally {
        callStack.remove(callStack.size() - 1);
      }
    };
  }

  private static void bindArguments(FunctionDefinition function, Location location, List<Object> positional,
      Map<String, Object> named,
      List<Object> defaults, Scope local) {
    if (positional.size() > function.parameters().size()) {
      throw new ScriptError(location, function.name() + " takes " + function.parameters().size()
          + " arguments, not "
          + positional.size());
    }
    for (int i = 0; i < function.parameters().size(); i++) {
      Parameter parameter = function.parameters().get(i);
      if (i < positional.size()) {
        local.names.put(parameter.name(), positional.get(i));
      } else if (parameter.defaultValue() != null) {
        local.names.put(parameter.name(), defaults.get(i));
      }
    }
    for (Map.Entry<String, Object> argument : named.entrySet()) {
      int i = -1;
      for (int k = 0; k < function.parameters().size(); k++) {
        i = function.parameters().get(k).name().equals(argument.getKey()) ? k : i;
      }
      if (i < 0 || i < positional.size()) {
        throw new ScriptError(location, function.name() + ": argument " + argument.getKey() + (i < 0
            ? " is not known"
            : " is given twice"));
      }
      local.names.put(argument.getKey(), argument.getValue());
    }
    for (Parameter parameter : function.parameters()) {
      if (!local.names.containsKey(parameter.name())) {
        throw new ScriptError(location, function.name() + ": argument " + parameter.name() + " is missing");
      }
    }
  }

  // Expressions.

  static boolean isTruthy(Object value) {
    if (value instanceof Boolean bool) {
      return bool;
    }
    if (value instanceof Sequence sequence) {
      return !sequence.elements.isEmpty();
    }
    if (value instanceof Dict dict) {
      return !dict.entries.isEmpty();
    }
    return value != null && !value.equals("") && !value.equals(0L) && !value.equals(0.0);
  }

  private Object evaluate(Expression expression, Scope scope) {
    countStep(expression.location());
    if (expression instanceof Literal literal) {
      return literal.value();
    }
    if (expression instanceof Identifier identifier) {
      Scope definingScope = scope.find(identifier.name());
      if (definingScope == null) {
        throw new ScriptError(identifier.location(), "name " + identifier.name() + " is not defined");
      }
      return definingScope.names.get(identifier.name());
    }
    if (expression instanceof ListExpression list) {
      return new Sequence(evaluateAll(list.items(), scope), false);
    }
    if (expression instanceof TupleExpression tuple) {
      return new Sequence(evaluateAll(tuple.items(), scope), true);
    }
    if (expression instanceof DictExpression dictExpression) {
      Dict dict = new Dict();
      for (int i = 0; i < dictExpression.keys().size(); i++) {
        Operators.setIndex(dictExpression.location(), dict, evaluate(dictExpression.keys().get(i), scope),
            evaluate(dictExpression.values().get(i),
                scope));
      }
      return dict;
    }
    if (expression instanceof ConditionalExpression conditional) {
      return evaluate(isTruthy(evaluate(conditional.condition(), scope))
          ? conditional.then()
          : conditional.otherwise(), scope);
    }
    if (expression instanceof Comprehension comprehension) {
      return evaluateComprehension(comprehension, scope);
    }
    if (expression instanceof CallExpression call) {
      return evaluateCall(call, scope);
    }
    return checkSize(expression.location(), evaluateOperation(expression, scope));
  }

  private Object evaluateOperation(Expression expression, Scope scope) {
    if (expression instanceof UnaryExpression unary) {
      Object operand = evaluate(unary.operand(), scope);
      return unary.op().equals("not")
          ? (Object) !isTruthy(operand)
          : Operators.unary(unary.location(), unary.op(), operand);
    }
    if (expression instanceof BinaryExpression binary) {
      Object left = evaluate(binary.left(), scope);
      if (binary.op().equals("and") || binary.op().equals("or")) {
        return isTruthy(left) == binary.op().equals("or") ? left : evaluate(binary.right(), scope);
      }
      return Operators.binary(binary.location(), binary.op(), left, evaluate(binary.right(), scope));
    }
    if (expression instanceof DotExpression dot) {
      return Operators.boundMethod(dot.location(), evaluate(dot.object(), scope), dot.name());
    }
    if (expression instanceof IndexExpression subscript) {
      return Operators.getIndex(subscript.location(), evaluate(subscript.object(), scope),
          evaluate(subscript.index(), scope));
    }
    SliceExpression slice = (SliceExpression) expression;
    return Operators.slice(slice.location(), evaluate(slice.object(), scope), slice.start() == null
        ? null
        : evaluate(slice.start(), scope), slice.end() == null ? null : evaluate(slice.end(), scope));
  }

  private Object checkSize(Location location, Object value) {
    boolean tooLarge = value instanceof String text && text.length() > MAX_STRING_LENGTH
        || value instanceof Sequence sequence
            && sequence.elements
                .size() > MAX_ELEMENTS;
    if (tooLarge) {
      throw new ScriptError(location, "value is too large");
    }
    // The size of a value counts as steps, so that a script that keeps doubling a value terminates too.
    steps += value instanceof String text
        ? text.length() / 64
        : value instanceof Sequence sequence ? sequence.elements.size() / 8 : 0;
    return value;
  }

  private List<Object> evaluateAll(List<Expression> expressions, Scope scope) {
    List<Object> values = new ArrayList<>();
    expressions.forEach(expression -> values.add(evaluate(expression, scope)));
    return values;
  }

  private Object evaluateCall(CallExpression call, Scope scope) {
    Object function = evaluate(call.function(), scope);
    if (!(function instanceof Callable callable)) {
      throw new ScriptError(call.location(), Operators.typeName(function) + " cannot be called");
    }
    List<Object> positional = new ArrayList<>();
    Map<String, Object> named = new LinkedHashMap<>();
    for (Argument argument : call.arguments()) {
      Object value = evaluate(argument.value(), scope);
      if (argument.name() == null) {
        positional.add(value);
      } else if (named.containsKey(argument.name())) {
        throw new ScriptError(call.location(), "argument " + argument.name() + " is given twice");
      } else {
        named.put(argument.name(), value);
      }
    }
    return checkSize(call.location(), callable.call(call.function().location(), positional,
        Collections.unmodifiableMap(named)));
  }

  private Object evaluateComprehension(Comprehension comprehension, Scope scope) {
    Sequence list = new Sequence(new ArrayList<>(), false);
    Dict dict = new Dict();
    evaluateClauses(comprehension, 0, new Scope(scope), list, dict);
    return comprehension.value() == null ? list : dict;
  }

  private void evaluateClauses(Comprehension comprehension, int index, Scope scope, Sequence list,
      Dict dict) {
    if (index == comprehension.clauses().size()) {
      Object element = evaluate(comprehension.element(), scope);
      if (comprehension.value() == null) {
        list.elements.add(element);
        checkSize(comprehension.location(), list.elements.size() > MAX_ELEMENTS ? list : null);
      } else {
        Operators.setIndex(comprehension.location(), dict, element, evaluate(comprehension.value(), scope));
      }
      return;
    }
    Clause clause = comprehension.clauses().get(index);
    if (clause.target() == null) {
      if (isTruthy(evaluate(clause.expression(), scope))) {
        evaluateClauses(comprehension, index + 1, scope, list, dict);
      }
      return;
    }
    for (Object element : Operators.elements(comprehension.location(), evaluate(clause.expression(),
        scope))) {
      countStep(comprehension.location());
      assign(clause.target(), element, scope);
      evaluateClauses(comprehension, index + 1, scope, list, dict);
    }
  }

  static boolean areEqual(Object a, Object b) {
    if (a instanceof Number x && b instanceof Number y && (a instanceof Double || b instanceof Double)) {
      return x.doubleValue() == y.doubleValue();
    }
    return Objects.equals(a, b);
  }
}
