package hollyslip.settings;

import hollyslip.settings.ScriptError.Place;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Cuts a script into tokens. Source: the Starlark specification, "Lexical elements". */
final class Lexer {
  enum Kind {
    NAME, KEYWORD, INT, FLOAT, STRING, OP, NEWLINE, INDENT, DEDENT, END
  }

  record Token(Kind kind, String text, Object value, Place place) {}

  private static final Set<String> KEYWORDS = Set.of("and", "break", "continue", "def", "elif", "else", "for",
      "if", "in", "load", "not", "or", "pass", "return");
  /** Words that the specification reserves, and {@code lambda}, which this subset leaves out. */
  private static final Set<String> RESERVED = Set.of("lambda", "as", "assert", "class", "del", "except",
      "finally", "from", "global", "import", "is", "nonlocal", "raise", "try", "while", "with", "yield",
      "async", "await");
  private static final List<String> OPS = List.of("//=", "**", "//", "+=", "-=", "*=", "/=", "%=", "==", "!=",
      "<=", ">=", "+", "-", "*", "/", "%", "(", ")", "[", "]", "{", "}", ",", ":", ".", "=", "<", ">");

  /** Longest script, characters. */
  private static final int MOST = 1 << 20;

  private final String file, text;
  private final List<Token> tokens = new ArrayList<>();
  private final ArrayDeque<Integer> indents = new ArrayDeque<>(List.of(0));
  private int at, line = 1, lineStart, open;

  private Lexer(String file, String text) {
    this.file = file;
    this.text = text;
  }

  static List<Token> tokens(String file, String text) {
    Lexer l = new Lexer(file, text);
    if (text.length() > MOST) {
      throw new ScriptError(l.place(), "script longer than " + MOST + " characters");
    }
    l.run();
    return l.tokens;
  }

  private Place place() {
    return new Place(file, line, at - lineStart + 1);
  }

  private ScriptError error(String what) {
    return new ScriptError(place(), what);
  }

  private void run() {
    boolean lineBegins = true;
    while (true) {
      if (lineBegins && open == 0) {
        lineBegins = false;
        if (indent()) {
          lineBegins = true;
          continue;
        }
      }
      if (at >= text.length()) {
        break;
      }
      char c = text.charAt(at);
      if (c == '\n') {
        if (open == 0) {
          add(Kind.NEWLINE, "new line", null, place());
          lineBegins = true;
        }
        newLine();
      } else if (c == ' ' || c == '\t' || c == '\r') {
        at++;
      } else if (c == '\\' && at + 1 < text.length() && text.charAt(at + 1) == '\n') {
        at++;
        newLine();
      } else if (c == '#') {
        comment();
      } else {
        token(c);
      }
    }
    if (open > 0) {
      throw error("a bracket is not closed");
    }
    add(Kind.NEWLINE, "new line", null, place());
    while (indents.peek() > 0) {
      indents.pop();
      add(Kind.DEDENT, "end of block", null, place());
    }
    add(Kind.END, "end of file", null, place());
  }

  private void newLine() {
    at++;
    line++;
    lineStart = at;
  }

  private void comment() {
    while (at < text.length() && text.charAt(at) != '\n') {
      at++;
    }
  }

  /** Reads a line's indentation; true: the line holds nothing. */
  private boolean indent() {
    int width = 0;
    while (at < text.length() && (text.charAt(at) == ' ' || text.charAt(at) == '\t')) {
      if (text.charAt(at) == '\t') {
        throw error("a tab in the indentation; use spaces");
      }
      width++;
      at++;
    }
    if (at < text.length() && (text.charAt(at) == '\r' || text.charAt(at) == '#')) {
      while (at < text.length() && text.charAt(at) != '\n') {
        at++;
      }
    }
    if (at < text.length() && text.charAt(at) == '\n') {
      newLine();
      return true;
    }
    if (at >= text.length()) {
      return false;
    }
    if (width > indents.peek()) {
      indents.push(width);
      add(Kind.INDENT, "indentation", null, place());
    }
    while (width < indents.peek()) {
      indents.pop();
      add(Kind.DEDENT, "end of block", null, place());
    }
    if (width != indents.peek()) {
      throw error("indentation fits no block");
    }
    return false;
  }

