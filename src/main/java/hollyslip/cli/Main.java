package hollyslip.cli;

import hollyslip.WireHost;
import java.io.IOException;

/** Entry of the jar. {@code wirehost} is started often and by many, so it loads nothing else. */
public final class Main {
  private Main() {}

  public static void main(String[] args) throws IOException {
    if (args.length > 0 && args[0].equals("wirehost")) {
      WireHost.main(args);
      return;
    }
    System.err.println("usage: java -jar hollyslip.jar wirehost");
    System.exit(2);
  }
}
