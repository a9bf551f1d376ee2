package hollyslip.cli;

import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** File commands by standard input and output, for clients that start a server process by a pipe. */
@Command(name = "sftp-server", mixinStandardHelpOptions = true, description = "Speaks SFTP on standard input and output with a running gateway, for a client that starts its server by a pipe: sftp -D 'java -jar hollyslip.jar sftp-server run/sftp.sock'.")
final class SftpCommand implements Callable<Integer> {
  private static final int BUFFER_BYTES = 64 * 1024;

  @Parameters(paramLabel = "SOCKET", description = "the gateway's sftp.sock")
  Path socket;

  @Override
  public Integer call() throws IOException {
    // Buffers, not streams: two streams of one channel share a lock, and the one that reads would hold it for
    // ever.
    try (SocketChannel gateway = SocketChannel.open(UnixDomainSocketAddress.of(socket))) {
      Thread up = new Thread(() -> copyInputToGateway(gateway), "to-gateway");
      up.setDaemon(true);
      up.start();
      ByteBuffer bytes = ByteBuffer.allocate(BUFFER_BYTES);
      while (gateway.read(bytes) >= 0) {
        System.out.write(bytes.array(), 0, bytes.position());
        System.out.flush();
        bytes.clear();
      }
    }
    return Main.EXIT_OK;
  }

  private static void copyInputToGateway(SocketChannel gateway) {
    byte[] bytes = new byte[BUFFER_BYTES];
    try {
      for (int n = System.in.read(bytes); n >= 0; n = System.in.read(bytes)) {
        ByteBuffer out = ByteBuffer.wrap(bytes, 0, n);
        while (out.hasRemaining()) {
          gateway.write(out);
        }
      }
      gateway.shutdownOutput();
    } catch (IOException e) {
      System.err.println("to the gateway: " + e.getMessage());
    }
  }
}
