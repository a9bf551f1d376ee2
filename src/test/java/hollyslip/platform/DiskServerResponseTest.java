package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Responses and connection ends of scripted disk servers on loopback, and what the client gets of them. */
@Timeout(60)
class DiskServerResponseTest {
  private static final String TURNED_AWAY = "HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";

  @Test
  void turnedAwayRequestIsRetriedEvenIfItMustNotRunTwice() throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture();
        SchedulerFixture.Client client = fixture.client()) {
      client.send(SchedulerFixture.writeRequest("pay", "t1", null, "x"));
      fixture.diskServer.nextRequest().respond(TURNED_AWAY);
      fixture.diskServer.nextRequest().respondOk("done");
      assertTrue(client.readResponse().endsWith("done"));
    }
  }

  static List<String> unusableResponses() {
    return List.of("HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "noise noise noise", "HTTP/1.1 200 OK\r\nX: " + "a"
            .repeat(10_000), "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nabc", "HTTP/1.1 200 OK\r\n\r\nabc<reset>",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nabc<close>",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n",
        "HTTP/1.1 200 OK\nContent-Length: 3\n\nabc\r\n\r\n", "HTTP/1.1 OK\r\nContent-Length: 3\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nX\0Y: 1\r\nContent-Length: 3\r\n\r\nabc", "HTTP/1.1 100 Continue\r\n\r\n".repeat(
            20), "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\nabc<close>",
        "HTTP/1.1 200 OK\r\nContent-Le<close>", "<close>");
  }

  @ParameterizedTest
  @MethodSource("unusableResponses")
  void unusableResponseIsAFailureAndNothingOfItIsPassedOn(String bytes) throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture();
        SchedulerFixture.Client client = fixture.client()) {
      client.send(SchedulerFixture.writeRequest("pay", "t1", null, "x"));
      ScriptedServer.ReceivedRequest request = fixture.diskServer.nextRequest();
      request.respond(bytes.replace("<close>", "").replace("<reset>", ""));
      if (bytes.endsWith("<reset>")) {
        request.connection().setSoLinger(true, 0);
        request.connection().close();
      } else if (bytes.endsWith("<close>")) {
        request.connection().close();
      }
      String answer = client.readResponse();
      assertTrue(answer.startsWith("HTTP/1.1 502 "), answer);
      assertFalse(answer.contains("abc"), answer);
      client.send(SchedulerFixture.readRequest("t2"));
      ScriptedServer.ReceivedRequest next = fixture.diskServer.nextRequest();
      assertEquals("t2", next.header("X-Txn"), "a request that may have run must not be sent again");
      if (!bytes.startsWith("HTTP/1.1 50")) {
        assertNotSame(request.connection(), next.connection());
      }
      next.respondOk("fine");
      assertTrue(client.readResponse().endsWith("fine"));
    }
  }

  @Test
  void interimResponsesAreSkipped() throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture();
        SchedulerFixture.Client client = fixture.client()) {
      client.send(SchedulerFixture.readRequest("t1"));
      fixture.diskServer.nextRequest()
          .respond("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
              + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nreal");
      assertTrue(client.readResponse().endsWith("real"));
    }
  }

  /** Disk servers were seen to send several hundred KiB, more than the limit of a request body. */
  @Test
  void largeResponsesArePassedOnCompletely() throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture();
        SchedulerFixture.Client client = fixture.client()) {
      for (int i = 0; i < 20; i++) {
        String large = ("" + i).repeat(300_000);
        client.send(SchedulerFixture.readRequest("t" + i));
        fixture.diskServer.nextRequest().respondOk(large);
        assertTrue(client.readResponse().endsWith("\r\n\r\n" + large));
      }
      client.send(SchedulerFixture.readRequest("last"));
      fixture.diskServer.nextRequest().respond("HTTP/1.1 200 OK\r\nContent-Length: 4194305\r\n\r\n");
      fixture.diskServer.nextRequest().respondOk("small");
      assertTrue(client.readResponse().endsWith("small"));
    }
  }

  @Test
  void chunkedResponsesAreReadCompletely() throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture();
        SchedulerFixture.Client client = fixture.client()) {
      client.send(SchedulerFixture.readRequest("t1"));
      fixture.diskServer.nextRequest()
          .respond("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n");
      assertTrue(client.readResponse().endsWith("\r\n\r\nabcde"));
    }
  }

  /** Extra bytes come in the segment of the response, or as soon as the response has been passed on. */
  @Test
  void bytesAfterAResponseAreNeverTakenForTheNextResponse() throws Exception {
    String duplicate = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ncopy";
    for (String extra : List.of(duplicate, "noise", "HTTP/1.1 2", "\r\n")) {
      for (boolean later : List.of(false, true)) {
        try (SchedulerFixture fixture = new SchedulerFixture();
            SchedulerFixture.Client client = fixture.client()) {
          client.send(SchedulerFixture.readRequest("t1"));
          ScriptedServer.ReceivedRequest request = fixture.diskServer.nextRequest();
          request.respond("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine" + (later ? "" : extra));
          assertTrue(client.readResponse().endsWith("mine"));
          if (later) {
            request.respond(extra);
          }
          request.awaitClosed();
          client.send(SchedulerFixture.readRequest("t2"));
          ScriptedServer.ReceivedRequest next = fixture.diskServer.nextRequest();
          assertNotSame(request.connection(), next.connection());
          next.respondOk("next");
          assertTrue(client.readResponse().endsWith("next"));
        }
      }
    }
  }

  /** A response without a length is complete at an orderly close of the connection, but not at a reset. */
  @Test
  void responseWithoutALengthIsCompleteAtTheEndOfItsConnection() throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture();
        SchedulerFixture.Client client = fixture.client()) {
      for (String header : List.of("", "Connection: close\r\n")) {
        client.send(SchedulerFixture.writeRequest("pay", "t" + header.length(), null, "x"));
        ScriptedServer.ReceivedRequest request = fixture.diskServer.nextRequest();
        request.respond("HTTP/1.1 200 OK\r\n" + header + "\r\nall ");
        request.respond("of it");
        request.connection().shutdownOutput();
        assertTrue(client.readResponse().endsWith("\r\n\r\nall of it"));
        request.awaitClosed();
      }
    }
  }

  @Test
  void connectionsAreReusedForOneRequestAtATime() throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture();
        SchedulerFixture.Client client = fixture.client()) {
      Set<Socket> seen = new HashSet<>();
      int requests = 0;
      boolean reused = false;
      while (!reused) {
        client.send(SchedulerFixture.readRequest("t" + requests++));
        ScriptedServer.ReceivedRequest request = fixture.diskServer.nextRequest();
        reused = !seen.add(request.connection());
        request.respondOk("x");
        assertEquals(200, client.readStatus());
      }
      assertTrue(requests > 1);
    }
  }

  /** Discovery moves a disk server while a request is in progress at its old address. */
  @Test
  void connectionToAFormerAddressIsNotKept() throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture();
        ScriptedServer moved = new ScriptedServer();
        SchedulerFixture.Client client = fixture.client();
        SchedulerFixture.Client other = fixture.client()) {
      client.send(SchedulerFixture.readRequest("t1"));
      ScriptedServer.ReceivedRequest old = fixture.diskServer.nextRequest();
      fixture.discovery.nextRequest()
          .respond(SchedulerFixture.WATCH_RESPONSE_HEAD + SchedulerFixture.httpChunk(SchedulerFixture
              .nodeListJson(42, false, SchedulerFixture.nodeEntryJson(
                  "s-0", moved, 0, "up"), SchedulerFixture.nodeEntryJson(
                      "s-1", moved, 1, "up")) + "\n"));
      other.send(SchedulerFixture.readRequest("in-force", 1));
      moved.nextRequest().respondOk("x");
      old.respondOk("late");
      assertTrue(client.readResponse().endsWith("late"));
      old.awaitClosed();
    }
  }

  @Test
  void connectionClosedByTheDiskServerIsNotUsed() throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture();
        SchedulerFixture.Client client = fixture.client()) {
      for (int i = 0; i < 20; i++) {
        client.send(SchedulerFixture.writeRequest("pay", "t" + i, null, "x"));
        ScriptedServer.ReceivedRequest request = fixture.diskServer.nextRequest();
        request.respondOk("x");
        request.connection().shutdownOutput();
        request.awaitClosed();
        assertEquals(200, client.readStatus());
      }
    }
  }
}
