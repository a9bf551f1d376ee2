package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.File;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Start, end, memory and loaded classes of a scheduler process. */
@Timeout(120)
class SchedulerProcessTest {
  private static final int REQUESTS = 10_000;

  @Test
  void becomesReadyWhileDiscoveryIsDown() throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture();
        SchedulerFixture.Client client = fixture.client()) {
      int status = 503;
      while (status == 503) {
        status = client.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").readStatus();
      }
      assertEquals(200, status);
    }
  }

  /** Discovery sends no update if the known version is current. Waiting for one cost 0.4 s at each restart,
   * so the response head must count as the answer. */
  @Test
  void responseHeadOfTheWatchCountsAsAnswer() throws Exception {
    CountDownLatch answered = new CountDownLatch(1);
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try (ScriptedServer agent = new ScriptedServer()) {
      InetSocketAddress address = EndpointUpdate.parseAddress(agent.address(), "agent");
      DiscoveryClient discovery = new DiscoveryClient((EventLoop) group.next(), new MonotonicClock(),
          new EventLog(System.out), new WatchRetryPolicy(), address, 41, n -> {}, answered::countDown);
      group.submit(discovery::start).sync();
      ScriptedServer.ReceivedRequest watch = agent.nextRequest();
      assertEquals(1, answered.getCount());
      watch.respond(SchedulerFixture.WATCH_RESPONSE_HEAD);
      assertTrue(answered.await(20, TimeUnit.SECONDS));
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }
  }

  /** The platform kills the process 0.7 s after the longest deadline, which is capped at 3 s. */
  @Test
  void clientsAreServedAfterSigtermUntilShortlyBeforeTheKill() {
    for (long longestDeadlineUs : new long[]{200_000, 1_670_000, 3_000_000, 20_000_000}) {
      long kill = Math.min(longestDeadlineUs, 3_000_000) + 700_000;
      assertTrue(SchedulerProcess.responseLimitAfterStopUs(longestDeadlineUs) <= kill - 250_000,
          "time to answer before the kill");
      assertTrue(SchedulerProcess.drainDelayUs(longestDeadlineUs) >= kill - 300_000,
          "no client is disconnected earlier");
      assertTrue(SchedulerProcess.drainDelayUs(longestDeadlineUs) < SchedulerProcess.responseLimitAfterStopUs(
          longestDeadlineUs));
    }
  }

  /** Guards against leaks by requests whose ids, volumes, keys and disk servers are new each time. */
  @Test
  void endedRequestsAndRemovedDiskServersLeaveNothingBehind() throws Exception {
    try (SchedulerFixture fixture = new SchedulerFixture();
        SchedulerFixture.Client client = fixture.client()) {
      ScriptedServer.ReceivedRequest watch = fixture.discovery.nextRequest();
      watch.respond(SchedulerFixture.WATCH_RESPONSE_HEAD);
      Thread disk = new Thread(() -> {
        try {
          while (true) {
            fixture.diskServer.nextRequest().respondOk("x");
          }
        } catch (Exception | AssertionError ended) {
          // The test has ended.
        }
      });
      disk.setDaemon(true);
      disk.start();
      int before = 0;
      for (int i = 0; i < REQUESTS; i++) {
        if (i % 20 == 0) {
          watch.respond(SchedulerFixture.httpChunk(SchedulerFixture.nodeListJson(42 + i, true,
              SchedulerFixture.nodeEntryJson("s-" + i,
                  fixture.diskServer, 0, "up")) + "\n"));
        }
        client.send(SchedulerFixture.readRequest("t" + i)
            .replace("00000003b4d60021", String.format("%016x", i)));
        assertEquals(200, client.readStatus());
        if (i == REQUESTS / 2) {
          before = descriptors();
        }
      }
      // Some thousands of connections were opened and closed since; this process holds both ends of the idle
      // ones.
      assertEquals(before, descriptors(), 150, "descriptors");
      // Once this is answered, the event loop has released the last request.
      assertEquals(200, client.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").readStatus());
      assertEquals(0, fixture.node.openRequests());
      assertTrue(fixture.node.diskServerCount() <= 3, () -> "" + fixture.node.diskServerCount());
    }
  }

  private static int descriptors() {
    return new File("/proc/self/fd").list().length;
  }

  /** The scheduler process has some tens of MB of memory: it must not load classes that it does not use. */
  @Test
  void trainingRunLoadsNoClassesOfTheGateway() throws Exception {
    Process process = new ProcessBuilder(ProcessHandle.current().info().command().orElseThrow(),
        "-Xlog:class+load",
        "-cp", System.getProperty("java.class.path"), "hollyslip.cli.Main", "platform", "--rehearse")
        .redirectErrorStream(true)
        .start();
    Set<String> loaded = new TreeSet<>();
    try (var lines = process.inputReader().lines()) {
      lines.filter(l -> l.contains("source:")).forEach(l -> loaded.add(l.split("]", 4)[3].trim()));
    }
    assertTrue(process.waitFor(60, TimeUnit.SECONDS));
    assertEquals(0, process.exitValue());
    assertTrue(loaded.stream().anyMatch(l -> l.startsWith("hollyslip.TokenBorrowingScheduler ")),
        loaded::toString);
    for (String unwanted : new String[]{"io.vertx.", "com.sun.jna.", "ch.qos.", "org.slf4j.", "picocli.",
        "hollyslip.store.", "hollyslip.admission.", "hollyslip.admin.", "hollyslip.front.",
        "hollyslip.gateway.",
        "hollyslip.engine."}) {
      assertFalse(loaded.stream().anyMatch(l -> l.startsWith(unwanted)), unwanted);
    }
  }
}
