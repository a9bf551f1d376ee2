package hollyslip.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** Ring, gateway, node against the node alone and the ring alone. */
@Command(name = "ring", mixinStandardHelpOptions = true, description = "Reads of 4 KiB: ring to gateway to stand-in, against the stand-in alone and the ring alone.")
final class BenchRing implements Callable<Integer> {
  @Override
  public Integer call() {
    return Main.DONE;
  }
}
