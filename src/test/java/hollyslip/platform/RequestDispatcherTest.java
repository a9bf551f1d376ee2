package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import hollyslip.HostScheduler;
import hollyslip.HostScheduler.Settings;
import hollyslip.JsonSettingsParser;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Requests still get a response when the scheduler has a fault. */
@Timeout(60)
class RequestDispatcherTest {
  private static final long REQUEST_TIMEOUT_US = 300_000;

  private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = (EventLoop) group.next();
  private final MonotonicClock clock = new MonotonicClock();
  private final EventLog log = new EventLog(System.out);

  @AfterEach
  void shutDown() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    log.close();
  }

  /** Sends one request through the scheduler and returns how it was answered. Fails if the response comes
   * more than half a second after the request's deadline. */
  private String respondTo(HostScheduler scheduler) throws Exception {
    Settings settings = JsonSettingsParser.parse(5, new ObjectMapper().readTree(SchedulerFixture.SETTINGS));
    DiskConnectionPool disks = new DiskConnectionPool(loop, clock, log, 10, new ByteBudget(1 << 20),
        1_000_000, 0);
    RequestDispatcher dispatcher = new RequestDispatcher(scheduler, settings, loop, clock, log, disks,
        new ByteBudget(1 << 20));
    CompletableFuture<String> response = new CompletableFuture<>();
    RequestHead head = new RequestHead("t1", "GET", "/get/0", "get", "gold", 0, null, REQUEST_TIMEOUT_US, 1,
        1, 0, 1, false,
        false, 0);
    loop.submit(() -> dispatcher.accept(head, new byte[0], clock.now(), new Exchange.Responder() {
      @Override
      public void serve(byte[] body) {
        response.complete("served");
      }

      @Override
      public void refuse(long retryInUs) {
        response.complete("refused");
      }

      @Override
      public void fail() {
        response.complete("failed");
      }

      @Override
      public void readPending() {}
    })).sync();
    loop.scheduleAtFixedRate(dispatcher::failOverdueRequests, 0, 10, TimeUnit.MILLISECONDS);
    long start = clock.now();
    String outcome = response.get(20, TimeUnit.SECONDS);
    assertTrue(clock.now() - start < REQUEST_TIMEOUT_US + 500_000,
        "answered within half a second of the deadline");
    loop.submit(() -> assertEquals(0, dispatcher.openRequestCount())).sync();
    return outcome;
  }

  @Test
  void aRequestForgottenByTheModuleFails() throws Exception {
    assertEquals("failed", respondTo((now, event, out) -> {}));
  }

  @Test
  void aRequestFailsWhenTheSchedulerThrows() throws Exception {
    assertEquals("failed", respondTo((now, event, out) -> {
      throw new IllegalStateException("simulated scheduler fault");
    }));
  }
}
