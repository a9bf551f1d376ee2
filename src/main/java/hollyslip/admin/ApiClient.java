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

/** Client of the administration API, over its Unix socket or a loopback port, optionally with TLS. */
public final class ApiClient implements AutoCloseable {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long TIMEOUT_S = 30;

  /** A response; a body or header that was not sent is null. */
  public record Response(int status, JsonNode body, String etag, String location) {
    /** Whether the request succeeded. */
    public boolean isSuccess() {
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

  private ApiClient(SocketAddress server, Path trustedCertificates, String token) {
    this.server = server;
    this.token = token;
    tls = trustedCertificates != null;
    HttpClientOptions options = new HttpClientOptions();
    if (tls) {
      options.setSsl(true).setTrustOptions(new PemTrustOptions().addCertPath(trustedCertificates.toString()));
    }
    http = vertx.createHttpClient(options);
  }

  /** Creates a client for the gateway's Unix socket. */
  public static ApiClient connect(Path socket, String token) {
    return new ApiClient(SocketAddress.domainSocketAddress(socket.toString()), null, token);
  }

  /** Creates a client for a loopback port; {@code trustedCertificates} is a PEM file, or null for no TLS. */
  public static ApiClient connect(int port, Path trustedCertificates, String token) {
    return new ApiClient(SocketAddress.inetSocketAddress(port, "localhost"), trustedCertificates, token);
  }

  /** Sends a request and waits for the response.
   *
   * @param body
   *          request body; null: none
   * @param headers
   *          headers besides Authorization
   * @throws IOException
   *           no response was received */
  public Response send(String method, String path, JsonNode body, Map<String, String> headers)
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
    CompletableFuture<Response> answer = new CompletableFuture<>();
    // Everything runs on the client's event loop. If this thread asked for the body, the response could have
    // ended before, and the body would never arrive.
    vertx.runOnContext(v -> http.request(options)
        .compose(request -> body == null ? request.send() : request.send(Buffer.buffer(body.toString())))
        .compose(response -> response.body().map(b -> toResponse(response, b)))
        .onSuccess(answer::complete)
        .onFailure(answer::completeExceptionally));
    try {
      return answer.get(TIMEOUT_S, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException(e.getCause() == null
          ? "no response within " + TIMEOUT_S + " s"
          : e.getCause().getMessage(), e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }

  private static Response toResponse(HttpClientResponse response, Buffer body) {
    try {
      return new Response(response.statusCode(), body.length() == 0 ? null : JSON.readTree(body.getBytes()),
          response.getHeader("ETag"), response.getHeader("Location"));
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  @Override
  public void close() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }
}
