package hollyslip.cli;

import hollyslip.load.CoresBench;
import hollyslip.load.LoadBench;
import hollyslip.load.ModuleBench;
import hollyslip.load.Profile;
import hollyslip.load.RingComparison;
import hollyslip.load.TenantBench;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measurements. */
@Command(name = "bench", mixinStandardHelpOptions = true, description = "Measurements on this machine.", subcommands = {
    BenchCommand.Ring.class, BenchCommand.Cores.class, BenchCommand.Module.class, BenchCommand.Tenants.class,
    BenchCommand.Load.class})
final class BenchCommand implements Callable<Integer> {
  @Override
  public Integer call() {
    picocli.CommandLine.usage(this, System.err);
    return Main.EXIT_USAGE;
  }

  /** What all measurements have. */
  abstract static class Measurement implements Callable<Integer> {
    @Option(names = "--rounds", defaultValue = "3", description = "rounds, taken in turn; medians are shown where they are comparable")
    int rounds;
    @Option(names = "--seconds", defaultValue = "2", description = "seconds of one measurement, after half of that to warm up")
    double seconds;

    @Option(names = "--profile", paramLabel = "DIR", description = "where a flame graph goes: the whole run under the profiler, which makes it slower")
    Path profile;
    @Option(names = "--event", defaultValue = "itimer", description = "what the profiler samples: itimer or alloc")
    String event;

    abstract void run() throws Exception;

    @Override
    public Integer call() throws Exception {
      LogSetup.configure(LogSetup.Form.text, ch.qos.logback.classic.Level.WARN);
      if (profile == null) {
        run();
      } else {
        Profile.run(event, profile, event + "-" + getClass().getSimpleName().toLowerCase(Locale.ROOT),
            this::run);
      }
      return Main.EXIT_OK;
    }
  }

  @Command(name = "ring", mixinStandardHelpOptions = true, description = "Reads: ring to gateway to stand-in; the node client straight to the same stand-in; ring to gateway with an echo in place of nodes.")
  static final class Ring extends Measurement {
    @Option(names = "--nodes", defaultValue = "2", description = "stand-ins behind the gateway")
    int nodes;
    @Option(names = "--depths", split = ",", defaultValue = "1,32,256", description = "requests out at a time")
    int[] depths;

    @Option(names = "--paths", split = ",", defaultValue = "echo,direct,gateway", description = "echo, direct, gateway")
    List<String> paths;
    @Option(names = "--block", defaultValue = "4096", description = "bytes of a read, a multiple of 4096")
    int block;
    @Override
    void run() throws Exception {
      new RingComparison(rounds, seconds, nodes, depths, block, paths).run();
    }
  }

  @Command(name = "cores", mixinStandardHelpOptions = true, description = "Eight volumes with a client each on 1, 2, 4 and 8 lanes: reads of 4 KiB a second, the worst client's latencies, and the least volume's part of the mean.")
  static final class Cores extends Measurement {
    @Option(names = "--depth", defaultValue = "32", description = "requests that each client keeps out")
    int depth;
    @Option(names = "--nodes", defaultValue = "2", description = "stand-ins")
    int nodes;
    @Option(names = "--lanes", split = ",", defaultValue = "1,2,4,8", description = "lanes")
    int[] lanes;

    @Override
    void run() throws Exception {
      new CoresBench(rounds, seconds, depth, nodes, lanes).run();
    }
  }

  @Command(name = "module", mixinStandardHelpOptions = true, description = "The decision module alone: ns a request by how many wait in it.")
  static final class Module extends Measurement {
    @Override
    void run() throws Exception {
      new ModuleBench(rounds).run();
    }
  }

  @Command(name = "tenants", mixinStandardHelpOptions = true, description = "Changes a second with their sync and what they cost requests; a flooding neighbour; recovery by size; the module with 10 and with 50,000 volumes.")
  static final class Tenants extends Measurement {
    @Override
    void run() throws Exception {
      new TenantBench(rounds, seconds).run();
    }
  }

  @Command(name = "load", mixinStandardHelpOptions = true, description = "The generator of load alone, against an echo: how late it comes to its requests, by how many are due a second.")
  static final class Load extends Measurement {
    @Option(names = "--rates", split = ",", defaultValue = "50000,100000,200000,400000", description = "requests due a second")
    int[] rates;
    @Option(names = "--threads", defaultValue = "2", description = "clients, a thread each")
    int threads;

    @Override
    void run() throws Exception {
      new LoadBench(rounds, seconds, threads, rates).run();
    }
  }
}
