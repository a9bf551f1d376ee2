package hollyslip.e2e;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import hollyslip.load.RingClient;
import hollyslip.volume.IoKind;
import java.nio.file.Path;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Requests from the ring through the gateway to a node and back. */
class RingToNodeTest {
  @TempDir
  Path dir;

  @Test
  void writtenDataIsReadBackAcrossExtents() throws Exception {
    for (boolean plain : new boolean[]{false, true}) {
      RingClient.Options options = plain
          ? new RingClient.Options(2, 64, 256 * 1024, false, false, false, false)
          : RingClient.Options.allFeatures(1, 64, 256 * 1024);
      try (TestDeployment deployment = new TestDeployment(dir, 3);
          RingClient client = new RingClient(options)) {
        client.connect(deployment.startGateway().socketPath("stock"));
        byte[] bytes = new byte[200 * 1024];
        new Random(3).nextBytes(bytes);
        byte[] read = new byte[bytes.length];
        assertEquals(0, RingRequests.execute(client, IoKind.WRITE, 4096 * 5, bytes.length, bytes));
        assertEquals(0, RingRequests.execute(client, IoKind.READ, 4096 * 5, bytes.length, read));
        assertArrayEquals(bytes, read);
        assertEquals(0, RingRequests.execute(client, IoKind.FLUSH, 0, 0, null));
        assertEquals(0, RingRequests.execute(client, IoKind.DISCARD, 0, 65536 * 2, null));
        assertEquals(0, RingRequests.execute(client, IoKind.WRITE_ZEROES, 0, 65536 * 2, null));
        assertEquals(0, RingRequests.execute(client, IoKind.READ, 0, 65536 * 2, new byte[65536 * 2]));
      }
    }
  }
}
