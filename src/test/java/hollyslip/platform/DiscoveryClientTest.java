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
    StringBuilder response = new StringBuilder(SchedulerFixture.WATCH_RESPONSE_HEAD);
    for (String line : lines) {
      response.append(SchedulerFixture.httpChunk(line + "\n"));
    }
    return response.toString();
  }

  private static String upUpdate(long version, ScriptedServer server, int shard) {
    return SchedulerFixture.nodeListJson(version, false, SchedulerFixture.nodeEntryJson("s-" + shard, server,
        shard, "up"));
  }

  @Test
  void newWatchContinuesFromTheLastVersion() throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture();
        SchedulerFixture.Client client = fixture.client()) {
      ScriptedServer.ReceivedRequest first = fixture.discovery.nextRequest();
      assertTrue(first.head().startsWith("GET /v1/endpoints?stream=1&index=41 HTTP/1.1\r\n"), first.head());
      first.respond(watchResponse("", upUpdate(43, fixture.diskServer, 1)));
      client.send(SchedulerFixture.readRequest("t1", 1));
      fixture.diskServer.nextRequest().respondOk("x");
      assertEquals(200, client.readStatus());
      first.connection().close();
      ScriptedServer.ReceivedRequest second = fixture.discovery.nextRequest();
      assertTrue(second.head().contains("&index=43 "), second.head());
    }
  }

  /** Indented JSON, several updates in one chunk, one update in many chunks, and no line ends. */
  @Test
  void updatesAreParsedInAnyJsonFormatAndAnyChunks() throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture();
        SchedulerFixture.Client client = fixture.client()) {
      ScriptedServer.ReceivedRequest watch = fixture.discovery.nextRequest();
      String indented = upUpdate(42, fixture.diskServer, 1).replace(",", ",\n  ").replace("{", "{\r\n\t");
      watch.respond(SchedulerFixture.WATCH_RESPONSE_HEAD);
      for (String piece : indented.split("(?<=\\G(?s:.{5}))")) {
        watch.respond(SchedulerFixture.httpChunk(piece));
      }
      client.send(SchedulerFixture.readRequest("t1", 1));
      fixture.diskServer.nextRequest().respondOk("x");
      assertEquals(200, client.readStatus());
      watch.respond(SchedulerFixture.httpChunk(SchedulerFixture.nodeListJson(43, false, SchedulerFixture
          .nodeEntryJson("s-1", fixture.diskServer, 1,
              "removed")) + upUpdate(44,
                  fixture.diskServer,
                  2)));
      client.send(SchedulerFixture.readRequest("t2", 2));
      fixture.diskServer.nextRequest().respondOk("x");
      assertEquals(200, client.readStatus());
    }
  }

  /** Discovery was down: an attempt is not answered, or an answered watch falls silent. */
  @Test
  void silentWatchIsReadUntilTheNextIsAnswered() throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture(new WatchRetryPolicy(
        WatchRetryPolicy.SILENCE_TIMEOUT_US, 3_000_000))) {
      ScriptedServer.ReceivedRequest silent = fixture.discovery.nextRequest();
      silent.respond(SchedulerFixture.WATCH_RESPONSE_HEAD);
      ScriptedServer.ReceivedRequest unanswered = fixture.discovery.nextRequest();
      unanswered.awaitClosed();
      silent.respond(SchedulerFixture.httpChunk(upUpdate(42, fixture.diskServer, 1)));
      assertServed(fixture, 1);
      ScriptedServer.ReceivedRequest next = fixture.discovery.nextRequest();
      next.respond(watchResponse(upUpdate(43, fixture.diskServer, 2)));
      silent.awaitClosed();
      assertServed(fixture, 2);
    }
  }

  private static void assertServed(SchedulerFixture fixture, int shard) throws Exception {
    try (SchedulerFixture.Client client = fixture.client()) {
      client.send(SchedulerFixture.readRequest("t" + shard, shard));
      fixture.diskServer.nextRequest().respondOk("x");
      assertEquals(200, client.readStatus());
    }
  }

  static List<String> invalidResponses() {
    return List.of(SchedulerFixture.WATCH_RESPONSE_HEAD + SchedulerFixture.httpChunk("no json\n"),
        SchedulerFixture.WATCH_RESPONSE_HEAD + SchedulerFixture
            .httpChunk(
                "{\"seq\":50,\"whole\":true,\"hosts\":[{\"host\":\"s-0\",\"dial\":\"name:80\",\"health\":\"up\"}]}\n"),
        SchedulerFixture.WATCH_RESPONSE_HEAD + SchedulerFixture.httpChunk("{\"seq\":\"x\"}\n"),
        SchedulerFixture.WATCH_RESPONSE_HEAD + SchedulerFixture
            .httpChunk("[1]\n"),
        "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n", "noise", SchedulerFixture.WATCH_RESPONSE_HEAD
            + "0\r\n\r\n",
        SchedulerFixture.WATCH_RESPONSE_HEAD
            + SchedulerFixture.httpChunk("{\"seq\":50,\"who") + "0\r\n\r\n");
  }

  @ParameterizedTest
  @MethodSource("invalidResponses")
  void invalidWatchIsReplacedAndTheListStays(String bytes) throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture();
        SchedulerFixture.Client client = fixture.client()) {
      fixture.discovery.nextRequest().respond(bytes);
      ScriptedServer.ReceivedRequest second = fixture.discovery.nextRequest();
      assertTrue(second.head().contains("&index=41 "), second.head());
      client.send(SchedulerFixture.readRequest("t1"));
      fixture.diskServer.nextRequest().respondOk("x");
      assertEquals(200, client.readStatus());
    }
  }

  @Test
  void olderVersionCausesARequestForTheCompleteList() throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture()) {
      fixture.discovery.nextRequest().respond(watchResponse(upUpdate(7, fixture.diskServer, 1)));
      ScriptedServer.ReceivedRequest second = fixture.discovery.nextRequest();
      assertTrue(second.head().startsWith("GET /v1/endpoints?stream=1 HTTP/1.1\r\n"), second.head());
    }
  }

  @Test
  void drainingAndUnlistedDiskServersGetNoNewRequests() throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture();
        ScriptedServer other = new ScriptedServer();
        SchedulerFixture.Client client = fixture.client()) {
      ScriptedServer.ReceivedRequest watch = fixture.discovery.nextRequest();
      watch.respond(watchResponse(SchedulerFixture.nodeListJson(42, false, SchedulerFixture.nodeEntryJson(
          "s-0", fixture.diskServer, 0, "draining")),
          SchedulerFixture.nodeListJson(43, false, SchedulerFixture.nodeEntryJson("s-9", other, 0, "up"),
              SchedulerFixture.nodeEntryJson("s-1", fixture.diskServer, 1, "up"))));
      // The scheduler holds this request until the list is in use.
      client.send(SchedulerFixture.readRequest("first", 1));
      fixture.diskServer.nextRequest().respondOk("x");
      assertEquals(200, client.readStatus());
      for (int i = 0; i < 10; i++) {
        client.send(SchedulerFixture.readRequest("t" + i));
        other.nextRequest().respondOk("x");
        assertEquals(200, client.readStatus());
      }
      watch.respond(SchedulerFixture.httpChunk(SchedulerFixture.nodeListJson(44, true, SchedulerFixture
          .nodeEntryJson("s-2", fixture.diskServer, 2,
              "up")) + "\n"));
      client.send(SchedulerFixture.readRequest("second", 2));
      fixture.diskServer.nextRequest().respondOk("x");
      assertEquals(200, client.readStatus());
      client.send(SchedulerFixture.readRequest("gone", 1));
      watch.respond(SchedulerFixture.httpChunk(SchedulerFixture.nodeListJson(45, false, SchedulerFixture
          .nodeEntryJson("s-3", other, 1, "up"))
          + "\n"));
      assertEquals("gone", other.nextRequest().header("X-Txn"));
      fixture.diskServer.assertNoMoreRequests();
    }
  }

  @Test
  void reloadSwitchesToTheNewAddressAndAnInvalidFileChangesNothing() throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture();
        ScriptedServer moved = new ScriptedServer();
        SchedulerFixture.Client client = fixture.client()) {
      fixture.discovery.nextRequest().respond(watchResponse(upUpdate(42, fixture.diskServer, 1)));
      client.send(SchedulerFixture.readRequest("t1", 1));
      fixture.diskServer.nextRequest().respondOk("x");
      assertEquals(200, client.readStatus());
      String valid = Files.readString(fixture.configFile);
      for (String invalid : List.of("", "{", "[]", valid.replace("\"discovery\"", "\"other\""), valid.replace(
          "\"giveUp\":20", "\"giveUp\":-1"))) {
        Files.writeString(fixture.configFile, invalid);
        fixture.node.reload();
      }
      fixture.writeConfig(moved);
      fixture.node.reload();
      fixture.node.reload();
      ScriptedServer.ReceivedRequest watch = moved.nextRequest();
      assertTrue(watch.head().contains("&index=42 "), watch.head());
      client.send(SchedulerFixture.readRequest("t2", 1));
      fixture.diskServer.nextRequest().respondOk("x");
      assertEquals(200, client.readStatus());
      watch.respond(watchResponse(upUpdate(43, fixture.diskServer, 2)));
      client.send(SchedulerFixture.readRequest("t3", 2));
      fixture.diskServer.nextRequest().respondOk("x");
      assertEquals(200, client.readStatus());
      moved.assertNoMoreRequests();
    }
  }

  /** Discovery answers each watch after this time, while the next attempt starts after a quarter of a
   * second. */
  @ParameterizedTest
  @ValueSource(ints = {700, 3000})
  void slowDiscoveryIsHeard(int responseDelayMs) throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture(new WatchRetryPolicy())) {
      ScriptedServer.ReceivedRequest first = fixture.discovery.nextRequest();
      ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
      timer.schedule(() -> {
        first.respond(watchResponse(upUpdate(42, fixture.diskServer, 1)));
        return null;
      }, responseDelayMs, TimeUnit.MILLISECONDS);
      assertServed(fixture, 1);
      timer.shutdown();
    }
  }
}
