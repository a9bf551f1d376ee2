package hollyslip.e2e;

import static org.junit.jupiter.api.Assertions.assertTrue;

import hollyslip.load.RingClient;
import hollyslip.volume.IoKind;
import java.nio.ByteBuffer;

/** Single requests through a ring. */
final class RingRequests {
  private RingRequests() {}

  /** Asks and waits; the status. A write takes {@code bytes}, a read fills them. */
  static int execute(RingClient client, IoKind kind, long offset, int length, byte[] bytes) {
    int[] status = {-1};
    ByteBuffer data = kind == IoKind.WRITE ? ByteBuffer.wrap(bytes) : null;
    assertTrue(client.submit(0, kind, offset, length, data, (s, r, d) -> {
      if (kind == IoKind.READ && s == 0) {
        d.get(bytes);
      }
      status[0] = s;
    }));
    client.kick();
    long until = System.nanoTime() + 20_000_000_000L;
    while (status[0] < 0 && System.nanoTime() < until) {
      assertTrue(client.await(1_000), "the gateway closed the connection");
      client.poll();
    }
    return status[0];
  }
}
