package hollyslip.e2e;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hollyslip.gateway.Gateway;
import hollyslip.load.RingClient;
import hollyslip.node.Nbd;
import hollyslip.standin.CommandRecord;
import hollyslip.volume.IoKind;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A gateway with several lanes: volumes that move between them, and a lane that stalls. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class LanesTest {
  private static final int BLOCK = 4096, BLOCKS = 256;

  @TempDir
  Path dir;

  private static RingClient connectRing(Gateway gateway, String volume) throws IOException {
    RingClient client = new RingClient(RingClient.Options.allFeatures(1, 256, BLOCK));
    client.connect(gateway.socketPath(volume));
    return client;
  }

  private TestDeployment twoLaneDeployment() throws IOException {
    TestDeployment site = new TestDeployment(dir, 2);
    site.cores = 2;
    return site;
  }

  /** Writes every block once per round with the number of the round, 256 writes in flight, and runs
   * {@code meanwhile} in each round. Returns the number of answers by status. */
  private static int[] writeRounds(RingClient client, int rounds, Runnable meanwhile) {
    int[] answers = new int[256];
    for (int round = 1; round <= rounds; round++) {
      byte[] bytes = new byte[BLOCK];
      Arrays.fill(bytes, (byte) round);
      for (int block = 0; block < BLOCKS; block++) {
        assertTrue(client.submit(0, IoKind.WRITE, (long) block * BLOCK, BLOCK, ByteBuffer.wrap(bytes),
            (status, retryMs, data) -> answers[status]++));
      }
      client.kick();
      meanwhile.run();
      while (client.inFlight() > 0) {
        assertTrue(client.await(1_000));
        client.poll();
      }
    }
    return answers;
  }

  private static long countWrites(TestDeployment site) {
    return site.disks.stream()
        .flatMap(d -> d.commands().stream())
        .filter(c -> c.kind() == Nbd.CMD_WRITE && c.result() == CommandRecord.Result.DONE)
        .count();
  }

  @Test
  void movedVolumeLosesAndRepeatsNoneOf256RequestsInFlight() throws Exception {
    try (TestDeployment site = twoLaneDeployment()) {
      Gateway g = site.startGateway("gw", 0);
      int home = g.lanes().laneOf("stock");
      assertNotEquals(home, g.lanes().laneOf("orders"));
      try (RingClient c = connectRing(g, "stock")) {
        int rounds = 20;
        int[] answers = writeRounds(c, rounds, () -> g.lanes().move("stock", 1 - g.lanes().laneOf("stock")));
        assertEquals(rounds * BLOCKS, answers[0], "served: " + Arrays.toString(answers));
        assertEquals(rounds * BLOCKS, countWrites(site), "each takes effect once");
        byte[] want = new byte[BLOCK];
        Arrays.fill(want, (byte) rounds);
        byte[] got = new byte[BLOCK];
        for (int b = 0; b < BLOCKS; b++) {
          assertEquals(0, RingRequests.execute(c, IoKind.READ, (long) b * BLOCK, BLOCK, got));
          assertArrayEquals(want, got, "block " + b);
        }
      }
    }
  }

  /** A limit has one token bucket, on the lane of its volume; moving the volume adds no tokens. */
  @Test
  void limitHoldsWhileItsVolumeMovesBetweenLanes() throws Exception {
    try (TestDeployment site = twoLaneDeployment()) {
      Gateway g = site.startGateway("gw", 0);
      try (RingClient c = connectRing(g, "capped")) {
        int done = 0;
        int[] answered = {0};
        for (int i = 0; done < 4_000; i++) {
          while (c.inFlight() < 64) {
            c.submit(0, IoKind.READ, (i & 255L) * BLOCK, BLOCK, null, (s, r, d) -> answered[0]++);
            done++;
          }
          c.kick();
          if (i % 16 == 0) {
            g.lanes().move("capped", 1 - g.lanes().laneOf("capped"));
          }
          assertTrue(c.await(100));
          c.poll();
        }
        while (c.inFlight() > 0) {
          assertTrue(c.await(1_000));
          c.poll();
        }
        assertEquals(done, answered[0]);
      }
      long[] at = site.disks.stream()
          .flatMap(d -> d.commands().stream())
          .mapToLong(CommandRecord::receivedUs)
          .sorted()
          .toArray();
      assertTrue(at.length > 1_000, "sent: " + at.length);
      double level = 0;
      for (int i = 0; i < at.length; i++) {
        level = Math.max(0, level - (i == 0 ? 0 : (at[i] - at[i - 1]) * site.limitedPlan.limit() / 1e6)) + 1;
        assertTrue(level <= site.limitedPlan.limitBurst() + site.limitedPlan.limitSlack(), "level " + level);
      }
    }
  }

  @Test
  void stalledLaneDelaysNoOther() throws Exception {
    try (TestDeployment site = twoLaneDeployment()) {
      Gateway g = site.startGateway("gw", 0);
      CountDownLatch free = new CountDownLatch(1);
      CompletableFuture<Void> stalled = new CompletableFuture<>();
      try (RingClient held = connectRing(g, "stock"); RingClient other = connectRing(g, "orders")) {
        g.lanes().lane(g.lanes().laneOf("stock")).execute(() -> {
          stalled.complete(null);
          try {
            free.await(30, TimeUnit.SECONDS);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
        stalled.get(10, TimeUnit.SECONDS);
        int[] heldAnswers = new int[256];
        for (int i = 0; i < 100; i++) {
          assertTrue(held.submit(0, IoKind.READ, (long) i * BLOCK, BLOCK, null, (s, r,
              d) -> heldAnswers[s]++));
        }
        held.kick();
        assertEquals(4 * BLOCKS, writeRounds(other, 4, () -> {})[0], "the other lane is not delayed");
        held.poll();
        assertEquals(0, heldAnswers[0]);
        free.countDown();
        while (held.inFlight() > 0) {
          assertTrue(held.await(1_000));
          held.poll();
        }
        assertEquals(100, Arrays.stream(heldAnswers).sum(), "each has one answer");
      }
    }
  }

  /** All lanes of a gateway share one name and epoch: no lane fences another, and the first connection of any
   * lane of a restarted gateway fences all lanes of the killed one. */
  @Test
  void lanesShareOneNameAndOneFence() throws Exception {
    try (TestDeployment site = twoLaneDeployment()) {
      Gateway g = site.startGateway("gw", 0);
      try (RingClient a = connectRing(g, "stock"); RingClient b = connectRing(g, "orders")) {
        assertEquals(BLOCKS, writeRounds(a, 1, () -> {})[0]);
        assertEquals(BLOCKS, writeRounds(b, 1, () -> {})[0]);
        assertEquals(BLOCKS, writeRounds(a, 1, () -> {})[0],
            "a connection of one lane does not fence the other");
        assertTrue(site.disks.stream()
            .flatMap(d -> d.commands().stream())
            .noneMatch(c -> c.result() == CommandRecord.Result.FENCED));
        long[] requests = site.disks.stream()
            .flatMap(d -> d.commands().stream())
            .mapToLong(c -> c.cookie() >> 12)
            .toArray();
        assertEquals(3 * BLOCKS, Arrays.stream(requests).distinct().count(),
            "request numbers of two lanes differ");
      }
      assertTrue(g.close());
    }
  }
}
