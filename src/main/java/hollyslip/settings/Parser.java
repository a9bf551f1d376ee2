package hollyslip.settings;

import hollyslip.settings.Ast.*;
import hollyslip.settings.Lexer.Kind;
import hollyslip.settings.Lexer.Token;
import hollyslip.settings.ScriptError.Location;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Reads tokens into statements. Source: the Starlark specification, "Grammar reference". */
final class Parser {
  /** Deepest nesting, so that no script can exhaust the stack. */
  private static final int MAX_DEPTH = 100;

  private static final List<Set<String>> PRECEDENCE = List.of(Set.of("or"), Set.of("and"), Set.of("not"), Set
      .of(
          "==", "!=", "<", ">", "<=", ">=", "in", "not in"), Set.of("+", "-"), Set.of("*", "/", "//", "%"));
  private static final int NOT_LEVEL = 2, COMPARISON_LEVEL = 3;

  private final List<Token> tokens;
  private int position;
  private int depth;

  private Parser(List<Token> tokens) {
    this.tokens = tokens;
  }

  static List<Statement> parse(String file, String text) {
    Parser p = new Parser(Lexer.tokens(file, text));
    List<Statement> all = new ArrayList<>();
    while (p.peek().kind() != Kind.END) {
      if (!p.accept(Kind.NEWLINE)) {
        p.parseStatement(all);
      }
    }
    return all;
  }

  private Token peek() {
    return tokens.get(position);
  }

  private Token next() {
    return tokens.get(position++);
  }

  private boolean accept(Kind kind) {
    if (peek().kind() == kind) {
      position++;
      return true;
    }
    return false;
  }

  private boolean nextIs(String word) {
    Token t = peek();
    return (t.kind() == Kind.OP || t.kind() == Kind.KEYWORD) && t.text().equals(word);
  }

  private boolean accept(String word) {
    if (nextIs(word)) {
      position++;
      return true;
    }
    return false;
  }

  private ScriptError unexpected(String expected) {
    return new ScriptError(peek().location(), "expected " + expected + ", found " + peek().text());
  }

  private void expect(String word) {
    if (!accept(word)) {
      throw unexpected("'" + word + "'");
    }
  }

  private String expectName() {
    if (peek().kind() != Kind.NAME) {
      throw unexpected("a name");
    }
    return next().text();
  }

  private String expectString() {
    if (peek().kind() != Kind.STRING) {
      throw unexpected("a string");
    }
    return (String) next().value();
  }

  private void enterNesting() {
    if (++depth > MAX_DEPTH) {
      throw new ScriptError(peek().location(), "nested deeper than " + MAX_DEPTH);
    }
  }

  // Statements.

  private void parseStatement(List<Statement> to) {
    enterNesting();
    Location location = peek().location();
    if (accept("def")) {
      to.add(parseDef(location));
    } else if (accept("if")) {
      to.add(parseIf(location));
    } else if (accept("for")) {
      Expression target = parseLoopTarget();
      expect("in");
      Expression source = parseExpressions();
      to.add(new ForStatement(location, target, source, parseBlock()));
    } else {
      to.add(parseSimpleStatement());
      if (!accept(Kind.NEWLINE)) {
        throw unexpected("the end of the line");
      }
    }
    depth--;
  }

  private List<Statement> parseBlock() {
    expect(":");
    List<Statement> body = new ArrayList<>();
    if (!accept(Kind.NEWLINE)) {
      body.add(parseSimpleStatement());
      if (!accept(Kind.NEWLINE)) {
        throw unexpected("the end of the line");
      }
      return body;
    }
    if (!accept(Kind.INDENT)) {
      throw unexpected("an indented block");
    }
    while (!accept(Kind.DEDENT)) {
      if (!accept(Kind.NEWLINE)) {
        parseStatement(body);
      }
    }
    return body;
  }

  private Statement parseDef(Location location) {
    String name = expectName();
    expect("(");
    List<Parameter> parameters = new ArrayList<>();
    while (!accept(")")) {
      String parameter = expectName();
      if (parameters.stream().anyMatch(p -> p.name().equals(parameter))) {
        throw new ScriptError(location, "parameter " + parameter + " stands twice");
      }
      parameters.add(new Parameter(parameter, accept("=") ? parseExpression() : null));
      if (!nextIs(")")) {
        expect(",");
      }
    }
    return new FunctionDefinition(location, name, parameters, parseBlock());
  }

