package hollyslip.e2e;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hollyslip.HostScheduler.NodeState;
import hollyslip.audit.RequestRecord;
import hollyslip.audit.Auditor.Rule;
import hollyslip.audit.OperatorEvent;
import hollyslip.HostScheduler.Plan;
import hollyslip.gateway.Gateway;
import hollyslip.engine.Engine;
import hollyslip.front.sys.Linux;
import hollyslip.load.GatewayProcess;
import hollyslip.load.RingClient;
import hollyslip.load.RingLoad;
import hollyslip.node.Nbd;
import hollyslip.settings.Deployment;
import hollyslip.standin.CommandRecord;
import hollyslip.standin.StandInDiskServer;
import hollyslip.standin.Faults;
import hollyslip.volume.IoKind;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Fault scenarios of a running gateway over real rings and sockets, checked by the audit. */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class HardCasesTest {
  @TempDir
  Path dir;

  private static void awaitUntil(java.util.concurrent.Callable<Boolean> condition) {
    Awaitility.await().pollInterval(5, TimeUnit.MILLISECONDS).atMost(60, TimeUnit.SECONDS).until(condition);
  }

  /** A client leaves while one node answers nothing, and another node is set to draining under load: each
   * request of the others is answered once, and the drained node gets no command after its grace period. */
  @Test
  void eachOfTenThousandRequestsIsAnsweredOnceAndDrainedNodeGetsNone() throws Exception {
    try (TestDeployment site = new TestDeployment(dir, 4, i -> StandInDiskServer.Config.timed("disk-" + i,
        TestDeployment.SHARD_BYTES, 8, 64, 300,
        5 + i))) {
      site.deadlineUs = 600_000;
      Gateway g = site.startGateway();
      LoadScenario run = new LoadScenario(site);
      for (int i = 0; i < 4; i++) {
        run.start(run.addLoad("c" + i, "gw-0", g.socketPath(i % 2 == 0 ? "stock" : "orders"), i % 2 == 0
            ? "stock"
            : "orders", i / 2, 2, 2_500, 64));
      }
      RingLoad leaver = run.addLoad("leaver", "gw-0", g.socketPath("capped"), "capped", 0, 1, 60, 32);
      awaitUntil(() -> run.loads.get(0).requestCount() > 400);
      site.disks.get(1).faults.silent = true;
      leaver.runThenVanish();
      long at = Engine.monotonicMicros();
      assertTrue(g.membership().setState(102, NodeState.DRAINING));
      run.operatorEvents.add(new OperatorEvent.NodeStateChange("gw-0", "disk-2", NodeState.DRAINING, at));
      awaitUntil(() -> run.loads.get(0).requestCount() > 1_200);
      site.disks.get(1).faults.clear();
      run.join();
      assertEquals(10_000, run.requests()
          .stream()
          .filter(a -> !a.client().equals("leaver") && a.answers() == 1)
          .count());
      assertEquals(List.of(), run.audit().breaches());
      assertEquals(List.of(), run.wrongReads());
      assertTrue(run.count(RequestRecord.Answer.SERVED) > 5_000 && run.count(RequestRecord.Answer.REFUSED) > 0
          && run.count(RequestRecord.Answer.FAILED) > 0, "answers of each kind");
      assertTrue(run.audit().checked().get(Rule.NO_EFFECT_TWICE) > 1_000);
      assertTrue(run.requests().stream().anyMatch(RequestRecord::left));
      long lastAtDrained = site.disks.get(2)
          .commands()
          .stream()
          .mapToLong(c -> c.receivedUs())
          .max()
          .orElseThrow();
      assertTrue(lastAtDrained <= at + 1_000_000, "last command " + (lastAtDrained - at)
          + " us after the node was set to draining");
    }
  }

  /** A write fails while its node delays it, a newer write to the same blocks is answered, and then the old
   * one is due. With a fence it never takes effect; with a node that does not support fences, the gateway
   * waits for the settle time before it sends the newer write. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void lateWriteNeverOverwritesNewerOne(boolean fences) throws Exception {
    try (TestDeployment site = new TestDeployment(dir, 1, i -> new StandInDiskServer.Config("disk-0",
        TestDeployment.SHARD_BYTES, StandInDiskServer.Config.plain("", 1, true).model(), 1, 3_600_000_000L,
        fences,
        true));
        RingClient client = new RingClient(RingClient.Options.allFeatures(1, 16, 4096))) {
      site.deadlineUs = 800_000;
      client.connect(site.startGateway().socketPath("stock"));
      StandInDiskServer disk = site.disks.get(0);
      byte[] old = new byte[4096];
      byte[] fresh = new byte[4096];
      Arrays.fill(old, (byte) 1);
      Arrays.fill(fresh, (byte) 2);
      assertEquals(0, RingRequests.execute(client, IoKind.READ, 0, 4096, new byte[4096]));
      disk.faults.writeDelayUs = 1_000_000;
      int[] first = {-1};
      client.submit(0, IoKind.WRITE, 0, 4096, ByteBuffer.wrap(old), (status, retry, d) -> first[0] = status);
      // Answered after the write was sent, so that the node does not appear dead.
      assertEquals(0, RingRequests.execute(client, IoKind.READ, 65536, 4096, new byte[4096]));
      awaitUntil(() -> client.await(10) && client.poll() >= 0 && first[0] == 1);
      disk.faults.clear();
      assertEquals(0, RingRequests.execute(client, IoKind.WRITE, 0, 4096, fresh));
      awaitUntil(() -> disk.commands().stream().filter(c -> c.kind() == Nbd.CMD_WRITE).count() == 2);
      byte[] back = new byte[4096];
      assertEquals(0, RingRequests.execute(client, IoKind.READ, 0, 4096, back));
      assertArrayEquals(fresh, back);
      assertEquals(fences, disk.commands().stream().anyMatch(c -> c.result() == CommandRecord.Result.FENCED));
    }
  }

  /** A node dies with a write of unknown outcome and another node takes over its shard: the blocks of that
   * write must not stay locked forever. */
  @Test
  void replacedNodeKeepsNoBlocksLocked() throws Exception {
    try (TestDeployment site = new TestDeployment(dir, 1);
        StandInDiskServer spare = new StandInDiskServer(StandInDiskServer.Config.plain("spare",
            TestDeployment.SHARD_BYTES, true));
        RingClient client = new RingClient(RingClient.Options.allFeatures(1, 16, 4096))) {
      site.deadlineUs = 800_000;
      Gateway g = site.startGateway();
      client.connect(g.socketPath("stock"));
      assertEquals(0, RingRequests.execute(client, IoKind.READ, 0, 4096, new byte[4096]));
      site.disks.get(0).faults.silent = true;
      int[] first = {-1};
      client.submit(0, IoKind.WRITE, 0, 4096, ByteBuffer.wrap(new byte[4096]), (status, retry,
          d) -> first[0] = status);
      client.kick();
      awaitUntil(() -> site.disks.get(0).commands().stream().anyMatch(c -> c.kind() == Nbd.CMD_WRITE));
      site.disks.get(0).kill();
      awaitUntil(() -> client.await(10) && client.poll() >= 0 && first[0] == 1);
      Deployment d = site.deployment("gw-0", 0, List.of());
      g.replaceNodes(new Deployment(d.gateway(), d.classes(), d.classificationRules(), d.plans(), d.rules(), d
          .allowed(), d.store(),
          List.of(new Deployment.Node(200, "spare", "127.0.0.1", spare.address().getPort(), "a", 0,
              NodeState.ON)), d.volumes()));
      awaitUntil(() -> RingRequests.execute(client, IoKind.WRITE, 0, 4096, new byte[4096]) == 0);
    }
  }

  /** A gateway that is killed with full rings recovers the requests that it had accepted: each is answered
   * once, and no write runs twice out of order. */
  @Test
  void killedGatewayAnswersEverythingOnceAfterRestart() throws Exception {
    try (TestDeployment site = new TestDeployment(dir, 3, i -> StandInDiskServer.Config.timed("disk-" + i,
        TestDeployment.SHARD_BYTES, 2, 256,
        1_500, i))) {
      Path settings = site.writeSettings("gw-0", 0, 1);
      GatewayProcess gateway = new GatewayProcess(settings, dir.resolve("log"));
      LoadScenario run = new LoadScenario(site);
      for (int i = 0; i < 2; i++) {
        run.start(run.addLoad("c" + i, "gw-0", dir.resolve("gw-0/stock.sock"), "stock", i, 2, 1_500, 64));
      }
      for (int kill = 1; kill <= 3; kill++) {
        int asked = kill * 400;
        awaitUntil(() -> run.loads.get(0).requestCount() > asked);
        gateway.kill();
        gateway = new GatewayProcess(settings, dir.resolve("log"));
      }
      run.join();
      assertEquals(0, gateway.stop());
      assertEquals(3_000, run.requests().stream().filter(a -> a.answers() == 1).count());
      assertEquals(List.of(), run.audit().breaches());
      assertEquals(List.of(), run.wrongReads());
    }
  }

  /** Replies that violate the protocol or are truncated affect only their connection. */
  @Test
  void protocolViolationsOfNodeAffectOnlyItsConnection() throws Exception {
    try (TestDeployment site = new TestDeployment(dir, 2)) {
      site.deadlineUs = 500_000;
      Gateway g = site.startGateway();
      LoadScenario run = new LoadScenario(site);
      run.gapUs = 500;
      RingLoad load = run.addLoad("c", "gw-0", g.socketPath("stock"), "stock", 0, 1, 2_500, 16);
      run.start(load);
      Faults f = site.disks.get(0).faults;
      int at = 0;
      for (Faults.ProtocolViolation m : Faults.ProtocolViolation.values()) {
        f.protocolViolation = m;
        at += 250;
        int next = at;
        awaitUntil(() -> load.requestCount() > next);
      }
      f.protocolViolation = Faults.ProtocolViolation.NONE;
      f.truncatedReplyBytes = 100;
      awaitUntil(() -> f.truncatedReplyBytes == 0 && load.requestCount() > 1_800);
      f.resetRate = 0.05;
      awaitUntil(() -> load.requestCount() > 2_200);
      f.clear();
      run.join();
      assertEquals(2_500, run.requests().stream().filter(a -> a.answers() == 1).count());
      assertEquals(List.of(), run.audit().breaches());
      assertEquals(List.of(), run.wrongReads());
      assertTrue(run.count(RequestRecord.Answer.SERVED) > 1_500, run.count(RequestRecord.Answer.SERVED)
          + " served");
    }
  }

  /** Clients die with requests queued and in flight: their memory and descriptors are released once nothing
   * can write to them any more, and other clients are still served. */
  @Test
  void deadClientsMemoryIsReleasedAndOthersAreServed() throws Exception {
    try (TestDeployment site = new TestDeployment(dir, 2, i -> StandInDiskServer.Config.timed("disk-" + i,
        TestDeployment.SHARD_BYTES, 2, 256,
        3_000, i))) {
      Gateway g = site.startGateway();
      LoadScenario run = new LoadScenario(site);
      RingLoad other = run.addLoad("c", "gw-0", g.socketPath("orders"), "orders", 0, 1, 600, 8);
      run.start(other);
      awaitUntil(() -> other.requestCount() > 20);
      int mappings = Linux.mappingCount();
      long fds = openDescriptors();
      for (int i = 0; i < 10; i++) {
        run.addLoad("leaver-" + i, "gw-0", g.socketPath("stock"), "stock", 0, 1, 90, 64).runThenVanish();
      }
      awaitUntil(() -> Linux.mappingCount() == mappings);
      awaitUntil(() -> openDescriptors() <= fds);
      run.join();
      assertEquals(600, run.requests()
          .stream()
          .filter(a -> a.client().equals("c") && a.answers() == 1)
          .count());
      assertEquals(List.of(), run.audit().breaches());
      assertTrue(g.lanes().totals().departed() > 0);
    }
  }

  private static long openDescriptors() throws java.io.IOException {
    try (var all = java.nio.file.Files.list(Path.of("/proc/self/fd"))) {
      return all.count();
    }
  }

  /** Four gateway processes and a node that restarts cold: together they send it no more than it can serve,
   * and a limit holds over all of them while they are restarted one by one. */
  @Test
  void gatewaysRespectColdNodeAndLimitAcrossRestarts() throws Exception {
    try (TestDeployment site = new TestDeployment(dir, 2, i -> StandInDiskServer.Config.timed("disk-" + i,
        TestDeployment.SHARD_BYTES, 4, 256, 500,
        i))) {
      site.hosts = 4;
      site.coldUs = 3_000_000;
      site.limitedPlan = new Plan("limited", 400, 200, 1, 1, 800, 160, 16);
      LoadScenario run = new LoadScenario(site);
      run.gapUs = 4_000;
      run.maxBlocks = 2;
      GatewayProcess[] children = new GatewayProcess[4];
      for (int i = 0; i < 4; i++) {
        children[i] = new GatewayProcess(site.writeSettings("gw-" + i, i, 4), dir.resolve("log-" + i));
        run.start(run.addLoad("a" + i, "gw-" + i, dir.resolve("gw-" + i + "/capped.sock"), "capped", i, 4, 0,
            64));
        run.start(run.addLoad("b" + i, "gw-" + i, dir.resolve("gw-" + i + "/stock.sock"), "stock", i, 4, 0,
            64));
      }
      awaitUntil(() -> run.loads.stream().allMatch(l -> l.requestCount() > 200));
      run.operatorEvents.add(new OperatorEvent.NodeStart("disk-1", Engine.monotonicMicros()));
      site.disks.get(1).restart();
      for (int i = 0; i < 4; i++) {
        int asked = run.loads.get(0).requestCount();
        children[i].kill();
        children[i] = new GatewayProcess(site.writeSettings("gw-" + i, i, 4), dir.resolve("log-" + i));
        awaitUntil(() -> run.loads.get(0).requestCount() > asked + 100);
      }
      int asked = run.loads.get(0).requestCount();
      awaitUntil(() -> run.loads.get(0).requestCount() > asked + 400);
      run.loads.forEach(RingLoad::finish);
      run.join();
      for (GatewayProcess c : children) {
        assertEquals(0, c.stop());
      }
      assertEquals(List.of(), run.audit().breaches());
      assertEquals(List.of(), run.wrongReads());
      assertTrue(run.audit().checked().get(Rule.LIMITS_KEPT) > 500 && run.audit()
          .checked()
          .get(Rule.NO_COLD_NODE_PUSHED) > 20, run.audit().checked().toString());
    }
  }
}
