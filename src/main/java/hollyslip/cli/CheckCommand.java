package hollyslip.cli;

import hollyslip.settings.Loader;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Checks settings and prints every fault. */
@Command(name = "check", mixinStandardHelpOptions = true, description = "Checks a settings script and prints every fault, one per line, with file, line and column.")
final class CheckCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "settings script")
  Path file;

  @Override
  public Integer call() {
    Loader.LoadResult loaded = Loader.load(file);
    loaded.faults().forEach(System.out::println);
    if (!loaded.faults().isEmpty()) {
      System.out.println(loaded.faults().size() + " faults");
      return Main.EXIT_INVALID_INPUT;
    }
    var deployment = loaded.deployment();
    System.out.println("no faults: " + deployment.nodes().size() + " nodes, " + deployment.volumes().size()
        + " volumes, " + deployment.plans().size() + " plans, " + deployment.classes().size()
        + " request classes");
    return Main.EXIT_OK;
  }
}
