package hollyslip.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.Socket;
import org.junit.jupiter.api.Test;

class DiskServerTest {
  /** A stopped server must keep its port reserved: if another socket were given the port, the server could
   * not restart. */
  @Test
  void stoppedServerKeepsItsPort() throws Exception {
    try (StandInDiskServer server = new StandInDiskServer(StandInDiskServer.Config.plain("d", 4096, false))) {
      InetSocketAddress address = server.address();
      server.kill();
      try (Socket other = new Socket()) {
        assertThrows(BindException.class, () -> other.bind(address));
      }
      for (int i = 0; i < 300; i++) {
        server.restart();
      }
      assertEquals(address, server.address());
      try (Socket client = new Socket()) {
        client.connect(address);
      }
    }
  }
}
