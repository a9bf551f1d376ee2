package hollyslip.cli;

import hollyslip.settings.Loader;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Checks settings and prints every fault. */
@Command(name = "check", mixinStandardHelpOptions = true, description = "Checks a settings script and prints every fault, one a line, with file, line and column.")
final class CheckCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "settings script")
  Path file;

  @Override
  public Integer call() {
    Loader.Loaded loaded = Loader.load(file);
    loaded.faults().forEach(System.out::println);
    if (!loaded.faults().isEmpty()) {
      System.out.println(loaded.faults().size() + " faults");
      return Main.EXIT_USAGE;
    }
    var d = loaded.deployment();
    System.out.println("no faults: " + d.nodes().size() + " nodes, " + d.volumes().size() + " volumes, " + d
        .plans()
        .size() + " plans, " + d.classes().size() + " request classes");
    return Main.EXIT_OK;
  }
}