  private void add(Kind kind, String word, Object value, Place place) {
    tokens.add(new Token(kind, word, value, place));
  }

  private void token(char c) {
    Place place = place();
    if (Character.isLetter(c) || c == '_') {
      int from = at;
      while (at < text.length() && (Character.isLetterOrDigit(text.charAt(at)) || text.charAt(at) == '_')) {
        at++;
      }
      String word = text.substring(from, at);
      if (RESERVED.contains(word)) {
        throw new ScriptError(place, "'" + word + "' is reserved or not part of this subset");
      }
      add(KEYWORDS.contains(word) ? Kind.KEYWORD : Kind.NAME, word, null, place);
    } else if (c >= '0' && c <= '9' || c == '.' && at + 1 < text.length() && Character.isDigit(text.charAt(at
        + 1))) {
      number(place);
    } else if (c == '"' || c == '\'') {
      add(Kind.STRING, "string", string(c), place);
    } else {
      operator(place);
    }
  }

  private void operator(Place place) {
    for (String op : OPS) {
      if (text.startsWith(op, at)) {
        if ("([{".contains(op)) {
          open++;
        } else if (")]}".contains(op)) {
          if (open == 0) {
            throw error("'" + op + "' closes nothing");
          }
          open--;
        }
        at += op.length();
        add(Kind.OP, op, null, place);
        return;
      }
    }
    throw error("character '" + text.charAt(at) + "' has no meaning here");
  }

  private void number(Place place) {
    int from = at;
    boolean hex = text.startsWith("0x", at) || text.startsWith("0X", at);
    boolean floating = false;
    if (hex) {
      at += 2;
    }
    while (at < text.length()) {
      char c = text.charAt(at);
      boolean exponent = !hex && (c == 'e' || c == 'E');
      boolean sign = (c == '+' || c == '-') && "eE".indexOf(text.charAt(at - 1)) >= 0 && !hex;
      if (!Character.isLetterOrDigit(c) && c != '.' && !sign) {
        break;
      }
      floating |= c == '.' || exponent;
      at++;
    }
    String word = text.substring(from, at);
    try {
      if (floating) {
        add(Kind.FLOAT, word, Double.parseDouble(word), place);
      } else {
        add(Kind.INT, word, hex ? Long.parseLong(word.substring(2), 16) : Long.parseLong(word), place);
      }
    } catch (NumberFormatException e) {
      throw new ScriptError(place, "'" + word + "' is not a number of 64 bits");
    }
  }

  private String string(char quote) {
    boolean triple = text.startsWith(String.valueOf(quote).repeat(3), at);
    at += triple ? 3 : 1;
    StringBuilder out = new StringBuilder();
    while (true) {
      if (at >= text.length() || !triple && text.charAt(at) == '\n') {
        throw error("a string is not closed");
      }
      char c = text.charAt(at);
      if (c == quote && (!triple || text.startsWith(String.valueOf(quote).repeat(3), at))) {
        at += triple ? 3 : 1;
        return out.toString();
      }
      if (c == '\\') {
        escape(out);
      } else {
        out.append(c);
        if (c == '\n') {
          newLine();
        } else {
          at++;
        }
      }
    }
  }

  private void escape(StringBuilder out) {
    char c = at + 1 < text.length() ? text.charAt(at + 1) : '\0';
    switch (c) {
      case 'n' -> out.append('\n');
      case 't' -> out.append('\t');
      case 'r' -> out.append('\r');
      case '\\', '\'', '"' -> out.append(c);
      case '\n' -> { line++; lineStart = at + 2; }
      default -> throw error("escape '\\" + c + "' is not known");
    }
    at += 2;
  }
}
