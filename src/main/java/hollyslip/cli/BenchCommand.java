package hollyslip.cli;

import hollyslip.load.Profile;
import hollyslip.load.RingComparison;
import hollyslip.load.TenantBench;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measurements. */
@Command(name = "bench", mixinStandardHelpOptions = true, description = "Measurements on this machine.", subcommands = {
    BenchCommand.Ring.class, BenchCommand.Tenants.class})
final class BenchCommand implements Callable<Integer> {
  @Override
  public Integer call() {
    picocli.CommandLine.usage(this, System.err);
    return Main.WRONG;
  }

  /** What all measurements have. */
  abstract static class Measurement implements Callable<Integer> {
    @Option(names = "--rounds", defaultValue = "3", description = "rounds, taken in turn; medians are shown where they are comparable")
    int rounds;
    @Option(names = "--seconds", defaultValue = "2", description = "seconds of one measurement, after half of that to warm up")
    double seconds;

    abstract void run() throws Exception;

    @Override
    public Integer call() throws Exception {
      Logs.to(Logs.Form.text, ch.qos.logback.classic.Level.WARN);
      run();
      return Main.DONE;
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
    @Option(names = "--profile", paramLabel = "DIR", description = "where flame graphs go: the whole run under the profiler, which makes it slower")
    Path profile;
    @Option(names = "--event", defaultValue = "itimer", description = "what the profiler samples: itimer or alloc")
    String event;

    @Override
    void run() throws Exception {
      RingComparison comparison = new RingComparison(rounds, seconds, nodes, depths, block, paths);
      if (profile == null) {
        comparison.run();
      } else {
        Profile.run(event, profile, event + "-" + String.join("-", paths), comparison::run);
      }
    }
  }

  @Command(name = "tenants", mixinStandardHelpOptions = true, description = "Changes a second with their sync and what they cost requests; a flooding neighbour; recovery by size; the module with 10 and with 50,000 volumes.")
  static final class Tenants extends Measurement {
    @Override
    void run() throws Exception {
      new TenantBench(rounds, seconds).run();
    }
  }
}
