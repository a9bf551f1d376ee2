package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Requests lost under faults: read and never answered, answered too late, or forwarded after they had ended.
 * A real process between scripted peers; what counts is what passes on the sockets. */
@Timeout(120)
class LostRequestsTest {
  /** An answer may be later than its client's time by this; after that the request is lost, ms. */
  private static final long LATE_MS = 500;

  /** After its client left, a request's attempt may begin so much later, ms. */
  private static final long AFTER_LEAVING_MS = 100;

  /** How soon a reset is seen on loopback, ms. */
  private static final long UNREAD_MS = 200;

  /** How a connection ended, as its client sees it. */
  private enum End {
    ANSWERED, RESET, CLOSED, SILENT
  }

  private static long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  private static String read(String id, int waitsMs) {
    return Site.read(id).replace("20000m", waitsMs + "m");
  }

  private static void write(Socket socket, String bytes) throws IOException {
    socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static End end(Socket socket, int withinMs) throws IOException {
    socket.setSoTimeout(withinMs);
    try {
      return socket.getInputStream().read() < 0 ? End.CLOSED : End.ANSWERED;
    } catch (SocketTimeoutException e) {
      return End.SILENT;
    } catch (SocketException e) {
      return End.RESET;
    }
  }

  @Test
  void requestsWrittenAtOnceEachGetTheirAnswer() throws Exception {
    try (ProcessSite site = new ProcessSite(); Site.Client client = site.client()) {
      site.echo();
      int requests = 200;
      StringBuilder all = new StringBuilder();
      for (int i = 0; i < requests; i++) {
        all.append(read("t" + i, 2000));
      }
      long start = nowMs();
      client.send(all.toString());
      int served = 0;
      for (int i = 0; i < requests; i++) {
        String answer = client.answer();
        assertFalse(answer.equals("closed"), "answers: " + i);
        boolean ok = answer.startsWith("HTTP/1.1 200 ");
        assertTrue(ok || answer.startsWith("HTTP/1.1 503 "), answer);
        assertTrue(!ok || answer.endsWith("\r\n\r\nt" + i), answer);
        served += ok ? 1 : 0;
      }
      assertTrue(nowMs() - start < 2000 + LATE_MS);
      assertTrue(served >= 9, "served: " + served);
    }
  }

  @Test
  void aRequestBehindASlowOneIsAnsweredInItsTime() throws Exception {
    try (ProcessSite site = new ProcessSite(); Site.Client client = site.client()) {
      client.send(read("slow", 15_000).replace("/get/", "/scan/"));
      site.disk.next();
      long start = nowMs();
      client.send(read("fast", 800));
      assertTrue(client.status() > 0, "of the slow one");
      assertTrue(client.status() > 0, "of the fast one");
      assertTrue(nowMs() - start < 800 + LATE_MS, "answered after ms: " + (nowMs() - start));
    }
  }

  /** Whether a request that was written is known not to have been read: the other side resets a connection
   * that it closes over unread bytes, and what comes after. */
  private static boolean isReset(Socket socket) throws InterruptedException {
    long until = nowMs() + UNREAD_MS;
    while (nowMs() < until) {
      try {
        write(socket, "\r\n");
        Thread.sleep(5);
      } catch (IOException brokenPipe) {
        return true;
      }
    }
    return false;
  }

  /** Sends a request on a connection that the scheduler has ended; gives whether it is known to be unread. */
  private static boolean asksInVain(Socket ended) throws InterruptedException {
    try {
      write(ended, read("late", 2000));
    } catch (IOException reset) {
      return true;
    }
    return isReset(ended);
  }

  /** The scheduler ends a connection on which nothing was asked; a request comes just then. */
  @Test
  void aRequestThatCrossesTheEndOfARestingConnectionIsNotReadInVain() throws Exception {
    try (ProcessSite site = new ProcessSite(); Socket client = site.connect()) {
      site.echo();
      assertEquals(End.CLOSED, end(client, 10_000));
      write(client, read("crossing", 2000));
      assertTrue(isReset(client), "the request was read after the end, and nobody answers it");
    }
  }

  /** More connections than there are places, all in the system's queue at once; some have asked, and some ask
   * as they are ended to make room. */
  @Test
  void aRequestOnANewConnectionInACrowdIsAnsweredOrNotRead() throws Exception {
    List<Socket> crowd = new ArrayList<>();
    try (ProcessSite site = new ProcessSite(200, Map.of())) {
      site.echo();
      for (int round = 0; round < 5; round++) {
        site.signal("STOP");
        List<Socket> asked = new ArrayList<>();
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 150; i++) {
          silent.add(site.connect());
          if (i % 5 == 0) {
            Socket asks = site.connect();
            write(asks, read("r" + round + "i" + i, 2000));
            asked.add(asks);
          }
          if (i % 7 == 0) {
            Socket leaves = site.connect();
            leaves.setSoLinger(true, 0);
            leaves.close();
          }
        }
        crowd.addAll(asked);
        crowd.addAll(silent);
        site.signal("CONT");
        for (int i = 0; i < silent.size(); i += 3) {
          try {
            write(silent.get(i), read("s" + round + "i" + i, 2000));
            asked.add(silent.get(i));
          } catch (IOException ended) {
            // It had been reset before this request.
          }
        }
        for (Socket s : asked) {
          End end = end(s, 2000 + (int) LATE_MS);
          assertTrue(end == End.ANSWERED || end == End.RESET || end == End.CLOSED && isReset(s),
              () -> "a request on a new connection: " + end);
          s.close();
        }
        for (int i = 1; i < 30; i += 3) {
          Socket ended = silent.get(i);
          End end = end(ended, 3000);
          assertTrue(end == End.CLOSED && asksInVain(ended) || end == End.RESET, () -> "a silent one: "
              + end);
        }
      }
    } finally {
      for (Socket s : crowd) {
        s.close();
      }
    }
  }

