package hollyslip.e2e;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hollyslip.HostScheduler.NodeEntry;
import hollyslip.HostScheduler.NodeList;
import hollyslip.HostScheduler.NodeState;
import hollyslip.engine.Engine;
import hollyslip.gateway.Gateway;
import hollyslip.load.RingClient;
import hollyslip.node.Nbd;
import hollyslip.settings.Deployment;
import hollyslip.standin.CommandRecord;
import hollyslip.standin.StandInDiskServer;
import hollyslip.volume.IoKind;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards against requests that reach a node that does not hold their data after the node list was replaced
 * in service. */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class NodeListChangeTest {
  private static final int BLOCK_BYTES = 4096;

  /** Units per second that can be reserved on each shard. */
  private static final double CAPACITY = 100_000;

  /** How long after a node has left the list it may still receive new commands, us: the drain grace. */
  private static final long GRACE_US = 1_000_000;

  /** How long a node delays a late write, and how long its client waits for it, us. */
  private static final long WRITE_DELAY_US = 3_000_000, DEADLINE_US = 800_000;

  @TempDir
  Path dir;

  private static Deployment.Node node(long id, String name, StandInDiskServer server, int shard) {
    return new Deployment.Node(id, name, "127.0.0.1", server.address().getPort(), "a", shard, NodeState.ON,
        CAPACITY, TestDeployment.SHARD_BYTES);
  }

  private static StandInDiskServer spare() throws Exception {
    return new StandInDiskServer(StandInDiskServer.Config.plain("spare", TestDeployment.SHARD_BYTES, true));
  }

  private static Deployment withNodes(Deployment d, List<Deployment.Node> nodes) {
    return new Deployment(d.gateway(), d.classes(), d.classificationRules(), d.plans(), d.rules(), d
        .allowed(),
        d.store(), nodes, d.volumes());
  }

  private static Gateway startGateway(TestDeployment site, List<Deployment.Node> nodes) throws Exception {
    Gateway gateway = new Gateway(withNodes(site.deployment("gw-0", 0, List.of()), nodes));
    site.gateways.add(gateway);
    return gateway;
  }

  private static void replaceNodes(Gateway gateway, TestDeployment site, List<Deployment.Node> nodes) {
    gateway.replaceNodes(withNodes(site.deployment("gw-0", 0, List.of()), nodes));
  }

  private static byte[] block(int fill) {
    byte[] bytes = new byte[BLOCK_BYTES];
    Arrays.fill(bytes, (byte) fill);
    return bytes;
  }

  private static long extent(int index) {
    return index * TestDeployment.EXTENT_BYTES;
  }

  private static void awaitWritten(RingClient client, long offset, byte[] bytes) {
    Awaitility.await()
        .pollInterval(5, TimeUnit.MILLISECONDS)
        .atMost(60, TimeUnit.SECONDS)
        .until(() -> RingRequests.execute(client, IoKind.WRITE, offset, BLOCK_BYTES, bytes) == 0);
  }

  private static byte[] awaitRead(RingClient client, long offset) {
    byte[] bytes = new byte[BLOCK_BYTES];
    Awaitility.await()
        .pollInterval(5, TimeUnit.MILLISECONDS)
        .atMost(60, TimeUnit.SECONDS)
        .until(() -> RingRequests.execute(client, IoKind.READ, offset, BLOCK_BYTES, bytes) == 0);
    return bytes;
  }

  /** Rows without an id are numbered by place. When the first row goes, the numbers of those behind it move
   * up, and reads showed the data of other shards. */
  @Test
  void readsShowTheirOwnShardAfterTheFirstRowOfTheListGoes() throws Exception {
    try (TestDeployment site = new TestDeployment(dir, 3);
        StandInDiskServer spare = spare();
        RingClient client = new RingClient(RingClient.Options.allFeatures(1, 16, BLOCK_BYTES))) {
      List<Deployment.Node> before = new ArrayList<>();
      for (int shard = 0; shard < 3; shard++) {
        before.add(node(shard + 1, "store-" + shard, site.disks.get(shard), shard));
      }
      Gateway gateway = startGateway(site, before);
      client.connect(gateway.socketPath("stock"));
      for (int shard = 0; shard < 3; shard++) {
        awaitWritten(client, extent(shard), block(shard + 1));
      }
      replaceNodes(gateway, site, List.of(node(1, "store-1", site.disks.get(1), 1), node(2, "store-2",
          site.disks.get(2), 2), node(3, "store-3", spare, 0)));
      awaitWritten(client, extent(0), block(9));
      assertArrayEquals(block(9), awaitRead(client, extent(0)));
      assertArrayEquals(block(2), awaitRead(client, extent(1)));
      assertArrayEquals(block(3), awaitRead(client, extent(2)));
      assertArrayEquals(block(9), spare.read("shard-0", 0, BLOCK_BYTES));
    }
  }

  /** A node that kept its id but moved to another address: writes went to the former address, where they were
   * lost. */
  @Test
  void writesFollowANodeToItsNewAddress() throws Exception {
    try (TestDeployment site = new TestDeployment(dir, 1);
        StandInDiskServer spare = spare();
        RingClient client = new RingClient(RingClient.Options.allFeatures(1, 16, BLOCK_BYTES))) {
      StandInDiskServer former = site.disks.get(0);
      Gateway gateway = startGateway(site, List.of(node(100, "store-0", former, 0)));
      client.connect(gateway.socketPath("stock"));
      awaitWritten(client, 0, block(1));
      long changedAt = Engine.monotonicMicros();
      replaceNodes(gateway, site, List.of(node(100, "store-0", spare, 0)));
      int version = 1;
      while (Engine.monotonicMicros() < changedAt + 2 * GRACE_US) {
        awaitWritten(client, 0, block(++version));
      }
      long lastAtFormer = former.commands().stream().mapToLong(CommandRecord::receivedUs).max().orElseThrow();
      assertTrue(lastAtFormer <= changedAt + GRACE_US, "last command at the former address after us: "
          + (lastAtFormer - changedAt));
      assertArrayEquals(block(version), spare.read("shard-0", 0, BLOCK_BYTES));
    }
  }

  /** A server that gets another name has the same data: a late write of before must not overwrite a newer
   * one. */
  @Test
  void aLateWriteIsFencedAfterItsNodeWasRenamed() throws Exception {
    try (TestDeployment site = new TestDeployment(dir, 1);
        RingClient client = new RingClient(RingClient.Options.allFeatures(1, 16, BLOCK_BYTES))) {
      site.deadlineUs = DEADLINE_US;
      StandInDiskServer disk = site.disks.get(0);
      Gateway gateway = startGateway(site, List.of(node(1, "store-0", disk, 0)));
      client.connect(gateway.socketPath("stock"));
      awaitRead(client, 0);
      disk.faults.writeDelayUs = WRITE_DELAY_US;
      int[] first = {-1};
      client.submit(0, IoKind.WRITE, 0, BLOCK_BYTES, ByteBuffer.wrap(block(1)), (status, retry,
          d) -> first[0] = status);
      // Answered after the write was sent, so that the node does not appear dead.
      awaitRead(client, extent(1));
      Awaitility.await().until(() -> client.await(10) && client.poll() >= 0 && first[0] > 0);
      replaceNodes(gateway, site, List.of(node(1, "renamed-0", disk, 0)));
      disk.faults.clear();
      awaitWritten(client, 0, block(2));
      Awaitility.await()
          .until(() -> disk.commands().stream().filter(c -> c.kind() == Nbd.CMD_WRITE).count() >= 2);
      assertArrayEquals(block(2), awaitRead(client, 0));
      assertTrue(disk.commands().stream().anyMatch(c -> c.result() == CommandRecord.Result.FENCED),
          "connections under both names count as one gateway's");
    }
  }

  /** A node that an administrator drained was listed as on until the recorded states were read again. */
  @Test
  void aNodeDrainedByAnAdministratorStaysDrainingWhileTheListIsReplaced() throws Exception {
    try (TestDeployment site = new TestDeployment(dir, 2)) {
      site.hosted = true;
      List<Deployment.Node> nodes = List.of(node(1, "store-0", site.disks.get(0), 0), node(2, "store-1",
          site.disks.get(1), 1));
      Gateway gateway = startGateway(site, nodes);
      gateway.control()
          .execute((handler, at) -> handler.setNodeState(at, "operator", "store-1", 0, NodeState.DRAINING),
              records -> null)
          .get(20, TimeUnit.SECONDS);
      Awaitility.await().until(() -> stateOf(gateway, 2) == NodeState.DRAINING);
      CountDownLatch release = new CountDownLatch(1);
      gateway.control().read(records -> awaitQuietly(release));
      Thread reload = new Thread(() -> replaceNodes(gateway, site, nodes));
      reload.start();
      for (int i = 0; i < 50; i++) {
        assertEquals(NodeState.DRAINING, stateOf(gateway, 2));
        Thread.sleep(5);
      }
      release.countDown();
      reload.join(20_000);
      assertEquals(NodeState.DRAINING, stateOf(gateway, 2));
    }
  }

  private static boolean awaitQuietly(CountDownLatch latch) {
    try {
      return latch.await(20, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private static NodeState stateOf(Gateway gateway, long node) {
    return gateway.membership()
        .list()
        .stream()
        .filter(entry -> entry.node() == node)
        .findFirst()
        .orElseThrow()
        .state();
  }

  /** Whatever the scheduler holds for true, nothing goes to a node that holds another shard. */
  @Test
  void aRequestForAnotherShardIsNotSent() throws Exception {
    try (TestDeployment site = new TestDeployment(dir, 2);
        RingClient client = new RingClient(RingClient.Options.allFeatures(1, 16, BLOCK_BYTES))) {
      Gateway gateway = startGateway(site, List.of(node(1, "store-0", site.disks.get(0), 0), node(2,
          "store-1",
          site.disks.get(1), 1)));
      client.connect(gateway.socketPath("stock"));
      awaitWritten(client, extent(0), block(1));
      awaitWritten(client, extent(1), block(2));
      gateway.lanes().updateNodes(new NodeList(true, List.of()));
      gateway.lanes()
          .updateNodes(new NodeList(true, List.of(new NodeEntry(1, "a", 1, NodeState.ON, 0), new NodeEntry(2,
              "a", 0, NodeState.ON, 0))));
      assertNotEquals(0, RingRequests.execute(client, IoKind.WRITE, extent(0), BLOCK_BYTES, block(9)));
      assertNotEquals(0, RingRequests.execute(client, IoKind.READ, extent(1), BLOCK_BYTES, block(0)));
      assertArrayEquals(block(1), site.disks.get(0).read("shard-0", 0, BLOCK_BYTES));
      assertArrayEquals(block(2), site.disks.get(1).read("shard-1", 0, BLOCK_BYTES));
    }
  }
}
