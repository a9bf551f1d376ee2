package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Clients that send, leave and come again as fast as they can, beside usual ones, which must have each of
 * their answers in time. */
@Timeout(120)
class HostileTrafficTest {
  private static final int SOCKETS = 400, HOSTILE_CLIENTS = 4, USUAL_CLIENTS = 5, DURATION_MS = 2_000;

  /** How long a usual request waits, and how late its answer may be before it counts as lost, ms. */
  private static final int WAIT_MS = 1000, MAX_LATENESS_MS = 500;

  private static final AtomicInteger LAST_ID = new AtomicInteger();

  private final ExecutorService threads = Executors.newCachedThreadPool();

  @AfterEach
  void stopThreads() {
    threads.shutdownNow();
  }

  /** What a hostile client does on a connection of its own, again and again. */
  private enum Behaviour {
    READS_NO_RESPONSES {
      @Override
      void act(SchedulerFixture.Client client) throws IOException {
        client.send(requests(200));
      }
    },
    ASKS_WITHOUT_PAUSE {
      @Override
      void act(SchedulerFixture.Client client) throws IOException {
        client.send(requests(30));
        readResponses(client, 30);
      }
    },
    SENDS_INVALID_REQUESTS {
      @Override
      void act(SchedulerFixture.Client client) throws IOException {
        client.send("GET /nothing HTTP/1.1\r\n\r\n".repeat(30));
        readResponses(client, 30);
      }
    },
    ASKS_WHETHER_IT_IS_READY {
      @Override
      void act(SchedulerFixture.Client client) throws IOException {
        client.send("GET /ready HTTP/1.1\r\n\r\n".repeat(30));
        readResponses(client, 30);
      }
    },
    ALTERNATES_RESPONSES {
      @Override
      void act(SchedulerFixture.Client client) throws IOException {
        client.send((request() + "GET /ready HTTP/1.1\r\n\r\n").repeat(100));
      }
    },
    WAITS_NO_TIME {
      @Override
      void act(SchedulerFixture.Client client) throws IOException {
        client.send(requests(30).replace("1000m", "0m"));
        readResponses(client, 30);
      }
    },
    LEAVES_AFTER_ITS_REQUEST {
      @Override
      void act(SchedulerFixture.Client client) throws IOException {
        client.send(request());
        client.close();
      }
    },
    LEAVES_BY_RESET {
      @Override
      void act(SchedulerFixture.Client client) throws IOException {
        client.send(requests(3));
        client.reset();
      }
    },
    LEAVES_BEHIND_MUCH_INPUT {
      @Override
      void act(SchedulerFixture.Client client) throws IOException {
        client.send(requests(500));
        client.close();
      }
    },
    CLOSES_ITS_OUTPUT {
      @Override
      void act(SchedulerFixture.Client client) throws IOException {
        client.send(requests(2));
        client.socket.shutdownOutput();
        client.readResponse();
        client.close();
      }
    },
    SENDS_THE_SAME_ID {
      @Override
      void act(SchedulerFixture.Client client) throws IOException {
        client.send(SchedulerFixture.readRequest("same").repeat(30));
        readResponses(client, 30);
      }
    },
    DRIPS_SINGLE_BYTES {
      @Override
      void act(SchedulerFixture.Client client) throws IOException {
        client.socket.setTcpNoDelay(true);
        for (byte b : request().getBytes(StandardCharsets.ISO_8859_1)) {
          client.socket.getOutputStream().write(b);
        }
        client.readResponse();
      }
    },
    SENDS_SMALL_CHUNKS {
      @Override
      void act(SchedulerFixture.Client client) throws IOException {
        client.send(SchedulerFixture.writeRequest("put", nextId(), "k", "")
            .replace("Content-Length: 0", "Transfer-Encoding: chunked") + "1\r\nx\r\n".repeat(2_000)
            + "0\r\n\r\n");
        client.readResponse();
      }
    },
    CONNECTS_ONLY {
      @Override
      void act(SchedulerFixture.Client client) throws IOException {
        client.close();
      }
    };

    abstract void act(SchedulerFixture.Client client) throws IOException;
  }

  private static String nextId() {
    return "h" + LAST_ID.incrementAndGet();
  }

  private static String request() {
    return SchedulerFixture.readRequest(nextId()).replace("20000m", "1000m");
  }

  private static String requests(int count) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < count; i++) {
      text.append(request());
    }
    return text.toString();
  }

  private static void readResponses(SchedulerFixture.Client client, int count) throws IOException {
    for (int i = 0; i < count; i++) {
      if (client.readResponse().equals("closed")) {
        throw new IOException("closed");
      }
    }
  }

  private static void misbehave(SchedulerProcessFixture fixture, Behaviour behaviour, AtomicBoolean stop)
      throws IOException {
    while (!stop.get()) {
      try (SchedulerFixture.Client client = fixture.client()) {
        client.socket.setSoTimeout(DURATION_MS);
        while (!stop.get() && !client.socket.isClosed()) {
          behaviour.act(client);
        }
      } catch (IOException ended) {
        // The scheduler may end the connection of such a client, which connects again.
      }
    }
  }

  /** Sends a request until it is answered: one that the scheduler has not read, as a reset shows, is sent
   * once more. Returns how it ended if that is a loss, else null. */
  private static String ask(SchedulerProcessFixture fixture, String id) throws IOException {
    boolean reset = true;
    String outcome = null;
    while (reset) {
      reset = false;
      try (SchedulerFixture.Client client = fixture.client()) {
        client.socket.setSoTimeout(WAIT_MS + MAX_LATENESS_MS);
        client.send(SchedulerFixture.readRequest(id).replace("20000m", WAIT_MS + "m"));
        if (ScriptedServer.readHead(client.socket.getInputStream()) == null) {
          outcome = id + " closed";
        }
      } catch (SocketTimeoutException silent) {
        outcome = id + " not answered";
      } catch (SocketException notRead) {
        reset = true;
      }
    }
    return outcome;
  }

  /** Asks until told to stop; returns how each request that was not answered in time ended. */
  private static List<String> ask(SchedulerProcessFixture fixture, AtomicBoolean stop) throws Exception {
    List<String> lost = new ArrayList<>();
    while (!stop.get()) {
      String outcome = ask(fixture, nextId());
      if (outcome != null) {
        lost.add(outcome);
      }
      Thread.sleep(10);
    }
    return lost;
  }

  @ParameterizedTest
  @EnumSource(Behaviour.class)
  void usualClientsAreAnsweredBeside(Behaviour behaviour) throws Exception {
    try (SchedulerProcessFixture fixture = new SchedulerProcessFixture(SOCKETS, Map.of())) {
      fixture.startEcho();
      AtomicBoolean stop = new AtomicBoolean();
      for (int i = 0; i < HOSTILE_CLIENTS; i++) {
        threads.submit(() -> {
          misbehave(fixture, behaviour, stop);
          return null;
        });
      }
      List<Future<List<String>>> usual = new ArrayList<>();
      for (int i = 0; i < USUAL_CLIENTS; i++) {
        usual.add(threads.submit(() -> ask(fixture, stop)));
      }
      Thread.sleep(DURATION_MS);
      stop.set(true);
      List<String> lost = new ArrayList<>();
      for (Future<List<String>> client : usual) {
        lost.addAll(client.get());
      }
      assertEquals(List.of(), lost, () -> String.join("\n", fixture.log));
      assertTrue(fixture.process.isAlive());
    }
  }
}