  @Test
  void errorsOfAcceptDelayNobody() throws Exception {
    try (ProcessSite site = new ProcessSite(400, SyscallFaults.environment("FAULT_ACCEPT_EVERY", "3"))) {
      site.echo();
      for (int i = 0; i < 60; i++) {
        long start = nowMs();
        try (Site.Client client = site.client()) {
          assertEquals(200, client.send(read("t" + i, 400)).status());
        }
        assertTrue(nowMs() - start < 400 + LATE_MS, "connection " + i + " took ms: " + (nowMs() - start));
      }
    }
  }

  @Test
  void partOfANextRequestIsEndedWithinItsTime() throws Exception {
    try (ProcessSite site = new ProcessSite(); Site.Client client = site.client()) {
      site.echo();
      long start = nowMs();
      client.send(read("whole", 2000) + read("part", 2000).substring(0, 30));
      assertEquals(200, client.status());
      client.socket.setSoTimeout(3000);
      int status = client.status();
      assertTrue(status == 0 || status == 408, "" + status);
      assertTrue(nowMs() - start < 3000);
    }
  }

  @Test
  void partOfANextRequestDoesNotHoldUpTheEndOfTheProcess() throws Exception {
    try (ProcessSite site = new ProcessSite(); Site.Client client = site.client()) {
      site.echo();
      client.send(read("whole", 2000));
      assertEquals(200, client.status());
      site.signal("TERM");
      Thread.sleep(ProcessSite.KILL_AFTER_MS - 500);
      client.send(read("whole2", 2000) + read("part", 2000).substring(0, 30));
      assertTrue(client.status() > 0);
      assertTrue(site.process.waitFor(500, TimeUnit.MILLISECONDS), "ended before it is killed");
      assertEquals(0, site.process.exitValue());
    }
  }

  /** Writes to the disk server take 1,000 bytes each 20 ms, so 60,000 take more than a second. */
  @Test
  void theRestOfAHalfWrittenRequestIsNotSentAfterItsClientLeft() throws Exception {
    try (ServerSocket disk = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        ProcessSite site = new ProcessSite(400, SyscallFaults.environment("FAULT_WRITE_PORT", "" + disk
            .getLocalPort(), "FAULT_WRITE_BYTES", "1000", "FAULT_WRITE_PAUSE_MS", "20"), List.of("127.0.0.1:"
                + disk.getLocalPort()))) {
      String body = "x".repeat(60_000);
      Socket client = site.connect();
      write(client, Site.write("pay", "left", null, body));
      try (Socket attempt = disk.accept()) {
        InputStream in = attempt.getInputStream();
        assertTrue(Peer.head(in).contains("left"));
        client.close();
        long leftAt = nowMs();
        int came = 0;
        long lastAt = leftAt;
        for (int n = 0; n >= 0;) {
          byte[] bytes = new byte[65_536];
          n = readUntilReset(in, bytes);
          came += Math.max(0, n);
          lastAt = n > 0 ? nowMs() : lastAt;
        }
        assertTrue(came < body.length(), "the whole request came");
        assertTrue(lastAt - leftAt < AFTER_LEAVING_MS, "bytes came after ms: " + (lastAt - leftAt));
      }
    }
  }

