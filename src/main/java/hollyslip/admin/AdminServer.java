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

/** Serves the administration API over HTTP on a Unix socket and, optionally, on a loopback port with TLS. */
public final class AdminServer implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(AdminServer.class);

  /** Maximum size of a request body, bytes; a tenant with 1,000 members takes 30 KB. */
  static final int MAX_BODY_BYTES = 512 << 10;

  /** Time limit for receiving one request, and idle timeout of a connection, ms. */
  private static final long REQUEST_TIMEOUT_MS = 10_000;
  private static final int IDLE_TIMEOUT_MS = 60_000;

  /** Maximum number of connections; protects the process's file descriptors, which the rings need too. */
  private static final int MAX_CONNECTIONS = 256;
  private static final int MAX_STREAMS = 64, STREAM_BUFFER_BYTES = 1 << 20;
  private static final ObjectMapper STRICT_JSON = new ObjectMapper().enable(
      DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  private final Vertx vertx;
  private final ControlPlane control;
  private final Api api;
  private final List<HttpServer> servers = new ArrayList<>();
  private final Path certFile, keyFile;
  private final int port;
  /** Timers of connections that have not sent a complete request head yet; used on the single event loop
   * only. */
  private final Map<HttpConnection, Long> firstRequestTimers = new HashMap<>();
  private int connections;
  private int streams;

  /** @param socket
   *          path of the Unix socket; an existing file is replaced
   * @param port
   *          port on the loopback address; 0: any free port, -1: none
   * @param certFile
   *          certificate chain for the port, PEM; null: no TLS
   * @param keyFile
   *          private key of the certificate, PEM */
  public AdminServer(ControlPlane control, Path socket, int port, Path certFile, Path keyFile)
      throws IOException {
    this.control = control;
    this.certFile = certFile;
    this.keyFile = keyFile;
    api = new Api(control);
    vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1)
        .setWorkerPoolSize(1)
        .setInternalBlockingPoolSize(2));
    try {
      Router router = router();
      Files.deleteIfExists(socket);
      listen(router, serverOptions(), SocketAddress.domainSocketAddress(socket.toString()));
      Files.setPosixFilePermissions(socket, PosixFilePermissions.fromString("rw-------"));
      HttpServerOptions tcpOptions = serverOptions();
      if (certFile != null) {
        tcpOptions.setSsl(true).setKeyCertOptions(keyCertOptions());
      }
      this.port = port < 0
          ? -1
          : listen(router, tcpOptions, SocketAddress.inetSocketAddress(port, "127.0.0.1"));
    } catch (IOException | RuntimeException e) {
      close();
      throw e;
    }
    LOG.atInfo()
        .addKeyValue("socket", socket)
        .addKeyValue("port", this.port)
        .addKeyValue("tls", certFile != null)
        .log("admin.started");
  }

  /** Creates the first operator token and writes it to a file that only the owner can read, unless an
   * operator token exists. */
  public static void ensureOperatorToken(ControlPlane control, Path file) throws IOException {
    boolean needed = control.read(route -> route.tokens().stream().noneMatch(t -> t.tenant() == 0)).join();
    if (needed) {
      AuthenticatedCaller.IssuedToken issued = AuthenticatedCaller.issueToken("operator", 0);
      Path temporaryFile = file.resolveSibling(file.getFileName() + ".half");
      Files.deleteIfExists(temporaryFile);
      Files.createFile(temporaryFile, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString(
          "rw-------")));
      Files.writeString(temporaryFile, issued.token() + "\n");
      Files.move(temporaryFile, file, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
      control.execute((route, address) -> route.createToken(address, "gateway", issued.storedToken()),
          route -> null).join();
    }
  }

  private PemKeyCertOptions keyCertOptions() {
    return new PemKeyCertOptions().addCertPath(certFile.toString()).addKeyPath(keyFile.toString());
  }

  private static HttpServerOptions serverOptions() {
    // A client that upgrades a cleartext connection to HTTP/2 with its first request may never receive the
    // response.
    return new HttpServerOptions().setHttp2ClearTextEnabled(false)
        .setIdleTimeout(IDLE_TIMEOUT_MS)
        .setIdleTimeoutUnit(TimeUnit.MILLISECONDS)
        .setMaxInitialLineLength(4096)
        .setMaxHeaderSize(8192);
  }

  private int listen(Router router, HttpServerOptions options, SocketAddress address) throws IOException {
    HttpServer server = vertx.createHttpServer(options).requestHandler(router).connectionHandler(context -> {
      if (++connections > MAX_CONNECTIONS) {
        context.close();
      }
      // A client that sends its first request byte by byte is never idle; this timer closes its connection.
      firstRequestTimers.put(context, vertx.setTimer(REQUEST_TIMEOUT_MS, t -> context.close()));
      context.closeHandler(v -> {
        connections--;
        cancelFirstRequestTimer(context);
      });
    });
    try {
      server.listen(address).toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException("administration API at " + address + ": " + e.getMessage(), e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
    servers.add(server);
    return server.actualPort();
  }

  /** Returns the port on the loopback address, or -1 if there is none. */
  public int port() {
    return port;
  }

  /** Reloads key and certificate from their files. Existing connections continue. Returns false if the new
   * ones cannot be used; the previous ones then stay in use. */
  public boolean reloadCertificate() {
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
        .handler(context -> context.response()
            .putHeader("Content-Type", "application/json")
            .end(io.vertx.core.buffer.Buffer.buffer(description)));
    router.get("/v1/events").handler(this::streamEvents);
    router.route().handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
    for (OpenApi.Route route : routes) {
      List<String> names = new ArrayList<>();
      var matcher = java.util.regex.Pattern.compile("\\{(\\w+)}").matcher(route.path());
      while (matcher.find()) {
        names.add(matcher.group(1));
      }
      router.route(HttpMethod.valueOf(route.method()), route.path().replaceAll("\\{(\\w+)}", ":$1"))
          .handler(context -> answer(context, route, names));
    }
    router.route()
        .handler(context -> sendProblem(context, new ApiException(404, "not found", null, "no such resource",
            Map.of())));
    router.route().failureHandler(this::handleFailure);
    for (int code : List.of(400, 405)) {
      router.errorHandler(code, this::handleFailure);
    }
    return router;
  }

  /** Handles failures outside the routes, such as a body that is too large or a client that disconnected. */
  private void handleFailure(RoutingContext context) {
    int code = context.statusCode() < 400 ? 500 : context.statusCode();
    if (context.response().closed()) {
      return;
    }
    if (code == 500) {
      LOG.atError().setCause(context.failure()).log("admin.fault");
    }
    sendProblem(context, new ApiException(code, ProblemDetails.title(code), code == 413 ? "body" : null,
        code == 413 ? "a body must not exceed " + MAX_BODY_BYTES + " bytes" : ProblemDetails.title(code), Map
            .of()));
  }

  private void cancelFirstRequestTimer(HttpConnection context) {
    Long timer = firstRequestTimers.remove(context);
    if (timer != null) {
      vertx.cancelTimer(timer);
    }
  }

  /** Closes the connection of a request that is not received completely in time. */
  private void limitRequestTime(RoutingContext context) {
    cancelFirstRequestTimer(context.request().connection());
    long timer = vertx.setTimer(REQUEST_TIMEOUT_MS, t -> {
      if (!context.request().isEnded()) {
        context.request().connection().close();
      }
    });
    context.addEndHandler(v -> vertx.cancelTimer(timer));
    context.next();
  }

  private Api.Request toApiRequest(RoutingContext context, JsonNode body) {
    var request = context.request();
    byte[] bytes = context.body() == null || context.body().buffer() == null
        ? new byte[0]
        : context.body().buffer().getBytes();
    String digest = request.getHeader("Idempotency-Key") == null
        ? ""
        : AuthenticatedCaller.sha256Hex(request.method() + " " + request.path() + " " + java.util.HexFormat
            .of()
            .formatHex(bytes));
    return new Api.Request(request.getHeader("Authorization"), request.getHeader("If-Match"), request
        .getHeader("Idempotency-Key"), body, digest, request.getParam("after"), request.getParam("limit"));
  }

  private void answer(RoutingContext context, OpenApi.Route route, List<String> names) {
    try {
      JsonNode body = route.requestSchema() == null ? null : parseBody(context);
      List<String> parameters = names.stream().map(context::pathParam).toList();
      route.handler()
          .handle(toApiRequest(context, body), parameters)
          .whenComplete((response, error) -> context.vertx().runOnContext(v -> {
            if (error != null) {
              sendProblem(context, error);
            } else {
              send(context, response);
            }
          }));
    } catch (ApiException e) {
      sendProblem(context, e);
    }
  }

  private static JsonNode parseBody(RoutingContext context) {
    byte[] bytes = context.body().buffer() == null ? new byte[0] : context.body().buffer().getBytes();
    try {
      JsonNode node = STRICT_JSON.readTree(bytes);
      if (node == null || !node.isObject()) {
        throw ApiException.invalid("body", "must be a JSON object");
      }
      return node;
    } catch (JsonProcessingException e) {
      var address = e.getLocation();
      throw ApiException.invalid("body", "is not valid JSON at line " + (address == null
          ? 0
          : address.getLineNr()) + ", column " + (address == null ? 0 : address.getColumnNr()) + ": " + e
              .getOriginalMessage());
    } catch (IOException e) {
      throw ApiException.invalid("body", e.getMessage());
    }
  }

  private static void send(RoutingContext context, Api.Response route) {
    HttpServerResponse out = context.response();
    if (out.ended() || out.closed()) {
      return;
    }
    out.setStatusCode(route.status());
    if (route.etag() != 0) {
      out.putHeader("ETag", "\"" + Math.max(0, route.etag()) + "\"");
    }
    if (route.location() != null) {
      out.putHeader("Location", route.location());
    }
    if (route.body() == null) {
      out.end();
    } else {
      out.putHeader("Content-Type", "application/json").end(route.body().toString());
    }
  }

  private void sendProblem(RoutingContext context, Throwable e) {
    ApiException problem = ProblemDetails.toApiException(e);
    if (problem.status == 500) {
      LOG.atError().setCause(e).log("admin.fault");
    }
    HttpServerResponse out = context.response();
    if (out.ended() || out.closed() || out.headWritten()) {
      return;
    }
    if (problem.status == 401) {
      out.putHeader("WWW-Authenticate", "Bearer");
    }
    if (problem.figures != null && problem.figures.get("revision") != null && problem.status == 412) {
      out.putHeader("ETag", "\"" + problem.figures.get("revision") + "\"");
    }
    out.setStatusCode(problem.status)
        .putHeader("Content-Type", "application/problem+json")
        .end(ProblemDetails.toJson(problem).toString());
  }

  /** Streams server-sent events (WHATWG HTML, 9.2). A client that does not read is disconnected, which bounds
   * the memory that its events take. */
  private void streamEvents(RoutingContext context) {
    context.request().pause();
    api.eventScope(toApiRequest(context, null))
        .whenComplete((tenant, error) -> context.vertx().runOnContext(v -> {
          context.request().resume();
          if (error != null) {
            sendProblem(context, error);
          } else if (streams >= MAX_STREAMS) {
            sendProblem(context, new ApiException(503, ProblemDetails.title(503), null, "too many streams",
                Map.of()));
          } else {
            streamEvents(context, tenant);
          }
        }));
  }

  private void streamEvents(RoutingContext context, long tenant) {
    HttpServerResponse out = context.response()
        .setChunked(true)
        .putHeader("Content-Type", "text/event-stream")
        .putHeader("Cache-Control", "no-store");
    out.setWriteQueueMaxSize(STREAM_BUFFER_BYTES);
    out.write(": begin\n\n");
    streams++;
    var eventLoop = vertx.getOrCreateContext();
    Consumer<AuditRecord> listener = t -> eventLoop.runOnContext(v -> {
      if (tenant != 0 && t.tenant() != tenant || out.closed()) {
        return;
      }
      if (out.writeQueueFull()) {
        context.request().connection().close();
      } else {
        out.write("id: " + t.sequence() + "\nevent: change\ndata: " + Views.auditRecord(t) + "\n\n");
      }
    });
    // A periodic comment keeps the connection from becoming idle and detects clients that have disconnected.
    long keepAliveTimer = vertx.setPeriodic(IDLE_TIMEOUT_MS / 4, t -> out.write(": \n\n"));
    control.addAuditListener(listener);
    out.closeHandler(v -> {
      streams--;
      vertx.cancelTimer(keepAliveTimer);
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
