package hollyslip.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import hollyslip.HostScheduler.NodeState;
import hollyslip.HostScheduler.VolumeChanged;
import hollyslip.store.FileSystemDirectory;
import hollyslip.tenant.HostedVolume;
import hollyslip.tenant.NumberFormatter;
import hollyslip.tenant.Shard;
import hollyslip.tenant.Tenant;
import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.security.KeyStore;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.IntStream;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class AdminTest {
  private static final String PLAN = "{\"name\":\"gold\",\"reserve\":100,\"weight\":2}";
  private static final String TENANT = "{\"name\":\"%s\",\"quota\":{\"reserve\":500,\"bytes\":2199023255552}}";
  private static final String VOLUME = "{\"name\":\"%s\",\"plan\":\"gold\",\"bytes\":8388608}";

  /** Serves volumes at once, and completes drains only when the test completes {@code drained}. */
  private static final class FakeProvisioner implements Provisioner {
    final Map<String, NodeState> nodes = new ConcurrentHashMap<>(Map.of("n0", NodeState.ON, "n1",
        NodeState.ON));
    final CompletableFuture<Void> drained = new CompletableFuture<>();

    @Override
    public CompletableFuture<Void> serve(HostedVolume v, Tenant t, VolumeChanged terms) {
      return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> drain(HostedVolume v, Tenant t) {
      return drained;
    }

    @Override
    public void setNodeState(String name, NodeState state) {
      nodes.put(name, state);
    }

    @Override
    public Map<String, NodeView> nodes() {
      Map<String, NodeView> views = new TreeMap<>();
      nodes.forEach((n, s) -> views.put(n, new NodeView(n.charAt(1), 0, "a", s)));
      return views;
    }
  }

  private record Response(int status, JsonNode body, String etag, String location) {}

  @TempDir
  Path dir;
  private final HttpClient http = HttpClient.newHttpClient();
  private final FakeProvisioner provisioner = new FakeProvisioner();
  private ControlPlane control;
  private AdminServer server;
  private String operatorToken;

  @BeforeEach
  void start() throws IOException {
    List<Shard> shards = List.of(new Shard(0, "a", 1_000, 1L << 30, List.of()), new Shard(1, "b", 1_000,
        1L << 30, List.of()));
    control = new ControlPlane(new FileSystemDirectory(dir.resolve("store")), shards, 1 << 20, 1, provisioner,
        System::currentTimeMillis);
    AdminServer.ensureOperatorToken(control, dir.resolve("token"));
    server = new AdminServer(control, dir.resolve("admin.sock"), 0, null, null);
    control.start();
    operatorToken = Files.readString(dir.resolve("token")).trim();
  }

  @AfterEach
  void stop() {
    server.close();
    control.close();
  }

  private Response send(String token, String method, String path, String body, String... headers) {
    try {
      HttpRequest.Builder b = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.port() + path))
          .method(method, body == null
              ? HttpRequest.BodyPublishers.noBody()
              : HttpRequest.BodyPublishers.ofString(body));
      if (token != null) {
        b.header("Authorization", "Bearer " + token);
      }
      for (int i = 0; i < headers.length; i += 2) {
        b.header(headers[i], headers[i + 1]);
      }
      HttpResponse<String> r = http.send(b.build(), HttpResponse.BodyHandlers.ofString());
      return new Response(r.statusCode(), r.body().isEmpty() ? null : Views.JSON.readTree(r.body()), r
          .headers()
          .firstValue("ETag")
          .orElse(null), r.headers().firstValue("Location").orElse(null));
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private Response sendAsOperator(String method, String path, String body, String... headers) {
    return send(operatorToken, method, path, body, headers);
  }

  private void create(String path, String body) {
    Response response = sendAsOperator("POST", path, body);
    assertEquals(201, response.status, () -> response.body.toString());
  }

  private void createTenantsWithVolumes() {
    create("/v1/plans", PLAN);
    create("/v1/tenants", String.format(TENANT, "lee"));
    create("/v1/tenants", String.format(TENANT, "shannon"));
    create("/v1/tenants/lee/volumes", String.format(VOLUME, "stock"));
    create("/v1/tenants/shannon/volumes", String.format(VOLUME, "orders"));
  }

  /** Reads and changes a resource, and retries when another change came first; returns the number of
   * retries. */
  private int patchUntilAccepted(String path, SplittableRandom random, UnaryOperator<JsonNode> patch) {
    Response seen = sendAsOperator("GET", path, null);
    for (int conflicts = 0;; conflicts++) {
      if (random.nextInt(3) == 0) {
        Thread.yield();
      }
      Response response = sendAsOperator("PATCH", path, patch.apply(seen.body).toString(), "If-Match",
          seen.etag);
      if (response.status == 200) {
        return conflicts;
      }
      assertEquals(412, response.status, () -> response.body.toString());
      JsonNode current = response.body.at("/figures/current");
      assertNotEquals(seen.body.get("revision"), current.get("revision"));
      seen = new Response(200, current, response.etag, null);
    }
  }

  /** Guards against lost updates: two administrators increment the same value 500 times each, and all 1,000
   * increments must take effect. */
  @Test
  void concurrentUpdatesAreNotLost() throws Exception {
    createTenantsWithVolumes();
    AtomicInteger conflicts = new AtomicInteger();
    List<Throwable> failures = java.util.Collections.synchronizedList(new ArrayList<>());
    List<Thread> administrators = new ArrayList<>();
    for (int who = 0; who < 2; who++) {
      SplittableRandom random = new SplittableRandom(who);
      administrators.add(new Thread(() -> {
        for (int i = 0; i < 500; i++) {
          conflicts.addAndGet(patchUntilAccepted("/v1/tenants/lee", random, old -> Views.JSON
              .createObjectNode()
              .set("quota", Views.JSON.createObjectNode()
                  .put("volumes", old.at("/quota/volumes").asInt() + 1))));
        }
      }));
    }
    administrators.forEach(t -> t.setUncaughtExceptionHandler((x, e) -> failures.add(e)));
    administrators.forEach(Thread::start);
    for (Thread t : administrators) {
      t.join();
    }
    assertEquals(List.of(), failures);
    JsonNode result = sendAsOperator("GET", "/v1/tenants/lee", null).body;
    assertEquals(2_000, result.at("/quota/volumes").asInt());
    assertEquals(1_001, result.get("revision").asInt());
    assertTrue(conflicts.get() > 0, "no concurrent changes conflicted");
  }

  @Test
  void changeRequiresTheCurrentEtag() {
    createTenantsWithVolumes();
    assertEquals(428, sendAsOperator("PATCH", "/v1/tenants/lee", "{\"weight\":2}").status);
    assertEquals(412, sendAsOperator("PATCH", "/v1/tenants/lee", "{\"weight\":2}", "If-Match",
        "\"7\"").status);
    assertEquals(400, sendAsOperator("PATCH", "/v1/tenants/lee", "{\"weight\":2}", "If-Match",
        "seven").status);
    Response response = sendAsOperator("PATCH", "/v1/tenants/lee", "{\"weight\":2}", "If-Match", "\"1\"");
    assertEquals("\"2\"", response.etag);
    assertEquals(2, response.body.get("weight").asDouble());
  }

  @Test
  void creationIsIdempotentByKey() {
    create("/v1/plans", PLAN);
    String body = String.format(TENANT, "lee");
    assertEquals(201, sendAsOperator("POST", "/v1/tenants", body, "Idempotency-Key", "k1").status);
    Response again = sendAsOperator("POST", "/v1/tenants", body, "Idempotency-Key", "k1");
    assertEquals(201, again.status);
    assertEquals("/v1/tenants/lee", again.location);
    assertEquals(409, sendAsOperator("POST", "/v1/tenants", body, "Idempotency-Key", "k2").status);
    assertEquals(422, sendAsOperator("POST", "/v1/tenants", String.format(TENANT, "tom"), "Idempotency-Key",
        "k1").status);
  }

  @Test
  void excessRequestIsRejectedWithFigures() {
    createTenantsWithVolumes();
    Response response = sendAsOperator("POST", "/v1/tenants/lee/volumes",
        "{\"name\":\"big\",\"plan\":\"gold\",\"bytes\":8388608,\"reserve\":450}");
    assertEquals(409, response.status);
    assertEquals("quota.reserve", response.body.get("field").asText());
    assertEquals(400, response.body.at("/figures/would_fit").asDouble());
    assertEquals(409, sendAsOperator("POST", "/v1/tenants", String.format(TENANT, "tom")
        .replace("500", "1001")).status);
    create("/v1/tenants", String.format(TENANT, "tom").replace("500", "1000"));
    // A reserve of 950 on one extent: each of the two shards has a capacity of 1,000, and the existing
    // volumes
    // reserve 200 on them together, so 900 are free on each.
    Response shard = sendAsOperator("POST", "/v1/tenants/tom/volumes",
        "{\"name\":\"one\",\"plan\":\"gold\",\"bytes\":4194304,\"reserve\":950}");
    assertEquals(409, shard.status, () -> shard.body.toString());
    assertEquals(0, shard.body.at("/figures/would_fit_extents").asInt());
  }

  /** Guards against figures in the form 1.073741824E9 and 1048576.0. */
  @Test
  void numbersHaveNoExponentAndBytesHaveAUnit() {
    create("/v1/plans", PLAN);
    create("/v1/tenants", "{\"name\":\"lee\",\"quota\":{\"reserve\":500,\"bytes\":1073741824}}");
    Response response = sendAsOperator("POST", "/v1/tenants/lee/volumes",
        "{\"name\":\"big\",\"plan\":\"gold\",\"bytes\":1073742336,\"extent_bytes\":1073742336}");
    assertEquals(409, response.status, () -> response.body.toString());
    assertEquals("tenant lee may have 1 GiB and has 0 bytes, 1 GiB more are requested", response.body.get(
        "detail").asText());
    assertEquals("1073741824", response.body.at("/figures/quota").toString());
    assertEquals("1073741824", response.body.at("/figures/would_fit").toString());
    Response plan = sendAsOperator("GET", "/v1/plans/gold", null);
    assertEquals("100", plan.body.get("reserve").toString());
    assertEquals("1.5 KiB", NumberFormatter.formatBytes(1536));
    assertEquals("10000000.125", NumberFormatter.formatNumber(10_000_000.1251));
  }

  /** With a tenant's token, resources of other tenants and of operators do not exist. */
  @Test
  void tenantTokenGrantsAccessToItsTenantOnly() {
    createTenantsWithVolumes();
    String token = sendAsOperator("POST", "/v1/tokens", "{\"who\":\"ann\",\"tenant\":\"lee\"}").body.get(
        "token").asText();
    assertEquals(200, send(token, "GET", "/v1/tenants/lee", null).status);
    assertEquals(200, send(token, "GET", "/v1/tenants/lee/volumes/stock", null).status);
    assertEquals(403, send(token, "PATCH", "/v1/tenants/lee", "{\"weight\":9}", "If-Match", "*").status);
    assertEquals(200, send(token, "PATCH", "/v1/tenants/lee", "{\"members\":{\"ann\":1001}}", "If-Match",
        "*").status);
    for (OpenApi.Route r : OpenApi.routes(new Api(control))) {
      String path = r.path()
          .replace("{plan}", "gold")
          .replace("{tenant}", "shannon")
          .replace("{volume}", "orders")
          .replace("{node}", "n0")
          .replace("{task}", "1")
          .replace("{token}", "x");
      if (path.equals("/v1/audit")) {
        continue;
      }
      String body = r.requestSchema() == null ? null : "{}";
      assertEquals(404, send(token, r.method(), path, body, "If-Match", "*").status, r.method() + " " + path);
      assertEquals(404, send(token, r.method(), path.replace("shannon", "nobody"), body, "If-Match",
          "*").status);
    }
    send(token, "GET", "/v1/audit", null).body.get("items")
        .forEach(t -> assertTrue(t.get("target").asText().startsWith("/v1/tenants/lee"), t::toString));
    assertEquals(204, sendAsOperator("DELETE", "/v1/tokens/" + token.substring(0, token.indexOf('.')),
        null).status);
    assertEquals(401, send(token, "GET", "/v1/tenants/lee", null).status);
  }

  /** Clients such as the JDK's offer an upgrade to HTTP/2 with their first request. Some of them waited
   * forever on a connection that had been upgraded. */
  @Test
  void clientsThatOfferHttp2AreAnswered() {
    URI uri = URI.create("http://127.0.0.1:" + server.port() + "/openapi.json");
    IntStream.range(0, 200).parallel().forEach(i -> {
      HttpRequest request = HttpRequest.newBuilder(uri).timeout(Duration.ofSeconds(20)).build();
      try {
        HttpResponse<String> response = HttpClient.newHttpClient()
            .send(request, HttpResponse.BodyHandlers.ofString());
        assertEquals(200, response.statusCode());
        assertEquals(HttpClient.Version.HTTP_1_1, response.version());
      } catch (IOException | InterruptedException e) {
        throw new IllegalStateException("client " + i, e);
      }
    });
  }

  /** The OpenAPI description and the router have the same routes. */
  @Test
  void openApiDescriptionMatchesTheRoutes() {
    JsonNode description = send(null, "GET", "/openapi.json", null).body;
    assertEquals("3.1.0", description.get("openapi").asText());
    int described = 0;
    for (var path : (Iterable<Map.Entry<String, JsonNode>>) () -> description.get("paths").fields()) {
      String url = path.getKey().replaceAll("\\{\\w+}", "x");
      for (String method : List.of("GET", "POST", "PATCH", "DELETE", "PUT")) {
        boolean named = path.getValue().has(method.toLowerCase(java.util.Locale.ROOT));
        int status = send(null, method, url, named && !method.equals("GET") ? "{}" : null).status;
        described += named ? 1 : 0;
        assertEquals(named, status == 401, method + " " + url + " " + status);
      }
    }
    assertEquals(OpenApi.routes(new Api(control)).size() + 1, described);
    description.findValuesAsText("$ref")
        .forEach(ref -> assertFalse(description.at(ref.substring(1)).isMissingNode(), ref));
  }

  @Test
  void invalidFieldIsNamed() {
    createTenantsWithVolumes();
    Map<String, String> fieldsByBody = new TreeMap<>();
    fieldsByBody.put("{\"name\":\"Lee!\",\"quota\":{\"reserve\":1,\"bytes\":1}}", "name");
    fieldsByBody.put("{\"name\":\"x\",\"quota\":{\"reserve\":-1,\"bytes\":1}}", "quota.reserve");
    fieldsByBody.put("{\"name\":\"x\",\"quota\":{\"reserve\":\"1\",\"bytes\":1}}", "quota.reserve");
    fieldsByBody.put("{\"name\":\"x\",\"quota\":{\"reserve\":1,\"bytes\":1.5}}", "quota.bytes");
    fieldsByBody.put("{\"name\":\"x\",\"quota\":{\"reserve\":1,\"bytes\":1},\"wieght\":1}", "wieght");
    fieldsByBody.put("{\"name\":\"x\",\"quota\":{\"reserve\":1,\"bytes\":1},\"members\":{\"a\":-1}}",
        "members");
    fieldsByBody.put("{\"name\":\"x\"}", "quota");
    fieldsByBody.put("{\"name\":\"x\"", "body");
    fieldsByBody.put("[]", "body");
    fieldsByBody.put("{}{}", "body");
    fieldsByBody.forEach((body, field) -> {
      Response response = sendAsOperator("POST", "/v1/tenants", body);
      assertEquals(400, response.status, body);
      assertEquals(field, response.body.get("field").asText(), body);
    });
    assertEquals(413, sendAsOperator("POST", "/v1/tenants", "x".repeat(AdminServer.MAX_BODY_BYTES
        + 1)).status);
    assertEquals(3, sendAsOperator("GET", "/v1/tenants?limit=1", null).body.size() + sendAsOperator("GET",
        "/v1/tenants?after=lee", null).body.get("items").size());
    assertEquals(400, sendAsOperator("GET", "/v1/tenants?limit=0", null).status);
  }

  /** Sends corrupted requests; afterwards the next client must still be served. */
  @Test
  void malformedRequestsDoNotAffectOtherClients() throws IOException {
    SplittableRandom random = new SplittableRandom(5);
    String originalRequest = "POST /v1/tenants HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + operatorToken
        + "\r\nContent-Length: 20\r\n\r\n{\"name\":\"x\",\"quota\"}";
    for (int i = 0; i < 200; i++) {
      byte[] bytes = originalRequest.getBytes(java.nio.charset.StandardCharsets.UTF_8);
      for (int k = random.nextInt(8); k >= 0; k--) {
        bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
      }
      try (Socket s = new Socket("127.0.0.1", server.port())) {
        s.getOutputStream().write(bytes, 0, random.nextInt(bytes.length) + 1);
      }
    }
    assertEquals(200, sendAsOperator("GET", "/v1/tenants", null).status);
  }

  /** A removal is a task with progress that survives a restart and appears in the event stream. */
  @Test
  void removalContinuesAfterARestart() throws Exception {
    createTenantsWithVolumes();
    LinkedBlockingQueue<String> events = new LinkedBlockingQueue<>();
    http.sendAsync(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.port() + "/v1/events"))
        .header("Authorization", "Bearer " + operatorToken)
        .build(), HttpResponse.BodyHandlers.ofLines()).thenAccept(r -> r.body().forEach(events::add));
    assertEquals(": begin", events.poll(10, TimeUnit.SECONDS));
    Response started = sendAsOperator("DELETE", "/v1/tenants/lee", null, "If-Match", "\"1\"");
    assertEquals(202, started.status);
    String line = "";
    while (!line.startsWith("data:")) {
      line = events.poll(10, TimeUnit.SECONDS);
    }
    assertTrue(line.contains("\"what\":\"remove tenant\""), line);
    JsonNode task = sendAsOperator("GET", started.location, null).body;
    assertEquals("running", task.get("state").asText());
    assertEquals(1, task.get("volumes_left").asInt());
    assertEquals("draining", sendAsOperator("GET", "/v1/tenants/lee", null).body.get("phase").asText());
    assertEquals(409, sendAsOperator("POST", "/v1/tenants/lee/volumes", String.format(VOLUME, "new")).status);
    assertEquals(409, sendAsOperator("PATCH", "/v1/tenants/lee", "{\"weight\":2}", "If-Match", "*").status);
    stop();
    start();
    assertEquals("running", sendAsOperator("GET", started.location, null).body.get("state").asText());
    provisioner.drained.complete(null);
    Awaitility.await()
        .atMost(20, TimeUnit.SECONDS)
        .until(() -> sendAsOperator("GET", started.location, null).body.get("state").asText().equals("done"));
    assertEquals(404, sendAsOperator("GET", "/v1/tenants/lee", null).status);
    assertEquals(200, sendAsOperator("GET", "/v1/tenants/shannon/volumes/orders", null).status);
    JsonNode used = sendAsOperator("GET", "/v1/tenants/shannon", null).body.get("used");
    assertEquals(100, used.get("reserve").asDouble());
  }

  @Test
  void drainedNodeStaysDrainedAfterARestart() throws Exception {
    Response n = sendAsOperator("GET", "/v1/nodes/n0", null);
    assertEquals("\"0\"", n.etag);
    assertEquals(200, sendAsOperator("PATCH", "/v1/nodes/n0", "{\"state\":\"draining\"}", "If-Match",
        n.etag).status);
    Awaitility.await().until(() -> provisioner.nodes.get("n0") == NodeState.DRAINING);
    stop();
    provisioner.nodes.put("n0", NodeState.ON);
    start();
    Awaitility.await().until(() -> provisioner.nodes.get("n0") == NodeState.DRAINING);
    assertEquals(412, sendAsOperator("PATCH", "/v1/nodes/n0", "{\"state\":\"on\"}", "If-Match",
        "\"0\"").status);
  }

  /** Creates a key and a certificate for localhost as two PEM files. */
  private void createKeyPair(String name, Path cert, Path key) throws Exception {
    Path store = dir.resolve(name + ".p12");
    Process p = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "keytool").toString(),
        "-genkeypair", "-alias", "k", "-keyalg", "EC", "-dname", "CN=" + name, "-ext", "san=dns:localhost",
        "-validity", "3650", "-storetype", "PKCS12", "-keystore", store.toString(), "-storepass", "changeit")
        .redirectErrorStream(true)
        .redirectOutput(dir.resolve(name + ".log").toFile())
        .start();
    assertEquals(0, p.waitFor());
    KeyStore keyStore = KeyStore.getInstance(store.toFile(), "changeit".toCharArray());
    Files.writeString(key, pem("PRIVATE KEY", keyStore.getKey("k", "changeit".toCharArray()).getEncoded()));
    Files.writeString(cert, pem("CERTIFICATE", keyStore.getCertificate("k").getEncoded()));
  }

  private static String pem(String what, byte[] bytes) {
    return "-----BEGIN " + what + "-----\n" + Base64.getMimeEncoder(64, new byte[]{'\n'})
        .encodeToString(bytes) + "\n-----END " + what + "-----\n";
  }

  private ApiClient connectOverTls(int port, Path trustedCertificates) {
    return ApiClient.connect(port, trustedCertificates, operatorToken);
  }

  /** New keys are used for new connections only, existing ones continue, and unusable keys change nothing. */
  @Test
  void certificateIsReloadedInService() throws Exception {
    Path cert = dir.resolve("cert.pem");
    Path key = dir.resolve("key.pem");
    createKeyPair("first", cert, key);
    Path first = Files.copy(cert, dir.resolve("first.pem"));
    try (AdminServer tls = new AdminServer(control, dir.resolve("tls.sock"), 0, cert, key);
        ApiClient existing = connectOverTls(tls.port(), first)) {
      assertEquals(200, existing.send("GET", "/v1/tenants", null, Map.of()).status());
      createKeyPair("second", cert, key);
      assertTrue(tls.reloadCertificate());
      // The pool's only connection was set up with the first key.
      assertEquals(200, existing.send("GET", "/v1/tenants", null, Map.of()).status());
      try (ApiClient fresh = connectOverTls(tls.port(), cert);
          ApiClient old = connectOverTls(tls.port(), first)) {
        assertEquals(200, fresh.send("GET", "/v1/tenants", null, Map.of()).status());
        assertThrows(IOException.class, () -> old.send("GET", "/v1/tenants", null, Map.of()));
      }
      Path second = Files.copy(cert, dir.resolve("second.pem"));
      Files.writeString(key, "no key");
      assertFalse(tls.reloadCertificate());
      try (ApiClient fresh = connectOverTls(tls.port(), second)) {
        assertEquals(200, fresh.send("GET", "/v1/tenants", null, Map.of()).status());
      }
    }
  }

  /** On a busy machine one response in some hundred never arrived, since its body was requested after its
   * end. */
  @Test
  void clientReceivesEveryResponse() throws Exception {
    AtomicBoolean done = new AtomicBoolean();
    List<Thread> spinners = new ArrayList<>();
    try (ApiClient api = ApiClient.connect(dir.resolve("admin.sock"), operatorToken)) {
      for (int i = 0; i < 2 * Runtime.getRuntime().availableProcessors(); i++) {
        Thread t = new Thread(() -> {
          while (!done.get()) {
            Thread.onSpinWait();
          }
        });
        t.start();
        spinners.add(t);
      }
      for (int i = 0; i < 1_500; i++) {
        assertEquals(200, api.send("GET", "/v1/plans", null, Map.of()).status());
      }
    } finally {
      done.set(true);
      for (Thread t : spinners) {
        t.join();
      }
    }
  }
}
