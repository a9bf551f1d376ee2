package hollyslip.e2e;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hollyslip.front.vhost.VhostUserProtocol;
import hollyslip.load.RingClient;
import hollyslip.load.RingClient.Queue;
import hollyslip.volume.IoKind;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The device as a front end sees it that was written from the specification. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class RingSpecTest {
  @TempDir
  Path dir;

  private static RingClient newClient(boolean refused) throws Exception {
    return new RingClient(new RingClient.Options(1, 16, 4096, false, false, refused, false));
  }

  /** Sends a request of any type in slot 0 and returns its status byte; its data stays in the slot. */
  private static int sendRaw(RingClient client, int type, int length, boolean into) {
    Queue queue = client.queue(0);
    queue.freeSlots.poll();
    int[] status = {-1};
    queue.out[0] = (answerStatus, retryMs, data) -> status[0] = answerStatus;
    queue.lengths[0] = length;
    client.postRequest(queue, 0, type, 0, length, into);
    client.kick();
    while (status[0] < 0) {
      assertTrue(client.await(1_000));
      client.poll();
    }
    return status[0];
  }

  @Test
  void servesConfigurationAndRequestsThatNeedNoNode() throws Exception {
    try (TestDeployment site = new TestDeployment(dir, 1)) {
      Path socket = site.startGateway().socketPath("stock");
      try (RingClient c = newClient(false)) {
        c.connect(socket);
        ByteBuffer ask = ByteBuffer.allocate(12 + 60)
            .order(ByteOrder.LITTLE_ENDIAN)
            .putInt(0, 0)
            .putInt(4, 60);
        ByteBuffer config = c.sendAndReceive(VhostUserProtocol.GET_CONFIG, ask.array());
        assertEquals(TestDeployment.VOLUME_BYTES / 512, config.getLong(12));
        assertEquals(512, config.getInt(12 + 20));
        assertEquals(16, c.sendAndReceive(VhostUserProtocol.GET_QUEUE_NUM, new byte[0]).getLong());
        assertEquals(64, c.sendAndReceive(VhostUserProtocol.GET_MAX_MEM_SLOTS, new byte[0]).getLong());
        assertEquals(0, sendRaw(c, 8, 20, true), "GET_ID");
        byte[] name = new byte[20];
        c.queue(0).data(0).get(name);
        assertEquals("stock", new String(name, StandardCharsets.UTF_8).strip().replace("\0", ""));
        assertEquals(2, sendRaw(c, 10, 24, true), "GET_LIFETIME is not served");
        assertEquals(2, sendRaw(c, 4711, 16, false));
        assertEquals(1, RingRequests.execute(c, IoKind.READ, TestDeployment.VOLUME_BYTES, 4096,
            new byte[4096]), "past the end");
      }
    }
  }

  /** A second memory region is added and removed; a stopped ring reports its position, from which it can be
   * restarted. */
  @Test
  void memorySlotsAndStoppedRing() throws Exception {
    try (TestDeployment site = new TestDeployment(dir, 1); RingClient c = newClient(true)) {
      c.connect(site.startGateway().socketPath("stock"));
      byte[] region = ByteBuffer.allocate(40)
          .order(ByteOrder.LITTLE_ENDIAN)
          .putLong(0)
          .putLong(0x9000_0000L)
          .putLong(4096)
          .putLong(0x6000_0000_0000L)
          .putLong(0)
          .array();
      c.sendAcknowledged(VhostUserProtocol.ADD_MEM_REG, region, c.memoryFd());
      c.sendAcknowledged(VhostUserProtocol.REM_MEM_REG, region);
      for (int i = 0; i < 5; i++) {
        assertEquals(0, RingRequests.execute(c, IoKind.READ, 0, 4096, new byte[4096]));
      }
      assertEquals(5, c.stopQueue(0));
    }
  }

  /** Refusals have their own status only for a client that has negotiated it. */
  @Test
  void refusedHasItsOwnStatusOnlyIfNegotiated() throws Exception {
    try (TestDeployment site = new TestDeployment(dir, 1)) {
      site.deadlineUs = 150_000;
      Path socket = site.startGateway().socketPath("stock");
      site.disks.get(0).faults.full = true;
      for (boolean agreed : new boolean[]{true, false}) {
        try (RingClient c = newClient(agreed)) {
          c.connect(socket);
          assertEquals(agreed ? 0x80 : 1, RingRequests.execute(c, IoKind.WRITE, 0, 4096, new byte[4096]));
        }
      }
    }
  }
}
