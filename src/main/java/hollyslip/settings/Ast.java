package hollyslip.settings;

import hollyslip.settings.ScriptError.Location;
import java.util.List;

/** Syntax tree of a script. Source: the Starlark specification, "Expressions" and "Statements". Lambda,
 * starred arguments, bitwise operators and sets are not supported. */
final class Ast {
  private Ast() {}

  sealed interface Expression permits Literal, Identifier, ListExpression, TupleExpression, DictExpression,
      UnaryExpression, BinaryExpression, ConditionalExpression, CallExpression, DotExpression,
      IndexExpression, SliceExpression, Comprehension {
    Location location();
  }

  record Literal(Location location, Object value) implements Expression {}

  record Identifier(Location location, String name) implements Expression {}

  record ListExpression(Location location, List<Expression> items) implements Expression {}

  record TupleExpression(Location location, List<Expression> items) implements Expression {}

  record DictExpression(Location location, List<Expression> keys, List<Expression> values)
      implements
        Expression {}

  record UnaryExpression(Location location, String op, Expression operand) implements Expression {}

  record BinaryExpression(Location location, String op, Expression left, Expression right)
      implements
        Expression {}

  record ConditionalExpression(Location location, Expression then, Expression condition, Expression otherwise)
      implements
        Expression {}

  record Argument(String name, Expression value) {}

  record CallExpression(Location location, Expression function, List<Argument> arguments)
      implements
        Expression {}

  record DotExpression(Location location, Expression object, String name) implements Expression {}

  record IndexExpression(Location location, Expression object, Expression index) implements Expression {}

  record SliceExpression(Location location, Expression object, Expression start, Expression end)
      implements
        Expression {}

  /** A {@code for} clause of a comprehension, or an {@code if} clause, whose {@code target} is null. */
  record Clause(Expression target, Expression expression) {}

  /** A list comprehension, or a dict comprehension if {@code value} is not null; {@code element} is then the
   * key. */
  record Comprehension(Location location, Expression element, Expression value, List<Clause> clauses)
      implements
        Expression {}

  sealed interface Statement permits Assignment, ExpressionStatement, IfStatement, ForStatement,
      FunctionDefinition, ReturnStatement, JumpStatement, LoadStatement {
    Location location();
  }

  /** A plain ({@code op} is empty) or augmented assignment. */
  record Assignment(Location location, Expression target, String op, Expression value) implements Statement {}

  record ExpressionStatement(Location location, Expression value) implements Statement {}

  record IfStatement(Location location, Expression condition, List<Statement> then, List<Statement> otherwise)
      implements
        Statement {}

  record ForStatement(Location location, Expression target, Expression iterable, List<Statement> body)
      implements
        Statement {}

  /** A parameter of a function; {@code defaultValue} is null if it is required. */
  record Parameter(String name, Expression defaultValue) {}

  record FunctionDefinition(Location location, String name, List<Parameter> parameters, List<Statement> body)
      implements
        Statement {}

  record ReturnStatement(Location location, Expression value) implements Statement {}

  /** A {@code break}, {@code continue} or {@code pass} statement. */
  record JumpStatement(Location location, String keyword) implements Statement {}

  record LoadStatement(Location location, String file, List<String> names, List<String> localNames)
      implements
        Statement {}
}
