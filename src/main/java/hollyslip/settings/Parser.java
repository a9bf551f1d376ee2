package hollyslip.settings;

import hollyslip.settings.Ast.*;
import hollyslip.settings.Lexer.Kind;
import hollyslip.settings.Lexer.Token;
import hollyslip.settings.ScriptError.Place;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Reads tokens into statements. Source: the Starlark specification, "Grammar reference". */
final class Parser {
  /** Deepest nesting, so that no script can exhaust the stack. */
  private static final int MOST_DEPTH = 100;

  private static final List<Set<String>> LEVELS = List.of(Set.of("or"), Set.of("and"), Set.of("not"), Set.of(
      "==", "!=", "<", ">", "<=", ">=", "in", "not in"), Set.of("+", "-"), Set.of("*", "/", "//", "%"));
  private static final int NOT = 2, COMPARE = 3;

  private final List<Token> tokens;
  private int at;
  private int depth;

  private Parser(List<Token> tokens) {
    this.tokens = tokens;
  }

  static List<Statement> parse(String file, String text) {
    Parser p = new Parser(Lexer.tokens(file, text));
    List<Statement> all = new ArrayList<>();
    while (p.peek().kind() != Kind.END) {
      if (!p.accept(Kind.NEWLINE)) {
        p.statement(all);
      }
    }
    return all;
  }

  private Token peek() {
    return tokens.get(at);
  }

  private Token next() {
    return tokens.get(at++);
  }

  private boolean accept(Kind kind) {
    if (peek().kind() == kind) {
      at++;
      return true;
    }
    return false;
  }

  private boolean is(String word) {
    Token t = peek();
    return (t.kind() == Kind.OP || t.kind() == Kind.KEYWORD) && t.text().equals(word);
  }

  private boolean accept(String word) {
    if (is(word)) {
      at++;
      return true;
    }
    return false;
  }

  private ScriptError wrong(String expected) {
    return new ScriptError(peek().place(), "expected " + expected + ", found " + peek().text());
  }

  private void expect(String word) {
    if (!accept(word)) {
      throw wrong("'" + word + "'");
    }
  }

  private String name() {
    if (peek().kind() != Kind.NAME) {
      throw wrong("a name");
    }
    return next().text();
  }

  private String string() {
    if (peek().kind() != Kind.STRING) {
      throw wrong("a string");
    }
    return (String) next().value();
  }

  private void deeper() {
    if (++depth > MOST_DEPTH) {
      throw new ScriptError(peek().place(), "nested deeper than " + MOST_DEPTH);
    }
  }

  // Statements.

  private void statement(List<Statement> to) {
    deeper();
    Place place = peek().place();
    if (accept("def")) {
      to.add(def(place));
    } else if (accept("if")) {
      to.add(condition(place));
    } else if (accept("for")) {
      Expr target = targets();
      expect("in");
      Expr source = expressions();
      to.add(new For(place, target, source, block()));
    } else {
      to.add(simple());
      if (!accept(Kind.NEWLINE)) {
        throw wrong("the end of the line");
      }
    }
    depth--;
  }

  private List<Statement> block() {
    expect(":");
    List<Statement> body = new ArrayList<>();
    if (!accept(Kind.NEWLINE)) {
      body.add(simple());
      if (!accept(Kind.NEWLINE)) {
        throw wrong("the end of the line");
      }
      return body;
    }
    if (!accept(Kind.INDENT)) {
      throw wrong("an indented block");
    }
    while (!accept(Kind.DEDENT)) {
      if (!accept(Kind.NEWLINE)) {
        statement(body);
      }
    }
    return body;
  }

  private Statement def(Place place) {
    String name = name();
    expect("(");
    List<Parameter> parameters = new ArrayList<>();
    while (!accept(")")) {
      String parameter = name();
      if (parameters.stream().anyMatch(p -> p.name().equals(parameter))) {
        throw new ScriptError(place, "parameter " + parameter + " stands twice");
      }
      parameters.add(new Parameter(parameter, accept("=") ? expression() : null));
      if (!is(")")) {
        expect(",");
      }
    }
    return new Def(place, name, parameters, block());
  }

