package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The list on loopback. */
@Timeout(60)
class DiscoveryClientTest {
  private static String watch(String... lines) {
    StringBuilder all = new StringBuilder(Site.WATCH);
    for (String line : lines) {
      all.append(Site.chunk(line + "\n"));
    }
    return all.toString();
  }

  private static String up(long seq, Peer at, int shard) {
    return Site.list(seq, false, Site.entry("s-" + shard, at, shard, "up"));
  }

  @Test
  void theWatchGoesOnFromTheLastVersion() throws Exception {
    try (Site site = new Site(); Site.Client client = site.client()) {
      Peer.Came first = site.discovery.next();
      assertTrue(first.head().startsWith("GET /v1/endpoints?stream=1&index=41 HTTP/1.1\r\n"), first.head());
      first.answer(watch("", up(43, site.disk, 1)));
      client.send(Site.read("t1", 1));
      site.disk.next().ok("x");
      assertEquals(200, client.status());
      first.on().close();
      Peer.Came second = site.discovery.next();
      assertTrue(second.head().contains("&index=43 "), second.head());
    }
  }

  /** Indented, several in one piece, one in many pieces, without an end of the line. */
  @Test
  void aListComesInAnyFormOfJsonAndAnyPieces() throws Exception {
    try (Site site = new Site(); Site.Client client = site.client()) {
      Peer.Came w = site.discovery.next();
      String indented = up(42, site.disk, 1).replace(",", ",\n  ").replace("{", "{\r\n\t");
      w.answer(Site.WATCH);
      for (String piece : indented.split("(?<=\\G(?s:.{5}))")) {
        w.answer(Site.chunk(piece));
      }
      client.send(Site.read("t1", 1));
      site.disk.next().ok("x");
      assertEquals(200, client.status());
      w.answer(Site.chunk(Site.list(43, false, Site.entry("s-1", site.disk, 1, "removed")) + up(44, site.disk,
          2)));
      client.send(Site.read("t2", 2));
      site.disk.next().ok("x");
      assertEquals(200, client.status());
    }
  }

  /** Discovery was down: nobody answers, or a watch does and falls silent. */
  @Test
  void aSilentWatchIsReadUntilTheNextIsAnswered() throws Exception {
    try (Site site = new Site(new WatchClock(WatchClock.SILENT_US, 3_000_000))) {
      Peer.Came silent = site.discovery.next();
      silent.answer(Site.WATCH);
      Peer.Came unanswered = site.discovery.next();
      unanswered.awaitClosed();
      silent.answer(Site.chunk(up(42, site.disk, 1)));
      served(site, 1);
      Peer.Came next = site.discovery.next();
      next.answer(watch(up(43, site.disk, 2)));
      silent.awaitClosed();
      served(site, 2);
    }
  }

  private static void served(Site site, int shard) throws Exception {
    try (Site.Client client = site.client()) {
      client.send(Site.read("t" + shard, shard));
      site.disk.next().ok("x");
      assertEquals(200, client.status());
    }
  }

  static List<String> unusable() {
    return List.of(Site.WATCH + Site.chunk("no json\n"), Site.WATCH + Site.chunk(
        "{\"seq\":50,\"whole\":true,\"hosts\":[{\"host\":\"s-0\",\"dial\":\"name:80\",\"health\":\"up\"}]}\n"),
        Site.WATCH + Site.chunk("{\"seq\":\"x\"}\n"), Site.WATCH + Site.chunk("[1]\n"),
        "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n", "noise", Site.WATCH + "0\r\n\r\n", Site.WATCH
            + Site.chunk("{\"seq\":50,\"who") + "0\r\n\r\n");
  }

  @ParameterizedTest
  @MethodSource("unusable")
  void aWatchThatCannotBeReadIsBegunAnewAndTheListStays(String bytes) throws Exception {
    try (Site site = new Site(); Site.Client client = site.client()) {
      site.discovery.next().answer(bytes);
      Peer.Came second = site.discovery.next();
      assertTrue(second.head().contains("&index=41 "), second.head());
      client.send(Site.read("t1"));
      site.disk.next().ok("x");
      assertEquals(200, client.status());
    }
  }

  @Test
  void anOlderVersionAsksForTheWholeList() throws Exception {
    try (Site site = new Site()) {
      site.discovery.next().answer(watch(up(7, site.disk, 1)));
      Peer.Came second = site.discovery.next();
      assertTrue(second.head().startsWith("GET /v1/endpoints?stream=1 HTTP/1.1\r\n"), second.head());
    }
  }

  @Test
  void whoDrainsOrIsNotInAWholeListGetsNothingNew() throws Exception {
    try (Site site = new Site(); Peer other = new Peer(); Site.Client client = site.client()) {
      Peer.Came w = site.discovery.next();
      w.answer(watch(Site.list(42, false, Site.entry("s-0", site.disk, 0, "draining")), Site.list(43, false,
          Site.entry("s-9", other, 0, "up"), Site.entry("s-1", site.disk, 1, "up"))));
      // Held until the list is in force.
      client.send(Site.read("first", 1));
      site.disk.next().ok("x");
      assertEquals(200, client.status());
      for (int i = 0; i < 10; i++) {
        client.send(Site.read("t" + i));
        other.next().ok("x");
        assertEquals(200, client.status());
      }
      w.answer(Site.chunk(Site.list(44, true, Site.entry("s-2", site.disk, 2, "up")) + "\n"));
      client.send(Site.read("second", 2));
      site.disk.next().ok("x");
      assertEquals(200, client.status());
      client.send(Site.read("gone", 1));
      w.answer(Site.chunk(Site.list(45, false, Site.entry("s-3", other, 1, "up")) + "\n"));
      assertEquals("gone", other.next().header("X-Txn"));
      site.disk.nothingElse();
    }
  }

  @Test
  void aReloadFollowsTheNewAddressAndABadFileChangesNothing() throws Exception {
    try (Site site = new Site(); Peer moved = new Peer(); Site.Client client = site.client()) {
      site.discovery.next().answer(watch(up(42, site.disk, 1)));
      client.send(Site.read("t1", 1));
      site.disk.next().ok("x");
      assertEquals(200, client.status());
      String good = Files.readString(site.file);
      for (String bad : List.of("", "{", "[]", good.replace("\"discovery\"", "\"other\""), good.replace(
          "\"giveUp\":20", "\"giveUp\":-1"))) {
        Files.writeString(site.file, bad);
        site.node.reload();
      }
      site.configure(moved);
      site.node.reload();
      site.node.reload();
      Peer.Came w = moved.next();
      assertTrue(w.head().contains("&index=42 "), w.head());
      client.send(Site.read("t2", 1));
      site.disk.next().ok("x");
      assertEquals(200, client.status());
      w.answer(watch(up(43, site.disk, 2)));
      client.send(Site.read("t3", 2));
      site.disk.next().ok("x");
      assertEquals(200, client.status());
      moved.nothingElse();
    }
  }

  /** It answers each watch after this time; an attempt is followed by the next after a quarter of a
   * second. */
  @ParameterizedTest
  @ValueSource(ints = {700, 3000})
  void aDiscoveryThatIsSlowToAnswerIsHeard(int answersAfterMs) throws Exception {
    try (Site site = new Site(new WatchClock())) {
      Peer.Came first = site.discovery.next();
      ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
      timer.schedule(() -> {
        first.answer(watch(up(42, site.disk, 1)));
        return null;
      }, answersAfterMs, TimeUnit.MILLISECONDS);
      served(site, 1);
      timer.shutdown();
    }
  }
}
