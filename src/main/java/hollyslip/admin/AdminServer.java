package hollyslip.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.core.JsonProcessingException;
import hollyslip.tenant.AuditRecord;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.net.PemKeyCertOptions;
import io.vertx.core.net.ServerSSLOptions;
import io.vertx.core.net.SocketAddress;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The administration API over HTTP, on a Unix socket and, if wanted, a loopback port with TLS. */
public final class AdminServer implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(AdminServer.class);

  /** Longest body, bytes: a tenant with 1,000 members is 30 KB. */
  static final int MAX_BODY_BYTES = 512 << 10;

  /** How long a client may take for one request, and how long a connection may be quiet, ms. */
  private static final long REQUEST_TIMEOUT_MS = 10_000;
  private static final int IDLE_TIMEOUT_MS = 60_000;

  /** Connections at a time: guards the process's descriptors, which the rings need too. */
  private static final int MAX_CONNECTIONS = 256;
  private static final int MAX_STREAMS = 64, STREAM_BUFFER_BYTES = 1 << 20;
  private static final ObjectMapper STRICT_JSON = new ObjectMapper().enable(
      DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  private final Vertx vertx;
  private final Control control;
  private final Api api;
  private final List<HttpServer> servers = new ArrayList<>();
  private final Path certFile, keyFile;
  private final int port;
  /** Connections that have not brought a request yet, with their timers; event loop, of which there is
   * one. */
  private final Map<HttpConnection, Long> firstRequestTimers = new HashMap<>();
  private int connections;
  private int streams;

  /** @param socket
   *          path of the Unix socket; a file left there is replaced
   * @param port
   *          on the loopback address; 0: a free one, -1: none
   * @param cert
   *          certificate chain for the port, PEM; null: no TLS
   * @param key
   *          its private key, PEM */
  public AdminServer(Control control, Path socket, int port, Path cert, Path key) throws IOException {
    this.control = control;
    this.certFile = cert;
    this.keyFile = key;
    api = new Api(control);
    vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1)
        .setWorkerPoolSize(1)
        .setInternalBlockingPoolSize(2));
    try {
      Router router = router();
      Files.deleteIfExists(socket);
      listen(router, serverOptions(), SocketAddress.domainSocketAddress(socket.toString()));
      Files.setPosixFilePermissions(socket, PosixFilePermissions.fromString("rw-------"));
      HttpServerOptions tls = serverOptions();
      if (cert != null) {
        tls.setSsl(true).setKeyCertOptions(keyCertOptions());
      }
      this.port = port < 0 ? -1 : listen(router, tls, SocketAddress.inetSocketAddress(port, "127.0.0.1"));
    } catch (IOException | RuntimeException e) {
      close();
      throw e;
    }
    LOG.atInfo()
        .addKeyValue("socket", socket)
        .addKeyValue("port", this.port)
        .addKeyValue("tls", cert != null)
        .log("admin.started");
  }

  /** Makes the first operator's token and writes it, readable by the owner alone, unless some operator has
   * one. */
  public static void bootstrap(Control control, Path file) throws IOException {
    boolean needed = control.read(r -> r.tokens().stream().noneMatch(t -> t.tenant() == 0)).join();
    if (needed) {
      AuthenticatedCaller.IssuedToken made = AuthenticatedCaller.issueToken("operator", 0);
      Path half = file.resolveSibling(file.getFileName() + ".half");
      Files.deleteIfExists(half);
      Files.createFile(half, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString(
          "rw-------")));
      Files.writeString(half, made.token() + "\n");
      Files.move(half, file, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
      control.command((r, at) -> r.putToken(at, "gateway", made.recorded()), r -> null).join();
    }
  }

  private PemKeyCertOptions keyCertOptions() {
    return new PemKeyCertOptions().addCertPath(certFile.toString()).addKeyPath(keyFile.toString());
  }

  private static HttpServerOptions serverOptions() {
    // A client that changes a clear connection over to HTTP/2 with its first request may never see the
    // answer.
    return new HttpServerOptions().setHttp2ClearTextEnabled(false)
        .setIdleTimeout(IDLE_TIMEOUT_MS)
        .setIdleTimeoutUnit(TimeUnit.MILLISECONDS)
        .setMaxInitialLineLength(4096)
        .setMaxHeaderSize(8192);
  }

  private int listen(Router router, HttpServerOptions options, SocketAddress at) throws IOException {
    HttpServer s = vertx.createHttpServer(options).requestHandler(router).connectionHandler(c -> {
      if (++connections > MAX_CONNECTIONS) {
        c.close();
      }
      // A client that sends its first request slowly, a byte now and then, is never idle: it is cut off here.
      firstRequestTimers.put(c, vertx.setTimer(REQUEST_TIMEOUT_MS, t -> c.close()));
      c.closeHandler(v -> {
        connections--;
        cancelFirstRequestTimer(c);
      });
    });
    try {
      s.listen(at).toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException("administration API at " + at + ": " + e.getMessage(), e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
    servers.add(s);
    return s.actualPort();
  }

  /** Port on the loopback address; -1: none. */
  public int port() {
    return port;
  }

  /** Takes on key and certificate from their files again; connections that stand go on. False: they cannot be
   * used, and the ones before stay. */
  public boolean reloadKeys() {
    if (certFile == null) {
      return true;
    }
    try {
      servers.get(1)
          .updateSSLOptions(new ServerSSLOptions().setKeyCertOptions(keyCertOptions()), true)
          .toCompletionStage()
          .toCompletableFuture()
          .get(10, TimeUnit.SECONDS);
      LOG.atInfo().log("admin.keys");
      return true;
    } catch (ExecutionException | TimeoutException e) {
      LOG.atError().addKeyValue("why", e.getMessage()).log("admin.keys");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return false;
  }

  private Router router() {
    Router router = Router.router(vertx);
    List<OpenApi.Route> routes = OpenApi.routes(api);
    byte[] description = OpenApi.description(routes)
        .toString()
        .getBytes(java.nio.charset.StandardCharsets.UTF_8);
    router.route().handler(this::limitRequestTime);
    router.get("/openapi.json")
        .handler(c -> c.response()
            .putHeader("Content-Type", "application/json")
            .end(io.vertx.core.buffer.Buffer.buffer(description)));
    router.get("/v1/events").handler(this::streamEvents);
    router.route().handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
    for (OpenApi.Route r : routes) {
      List<String> names = new ArrayList<>();
      var m = java.util.regex.Pattern.compile("\\{(\\w+)}").matcher(r.path());
      while (m.find()) {
        names.add(m.group(1));
      }
      router.route(HttpMethod.valueOf(r.method()), r.path().replaceAll("\\{(\\w+)}", ":$1"))
          .handler(c -> answer(c, r, names));
    }
    router.route()
        .handler(c -> sendProblem(c, new ApiException(404, "not found", null,
            "there is nothing of this name here", Map.of())));
    router.route().failureHandler(this::handleFailure);
    for (int code : List.of(400, 405)) {
      router.errorHandler(code, this::handleFailure);
    }
    return router;
  }

  /** What went wrong outside the routes: a body that is too large, a client that left. */
  private void handleFailure(RoutingContext c) {
    int code = c.statusCode() < 400 ? 500 : c.statusCode();
    if (c.response().closed()) {
      return;
    }
    if (code == 500) {
      LOG.atError().setCause(c.failure()).log("admin.fault");
    }
    sendProblem(c, new ApiException(code, ProblemDetails.title(code), code == 413 ? "body" : null, code == 413
        ? "a body may have " + MAX_BODY_BYTES + " bytes"
        : ProblemDetails.title(code), Map.of()));
  }

  private void cancelFirstRequestTimer(HttpConnection c) {
    Long timer = firstRequestTimers.remove(c);
    if (timer != null) {
      vertx.cancelTimer(timer);
    }
  }

  /** A request that is not there whole in time ends its connection. */
  private void limitRequestTime(RoutingContext c) {
    cancelFirstRequestTimer(c.request().connection());
    long timer = vertx.setTimer(REQUEST_TIMEOUT_MS, t -> {
      if (!c.request().isEnded()) {
        c.request().connection().close();
      }
    });
    c.addEndHandler(v -> vertx.cancelTimer(timer));
    c.next();
  }

  private Api.Request toApiRequest(RoutingContext c, JsonNode body) {
    var q = c.request();
    byte[] bytes = c.body() == null || c.body().buffer() == null ? new byte[0] : c.body().buffer().getBytes();
    String digest = q.getHeader("Idempotency-Key") == null
        ? ""
        : AuthenticatedCaller.sha256Hex(q.method() + " " + q.path() + " " + java.util.HexFormat.of()
            .formatHex(bytes));
    return new Api.Request(q.getHeader("Authorization"), q.getHeader("If-Match"), q.getHeader(
        "Idempotency-Key"), body, digest, q.getParam("after"), q.getParam("limit"));
  }

  private void answer(RoutingContext c, OpenApi.Route r, List<String> names) {
    try {
      JsonNode body = r.requestSchema() == null ? null : parseBody(c);
      List<String> parameters = names.stream().map(c::pathParam).toList();
      r.handler()
          .handle(toApiRequest(c, body), parameters)
          .whenComplete((reply, error) -> c.vertx().runOnContext(v -> {
            if (error != null) {
              sendProblem(c, error);
            } else {
              send(c, reply);
            }
          }));
    } catch (ApiException e) {
      sendProblem(c, e);
    }
  }

  private static JsonNode parseBody(RoutingContext c) {
    byte[] bytes = c.body().buffer() == null ? new byte[0] : c.body().buffer().getBytes();
    try {
      JsonNode n = STRICT_JSON.readTree(bytes);
      if (n == null || !n.isObject()) {
        throw ApiException.invalid("body", "must be a JSON object");
      }
      return n;
    } catch (JsonProcessingException e) {
      var at = e.getLocation();
      throw ApiException.invalid("body", "is no JSON at line " + (at == null ? 0 : at.getLineNr())
          + ", column " + (at == null ? 0 : at.getColumnNr()) + ": " + e.getOriginalMessage());
    } catch (IOException e) {
      throw ApiException.invalid("body", e.getMessage());
    }
  }

  private static void send(RoutingContext c, Api.Response r) {
    HttpServerResponse out = c.response();
    if (out.ended() || out.closed()) {
      return;
    }
    out.setStatusCode(r.status());
    if (r.etag() != 0) {
      out.putHeader("ETag", "\"" + Math.max(0, r.etag()) + "\"");
    }
    if (r.location() != null) {
      out.putHeader("Location", r.location());
    }
    if (r.body() == null) {
      out.end();
    } else {
      out.putHeader("Content-Type", "application/json").end(r.body().toString());
    }
  }

  private void sendProblem(RoutingContext c, Throwable e) {
    ApiException p = ProblemDetails.toApiException(e);
    if (p.status == 500) {
      LOG.atError().setCause(e).log("admin.fault");
    }
    HttpServerResponse out = c.response();
    if (out.ended() || out.closed() || out.headWritten()) {
      return;
    }
    if (p.status == 401) {
      out.putHeader("WWW-Authenticate", "Bearer");
    }
    if (p.figures != null && p.figures.get("revision") != null && p.status == 412) {
      out.putHeader("ETag", "\"" + p.figures.get("revision") + "\"");
    }
    out.setStatusCode(p.status)
        .putHeader("Content-Type", "application/problem+json")
        .end(ProblemDetails.toJson(p).toString());
  }

  /** Server-sent events (WHATWG HTML, 9.2). A client that does not read is cut off, so that nothing piles
   * up. */
  private void streamEvents(RoutingContext c) {
    c.request().pause();
    api.eventScope(toApiRequest(c, null)).whenComplete((tenant, error) -> c.vertx().runOnContext(v -> {
      c.request().resume();
      if (error != null) {
        sendProblem(c, error);
      } else if (streams >= MAX_STREAMS) {
        sendProblem(c, new ApiException(503, ProblemDetails.title(503), null, "too many streams", Map.of()));
      } else {
        streamEvents(c, tenant);
      }
    }));
  }

  private void streamEvents(RoutingContext c, long tenant) {
    HttpServerResponse out = c.response()
        .setChunked(true)
        .putHeader("Content-Type", "text/event-stream")
        .putHeader("Cache-Control", "no-store");
    out.setWriteQueueMaxSize(STREAM_BUFFER_BYTES);
    out.write(": begin\n\n");
    streams++;
    var context = vertx.getOrCreateContext();
    Consumer<AuditRecord> listener = t -> context.runOnContext(v -> {
      if (tenant != 0 && t.tenant() != tenant || out.closed()) {
        return;
      }
      if (out.writeQueueFull()) {
        c.request().connection().close();
      } else {
        out.write("id: " + t.sequence() + "\nevent: change\ndata: " + Views.auditRecord(t) + "\n\n");
      }
    });
    // A comment now and then keeps the connection from being idle, and finds out clients that are gone.
    long beat = vertx.setPeriodic(IDLE_TIMEOUT_MS / 4, t -> out.write(": \n\n"));
    control.addAuditListener(listener);
    out.closeHandler(v -> {
      streams--;
      vertx.cancelTimer(beat);
      control.removeAuditListener(listener);
    });
  }

  @Override
  public void close() {
    try {
      vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      LOG.atWarn().addKeyValue("why", e.getMessage()).log("admin.close");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