  private Statement parseIf(Location location) {
    Expression test = parseExpression();
    List<Statement> then = parseBlock();
    List<Statement> otherwise = List.of();
    Location at2 = peek().location();
    if (accept("elif")) {
      enterNesting();
      otherwise = List.of(parseIf(at2));
      depth--;
    } else if (accept("else")) {
      otherwise = parseBlock();
    }
    return new IfStatement(location, test, then, otherwise);
  }

  private Statement parseSimpleStatement() {
    Location location = peek().location();
    for (String jump : List.of("break", "continue", "pass")) {
      if (accept(jump)) {
        return new JumpStatement(location, jump);
      }
    }
    if (accept("return")) {
      return new ReturnStatement(location, peek().kind() == Kind.NEWLINE ? null : parseExpressions());
    }
    if (accept("load")) {
      return parseLoad(location);
    }
    Expression left = parseExpressions();
    for (String op : List.of("=", "+=", "-=", "*=", "/=", "//=", "%=")) {
      Location opAt = peek().location();
      if (accept(op)) {
        checkTarget(left, op.equals("="));
        return new Assignment(opAt, left, op.substring(0, op.length() - 1), parseExpressions());
      }
    }
    return new ExpressionStatement(location, left);
  }

  private Statement parseLoad(Location location) {
    expect("(");
    String file = expectString();
    List<String> names = new ArrayList<>();
    List<String> as = new ArrayList<>();
    while (accept(",") && !nextIs(")")) {
      if (peek().kind() == Kind.NAME) {
        as.add(expectName());
        expect("=");
        names.add(expectString());
      } else {
        names.add(expectString());
        as.add(names.get(names.size() - 1));
      }
    }
    expect(")");
    return new LoadStatement(location, file, names, as);
  }

  private void checkTarget(Expression e, boolean many) {
    if (e instanceof TupleExpression t && many) {
      t.items().forEach(i -> checkTarget(i, true));
    } else if (e instanceof ListExpression l && many) {
      l.items().forEach(i -> checkTarget(i, true));
    } else if (!(e instanceof Identifier) && !(e instanceof IndexExpression)) {
      throw new ScriptError(e.location(), "this cannot be assigned to");
    }
  }

  /** Targets of a {@code for}: names, also in tuples; no operators, since {@code in} follows. */
  private Expression parseLoopTarget() {
    Location location = peek().location();
    List<Expression> items = new ArrayList<>();
    do {
      if (accept("(")) {
        items.add(parseLoopTarget());
        expect(")");
      } else {
        Location p = peek().location();
        items.add(new Identifier(p, expectName()));
      }
    } while (accept(",") && !nextIs("in"));
    return items.size() == 1 ? items.get(0) : new TupleExpression(location, items);
  }

  // Expressions.

  private Expression parseExpressions() {
    Location location = peek().location();
    Expression first = parseExpression();
    if (!nextIs(",")) {
      return first;
    }
    List<Expression> items = new ArrayList<>(List.of(first));
    while (accept(",") && peek().kind() != Kind.NEWLINE && !nextIs(")") && !nextIs("=") && !nextIs(":")) {
      items.add(parseExpression());
    }
    return new TupleExpression(location, items);
  }

  private Expression parseExpression() {
    enterNesting();
    Expression then = parseBinary(0);
    Location location = peek().location();
    if (accept("if")) {
      Expression condition = parseBinary(0);
      expect("else");
      then = new ConditionalExpression(location, then, condition, parseExpression());
    }
    depth--;
    return then;
  }

  private Expression parseBinary(int level) {
    if (level == PRECEDENCE.size()) {
      return parseUnary();
    }
    if (level == NOT_LEVEL) {
      Location location = peek().location();
      if (accept("not")) {
        enterNesting();
        Expression of = parseBinary(NOT_LEVEL);
        depth--;
        return new UnaryExpression(location, "not", of);
      }
      return parseBinary(level + 1);
    }
    Expression left = parseBinary(level + 1);
    while (true) {
      Location location = peek().location();
      String op = acceptOperator(level);
      if (op == null) {
        return left;
      }
      left = new BinaryExpression(location, op, left, parseBinary(level + 1));
      if (level == COMPARISON_LEVEL && nextIsOperator(level)) {
        throw unexpected("one comparison; they do not chain");
      }
    }
  }

  private boolean nextIsOperator(int level) {
    return PRECEDENCE.get(level).stream().anyMatch(this::nextIs);
  }

