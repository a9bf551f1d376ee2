package hollyslip.e2e;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hollyslip.cli.Gateway;
import hollyslip.load.RingClient;
import hollyslip.volume.IoKind;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The whole way: ring, gateway, node and back. */
class RingToNodeTest {
  @TempDir
  Path dir;

  private static int await(RingClient c, int[] status) {
    long until = System.nanoTime() + 10_000_000_000L;
    while (status[0] < 0 && System.nanoTime() < until) {
      assertTrue(c.await(1_000), "connection closed");
      c.poll();
    }
    return status[0];
  }

  @Test
  void whatIsWrittenIsReadBackAcrossExtents() throws Exception {
    try (Site site = new Site(dir, 3);
        RingClient client = new RingClient(RingClient.Options.usual(1, 64, 256 * 1024))) {
      Gateway gateway = site.gateway();
      client.connect(gateway.socket("stock"));
      byte[] bytes = new byte[200 * 1024];
      new Random(3).nextBytes(bytes);
      int[] wrote = {-1};
      client.submit(0, IoKind.WRITE, 4096 * 5, bytes.length, ByteBuffer.wrap(bytes), (s, r,
          d) -> wrote[0] = s);
      client.kick();
      assertEquals(0, await(client, wrote));
      byte[] back = new byte[bytes.length];
      int[] read = {-1};
      client.submit(0, IoKind.READ, 4096 * 5, bytes.length, null, (s, r, d) -> {
        d.get(back);
        read[0] = s;
      });
      client.kick();
      assertEquals(0, await(client, read));
      assertArrayEquals(bytes, back);
      for (IoKind kind : new IoKind[]{IoKind.FLUSH, IoKind.DISCARD, IoKind.WRITE_ZEROES}) {
        int[] done = {-1};
        client.submit(0, kind, 0, kind == IoKind.FLUSH ? 0 : 65536 * 2, null, (s, r, d) -> done[0] = s);
        client.kick();
        assertEquals(0, await(client, done), kind.name());
      }
    }
  }
}
