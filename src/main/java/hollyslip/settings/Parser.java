package hollyslip.settings;

import hollyslip.settings.Ast.*;
import hollyslip.settings.Lexer.Kind;
import hollyslip.settings.Lexer.Token;
import hollyslip.settings.ScriptError.Location;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Recursive-descent parser of scripts. Source: the Starlark specification, "Grammar reference". */
final class Parser {
  /** Maximum nesting depth, so that no script can overflow the stack. */
  private static final int MAX_DEPTH = 100;

  private static final List<Set<String>> PRECEDENCE = List.of(Set.of("or"), Set.of("and"), Set.of("not"),
      Set.of("==", "!=", "<", ">", "<=", ">=", "in", "not in"), Set.of("+", "-"),
      Set.of("*", "/", "//", "%"));
  private static final int NOT_LEVEL = 2, COMPARISON_LEVEL = 3;

  private final List<Token> tokens;
  private int position;
  private int depth;

  private Parser(List<Token> tokens) {
    this.tokens = tokens;
  }

  static List<Statement> parse(String file, String text) {
    Parser parser = new Parser(Lexer.tokens(file, text));
    List<Statement> statements = new ArrayList<>();
    while (parser.peek().kind() != Kind.END) {
      if (!parser.accept(Kind.NEWLINE)) {
        parser.parseStatement(statements);
      }
    }
    return statements;
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
      throw new ScriptError(peek().location(), "nesting is deeper than " + MAX_DEPTH);
    }
  }

  // Statements.

  private void parseStatement(List<Statement> statements) {
    enterNesting();
    Location location = peek().location();
    if (accept("def")) {
      statements.add(parseDef(location));
    } else if (accept("if")) {
      statements.add(parseIf(location));
    } else if (accept("for")) {
      Expression target = parseLoopTarget();
      expect("in");
      Expression source = parseExpressions();
      statements.add(new ForStatement(location, target, source, parseBlock()));
    } else {
      statements.add(parseSimpleStatement());
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
        throw new ScriptError(location, "parameter " + parameter + " is declared twice");
      }
      parameters.add(new Parameter(parameter, accept("=") ? parseExpression() : null));
      if (!nextIs(")")) {
        expect(",");
      }
    }
    return new FunctionDefinition(location, name, parameters, parseBlock());
  }

  private Statement parseIf(Location location) {
    Expression condition = parseExpression();
    List<Statement> then = parseBlock();
    List<Statement> otherwise = List.of();
    Location elseLocation = peek().location();
    if (accept("elif")) {
      enterNesting();
      otherwise = List.of(parseIf(elseLocation));
      depth--;
    } else if (accept("else")) {
      otherwise = parseBlock();
    }
    return new IfStatement(location, condition, then, otherwise);
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
      Location opLocation = peek().location();
      if (accept(op)) {
        checkTarget(left, op.equals("="));
        return new Assignment(opLocation, left, op.substring(0, op.length() - 1), parseExpressions());
      }
    }
    return new ExpressionStatement(location, left);
  }

  private Statement parseLoad(Location location) {
    expect("(");
    String file = expectString();
    List<String> names = new ArrayList<>();
    List<String> localNames = new ArrayList<>();
    while (accept(",") && !nextIs(")")) {
      if (peek().kind() == Kind.NAME) {
        localNames.add(expectName());
        expect("=");
        names.add(expectString());
      } else {
        names.add(expectString());
        localNames.add(names.get(names.size() - 1));
      }
    }
    expect(")");
    return new LoadStatement(location, file, names, localNames);
  }

  private void checkTarget(Expression target, boolean allowSequence) {
    if (target instanceof TupleExpression tuple && allowSequence) {
      tuple.items().forEach(element -> checkTarget(element, true));
    } else if (target instanceof ListExpression list && allowSequence) {
      list.items().forEach(element -> checkTarget(element, true));
    } else if (!(target instanceof Identifier) && !(target instanceof IndexExpression)) {
      throw new ScriptError(target.location(), "cannot assign to this expression");
    }
  }

  /** Parses the target of a {@code for}: names and tuples of names. It has no operators, since {@code in}
   * follows. */
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
    Expression result = parseBinary(0);
    Location location = peek().location();
    if (accept("if")) {
      Expression condition = parseBinary(0);
      expect("else");
      result = new ConditionalExpression(location, result, condition, parseExpression());
    }
    depth--;
    return result;
  }

  private Expression parseBinary(int level) {
    if (level == PRECEDENCE.size()) {
      return parseUnary();
    }
    if (level == NOT_LEVEL) {
      Location location = peek().location();
      if (accept("not")) {
        enterNesting();
        Expression operand = parseBinary(NOT_LEVEL);
        depth--;
        return new UnaryExpression(location, "not", operand);
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
        throw unexpected("a single comparison; comparisons do not chain");
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
        Expression operand = parseUnary();
        depth--;
        return new UnaryExpression(location, op, operand);
      }
    }
    return parseSuffixed();
  }

  private Expression parseSuffixed() {
    Expression expression = parseOperand();
    while (true) {
      Location location = peek().location();
      if (accept(".")) {
        expression = new DotExpression(location, expression, expectName());
      } else if (accept("(")) {
        expression = new CallExpression(location, expression, parseArguments());
      } else if (accept("[")) {
        expression = parseSubscript(location, expression);
      } else {
        return expression;
      }
    }
  }

  private Expression parseSubscript(Location location, Expression object) {
    Expression start = nextIs(":") ? null : parseExpression();
    Expression result;
    if (accept(":")) {
      result = new SliceExpression(location, object, start, nextIs("]") ? null : parseExpression());
    } else {
      result = new IndexExpression(location, object, start);
    }
    expect("]");
    return result;
  }

  private List<Argument> parseArguments() {
    List<Argument> arguments = new ArrayList<>();
    while (!accept(")")) {
      boolean named = peek().kind() == Kind.NAME && tokens.get(position + 1).kind() == Kind.OP
          && tokens.get(position + 1).text().equals("=");
      if (named) {
        String name = expectName();
        next();
        arguments.add(new Argument(name, parseExpression()));
      } else {
        if (!arguments.isEmpty() && arguments.get(arguments.size() - 1).name() != null) {
          throw unexpected("a named argument after another named argument");
        }
        arguments.add(new Argument(null, parseExpression()));
      }
      if (!nextIs(")")) {
        expect(",");
      }
    }
    return arguments;
  }

  private Expression parseOperand() {
    Token token = peek();
    switch (token.kind()) {
      case INT, FLOAT -> { position++; return new Literal(token.location(), token.value()); }
      case STRING -> {
        StringBuilder text = new StringBuilder();
        while (peek().kind() == Kind.STRING) {
          text.append(next().value());
        }
        return new Literal(token.location(), text.toString());
      }
      case NAME -> {
        position++;
        return switch (token.text()) {
          case "True" -> new Literal(token.location(), true);
          case "False" -> new Literal(token.location(), false);
          case "None" -> new Literal(token.location(), null);
          default -> new Identifier(token.location(), token.text());
        };
      }
      default -> {}
    }
    if (accept("(")) {
      if (accept(")")) {
        return new TupleExpression(token.location(), List.of());
      }
      Expression expression = parseExpressions();
      expect(")");
      return expression;
    }
    if (accept("[")) {
      return parseList(token.location());
    }
    if (accept("{")) {
      return parseDict(token.location());
    }
    throw unexpected("a value");
  }

  private Expression parseList(Location location) {
    List<Expression> items = new ArrayList<>();
    while (!accept("]")) {
      items.add(parseExpression());
      if (items.size() == 1 && nextIs("for")) {
        Expression comprehension = new Comprehension(location, items.get(0), null, parseClauses());
        expect("]");
        return comprehension;
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
        Expression comprehension = new Comprehension(location, keys.get(0), values.get(0), parseClauses());
        expect("}");
        return comprehension;
      }
      if (!nextIs("}")) {
        expect(",");
      }
    }
    return new DictExpression(location, keys, values);
  }

  private List<Clause> parseClauses() {
    List<Clause> clauses = new ArrayList<>();
    while (true) {
      if (accept("for")) {
        Expression target = parseLoopTarget();
        expect("in");
        clauses.add(new Clause(target, parseBinary(0)));
      } else if (accept("if")) {
        clauses.add(new Clause(null, parseBinary(0)));
      } else {
        return clauses;
      }
    }
  }
}
