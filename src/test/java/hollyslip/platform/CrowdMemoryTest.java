package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Crowds of clients whose messages take far more memory than bytes on the wire, which ends the process by
 * using up its heap. */
@Timeout(120)
class CrowdMemoryTest {
  private static final int SOCKETS = 1024, CROWD = 600;

  /** How long a request waits, and how late its answer may be before it counts as lost, ms. */
  private static final int WAIT_MS = 1000, MAX_LATENESS_MS = 500;

  /** How long a usual client is served beside the crowd, ms. */
  private static final int OBSERVATION_MS = 2000;

  /** How long a process that answers no more is given to end, for the message of a failure, s. */
  private static final int EXIT_WAIT_S = 5;

  /** Connections with a line of nearly the longest head. */
  private static final int CONNECTIONS = 400, LONG_LINE_BYTES = HttpHeadValidator.MAX_HEAD_BYTES - 100;

  /** Requests under names of their own that one client sends. */
  private static final int NEW_NAMES = 150_000, NAMES_PER_WRITE = 30;

  /** What peers can make the process hold must leave a quarter of the heap of the run line to the rest. */
  private static final long MAX_HELD_BYTES = 48L << 20;

  private static final Pattern USED = Pattern.compile("(?:def new|tenured) generation.* used ([0-9]+)K");

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final List<Socket> crowd = new ArrayList<>();

  @AfterEach
  void closeClients() throws IOException {
    threads.shutdownNow();
    for (Socket socket : crowd) {
      socket.close();
    }
  }

  private static String chunkedWrite(String id, String fields) {
    return SchedulerFixture.writeRequest("put", id, "k-" + id, "")
        .replace("Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n" + fields);
  }

  private static String shortFields(int bytes) {
    return "a:\r\n".repeat(bytes / 4);
  }

  private static void write(Socket socket, String bytes) {
    try {
      socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    } catch (IOException closed) {
      // The scheduler may end the connection of such a client.
    }
  }

