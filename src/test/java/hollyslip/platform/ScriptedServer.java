package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A server on loopback that is scripted by a test: it queues the requests that it receives until the test
 * responds to them, with arbitrary bytes. */
final class ScriptedServer implements AutoCloseable {
  private static final long TIMEOUT_S = 20;

  private final ServerSocket listener;
  private final BlockingQueue<ReceivedRequest> received = new LinkedBlockingQueue<>();

  /** A received request and its connection. */
  record ReceivedRequest(Socket connection, String head, String body, long receivedAtMs) {
    /** A request received now. */
    ReceivedRequest(Socket connection, String head, String body) {
      this(connection, head, body, TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
    }

    void respond(String bytes) throws IOException {
      connection.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    }

    void respondOk(String body) throws IOException {
      respond("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    String header(String name) {
      return head.lines()
          .filter(l -> l.toLowerCase().startsWith(name.toLowerCase() + ": "))
          .map(l -> l.substring(name.length() + 2))
          .findFirst()
          .orElse(null);
    }

    /** Waits until the scheduler has closed this connection. */
    void awaitClosed() throws IOException {
      try {
        connection.setSoTimeout((int) TIMEOUT_S * 1000);
        while (connection.getInputStream().read() >= 0) {
          // Discards further bytes.
        }
      } catch (java.net.SocketException reset) {
        // A reset also closes the connection.
      }
    }
  }

  ScriptedServer() throws IOException {
    listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    startDaemon(() -> {
      while (true) {
        Socket socket = listener.accept();
        startDaemon(() -> serve(socket));
      }
    });
  }

  private interface IoTask {
    void run() throws IOException;
  }

  private static void startDaemon(IoTask task) {
    Thread thread = new Thread(() -> {
      try {
        task.run();
      } catch (IOException closed) {
        // The test or the scheduler closed the socket.
      }
    }, "scripted server");
    thread.setDaemon(true);
    thread.start();
  }

  /** Reads until the scheduler closes the connection, then closes it: an open one would count as the
   * scheduler's. */
  private void serve(Socket socket) throws IOException {
    try (socket) {
      readRequests(socket);
    }
  }

  private void readRequests(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    for (String head = readHead(in); head != null; head = readHead(in)) {
      ReceivedRequest withoutBody = new ReceivedRequest(socket, head, "");
      String contentLength = withoutBody.header("Content-Length");
      byte[] body = in.readNBytes(contentLength == null ? 0 : Integer.parseInt(contentLength));
      received.add(new ReceivedRequest(socket, head, new String(body, StandardCharsets.ISO_8859_1)));
    }
  }

  /** Reads up to and including an empty line; null at the end of the stream. */
  static String readHead(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    while (!bytes.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
      int next = in.read();
      if (next < 0) {
        return null;
      }
      bytes.write(next);
    }
    return bytes.toString(StandardCharsets.ISO_8859_1);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Waits for the next request and takes it. */
  ReceivedRequest nextRequest() throws InterruptedException {
    ReceivedRequest request = received.poll(TIMEOUT_S, TimeUnit.SECONDS);
    assertNotNull(request, "no request was received");
    return request;
  }

  /** Waits up to {@code ms} for the next request and takes it; null if none came. */
  ReceivedRequest pollRequest(long ms) throws InterruptedException {
    return received.poll(Math.max(0, ms), TimeUnit.MILLISECONDS);
  }

  /** From now on, responds to each request with the id of the request. */
  void startEcho() {
    startDaemon(() -> {
      try {
        while (true) {
          respondWithId(received.take());
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    });
  }

  private static void respondWithId(ReceivedRequest request) {
    try {
      request.respondOk(request.header("X-Txn"));
    } catch (IOException gone) {
      // The scheduler has abandoned this attempt.
    }
  }

  /** Asserts that all received requests have been taken. */
  void assertNoMoreRequests() {
    assertNull(received.peek());
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
