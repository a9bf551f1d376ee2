package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import hollyslip.HostScheduler.Result;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Results of calls to disk servers when connections are slow to come up, silent or unavailable. */
@Timeout(60)
class CallTest {
  private static final String REQUEST = "GET /x HTTP/1.1\r\nHost: x\r\n\r\n";
  /** Timeouts that must not expire, and those that must. */
  private static final long LONG_US = 30_000_000, SHORT_US = 2_000_000;

  private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final MonotonicClock clock = new MonotonicClock();
  private final BlockingQueue<Result> results = new LinkedBlockingQueue<>();

  @AfterEach
  void stop() throws InterruptedException {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }

  private DiskConnectionPool pool(int maxConnections, long connectTimeoutUs) {
    return new DiskConnectionPool((EventLoop) group.next(), clock, new EventLog(System.out), maxConnections,
        new ByteBudget(1 << 20), connectTimeoutUs, 0);
  }

  private static DiskServer serverAt(InetSocketAddress address) {
    DiskServer server = new DiskServer("s", 1);
    server.address = address;
    return server;
  }

  private static DiskServer serverAt(ScriptedServer peer) {
    return serverAt(EndpointUpdate.parseAddress(peer.address(), "peer"));
  }

  private void start(DiskConnectionPool pool, DiskServer server, long timeoutUs, boolean maySend)
      throws Exception {
    long now = clock.now();
    Call call = new Call(server, now, now + timeoutUs, w -> HttpSupport.latin1Bytes(REQUEST), () -> maySend, (
        result, took, headers, body) -> results.add(result));
    group.submit(() -> pool.start(call)).sync();
  }

  private <T> T onLoop(Callable<T> task) throws Exception {
    return group.submit(task).sync().get();
  }

  private Result result() throws InterruptedException {
    return results.poll(20, TimeUnit.SECONDS);
  }

  /** The drain's grace period, the request or the server's process ended while the connection was
   * established. */
  @Test
  void requestThatMayNoLongerBeSentIsNotWritten() throws Exception {
    try (ScriptedServer peer = new ScriptedServer()) {
      DiskConnectionPool pool = pool(4, LONG_US);
      DiskServer server = serverAt(peer);
      start(pool, server, LONG_US, false);
      assertEquals(Result.MOOT, result());
      start(pool, server, LONG_US, true);
      peer.nextRequest().respondOk("x");
      assertEquals(Result.OK, result());
      peer.assertNoMoreRequests();
    }
  }

  /** Simulates an unreachable machine by a full accept queue, to which the system drops connection
   * attempts. */
  @Test
  void connectTimeoutEndsTheCallAndReleasesTheConnection() throws Exception {
    List<Socket> queue = new ArrayList<>();
    try (ServerSocket unresponsive = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      InetSocketAddress address = (InetSocketAddress) unresponsive.getLocalSocketAddress();
      boolean full = false;
      while (!full) {
        Socket socket = new Socket();
        queue.add(socket);
        try {
          socket.connect(address, 300);
        } catch (java.net.SocketTimeoutException e) {
          full = true;
        }
      }
      DiskConnectionPool pool = pool(4, SHORT_US);
      start(pool, serverAt(address), LONG_US, true);
      assertEquals(Result.CONNECT_FAILED, result());
      assertEquals(0, onLoop(pool::connectionCount));
    } finally {
      for (Socket socket : queue) {
        socket.close();
      }
    }
  }

  @Test
  void silentConnectionIsClosedWhenItsCallTimesOut() throws Exception {
    try (ScriptedServer peer = new ScriptedServer()) {
      DiskConnectionPool pool = pool(4, LONG_US);
      start(pool, serverAt(peer), SHORT_US, true);
      ScriptedServer.ReceivedRequest request = peer.nextRequest();
      assertEquals(Result.TIMEOUT, result());
      request.awaitClosed();
      assertEquals(0, onLoop(pool::connectionCount));
    }
  }

  /** Starts two calls in a pool of one connection: the first one's request is returned, the second one
   * waits. */
  private ScriptedServer.ReceivedRequest firstOfTwo(DiskConnectionPool pool, ScriptedServer peer)
      throws Exception {
    DiskServer server = serverAt(peer);
    start(pool, server, LONG_US, true);
    ScriptedServer.ReceivedRequest first = peer.nextRequest();
    start(pool, server, LONG_US, true);
    return first;
  }

  /** A call that gets no connection ends without a failure of the disk server, as nothing was sent. */
  @Test
  void callWaitsForAFreeConnectionForALimitedTime() throws Exception {
    try (ScriptedServer peer = new ScriptedServer()) {
      DiskConnectionPool pool = pool(1, SHORT_US);
      ScriptedServer.ReceivedRequest first = firstOfTwo(pool, peer);
      assertEquals(Result.MOOT, result());
      first.respondOk("x");
      assertEquals(Result.OK, result());
      peer.assertNoMoreRequests();
      assertEquals(1, onLoop(pool::connectionCount));
    }
  }

  /** A call that waits for a connection gets one when another is closed. */
  @Test
  void waitingCallStartsWhenAConnectionBecomesAvailable() throws Exception {
    try (ScriptedServer peer = new ScriptedServer()) {
      ScriptedServer.ReceivedRequest first = firstOfTwo(pool(1, LONG_US), peer);
      // The connection is closed with the first call, as bytes follow the response.
      first.respond("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxnoise");
      assertEquals(Result.OK, result());
      peer.nextRequest().respondOk("y");
      assertEquals(Result.OK, result());
    }
  }
}
