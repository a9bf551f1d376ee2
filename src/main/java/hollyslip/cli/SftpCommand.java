package hollyslip.cli;

import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Connects standard input and output to the SFTP socket of a gateway, for clients that start their server as
 * a subprocess. */
@Command(name = "sftp-server", mixinStandardHelpOptions = true, description = "Relays SFTP between standard input and output and a running gateway, for clients that start their server as a subprocess: sftp -D 'java -jar hollyslip.jar sftp-server run/sftp.sock'.")
final class SftpCommand implements Callable<Integer> {
  private static final int BUFFER_BYTES = 64 * 1024;

  @Parameters(paramLabel = "SOCKET", description = "sftp.sock of the gateway")
  Path socket;

  @Override
  public Integer call() throws IOException {
    // Uses buffers rather than streams: two streams of one channel share a lock, which the blocking reader
    // would
    // hold forever.
    try (SocketChannel gateway = SocketChannel.open(UnixDomainSocketAddress.of(socket))) {
      Thread writer = new Thread(() -> copyInputToGateway(gateway), "to-gateway");
      writer.setDaemon(true);
      writer.start();
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
      for (int length = System.in.read(bytes); length >= 0; length = System.in.read(bytes)) {
        ByteBuffer buffer = ByteBuffer.wrap(bytes, 0, length);
        while (buffer.hasRemaining()) {
          gateway.write(buffer);
        }
      }
      gateway.shutdownOutput();
    } catch (IOException e) {
      System.err.println("writing to the gateway failed: " + e.getMessage());
    }
  }
}
