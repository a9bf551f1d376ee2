package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What meets in one moment: a request and its client's leaving, a close and bytes, an end and those who
 * still come. The scheduler's thread is held until all of it is there. */
@Timeout(60)
class CrossingsTest {
  /** Seen on the day of idle clients that fill the descriptors: 2.11 s in the system's queue, both read in
   * one go, the request sent on. */
  @Test
  void whoAskedAndLeftInOneMomentIsNotServed() throws Exception {
    try (Site site = new Site(); Site.Client stays = site.client()) {
      List<Site.Client> leaves = new ArrayList<>();
      try (AutoCloseable held = site.held()) {
        for (int i = 0; i < 20; i++) {
          Site.Client c = site.client();
          c.send(Site.read("left" + i));
          c.socket.shutdownOutput();
          leaves.add(c);
        }
      }
      for (Site.Client c : leaves) {
        assertEquals("closed", c.answer());
        c.close();
      }
      stays.send(Site.read("stays"));
      assertEquals("stays", site.disk.next().header("X-Txn"));
      site.disk.nothingElse();
    }
  }

  /** As above, by a reset, and on a connection that was in use. */
  @Test
  void whoLeavesByAResetHarmsNobody() throws Exception {
    try (Site site = new Site(); Site.Client stays = site.client()) {
      for (int i = 0; i < 20; i++) {
        Site.Client c = site.client();
        c.send(Site.read("served" + i));
        site.disk.next().ok("x");
        assertEquals(200, c.status());
        try (AutoCloseable held = site.held()) {
          c.send(Site.read("left" + i));
          c.reset();
        }
      }
      stays.send(Site.read("stays"));
      assertEquals("stays", site.disk.next().header("X-Txn"));
      site.disk.nothingElse();
    }
  }

  /** While another request is out, so that this one would need a connection of its own. */
  @Test
  void whoAskedAndLeftBesideAnOpenRequestIsNotServed() throws Exception {
    try (Site site = new Site(); Site.Client stays = site.client(); Site.Client leaves = site.client()) {
      // One is out, so the next needs a connection of its own; its place is taken by then.
      stays.send(Site.read("first"));
      Peer.Came first = site.disk.next();
      try (AutoCloseable held = site.held()) {
        leaves.send(Site.read("left"));
        leaves.socket.shutdownOutput();
      }
      assertEquals("closed", leaves.answer());
      first.ok("x");
      assertEquals(200, stays.status());
      stays.send(Site.read("stays"));
      assertEquals("stays", site.disk.next().header("X-Txn"));
      site.disk.nothingElse();
    }
  }

  /** A second copy comes with the next request for the same connection. */
  @Test
  void whatComesAsAConnectionIsUsedAgainAnswersNothing() throws Exception {
    try (Site site = new Site(); Site.Client client = site.client()) {
      for (String extra : List.of("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ncopy", "HTTP/1.1 2", "\r\n")) {
        Peer.Came c = null;
        for (boolean again = false; !again;) {
          Peer.Came before = c;
          client.send(Site.read("t"));
          c = site.disk.next();
          again = before != null && before.on() == c.on();
          c.ok("mine");
          assertTrue(client.answer().endsWith("mine"));
          // It has rested once the next one may use it.
          site.node.loop()
              .schedule(() -> {}, 2 * DiskServers.REST_US, java.util.concurrent.TimeUnit.MICROSECONDS)
              .sync();
        }
        try (AutoCloseable held = site.held()) {
          c.answer(extra);
          client.send(Site.read("next"));
        }
        Peer.Came next = site.disk.next();
        assertNotSame(c.on(), next.on());
        next.ok("fine");
        assertTrue(client.answer().endsWith("fine"));
      }
    }
  }

