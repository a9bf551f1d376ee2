package hollyslip.cli;

import hollyslip.audit.Witness;
import hollyslip.standin.Control;
import hollyslip.standin.DiskServer;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a stand-in disk server. */
@Command(name = "standin", mixinStandardHelpOptions = true, description = "Runs a stand-in disk server: NBD on a loopback port, exports shard-N in memory. Reads words of control on standard input until its end:", footer = Control.HELP)
final class StandinCommand implements Callable<Integer> {
  @Option(names = "--name", defaultValue = "disk", description = "name in its records")
  String name;
  @Option(names = "--port", defaultValue = "0", description = "port; 0: any free one, printed")
  int port;
  @Option(names = "--shard-mib", defaultValue = "64", description = "size of each export, MiB")
  int shardMib;
  @Option(names = "--cores", defaultValue = "0", description = "commands served at once; 0: without service times")
  int cores;
  @Option(names = "--queue", defaultValue = "128", description = "commands that may wait")
  int queue;
  @Option(names = "--base-us", defaultValue = "300", description = "mean work of a command, us")
  long baseUs;
  @Option(names = "--seed", defaultValue = "1", description = "seed of service times and chances")
  long seed;
  @Option(names = "--data", description = "folder for its exports; in memory if not given")
  Path data;
  @Option(names = "--records", description = "folder for its records at the end")
  Path records;

  @Override
  public Integer call() throws IOException {
    DiskServer.Config plain = cores == 0
        ? DiskServer.Config.plain(name, (long) shardMib << 20, records != null)
        : DiskServer.Config.timed(name, (long) shardMib << 20, cores, queue, baseUs, seed);
    try (DiskServer server = new DiskServer(plain, port, data)) {
      System.out.println("port " + server.address().getPort());
      BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        try {
          if (!line.isBlank()) {
            Control.apply(server, line);
          }
        } catch (IllegalArgumentException e) {
          System.err.println(e.getMessage());
        }
      }
      if (records != null) {
        Witness.commands(records, name, server.commands());
      }
    }
    return Main.EXIT_OK;
  }
}
