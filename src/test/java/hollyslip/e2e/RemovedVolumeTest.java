package hollyslip.e2e;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import hollyslip.admin.ApiClient;
import hollyslip.gateway.Gateway;
import hollyslip.load.RingClient;
import hollyslip.node.Nbd;
import hollyslip.standin.CommandRecord;
import hollyslip.volume.IoKind;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** What a removed volume leaves behind never reaches the next owner of its extents. */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class RemovedVolumeTest {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int BLOCK = 4096;

  /** For how long the node holds a write, us: longer than the deadline of its class and the settle time, and
   * shorter than it takes until the gateway fences it. */
  private static final long HOLD_US = 3_500_000;

  @TempDir
  Path dir;

  private static void awaitUntil(Callable<Boolean> condition) {
    Awaitility.await().pollInterval(5, TimeUnit.MILLISECONDS).atMost(30, TimeUnit.SECONDS).until(condition);
  }

  private static ApiClient.Response request(ApiClient api, String method, String path, String body)
      throws IOException {
    ApiClient.Response answer = api.send(method, path, body == null
        ? null
        : JSON.readTree(body.replace('\'', '"')), Map.of("If-Match", "*"));
    assertTrue(answer.isSuccess(), answer::toString);
    return answer;
  }

  /** Creates a tenant with a volume of one extent. */
  private static void createTenant(ApiClient api, String name) throws IOException {
    Object user = Files.getAttribute(Path.of("/proc/self"), "unix:uid");
    request(api, "POST", "/v1/tenants", "{'name':'" + name
        + "','quota':{'reserve':1000,'bytes':33554432},'members':{'me':" + user + "}}");
    request(api, "POST", "/v1/tenants/" + name
        + "/volumes", "{'name':'v','plan':'gold','bytes':65536,'extent_bytes':65536}");
    awaitUntil(() -> request(api, "GET", "/v1/tenants/" + name + "/volumes/v", null).body()
        .get("phase")
        .asText()
        .equals("active"));
  }

  private static RingClient connectRing(Path socket) throws IOException {
    RingClient client = new RingClient(RingClient.Options.allFeatures(1, 64, BLOCK));
    client.connect(socket);
    return client;
  }

  private static byte[] block(int value) {
    byte[] bytes = new byte[BLOCK];
    Arrays.fill(bytes, (byte) value);
    return bytes;
  }

  private static long writesDone(TestDeployment site) {
    return site.disks.stream()
        .flatMap(d -> d.commands().stream())
        .filter(c -> c.kind() == Nbd.CMD_WRITE && c.result() == CommandRecord.Result.DONE)
        .count();
  }

  /** A node holds a write of a volume that is removed meanwhile: it never lands over a write of another
   * tenant, on whichever lane that is (review/6). Its extents are free once the write is over. */
  @Test
  void lateWriteOfARemovedVolumeDoesNotReachTheNextTenant() throws Exception {
    try (TestDeployment site = new TestDeployment(dir, 1)) {
      site.hosted = true;
      site.cores = 2;
      Gateway gateway = site.startGateway("gw", 0);
      try (ApiClient api = ApiClient.connect(dir.resolve("gw/admin.sock"), Files.readString(dir.resolve(
          "gw-state/operator.token")).trim())) {
        request(api, "POST", "/v1/plans", "{'name':'gold','reserve':100,'weight':1}");
        createTenant(api, "lee");
        site.disks.get(0).faults.writeDelayUs = HOLD_US;
        try (RingClient lee = connectRing(gateway.socketPath("lee", "v"))) {
          assertEquals(1, RingRequests.execute(lee, IoKind.WRITE, 0, BLOCK, block('L')),
              "not served in time");
        }
        site.disks.get(0).faults.writeDelayUs = 0;
        String task = request(api, "DELETE", "/v1/tenants/lee", null).location();
        awaitUntil(() -> !Files.exists(gateway.socketPath("lee", "v")));
        createTenant(api, "cork");
        assertEquals(0, writesDone(site), "the late write is still held");
        try (RingClient cork = connectRing(gateway.socketPath("cork", "v"))) {
          assertEquals(0, RingRequests.execute(cork, IoKind.WRITE, 0, BLOCK, block('C')));
          awaitUntil(() -> writesDone(site) == 2);
          byte[] read = new byte[BLOCK];
          assertEquals(0, RingRequests.execute(cork, IoKind.READ, 0, BLOCK, read));
          assertArrayEquals(block('C'), read);
        }
        awaitUntil(() -> request(api, "GET", task, null).body().get("state").asText().equals("done"));
      }
    }
  }

  /** A node that never answers a write delays neither the removal's answer nor the end of its socket, and the
   * extents are free again once the write is fenced. */
  @Test
  void extentsOfAVolumeWhoseNodeNeverAnswersAreFreedByAFence() throws Exception {
    try (TestDeployment site = new TestDeployment(dir, 1)) {
      site.hosted = true;
      Gateway gateway = site.startGateway("gw", 0);
      try (ApiClient api = ApiClient.connect(dir.resolve("gw/admin.sock"), Files.readString(dir.resolve(
          "gw-state/operator.token")).trim())) {
        request(api, "POST", "/v1/plans", "{'name':'gold','reserve':100,'weight':1}");
        createTenant(api, "lee");
        site.disks.get(0).faults.writeDelayUs = Long.MAX_VALUE / 4;
        try (RingClient lee = connectRing(gateway.socketPath("lee", "v"))) {
          assertEquals(1, RingRequests.execute(lee, IoKind.WRITE, 0, BLOCK, block('L')),
              "not served in time");
        }
        site.disks.get(0).faults.writeDelayUs = 0;
        String task = request(api, "DELETE", "/v1/tenants/lee", null).location();
        awaitUntil(() -> !Files.exists(gateway.socketPath("lee", "v")));
        assertEquals("running", request(api, "GET", task, null).body().get("state").asText());
        awaitUntil(() -> request(api, "GET", task, null).body().get("state").asText().equals("done"));
        assertEquals(0, writesDone(site));
      }
    }
  }
}
