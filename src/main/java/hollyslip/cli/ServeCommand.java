package hollyslip.cli;

import ch.qos.logback.classic.Level;
import hollyslip.gateway.Gateway;
import hollyslip.settings.Deployment;
import hollyslip.settings.Loader;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sun.misc.Signal;

/** Runs a gateway until SIGTERM. */
@Command(name = "serve", mixinStandardHelpOptions = true, description = {"Runs a gateway.",
    "SIGTERM or SIGINT: takes nothing more, answers everything, ends with 0. SIGHUP: reads the settings again and takes on the node list, and the admin API's key and certificate; a file with faults changes nothing."})
final class ServeCommand implements Callable<Integer> {
  private static final Logger LOG = LoggerFactory.getLogger(ServeCommand.class);

  /** Printed on standard output when clients may come. */
  static final String READY = "ready";

  @Parameters(paramLabel = "FILE", description = "settings script")
  Path file;
  @Option(names = "--take-over", description = "start although nodes say that another gateway of this name lives: only when it is known to be gone")
  boolean takeOver;
  @Option(names = "--log", description = "json, text or auto (text at a terminal)", defaultValue = "auto")
  LogSetup.Form logForm;
  @Option(names = "--log-level", description = "error, warn, info or debug", defaultValue = "info")
  String logLevel;

  @Override
  public Integer call() throws Exception {
    LogSetup.configure(logForm, Level.toLevel(logLevel));
    Loader.Loaded loaded = Loader.load(file);
    if (!loaded.faults().isEmpty()) {
      loaded.faults().forEach(System.err::println);
      return Main.EXIT_USAGE;
    }
    CountDownLatch over = new CountDownLatch(1);
    Gateway gateway = new Gateway(loaded.deployment(), takeOver);
    Signal.handle(new Signal("TERM"), s -> over.countDown());
    Signal.handle(new Signal("INT"), s -> over.countDown());
    Signal.handle(new Signal("HUP"), s -> reload(gateway));
    gateway.onFault(over::countDown);
    System.out.println(READY);
    System.out.flush();
    over.await();
    boolean clean = gateway.close();
    LOG.atInfo().addKeyValue("totals", gateway.lanes().totals()).log("gateway.stopped");
    return clean && !gateway.superseded().isDone() ? Main.EXIT_OK : Main.EXIT_FAILURE;
  }

  /** One at a time: each signal has a thread of its own, and what an older one had read of a file could be
   * taken on after a newer one's, and stay. */
  private synchronized void reload(Gateway gateway) {
    if (gateway.admin() != null) {
      gateway.admin().reloadKeys();
    }
    Loader.Loaded next = Loader.load(file);
    if (next.faults().isEmpty()) {
      Deployment d = next.deployment();
      gateway.nodes(d);
    } else {
      next.faults().forEach(f -> LOG.atError().addKeyValue("fault", f.toString()).log("settings.refused"));
    }
  }
}
