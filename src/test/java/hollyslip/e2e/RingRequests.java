package hollyslip.e2e;

import static org.junit.jupiter.api.Assertions.assertTrue;

import hollyslip.load.RingClient;
import hollyslip.volume.IoKind;
import java.nio.ByteBuffer;

/** Single requests through a ring. */
final class RingRequests {
  private RingRequests() {}

  /** Sends a request, waits for its answer and returns its status. A write sends {@code bytes}, a read fills
   * them. */
  static int execute(RingClient client, IoKind kind, long offset, int length, byte[] bytes) {
    int[] status = {-1};
    ByteBuffer data = kind == IoKind.WRITE ? ByteBuffer.wrap(bytes) : null;
    assertTrue(client.submit(0, kind, offset, length, data, (answerStatus, retryMs, answerData) -> {
      if (kind == IoKind.READ && answerStatus == 0) {
        answerData.get(bytes);
      }
      status[0] = answerStatus;
    }));
    client.kick();
    long deadlineNanos = System.nanoTime() + 20_000_000_000L;
    while (status[0] < 0 && System.nanoTime() < deadlineNanos) {
      assertTrue(client.await(1_000), "the gateway closed the connection");
      client.poll();
    }
    return status[0];
  }
}
