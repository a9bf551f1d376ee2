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

/** Watches of a scripted discovery service on loopback, and the lists they deliver. */
@Timeout(60)
class DiscoveryClientTest {
  private static String watchResponse(String... lines) {
    StringBuilder response = new StringBuilder(Site.WATCH);
    for (String line : lines) {
      response.append(Site.chunk(line + "\n"));
    }
    return response.toString();
  }

  private static String upUpdate(long version, Peer server, int shard) {
    return Site.list(version, false, Site.entry("s-" + shard, server, shard, "up"));
  }

  @Test
  void newWatchContinuesFromTheLastVersion() throws Exception {
    try (Site site = new Site(); Site.Client client = site.client()) {
      Peer.Came first = site.discovery.next();
      assertTrue(first.head().startsWith("GET /v1/endpoints?stream=1&index=41 HTTP/1.1\r\n"), first.head());
      first.answer(watchResponse("", upUpdate(43, site.disk, 1)));
      client.send(Site.read("t1", 1));
      site.disk.next().ok("x");
      assertEquals(200, client.status());
      first.on().close();
      Peer.Came second = site.discovery.next();
      assertTrue(second.head().contains("&index=43 "), second.head());
    }
  }

  /** Indented JSON, several updates in one chunk, one update in many chunks, and no line ends. */
  @Test
  void updatesAreParsedInAnyJsonFormatAndAnyChunks() throws Exception {
    try (Site site = new Site(); Site.Client client = site.client()) {
      Peer.Came watch = site.discovery.next();
      String indented = upUpdate(42, site.disk, 1).replace(",", ",\n  ").replace("{", "{\r\n\t");
      watch.answer(Site.WATCH);
      for (String piece : indented.split("(?<=\\G(?s:.{5}))")) {
        watch.answer(Site.chunk(piece));
      }
      client.send(Site.read("t1", 1));
      site.disk.next().ok("x");
      assertEquals(200, client.status());
      watch.answer(Site.chunk(Site.list(43, false, Site.entry("s-1", site.disk, 1, "removed")) + upUpdate(44,
          site.disk,
          2)));
      client.send(Site.read("t2", 2));
      site.disk.next().ok("x");
      assertEquals(200, client.status());
    }
  }

  /** Discovery was down: an attempt is not answered, or an answered watch falls silent. */
  @Test
  void silentWatchIsReadUntilTheNextIsAnswered() throws Exception {
    try (Site site = new Site(new WatchClock(WatchClock.SILENT_US, 3_000_000))) {
      Peer.Came silent = site.discovery.next();
      silent.answer(Site.WATCH);
      Peer.Came unanswered = site.discovery.next();
      unanswered.awaitClosed();
      silent.answer(Site.chunk(upUpdate(42, site.disk, 1)));
      assertServed(site, 1);
      Peer.Came next = site.discovery.next();
      next.answer(watchResponse(upUpdate(43, site.disk, 2)));
      silent.awaitClosed();
      assertServed(site, 2);
    }
  }

  private static void assertServed(Site site, int shard) throws Exception {
    try (Site.Client client = site.client()) {
      client.send(Site.read("t" + shard, shard));
      site.disk.next().ok("x");
      assertEquals(200, client.status());
    }
  }

  static List<String> invalidResponses() {
    return List.of(Site.WATCH + Site.chunk("no json\n"), Site.WATCH + Site.chunk(
        "{\"seq\":50,\"whole\":true,\"hosts\":[{\"host\":\"s-0\",\"dial\":\"name:80\",\"health\":\"up\"}]}\n"),
        Site.WATCH + Site.chunk("{\"seq\":\"x\"}\n"), Site.WATCH + Site.chunk("[1]\n"),
        "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n", "noise", Site.WATCH + "0\r\n\r\n", Site.WATCH
            + Site.chunk("{\"seq\":50,\"who") + "0\r\n\r\n");
  }

  @ParameterizedTest
  @MethodSource("invalidResponses")
  void invalidWatchIsReplacedAndTheListStays(String bytes) throws Exception {
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
  void olderVersionCausesARequestForTheCompleteList() throws Exception {
    try (Site site = new Site()) {
      site.discovery.next().answer(watchResponse(upUpdate(7, site.disk, 1)));
      Peer.Came second = site.discovery.next();
      assertTrue(second.head().startsWith("GET /v1/endpoints?stream=1 HTTP/1.1\r\n"), second.head());
    }
  }

  @Test
  void drainingAndUnlistedDiskServersGetNoNewRequests() throws Exception {
    try (Site site = new Site(); Peer other = new Peer(); Site.Client client = site.client()) {
      Peer.Came watch = site.discovery.next();
      watch.answer(watchResponse(Site.list(42, false, Site.entry("s-0", site.disk, 0, "draining")), Site.list(
          43, false,
          Site.entry("s-9", other, 0, "up"), Site.entry("s-1", site.disk, 1, "up"))));
      // The scheduler holds this request until the list is in use.
      client.send(Site.read("first", 1));
      site.disk.next().ok("x");
      assertEquals(200, client.status());
      for (int i = 0; i < 10; i++) {
        client.send(Site.read("t" + i));
        other.next().ok("x");
        assertEquals(200, client.status());
      }
      watch.answer(Site.chunk(Site.list(44, true, Site.entry("s-2", site.disk, 2, "up")) + "\n"));
      client.send(Site.read("second", 2));
      site.disk.next().ok("x");
      assertEquals(200, client.status());
      client.send(Site.read("gone", 1));
      watch.answer(Site.chunk(Site.list(45, false, Site.entry("s-3", other, 1, "up")) + "\n"));
      assertEquals("gone", other.next().header("X-Txn"));
      site.disk.nothingElse();
    }
  }

  @Test
  void reloadSwitchesToTheNewAddressAndAnInvalidFileChangesNothing() throws Exception {
    try (Site site = new Site(); Peer moved = new Peer(); Site.Client client = site.client()) {
      site.discovery.next().answer(watchResponse(upUpdate(42, site.disk, 1)));
      client.send(Site.read("t1", 1));
      site.disk.next().ok("x");
      assertEquals(200, client.status());
      String valid = Files.readString(site.file);
      for (String invalid : List.of("", "{", "[]", valid.replace("\"discovery\"", "\"other\""), valid.replace(
          "\"giveUp\":20", "\"giveUp\":-1"))) {
        Files.writeString(site.file, invalid);
        site.node.reload();
      }
      site.configure(moved);
      site.node.reload();
      site.node.reload();
      Peer.Came watch = moved.next();
      assertTrue(watch.head().contains("&index=42 "), watch.head());
      client.send(Site.read("t2", 1));
      site.disk.next().ok("x");
      assertEquals(200, client.status());
      watch.answer(watchResponse(upUpdate(43, site.disk, 2)));
      client.send(Site.read("t3", 2));
      site.disk.next().ok("x");
      assertEquals(200, client.status());
      moved.nothingElse();
    }
  }

  /** Discovery answers each watch after this time, while the next attempt starts after a quarter of a
   * second. */
  @ParameterizedTest
  @ValueSource(ints = {700, 3000})
  void slowDiscoveryIsHeard(int responseDelayMs) throws Exception {
    try (Site site = new Site(new WatchClock())) {
      Peer.Came first = site.discovery.next();
      ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
      timer.schedule(() -> {
        first.answer(watchResponse(upUpdate(42, site.disk, 1)));
        return null;
      }, responseDelayMs, TimeUnit.MILLISECONDS);
      assertServed(site, 1);
      timer.shutdown();
    }
  }
}