  /** What the system has accepted by then counts as taken: it is answered, not reset. */
  @Test
  void whoStandsInTheSystemsQueueAtTheEndIsAnswered() throws Exception {
    List<Site.Client> late = new ArrayList<>();
    try (Site site = new Site(); Site.Client idle = site.client()) {
      idle.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status();
      try (AutoCloseable held = site.held()) {
        site.node.drainNow();
        for (int i = 0; i < 10; i++) {
          late.add(site.client().send(Site.read("late" + i)));
        }
        // It crosses the close of its resting connection: the client sends it again elsewhere.
        idle.send(Site.read("crossing"));
      }
      for (Site.Client c : late) {
        String answer = c.answer();
        assertTrue(answer.startsWith("HTTP/1.1 503 ") && answer.contains("Connection: close"), answer);
        assertEquals("closed", c.answer());
        c.close();
      }
      String crossing = idle.answer();
      assertTrue(crossing.equals("closed") || crossing.startsWith("HTTP/1.1 503 "), crossing);
      assertTrue(site.node.awaitEnd(20_000));
      site.disk.nothingElse();
    }
  }

  /** A client that waits for 20 s, a disk server that hangs: the process is killed 3.7 s after its
   * SIGTERM. */
  @Test
  void whatIsOutAtTheEndIsAnsweredBeforeTheKill() throws Exception {
    try (Site site = new Site(); Site.Client client = site.client()) {
      client.send(Site.write("pay", "t1", null, "x"));
      site.disk.next();
      site.node.stop();
      assertTrue(site.node.awaitEnd(15_000), "the client's 20 s are not waited for");
      assertEquals(502, client.status());
    }
  }

  /** The decision was for a disk server of which the news, in the same turn, is that it drains. */
  @Test
  void aRequestThatMeetsTheNewsOfADrainGoesToWhoTakesOver() throws Exception {
    try (Site site = new Site(); Peer other = new Peer(); Site.Client client = site.client()) {
      Peer.Came watch = site.discovery.next();
      watch.answer(Site.WATCH);
      for (int i = 0; i < 20; i++) {
        String first = "s-" + i, next = "s-" + (i + 1);
        Peer before = i % 2 == 0 ? site.disk : other, after = i % 2 == 0 ? other : site.disk;
        try (AutoCloseable held = site.held()) {
          client.send(Site.read("t" + i));
          watch.answer(Site.chunk(Site.list(42 + i, false, Site.entry(first, before, 0, "draining"), Site
              .entry(
                  next, after, 0, "up"))));
        }
        Peer.Came c = after.next();
        assertEquals("t" + i, c.header("X-Txn"));
        c.ok("x");
        assertEquals(200, client.status());
        before.nothingElse();
      }
    }
  }

  /** This side ends its sending first; a request that comes then is not sent on. */
  @Test
  void nothingReadAfterTheEndOfAConnectionIsSentOn() throws Exception {
    try (Site site = new Site(); Site.Client client = site.client()) {
      client.send("GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
      assertTrue(client.status() > 0);
      assertEquals("closed", client.answer());
      client.send(Site.read("crossing"));
      Awaitility.await().until(() -> site.node.connections() == 0);
      site.disk.nothingElse();
    }
  }

  /** Two that look alike but for what they ask: each keeps its own key, time and answer. */
  @Test
  void requestsOfOneVolumeAndKeyKeepTheirOwn() throws Exception {
    try (Site site = new Site(); Site.Client a = site.client(); Site.Client b = site.client()) {
      for (int i = 0; i < 10; i++) {
        a.send(Site.write("put", "a" + i, "same", "A" + i).replace("20000000u", "9000000u"));
        b.send(Site.write("pay", "b" + i, "same", "B" + i));
        for (int k = 0; k < 2; k++) {
          Peer.Came c = site.disk.next();
          boolean first = c.header("X-Txn").equals("a" + i);
          assertEquals((first ? "A" : "B") + i, c.body());
          assertTrue(c.head().startsWith(first ? "PUT /put/" : "PUT /pay/"), c.head());
          assertEquals("same", c.header("Idempotency-Key"));
          assertEquals(first, Long.parseLong(c.header("X-Remaining").replace("u", "")) <= 9_000_000);
          c.ok(c.header("X-Txn"));
        }
        assertTrue(a.answer().endsWith("\r\n\r\na" + i));
        assertTrue(b.answer().endsWith("\r\n\r\nb" + i));
      }
    }
  }
}