  /** Has each client of a crowd send its bytes, and checks that a usual client is served beside them. */
  private void assertUsualClientIsServedBeside(IntFunction<String> input) throws Exception {
    try (SchedulerProcessFixture fixture = new SchedulerProcessFixture(SOCKETS, Map.of())) {
      fixture.startEcho();
      List<Future<?>> writers = new ArrayList<>();
      for (int i = 0; i < CROWD; i++) {
        Socket socket = fixture.connect();
        String bytes = input.apply(i);
        crowd.add(socket);
        writers.add(threads.submit(() -> write(socket, bytes)));
      }
      long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(OBSERVATION_MS), slowestMs = 0;
      for (int i = 0; System.nanoTime() < end; i++) {
        long start = System.nanoTime();
        assertUsualRequestIsAnswered(fixture, i);
        slowestMs = Math.max(slowestMs, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start));
        Thread.sleep(20);
      }
      System.out.println("slowest usual request beside a crowd: " + slowestMs + " ms");
      assertTrue(fixture.process.isAlive(), "the process has ended");
    }
  }

  private static void assertUsualRequestIsAnswered(SchedulerProcessFixture fixture, int number)
      throws InterruptedException {
    try (SchedulerFixture.Client usual = fixture.client()) {
      usual.socket.setSoTimeout(WAIT_MS + MAX_LATENESS_MS);
      usual.send(SchedulerFixture.readRequest("usual" + number).replace("20000m", WAIT_MS + "m"));
      assertNotEquals(0, usual.readStatus(), "a usual request must be answered in time");
    } catch (IOException unanswered) {
      boolean ended = fixture.process.waitFor(EXIT_WAIT_S, TimeUnit.SECONDS);
      throw new AssertionError("a usual request was not answered in time; process ended: " + ended + ", "
          + fixture.process + "\n" + String.join("\n", fixture.log), unanswered);
    }
  }

  @Test
  void trailersOfManyShortFieldsDoNotEndTheProcess() throws Exception {
    assertUsualClientIsServedBeside(i -> chunkedWrite("t" + i, "") + "0\r\n" + shortFields(7 << 10));
  }

  @Test
  void headsOfManyShortFieldsWithHalfBodiesDoNotEndTheProcess() throws Exception {
    assertUsualClientIsServedBeside(i -> chunkedWrite("h" + i, shortFields(7 << 10)) + "10\r\nhalf");
  }

  @Test
  void waitingRequestsWithLongTargetsDoNotEndTheProcess() throws Exception {
    String query = "?q=" + "x".repeat(7 << 10);
    assertUsualClientIsServedBeside(i -> {
      StringBuilder requests = new StringBuilder(SchedulerFixture.readRequest("open" + i));
      for (int k = 0; k < 31; k++) {
        requests.append(SchedulerFixture.readRequest("l" + i + "-" + k)
            .replace(" HTTP/1.1", query + " HTTP/1.1"));
      }
      return requests.toString();
    });
  }

  /** The codec keeps the room of the longest line it read, beside a head that is not whole. */
  @Test
  void aConnectionHoldsNoMoreThanIsCountedForIt() throws Exception {
    try (SchedulerProcessFixture fixture = new SchedulerProcessFixture(SOCKETS, Map.of())) {
      fixture.startEcho();
      assertUsualRequestIsAnswered(fixture, 0);
      long before = heapBytesInUse(fixture.process);
      List<SchedulerFixture.Client> clients = new ArrayList<>();
      for (int i = 0; i < CONNECTIONS; i++) {
        SchedulerFixture.Client client = fixture.client();
        clients.add(client);
        crowd.add(client.socket);
        client.send("GET /" + "x".repeat(LONG_LINE_BYTES) + " HTTP/1.1\r\n\r\n");
        assertEquals(404, client.readStatus());
      }
      for (SchedulerFixture.Client client : clients) {
        client.send("GET /" + "x".repeat(LONG_LINE_BYTES));
      }
      long held = (heapBytesInUse(fixture.process) - before) / CONNECTIONS;
      System.out.println("heap in use for a connection: " + held);
      assertTrue(held <= Bounds.CONNECTION_BYTES, "bytes for a connection: " + held);
    }
  }

  /** A client waits 4 ms for each of its requests, so that they end at once. */
  @Test
  void everNewVolumesDoNotEndTheProcess() throws Exception {
    try (SchedulerProcessFixture fixture = new SchedulerProcessFixture(SOCKETS, Map.of())) {
      fixture.startEcho();
      try (SchedulerFixture.Client client = fixture.client()) {
        for (int sent = 0; sent < NEW_NAMES; sent += NAMES_PER_WRITE) {
          StringBuilder requests = new StringBuilder();
          for (int i = sent; i < sent + NAMES_PER_WRITE; i++) {
            requests.append(SchedulerFixture.readRequest("v" + i)
                .replace("20000m", "4m")
                .replace("volume=00000003", String.format("volume=%08x", i)));
          }
          client.send(requests.toString());
          for (int i = 0; i < NAMES_PER_WRITE; i++) {
            client.readStatus();
          }
        }
      }
      assertUsualRequestIsAnswered(fixture, 0);
      long held = heapBytesInUse(fixture.process);
      System.out.println("heap in use after " + NEW_NAMES + " names: " + held);
      assertTrue(held <= MAX_HELD_BYTES, "held after " + NEW_NAMES + " names: " + held);
    }
  }

  /** Heap in use after a collection, bytes. */
  private static long heapBytesInUse(Process process) throws IOException {
    jcmd(process, "GC.run");
    return USED.matcher(jcmd(process, "GC.heap_info"))
        .results()
        .mapToLong(used -> Long.parseLong(used.group(1)) << 10)
        .sum();
  }

  private static String jcmd(Process process, String command) throws IOException {
    String jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
    Process run = new ProcessBuilder(jcmd, Long.toString(process.pid()), command).redirectErrorStream(true)
        .start();
    return new String(run.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
  }
}
