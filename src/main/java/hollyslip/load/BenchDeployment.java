package hollyslip.load;

import hollyslip.settings.Deployment;
import hollyslip.settings.Loader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Builds the deployment that the benchmarks run on: one gateway, stand-ins as nodes, and a single class for
 * all requests. */
final class BenchDeployment {
  private static final String SETTINGS_HEADER = """
      rules(drain_grace = seconds(1), cold_from = 0.2, cold = seconds(5), fall_multiple = 3, fall = seconds(2), settle = ms(300))
      store(mean_units = 1, most_units = 256)
      request_class("any", kinds = ["read", "write", "flush", "discard", "write_zeroes"], effect = "safe", aim = ms(250), deadline = seconds(5))
      plan("p", rate = 1e6, reserve = 1e6, weight = 1)
      """;

  private BenchDeployment() {}

  /** Loads the deployment, with its directories in {@code dir}.
   *
   * @param gatewayArguments
   *          additional arguments of {@code gateway}
   * @param declarations
   *          declarations that follow the nodes, mainly volumes */
  static Deployment load(Path dir, int[] ports, String gatewayArguments, String declarations)
      throws IOException {
    StringBuilder script = new StringBuilder(
        "gateway('bench', socket_dir = 'run', state_dir = 'state', unit_bytes "
            + "= 4 * KiB" + gatewayArguments + ")\n").append(SETTINGS_HEADER);
    for (int i = 0; i < ports.length; i++) {
      script.append(String.format("node('n-%d', port = %d, shard = %d, capacity = 1e6, bytes = 16 * MiB)%n",
          i,
          ports[i], i));
    }
    Loader.LoadResult loaded = Loader.load(Files.writeString(dir.resolve("bench.star"), script.append(
        declarations)));
    if (!loaded.faults().isEmpty()) {
      throw new IOException(loaded.faults().toString());
    }
    return loaded.deployment();
  }
}
