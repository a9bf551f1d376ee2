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

/** Attempts on loopback: how each ended, and what of it a client gets. */
@Timeout(60)
class DiskServerResponseTest {
  private static final String TURNED_AWAY = "HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";

  @Test
  void whatWasTurnedAwayIsTriedAgainEvenIfItMayNotRunTwice() throws Exception {
    try (Site site = new Site(); Site.Client client = site.client()) {
      client.send(Site.write("pay", "t1", null, "x"));
      site.disk.next().answer(TURNED_AWAY);
      site.disk.next().ok("done");
      assertTrue(client.answer().endsWith("done"));
    }
  }

  static List<String> mayHaveRun() {
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
  @MethodSource("mayHaveRun")
  void anAnswerThatCannotBeUsedIsAFailureAndNothingOfItIsPassedOn(String bytes) throws Exception {
    try (Site site = new Site(); Site.Client client = site.client()) {
      client.send(Site.write("pay", "t1", null, "x"));
      Peer.Came c = site.disk.next();
      c.answer(bytes.replace("<close>", "").replace("<reset>", ""));
      if (bytes.endsWith("<reset>")) {
        c.on().setSoLinger(true, 0);
        c.on().close();
      } else if (bytes.endsWith("<close>")) {
        c.on().close();
      }
      String answer = client.answer();
      assertTrue(answer.startsWith("HTTP/1.1 502 "), answer);
      assertFalse(answer.contains("abc"), answer);
      client.send(Site.read("t2"));
      Peer.Came next = site.disk.next();
      assertEquals("t2", next.header("X-Txn"), "what may have run is not sent again");
      if (!bytes.startsWith("HTTP/1.1 50")) {
        assertNotSame(c.on(), next.on());
      }
      next.ok("fine");
      assertTrue(client.answer().endsWith("fine"));
    }
  }

  @Test
  void interimAnswersAreSkipped() throws Exception {
    try (Site site = new Site(); Site.Client client = site.client()) {
      client.send(Site.read("t1"));
      site.disk.next()
          .answer("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
              + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nreal");
      assertTrue(client.answer().endsWith("real"));
    }
  }

  /** Disk servers were seen to send several hundred KiB, more than a request may have. */
  @Test
  void largeAnswersArePassedOnWhole() throws Exception {
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
  void chunkedAnswersAreTakenWhole() throws Exception {
    try (Site site = new Site(); Site.Client client = site.client()) {
      client.send(Site.read("t1"));
      site.disk.next()
          .answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n");
      assertTrue(client.answer().endsWith("\r\n\r\nabcde"));
    }
  }

  /** In the answer's segment, or as soon as the answer has been passed on. */
  @Test
  void whatFollowsAGoodAnswerIsNeverTheNextOnes() throws Exception {
    String copy = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ncopy";
    for (String extra : List.of(copy, "noise", "HTTP/1.1 2", "\r\n")) {
      for (boolean later : List.of(false, true)) {
        try (Site site = new Site(); Site.Client client = site.client()) {
          client.send(Site.read("t1"));
          Peer.Came c = site.disk.next();
          c.answer("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine" + (later ? "" : extra));
          assertTrue(client.answer().endsWith("mine"));
          if (later) {
            c.answer(extra);
          }
          c.awaitClosed();
          client.send(Site.read("t2"));
          Peer.Came next = site.disk.next();
          assertNotSame(c.on(), next.on());
          next.ok("next");
          assertTrue(client.answer().endsWith("next"));
        }
      }
    }
  }

  /** An answer without a length is whole at the connection's end; a reset is none. */
  @Test
  void anAnswerWithoutALengthIsWholeAtTheEndOfItsConnection() throws Exception {
    try (Site site = new Site(); Site.Client client = site.client()) {
      for (String more : List.of("", "Connection: close\r\n")) {
        client.send(Site.write("pay", "t" + more.length(), null, "x"));
        Peer.Came c = site.disk.next();
        c.answer("HTTP/1.1 200 OK\r\n" + more + "\r\nall ");
        c.answer("of it");
        c.on().shutdownOutput();
        assertTrue(client.answer().endsWith("\r\n\r\nall of it"));
        c.awaitClosed();
      }
    }
  }

  @Test
  void connectionsAreUsedAgainOneRequestAtATime() throws Exception {
    try (Site site = new Site(); Site.Client client = site.client()) {
      Set<Socket> seen = new HashSet<>();
      int requests = 0;
      boolean again = false;
      while (!again) {
        client.send(Site.read("t" + requests++));
        Peer.Came c = site.disk.next();
        again = !seen.add(c.on());
        c.ok("x");
        assertEquals(200, client.status());
      }
      assertTrue(requests > 1);
    }
  }

  /** The list moved a disk server while a request was out at its old address. */
  @Test
  void aConnectionToAnAddressLeftBehindIsNotKept() throws Exception {
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
  void aConnectionThatTheDiskServerClosedIsNotUsed() throws Exception {
    try (Site site = new Site(); Site.Client client = site.client()) {
      for (int i = 0; i < 20; i++) {
        client.send(Site.write("pay", "t" + i, null, "x"));
        Peer.Came c = site.disk.next();
        c.ok("x");
        c.on().shutdownOutput();
        c.awaitClosed();
        assertEquals(200, client.status());
      }
    }
  }
}
