package hollyslip.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** Measurements. */
@Command(name = "bench", mixinStandardHelpOptions = true, description = "Measurements on this machine.", subcommands = {
    BenchRing.class, BenchTenants.class})
final class BenchCommand implements Callable<Integer> {
  @Override
  public Integer call() {
    picocli.CommandLine.usage(this, System.err);
    return Main.WRONG;
  }
}
