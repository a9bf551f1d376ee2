package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against clients whose unfinished requests or unread responses use up the heap, which ends the
 * process and loses every request it has taken. */
@Timeout(120)
class BufferLimitsTest {
  private static final int MEMORY_MB = 16, BODY_BYTES = 60_000;

  /** Clients whose bodies together exceed the limit at {@link #MEMORY_MB}, 1 MiB. */
  private static final int BODIES_OVER_THE_LIMIT = 24;

  /** Size of an unread response, and clients that together leave more of it unread than the heap holds. */
  private static final int LONG_RESPONSE_BYTES = 3 << 20, READING_NOTHING = 60,
      SMALL_RECEIVE_BUFFER_BYTES = 4096;

  /** Clients that each write many invalid requests behind an open one, and for how long. */
  private static final int FLOODING_CLIENTS = 200, PIPELINED_REQUESTS = 20_000, FLOOD_MS = 1000;

  /** A crowd whose queued bodies exceed the heap of the run line, under limits that would allow them. */
  private static final int LARGE_MEMORY_MB = 2048, SOCKETS_OF_LARGE_LIMITS = 4096, CROWD_CLIENTS = 60,
      CROWD_REQUESTS = 100;

  /** How long a request waits, and how late its answer may be before it counts as lost, ms. */
  private static final int WAIT_MS = 1000, MAX_LATENESS_MS = 500;

  private final List<SchedulerFixture.Client> clients = new ArrayList<>();

  @AfterEach
  void closeClients() throws IOException {
    for (SchedulerFixture.Client client : clients) {
      client.close();
    }
  }

  private static String write(String id) {
    return SchedulerFixture.writeRequest("put", id, "k-" + id, "x".repeat(BODY_BYTES));
  }