  private String acceptOperator(int level) {
    if (level == COMPARISON_LEVEL && nextIs("not")) {
      Token after = tokens.get(position + 1);
      if (after.kind() == Kind.KEYWORD && after.text().equals("in")) {
        position += 2;
        return "not in";
      }
      return null;
    }
    for (String op : PRECEDENCE.get(level)) {
      if (accept(op)) {
        return op;
      }
    }
    return null;
  }

  private Expression parseUnary() {
    Location location = peek().location();
    for (String op : List.of("-", "+")) {
      if (accept(op)) {
        enterNesting();
        Expression of = parseUnary();
        depth--;
        return new UnaryExpression(location, op, of);
      }
    }
    return parseSuffixed();
  }

  private Expression parseSuffixed() {
    Expression e = parseOperand();
    while (true) {
      Location location = peek().location();
      if (accept(".")) {
        e = new DotExpression(location, e, expectName());
      } else if (accept("(")) {
        e = new CallExpression(location, e, parseArguments());
      } else if (accept("[")) {
        e = parseSubscript(location, e);
      } else {
        return e;
      }
    }
  }

  private Expression parseSubscript(Location location, Expression of) {
    Expression from = nextIs(":") ? null : parseExpression();
    Expression result;
    if (accept(":")) {
      result = new SliceExpression(location, of, from, nextIs("]") ? null : parseExpression());
    } else {
      result = new IndexExpression(location, of, from);
    }
    expect("]");
    return result;
  }

  private List<Argument> parseArguments() {
    List<Argument> all = new ArrayList<>();
    while (!accept(")")) {
      boolean named = peek().kind() == Kind.NAME && tokens.get(position + 1).kind() == Kind.OP && tokens.get(
          position + 1)
          .text()
          .equals("=");
      if (named) {
        String name = expectName();
        next();
        all.add(new Argument(name, parseExpression()));
      } else {
        if (!all.isEmpty() && all.get(all.size() - 1).name() != null) {
          throw unexpected("a named argument after a named one");
        }
        all.add(new Argument(null, parseExpression()));
      }
      if (!nextIs(")")) {
        expect(",");
      }
    }
    return all;
  }

  private Expression parseOperand() {
    Token t = peek();
    switch (t.kind()) {
      case INT, FLOAT -> { position++; return new Literal(t.location(), t.value()); }
      case STRING -> {
        StringBuilder s = new StringBuilder();
        while (peek().kind() == Kind.STRING) {
          s.append(next().value());
        }
        return new Literal(t.location(), s.toString());
      }
      case NAME -> {
        position++;
        return switch (t.text()) {
          case "True" -> new Literal(t.location(), true);
          case "False" -> new Literal(t.location(), false);
          case "None" -> new Literal(t.location(), null);
          default -> new Identifier(t.location(), t.text());
        };
      }
      default -> {}
    }
    if (accept("(")) {
      if (accept(")")) {
        return new TupleExpression(t.location(), List.of());
      }
      Expression e = parseExpressions();
      expect(")");
      return e;
    }
    if (accept("[")) {
      return parseList(t.location());
    }
    if (accept("{")) {
      return parseDict(t.location());
    }
    throw unexpected("a value");
  }

  private Expression parseList(Location location) {
    List<Expression> items = new ArrayList<>();
    while (!accept("]")) {
      items.add(parseExpression());
      if (items.size() == 1 && nextIs("for")) {
        Expression e = new Comprehension(location, items.get(0), null, parseClauses());
        expect("]");
        return e;
      }
      if (!nextIs("]")) {
        expect(",");
      }
    }
    return new ListExpression(location, items);
  }

  private Expression parseDict(Location location) {
    List<Expression> keys = new ArrayList<>();
    List<Expression> values = new ArrayList<>();
    while (!accept("}")) {
      keys.add(parseExpression());
      expect(":");
      values.add(parseExpression());
      if (keys.size() == 1 && nextIs("for")) {
        Expression e = new Comprehension(location, keys.get(0), values.get(0), parseClauses());
        expect("}");
        return e;
      }
      if (!nextIs("}")) {
        expect(",");
      }
    }
    return new DictExpression(location, keys, values);
  }

  private List<Clause> parseClauses() {
    List<Clause> all = new ArrayList<>();
    while (true) {
      if (accept("for")) {
        Expression target = parseLoopTarget();
        expect("in");
        all.add(new Clause(target, parseBinary(0)));
      } else if (accept("if")) {
        all.add(new Clause(null, parseBinary(0)));
      } else {
        return all;
      }
    }
  }
}
