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

/** A scripted party on loopback: whole requests that come to it wait here until the test answers them, byte
 * by byte as it likes. */
final class Peer implements AutoCloseable {
  private static final long PATIENCE_S = 20;

  private final ServerSocket listener;
  private final BlockingQueue<Came> came = new LinkedBlockingQueue<>();

  /** One request as it came, and where. */
  record Came(Socket on, String head, String body) {
    void answer(String bytes) throws IOException {
      on.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    }

    void ok(String body) throws IOException {
      answer("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    String header(String name) {
      return head.lines()
          .filter(l -> l.toLowerCase().startsWith(name.toLowerCase() + ": "))
          .map(l -> l.substring(name.length() + 2))
          .findFirst()
          .orElse(null);
    }

    /** Waits until the other side has closed this connection. */
    void awaitClosed() throws IOException {
      try {
        on.setSoTimeout((int) PATIENCE_S * 1000);
        while (on.getInputStream().read() >= 0) {
          // What else comes does not matter.
        }
      } catch (java.net.SocketException reset) {
        // Closed all the same.
      }
    }
  }

  Peer() throws IOException {
    listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    daemon(() -> {
      while (true) {
        Socket s = listener.accept();
        daemon(() -> read(s));
      }
    });
  }

  private interface Work {
    void run() throws IOException;
  }

  private static void daemon(Work work) {
    Thread t = new Thread(() -> {
      try {
        work.run();
      } catch (IOException over) {
        // The test or the other side closed it.
      }
    }, "peer");
    t.setDaemon(true);
    t.start();
  }

  /** Reads until the other side ends, then closes: what stayed open would count as the scheduler's. */
  private void read(Socket s) throws IOException {
    try (s) {
      requests(s);
    }
  }

  private void requests(Socket s) throws IOException {
    InputStream in = s.getInputStream();
    for (String head = head(in); head != null; head = head(in)) {
      Came c = new Came(s, head, "");
      String length = c.header("Content-Length");
      byte[] body = in.readNBytes(length == null ? 0 : Integer.parseInt(length));
      came.add(new Came(s, head, new String(body, StandardCharsets.ISO_8859_1)));
    }
  }

  /** Bytes up to an empty line, or null at the end. */
  static String head(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    while (!bytes.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
      int b = in.read();
      if (b < 0) {
        return null;
      }
      bytes.write(b);
    }
    return bytes.toString(StandardCharsets.ISO_8859_1);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** The next request, waiting for it. */
  Came next() throws InterruptedException {
    Came c = came.poll(PATIENCE_S, TimeUnit.SECONDS);
    assertNotNull(c, "a request should have come");
    return c;
  }

  /** Answers each request with its own id, from now on. */
  void echo() {
    daemon(() -> {
      try {
        while (true) {
          echo(came.take());
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    });
  }

  private static void echo(Came c) {
    try {
      c.ok(c.header("X-Txn"));
    } catch (IOException gone) {
      // The scheduler gave this attempt up.
    }
  }

  /** Nothing has come that was not taken. */
  void nothingElse() {
    assertNull(came.peek());
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
