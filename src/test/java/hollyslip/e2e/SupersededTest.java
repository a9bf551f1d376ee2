package hollyslip.e2e;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hollyslip.gateway.Gateway;
import hollyslip.load.RingClient;
import hollyslip.standin.Command;
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

/** State folders that were lost or copied, and two gateways of one name. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SupersededTest {
  private static final int SERVED = 0, REFUSED = 128;

  @TempDir
  Path dir;

  private static RingClient connectRing(Gateway g) throws IOException {
    RingClient c = new RingClient(RingClient.Options.usual(1, 64, 4096));
    c.connect(g.socket("stock"));
    return c;
  }

  private static void write(Gateway g, byte value) throws IOException {
    byte[] bytes = new byte[4096];
    Arrays.fill(bytes, value);
    try (RingClient c = connectRing(g)) {
      assertEquals(SERVED, RingRequests.execute(c, IoKind.WRITE, 0, 4096, bytes));
      assertEquals(SERVED, RingRequests.execute(c, IoKind.WRITE, TestDeployment.EXTENT_BYTES, 4096, bytes));
    }
  }

  private static void assertReads(Gateway g, byte value) throws IOException {
    byte[] want = new byte[4096];
    Arrays.fill(want, value);
    byte[] got = new byte[4096];
    try (RingClient c = connectRing(g)) {
      assertEquals(SERVED, RingRequests.execute(c, IoKind.READ, 0, 4096, got));
      assertArrayEquals(want, got);
      assertEquals(SERVED, RingRequests.execute(c, IoKind.READ, TestDeployment.EXTENT_BYTES, 4096, got));
      assertArrayEquals(want, got);
    }
  }

  /** Nodes stayed silent to every request of a gateway whose epoch had begun again. */
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

  /** The one node that knows the newest epoch is away at the start. */
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
        // Node 0 alone hears of 41.
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
      IOException e = assertThrows(IOException.class, () -> new Gateway(site.deploymentWithFolder("gw",
          "elsewhere")));
      assertTrue(e.getMessage().contains("another gateway named gw lives, with epoch 1"), e.getMessage());
      assertReads(first, (byte) 5);
    }
  }

  /** Both would run if the operator is wrong: the older one is told, answers each request and ends. */
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
        assertTrue(us < 10 * site.deadlineUs, "refused at once, not at 50 deadlines: " + us);
      }
      assertFalse(second.superseded().isDone());
      assertEquals(before, countEffects(site, 1));
      assertReads(second, (byte) 6);
      assertTrue(first.close());
    }
  }

  /** Commands of an epoch that had an effect. */
  private static long countEffects(TestDeployment site, long epoch) {
    return site.disks.stream()
        .flatMap(d -> d.commands().stream())
        .filter(c -> c.client().equals("gw/" + epoch) && List.of(Command.Result.DONE,
            Command.Result.DONE_SILENTLY).contains(c.result()))
        .count();
  }
}