  private Statement condition(Place place) {
    Expr test = expression();
    List<Statement> then = block();
    List<Statement> otherwise = List.of();
    Place at2 = peek().place();
    if (accept("elif")) {
      deeper();
      otherwise = List.of(condition(at2));
      depth--;
    } else if (accept("else")) {
      otherwise = block();
    }
    return new If(place, test, then, otherwise);
  }

  private Statement simple() {
    Place place = peek().place();
    for (String jump : List.of("break", "continue", "pass")) {
      if (accept(jump)) {
        return new Jump(place, jump);
      }
    }
    if (accept("return")) {
      return new Return(place, peek().kind() == Kind.NEWLINE ? null : expressions());
    }
    if (accept("load")) {
      return load(place);
    }
    Expr left = expressions();
    for (String op : List.of("=", "+=", "-=", "*=", "/=", "//=", "%=")) {
      Place opAt = peek().place();
      if (accept(op)) {
        target(left, op.equals("="));
        return new Assign(opAt, left, op.substring(0, op.length() - 1), expressions());
      }
    }
    return new Evaluate(place, left);
  }

  private Statement load(Place place) {
    expect("(");
    String file = string();
    List<String> names = new ArrayList<>();
    List<String> as = new ArrayList<>();
    while (accept(",") && !is(")")) {
      if (peek().kind() == Kind.NAME) {
        as.add(name());
        expect("=");
        names.add(string());
      } else {
        names.add(string());
        as.add(names.get(names.size() - 1));
      }
    }
    expect(")");
    return new Load(place, file, names, as);
  }

  private void target(Expr e, boolean many) {
    if (e instanceof TupleOf t && many) {
      t.items().forEach(i -> target(i, true));
    } else if (e instanceof ListOf l && many) {
      l.items().forEach(i -> target(i, true));
    } else if (!(e instanceof Name) && !(e instanceof Index)) {
      throw new ScriptError(e.place(), "this cannot be assigned to");
    }
  }

  /** Targets of a {@code for}: names, also in tuples; no operators, since {@code in} follows. */
  private Expr targets() {
    Place place = peek().place();
    List<Expr> items = new ArrayList<>();
    do {
      if (accept("(")) {
        items.add(targets());
        expect(")");
      } else {
        Place p = peek().place();
        items.add(new Name(p, name()));
      }
    } while (accept(",") && !is("in"));
    return items.size() == 1 ? items.get(0) : new TupleOf(place, items);
  }

  // Expressions.

  private Expr expressions() {
    Place place = peek().place();
    Expr first = expression();
    if (!is(",")) {
      return first;
    }
    List<Expr> items = new ArrayList<>(List.of(first));
    while (accept(",") && peek().kind() != Kind.NEWLINE && !is(")") && !is("=") && !is(":")) {
      items.add(expression());
    }
    return new TupleOf(place, items);
  }

  private Expr expression() {
    deeper();
    Expr then = binary(0);
    Place place = peek().place();
    if (accept("if")) {
      Expr condition = binary(0);
      expect("else");
      then = new Conditional(place, then, condition, expression());
    }
    depth--;
    return then;
  }

  private Expr binary(int level) {
    if (level == LEVELS.size()) {
      return unary();
    }
    if (level == NOT) {
      Place place = peek().place();
      if (accept("not")) {
        deeper();
        Expr of = binary(NOT);
        depth--;
        return new Unary(place, "not", of);
      }
      return binary(level + 1);
    }
    Expr left = binary(level + 1);
    while (true) {
      Place place = peek().place();
      String op = operator(level);
      if (op == null) {
        return left;
      }
      left = new Binary(place, op, left, binary(level + 1));
      if (level == COMPARE && operatorAhead(level)) {
        throw wrong("one comparison; they do not chain");
      }
    }
  }

  private boolean operatorAhead(int level) {
    return LEVELS.get(level).stream().anyMatch(this::is);
  }

