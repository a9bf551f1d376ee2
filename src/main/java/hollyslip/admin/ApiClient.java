package hollyslip.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.PemTrustOptions;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Asks the administration API, over its Unix socket or a port with TLS. */
public final class ApiClient implements AutoCloseable {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long TIMEOUT_S = 30;

  /** An answer; {@code body} null: none, {@code tag} and {@code location} may be null. */
  public record Answer(int status, JsonNode body, String tag, String location) {
    /** Whether it says that it was done. */
    public boolean good() {
      return status < 300;
    }
  }

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1)
      .setWorkerPoolSize(1)
      .setInternalBlockingPoolSize(1));
  private final HttpClient http;
  private final SocketAddress server;
  private final boolean tls;
  private final String token;

  private ApiClient(SocketAddress server, Path trusted, String token) {
    this.server = server;
    this.token = token;
    tls = trusted != null;
    HttpClientOptions options = new HttpClientOptions();
    if (tls) {
      options.setSsl(true).setTrustOptions(new PemTrustOptions().addCertPath(trusted.toString()));
    }
    http = vertx.createHttpClient(options);
  }

  /** Over the gateway's Unix socket. */
  public static ApiClient at(Path socket, String token) {
    return new ApiClient(SocketAddress.domainSocketAddress(socket.toString()), null, token);
  }

  /** Over a loopback port; {@code trusted}: certificates that are believed, PEM; null: without TLS. */
  public static ApiClient at(int port, Path trusted, String token) {
    return new ApiClient(SocketAddress.inetSocketAddress(port, "localhost"), trusted, token);
  }

  /** Asks and waits.
   *
   * @param body
   *          null: none
   * @param headers
   *          besides the token
   * @throws IOException
   *           no answer came */
  public Answer ask(String method, String path, JsonNode body, Map<String, String> headers)
      throws IOException {
    RequestOptions options = new RequestOptions().setServer(server)
        .setHost("localhost")
        .setPort(server.port() > 0 ? server.port() : 80)
        .setSsl(tls)
        .setMethod(HttpMethod.valueOf(method))
        .setURI(path)
        .putHeader("Authorization", "Bearer " + token);
    headers.forEach(options::putHeader);
    if (body != null) {
      options.putHeader("Content-Type", method.equals("PATCH")
          ? "application/merge-patch+json"
          : "application/json");
    }
    CompletableFuture<Answer> answer = new CompletableFuture<>();
    // All on the client's own thread: where this one asked for the body, the end of the answer could have
    // passed
    // by then, and the body never came.
    vertx.runOnContext(v -> http.request(options)
        .compose(q -> body == null ? q.send() : q.send(Buffer.buffer(body.toString())))
        .compose(r -> r.body().map(b -> toResponse(r, b)))
        .onSuccess(answer::complete)
        .onFailure(answer::completeExceptionally));
    try {
      return answer.get(TIMEOUT_S, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException(e.getCause() == null
          ? "no answer in " + TIMEOUT_S + " s"
          : e.getCause().getMessage(), e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }

  private static Answer toResponse(HttpClientResponse r, Buffer body) {
    try {
      return new Answer(r.statusCode(), body.length() == 0 ? null : JSON.readTree(body.getBytes()), r
          .getHeader("ETag"), r.getHeader("Location"));
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  @Override
  public void close() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }
}
