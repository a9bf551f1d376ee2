package hollyslip.cli;

import hollyslip.audit.RunRecords;
import hollyslip.standin.FaultControl;
import hollyslip.standin.StandInDiskServer;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a stand-in disk server. */
@Command(name = "standin", mixinStandardHelpOptions = true, description = "Runs a stand-in disk server: NBD on a loopback port, with exports shard-N in memory. Reads control commands on standard input until its end:", footer = FaultControl.HELP)
final class StandinCommand implements Callable<Integer> {
  @Option(names = "--name", defaultValue = "disk", description = "name of the server in its records")
  String name;
  @Option(names = "--port", defaultValue = "0", description = "port; 0: any free port; it is printed")
  int port;
  @Option(names = "--shard-mib", defaultValue = "64", description = "size of each export, MiB")
  int shardMib;
  @Option(names = "--cores", defaultValue = "0", description = "number of commands served at a time; 0: no simulated service times")
  int cores;
  @Option(names = "--queue", defaultValue = "128", description = "maximum number of queued commands")
  int queue;
  @Option(names = "--base-us", defaultValue = "300", description = "mean service time of a command, us")
  long baseUs;
  @Option(names = "--seed", defaultValue = "1", description = "seed of service times and random faults")
  long seed;
  @Option(names = "--data", description = "directory for the exports; default: in memory")
  Path data;
  @Option(names = "--records", description = "directory to write the records to at the end")
  Path records;

  @Override
  public Integer call() throws IOException {
    StandInDiskServer.Config config = cores == 0
        ? StandInDiskServer.Config.plain(name, (long) shardMib << 20, records != null)
        : StandInDiskServer.Config.timed(name, (long) shardMib << 20, cores, queue, baseUs, seed);
    try (StandInDiskServer server = new StandInDiskServer(config, port, data)) {
      System.out.println("port " + server.address().getPort());
      BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        try {
          if (!line.isBlank()) {
            FaultControl.apply(server, line);
          }
        } catch (IllegalArgumentException e) {
          System.err.println(e.getMessage());
        }
      }
      if (records != null) {
        RunRecords.writeCommands(records, name, server.commands());
      }
    }
    return Main.EXIT_OK;
  }
}
