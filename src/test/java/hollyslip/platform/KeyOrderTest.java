package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Two writes of one key, in a class that asks for order by key, reach an event loop that is held up while
 * they arrive: the one whose last byte came first runs first, wherever it came. Guards against order of
 * reading (review/10). */
@Timeout(60)
class KeyOrderTest {
  /** Time between two arrivals, ms; the kernel must be able to tell them apart. */
  private static final long GAP_MS = 50;

  /** More connections than one iteration of the event loop accepts. */
  private static final int OTHER_NEW_CONNECTIONS = 40;

  private SchedulerFixture fixture;
  private final List<SchedulerFixture.Client> clients = new ArrayList<>();

  @BeforeEach
  void start() throws Exception {
    fixture = new SchedulerFixture();
  }

  @AfterEach
  void stop() throws IOException {
    for (SchedulerFixture.Client client : clients) {
      client.close();
    }
    fixture.close();
  }

  private SchedulerFixture.Client connect() throws IOException {
    SchedulerFixture.Client client = fixture.client();
    clients.add(client);
    return client;
  }

  /** A connection that has served a request and is kept. */
  private SchedulerFixture.Client kept() throws Exception {
    SchedulerFixture.Client client = connect();
    client.send(SchedulerFixture.readRequest("r" + clients.size()));
    fixture.diskServer.nextRequest().respondOk("data");
    assertEquals(200, client.readStatus());
    return client;
  }

  private static String write(String id) {
    return SchedulerFixture.writeRequest("move", id, id, "body");
  }

  private static void pause() throws InterruptedException {
    Thread.sleep(GAP_MS);
  }

  /** Asserts that "first" and "second" run in this order, one after the other. */
  private void assertRunInOrder() throws Exception {
    for (String id : List.of("first", "second")) {
      ScriptedServer.ReceivedRequest attempt = fixture.diskServer.nextRequest();
      assertEquals(id, attempt.header("X-Txn"));
      attempt.respondOk("done");
    }
    assertFalse(fixture.log.toString().contains("receive-times.unavailable"), fixture.log.toString());
  }

  @Test
  void aNewConnectionsWriteRunsBeforeALaterOneOnAKeptConnection() throws Exception {
    SchedulerFixture.Client kept = kept();
    try (AutoCloseable heldUp = fixture.blockEventLoop()) {
      connect().send(write("first"));
      pause();
      kept.send(write("second"));
    }
    assertRunInOrder();
  }

  @Test
  void aKeptConnectionsWriteRunsBeforeALaterOneOnANewConnection() throws Exception {
    SchedulerFixture.Client kept = kept();
    try (AutoCloseable heldUp = fixture.blockEventLoop()) {
      SchedulerFixture.Client fresh = connect();
      kept.send(write("first"));
      pause();
      fresh.send(write("second"));
    }
    assertRunInOrder();
  }

  @Test
  void newConnectionsAreOrderedByTheirWritesAndNotByTheirConnects() throws Exception {
    try (AutoCloseable heldUp = fixture.blockEventLoop()) {
      SchedulerFixture.Client connectedFirst = connect();
      SchedulerFixture.Client connectedLast = connect();
      connectedLast.send(write("first"));
      pause();
      connectedFirst.send(write("second"));
    }
    assertRunInOrder();
  }

  @Test
  void keptConnectionsAreOrderedByTheirWrites() throws Exception {
    SchedulerFixture.Client keptLonger = kept();
    SchedulerFixture.Client keptShorter = kept();
    try (AutoCloseable heldUp = fixture.blockEventLoop()) {
      keptShorter.send(write("first"));
      pause();
      keptLonger.send(write("second"));
    }
    assertRunInOrder();
  }

  @Test
  void theLastByteCountsWhereARequestComesInTwoPieces() throws Exception {
    SchedulerFixture.Client inPieces = kept();
    SchedulerFixture.Client whole = kept();
    String request = write("second");
    try (AutoCloseable heldUp = fixture.blockEventLoop()) {
      inPieces.send(request.substring(0, request.length() - 1));
      pause();
      whole.send(write("first"));
      pause();
      inPieces.send(request.substring(request.length() - 1));
    }
    assertRunInOrder();
  }

  @Test
  void aWriteBehindManyNewConnectionsRunsBeforeALaterOneOnAKeptConnection() throws Exception {
    SchedulerFixture.Client kept = kept();
    try (AutoCloseable heldUp = fixture.blockEventLoop()) {
      for (int i = 0; i < OTHER_NEW_CONNECTIONS; i++) {
        connect();
      }
      connect().send(write("first"));
      pause();
      kept.send(write("second"));
    }
    assertRunInOrder();
  }

  /** A long body takes several iterations of the event loop to be read. */
  @Test
  void aLongWriteOnANewConnectionRunsBeforeALaterShortOneOnAKeptConnection() throws Exception {
    SchedulerFixture.Client kept = kept();
    try (AutoCloseable heldUp = fixture.blockEventLoop()) {
      connect().send(SchedulerFixture.writeRequest("move", "first", "first", "x".repeat(
          Bounds.MAX_REQUEST_BODY_BYTES)));
      pause();
      kept.send(write("second"));
    }
    assertRunInOrder();
  }

  /** A client that leaves while its write is held for order has no effect, and holds nobody up. */
  @Test
  void aClientThatLeavesDuringTheHoldUpIsNotServed() throws Exception {
    SchedulerFixture.Client kept = kept();
    try (AutoCloseable heldUp = fixture.blockEventLoop()) {
      connect().send(write("gone")).reset();
      kept.send(write("first"));
      pause();
      connect().send(write("second"));
    }
    assertRunInOrder();
  }

  /** A client that leaves while its write waits behind another one holds up no later write. */
  @Test
  void aClientThatLeavesWhileItsWriteWaitsHoldsUpNoLaterWrite() throws Exception {
    SchedulerFixture.Client kept = kept();
    kept.send(write("first"));
    ScriptedServer.ReceivedRequest first = fixture.diskServer.nextRequest();
    SchedulerFixture.Client gone = connect();
    gone.send(write("gone"));
    pause();
    gone.reset();
    pause();
    connect().send(write("second"));
    pause();
    first.respondOk("done");
    assertEquals("second", fixture.diskServer.nextRequest().header("X-Txn"));
  }
}
