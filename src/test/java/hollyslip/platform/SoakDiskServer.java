package hollyslip.platform;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;

/** A disk server of a soak test: it responds to each request with the id of the request, or injects a fault
 * drawn from its seed. */
final class SoakDiskServer implements AutoCloseable {
  private static final int HANG_MS = 4_000, SLOW_MS = 600, FAST_MS = 20, SECOND_RESPONSE_DELAY_MS = 10;

  private final ServerSocket listener;
  private final SoakAudit audit;
  private final SplittableRandom connectionSeeds;

  SoakDiskServer(SoakAudit audit, long seed) throws IOException {
    this.audit = audit;
    connectionSeeds = new SplittableRandom(seed);
    listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    startDaemon(() -> {
      while (true) {
        Socket socket = listener.accept();
        SplittableRandom random = connectionSeeds.split();
        startDaemon(() -> serve(socket, random));
      }
    });
  }

  private interface IoTask {
    void run() throws IOException, InterruptedException;
  }

  private static void startDaemon(IoTask task) {
    Thread thread = new Thread(() -> {
      try {
        task.run();
      } catch (IOException closed) {
        // The test or the scheduler closed the socket.
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }, "disk server");
    thread.setDaemon(true);
    thread.start();
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  private void serve(Socket socket, SplittableRandom random) throws IOException, InterruptedException {
    try (socket) {
      InputStream in = socket.getInputStream();
      boolean open = true;
      while (open) {
        int first = in.read();
        long firstByteAt = SoakAudit.nowMs();
        String rest = first < 0 ? null : ScriptedServer.readHead(in);
        if (rest == null) {
          return;
        }
        ScriptedServer.ReceivedRequest request = new ScriptedServer.ReceivedRequest(socket, (char) first
            + rest, "");
        String contentLength = request.header("Content-Length");
        int bodyLength = contentLength == null ? 0 : Integer.parseInt(contentLength);
        if (in.readNBytes(bodyLength).length < bodyLength) {
          return;
        }
        open = respond(request, firstByteAt, random);
      }
    }
  }

  /** Responds to a request; returns whether the connection stays open. */
  private boolean respond(ScriptedServer.ReceivedRequest request, long firstByteAt, SplittableRandom random)
      throws IOException,
      InterruptedException {
    String id = request.header("X-Txn");
    int percentile = random.nextInt(100);
    if (percentile < 4) {
      request.respond("HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");
      return true;
    }
    audit.executed(id, firstByteAt, Long.parseLong(request.header("X-Remaining").replace("u", "")));
    if (percentile < 10) {
      Thread.sleep(HANG_MS);
      return false;
    }
    Thread.sleep(random.nextInt(percentile < 14 ? SLOW_MS : FAST_MS));
    if (percentile < 18) {
      request.respond("HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n" + id);
      request.connection().setSoLinger(true, 0);
      return false;
    } else if (percentile < 21) {
      request.respond("noise " + id + "\r\n\r\n");
      return true;
    } else if (percentile < 24) {
      request.respond("HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n");
      return true;
    } else if (percentile < 28) {
      request.respond("HTTP/1.1 200 OK\r\n\r\n" + id);
      return false;
    }
    request.respondOk(id);
    if (percentile < 32) {
      Thread.sleep(random.nextInt(SECOND_RESPONSE_DELAY_MS));
      request.respondOk("second" + id);
    }
    return true;
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
