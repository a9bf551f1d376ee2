package hollyslip.settings;

import hollyslip.settings.ScriptError.Place;
import java.util.List;

/** What a script is made of. Source: the Starlark specification, "Expressions" and "Statements"; left out are
 * lambda, starred arguments, bitwise operators and sets. */
final class Ast {
  private Ast() {}

  sealed interface Expr permits Literal, Name, ListOf, TupleOf, DictOf, Unary, Binary, Conditional, Call, Dot,
      Index, Slice, Comprehension {
    Place place();
  }

  record Literal(Place place, Object value) implements Expr {}

  record Name(Place place, String name) implements Expr {}

  record ListOf(Place place, List<Expr> items) implements Expr {}

  record TupleOf(Place place, List<Expr> items) implements Expr {}

  record DictOf(Place place, List<Expr> keys, List<Expr> values) implements Expr {}

  record Unary(Place place, String op, Expr of) implements Expr {}

  record Binary(Place place, String op, Expr left, Expr right) implements Expr {}

  record Conditional(Place place, Expr then, Expr condition, Expr otherwise) implements Expr {}

  record Argument(String name, Expr value) {}

  record Call(Place place, Expr function, List<Argument> arguments) implements Expr {}

  record Dot(Place place, Expr of, String name) implements Expr {}

  record Index(Place place, Expr of, Expr index) implements Expr {}

  record Slice(Place place, Expr of, Expr from, Expr to) implements Expr {}

  /** A {@code for} (target and source) or an {@code if} (source alone) of a comprehension. */
  record Clause(Expr target, Expr source) {}

  /** A list, or with {@code value} a dict. */
  record Comprehension(Place place, Expr item, Expr value, List<Clause> clauses) implements Expr {}

  sealed interface Statement permits Assign, Evaluate, If, For, Def, Return, Jump, Load {
    Place place();
  }

  /** {@code op} is empty for a plain one. */
  record Assign(Place place, Expr target, String op, Expr value) implements Statement {}

  record Evaluate(Place place, Expr value) implements Statement {}

  record If(Place place, Expr condition, List<Statement> then, List<Statement> otherwise)
      implements
        Statement {}

  record For(Place place, Expr target, Expr source, List<Statement> body) implements Statement {}

  /** {@code standard}: null where an argument must be given. */
  record Parameter(String name, Expr standard) {}

  record Def(Place place, String name, List<Parameter> parameters, List<Statement> body)
      implements
        Statement {}

  record Return(Place place, Expr value) implements Statement {}

  /** {@code break}, {@code continue} or {@code pass}. */
  record Jump(Place place, String word) implements Statement {}

  record Load(Place place, String file, List<String> names, List<String> as) implements Statement {}
}