  private static int readUntilReset(InputStream in, byte[] bytes) throws IOException {
    try {
      return in.read(bytes);
    } catch (SocketException reset) {
      return -1;
    }
  }

  /** The disk server's queue is full, so the connection comes up only when its first try is repeated. */
  @Test
  void aClientThatLeavesWhileAConnectionComesUpIsNotServed() throws Exception {
    try (ServerSocket disk = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        ProcessSite site = new ProcessSite(400, Map.of(), List.of("127.0.0.1:" + disk.getLocalPort()))) {
      List<Socket> fill = new ArrayList<>();
      for (int i = 0; i < 2; i++) {
        fill.add(new Socket(disk.getInetAddress(), disk.getLocalPort()));
      }
      Socket client = site.connect();
      write(client, Site.write("pay", "left", null, "x"));
      Thread.sleep(300);
      client.close();
      for (int i = 0; i < 2; i++) {
        disk.accept().close();
        fill.get(i).close();
      }
      disk.setSoTimeout(3000);
      try (Socket late = disk.accept()) {
        assertFalse(end(late, 1000) == End.ANSWERED, "bytes for a client that had left");
      } catch (SocketTimeoutException withdrawn) {
        // As good: the connection was given up.
      }
    }
  }

  @Test
  void theDeadlinePassedOnCountsWhileTheProcessIsHeldUp() throws Exception {
    try (ProcessSite site = new ProcessSite(); Site.Client client = site.client()) {
      for (int i = 0; i < 3; i++) {
        client.send(read("warm" + i, 2000));
        site.disk.next().ok("x");
        assertEquals(200, client.status());
      }
      for (int heldMs : new int[]{140, 450, 900}) {
        site.signal("STOP");
        long sentAt = nowMs();
        client.send(unsafe("held" + heldMs, 2000));
        Thread.sleep(heldMs);
        site.signal("CONT");
        Peer.Came c = site.disk.next();
        long leftMs = 2000 - (nowMs() - sentAt);
        long told = Long.parseLong(c.header("X-Remaining").replace("u", "")) / 1000;
        assertTrue(told <= leftMs + 150, "held for " + heldMs + " ms: told " + told + ", left " + leftMs);
        c.ok("x");
        assertEquals(200, client.status());
      }
    }
  }

  /** Their disk server says nothing, so that they are answered when their clients' time is over: that counts
   * from when they were sent, on a kept connection and on one that waits in the listener's queue. */
  @Test
  void whatWaitedToBeReadIsAnsweredInItsClientsTime() throws Exception {
    try (ProcessSite site = new ProcessSite(); Site.Client kept = site.client()) {
      kept.send(read("warm", 2000));
      site.disk.next().ok("x");
      assertEquals(200, kept.status());
      site.signal("STOP");
      long start = nowMs();
      kept.send(unsafe("kept", 1000));
      try (Site.Client queued = site.client()) {
        queued.send(unsafe("queued", 1000));
        Thread.sleep(800);
        site.signal("CONT");
        for (Site.Client client : List.of(kept, queued)) {
          int status = client.status();
          assertTrue(status == 502 || status == 503, "" + status);
          assertTrue(nowMs() - start < 1000 + LATE_MS, "answered after ms: " + (nowMs() - start));
        }
      }
    }
  }

  /** A request that may not be repeated. */
  private static String unsafe(String id, int waitsMs) {
    return Site.write("pay", id, null, "x").replace("20000000u", waitsMs + "m");
  }

  /** A disk server answers twice. Its system holds the second, small write back until the first is
   * acknowledged, which ours does after 40 ms once a connection has been in use for a while. */
  @Test
  void aSecondAnswerThatItsSystemHeldBackMeetsNoOtherRequest() throws Exception {
    try (ProcessSite site = new ProcessSite(); Site.Client client = site.client()) {
      for (int i = 0; i < 10; i++) {
        for (int k = 0; k < 10; k++) {
          client.send(read("warm" + k, 2000));
          site.disk.next().ok("x");
          assertEquals(200, client.status());
          Thread.sleep(28);
        }
        client.send(read("a" + i, 2000));
        Peer.Came c = site.disk.next();
        Thread.sleep(5);
        c.ok("a" + i);
        c.ok("second");
        assertTrue(client.answer().endsWith("\r\n\r\na" + i));
        Thread.sleep(27);
        client.send(read("b" + i, 2000));
        site.disk.next().ok("b" + i);
        String answer = client.answer();
        assertTrue(answer.endsWith("\r\n\r\nb" + i), answer);
      }
    }
  }
}
