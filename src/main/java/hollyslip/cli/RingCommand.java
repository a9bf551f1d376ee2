package hollyslip.cli;

import hollyslip.load.RingClient;
import hollyslip.load.RingLoad;
import hollyslip.volume.IoKind;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** A ring client for the command line. */
@Command(name = "ring", mixinStandardHelpOptions = true, description = "A ring client at the socket of a volume.", subcommands = {
    RingCommand.Read.class, RingCommand.Write.class, RingCommand.Burst.class})
final class RingCommand implements Callable<Integer> {
  private static final int MAX_BYTES = 1 << 20;

  @Override
  public Integer call() {
    picocli.CommandLine.usage(this, System.err);
    return Main.EXIT_USAGE;
  }

  /** Runs one request and waits; its status. */
  private static int runRequest(Path socket, IoKind kind, long offset, int length, ByteBuffer data,
      byte[] into)
      throws IOException {
    try (RingClient c = new RingClient(RingClient.Options.usual(1, 16, MAX_BYTES))) {
      c.connect(socket);
      int[] status = {-1};
      c.submit(0, kind, offset, length, data, (s, retry, d) -> {
        status[0] = s;
        if (into != null && s == 0) {
          d.get(into);
        }
        if (s == 0x80) {
          System.err.println("refused; come back in " + retry + " ms");
        }
      });
      c.kick();
      while (status[0] < 0) {
        if (!c.await(1_000)) {
          throw new IOException("the gateway closed the connection");
        }
        c.poll();
      }
      return status[0];
    }
  }

  private static int exitCode(int status) {
    if (status != 0 && status != 0x80) {
      System.err.println(status == 1 ? "failed" : "not supported");
    }
    return status == 0 ? Main.EXIT_OK : Main.EXIT_FAILURE;
  }

  /** Reads bytes to standard output. */
  @Command(name = "read", mixinStandardHelpOptions = true, description = "Reads bytes and writes them to standard output.")
  static final class Read implements Callable<Integer> {
    @Parameters(paramLabel = "SOCKET")
    Path socket;
    @Option(names = "--offset", defaultValue = "0", description = "first byte, a multiple of 512")
    long offset;
    @Option(names = "--length", defaultValue = "512", description = "bytes, a multiple of 512, at most 1 MiB")
    int length;

    @Override
    public Integer call() throws IOException {
      byte[] bytes = new byte[Math.min(MAX_BYTES, length)];
      int status = runRequest(socket, IoKind.READ, offset, bytes.length, null, bytes);
      if (status == 0) {
        System.out.write(bytes);
        System.out.flush();
      }
      return exitCode(status);
    }
  }

  /** Writes standard input. */
  @Command(name = "write", mixinStandardHelpOptions = true, description = "Writes what comes on standard input, filled up to a multiple of 512 with zeros, at most 1 MiB.")
  static final class Write implements Callable<Integer> {
    @Parameters(paramLabel = "SOCKET")
    Path socket;
    @Option(names = "--offset", defaultValue = "0", description = "first byte, a multiple of 512")
    long offset;

    @Override
    public Integer call() throws IOException {
      byte[] in = System.in.readNBytes(MAX_BYTES);
      byte[] full = Arrays.copyOf(in, Math.max(512, (in.length + 511) / 512 * 512));
      return exitCode(runRequest(socket, IoKind.WRITE, offset, full.length, ByteBuffer.wrap(full), null));
    }
  }

  /** Asks many times and prints how long it took. */
  @Command(name = "burst", mixinStandardHelpOptions = true, description = "Overwrites and reads the first bytes of a volume at random and checks what comes back.")
  static final class Burst implements Callable<Integer> {
    @Parameters(paramLabel = "SOCKET")
    Path socket;
    @Option(names = "--count", defaultValue = "1000", description = "requests")
    int count;
    @Option(names = "--depth", defaultValue = "32", description = "requests out at a time")
    int depth;
    @Option(names = "--bytes", defaultValue = "1048576", description = "bytes of the volume to use")
    long bytes;
    @Option(names = "--reads", defaultValue = "0.7", description = "part of the requests that read")
    double reads;

    @Override
    public Integer call() throws IOException {
      RingLoad load = new RingLoad(new RingLoad.Plan("burst", "", "", 0, bytes, count, depth, 0, reads, 4,
          10_000_000, 4096, System.nanoTime()), socket);
      load.run();
      var h = load.latency();
      System.out.printf("%d answers; ms p50 %.2f p99 %.2f most %.2f%n", h.getTotalCount(), h
          .getValueAtPercentile(50) / 1e3, h.getValueAtPercentile(99) / 1e3, h.getMaxValue() / 1e3);
      load.wrong().forEach(System.out::println);
      return load.wrong().isEmpty() && h.getTotalCount() == count ? Main.EXIT_OK : Main.EXIT_FAILURE;
    }
  }
}
