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
    StringBuilder response = new StringBuilder(Site.WATCH_RESPONSE_HEAD);
    for (String line : lines) {
      response.append(Site.httpChunk(line + "\n"));
    }
    return response.toString();
  }

  private static String upUpdate(long version, Peer server, int shard) {
    return Site.nodeListJson(version, false, Site.nodeEntryJson("s-" + shard, server, shard, "up"));
  }

  @Test
  void newWatchContinuesFromTheLastVersion() throws Exception {
    try (Site site = new Site(); Site.Client client = site.client()) {
      Peer.Came first = site.discovery.nextRequest();
      assertTrue(first.head().startsWith("GET /v1/endpoints?stream=1&index=41 HTTP/1.1\r\n"), first.head());
      first.respond(watchResponse("", upUpdate(43, site.diskServer, 1)));
      client.send(Site.readRequest("t1", 1));
      site.diskServer.nextRequest().respondOk("x");
      assertEquals(200, client.readStatus());
      first.connection().close();
      Peer.Came second = site.discovery.nextRequest();
      assertTrue(second.head().contains("&index=43 "), second.head());
    }
  }

  /** Indented JSON, several updates in one chunk, one update in many chunks, and no line ends. */
  @Test
  void updatesAreParsedInAnyJsonFormatAndAnyChunks() throws Exception {
    try (Site site = new Site(); Site.Client client = site.client()) {
      Peer.Came watch = site.discovery.nextRequest();
      String indented = upUpdate(42, site.diskServer, 1).replace(",", ",\n  ").replace("{", "{\r\n\t");
      watch.respond(Site.WATCH_RESPONSE_HEAD);
      for (String piece : indented.split("(?<=\\G(?s:.{5}))")) {
        watch.respond(Site.httpChunk(piece));
      }
      client.send(Site.readRequest("t1", 1));
      site.diskServer.nextRequest().respondOk("x");
      assertEquals(200, client.readStatus());
      watch.respond(Site.httpChunk(Site.nodeListJson(43, false, Site.nodeEntryJson("s-1", site.diskServer, 1,
          "removed")) + upUpdate(44,
              site.diskServer,
              2)));
      client.send(Site.readRequest("t2", 2));
      site.diskServer.nextRequest().respondOk("x");
      assertEquals(200, client.readStatus());
    }
  }

  /** Discovery was down: an attempt is not answered, or an answered watch falls silent. */
  @Test
  void silentWatchIsReadUntilTheNextIsAnswered() throws Exception {
    try (Site site = new Site(new WatchClock(WatchClock.SILENCE_TIMEOUT_US, 3_000_000))) {
      Peer.Came silent = site.discovery.nextRequest();
      silent.respond(Site.WATCH_RESPONSE_HEAD);
      Peer.Came unanswered = site.discovery.nextRequest();
      unanswered.awaitClosed();
      silent.respond(Site.httpChunk(upUpdate(42, site.diskServer, 1)));
      assertServed(site, 1);
      Peer.Came next = site.discovery.nextRequest();
      next.respond(watchResponse(upUpdate(43, site.diskServer, 2)));
      silent.awaitClosed();
      assertServed(site, 2);
    }
  }

  private static void assertServed(Site site, int shard) throws Exception {
    try (Site.Client client = site.client()) {
      client.send(Site.readRequest("t" + shard, shard));
      site.diskServer.nextRequest().respondOk("x");
      assertEquals(200, client.readStatus());
    }
  }

  static List<String> invalidResponses() {
    return List.of(Site.WATCH_RESPONSE_HEAD + Site.httpChunk("no json\n"), Site.WATCH_RESPONSE_HEAD + Site
        .httpChunk(
            "{\"seq\":50,\"whole\":true,\"hosts\":[{\"host\":\"s-0\",\"dial\":\"name:80\",\"health\":\"up\"}]}\n"),
        Site.WATCH_RESPONSE_HEAD + Site.httpChunk("{\"seq\":\"x\"}\n"), Site.WATCH_RESPONSE_HEAD + Site
            .httpChunk("[1]\n"),
        "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n", "noise", Site.WATCH_RESPONSE_HEAD + "0\r\n\r\n",
        Site.WATCH_RESPONSE_HEAD
            + Site.httpChunk("{\"seq\":50,\"who") + "0\r\n\r\n");
  }

  @ParameterizedTest
  @MethodSource("invalidResponses")
  void invalidWatchIsReplacedAndTheListStays(String bytes) throws Exception {
    try (Site site = new Site(); Site.Client client = site.client()) {
      site.discovery.nextRequest().respond(bytes);
      Peer.Came second = site.discovery.nextRequest();
      assertTrue(second.head().contains("&index=41 "), second.head());
      client.send(Site.readRequest("t1"));
      site.diskServer.nextRequest().respondOk("x");
      assertEquals(200, client.readStatus());
    }
  }

  @Test
  void olderVersionCausesARequestForTheCompleteList() throws Exception {
    try (Site site = new Site()) {
      site.discovery.nextRequest().respond(watchResponse(upUpdate(7, site.diskServer, 1)));
      Peer.Came second = site.discovery.nextRequest();
      assertTrue(second.head().startsWith("GET /v1/endpoints?stream=1 HTTP/1.1\r\n"), second.head());
    }
  }

  @Test
  void drainingAndUnlistedDiskServersGetNoNewRequests() throws Exception {
    try (Site site = new Site(); Peer other = new Peer(); Site.Client client = site.client()) {
      Peer.Came watch = site.discovery.nextRequest();
      watch.respond(watchResponse(Site.nodeListJson(42, false, Site.nodeEntryJson("s-0", site.diskServer, 0,
          "draining")), Site.nodeListJson(
              43, false,
              Site.nodeEntryJson("s-9", other, 0, "up"), Site.nodeEntryJson("s-1", site.diskServer, 1,
                  "up"))));
      // The scheduler holds this request until the list is in use.
      client.send(Site.readRequest("first", 1));
      site.diskServer.nextRequest().respondOk("x");
      assertEquals(200, client.readStatus());
      for (int i = 0; i < 10; i++) {
        client.send(Site.readRequest("t" + i));
        other.nextRequest().respondOk("x");
        assertEquals(200, client.readStatus());
      }
      watch.respond(Site.httpChunk(Site.nodeListJson(44, true, Site.nodeEntryJson("s-2", site.diskServer, 2,
          "up")) + "\n"));
      client.send(Site.readRequest("second", 2));
      site.diskServer.nextRequest().respondOk("x");
      assertEquals(200, client.readStatus());
      client.send(Site.readRequest("gone", 1));
      watch.respond(Site.httpChunk(Site.nodeListJson(45, false, Site.nodeEntryJson("s-3", other, 1, "up"))
          + "\n"));
      assertEquals("gone", other.nextRequest().header("X-Txn"));
      site.diskServer.assertNoMoreRequests();
    }
  }

  @Test
  void reloadSwitchesToTheNewAddressAndAnInvalidFileChangesNothing() throws Exception {
    try (Site site = new Site(); Peer moved = new Peer(); Site.Client client = site.client()) {
      site.discovery.nextRequest().respond(watchResponse(upUpdate(42, site.diskServer, 1)));
      client.send(Site.readRequest("t1", 1));
      site.diskServer.nextRequest().respondOk("x");
      assertEquals(200, client.readStatus());
      String valid = Files.readString(site.configFile);
      for (String invalid : List.of("", "{", "[]", valid.replace("\"discovery\"", "\"other\""), valid.replace(
          "\"giveUp\":20", "\"giveUp\":-1"))) {
        Files.writeString(site.configFile, invalid);
        site.node.reload();
      }
      site.writeConfig(moved);
      site.node.reload();
      site.node.reload();
      Peer.Came watch = moved.nextRequest();
      assertTrue(watch.head().contains("&index=42 "), watch.head());
      client.send(Site.readRequest("t2", 1));
      site.diskServer.nextRequest().respondOk("x");
      assertEquals(200, client.readStatus());
      watch.respond(watchResponse(upUpdate(43, site.diskServer, 2)));
      client.send(Site.readRequest("t3", 2));
      site.diskServer.nextRequest().respondOk("x");
      assertEquals(200, client.readStatus());
      moved.assertNoMoreRequests();
    }
  }

  /** Discovery answers each watch after this time, while the next attempt starts after a quarter of a
   * second. */
  @ParameterizedTest
  @ValueSource(ints = {700, 3000})
  void slowDiscoveryIsHeard(int responseDelayMs) throws Exception {
    try (Site site = new Site(new WatchClock())) {
      Peer.Came first = site.discovery.nextRequest();
      ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
      timer.schedule(() -> {
        first.respond(watchResponse(upUpdate(42, site.diskServer, 1)));
        return null;
      }, responseDelayMs, TimeUnit.MILLISECONDS);
      assertServed(site, 1);
      timer.shutdown();
    }
  }
}
