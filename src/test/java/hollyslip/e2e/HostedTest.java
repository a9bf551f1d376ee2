package hollyslip.e2e;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import hollyslip.admin.ApiClient;
import hollyslip.gateway.Gateway;
import hollyslip.engine.Engine;
import hollyslip.front.sys.Linux;
import hollyslip.front.vhost.VhostUserProtocol;
import hollyslip.load.GatewayProcess;
import hollyslip.load.RingClient;
import hollyslip.standin.CommandRecord;
import hollyslip.standin.StandInDiskServer;
import hollyslip.volume.IoKind;
import hollyslip.volume.Volume;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicIntegerArray;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tenants are created, changed and removed through the API while their rings and those of others are in
 * use. */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class HostedTest {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int REFUSED = 128;

  @TempDir
  Path dir;

  private static void awaitUntil(Callable<Boolean> condition) {
    Awaitility.await().pollInterval(2, TimeUnit.MILLISECONDS).atMost(30, TimeUnit.SECONDS).until(condition);
  }

  private ApiClient apiClient(String gateway) throws IOException {
    return ApiClient.connect(dir.resolve(gateway).resolve("admin.sock"), Files.readString(dir.resolve(gateway
        + "-state/operator.token")).trim());
  }

  private static JsonNode json(String text) throws IOException {
    return JSON.readTree(text.replace('\'', '"'));
  }

  private static ApiClient.Response request(ApiClient api, String method, String path, String body)
      throws IOException {
    ApiClient.Response answer = api.send(method, path, body == null ? null : json(body), Map.of("If-Match",
        "*"));
    assertTrue(answer.isSuccess(), () -> answer.toString());
    return answer;
  }

  private static long ownUid() throws IOException {
    return ((Number) Files.getAttribute(Path.of("/proc/self"), "unix:uid")).longValue();
  }

  private static void createTenant(ApiClient api, String name, String plan) throws IOException {
    request(api, "POST", "/v1/tenants", "{'name':'" + name
        + "','quota':{'reserve':1000,'bytes':33554432},'members':{'me':" + ownUid() + "}}");
    request(api, "POST", "/v1/tenants/" + name + "/volumes", "{'name':'v','plan':'" + plan
        + "','bytes':1048576,'extent_bytes':65536}");
    awaitUntil(() -> request(api, "GET", "/v1/tenants/" + name + "/volumes/v", null).body()
        .get("phase")
        .asText()
        .equals("active"));
  }

  private static RingClient connectRing(Path socket) throws IOException {
    RingClient client = new RingClient(RingClient.Options.allFeatures(1, 64, 4096));
    client.connect(socket);
    return client;
  }

  @Test
  void volumeIsCreatedServedGrownAndRemoved() throws Exception {
    try (TestDeployment site = new TestDeployment(dir, 3)) {
      site.hosted = true;
      Gateway g = site.startGateway("gw", 0);
      try (ApiClient api = apiClient("gw")) {
        request(api, "POST", "/v1/plans", "{'name':'gold','reserve':100,'weight':1}");
        createTenant(api, "lee", "gold");
        byte[] bytes = new byte[4096];
        Arrays.fill(bytes, (byte) 7);
        Path socket = g.socketPath("lee", "v");
        try (RingClient c = connectRing(socket)) {
          assertEquals(0, RingRequests.execute(c, IoKind.WRITE, 65536 * 3 + 4096, 4096, bytes));
          byte[] read = new byte[4096];
          assertEquals(0, RingRequests.execute(c, IoKind.READ, 65536 * 3 + 4096, 4096, read));
          assertArrayEquals(bytes, read);
          assertEquals(1, RingRequests.execute(c, IoKind.READ, 1048576, 4096, read), "past the end");
          int[] backend = backendConnection(c);
          JsonNode before = request(api, "GET", "/v1/tenants/lee/volumes/v", null).body().get("shards");
          assertEquals(3, before.size(), "spread over the shards");
          request(api, "PATCH", "/v1/tenants/lee/volumes/v", "{'bytes':2097152}");
          awaitUntil(() -> g.lanes().volumes().get("lee/v").bytes() == 2097152);
          awaitUntil(() -> RingRequests.execute(c, IoKind.READ, 1048576, 4096, read) == 0);
          com.sun.jna.Memory said = new com.sun.jna.Memory(64);
          awaitUntil(() -> Linux.receive(backend[0], said, 0, 64).bytes() == VhostUserProtocol.HEADER_BYTES);
          assertEquals(VhostUserProtocol.BACKEND_CONFIG_CHANGE_MSG, said.getInt(0),
              "the client is notified of the change, once");
          Linux.closeAll(backend);
          assertEquals(0, RingRequests.execute(c, IoKind.READ, 65536 * 3 + 4096, 4096, read));
          assertArrayEquals(bytes, read, "existing data is unchanged");
          // A user who is no longer a member is disconnected, and cannot reconnect.
          request(api, "PATCH", "/v1/tenants/lee", "{'members':{'me':null,'other':" + (ownUid() + 1) + "}}");
          awaitUntil(() -> !c.await(10));
        }
        try (RingClient c = new RingClient(RingClient.Options.allFeatures(1, 64, 4096))) {
          boolean served;
          try {
            c.connect(socket);
            served = c.await(5_000);
          } catch (IOException e) {
            served = false;
          }
          assertFalse(served, "not a member");
        }
        request(api, "DELETE", "/v1/tenants/lee/volumes/v", null);
        awaitUntil(() -> !Files.exists(socket));
        assertFalse(g.lanes().volumes().containsKey("lee/v"));
      }
    }
  }

  /** Gives the device one end of a connection for backend messages; returns the other end and the listening
   * socket. */
  private int[] backendConnection(RingClient c) throws IOException {
    Path path = dir.resolve("backend.sock");
    int listening = Linux.listen(path);
    int mine = Linux.connect(path);
    int theirs = Linux.accept(listening);
    c.send(VhostUserProtocol.SET_BACKEND_REQ_FD, 0, new byte[0], theirs);
    Linux.closeAll(theirs);
    return new int[]{mine, listening};
  }

  /** One tenant keeps sixteen times as many requests in flight as another of the same weight: by the
   * stand-ins' records, both get about the same share of what the nodes can serve. */
  @Test
  void floodingTenantGetsItsShareAndNoMore() throws Exception {
    try (TestDeployment site = new TestDeployment(dir, 2, i -> StandInDiskServer.Config.timed("disk-" + i,
        TestDeployment.SHARD_BYTES, 1, 256,
        1_000, i))) {
      site.hosted = true;
      Gateway g = site.startGateway("gw", 0);
      try (ApiClient api = apiClient("gw")) {
        request(api, "POST", "/v1/plans", "{'name':'gold','reserve':0,'weight':1}");
        createTenant(api, "a", "gold");
        createTenant(api, "b", "gold");
        List<ClosedLoopClient> flood = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
          flood.add(new ClosedLoopClient(g.socketPath("a", "v"), 60));
        }
        ClosedLoopClient b = new ClosedLoopClient(g.socketPath("b", "v"), 30);
        flood.forEach(Thread::start);
        b.start();
        awaitUntil(() -> b.answered > 200);
        long from = Engine.monotonicMicros();
        int before = b.answered;
        awaitUntil(() -> b.answered > before + 1_000);
        long to = Engine.monotonicMicros();
        for (ClosedLoopClient c : flood) {
          c.finish = true;
        }
        b.finish = true;
        b.join(30_000);
        for (ClosedLoopClient c : flood) {
          c.join(30_000);
        }
        List<Volume.Extent> extents = g.lanes().volumes().get("b/v").extents();
        long[] units = new long[2];
        site.disks.stream()
            .flatMap(d -> d.commands().stream())
            .filter(c -> c.doneUs() >= from && c.doneUs() <= to)
            .forEach(c -> units[extents.contains(new Volume.Extent(Integer.parseInt(c.export().substring(6)),
                c.offset() / 65536 * 65536)) ? 1 : 0]++);
        assertTrue(units[1] >= 0.4 * (units[0] + units[1]), units[1] + " beside " + units[0]);
      }
    }
  }

  /** A client that keeps a number of requests in flight until it is told to finish, and then waits for their
   * answers. */
  private static final class ClosedLoopClient extends Thread {
    final RingClient ring;
    final int depth;
    final AtomicIntegerArray answersByStatus = new AtomicIntegerArray(256);
    volatile int asked, answered, duplicateAnswers;
    volatile boolean finish, stopWhenRefused, abort;
    volatile long intervalNanos;
    volatile int maxRequests = Integer.MAX_VALUE;

    ClosedLoopClient(Path socket, int depth) throws IOException {
      ring = connectRing(socket);
      this.depth = depth;
    }

    @Override
    public void run() {
      long next = System.nanoTime();
      boolean connected = true;
      while (connected && !abort && !(finish && ring.inFlight() == 0) && !(answered == maxRequests)) {
        while (!finish && asked < maxRequests && ring.inFlight() < depth && System.nanoTime() >= next) {
          boolean[] told = new boolean[1];
          int n = asked++;
          ring.submit(0, n % 3 == 0 ? IoKind.WRITE : IoKind.READ, n % 200 * 4096L, 4096, n % 3 == 0
              ? java.nio.ByteBuffer.allocate(4096)
              : null, (s, r, d) -> {
                duplicateAnswers += told[0] ? 1 : 0;
                told[0] = true;
                answered++;
                answersByStatus.incrementAndGet(s);
                finish |= stopWhenRefused && s == REFUSED;
              });
          next = Math.max(next + intervalNanos, System.nanoTime() - 50 * intervalNanos);
        }
        ring.kick();
        connected = ring.await(1);
        ring.poll();
      }
      ring.poll();
    }
  }

  /** Every request in flight of a removed tenant gets one final answer, and the other tenants, whose rate is
   * fixed, are served as before: compared with a run without the removal by answers and by the stand-ins'
   * records. */
  @Test
  void tenantIsRemovedWhileItsRequestsAreInFlight() throws Exception {
    long[] with = runWithRemoval(dir.resolve("with"), true);
    long[] without = runWithRemoval(dir.resolve("without"), false);
    for (int i = 0; i < 4; i++) {
      assertEquals(without[i], with[i], without[i] * 0.02, "figure " + i);
    }
  }

  /** Returns the numbers of requests of b and c that were served, and of commands executed on their
   * extents. */
  private long[] runWithRemoval(Path at, boolean removed) throws Exception {
    Files.createDirectories(at);
    try (TestDeployment site = new TestDeployment(at, 2, i -> StandInDiskServer.Config.timed("disk-" + i,
        TestDeployment.SHARD_BYTES, 4, 256,
        1_000, i))) {
      site.hosted = true;
      Gateway g = site.startGateway("gw", 0);
      try (ApiClient api = ApiClient.connect(at.resolve("gw/admin.sock"),
          Files.readString(at.resolve("gw-state/operator.token")).trim())) {
        request(api, "POST", "/v1/plans", "{'name':'gold','reserve':200,'weight':1}");
        for (String t : List.of("a", "b", "c")) {
          createTenant(api, t, "gold");
        }
        ClosedLoopClient a = new ClosedLoopClient(g.socketPath("a", "v"), 32);
        a.stopWhenRefused = true;
        List<ClosedLoopClient> others = new ArrayList<>();
        for (String t : List.of("b", "c")) {
          ClosedLoopClient o = new ClosedLoopClient(g.socketPath(t, "v"), 16);
          o.intervalNanos = 2_000_000;
          o.maxRequests = 1_000;
          others.add(o);
        }
        a.start();
        others.forEach(Thread::start);
        awaitUntil(() -> a.answered > 300 && others.get(0).asked > 200);
        if (removed) {
          String task = request(api, "DELETE", "/v1/tenants/a", null).location();
          awaitUntil(() -> request(api, "GET", task, null).body().get("state").asText().equals("done"));
        }
        a.finish = true;
        a.join(30_000);
        for (ClosedLoopClient o : others) {
          o.join(60_000);
          assertEquals(1_000, o.answered);
          assertEquals(0, o.duplicateAnswers);
        }
        assertEquals(a.asked, a.answered, "each has one answer");
        assertEquals(0, a.duplicateAnswers);
        assertEquals(a.asked, a.answersByStatus.get(0) + a.answersByStatus.get(REFUSED) + a.answersByStatus
            .get(1));
        assertTrue(!removed || a.answersByStatus.get(REFUSED) > 0, "some arrived after the removal began");
        List<CommandRecord> log = site.disks.stream().flatMap(d -> d.commands().stream()).toList();
        long[] figures = new long[4];
        for (int i = 0; i < 2; i++) {
          figures[i] = others.get(i).answersByStatus.get(0);
        }
        for (int i = 0; i < 2; i++) {
          List<Volume.Extent> extents = g.lanes().volumes().get(List.of("b/v", "c/v").get(i)).extents();
          figures[2 + i] = log.stream()
              .filter(c -> c.doneUs() > 0
                  && extents.contains(new Volume.Extent(Integer.parseInt(c.export().substring(6)),
                      c.offset() / 65536 * 65536)))
              .count();
          assertTrue(figures[2 + i] >= 1_000);
        }
        if (removed) {
          assertFalse(Files.exists(g.socketPath("a", "v")));
        }
        return figures;
      }
    }
  }

  private static void setLimit(List<ApiClient> all, double limit, double burst) throws IOException {
    for (ApiClient api : all) {
      request(api, "PATCH", "/v1/plans/capped", "{'limit':" + limit + ",'limit_burst':" + burst + "}");
    }
  }

  /** Four gateways share one limit, which is lowered to a tenth under load and raised again, while one
   * gateway is killed in between. By the stand-ins' records, all together stay below the current limit in
   * every interval. */
  @Test
  void changedLimitHoldsOverAllGatewaysAndAKill() throws Exception {
    try (TestDeployment site = new TestDeployment(dir, 2)) {
      site.hosted = true;
      site.hosts = 4;
      GatewayProcess[] children = new GatewayProcess[4];
      List<ApiClient> apis = new ArrayList<>();
      List<ClosedLoopClient> clients = new ArrayList<>();
      try {
        for (int i = 0; i < 4; i++) {
          children[i] = new GatewayProcess(site.writeSettings("gw-" + i, i, 4), dir.resolve("log-" + i));
          apis.add(apiClient("gw-" + i));
          request(apis.get(i), "POST", "/v1/plans",
              "{'name':'capped','reserve':10,'weight':1,'limit':2000,'limit_burst':200,'limit_slack':20}");
          createTenant(apis.get(i), "t", "capped");
          clients.add(new ClosedLoopClient(dir.resolve("gw-" + i + "/t/v.sock"), 8));
        }
        clients.forEach(Thread::start);
        awaitUntil(() -> clients.stream().allMatch(c -> c.answered > 300));
        setLimit(apis, 200, 20);
        long lowered = Engine.monotonicMicros();
        clients.get(3).finish = true;
        children[3].kill();
        apis.get(3).close();
        children[3] = new GatewayProcess(site.writeSettings("gw-3", 3, 4), dir.resolve("log-3"));
        apis.set(3, apiClient("gw-3"));
        ClosedLoopClient back = new ClosedLoopClient(dir.resolve("gw-3/t/v.sock"), 8);
        clients.set(3, back);
        back.start();
        awaitUntil(() -> back.answered > 40);
        long raised = Engine.monotonicMicros();
        setLimit(apis, 2000, 200);
        int before = clients.get(0).answered;
        awaitUntil(() -> clients.get(0).answered > before + 300);
        for (ClosedLoopClient c : clients) {
          c.finish = true;
          c.join(30_000);
        }
        long[] at = site.disks.stream()
            .flatMap(d -> d.commands().stream())
            .mapToLong(CommandRecord::receivedUs)
            .sorted()
            .toArray();
        // Allows a tenth of a second for commands that were sent before the change and had not arrived.
        assertTrue(maxExcess(at, lowered + 100_000, raised, 200, 20 + 20) <= 0, "lowered");
        assertTrue(maxExcess(at, 0, Long.MAX_VALUE, 2000, 200 + 20) <= 0, "throughout");
        assertTrue(Arrays.stream(at).filter(t -> t > lowered && t < raised).count() > 40);
      } finally {
        for (ClosedLoopClient c : clients) {
          // Its memory may be released only after its thread has ended.
          c.abort = true;
          c.join(10_000);
          c.ring.close();
        }
        apis.forEach(ApiClient::close);
        for (GatewayProcess c : children) {
          if (c != null) {
            c.stop();
          }
        }
      }
    }
  }

  /** A gateway reported that it was ready before the sockets of all stored volumes listened. A stale socket
   * file must not prevent that, and a socket at which another process listens must not be taken. */
  @Test
  void startedGatewayListensForAllVolumesOfTheStore() throws Exception {
    int volumes = 300;
    try (TestDeployment site = new TestDeployment(dir, 2)) {
      site.hosted = true;
      Gateway first = site.startGateway("gw", 0);
      try (ApiClient api = apiClient("gw")) {
        request(api, "POST", "/v1/plans", "{'name':'gold','reserve':1,'weight':1}");
        request(api, "POST", "/v1/tenants",
            "{'name':'lee','quota':{'reserve':1000,'bytes':33554432},'members':{'me':" + ownUid() + "}}");
        for (int i = 0; i < volumes; i++) {
          request(api, "POST", "/v1/tenants/lee/volumes", "{'name':'v" + i
              + "','plan':'gold','bytes':65536,'extent_bytes':65536}");
        }
      }
      assertTrue(first.close());
      Linux.closeAll(Linux.listen(first.socketPath("lee", "v0")));
      int taken = Linux.listen(first.socketPath("lee", "v1"));
      Gateway again = site.startGateway("gw", 0);
      for (int i = volumes - 1; i >= 0; i--) {
        if (i != 1) {
          connectRing(again.socketPath("lee", "v" + i)).close();
        }
      }
      assertTrue(Files.exists(again.socketPath("lee", "v1")),
          "the socket of another process is not replaced");
      Linux.closeAll(taken);
      byte[] read = new byte[4096];
      awaitUntil(() -> {
        try (RingClient c = connectRing(again.socketPath("lee", "v1"))) {
          return RingRequests.execute(c, IoKind.READ, 0, 4096, read) == 0;
        } catch (IOException e) {
          return false;
        }
      });
    }
  }

  /** Returns by how many units the worst interval exceeds a rate and burst; 0 or less: none does. */
  private static double maxExcess(long[] times, long from, long to, double rate, double burst) {
    double level = 0;
    double worst = -burst;
    long last = Long.MIN_VALUE;
    for (long time : times) {
      if (time >= from && time <= to) {
        level = last == Long.MIN_VALUE ? 0 : Math.max(0, level - (time - last) * rate / 1e6);
        level += 1;
        last = time;
        worst = Math.max(worst, level - burst);
      }
    }
    return worst;
  }
}
