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
    try (Site site = new Site(); Site.Client client = site.client()) {
      client.send(Site.write("pay", "t1", null, "x"));
      site.disk.next().answer(TURNED_AWAY);
      site.disk.next().ok("done");
      assertTrue(client.answer().endsWith("done"));
    }
  }

  static List<String> unusableResponses() {
    return List.of("HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "noise noise noise",
        "HTTP/1.1 200 OK\r\nX: " + "a".repeat(10_000),
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nabc", "HTTP/1.1 200 OK\r\n\r\nabc<reset>",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nabc<close>",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n",
        "HTTP/1.1 200 OK\nContent-Length: 3\n\nabc\r\n\r\n", "HTTP/1.1 OK\r\nContent-Length: 3\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nX\0Y: 1\r\nContent-Length: 3\r\n\r\nabc",
        "HTTP/1.1 100 Continue\r\n\r\n".repeat(20), "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\nabc<close>",
        "HTTP/1.1 200 OK\r\nContent-Le<close>", "<close>");
  }

  @ParameterizedTest
  @MethodSource("unusableResponses")
  void unusableResponseIsAFailureAndNothingOfItIsPassedOn(String bytes) throws Exception {
    try (Site site = new Site(); Site.Client client = site.client()) {
      client.send(Site.write("pay", "t1", null, "x"));
      Peer.Came request = site.disk.next();
      request.answer(bytes.replace("<close>", "").replace("<reset>", ""));
      if (bytes.endsWith("<reset>")) {
        request.on().setSoLinger(true, 0);
        request.on().close();
      } else if (bytes.endsWith("<close>")) {
        request.on().close();
      }
      String answer = client.answer();
      assertTrue(answer.startsWith("HTTP/1.1 502 "), answer);
      assertFalse(answer.contains("abc"), answer);
      client.send(Site.read("t2"));
      Peer.Came next = site.disk.next();
      assertEquals("t2", next.header("X-Txn"), "a request that may have run must not be sent again");
      if (!bytes.startsWith("HTTP/1.1 50")) {
        assertNotSame(request.on(), next.on());
      }
      next.ok("fine");
      assertTrue(client.answer().endsWith("fine"));
    }
  }

  @Test
  void interimResponsesAreSkipped() throws Exception {
    try (Site site = new Site(); Site.Client client = site.client()) {
      client.send(Site.read("t1"));
      site.disk.next()
          .answer("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
              + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nreal");
      assertTrue(client.answer().endsWith("real"));
    }
  }

  /** Disk servers were seen to send several hundred KiB, more than the limit of a request body. */
  @Test
  void largeResponsesArePassedOnCompletely() throws Exception {
    try (Site site = new Site(); Site.Client client = site.client()) {
      for (int i = 0; i < 20; i++) {
        String large = ("" + i).repeat(300_000);
        client.send(Site.read("t" + i));
        site.disk.next().ok(large);
        assertTrue(client.answer().endsWith("\r\n\r\n" + large));
      }
      client.send(Site.read("last"));
      site.disk.next().answer("HTTP/1.1 200 OK\r\nContent-Length: 4194305\r\n\r\n");
      site.disk.next().ok("small");
      assertTrue(client.answer().endsWith("small"));
    }
  }

  @Test
  void chunkedResponsesAreReadCompletely() throws Exception {
    try (Site site = new Site(); Site.Client client = site.client()) {
      client.send(Site.read("t1"));
      site.disk.next()
          .answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n");
      assertTrue(client.answer().endsWith("\r\n\r\nabcde"));
    }
  }

  /** Extra bytes come in the segment of the response, or as soon as the response has been passed on. */
  @Test
  void bytesAfterAResponseAreNeverTakenForTheNextResponse() throws Exception {
    String duplicate = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ncopy";
    for (String extra : List.of(duplicate, "noise", "HTTP/1.1 2", "\r\n")) {
      for (boolean later : List.of(false, true)) {
        try (Site site = new Site(); Site.Client client = site.client()) {
          client.send(Site.read("t1"));
          Peer.Came request = site.disk.next();
          request.answer("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine" + (later ? "" : extra));
          assertTrue(client.answer().endsWith("mine"));
          if (later) {
            request.answer(extra);
          }
          request.awaitClosed();
          client.send(Site.read("t2"));
          Peer.Came next = site.disk.next();
          assertNotSame(request.on(), next.on());
          next.ok("next");
          assertTrue(client.answer().endsWith("next"));
        }
      }
    }
  }

  /** A response without a length is complete at an orderly close of the connection, but not at a reset. */
  @Test
  void responseWithoutALengthIsCompleteAtTheEndOfItsConnection() throws Exception {
    try (Site site = new Site(); Site.Client client = site.client()) {
      for (String header : List.of("", "Connection: close\r\n")) {
        client.send(Site.write("pay", "t" + header.length(), null, "x"));
        Peer.Came request = site.disk.next();
        request.answer("HTTP/1.1 200 OK\r\n" + header + "\r\nall ");
        request.answer("of it");
        request.on().shutdownOutput();
        assertTrue(client.answer().endsWith("\r\n\r\nall of it"));
        request.awaitClosed();
      }
    }
  }

  @Test
  void connectionsAreReusedForOneRequestAtATime() throws Exception {
    try (Site site = new Site(); Site.Client client = site.client()) {
      Set<Socket> seen = new HashSet<>();
      int requests = 0;
      boolean reused = false;
      while (!reused) {
        client.send(Site.read("t" + requests++));
        Peer.Came request = site.disk.next();
        reused = !seen.add(request.on());
        request.ok("x");
        assertEquals(200, client.status());
      }
      assertTrue(requests > 1);
    }
  }

  /** Discovery moves a disk server while a request is in progress at its old address. */
  @Test
  void connectionToAFormerAddressIsNotKept() throws Exception {
    try (Site site = new Site();
        Peer moved = new Peer();
        Site.Client client = site.client();
        Site.Client other = site
            .client()) {
      client.send(Site.read("t1"));
      Peer.Came old = site.disk.next();
      site.discovery.next()
          .answer(Site.WATCH + Site.chunk(Site.list(42, false, Site.entry("s-0", moved, 0, "up"), Site.entry(
              "s-1", moved, 1, "up")) + "\n"));
      other.send(Site.read("in-force", 1));
      moved.next().ok("x");
      old.ok("late");
      assertTrue(client.answer().endsWith("late"));
      old.awaitClosed();
    }
  }

  @Test
  void connectionClosedByTheDiskServerIsNotUsed() throws Exception {
    try (Site site = new Site(); Site.Client client = site.client()) {
      for (int i = 0; i < 20; i++) {
        client.send(Site.write("pay", "t" + i, null, "x"));
        Peer.Came request = site.disk.next();
        request.ok("x");
        request.on().shutdownOutput();
        request.awaitClosed();
        assertEquals(200, client.status());
      }
    }
  }
}
