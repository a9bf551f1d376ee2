package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Clients that send hundreds of requests at once beside ordinary ones. */
@Timeout(120)
class PipeliningCrowdTest {
  private static final int SOCKETS = 1024, CROWD = 300, REQUESTS_AT_ONCE = 500, WAVES = 2;
  private static final int ORDINARY_CLIENTS = 10;

  /** How long clients wait, and how late an answer may be before its request counts as lost, ms. */
  private static final long REMAINING_MS = 1200, MAX_LATENESS_MS = 550;

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final AtomicInteger lastId = new AtomicInteger();

  private String request() {
    return SchedulerFixture.readRequest("q" + lastId.incrementAndGet()).replace("20000m", REMAINING_MS + "m");
  }

  /** Sends many requests at once and reads all responses. */
  private int flood(SchedulerProcessFixture fixture, CountDownLatch start) throws Exception {
    StringBuilder requests = new StringBuilder();
    for (int i = 0; i < REQUESTS_AT_ONCE; i++) {
      requests.append(request());
    }
    try (SchedulerFixture.Client client = fixture.client()) {
      start.countDown();
      start.await();
      client.socket.getOutputStream().write(requests.toString().getBytes(StandardCharsets.ISO_8859_1));
      int answered = 0;
      while (answered < REQUESTS_AT_ONCE && client.readStatus() != 0) {
        answered++;
      }
      return answered;
    }
  }

  private void askUntil(AtomicBoolean stop, SchedulerProcessFixture fixture, Queue<Long> tookMs)
      throws IOException {
    try (SchedulerFixture.Client client = fixture.client()) {
      while (!stop.get()) {
        long sentAt = System.nanoTime();
        assertTrue(client.send(request()).readStatus() != 0, "no answer");
        tookMs.add(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt));
      }
    }
  }

  /** Requests of others are answered in time, and each of the crowd's has its answer (review/9). */
  @Test
  void othersAreAnsweredInTimeBesideClientsWithHundredsOfRequestsAtOnce() throws Exception {
    try (SchedulerProcessFixture fixture = new SchedulerProcessFixture(SOCKETS, java.util.Map.of())) {
      fixture.startEcho();
      AtomicBoolean stop = new AtomicBoolean();
      Queue<Long> tookMs = new ConcurrentLinkedQueue<>();
      List<Future<?>> ordinary = new ArrayList<>();
      for (int i = 0; i < ORDINARY_CLIENTS; i++) {
        ordinary.add(threads.submit(() -> {
          askUntil(stop, fixture, tookMs);
          return null;
        }));
      }
      for (int wave = 0; wave < WAVES; wave++) {
        CountDownLatch start = new CountDownLatch(CROWD);
        List<Future<Integer>> crowd = new ArrayList<>();
        for (int i = 0; i < CROWD; i++) {
          crowd.add(threads.submit(() -> flood(fixture, start)));
        }
        for (Future<Integer> client : crowd) {
          assertEquals(REQUESTS_AT_ONCE, client.get());
        }
      }
      stop.set(true);
      for (Future<?> client : ordinary) {
        client.get();
      }
      long slowest = tookMs.stream().mapToLong(ms -> ms).max().orElseThrow();
      assertTrue(slowest <= REMAINING_MS + MAX_LATENESS_MS, "slowest of " + tookMs.size() + ": " + slowest
          + " ms");
      System.out.println("slowest of " + tookMs.size() + " ordinary requests: " + slowest + " ms");
    } finally {
      threads.shutdownNow();
    }
  }
}
