package hollyslip.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.Socket;
import org.junit.jupiter.api.Test;

class DiskServerTest {
  /** A stand-in that is down keeps its port: another socket of the machine that were given it would keep the
   * stand-in from coming back. */
  @Test
  void stoppedServerKeepsItsPort() throws Exception {
    try (DiskServer s = new DiskServer(DiskServer.Config.plain("d", 4096, false))) {
      InetSocketAddress address = s.address();
      s.kill();
      try (Socket other = new Socket()) {
        assertThrows(BindException.class, () -> other.bind(address));
      }
      for (int i = 0; i < 300; i++) {
        s.restart();
      }
      assertEquals(address, s.address());
      try (Socket client = new Socket()) {
        client.connect(address);
      }
    }
  }
}
