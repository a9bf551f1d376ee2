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

/** Guards against lost requests under faults: requests that are read but never answered, answered too late,
 * or forwarded after they have ended. Runs a real scheduler process between scripted peers and checks what
 * passes on the sockets. */
@Timeout(120)
class LostRequestsTest {
  /** A request counts as lost if its response comes this long after the client's deadline, ms. */
  private static final long MAX_LATENESS_MS = 500;

  /** How long after its client disconnected bytes of a request may still be sent, ms. */
  private static final long MAX_SEND_AFTER_DISCONNECT_MS = 100;

  /** Time within which a reset is seen on loopback, ms. */
  private static final long RESET_DETECTION_MS = 200;

  /** How a connection ended as seen by its client. */
  private enum ConnectionEnd {
    ANSWERED, RESET, CLOSED, SILENT
  }

  private static long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  private static String read(String id, int waitsMs) {
    return SchedulerFixture.readRequest(id).replace("20000m", waitsMs + "m");
  }

  private static void write(Socket socket, String bytes) throws IOException {
    socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static ConnectionEnd awaitEnd(Socket socket, int withinMs) throws IOException {
    socket.setSoTimeout(withinMs);
    try {
      return socket.getInputStream().read() < 0 ? ConnectionEnd.CLOSED : ConnectionEnd.ANSWERED;
    } catch (SocketTimeoutException e) {
      return ConnectionEnd.SILENT;
    } catch (SocketException e) {
      return ConnectionEnd.RESET;
    }
  }

  @Test
  void pipelinedRequestsAreAllAnswered() throws Exception {
    try (SchedulerProcessFixture fixture = new SchedulerProcessFixture();
        SchedulerFixture.Client client = fixture.client()) {
      fixture.startEcho();
      int requests = 200;
      StringBuilder all = new StringBuilder();
      for (int i = 0; i < requests; i++) {
        all.append(read("t" + i, 2000));
      }
      long start = nowMs();
      client.send(all.toString());
      int served = 0;
      for (int i = 0; i < requests; i++) {
        String answer = client.readResponse();
        assertFalse(answer.equals("closed"), "responses before the connection closed: " + i);
        boolean ok = answer.startsWith("HTTP/1.1 200 ");
        assertTrue(ok || answer.startsWith("HTTP/1.1 503 "), answer);
        assertTrue(!ok || answer.endsWith("\r\n\r\nt" + i), answer);
        served += ok ? 1 : 0;
      }
      assertTrue(nowMs() - start < 2000 + MAX_LATENESS_MS);
      assertTrue(served >= 9, "served: " + served);
    }
  }

  @Test
  void aRequestQueuedBehindASlowOneIsAnsweredInTime() throws Exception {
    try (SchedulerProcessFixture fixture = new SchedulerProcessFixture();
        SchedulerFixture.Client client = fixture.client()) {
      client.send(read("slow", 15_000).replace("/get/", "/scan/"));
      fixture.diskServer.nextRequest();
      long start = nowMs();
      client.send(read("fast", 800));
      assertTrue(client.readStatus() > 0, "the slow request must be answered");
      assertTrue(client.readStatus() > 0, "the fast request must be answered");
      assertTrue(nowMs() - start < 800 + MAX_LATENESS_MS, "answered after ms: " + (nowMs() - start));
    }
  }

  /** Whether a written request is known to be unread: the other side resets a connection that it closes with
   * unread bytes, or that receives bytes after the close. */
  private static boolean isReset(Socket socket) throws InterruptedException {
    long until = nowMs() + RESET_DETECTION_MS;
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

  /** Sends a request on a connection that the scheduler has closed; returns whether the request is known to
   * be unread. */
  private static boolean isKnownUnread(Socket ended) throws InterruptedException {
    try {
      write(ended, read("late", 2000));
    } catch (IOException reset) {
      return true;
    }
    return isReset(ended);
  }

  /** The scheduler closes a connection that never carried a request, and a request arrives at the same
   * time. */
  @Test
  void aRequestThatRacesWithAnIdleCloseIsNotReadAndDropped() throws Exception {
    try (SchedulerProcessFixture fixture = new SchedulerProcessFixture(); Socket client = fixture.connect()) {
      fixture.startEcho();
      assertEquals(ConnectionEnd.CLOSED, awaitEnd(client, 10_000));
      write(client, read("crossing", 2000));
      assertTrue(isReset(client), "the request was read after the close and is never answered");
    }
  }

  /** More connections than the limit allows wait in the accept queue at once. Some have already sent a
   * request, and some send one while they are being evicted. */
  @Test
  void atTheConnectionLimitNewRequestsAreAnsweredOrKnownUnread() throws Exception {
    List<Socket> sockets = new ArrayList<>();
    try (SchedulerProcessFixture fixture = new SchedulerProcessFixture(200, Map.of())) {
      fixture.startEcho();
      for (int round = 0; round < 5; round++) {
        fixture.suspend();
        List<Socket> requestSockets = new ArrayList<>();
        List<Socket> silentSockets = new ArrayList<>();
        for (int i = 0; i < 150; i++) {
          silentSockets.add(fixture.connect());
          if (i % 5 == 0) {
            Socket asks = fixture.connect();
            write(asks, read("r" + round + "i" + i, 2000));
            requestSockets.add(asks);
          }
          if (i % 7 == 0) {
            Socket leaves = fixture.connect();
            leaves.setSoLinger(true, 0);
            leaves.close();
          }
        }
        sockets.addAll(requestSockets);
        sockets.addAll(silentSockets);
        fixture.signal("CONT");
        for (int i = 0; i < silentSockets.size(); i += 3) {
          try {
            write(silentSockets.get(i), read("s" + round + "i" + i, 2000));
            requestSockets.add(silentSockets.get(i));
          } catch (IOException ended) {
            // The connection was reset before this request.
          }
        }
        for (Socket s : requestSockets) {
          ConnectionEnd end = awaitEnd(s, 2000 + (int) MAX_LATENESS_MS);
          assertTrue(end == ConnectionEnd.ANSWERED || end == ConnectionEnd.RESET
              || end == ConnectionEnd.CLOSED && isReset(s),
              () -> "a request on a new connection: " + end);
          s.close();
        }
        for (int i = 1; i < 30; i += 3) {
          Socket ended = silentSockets.get(i);
          ConnectionEnd end = awaitEnd(ended, 3000);
          assertTrue(end == ConnectionEnd.CLOSED && isKnownUnread(ended) || end == ConnectionEnd.RESET,
              () -> "a connection without requests: "
                  + end);
        }
      }
    } finally {
      for (Socket s : sockets) {
        s.close();
      }
    }
  }

  /** Clients ask once and keep their connections until none is left. Requests on further connections waited
   * in the accept queue for two seconds, neither answered nor reset. */
  @Test
  void behindIdleClientsAtTheConnectionLimitRequestsDoNotWaitUnread() throws Exception {
    int waitsMs = 500;
    List<SchedulerFixture.Client> clients = new ArrayList<>();
    try (SchedulerProcessFixture fixture = new SchedulerProcessFixture(200, Map.of())) {
      fixture.startEcho();
      int closedUnread = 0;
      for (int i = 0; i < 200 && closedUnread < 5; i++) {
        SchedulerFixture.Client client = fixture.client();
        clients.add(client);
        client.send(read("t" + i, waitsMs));
        ConnectionEnd end = awaitEnd(client.socket, waitsMs + (int) MAX_LATENESS_MS);
        assertTrue(end != ConnectionEnd.SILENT, "the request on connection " + i + " waits unread");
        closedUnread += end == ConnectionEnd.ANSWERED ? 0 : 1;
      }
      assertTrue(fixture.log.stream().anyMatch(l -> l.contains(" front.full ")), "the limit was reached");
    } finally {
      for (SchedulerFixture.Client client : clients) {
        client.close();
      }
    }
  }

  /** More input than is discarded after an error closed the connection under an open request. */
  @Test
  void anOpenRequestIsAnsweredAlthoughMuchInvalidInputFollows() throws Exception {
    try (SchedulerProcessFixture fixture = new SchedulerProcessFixture();
        SchedulerFixture.Client client = fixture.client()) {
      client.send(read("open", 15_000).replace("/get/", "/scan/"));
      ScriptedServer.ReceivedRequest attempt = fixture.diskServer.nextRequest();
      Thread writer = new Thread(() -> {
        try {
          client.send(" invalid".repeat(1 << 18));
        } catch (IOException closed) {
          // The scheduler does not read all of it.
        }
      }, "client that sends invalid input");
      writer.setDaemon(true);
      writer.start();
      Thread.sleep(300);
      attempt.respondOk("x");
      assertEquals(200, client.readStatus());
    }
  }

  @Test
  void acceptErrorsDoNotDelayClients() throws Exception {
    try (SchedulerProcessFixture fixture = new SchedulerProcessFixture(400, SyscallFaults.environment(
        "FAULT_ACCEPT_EVERY", "3"))) {
      fixture.startEcho();
      for (int i = 0; i < 60; i++) {
        long start = nowMs();
        try (SchedulerFixture.Client client = fixture.client()) {
          assertEquals(200, client.send(read("t" + i, 400)).readStatus());
        }
        assertTrue(nowMs() - start < 400 + MAX_LATENESS_MS, "connection " + i + " took ms: " + (nowMs()
            - start));
      }
    }
  }

  @Test
  void aPartialPipelinedRequestTimesOut() throws Exception {
    try (SchedulerProcessFixture fixture = new SchedulerProcessFixture();
        SchedulerFixture.Client client = fixture.client()) {
      fixture.startEcho();
      long start = nowMs();
      client.send(read("whole", 2000) + read("part", 2000).substring(0, 30));
      assertEquals(200, client.readStatus());
      client.socket.setSoTimeout(3000);
      int status = client.readStatus();
      assertTrue(status == 0 || status == 408, "" + status);
      assertTrue(nowMs() - start < 3000);
    }
  }

  @Test
  void aPartialPipelinedRequestDoesNotDelayShutdown() throws Exception {
    try (SchedulerProcessFixture fixture = new SchedulerProcessFixture();
        SchedulerFixture.Client client = fixture.client()) {
      fixture.startEcho();
      client.send(read("whole", 2000));
      assertEquals(200, client.readStatus());
      fixture.signal("TERM");
      Thread.sleep(SchedulerProcessFixture.KILL_AFTER_MS - 500);
      client.send(read("whole2", 2000) + read("part", 2000).substring(0, 30));
      assertTrue(client.readStatus() > 0);
      assertTrue(fixture.process.waitFor(500, TimeUnit.MILLISECONDS),
          "the process must end before it is killed");
      assertEquals(0, fixture.process.exitValue());
    }
  }

  /** Writes to the disk server pass 1,000 bytes every 20 ms, so 60,000 bytes take more than a second. */
  @Test
  void aPartlyWrittenAttemptStopsWhenItsClientDisconnects() throws Exception {
    try (ServerSocket disk = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        SchedulerProcessFixture fixture = new SchedulerProcessFixture(400, SyscallFaults.environment(
            "FAULT_WRITE_PORT", "" + disk
                .getLocalPort(), "FAULT_WRITE_BYTES", "1000", "FAULT_WRITE_PAUSE_MS", "20"), List.of(
                    "127.0.0.1:"
                        + disk.getLocalPort()))) {
      String body = "x".repeat(60_000);
      Socket client = fixture.connect();
      write(client, SchedulerFixture.writeRequest("pay", "left", null, body));
      try (Socket attempt = disk.accept()) {
        InputStream in = attempt.getInputStream();
        assertTrue(ScriptedServer.readHead(in).contains("left"));
        client.close();
        long leftAt = nowMs();
        int receivedBytes = 0;
        long lastAt = leftAt;
        for (int n = 0; n >= 0;) {
          byte[] bytes = new byte[65_536];
          n = readUntilReset(in, bytes);
          receivedBytes += Math.max(0, n);
          lastAt = n > 0 ? nowMs() : lastAt;
        }
        assertTrue(receivedBytes < body.length(), "the whole request was sent");
        assertTrue(lastAt - leftAt < MAX_SEND_AFTER_DISCONNECT_MS, "bytes were sent after ms: " + (lastAt
            - leftAt));
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

  /** The disk server's accept queue is full, so the connection is established only when its SYN is
   * repeated. */
  @Test
  void aClientThatDisconnectsDuringAConnectIsNotServed() throws Exception {
    try (ServerSocket disk = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        SchedulerProcessFixture fixture = new SchedulerProcessFixture(400, Map.of(), List.of("127.0.0.1:"
            + disk
                .getLocalPort()))) {
      List<Socket> fill = new ArrayList<>();
      for (int i = 0; i < 2; i++) {
        fill.add(new Socket(disk.getInetAddress(), disk.getLocalPort()));
      }
      Socket client = fixture.connect();
      write(client, SchedulerFixture.writeRequest("pay", "left", null, "x"));
      Thread.sleep(300);
      client.close();
      for (int i = 0; i < 2; i++) {
        disk.accept().close();
        fill.get(i).close();
      }
      disk.setSoTimeout(3000);
      try (Socket late = disk.accept()) {
        assertFalse(awaitEnd(late, 1000) == ConnectionEnd.ANSWERED,
            "bytes were sent for a client that had disconnected");
      } catch (SocketTimeoutException withdrawn) {
        // Acceptable as well: the connection attempt was given up.
      }
    }
  }

  @Test
  void theForwardedDeadlineIncludesTimeTheProcessWasSuspended() throws Exception {
    try (SchedulerProcessFixture fixture = new SchedulerProcessFixture();
        SchedulerFixture.Client client = fixture.client()) {
      for (int i = 0; i < 3; i++) {
        client.send(read("warm" + i, 2000));
        fixture.diskServer.nextRequest().respondOk("x");
        assertEquals(200, client.readStatus());
      }
      for (int heldMs : new int[]{140, 450, 900}) {
        fixture.suspend();
        long sentAt = nowMs();
        client.send(unsafeWrite("held" + heldMs, 2000));
        Thread.sleep(heldMs);
        fixture.signal("CONT");
        ScriptedServer.ReceivedRequest attempt = fixture.diskServer.nextRequest();
        assertTrue(attempt.receivedAtMs() - sentAt >= heldMs, "the process was not suspended");
        long leftMs = 2000 - (nowMs() - sentAt);
        long forwardedMs = Long.parseLong(attempt.header("X-Remaining").replace("u", "")) / 1000;
        assertTrue(forwardedMs <= leftMs + 150, "held for " + heldMs + " ms: forwarded " + forwardedMs
            + ", left " + leftMs);
        attempt.respondOk("x");
        assertEquals(200, client.readStatus());
      }
    }
  }

  /** The disk server does not respond, so the requests are answered at their clients' deadline. It must count
   * from when they were sent, both on a kept connection and on one that waits in the accept queue. */
  @Test
  void aRequestThatWaitedUnreadIsAnsweredInTime() throws Exception {
    try (SchedulerProcessFixture fixture = new SchedulerProcessFixture();
        SchedulerFixture.Client kept = fixture.client()) {
      kept.send(read("warm", 2000));
      fixture.diskServer.nextRequest().respondOk("x");
      assertEquals(200, kept.readStatus());
      fixture.suspend();
      long start = nowMs();
      kept.send(unsafeWrite("kept", 1000));
      try (SchedulerFixture.Client queued = fixture.client()) {
        queued.send(unsafeWrite("queued", 1000));
        Thread.sleep(800);
        fixture.signal("CONT");
        for (SchedulerFixture.Client client : List.of(kept, queued)) {
          int status = client.readStatus();
          assertTrue(status == 502 || status == 503, "" + status);
          assertTrue(nowMs() - start < 1000 + MAX_LATENESS_MS, "answered after ms: " + (nowMs() - start));
        }
      }
    }
  }

  /** A write that must not be repeated. */
  private static String unsafeWrite(String id, int waitsMs) {
    return SchedulerFixture.writeRequest("pay", id, null, "x").replace("20000000u", waitsMs + "m");
  }

  /** A disk server responds twice. Its operating system holds the second, small write back until the first is
   * acknowledged (Nagle), which the scheduler's system does after 40 ms (delayed ACK) once a connection has
   * been in use for a while. The second response must not be taken for the response to the next request. */
  @Test
  void aDelayedSecondResponseIsNotMatchedToTheNextRequest() throws Exception {
    try (SchedulerProcessFixture fixture = new SchedulerProcessFixture();
        SchedulerFixture.Client client = fixture.client()) {
      for (int i = 0; i < 10; i++) {
        for (int k = 0; k < 10; k++) {
          client.send(read("warm" + i + "-" + k, 2000));
          fixture.diskServer.nextRequest().respondOk("x");
          assertEquals(200, client.readStatus());
          Thread.sleep(28);
        }
        client.send(read("a" + i, 2000));
        ScriptedServer.ReceivedRequest attempt = fixture.diskServer.nextRequest();
        Thread.sleep(5);
        attempt.respondOk("a" + i);
        attempt.respondOk("second");
        assertTrue(client.readResponse().endsWith("\r\n\r\na" + i));
        Thread.sleep(27);
        client.send(read("b" + i, 2000));
        fixture.diskServer.nextRequest().respondOk("b" + i);
        String answer = client.readResponse();
        assertTrue(answer.endsWith("\r\n\r\nb" + i), answer);
      }
    }
  }
}
