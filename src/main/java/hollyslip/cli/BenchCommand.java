package hollyslip.cli;

import hollyslip.load.CoresBench;
import hollyslip.load.LoadGeneratorBench;
import hollyslip.load.ModuleBench;
import hollyslip.load.Profiler;
import hollyslip.load.RingComparison;
import hollyslip.load.TenantBench;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Benchmarks. */
@Command(name = "bench", mixinStandardHelpOptions = true, description = "Benchmarks on this machine.", subcommands = {
    BenchCommand.Ring.class, BenchCommand.Cores.class, BenchCommand.Module.class, BenchCommand.Tenants.class,
    BenchCommand.Load.class})
final class BenchCommand implements Callable<Integer> {
  @Override
  public Integer call() {
    picocli.CommandLine.usage(this, System.err);
    return Main.EXIT_INVALID_INPUT;
  }

  /** Options shared by all benchmarks. */
  abstract static class Measurement implements Callable<Integer> {
    @Option(names = "--rounds", defaultValue = "3", description = "number of rounds, interleaved; medians are printed where they are comparable")
    int rounds;
    @Option(names = "--seconds", defaultValue = "2", description = "duration of one measurement in seconds, after a warm-up of half of it")
    double seconds;

    @Option(names = "--profile", paramLabel = "DIR", description = "directory for a flame graph; the whole run is profiled, which slows it down")
    Path profile;
    @Option(names = "--event", defaultValue = "itimer", description = "event that the profiler samples: itimer or alloc")
    String event;

    abstract void run() throws Exception;

    @Override
    public Integer call() throws Exception {
      LogSetup.configure(LogSetup.Form.text, ch.qos.logback.classic.Level.WARN);
      if (profile == null) {
        run();
      } else {
        Profiler.run(event, profile, event + "-" + getClass().getSimpleName().toLowerCase(Locale.ROOT),
            this::run);
      }
      return Main.EXIT_OK;
    }
  }

  @Command(name = "ring", mixinStandardHelpOptions = true, description = "Reads through the ring and the gateway to a stand-in, with the node client directly to the same stand-in, and through the ring to a gateway with an echo in place of nodes.")
  static final class Ring extends Measurement {
    @Option(names = "--nodes", defaultValue = "2", description = "number of stand-ins behind the gateway")
    int nodes;
    @Option(names = "--depths", split = ",", defaultValue = "1,32,256", description = "requests in flight")
    int[] depths;

    @Option(names = "--paths", split = ",", defaultValue = "echo,direct,gateway", description = "paths to measure: echo, direct, gateway")
    List<String> paths;
    @Option(names = "--block", defaultValue = "4096", description = "bytes per read, a multiple of 4096")
    int block;
    @Override
    void run() throws Exception {
      new RingComparison(rounds, seconds, nodes, depths, block, paths).run();
    }
  }

  @Command(name = "cores", mixinStandardHelpOptions = true, description = "Eight volumes with one client each on 1, 2, 4 and 8 lanes: reads of 4 KiB per second, latencies of the slowest client, and the throughput of the slowest volume relative to the mean.")
  static final class Cores extends Measurement {
    @Option(names = "--depth", defaultValue = "32", description = "requests that each client keeps in flight")
    int depth;
    @Option(names = "--nodes", defaultValue = "2", description = "number of stand-ins")
    int nodes;
    @Option(names = "--lanes", split = ",", defaultValue = "1,2,4,8", description = "numbers of lanes")
    int[] lanes;

    @Override
    void run() throws Exception {
      new CoresBench(rounds, seconds, depth, nodes, lanes).run();
    }
  }

  @Command(name = "module", mixinStandardHelpOptions = true, description = "The scheduler alone: ns per request, by the number of queued requests.")
  static final class Module extends Measurement {
    @Override
    void run() throws Exception {
      new ModuleBench(rounds).run();
    }
  }

  @Command(name = "tenants", mixinStandardHelpOptions = true, description = "Configuration changes per second with fsync and their effect on request latency; a noisy neighbour; recovery time by size; the scheduler with 10 and with 50,000 volumes.")
  static final class Tenants extends Measurement {
    @Override
    void run() throws Exception {
      new TenantBench(rounds, seconds).run();
    }
  }

  @Command(name = "load", mixinStandardHelpOptions = true, description = "The load generator alone, against an echo: how late it sends requests, by the number due per second.")
  static final class Load extends Measurement {
    @Option(names = "--rates", split = ",", defaultValue = "50000,100000,200000,400000", description = "requests due per second")
    int[] rates;
    @Option(names = "--threads", defaultValue = "2", description = "number of clients, each on its own thread")
    int threads;

    @Override
    void run() throws Exception {
      new LoadGeneratorBench(rounds, seconds, threads, rates).run();
    }
  }
}
