package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients on loopback: which requests are accepted or rejected, and what a disk server receives of them. */
@Timeout(60)
class ClientConnectionManagerTest {
  /** The platform's limit for the error or the close that an invalid client gets, ms. */
  private static final long INVALID_CLIENT_LIMIT_MS = 3000;

  @Test
  void aWriteIsRewrittenForTheDiskServerAndItsResponseIsReturnedIntact() throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture();
        SchedulerFixture.Client client = fixture.client()) {
      client.send(SchedulerFixture.writeRequest("put", "9b1f03aa5c7e2d41", "k-1", "some bytes"));
      ScriptedServer.ReceivedRequest attempt = fixture.diskServer.nextRequest();
      assertTrue(attempt.head().startsWith("PUT /put/00/7f3a9c21e0b4d655?a=%20b HTTP/1.1\r\n"), attempt
          .head());
      assertEquals("9b1f03aa5c7e2d41", attempt.header("X-Txn"));
      assertEquals("k-1", attempt.header("Idempotency-Key"));
      assertTrue(attempt.header("X-Remaining").matches("[0-9]+u"), attempt.head());
      assertNull(attempt.header("X-Plan"));
      assertEquals("some bytes", attempt.body());
      attempt.respondOk("stored\r\n\r\n\0");
      assertTrue(client.readResponse().endsWith("\r\n\r\nstored\r\n\r\n\0"));
    }
  }

  static List<String> invalidRequests() {
    String read = SchedulerFixture.readRequest("t1"), write = SchedulerFixture.writeRequest("put", "t1", "k",
        "body");
    List<String> bad = new ArrayList<>(List.of(read.replace("/get/", "/nothing/"), read.replace("gold",
        "lead"), read.replace("X-Txn: t1\r\n", ""), read.replace("t1", "a b"), read.replace("X-Txn: t1",
            "X-Txn: t1\r\nX-Txn: t2"), read.replace("X-Plan: gold\r\n", ""), read.replace("units=2",
                "units=NaN"), read.replace("units=2", "units=7"), read.replace("units=2", "units=0"), read
                    .replace("units=2", "units=-1"), read.replace("units=2,", ""), read.replace("shard=0",
                        "shard=3"), read.replace("shard=0", "shard=-2"), read.replace("hosts=1", "hosts=0"),
        read.replace("volume=00000003b4d60021", "volume=xyz"), read.replace("7f3a9c21e0b4d655", "7f3a"), read
            .replace("GET", "PUT"), read.replace("GET", "DELETE"), write.replace("PUT", "GET"), write.replace(
                "Idempotency-Key: k\r\n", ""), read.replace("X-IO:", "X-Other:"), read.replace("/get/7f",
                    "/7f"), read.replace("\r\n\r\n", "\r\nContent-Length: 3\r\n\r\nabc")));
    for (String time : List.of("", "480", "m", "-5m", "NaNm", "1e9m", "5s", "99999999999999999999m", "0x5m",
        "200001m", "Infinitym")) {
      bad.add(read.replace("20000m", time));
    }
    bad.add(read.replace("X-Remaining: 20000m\r\n", ""));
    return bad;
  }

  @ParameterizedTest
  @MethodSource("invalidRequests")
  void anInvalidRequestIsRejectedAndTheConnectionStaysOpen(String bytes) throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture();
        SchedulerFixture.Client client = fixture.client()) {
      int status = client.send(bytes).readStatus();
      assertTrue(status >= 400 && status < 500, () -> status + " for " + bytes);
      client.send(SchedulerFixture.readRequest("good"));
      ScriptedServer.ReceivedRequest attempt = fixture.diskServer.nextRequest();
      assertEquals("good", attempt.header("X-Txn"), bytes);
      attempt.respondOk("x");
      assertEquals(200, client.readStatus());
    }
  }

  static List<String> invalidFraming() {
    String read = SchedulerFixture.readRequest("t1"), write = SchedulerFixture.writeRequest("put", "t1", "k",
        "body");
    String hidden = write.replace("\r\n\r\nbody", "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
        + SchedulerFixture
            .readRequest("hidden");
    return List.of(hidden, hidden.replace("Transfer-Encoding: chunked", "Transfer-Encoding: xchunked"), write
        .replace("Content-Length: 4", "Transfer-Encoding: chunked") + "\r\n", write.replace(
            "Content-Length: 4", "Transfer-Encoding: xchunked"), write
                .replace("Content-Length: 4", "Transfer-Encoding: gzip, chunked"), write
                    .replace("Content-Length: 4", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"),
        write.replace("Content-Length: 4",
            "Content-Length: 4\r\nContent-Length: 5"), write.replace("Content-Length: 4",
                "Content-Length: -4"), write.replace("Content-Length: 4", "Content-Length: +4"), write
                    .replace("Content-Length: 4", "Content-Length: 0x4"), write.replace("Content-Length: 4",
                        "Content-Length: 99999999999999999999"), write.replace("Content-Length: 4",
                            "Content-Length: 62914560"), write.replace("Content-Length: 4",
                                "Content-Length: 4, 4"), write.replace("Content-Length: 4",
                                    "Content-Length : 4"), read.replace("X-Plan: gold",
                                        "X-Plan: gold\r\n Transfer-Encoding: chunked"), read.replace(
                                            "X-Plan: gold", "X-Plan: go\0ld"), read.replace("X-Plan: gold",
                                                "X-Plan: gold\nX-More: 1"), read.replace("X-Plan: gold",
                                                    "X-Plan: gold\rX-More: 1"), read.replace("HTTP/1.1",
                                                        "HTTP/1.0"), read.replace("HTTP/1.1", "HTTP/9.9"),
        read
            .replace("X-Plan: gold", "X-Plan gold"),
        "noise\1\2\3\r\n\r\n", "\r\n\r\n\r\n\r\n", "GET\r\n\r\n", read.replace("X-Plan: gold", "X-Long: "
            + "a".repeat(9000)), "a".repeat(9000));
  }

  @ParameterizedTest
  @MethodSource("invalidFraming")
  void invalidFramingClosesTheConnectionAndForwardsNothing(String bytes) throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture();
        SchedulerFixture.Client client = fixture.client();
        SchedulerFixture.Client other = fixture.client()) {
      client.send(bytes);
      int status = client.readStatus();
      assertTrue(status == 0 || status >= 400, () -> status + " for " + bytes);
      assertEquals("closed", client.readResponse());
      other.send(SchedulerFixture.readRequest("good"));
      assertEquals("good", fixture.diskServer.nextRequest().header("X-Txn"));
      fixture.diskServer.assertNoMoreRequests();
    }
  }

  @Test
  void aChunkedBodyIsForwardedWithAContentLength() throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture();
        SchedulerFixture.Client client = fixture.client()) {
      String head = SchedulerFixture.writeRequest("put", "t1", "k", "")
          .replace("Content-Length: 0", "Transfer-Encoding: Chunked");
      for (String piece : (head + "4;x=y\r\nsome\r\n6\r\n bytes\r\n0\r\nX-Last: 1\r\n\r\n").split(
          "(?<=\\G.{7})")) {
        client.send(piece);
      }
      ScriptedServer.ReceivedRequest attempt = fixture.diskServer.nextRequest();
      assertEquals("some bytes", attempt.body());
      assertEquals("10", attempt.header("Content-Length"));
      assertNull(attempt.header("Transfer-Encoding"));
      assertNull(attempt.header("X-Last"));
      attempt.respondOk("stored");
      assertTrue(client.readResponse().endsWith("stored"));
      client.send(SchedulerFixture.readRequest("t2")
          .replace("\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));
      fixture.diskServer.nextRequest().respondOk("empty");
      assertTrue(client.readResponse().endsWith("empty"));
      client.send(SchedulerFixture.readRequest("t3")
          .replace("\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"));
      assertEquals(400, client.readStatus());
      fixture.diskServer.assertNoMoreRequests();
    }
  }

  static List<String> invalidChunkedBodies() {
    return List.of("-4\r\nbody\r\n0\r\n\r\n", "+4\r\nbody\r\n0\r\n\r\n", "0x4\r\nbody\r\n0\r\n\r\n",
        "\r\nbody\r\n0\r\n\r\n", "4\nbody\n0\n\n", "4\r\nbodyX0\r\n\r\n",
        "ffffffffffffffff4\r\nbody\r\n0\r\n\r\n", "80000000\r\nbody\r\n0\r\n\r\n", "4 4\r\nbody\r\n0\r\n\r\n",
        "10001\r\n" + "x".repeat(65537) + "\r\n0\r\n\r\n", ("1000\r\n" + "x".repeat(4096) + "\r\n").repeat(17)
            + "0\r\n\r\n");
  }

  @ParameterizedTest
  @MethodSource("invalidChunkedBodies")
  void anInvalidOrOversizedChunkedBodyIsNeverForwarded(String body) throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture();
        SchedulerFixture.Client client = fixture.client();
        SchedulerFixture.Client other = fixture.client()) {
      client.send(SchedulerFixture.writeRequest("put", "t1", "k", "")
          .replace("Content-Length: 0", "Transfer-Encoding: chunked")
          + body);
      int status = client.readStatus();
      assertTrue(status == 0 || status >= 400, () -> "" + status);
      assertEquals("closed", client.readResponse());
      other.send(SchedulerFixture.readRequest("good"));
      assertEquals("good", fixture.diskServer.nextRequest().header("X-Txn"));
      fixture.diskServer.assertNoMoreRequests();
    }
  }

  @Test
  void aDuplicateOfAnOpenIdIsRejectedWithoutAffectingTheFirst() throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture();
        SchedulerFixture.Client first = fixture.client();
        SchedulerFixture.Client second = fixture.client()) {
      first.send(SchedulerFixture.readRequest("t1"));
      ScriptedServer.ReceivedRequest attempt = fixture.diskServer.nextRequest();
      assertEquals(409, second.send(SchedulerFixture.readRequest("t1")).readStatus());
      attempt.respondOk("mine");
      assertTrue(first.readResponse().endsWith("mine"));
      fixture.diskServer.assertNoMoreRequests();
    }
  }

  @Test
  void pipelinedRequestsAreServedInOrder() throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture();
        SchedulerFixture.Client client = fixture.client()) {
      client.send(SchedulerFixture.readRequest("t1") + SchedulerFixture.readRequest("t2")
          .replace("gold", "lead") + SchedulerFixture.readRequest(
              "t3"));
      ScriptedServer.ReceivedRequest attempt = fixture.diskServer.nextRequest();
      assertEquals("t1", attempt.header("X-Txn"));
      fixture.diskServer.assertNoMoreRequests();
      attempt.respondOk("one");
      assertTrue(client.readResponse().endsWith("one"));
      assertEquals(400, client.readStatus());
      ScriptedServer.ReceivedRequest third = fixture.diskServer.nextRequest();
      third.respondOk("three");
      assertTrue(client.readResponse().endsWith("three"));
    }
  }

  /** All requests are answered in order and the connection stays usable; requests beyond the queue limit are
   * refused. */
  @Test
  void pipelinedRequestsBeyondTheQueueLimitAreRefusedInOrder() throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture();
        SchedulerFixture.Client client = fixture.client()) {
      fixture.startEcho();
      int requests = 200;
      StringBuilder all = new StringBuilder();
      for (int i = 0; i < requests; i++) {
        all.append(SchedulerFixture.readRequest("t" + i));
      }
      client.send(all.toString());
      int served = 0;
      for (int i = 0; i < requests; i++) {
        String answer = client.readResponse();
        boolean ok = answer.startsWith("HTTP/1.1 200 ");
        assertTrue(ok && answer.endsWith("\r\n\r\nt" + i) || answer.startsWith("HTTP/1.1 503 "), answer);
        assertTrue(ok || i >= 9, "the first nine requests must be served");
        served += ok ? 1 : 0;
      }
      assertTrue(served < requests, "the queue must be bounded");
      client.send(SchedulerFixture.readRequest("after"));
      assertTrue(client.readResponse().endsWith("after"));
    }
  }

  @Test
  void aRequestWhoseClientDisconnectedWhileItWaitedIsNotForwarded() throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture();
        SchedulerFixture.Client stays = fixture.client()) {
      SchedulerFixture.Client leaves = fixture.client();
      ScriptedServer.ReceivedRequest watch = fixture.discovery.nextRequest();
      leaves.send(SchedulerFixture.readRequest("left", 1));
      leaves.socket.shutdownOutput();
      assertEquals("closed", leaves.readResponse());
      stays.send(SchedulerFixture.readRequest("stays", 1));
      watch.respond(SchedulerFixture.WATCH_RESPONSE_HEAD + SchedulerFixture.httpChunk(SchedulerFixture
          .nodeListJson(42, false, SchedulerFixture.nodeEntryJson(
              "s-1", fixture.diskServer, 1, "up"))
          + "\n"));
      assertEquals("stays", fixture.diskServer.nextRequest().header("X-Txn"));
      fixture.diskServer.assertNoMoreRequests();
      leaves.close();
    }
  }

  @Test
  void aBodySentInPiecesIsAssembled() throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture();
        SchedulerFixture.Client client = fixture.client()) {
      for (String piece : SchedulerFixture.writeRequest("put", "t1", "k", "0123456789")
          .split("(?<=\\G.{40})")) {
        client.send(piece);
      }
      assertEquals("0123456789", fixture.diskServer.nextRequest().body());
    }
  }

  /** The error response has a deadline of its own; until then the request ahead of it may still be served. */
  @Test
  void anErrorQueuedBehindAnOpenRequestLeavesItTimeToFinish() throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture();
        SchedulerFixture.Client client = fixture.client()) {
      client.send(SchedulerFixture.readRequest("t1") + SchedulerFixture.readRequest("t2")
          .replace("gold", "lead"));
      ScriptedServer.ReceivedRequest attempt = fixture.diskServer.nextRequest();
      Thread.sleep(600);
      attempt.respondOk("served");
      assertTrue(client.readResponse().endsWith("served"));
      assertEquals(400, client.readStatus());
    }
  }

  @Test
  void expectContinueIsAnsweredBeforeTheBody() throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture();
        SchedulerFixture.Client client = fixture.client()) {
      String write = SchedulerFixture.writeRequest("put", "t1", "k", "body")
          .replace("\r\n\r\n", "\r\nExpect: 100-continue\r\n\r\n");
      client.send(write.replace("\r\n\r\nbody", "\r\n\r\n"));
      assertEquals("HTTP/1.1 100 Continue\r\n\r\n", ScriptedServer.readHead(client.socket.getInputStream()));
      client.send("body");
      ScriptedServer.ReceivedRequest attempt = fixture.diskServer.nextRequest();
      assertEquals("body", attempt.body());
      attempt.respondOk("x");
      assertEquals(200, client.readStatus());
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "GET /get/7f3a9c21e0b4d655 HT", "half"})
  void anIncompleteRequestTimesOut(String bytes) throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture();
        SchedulerFixture.Client client = fixture.client()) {
      client.send(bytes.equals("half")
          ? SchedulerFixture.writeRequest("put", "t1", "k", "0123456789").replace("789", "")
          : bytes);
      int status = client.readStatus();
      assertTrue(status == 0 || status == 408, () -> "" + status);
      fixture.diskServer.assertNoMoreRequests();
    }
  }

  @Test
  void anOversizedContentLengthIsRejectedBeforeTheBody() throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture();
        SchedulerFixture.Client client = fixture.client()) {
      client.send(SchedulerFixture.writeRequest("put", "t1", "k", "x")
          .replace("Content-Length: 1", "Content-Length: 62914560"));
      try {
        for (int i = 0; i < 60; i++) {
          client.send("x".repeat(1 << 20));
        }
      } catch (IOException connectionClosed) {
        // Expected: the connection may be closed before the whole body is sent.
      }
      int status = client.readStatus();
      assertTrue(status == 0 || status == 413, () -> "" + status);
      fixture.diskServer.assertNoMoreRequests();
    }
  }

  @Test
  void connectionsWithoutRequestsDoNotBlockOtherClients() throws Exception {
    List<SchedulerFixture.Client> silentClients = new ArrayList<>();
    try (SchedulerFixture fixture = new SchedulerFixture()) {
      for (int i = 0; i < 300; i++) {
        silentClients.add(fixture.client());
      }
      try (SchedulerFixture.Client client = fixture.client()) {
        client.send(SchedulerFixture.readRequest("t1"));
        fixture.diskServer.nextRequest().respondOk("x");
        assertEquals(200, client.readStatus());
      }
      for (SchedulerFixture.Client client : silentClients) {
        int status = client.readStatus();
        assertTrue(status == 0 || status == 408);
      }
    } finally {
      for (SchedulerFixture.Client client : silentClients) {
        client.close();
      }
    }
  }

  @Test
  void aClientThatKeepsSendingAfterAFramingErrorIsClosedDespiteAnOpenRequest() throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture();
        SchedulerFixture.Client client = fixture.client()) {
      client.send(SchedulerFixture.readRequest("t1"));
      fixture.diskServer.nextRequest();
      client.send("noise \1\r\n\r\n");
      long closedBy = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(INVALID_CLIENT_LIMIT_MS);
      boolean closed = false;
      while (!closed && System.nanoTime() < closedBy) {
        try {
          client.send("x".repeat(1 << 20));
        } catch (IOException reset) {
          closed = true;
        }
      }
      assertTrue(closed);
    }
  }

  /** A disk server that does not answer holds as many attempts as its window allows. */
  @Test
  void anOverloadRefusalIsPromptAndCarriesRetryAfter() throws Exception {
    List<SchedulerFixture.Client> waiting = new ArrayList<>();
    try (SchedulerFixture fixture = new SchedulerFixture();
        SchedulerFixture.Client client = fixture.client()) {
      for (int i = 0; i < 4; i++) {
        waiting.add(fixture.client().send(SchedulerFixture.readRequest("out" + i)));
        fixture.diskServer.nextRequest();
      }
      client.send(SchedulerFixture.readRequest("t1").replace("20000m", "400m"));
      String answer = client.readResponse();
      assertTrue(answer.startsWith("HTTP/1.1 503 "), answer);
      assertTrue(answer.matches("(?s).*\r\nRetry-After: [0-2]\\.[0-9]{3}\r\n.*"), answer);
      fixture.diskServer.assertNoMoreRequests();
    } finally {
      for (SchedulerFixture.Client client : waiting) {
        client.close();
      }
    }
  }

  @Test
  void afterAStopOpenRequestsAreAnsweredAndTheProcessEnds() throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture();
        SchedulerFixture.Client open = fixture.client();
        SchedulerFixture.Client idle = fixture.client()) {
      open.send(SchedulerFixture.readRequest("t1"));
      ScriptedServer.ReceivedRequest attempt = fixture.diskServer.nextRequest();
      fixture.node.stop();
      idle.send(SchedulerFixture.readRequest("t2"));
      ScriptedServer.ReceivedRequest second = fixture.diskServer.nextRequest();
      attempt.respondOk("x");
      second.respondOk("y");
      assertTrue(open.readResponse().endsWith("x"));
      assertTrue(idle.readResponse().endsWith("y"));
      assertEquals("closed", open.readResponse());
      assertEquals("closed", idle.readResponse());
      assertTrue(fixture.node.awaitTermination(20_000));
    }
  }

  /** The scheduler is notified of the shutdown: a request that no disk server can take is refused promptly,
   * and not only after half of its remaining time, as a request accepted before the shutdown is. */
  @Test
  void afterAStopARequestWithoutADiskServerIsRefusedPromptly() throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture();
        SchedulerFixture.Client before = fixture.client();
        SchedulerFixture.Client after = fixture.client()) {
      before.send(SchedulerFixture.readRequest("t1", 2).replace("20000m", "2400m"));
      Awaitility.await().until(() -> fixture.node.openRequests() == 1);
      fixture.node.stop();
      Awaitility.await().until(() -> fixture.log.toString().contains("node.stopping"));
      after.send(SchedulerFixture.readRequest("t2", 2));
      assertEquals(503, after.readStatus());
      assertEquals(0, before.socket.getInputStream().available());
      assertEquals(503, before.readStatus());
    }
  }
}
