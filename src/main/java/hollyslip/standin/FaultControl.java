package hollyslip.standin;

import java.io.IOException;
import java.util.Locale;

/** Parses and applies the control commands that inject faults into a disk server. */
public final class FaultControl {
  /** The commands that {@link #apply} accepts. */
  public static final String HELP = """
      silent | drain | full | clear | kill | restart
      stall MS | slow FACTOR | late-write MS | half-reply BYTES
      lose PART | errors PART | resets PART | malice KIND""";

  private FaultControl() {}

  /** Applies one command line.
   *
   * @throws IllegalArgumentException
   *           if the command is invalid */
  public static void apply(StandInDiskServer server, String line) throws IOException {
    String[] words = line.strip().split("\\s+");
    Faults faults = server.faults;
    switch (words[0]) {
      case "silent" -> faults.silent = true;
      case "drain" -> faults.draining = true;
      case "full" -> faults.full = true;
      case "clear" -> { faults.clear(); server.slow(1); }
      case "kill" -> server.kill();
      case "restart" -> server.restart();
      case "stall" -> server.stall((long) (number(words) * 1_000));
      case "slow" -> server.slow(number(words));
      case "late-write" -> faults.writeDelayUs = (long) (number(words) * 1_000);
      case "half-reply" -> faults.truncatedReplyBytes = (int) number(words);
      case "lose" -> faults.lostResponseRate = number(words);
      case "errors" -> faults.errorRate = number(words);
      case "resets" -> faults.resetRate = number(words);
      case "malice" -> faults.protocolViolation = Faults.ProtocolViolation.valueOf(words.length > 1
          ? words[1].toUpperCase(Locale.ROOT).replace('-', '_')
          : "NONE");
      default -> throw new IllegalArgumentException("'" + words[0] + "' is not a command; known commands:\n"
          + HELP);
    }
  }

  private static double number(String[] words) {
    if (words.length != 2) {
      throw new IllegalArgumentException(words[0] + ": expects one number");
    }
    double value = Double.parseDouble(words[1]);
    if (!(value >= 0)) {
      throw new IllegalArgumentException(words[0] + ": must be at least 0, not " + words[1]);
    }
    return value;
  }
}
