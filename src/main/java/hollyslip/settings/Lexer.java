package hollyslip.settings;

import hollyslip.settings.ScriptError.Location;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Splits a script into tokens. Source: the Starlark specification, "Lexical elements". */
final class Lexer {
  enum Kind {
    NAME, KEYWORD, INT, FLOAT, STRING, OP, NEWLINE, INDENT, DEDENT, END
  }

  record Token(Kind kind, String text, Object value, Location location) {}

  private static final Set<String> KEYWORDS = Set.of("and", "break", "continue", "def", "elif", "else", "for",
      "if", "in", "load", "not", "or", "pass", "return");
  /** Words that the specification reserves, and {@code lambda}, which is not supported. */
  private static final Set<String> RESERVED = Set.of("lambda", "as", "assert", "class", "del", "except",
      "finally", "from", "global", "import", "is", "nonlocal", "raise", "try", "while", "with", "yield",
      "async", "await");
  private static final List<String> OPERATORS = List.of("//=", "**", "//", "+=", "-=", "*=", "/=", "%=", "==",
      "!=", "<=", ">=", "+", "-", "*", "/", "%", "(", ")", "[", "]", "{", "}", ",", ":", ".", "=", "<", ">");

  /** Maximum length of a script, in characters. */
  private static final int MAX_LENGTH = 1 << 20;

  private final String file, text;
  private final List<Token> tokens = new ArrayList<>();
  private final ArrayDeque<Integer> indentation = new ArrayDeque<>(List.of(0));
  private int position, line = 1, lineStart, openBrackets;

  private Lexer(String file, String text) {
    this.file = file;
    this.text = text;
  }

  static List<Token> tokens(String file, String text) {
    Lexer lexer = new Lexer(file, text);
    if (text.length() > MAX_LENGTH) {
      throw new ScriptError(lexer.location(), "script is longer than " + MAX_LENGTH + " characters");
    }
    lexer.scan();
    return lexer.tokens;
  }

  private Location location() {
    return new Location(file, line, position - lineStart + 1);
  }

  private ScriptError error(String message) {
    return new ScriptError(location(), message);
  }

  private void scan() {
    boolean atLineStart = true;
    while (true) {
      if (atLineStart && openBrackets == 0) {
        atLineStart = false;
        if (scanIndentation()) {
          atLineStart = true;
          continue;
        }
      }
      if (position >= text.length()) {
        break;
      }
      char c = text.charAt(position);
      if (c == '\n') {
        if (openBrackets == 0) {
          add(Kind.NEWLINE, "new line", null, location());
          atLineStart = true;
        }
        advanceLine();
      } else if (c == ' ' || c == '\t' || c == '\r') {
        position++;
      } else if (c == '\\' && position + 1 < text.length() && text.charAt(position + 1) == '\n') {
        position++;
        advanceLine();
      } else if (c == '#') {
        skipComment();
      } else {
        scanToken(c);
      }
    }
    if (openBrackets > 0) {
      throw error("unclosed bracket");
    }
    add(Kind.NEWLINE, "new line", null, location());
    while (indentation.peek() > 0) {
      indentation.pop();
      add(Kind.DEDENT, "end of block", null, location());
    }
    add(Kind.END, "end of file", null, location());
  }

  private void advanceLine() {
    position++;
    line++;
    lineStart = position;
  }

  private void skipComment() {
    while (position < text.length() && text.charAt(position) != '\n') {
      position++;
    }
  }

  /** Reads the indentation of a line; returns true if the line is empty. */
  private boolean scanIndentation() {
    int width = 0;
    while (position < text.length() && (text.charAt(position) == ' ' || text.charAt(position) == '\t')) {
      if (text.charAt(position) == '\t') {
        throw error("tab in the indentation; use spaces");
      }
      width++;
      position++;
    }
    if (position < text.length() && (text.charAt(position) == '\r' || text.charAt(position) == '#')) {
      while (position < text.length() && text.charAt(position) != '\n') {
        position++;
      }
    }
    if (position < text.length() && text.charAt(position) == '\n') {
      advanceLine();
      return true;
    }
    if (position >= text.length()) {
      return false;
    }
    if (width > indentation.peek()) {
      indentation.push(width);
      add(Kind.INDENT, "indentation", null, location());
    }
    while (width < indentation.peek()) {
      indentation.pop();
      add(Kind.DEDENT, "end of block", null, location());
    }
    if (width != indentation.peek()) {
      throw error("indentation does not match any outer block");
    }
    return false;
  }

