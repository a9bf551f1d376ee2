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
    "SIGTERM or SIGINT: accepts no more requests, answers those it has, and exits with 0. SIGHUP: reloads the node list from the settings, and the key and certificate of the admin API; a file with faults changes nothing."})
final class ServeCommand implements Callable<Integer> {
  private static final Logger LOG = LoggerFactory.getLogger(ServeCommand.class);

  /** Printed on standard output when the gateway accepts clients. */
  static final String READY = "ready";

  @Parameters(paramLabel = "FILE", description = "settings script")
  Path file;
  @Option(names = "--take-over", description = "start even if nodes report that another gateway of this name is alive; use it only if that one is known to be gone")
  boolean takeOver;
  @Option(names = "--log", description = "log format: json, text or auto (text at a terminal)", defaultValue = "auto")
  LogSetup.Form form;
  @Option(names = "--log-level", description = "log level: error, warn, info or debug", defaultValue = "info")
  String logLevel;

  @Override
  public Integer call() throws Exception {
    LogSetup.configure(form, Level.toLevel(logLevel));
    Loader.LoadResult loaded = Loader.load(file);
    if (!loaded.faults().isEmpty()) {
      loaded.faults().forEach(System.err::println);
      return Main.EXIT_INVALID_INPUT;
    }
    CountDownLatch stopRequested = new CountDownLatch(1);
    Gateway gateway = new Gateway(loaded.deployment(), takeOver);
    Signal.handle(new Signal("TERM"), s -> stopRequested.countDown());
    Signal.handle(new Signal("INT"), s -> stopRequested.countDown());
    Signal.handle(new Signal("HUP"), s -> reload(gateway));
    gateway.onTermination(stopRequested::countDown);
    System.out.println(READY);
    System.out.flush();
    stopRequested.await();
    boolean clean = gateway.close();
    LOG.atInfo().addKeyValue("totals", gateway.lanes().totals()).log("gateway.stopped");
    return clean && !gateway.superseded().isDone() ? Main.EXIT_OK : Main.EXIT_FAILURE;
  }

  /** Reloads the settings. Synchronized, since each signal has its own thread: otherwise settings read for an
   * older signal could replace those read for a newer one, and stay. */
  private synchronized void reload(Gateway gateway) {
    if (gateway.admin() != null) {
      gateway.admin().reloadCertificate();
    }
    Loader.LoadResult reloaded = Loader.load(file);
    if (reloaded.faults().isEmpty()) {
      Deployment deployment = reloaded.deployment();
      gateway.replaceNodes(deployment);
    } else {
      reloaded.faults()
          .forEach(fault -> LOG.atError().addKeyValue("fault", fault.toString()).log("settings.refused"));
    }
  }
}
