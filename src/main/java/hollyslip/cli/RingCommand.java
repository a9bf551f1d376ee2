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

/** A command-line ring client. */
@Command(name = "ring", mixinStandardHelpOptions = true, description = "A ring client for the socket of a volume.", subcommands = {
    RingCommand.Read.class, RingCommand.Write.class, RingCommand.Burst.class})
final class RingCommand implements Callable<Integer> {
  private static final int MAX_BYTES = 1 << 20;

  @Override
  public Integer call() {
    picocli.CommandLine.usage(this, System.err);
    return Main.EXIT_INVALID_INPUT;
  }

  /** Sends one request, waits for its answer and returns its status. */
  private static int runRequest(Path socket, IoKind kind, long offset, int length, ByteBuffer data,
      byte[] target)
      throws IOException {
    try (RingClient client = new RingClient(RingClient.Options.allFeatures(1, 16, MAX_BYTES))) {
      client.connect(socket);
      int[] status = {-1};
      client.submit(0, kind, offset, length, data, (answerStatus, retryMs, answerData) -> {
        status[0] = answerStatus;
        if (target != null && answerStatus == 0) {
          answerData.get(target);
        }
        if (answerStatus == 0x80) {
          System.err.println("refused; retry after " + retryMs + " ms");
        }
      });
      client.kick();
      while (status[0] < 0) {
        if (!client.await(1_000)) {
          throw new IOException("the gateway closed the connection");
        }
        client.poll();
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

  /** Reads bytes and writes them to standard output. */
  @Command(name = "read", mixinStandardHelpOptions = true, description = "Reads bytes and writes them to standard output.")
  static final class Read implements Callable<Integer> {
    @Parameters(paramLabel = "SOCKET")
    Path socket;
    @Option(names = "--offset", defaultValue = "0", description = "first byte, a multiple of 512")
    long offset;
    @Option(names = "--length", defaultValue = "512", description = "bytes to read, a multiple of 512, at most 1 MiB")
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

  /** Writes standard input to the volume. */
  @Command(name = "write", mixinStandardHelpOptions = true, description = "Writes standard input, padded with zeros to a multiple of 512, at most 1 MiB.")
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

  /** Sends many requests and prints their latencies. */
  @Command(name = "burst", mixinStandardHelpOptions = true, description = "Overwrites and reads the first bytes of a volume at random and verifies the data read.")
  static final class Burst implements Callable<Integer> {
    @Parameters(paramLabel = "SOCKET")
    Path socket;
    @Option(names = "--count", defaultValue = "1000", description = "number of requests")
    int count;
    @Option(names = "--depth", defaultValue = "32", description = "requests in flight")
    int depth;
    @Option(names = "--bytes", defaultValue = "1048576", description = "number of bytes of the volume to use")
    long bytes;
    @Option(names = "--reads", defaultValue = "0.7", description = "fraction of the requests that are reads")
    double reads;

    @Override
    public Integer call() throws IOException {
      RingLoad load = new RingLoad(new RingLoad.Config("burst", "", "", 0, bytes, count, depth, 0, reads, 4,
          10_000_000, 4096, System.nanoTime()), socket);
      load.run();
      var latency = load.latency();
      System.out.printf("%d answers; ms p50 %.2f p99 %.2f most %.2f%n", latency.getTotalCount(),
          latency.getValueAtPercentile(50) / 1e3, latency.getValueAtPercentile(99) / 1e3,
          latency.getMaxValue() / 1e3);
      load.wrongReads().forEach(System.out::println);
      return load.wrongReads().isEmpty() && latency.getTotalCount() == count
          ? Main.EXIT_OK
          : Main.EXIT_FAILURE;
    }
  }
}
