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

/** How calls to disk servers end where connections are late, silent or too few. */
@Timeout(60)
class CallTest {
  private static final String REQUEST = "GET /x HTTP/1.1\r\nHost: x\r\n\r\n";
  /** What must happen has long; what must run out has less. */
  private static final long LONG_US = 30_000_000, SHORT_US = 2_000_000;

  private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final Clock clock = new Clock();
  private final BlockingQueue<Result> results = new LinkedBlockingQueue<>();

  @AfterEach
  void stop() throws InterruptedException {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }

  private DiskServers servers(int most, long connectUs) {
    return new DiskServers((EventLoop) group.next(), clock, new Log(System.out), most, 1 << 20, connectUs, 0);
  }

  private static DiskServer at(InetSocketAddress address) {
    DiskServer s = new DiskServer("s", 1);
    s.dial = address;
    return s;
  }

  private static DiskServer at(Peer peer) {
    return at(EndpointUpdate.parseAddress(peer.address(), "peer"));
  }

  private void start(DiskServers servers, DiskServer to, long waitUs, boolean wanted) throws Exception {
    long now = clock.now();
    Call c = new Call(to, now, now + waitUs, w -> Http.bytes(REQUEST), () -> wanted, (result, took, headers,
        body) -> results.add(result));
    group.submit(() -> servers.start(c)).sync();
  }

  private <T> T onLoop(Callable<T> what) throws Exception {
    return group.submit(what).sync().get();
  }

  private Result result() throws InterruptedException {
    return results.poll(20, TimeUnit.SECONDS);
  }

  /** A drain's grace, the request or the server's process ended while its connection came up. */
  @Test
  void whatIsNoLongerWantedOnceItsConnectionIsUpIsNotWritten() throws Exception {
    try (Peer peer = new Peer()) {
      DiskServers servers = servers(4, LONG_US);
      DiskServer to = at(peer);
      start(servers, to, LONG_US, false);
      assertEquals(Result.MOOT, result());
      start(servers, to, LONG_US, true);
      peer.next().ok("x");
      assertEquals(Result.OK, result());
      peer.nothingElse();
    }
  }

  /** A machine that is cut off: the system drops what comes to a queue that is full. */
  @Test
  void aConnectionThatNeverComesUpEndsAsNotConnectedAndHoldsNothing() throws Exception {
    List<Socket> queue = new ArrayList<>();
    try (ServerSocket deaf = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      InetSocketAddress address = (InetSocketAddress) deaf.getLocalSocketAddress();
      boolean full = false;
      while (!full) {
        Socket s = new Socket();
        queue.add(s);
        try {
          s.connect(address, 300);
        } catch (java.net.SocketTimeoutException e) {
          full = true;
        }
      }
      DiskServers servers = servers(4, SHORT_US);
      start(servers, at(address), LONG_US, true);
      assertEquals(Result.CONNECT_FAILED, result());
      assertEquals(0, onLoop(servers::connectionCount));
    } finally {
      for (Socket s : queue) {
        s.close();
      }
    }
  }

  @Test
  void aConnectionThatStaysSilentEndsWithItsCall() throws Exception {
    try (Peer peer = new Peer()) {
      DiskServers servers = servers(4, LONG_US);
      start(servers, at(peer), SHORT_US, true);
      Peer.Came c = peer.next();
      assertEquals(Result.TIMEOUT, result());
      c.awaitClosed();
      assertEquals(0, onLoop(servers::connectionCount));
    }
  }

  /** A peer, one place, and a call on it that the peer has; a second call waits for the place. */
  private Peer.Came firstOfTwo(DiskServers servers, Peer peer) throws Exception {
    DiskServer to = at(peer);
    start(servers, to, LONG_US, true);
    Peer.Came first = peer.next();
    start(servers, to, LONG_US, true);
    return first;
  }

  /** No connection is to be had: nothing went out, and the disk server is not blamed. */
  @Test
  void withoutADescriptorACallWaitsForABoundedTime() throws Exception {
    try (Peer peer = new Peer()) {
      DiskServers servers = servers(1, SHORT_US);
      Peer.Came first = firstOfTwo(servers, peer);
      assertEquals(Result.MOOT, result());
      first.ok("x");
      assertEquals(Result.OK, result());
      peer.nothingElse();
      assertEquals(1, onLoop(servers::connectionCount));
    }
  }

  /** One that waits for a connection gets it when another ends. */
  @Test
  void whatWaitsForADescriptorGoesWhenOneIsFree() throws Exception {
    try (Peer peer = new Peer()) {
      Peer.Came first = firstOfTwo(servers(1, LONG_US), peer);
      // Its end takes the connection along, as bytes follow the answer.
      first.answer("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxnoise");
      assertEquals(Result.OK, result());
      peer.next().ok("y");
      assertEquals(Result.OK, result());
    }
  }
}
