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

/** A scheduler's process: what it keeps, and what it loads. */
@Timeout(120)
class SchedulerProcessTest {
  private static final int DISTINCT = 10_000;

  @Test
  void readyDoesNotWaitForADiscoveryThatIsDown() throws Exception {
    try (Site site = new Site(); Site.Client client = site.client()) {
      int status = 503;
      while (status == 503) {
        status = client.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status();
      }
      assertEquals(200, status);
    }
  }

  /** A restart cost 0.4 s of waiting on the day of reloads: nothing is told after the version that is
   * known. */
  @Test
  void discoverySpeaksWithTheHeadOfItsWatch() throws Exception {
    CountDownLatch spoken = new CountDownLatch(1);
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try (Peer agent = new Peer()) {
      InetSocketAddress at = EndpointUpdate.parseAddress(agent.address(), "agent");
      DiscoveryClient d = new DiscoveryClient((EventLoop) group.next(), new Clock(), new Log(System.out),
          new WatchClock(), at, 41,
          n -> {}, spoken::countDown);
      group.submit(d::start).sync();
      Peer.Came watch = agent.next();
      assertEquals(1, spoken.getCount());
      watch.answer(Site.WATCH);
      assertTrue(spoken.await(20, TimeUnit.SECONDS));
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }
  }

  /** The platform kills 0.7 s after the longest deadline, counted as 3 s where it is longer. */
  @Test
  void afterAStopClientsAreServedUntilShortlyBeforeTheKill() {
    for (long longest : new long[]{200_000, 1_670_000, 3_000_000, 20_000_000}) {
      long kill = Math.min(longest, 3_000_000) + 700_000;
      assertTrue(Node.responseLimitAfterStopUs(longest) <= kill - 250_000, "time to answer before the kill");
      assertTrue(Node.drainDelayUs(longest) >= kill - 300_000, "nobody is sent away sooner");
      assertTrue(Node.drainDelayUs(longest) < Node.responseLimitAfterStopUs(longest));
    }
  }

  /** Ids, volumes, keys and disk servers that are always new leave nothing behind. */
  @Test
  void whatHasEndedIsForgotten() throws Exception {
    try (Site site = new Site(); Site.Client client = site.client()) {
      Peer.Came w = site.discovery.next();
      w.answer(Site.WATCH);
      Thread disk = new Thread(() -> {
        try {
          while (true) {
            site.disk.next().ok("x");
          }
        } catch (Exception | AssertionError over) {
          // The test has ended.
        }
      });
      disk.setDaemon(true);
      disk.start();
      int before = 0;
      for (int i = 0; i < DISTINCT; i++) {
        if (i % 20 == 0) {
          w.answer(Site.chunk(Site.list(42 + i, true, Site.entry("s-" + i, site.disk, 0, "up")) + "\n"));
        }
        client.send(Site.read("t" + i).replace("00000003b4d60021", String.format("%016x", i)));
        assertEquals(200, client.status());
        if (i == DISTINCT / 2) {
          before = descriptors();
        }
      }
      // Some thousand connections came and went since; both ends of those that rest are this process's.
      assertEquals(before, descriptors(), 150, "descriptors");
      // Its loop has forgotten the last one when it answers this.
      assertEquals(200, client.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status());
      assertEquals(0, site.node.open());
      assertTrue(site.node.diskServerCount() <= 3, () -> "" + site.node.diskServerCount());
    }
  }

  private static int descriptors() {
    return new File("/proc/self/fd").list().length;
  }

  /** The process of the platform has some tens of MB: it must not load what it does not use. */
  @Test
  void aRehearsalLoadsNothingOfTheGateway() throws Exception {
    Process p = new ProcessBuilder(ProcessHandle.current().info().command().orElseThrow(), "-Xlog:class+load",
        "-cp", System.getProperty("java.class.path"), "hollyslip.cli.Main", "platform", "--rehearse")
        .redirectErrorStream(true)
        .start();
    Set<String> loaded = new TreeSet<>();
    try (var lines = p.inputReader().lines()) {
      lines.filter(l -> l.contains("source:")).forEach(l -> loaded.add(l.split("]", 4)[3].trim()));
    }
    assertTrue(p.waitFor(60, TimeUnit.SECONDS));
    assertEquals(0, p.exitValue());
    assertTrue(loaded.stream().anyMatch(l -> l.startsWith("hollyslip.Choice ")), loaded::toString);
    for (String unwanted : new String[]{"io.vertx.", "com.sun.jna.", "ch.qos.", "org.slf4j.", "picocli.",
        "hollyslip.store.", "hollyslip.door.", "hollyslip.admin.", "hollyslip.front.", "hollyslip.gateway.",
        "hollyslip.engine."}) {
      assertFalse(loaded.stream().anyMatch(l -> l.startsWith(unwanted)), unwanted);
    }
  }
}
