package hollyslip.e2e;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hollyslip.front.vhost.VhostUserProtocol;
import hollyslip.gateway.Gateway;
import hollyslip.load.RingClient;
import hollyslip.volume.IoKind;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Ring clients that leave while their messages are not read: their device must end at once, as it would send
 * their requests on. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class DepartedRingClientTest {
  /** After this long a client that has left is known to be gone, ms. */
  private static final long MAX_UNNOTICED_MS = 100;

  private static final long STALL_US = 3_000_000;

  @TempDir
  Path dir;

  private static void awaitDevices(Gateway gateway, int count, long limitMs) {
    Awaitility.await()
        .atMost(limitMs, TimeUnit.MILLISECONDS)
        .pollDelay(0, TimeUnit.MILLISECONDS)
        .pollInterval(1, TimeUnit.MILLISECONDS)
        .until(() -> gateway.deviceCount("stock") == count);
  }

  private static RingClient clientWithOpenRequest(Gateway gateway) throws IOException {
    RingClient client = new RingClient(RingClient.Options.allFeatures(1, 16, 4096));
    client.connect(gateway.socketPath("stock"));
    assertEquals(0, RingRequests.execute(client, IoKind.READ, 0, 4096, new byte[4096]));
    return client;
  }

  /** While a ring is being stopped no message is read, so the end of the socket stands unread. */
  @Test
  void aClientThatLeavesWhileItsRingIsStoppedIsNoticedAtOnce() throws Exception {
    try (TestDeployment site = new TestDeployment(dir, 1)) {
      Gateway gateway = site.startGateway();
      RingClient client = clientWithOpenRequest(gateway);
      site.disks.get(0).stall(STALL_US);
      assertTrue(client.submit(0, IoKind.READ, 0, 4096, null, null));
      client.kick();
      client.send(VhostUserProtocol.GET_VRING_BASE, 0, VhostUserProtocol.vringStatePayload(0, 0));
      Thread.sleep(MAX_UNNOTICED_MS);
      assertEquals(1, gateway.deviceCount("stock"));
      client.close();
      awaitDevices(gateway, 0, MAX_UNNOTICED_MS);
    }
  }
}
