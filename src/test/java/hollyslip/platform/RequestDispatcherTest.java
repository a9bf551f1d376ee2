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
import java.io.IOException;
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

  private RequestDispatcher dispatcher(HostScheduler scheduler) throws IOException {
    Settings settings = JsonSettingsParser.parse(5, new ObjectMapper().readTree(SchedulerFixture.SETTINGS));
    DiskConnectionPool disks = new DiskConnectionPool(loop, clock, log, 10, new ByteBudget(1 << 20),
        1_000_000, 0);
    return new RequestDispatcher(scheduler, settings, loop, clock, log, new ProcessMetrics(), disks,
        new ByteBudget(1 << 20),
        new SentTransactions(100, 1));
  }

  private static RequestHead head() {
    return new RequestHead("t1", "GET", "/get/0", "get", "gold", 0, null, REQUEST_TIMEOUT_US, 1, 1, 0, 1,
        false, false, 0);
  }

  /** Sends one request through the scheduler and returns how it was answered. Fails if the response comes
   * more than half a second after the request's deadline. */
  private String respondTo(HostScheduler scheduler) throws Exception {
    RequestDispatcher dispatcher = dispatcher(scheduler);
    CompletableFuture<String> response = new CompletableFuture<>();
    loop.submit(() -> dispatcher.accept(head(), new byte[0], clock.now(), clock.now(),
        new Exchange.Responder() {
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
          public boolean readToEnd() {
            return true;
          }
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

  /** An error that ends the handling of one event must not keep later events from the scheduler. */
  @Test
  void laterRequestsReachASchedulerThatEndedWithAnError() throws Exception {
    CompletableFuture<Long> reached = new CompletableFuture<>();
    RequestDispatcher dispatcher = dispatcher((now, event, out) -> {
      if (event instanceof HostScheduler.Request request) {
        if (request.id() == 1) {
          throw new StackOverflowError("simulated");
        }
        reached.complete(request.id());
      }
    });
    for (int i = 0; i < 2; i++) {
      loop.submit(() -> dispatcher.accept(head(), new byte[0], clock.now(), clock.now(),
          new IgnoringResponder())).sync();
    }
    assertEquals(2, reached.get(20, TimeUnit.SECONDS));
  }

  /** A client leaves while an event is pending at which the scheduler sends its request: the scheduler learns
   * that nothing was sent. Else it counts an attempt for ever, and later requests of that key, in a class
   * that asks for order, wait for it until they are refused. */
  @Test
  void anAttemptOfARequestWhoseClientJustLeftEnds() throws Exception {
    CompletableFuture<HostScheduler.AttemptEnded> ended = new CompletableFuture<>();
    RequestDispatcher dispatcher = dispatcher((now, event, out) -> {
      if (event instanceof HostScheduler.Stopping) {
        out.accept(new HostScheduler.Send(1, 1, 0, Long.MAX_VALUE));
      } else if (event instanceof HostScheduler.AttemptEnded attempt) {
        ended.complete(attempt);
      }
    });
    loop.submit(() -> {
      Exchange exchange = dispatcher.accept(head(), new byte[0], clock.now(), clock.now(),
          new IgnoringResponder());
      dispatcher.beginShutdown(Long.MAX_VALUE);
      dispatcher.abandon(exchange);
    }).sync();
    assertEquals(HostScheduler.Result.MOOT, ended.get(20, TimeUnit.SECONDS).result());
    assertEquals(1, ended.get().request());
  }

  /** For a request whose response does not matter. */
  private static final class IgnoringResponder implements Exchange.Responder {
    @Override
    public void serve(byte[] body) {}

    @Override
    public void refuse(long retryAfterUs) {}

    @Override
    public void fail() {}

    @Override
    public boolean readToEnd() {
      return true;
    }
  }
}
