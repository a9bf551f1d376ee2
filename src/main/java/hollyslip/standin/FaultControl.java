package hollyslip.standin;

import java.io.IOException;
import java.util.Locale;

/** Words that make a disk server misbehave: by script, by standard input or by a control port. */
public final class FaultControl {
  /** What {@link #apply} understands, a line each. */
  public static final String HELP = """
      silent | drain | full | clear | kill | restart
      stall MS | slow FACTOR | late-write MS | half-reply BYTES
      lose PART | errors PART | resets PART | malice KIND""";

  private FaultControl() {}

  /** Carries out one line.
   *
   * @throws IllegalArgumentException
   *           the line is not understood; says why */
  public static void apply(DiskServer server, String line) throws IOException {
    String[] words = line.strip().split("\\s+");
    Faults f = server.faults;
    switch (words[0]) {
      case "silent" -> f.silent = true;
      case "drain" -> f.draining = true;
      case "full" -> f.full = true;
      case "clear" -> { f.clear(); server.slow(1); }
      case "kill" -> server.kill();
      case "restart" -> server.restart();
      case "stall" -> server.stall((long) (number(words) * 1_000));
      case "slow" -> server.slow(number(words));
      case "late-write" -> f.lateWriteUs = (long) (number(words) * 1_000);
      case "half-reply" -> f.truncatedReplyBytes = (int) number(words);
      case "lose" -> f.loseAnswers = number(words);
      case "errors" -> f.errors = number(words);
      case "resets" -> f.resetRate = number(words);
      case "malice" -> f.protocolViolation = Faults.ProtocolViolation.valueOf(words.length > 1
          ? words[1].toUpperCase(Locale.ROOT).replace('-', '_')
          : "NONE");
      default -> throw new IllegalArgumentException("'" + words[0] + "' is not known; known are:\n" + HELP);
    }
  }

  private static double number(String[] words) {
    if (words.length != 2) {
      throw new IllegalArgumentException(words[0] + ": takes one number");
    }
    double n = Double.parseDouble(words[1]);
    if (!(n >= 0)) {
      throw new IllegalArgumentException(words[0] + ": must be at least 0, not " + words[1]);
    }
    return n;
  }
}
