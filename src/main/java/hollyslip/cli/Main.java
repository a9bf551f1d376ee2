package hollyslip.cli;

import hollyslip.SimulatorAdapter;
import hollyslip.platform.SchedulerProcess;
import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.AutoComplete.GenerateCompletion;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.HelpCommand;
import picocli.CommandLine.Option;

/** Entry point of the jar. */
@Command(name = "hollyslip", mixinStandardHelpOptions = true, version = "hollyslip 0.2.0", description = "A storage gateway that schedules a host's reads and writes across storage nodes.", subcommands = {
    ServeCommand.class, CheckCommand.class, DemoCommand.class, ReplayCommand.class, RingCommand.class,
    SftpCommand.class, StandinCommand.class, AuditCommand.class, BenchCommand.class, EmulateCommand.class,
    SearchCommand.class, ExperimentCommand.class, LoadCommand.class,
    AdminCommand.Tenants.class, AdminCommand.Volumes.class, AdminCommand.Plans.class,
    AdminCommand.Nodes.class, Main.WireHostCommand.class, Main.PlatformCommand.class,
    GenerateCompletion.class,
    HelpCommand.class}, exitCodeListHeading = "%nExit codes:%n", exitCodeList = {
        "0:success; for demo, replay and audit: all rules kept",
        "1:failure; for demo, replay and audit: a rule was broken",
        "2:invalid command line, settings or input"}, footerHeading = "%n", footer = "Settings are described in docs/settings.md, operation in docs/operators.md.")
public final class Main implements Callable<Integer> {
  static final int EXIT_OK = 0, EXIT_FAILURE = 1, EXIT_INVALID_INPUT = 2;

  public static void main(String[] args) throws IOException, InterruptedException {
    // These two are started often, and platform runs with little memory, so they bypass the command-line
    // parser.
    if (args.length > 0 && args[0].equals("wirehost")) {
      SimulatorAdapter.main(args);
      return;
    }
    if (args.length > 0 && args[0].equals("platform") && (args.length == 1 || args[1].equals("--rehearse"))) {
      SchedulerProcess.main(args);
      return;
    }
    System.exit(new CommandLine(new Main()).setCaseInsensitiveEnumValuesAllowed(true).execute(args));
  }

  @Override
  public Integer call() {
    CommandLine.usage(this, System.err);
    return EXIT_INVALID_INPUT;
  }

  /** Declared for the help only; {@link #main} runs it directly. */
  @Command(name = "wirehost", description = "Hosts scheduler instances for the simulator, on standard input and output.")
  static final class WireHostCommand implements Callable<Integer> {
    @Override
    public Integer call() throws IOException {
      SimulatorAdapter.main(new String[]{"wirehost"});
      return EXIT_OK;
    }
  }

  /** Declared for the help only; {@link #main} runs it directly. */
  @Command(name = "platform", description = "Runs one scheduler on the platform, configured by PROXY_CONFIG and related variables (docs/platform.md), until SIGTERM.")
  static final class PlatformCommand implements Callable<Integer> {
    @Option(names = "--rehearse", description = "run against a peer on loopback and exit, to record the classes for the archive that the build makes")
    boolean rehearse;

    @Override
    public Integer call() throws IOException, InterruptedException {
      SchedulerProcess.main(new String[]{"platform"});
      return EXIT_OK;
    }
  }
}
