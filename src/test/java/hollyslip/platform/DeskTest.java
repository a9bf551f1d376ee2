package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import hollyslip.HostScheduler;
import hollyslip.HostScheduler.Settings;
import hollyslip.WireSettings;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What the requests of a module with a fault get. */
@Timeout(60)
class DeskTest {
  private static final long WAITS_US = 300_000;

  private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = (EventLoop) group.next();
  private final Clock clock = new Clock();
  private final Log log = new Log(System.out);

  @AfterEach
  void end() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    log.close();
  }

  /** The answer to one request of this module, and how long after its client's time it came, us. */
  private String answer(HostScheduler module) throws Exception {
    Settings settings = WireSettings.parse(5, new ObjectMapper().readTree(Site.SETTINGS));
    DiskServers disks = new DiskServers(loop, clock, log, 10, 1 << 20, 1_000_000, 0);
    Desk desk = new Desk(module, settings, loop, clock, log, disks, 1 << 20);
    CompletableFuture<String> answer = new CompletableFuture<>();
    Ask ask = new Ask("t1", "GET", "/get/0", "get", "gold", 0, null, WAITS_US, 1, 1, 0, 1, false, false, 0);
    loop.submit(() -> desk.take(ask, new byte[0], clock.now(), new Exchange.Reply() {
      @Override
      public void served(byte[] body) {
        answer.complete("served");
      }

      @Override
      public void refused(long retryInUs) {
        answer.complete("refused");
      }

      @Override
      public void failed() {
        answer.complete("failed");
      }

      @Override
      public void readNow() {}
    })).sync();
    loop.scheduleAtFixedRate(desk::failOverdue, 0, 10, TimeUnit.MILLISECONDS);
    long start = clock.now();
    String given = answer.get(20, TimeUnit.SECONDS);
    assertTrue(clock.now() - start < WAITS_US + 500_000, "in time, or half a second after");
    loop.submit(() -> assertEquals(0, desk.open())).sync();
    return given;
  }

  @Test
  void aRequestThatTheModuleForgetsIsFailed() throws Exception {
    assertEquals("failed", answer((now, event, out) -> {}));
  }

  @Test
  void aRequestInWhichTheModuleFailsIsFailed() throws Exception {
    assertEquals("failed", answer((now, event, out) -> {
      throw new IllegalStateException("a fault for the test");
    }));
  }
}
