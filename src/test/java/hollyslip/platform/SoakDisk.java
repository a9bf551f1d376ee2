package hollyslip.platform;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;

/** A disk server of a soak: it answers each request with its id, or badly, as its seed says. */
final class SoakDisk implements AutoCloseable {
  private static final int HANGS_MS = 4_000, SLOW_MS = 600, QUICK_MS = 20, SECOND_ANSWER_MS = 10;

  private final ServerSocket listener;
  private final SoakAudit audit;
  private final SplittableRandom seeds;

  SoakDisk(SoakAudit audit, long seed) throws IOException {
    this.audit = audit;
    seeds = new SplittableRandom(seed);
    listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    start(() -> {
      while (true) {
        Socket s = listener.accept();
        SplittableRandom random = seeds.split();
        start(() -> serve(s, random));
      }
    });
  }

  private interface Work {
    void run() throws IOException, InterruptedException;
  }

  private static void start(Work work) {
    Thread thread = new Thread(() -> {
      try {
        work.run();
      } catch (IOException over) {
        // The soak or the scheduler closed it.
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

  private void serve(Socket s, SplittableRandom random) throws IOException, InterruptedException {
    try (s) {
      InputStream in = s.getInputStream();
      boolean open = true;
      while (open) {
        int first = in.read();
        long begunAt = SoakAudit.nowMs();
        String rest = first < 0 ? null : Peer.head(in);
        if (rest == null) {
          return;
        }
        Peer.Came c = new Peer.Came(s, (char) first + rest, "");
        String length = c.header("Content-Length");
        int body = length == null ? 0 : Integer.parseInt(length);
        if (in.readNBytes(body).length < body) {
          return;
        }
        open = answer(c, begunAt, random);
      }
    }
  }

  /** Gives whether the connection stays. */
  private boolean answer(Peer.Came c, long begunAt, SplittableRandom random) throws IOException,
      InterruptedException {
    String id = c.header("X-Txn");
    int kind = random.nextInt(100);
    if (kind < 4) {
      c.answer("HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");
      return true;
    }
    audit.ran(id, begunAt, Long.parseLong(c.header("X-Remaining").replace("u", "")));
    if (kind < 10) {
      Thread.sleep(HANGS_MS);
      return false;
    }
    Thread.sleep(random.nextInt(kind < 14 ? SLOW_MS : QUICK_MS));
    if (kind < 18) {
      c.answer("HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n" + id);
      c.on().setSoLinger(true, 0);
      return false;
    } else if (kind < 21) {
      c.answer("noise " + id + "\r\n\r\n");
      return true;
    } else if (kind < 24) {
      c.answer("HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n");
      return true;
    } else if (kind < 28) {
      c.answer("HTTP/1.1 200 OK\r\n\r\n" + id);
      return false;
    }
    c.ok(id);
    if (kind < 32) {
      Thread.sleep(random.nextInt(SECOND_ANSWER_MS));
      c.ok("second" + id);
    }
    return true;
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