  private static long elapsedMs(long startNs) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
  }

  private void sendAllButTheLastByte(SchedulerFixture fixture) throws IOException {
    for (int i = 0; i < BODIES_OVER_THE_LIMIT; i++) {
      SchedulerFixture.Client client = fixture.client();
      clients.add(client);
      String request = write("partial" + i);
      client.send(request.substring(0, request.length() - 1));
    }
  }

  /** Bodies that never become whole must not take the memory that other clients' requests need. */
  @Test
  void stalledBodiesMakeRoomForOthers() throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture(MEMORY_MB)) {
      fixture.startEcho();
      sendAllButTheLastByte(fixture);
      long start = System.nanoTime();
      Thread.sleep(ClientConnectionManager.MIN_STALL_BEFORE_EVICTION_US / 1000 + 200);
      SchedulerFixture.Client usual = fixture.client();
      clients.add(usual);
      assertEquals(200, usual.send(write("usual")).readStatus());
      assertEquals(408, clients.get(0).readStatus());
      assertTrue(elapsedMs(start) < ClientConnectionManager.REQUEST_READ_TIMEOUT_US / 1000,
          "ended before its time limit");
    }
  }

  /** Partly received bodies count against the limit, and every request that becomes whole is answered. */
  @Test
  void bodiesBeyondTheLimitAreRefused() throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture(MEMORY_MB)) {
      fixture.startEcho();
      sendAllButTheLastByte(fixture);
      int refused = 0;
      for (SchedulerFixture.Client client : clients) {
        int status = client.send("x").readStatus();
        assertTrue(status == 200 || status == 503, "status: " + status);
        refused += status == 503 ? 1 : 0;
      }
      assertTrue(refused >= BODIES_OVER_THE_LIMIT - (MEMORY_MB << 16) / BODY_BYTES, "refused: " + refused);
    }
  }

  /** Responses that clients do not read must not end the process by using up its heap. */
  @Test
  void unreadResponsesDoNotEndTheProcess() throws Exception {
    List<Socket> unread = new ArrayList<>();
    try (SchedulerProcessFixture fixture = new SchedulerProcessFixture()) {
      String body = "x".repeat(LONG_RESPONSE_BYTES);
      for (int i = 0; i < READING_NOTHING; i++) {
        Socket socket = fixture.connect(SMALL_RECEIVE_BUFFER_BYTES);
        unread.add(socket);
        socket.getOutputStream()
            .write(SchedulerFixture.readRequest("unread" + i)
                .replace("/get/", "/scan/")
                .getBytes(StandardCharsets.ISO_8859_1));
        fixture.diskServer.nextRequest().respondOk(body);
      }
      assertUsualRequestIsAnswered(fixture);
    } finally {
      for (Socket socket : unread) {
        socket.close();
      }
    }
  }

  /** Invalid requests that wait behind an open one must not end the process by using up its heap. */
  @Test
  void pipelinedInvalidRequestsDoNotEndTheProcess() throws Exception {
    try (SchedulerProcessFixture fixture = new SchedulerProcessFixture()) {
      byte[] invalid = "GET / HTTP/1.1\r\n\r\n".repeat(PIPELINED_REQUESTS)
          .getBytes(StandardCharsets.ISO_8859_1);
      for (int i = 0; i < FLOODING_CLIENTS; i++) {
        SchedulerFixture.Client client = fixture.client();
        clients.add(client);
        client.send(SchedulerFixture.readRequest("open" + i).replace("/get/", "/scan/"));
        Thread writer = new Thread(() -> writeUntilClosed(client.socket, invalid), "flooding client");
        writer.setDaemon(true);
        writer.start();
      }
      Thread.sleep(FLOOD_MS);
      assertUsualRequestIsAnswered(fixture);
      for (SchedulerFixture.Client client : clients) {
        assertNotEquals(0, client.readStatus(), "the open request must be answered");
      }
    }
  }

  private static void writeUntilClosed(Socket socket, byte[] bytes) {
    try {
      socket.getOutputStream().write(bytes);
    } catch (IOException closed) {
      // The test has ended.
    }
  }

  private static void assertUsualRequestIsAnswered(SchedulerProcessFixture fixture) throws IOException {
    try (SchedulerFixture.Client usual = fixture.client()) {
      usual.socket.setSoTimeout(WAIT_MS + MAX_LATENESS_MS);
      usual.send(SchedulerFixture.readRequest("usual").replace("20000m", WAIT_MS + "m"));
      assertNotEquals(0, usual.readStatus(), "a usual request must be answered in time");
      assertTrue(fixture.process.isAlive());
    }
  }

  /** All that peers can make the process hold must leave a quarter of the heap to everything else. */
  @Test
  void theSumOfAllLimitsFitsTheHeapOfTheRunLine() throws IOException {
    Matcher heap = Pattern.compile("exec java .*-Xmx([0-9]+)m .* platform\"")
        .matcher(Files.readString(Path.of("deploy/balancer.toml")));
    assertTrue(heap.find());
    long runLineHeapBytes = Long.parseLong(heap.group(1)) << 20;
    for (long heapBytes : new long[]{runLineHeapBytes / 2, runLineHeapBytes, 4 * runLineHeapBytes}) {
      for (int memoryMb : new int[]{128, 192, 800, 2048, 1 << 20}) {
        for (int descriptors : new int[]{256, 1024, 4096, 1 << 20}) {
          Bounds bounds = Bounds.of(descriptors, 0, memoryMb, heapBytes);
          long held = 3 * bounds.bytes() + (long) Bounds.CONNECTION_BYTES * (bounds.clients() + bounds
              .disks())
              + (long) bounds.transactions() * Bounds.TRANSACTION_BYTES + (long) bounds.volumes()
                  * Bounds.VOLUME_BYTES;
          assertTrue(held <= heapBytes / 4 * 3, bounds + " hold " + held + " of " + heapBytes);
        }
      }
    }
  }

  /** A crowd with whole bodies, at a memory limit far above the heap, must not end the process (review/8). */
  @Test
  void aCrowdWithBodiesDoesNotEndAProcessWhoseMemoryLimitExceedsItsHeap() throws Exception {
    try (SchedulerProcessFixture fixture = new SchedulerProcessFixture(SOCKETS_OF_LARGE_LIMITS,
        LARGE_MEMORY_MB)) {
      fixture.startEcho();
      for (int i = 0; i < CROWD_CLIENTS; i++) {
        int number = i;
        SchedulerFixture.Client client = fixture.client();
        clients.add(client);
        Thread writer = new Thread(() -> writeBodies(client.socket, number), "client with bodies");
        writer.setDaemon(true);
        writer.start();
      }
      Thread.sleep(FLOOD_MS);
      assertUsualRequestIsAnswered(fixture);
      for (SchedulerFixture.Client client : clients) {
        assertNotEquals(0, client.readStatus(), "the first request of each must be answered");
      }
      assertUsualRequestIsAnswered(fixture);
    }
  }

  private static void writeBodies(Socket socket, int client) {
    for (int i = 0; i < CROWD_REQUESTS; i++) {
      writeUntilClosed(socket, write("c" + client + "-" + i).getBytes(StandardCharsets.ISO_8859_1));
    }
  }

  @Test
  void aBudgetAsksForRoomBeforeItRefuses() {
    ByteBudget budget = new ByteBudget(100);
    assertTrue(budget.tryReserve(80));
    assertFalse(budget.tryReserve(40));
    budget.onShortage(bytes -> budget.release(bytes));
    assertTrue(budget.tryReserve(40));
    assertEquals(80, budget.used());
  }

  /** A declared length alone takes no memory, and what is allocated is returned whole. */
  @Test
  void aBufferTakesFromItsBudgetWhatItAllocates() {
    ByteBudget budget = new ByteBudget(10_000);
    BudgetedBuffer buffer = new BudgetedBuffer(budget, 4000);
    assertEquals(0, budget.used());
    assertTrue(buffer.append(Unpooled.wrappedBuffer(new byte[1])));
    assertEquals(4000, budget.used());
    assertTrue(buffer.append(Unpooled.wrappedBuffer(new byte[6000])));
    assertEquals(buffer.capacity(), budget.used());
    assertFalse(buffer.append(Unpooled.wrappedBuffer(new byte[4000])));
    assertEquals(6001, buffer.toByteArray().length);
    buffer.release();
    assertEquals(0, budget.used());
  }
}
