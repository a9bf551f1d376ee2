package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Race conditions: a request and its client's disconnect, a close and incoming bytes, a shutdown and new
 * connections. The event loop is blocked until both sides of a race have arrived. */
@Timeout(60)
class RaceConditionsTest {
  /** Seen in a test run in which idle clients use up the descriptors: a request and its client's disconnect
   * waited 2.11 s in the accept queue, both were read at once, and the request was still forwarded. */
  @Test
  void aRequestReadTogetherWithItsClientsDisconnectIsNotForwarded() throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture();
        SchedulerFixture.Client stays = fixture.client()) {
      List<SchedulerFixture.Client> leavers = new ArrayList<>();
      try (AutoCloseable held = fixture.blockEventLoop()) {
        for (int i = 0; i < 20; i++) {
          SchedulerFixture.Client client = fixture.client();
          client.send(SchedulerFixture.readRequest("left" + i));
          client.socket.shutdownOutput();
          leavers.add(client);
        }
      }
      for (SchedulerFixture.Client client : leavers) {
        assertEquals("closed", client.readResponse());
        client.close();
      }
      stays.send(SchedulerFixture.readRequest("stays"));
      assertEquals("stays", fixture.diskServer.nextRequest().header("X-Txn"));
      fixture.diskServer.assertNoMoreRequests();
    }
  }

  /** As above, but with a reset, and on a connection that has already served a request. */
  @Test
  void aRequestReadTogetherWithAResetIsNotForwarded() throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture();
        SchedulerFixture.Client stays = fixture.client()) {
      for (int i = 0; i < 20; i++) {
        SchedulerFixture.Client client = fixture.client();
        client.send(SchedulerFixture.readRequest("served" + i));
        fixture.diskServer.nextRequest().respondOk("x");
        assertEquals(200, client.readStatus());
        try (AutoCloseable held = fixture.blockEventLoop()) {
          client.send(SchedulerFixture.readRequest("left" + i));
          client.reset();
        }
      }
      stays.send(SchedulerFixture.readRequest("stays"));
      assertEquals("stays", fixture.diskServer.nextRequest().header("X-Txn"));
      fixture.diskServer.assertNoMoreRequests();
    }
  }

  /** The only connection to the disk server is in use, so this request needs a new one, and its client
   * disconnects before it is sent. */
  @Test
  void aRequestThatNeedsANewConnectionIsNotForwardedAfterItsClientDisconnects() throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture();
        SchedulerFixture.Client stays = fixture.client();
        SchedulerFixture.Client leaves = fixture.client()) {
      // The first request occupies its connection by then, so the next one needs a connection of its own.
      stays.send(SchedulerFixture.readRequest("first"));
      ScriptedServer.ReceivedRequest first = fixture.diskServer.nextRequest();
      try (AutoCloseable held = fixture.blockEventLoop()) {
        leaves.send(SchedulerFixture.readRequest("left"));
        leaves.socket.shutdownOutput();
      }
      assertEquals("closed", leaves.readResponse());
      first.respondOk("x");
      assertEquals(200, stays.readStatus());
      stays.send(SchedulerFixture.readRequest("stays"));
      assertEquals("stays", fixture.diskServer.nextRequest().header("X-Txn"));
      fixture.diskServer.assertNoMoreRequests();
    }
  }

  /** A second copy of a response arrives at the same time as the next request for the same connection. */
  @Test
  void unexpectedBytesOnAReusedConnectionAnswerNoRequest() throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture();
        SchedulerFixture.Client client = fixture.client()) {
      int requests = 0;
      for (String extra : List.of("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ncopy", "HTTP/1.1 2", "\r\n")) {
        ScriptedServer.ReceivedRequest attempt = null;
        for (boolean reused = false; !reused;) {
          ScriptedServer.ReceivedRequest previous = attempt;
          client.send(SchedulerFixture.readRequest("t" + requests++));
          attempt = fixture.diskServer.nextRequest();
          reused = previous != null && previous.connection() == attempt.connection();
          attempt.respondOk("mine");
          assertTrue(client.readResponse().endsWith("mine"));
          // After this delay the connection has been idle long enough to be reused.
          fixture.node.loop()
              .schedule(() -> {}, 2 * DiskConnectionPool.MIN_IDLE_BEFORE_REUSE_US,
                  java.util.concurrent.TimeUnit.MICROSECONDS)
              .sync();
        }
        try (AutoCloseable held = fixture.blockEventLoop()) {
          attempt.respond(extra);
          client.send(SchedulerFixture.readRequest("next" + requests++));
        }
        ScriptedServer.ReceivedRequest next = fixture.diskServer.nextRequest();
        assertNotSame(attempt.connection(), next.connection());
        next.respondOk("fine");
        assertTrue(client.readResponse().endsWith("fine"));
      }
    }
  }

  /** Connections that the operating system has accepted by then must be answered, not reset. */
  @Test
  void connectionsInTheAcceptQueueAtShutdownAreAnswered() throws Exception {
    List<SchedulerFixture.Client> late = new ArrayList<>();
    try (SchedulerFixture fixture = new SchedulerFixture(); SchedulerFixture.Client idle = fixture.client()) {
      idle.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").readStatus();
      try (AutoCloseable held = fixture.blockEventLoop()) {
        fixture.node.drainNow();
        for (int i = 0; i < 10; i++) {
          late.add(fixture.client().send(SchedulerFixture.readRequest("late" + i)));
        }
        // Races with the close of its idle connection: the client would send it again elsewhere.
        idle.send(SchedulerFixture.readRequest("crossing"));
      }
      for (SchedulerFixture.Client client : late) {
        String answer = client.readResponse();
        assertTrue(answer.startsWith("HTTP/1.1 503 ") && answer.contains("Connection: close"), answer);
        assertEquals("closed", client.readResponse());
        client.close();
      }
      String crossing = idle.readResponse();
      assertTrue(crossing.equals("closed") || crossing.startsWith("HTTP/1.1 503 "), crossing);
      assertTrue(fixture.node.awaitTermination(20_000));
      fixture.diskServer.assertNoMoreRequests();
    }
  }

  /** A client waits for up to 20 s while the disk server hangs, but the process is killed 3.7 s after
   * SIGTERM. */
  @Test
  void outstandingRequestsAreAnsweredBeforeTheProcessIsKilled() throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture();
        SchedulerFixture.Client client = fixture.client()) {
      client.send(SchedulerFixture.writeRequest("pay", "t1", null, "x"));
      fixture.diskServer.nextRequest();
      fixture.node.stop();
      assertTrue(fixture.node.awaitTermination(15_000), "the process must not wait for the client's 20 s");
      assertEquals(502, client.readStatus());
    }
  }

  /** The scheduler chose a disk server, and an update in the same event loop iteration announces that it
   * drains. */
  @Test
  void aRequestProcessedWithADrainUpdateGoesToTheReplacement() throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture();
        ScriptedServer other = new ScriptedServer();
        SchedulerFixture.Client client = fixture.client()) {
      ScriptedServer.ReceivedRequest watch = fixture.discovery.nextRequest();
      watch.respond(SchedulerFixture.WATCH_RESPONSE_HEAD);
      for (int i = 0; i < 20; i++) {
        String first = "s-" + i, next = "s-" + (i + 1);
        ScriptedServer before = i % 2 == 0 ? fixture.diskServer : other, after = i % 2 == 0
            ? other
            : fixture.diskServer;
        try (AutoCloseable held = fixture.blockEventLoop()) {
          client.send(SchedulerFixture.readRequest("t" + i));
          watch.respond(SchedulerFixture.httpChunk(SchedulerFixture.nodeListJson(42 + i, false,
              SchedulerFixture.nodeEntryJson(first, before, 0, "draining"),
              SchedulerFixture.nodeEntryJson(next, after, 0, "up"))));
        }
        ScriptedServer.ReceivedRequest attempt = after.nextRequest();
        assertEquals("t" + i, attempt.header("X-Txn"));
        attempt.respondOk("x");
        assertEquals(200, client.readStatus());
        before.assertNoMoreRequests();
      }
    }
  }

  /** The scheduler shuts down its output first; a request that arrives afterwards must not be forwarded. */
  @Test
  void requestsReadAfterTheConnectionEndedAreNotForwarded() throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture();
        SchedulerFixture.Client client = fixture.client()) {
      client.send("GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
      assertTrue(client.readStatus() > 0);
      assertEquals("closed", client.readResponse());
      client.send(SchedulerFixture.readRequest("crossing"));
      Awaitility.await().until(() -> fixture.node.clientConnectionCount() == 0);
      fixture.diskServer.assertNoMoreRequests();
    }
  }

  /** Two concurrent requests with the same volume and key must not be mixed up. */
  @Test
  void requestsWithTheSameVolumeAndKeyKeepTheirOwnBodyDeadlineAndResponse() throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture();
        SchedulerFixture.Client firstClient = fixture.client();
        SchedulerFixture.Client secondClient = fixture.client()) {
      for (int i = 0; i < 10; i++) {
        firstClient.send(SchedulerFixture.writeRequest("put", "a" + i, "same", "A" + i)
            .replace("20000000u", "9000000u"));
        secondClient.send(SchedulerFixture.writeRequest("pay", "b" + i, "same", "B" + i));
        for (int k = 0; k < 2; k++) {
          ScriptedServer.ReceivedRequest attempt = fixture.diskServer.nextRequest();
          boolean first = attempt.header("X-Txn").equals("a" + i);
          assertEquals((first ? "A" : "B") + i, attempt.body());
          assertTrue(attempt.head().startsWith(first ? "PUT /put/" : "PUT /pay/"), attempt.head());
          assertEquals("same", attempt.header("Idempotency-Key"));
          assertEquals(first, Long.parseLong(attempt.header("X-Remaining").replace("u", "")) <= 9_000_000);
          attempt.respondOk(attempt.header("X-Txn"));
        }
        assertTrue(firstClient.readResponse().endsWith("\r\n\r\na" + i));
        assertTrue(secondClient.readResponse().endsWith("\r\n\r\nb" + i));
      }
    }
  }
}
