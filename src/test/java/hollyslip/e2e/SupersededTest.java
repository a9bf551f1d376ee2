package hollyslip.e2e;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hollyslip.gateway.Gateway;
import hollyslip.load.RingClient;
import hollyslip.standin.CommandRecord;
import hollyslip.volume.IoKind;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Gateways with a lost or old state folder, and two gateways with the same name. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SupersededTest {
  private static final int SERVED = 0, REFUSED = 128;

  @TempDir
  Path dir;

  private static RingClient connectRing(Gateway gateway) throws IOException {
    RingClient client = new RingClient(RingClient.Options.allFeatures(1, 64, 4096));
    client.connect(gateway.socketPath("stock"));
    return client;
  }

  private static void write(Gateway gateway, byte value) throws IOException {
    byte[] bytes = new byte[4096];
    Arrays.fill(bytes, value);
    try (RingClient client = connectRing(gateway)) {
      assertEquals(SERVED, RingRequests.execute(client, IoKind.WRITE, 0, 4096, bytes));
      assertEquals(SERVED, RingRequests.execute(client, IoKind.WRITE, TestDeployment.EXTENT_BYTES, 4096,
          bytes));
    }
  }

  private static void assertReads(Gateway gateway, byte value) throws IOException {
    byte[] expected = new byte[4096];
    Arrays.fill(expected, value);
    byte[] actual = new byte[4096];
    try (RingClient client = connectRing(gateway)) {
      assertEquals(SERVED, RingRequests.execute(client, IoKind.READ, 0, 4096, actual));
      assertArrayEquals(expected, actual);
      assertEquals(SERVED, RingRequests.execute(client, IoKind.READ, TestDeployment.EXTENT_BYTES, 4096,
          actual));
      assertArrayEquals(expected, actual);
    }
  }

  /** Guards against a gateway whose epoch restarted: nodes answered none of its requests. */
  @Test
  void lostStateFolderServesAgainWithNewerEpoch() throws Exception {
    try (TestDeployment site = new TestDeployment(dir, 2)) {
      for (int i = 0; i < 3; i++) {
        Gateway g = site.startGateway("gw", 0);
        write(g, (byte) (1 + i));
        assertTrue(g.close());
      }
      Files.delete(dir.resolve("gw-state/epoch"));
      Gateway lost = site.startGateway("gw", 0);
      assertEquals(4, lost.epoch());
      assertReads(lost, (byte) 3);
      assertTrue(lost.close());
      Files.writeString(dir.resolve("gw-state/epoch"), "2\n");
      Gateway older = site.startGateway("gw", 0);
      assertEquals(5, older.epoch());
      write(older, (byte) 9);
      assertReads(older, (byte) 9);
    }
  }

  /** The only node that knows the newest epoch is unreachable at the start. */
  @Test
  void epochLearntLateIsExceededInService() throws Exception {
    try (TestDeployment site = new TestDeployment(dir, 2)) {
      Gateway g = site.startGateway("gw", 0);
      write(g, (byte) 1);
      assertTrue(g.close());
      Files.writeString(dir.resolve("gw-state/epoch"), "40\n");
      Gateway high = site.startGateway("gw", 0);
      assertEquals(41, high.epoch());
      byte[] bytes = new byte[4096];
      try (RingClient c = connectRing(high)) {
        // Only node 0 learns of epoch 41.
        assertEquals(SERVED, RingRequests.execute(c, IoKind.WRITE, 0, 4096, bytes));
      }
      assertTrue(high.close());
      Files.delete(dir.resolve("gw-state/epoch"));
      site.disks.get(0).disconnectNetwork();
      Gateway late = site.startGateway("gw", 0);
      assertEquals(2, late.epoch(), "node 1 knows 1");
      site.disks.get(0).reconnectNetwork();
      byte[] got = new byte[4096];
      try (RingClient c = connectRing(late)) {
        Awaitility.await()
            .atMost(30, TimeUnit.SECONDS)
            .until(() -> RingRequests.execute(c, IoKind.READ, 0, 4096,
                got) == SERVED);
      }
      assertEquals(42, late.epoch());
      assertFalse(late.superseded().isDone());
    }
  }

  @Test
  void secondLiveGatewayOfSameNameDoesNotStart() throws Exception {
    try (TestDeployment site = new TestDeployment(dir, 2)) {
      Gateway first = site.startGateway("gw", 0);
      write(first, (byte) 5);
      IOException same = assertThrows(IOException.class, () -> site.startGateway("gw", 0));
      assertTrue(same.getMessage().contains("state folder"), same.getMessage());
      IOException other = assertThrows(IOException.class, () -> new Gateway(site.deploymentWithFolder("gw",
          "elsewhere")));
      assertTrue(other.getMessage().contains("another gateway named gw lives, with epoch 1"), other
          .getMessage());
      assertReads(first, (byte) 5);
    }
  }

  /** If the operator is wrong, both gateways run: the older one is notified, answers each request and
   * ends. */
  @Test
  void olderOfTwoLiveGatewaysEndsAndRunsNothing() throws Exception {
    try (TestDeployment site = new TestDeployment(dir, 2)) {
      Gateway first = site.startGateway("gw", 0);
      write(first, (byte) 5);
      Gateway second = new Gateway(site.deploymentWithFolder("gw", "elsewhere"), true);
      site.gateways.add(second);
      write(second, (byte) 6);
      long before = countEffects(site, 1);
      byte[] bytes = new byte[4096];
      try (RingClient c = connectRing(first)) {
        assertEquals(REFUSED, RingRequests.execute(c, IoKind.WRITE, 0, 4096, bytes), "never run");
        first.superseded().get(10, TimeUnit.SECONDS);
        long from = System.nanoTime();
        for (int i = 0; i < 50; i++) {
          assertEquals(REFUSED, RingRequests.execute(c, IoKind.WRITE, 0, 4096, bytes));
        }
        long us = (System.nanoTime() - from) / 1_000;
        assertTrue(us < 10 * site.deadlineUs, "refused immediately, not at 50 deadlines: " + us);
      }
      assertFalse(second.superseded().isDone());
      assertEquals(before, countEffects(site, 1));
      assertReads(second, (byte) 6);
      assertTrue(first.close());
    }
  }

  /** Returns the number of commands of an epoch that took effect. */
  private static long countEffects(TestDeployment site, long epoch) {
    return site.disks.stream()
        .flatMap(d -> d.commands().stream())
        .filter(c -> c.client().equals("gw/" + epoch) && List.of(CommandRecord.Result.DONE,
            CommandRecord.Result.DONE_SILENTLY).contains(c.result()))
        .count();
  }
}