  private String operator(int level) {
    if (level == COMPARE && is("not")) {
      Token after = tokens.get(at + 1);
      if (after.kind() == Kind.KEYWORD && after.text().equals("in")) {
        at += 2;
        return "not in";
      }
      return null;
    }
    for (String op : LEVELS.get(level)) {
      if (accept(op)) {
        return op;
      }
    }
    return null;
  }

  private Expr unary() {
    Place place = peek().place();
    for (String op : List.of("-", "+")) {
      if (accept(op)) {
        deeper();
        Expr of = unary();
        depth--;
        return new Unary(place, op, of);
      }
    }
    return suffixed();
  }

  private Expr suffixed() {
    Expr e = operand();
    while (true) {
      Place place = peek().place();
      if (accept(".")) {
        e = new Dot(place, e, name());
      } else if (accept("(")) {
        e = new Call(place, e, arguments());
      } else if (accept("[")) {
        e = subscript(place, e);
      } else {
        return e;
      }
    }
  }

  private Expr subscript(Place place, Expr of) {
    Expr from = is(":") ? null : expression();
    Expr result;
    if (accept(":")) {
      result = new Slice(place, of, from, is("]") ? null : expression());
    } else {
      result = new Index(place, of, from);
    }
    expect("]");
    return result;
  }

  private List<Argument> arguments() {
    List<Argument> all = new ArrayList<>();
    while (!accept(")")) {
      boolean named = peek().kind() == Kind.NAME && tokens.get(at + 1).kind() == Kind.OP && tokens.get(at + 1)
          .text()
          .equals("=");
      if (named) {
        String name = name();
        next();
        all.add(new Argument(name, expression()));
      } else {
        if (!all.isEmpty() && all.get(all.size() - 1).name() != null) {
          throw wrong("a named argument after a named one");
        }
        all.add(new Argument(null, expression()));
      }
      if (!is(")")) {
        expect(",");
      }
    }
    return all;
  }

  private Expr operand() {
    Token t = peek();
    switch (t.kind()) {
      case INT, FLOAT -> { at++; return new Literal(t.place(), t.value()); }
      case STRING -> {
        StringBuilder s = new StringBuilder();
        while (peek().kind() == Kind.STRING) {
          s.append(next().value());
        }
        return new Literal(t.place(), s.toString());
      }
      case NAME -> {
        at++;
        return switch (t.text()) {
          case "True" -> new Literal(t.place(), true);
          case "False" -> new Literal(t.place(), false);
          case "None" -> new Literal(t.place(), null);
          default -> new Name(t.place(), t.text());
        };
      }
      default -> {}
    }
    if (accept("(")) {
      if (accept(")")) {
        return new TupleOf(t.place(), List.of());
      }
      Expr e = expressions();
      expect(")");
      return e;
    }
    if (accept("[")) {
      return list(t.place());
    }
    if (accept("{")) {
      return dict(t.place());
    }
    throw wrong("a value");
  }

  private Expr list(Place place) {
    List<Expr> items = new ArrayList<>();
    while (!accept("]")) {
      items.add(expression());
      if (items.size() == 1 && is("for")) {
        Expr e = new Comprehension(place, items.get(0), null, clauses());
        expect("]");
        return e;
      }
      if (!is("]")) {
        expect(",");
      }
    }
    return new ListOf(place, items);
  }

  private Expr dict(Place place) {
    List<Expr> keys = new ArrayList<>();
    List<Expr> values = new ArrayList<>();
    while (!accept("}")) {
      keys.add(expression());
      expect(":");
      values.add(expression());
      if (keys.size() == 1 && is("for")) {
        Expr e = new Comprehension(place, keys.get(0), values.get(0), clauses());
        expect("}");
        return e;
      }
      if (!is("}")) {
        expect(",");
      }
    }
    return new DictOf(place, keys, values);
  }

  private List<Clause> clauses() {
    List<Clause> all = new ArrayList<>();
    while (true) {
      if (accept("for")) {
        Expr target = targets();
        expect("in");
        all.add(new Clause(target, binary(0)));
      } else if (accept("if")) {
        all.add(new Clause(null, binary(0)));
      } else {
        return all;
      }
    }
  }
}