  private void add(Kind kind, String text, Object value, Location location) {
    tokens.add(new Token(kind, text, value, location));
  }

  private void scanToken(char c) {
    Location location = location();
    if (Character.isLetter(c) || c == '_') {
      int start = position;
      while (position < text.length() && (Character.isLetterOrDigit(text.charAt(position))
          || text.charAt(position) == '_')) {
        position++;
      }
      String word = text.substring(start, position);
      if (RESERVED.contains(word)) {
        throw new ScriptError(location, "'" + word + "' is reserved or not supported");
      }
      add(KEYWORDS.contains(word) ? Kind.KEYWORD : Kind.NAME, word, null, location);
    } else if (c >= '0' && c <= '9' || c == '.' && position + 1 < text.length() && Character.isDigit(text
        .charAt(position
            + 1))) {
      scanNumber(location);
    } else if (c == '"' || c == '\'') {
      add(Kind.STRING, "string", scanString(c), location);
    } else {
      scanOperator(location);
    }
  }

  private void scanOperator(Location location) {
    for (String op : OPERATORS) {
      if (text.startsWith(op, position)) {
        if ("([{".contains(op)) {
          openBrackets++;
        } else if (")]}".contains(op)) {
          if (openBrackets == 0) {
            throw error("'" + op + "' has no matching opening bracket");
          }
          openBrackets--;
        }
        position += op.length();
        add(Kind.OP, op, null, location);
        return;
      }
    }
    throw error("unexpected character '" + text.charAt(position) + "'");
  }

  private void scanNumber(Location location) {
    int start = position;
    boolean hex = text.startsWith("0x", position) || text.startsWith("0X", position);
    boolean floating = false;
    if (hex) {
      position += 2;
    }
    while (position < text.length()) {
      char c = text.charAt(position);
      boolean exponent = !hex && (c == 'e' || c == 'E');
      boolean sign = (c == '+' || c == '-') && "eE".indexOf(text.charAt(position - 1)) >= 0 && !hex;
      if (!Character.isLetterOrDigit(c) && c != '.' && !sign) {
        break;
      }
      floating |= c == '.' || exponent;
      position++;
    }
    String word = text.substring(start, position);
    try {
      if (floating) {
        add(Kind.FLOAT, word, Double.parseDouble(word), location);
      } else {
        add(Kind.INT, word, hex ? Long.parseLong(word.substring(2), 16) : Long.parseLong(word), location);
      }
    } catch (NumberFormatException e) {
      throw new ScriptError(location, "'" + word + "' is not a 64-bit number");
    }
  }

  private String scanString(char quote) {
    boolean triple = text.startsWith(String.valueOf(quote).repeat(3), position);
    position += triple ? 3 : 1;
    StringBuilder out = new StringBuilder();
    while (true) {
      if (position >= text.length() || !triple && text.charAt(position) == '\n') {
        throw error("unterminated string");
      }
      char c = text.charAt(position);
      if (c == quote && (!triple || text.startsWith(String.valueOf(quote).repeat(3), position))) {
        position += triple ? 3 : 1;
        return out.toString();
      }
      if (c == '\\') {
        scanEscape(out);
      } else {
        out.append(c);
        if (c == '\n') {
          advanceLine();
        } else {
          position++;
        }
      }
    }
  }

  private void scanEscape(StringBuilder out) {
    char c = position + 1 < text.length() ? text.charAt(position + 1) : '\0';
    switch (c) {
      case 'n' -> out.append('\n');
      case 't' -> out.append('\t');
      case 'r' -> out.append('\r');
      case '\\', '\'', '"' -> out.append(c);
      case '\n' -> { line++; lineStart = position + 2; }
      default -> throw error("escape '\\" + c + "' is not supported");
    }
    position += 2;
  }
}
