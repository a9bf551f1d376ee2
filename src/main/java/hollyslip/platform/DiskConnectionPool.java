package hollyslip.platform;

import hollyslip.HostScheduler.Result;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** The pool of connections to disk servers, which runs calls on them. It never retries: each call's request
 * is sent at most once. */
final class DiskConnectionPool {
  /** How long a connection must stay silent after a response before it is reused, us. A duplicate response
   * that arrives late would be taken for the response to the next request, and each later response for its
   * predecessor's. A sender without TCP_NODELAY delays a small write until the previous one is acknowledged,
   * which Linux does within 40 ms where round trips are shorter. Drawback: a few more connections. */
  static final long MIN_IDLE_BEFORE_REUSE_US = 60_000;

  /** A reused connection that breaks within this time of its request being written, us, is taken to have been
   * closed by the peer before that. */
  static final long STALE_WINDOW_US = 5_000;

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final EventLog log;
  private final int maxConnections;
  private final long connectTimeoutUs;
  private final Bootstrap bootstrap;
  private final Set<DiskConnection> connections = new HashSet<>();
  /** Calls waiting for a free connection slot. */
  private final Deque<Call> waitingCalls = new ArrayDeque<>();
  /** Connections that are being established. */
  private int connecting;
  private boolean startingWaitingCalls;
  private final AdaptiveIdleTimeout idleTimeout;
  /** Limits the bytes buffered of incomplete responses. */
  private final ByteBudget responseBytes;

  /** @param maxConnections
   *          limit of open connections, including those being established
   * @param responseBytes
   *          limits the bytes buffered of incomplete responses
   * @param connectTimeoutUs
   *          connect timeout; 1 s if not positive
   * @param diskIdleTimeoutUs
   *          disk servers close connections that were idle for this long; 0: never */
  DiskConnectionPool(EventLoop loop, MonotonicClock clock, EventLog log, int maxConnections,
      ByteBudget responseBytes, long connectTimeoutUs, long diskIdleTimeoutUs) {
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.maxConnections = maxConnections;
    this.responseBytes = responseBytes;
    this.connectTimeoutUs = connectTimeoutUs > 0 ? connectTimeoutUs : 1_000_000;
    // Stays a tenth below the peer's timeout: a request could be in transit when the peer closes.
    long maxIdleUs = diskIdleTimeoutUs > 0 ? diskIdleTimeoutUs - diskIdleTimeoutUs / 10 : Long.MAX_VALUE;
    idleTimeout = new AdaptiveIdleTimeout(2 * MIN_IDLE_BEFORE_REUSE_US, maxIdleUs);
    bootstrap = new Bootstrap().group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.ALLOCATOR, ReceiveBuffers.ALLOCATOR)
        .option(ChannelOption.RECVBUF_ALLOCATOR, ReceiveBuffers.RECEIVE_ALLOCATOR)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, this.connectTimeoutUs / 1000))
        .handler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel ch) {
            // Handlers are added once connected: nothing is read before a request was written.
          }
        });
  }

  long now() {
    return clock.now();
  }

  int connectionCount() {
    return connections.size() + connecting;
  }

  /** Starts a call; its listener may be called before this returns. */
  void start(Call call) {
    call.server.activeCalls++;
    long now = now();
    call.timeoutTask = loop.schedule(() -> onCallTimeout(call), Math.max(0, call.timeoutAt - now),
        TimeUnit.MICROSECONDS);
    if (!call.sendCheck.maySend()) {
      call.end(Result.MOOT, now);
      return;
    }
    DiskConnection idle = takeIdle(call.server, now());
    if (idle != null) {
      idle.start(call);
    } else if (connectionCount() < maxConnections || evictLongestIdle()) {
      connect(call);
    } else {
      waitingCalls.add(call);
      loop.schedule(() -> onWaitTimeout(call), connectTimeoutUs, TimeUnit.MICROSECONDS);
    }
  }

  /** Cancels a call and closes its connection. */
  void cancel(Call call) {
    if (!call.ended()) {
      DiskConnection connection = call.connection;
      call.end(call.written ? Result.CANCELLED : Result.MOOT, now());
      if (connection != null) {
        connection.abandon();
      }
    }
  }

  /** Cancels a call unless its request was fully written: an incomplete request has not run, and the rest of
   * it must not be sent. */
  void cancelUnsent(Call call) {
    if (!call.written) {
      waitingCalls.remove(call);
      cancel(call);
    }
  }

  /** Sends a call's request on a new connection, unless the connection took too long or the request may no
   * longer be sent. */
  private void sendIfAllowed(DiskConnection connection, Call call) {
    long now = now();
    if (now - call.startedAt < connectTimeoutUs && now < call.timeoutAt && call.sendCheck.maySend()) {
      connection.start(call);
    } else {
      call.end(Result.MOOT, now);
      onIdle(connection);
    }
  }

  /** Takes the most recently used connection that was silent long enough and is not about to be closed; null:
   * none. Pending input is read first: unsolicited bytes or the end of the connection must be seen before the
   * next request is sent. */
  private DiskConnection takeIdle(DiskServer server, long now) {
    closeExpired(server, now);
    for (DiskConnection connection = findReusable(server, now); connection != null; connection = findReusable(
        server, now)) {
      server.idleConnections.remove(connection);
      connection.readNow();
      if (connection.isIdle()) {
        return connection;
      }
    }
    return null;
  }

  /** The most recently used connection that was silent long enough; null: none. */
  private static DiskConnection findReusable(DiskServer server, long now) {
    for (var it = server.idleConnections.descendingIterator(); it.hasNext();) {
      DiskConnection connection = it.next();
      if (now - connection.idleSince >= MIN_IDLE_BEFORE_REUSE_US && connection.isIdle()) {
        return connection;
      }
    }
    return null;
  }

  private void closeExpired(DiskServer server, long now) {
    while (!server.idleConnections.isEmpty() && now - server.idleConnections
        .peekFirst().idleSince >= idleTimeout.timeoutUs()) {
      server.idleConnections.peekFirst().close();
    }
  }

  /** Makes room by closing the connection that was idle longest; returns whether there was one. */
  private boolean evictLongestIdle() {
    DiskConnection oldest = null;
    for (DiskConnection connection : connections) {
      if (connection.isIdle() && (oldest == null || connection.idleSince < oldest.idleSince)) {
        oldest = connection;
      }
    }
    if (oldest != null) {
      oldest.close();
    }
    return oldest != null;
  }

  private void connect(Call call) {
    DiskServer server = call.server;
    InetSocketAddress address = server.address;
    connecting++;
    ChannelFuture future;
    try {
      future = bootstrap.connect(address);
    } catch (RuntimeException e) {
      connecting--;
      failWithoutDescriptor(call, e);
      return;
    }
    future.addListener(done -> {
      connecting--;
      if (done.isSuccess()) {
        onConnected(future.channel(), server, address, call);
      } else {
        if (done.cause() instanceof ChannelException) {
          // Thrown where no socket could be opened; all other failures are the peer's.
          failWithoutDescriptor(call, done.cause());
        } else {
          call.end(Result.CONNECT_FAILED, now());
        }
      }
      startWaitingCalls();
    });
  }

  /** Ends a call for lack of a file descriptor: nothing was sent, and the disk server is not at fault. */
  private void failWithoutDescriptor(Call call, Throwable cause) {
    log.event("disk.no-descriptor", "server", call.server.host, "reason", cause);
    call.end(Result.MOOT, now());
  }

  private void onConnected(Channel channel, DiskServer server, InetSocketAddress address, Call call) {
    DiskConnection connection = new DiskConnection(server, address, channel, this);
    connections.add(connection);
    connection.installHandlers();
    if (call.ended()) {
      onIdle(connection);
    } else {
      sendIfAllowed(connection, call);
    }
  }

  private void onCallTimeout(Call call) {
    if (call.ended()) {
      return;
    }
    DiskConnection connection = call.connection;
    Result result = connection == null
        ? waitingCalls.remove(call) ? Result.MOOT : Result.CONNECT_FAILED
        : call.written ? Result.TIMEOUT : Result.CONNECT_FAILED;
    call.end(result, now());
    if (connection != null) {
      connection.abandon();
    }
  }

  private void onWaitTimeout(Call call) {
    if (waitingCalls.remove(call)) {
      log.event("disk.no-connection-free", "server", call.server.host, "open", connectionCount());
      call.end(Result.MOOT, now());
    }
  }

  /** A connection's call has ended: keeps the connection, unless the disk server has moved to another
   * address. */
  void onIdle(DiskConnection connection) {
    connection.idleSince = now();
    if (connection.address.equals(connection.server.address)) {
      connection.server.idleConnections.addLast(connection);
    } else {
      connection.close();
    }
  }

  void onClosed(DiskConnection connection) {
    connections.remove(connection);
    connection.server.idleConnections.remove(connection);
    startWaitingCalls();
  }

  private void startWaitingCalls() {
    if (startingWaitingCalls) {
      return;
    }
    startingWaitingCalls = true;
    while (!waitingCalls.isEmpty() && connectionCount() < maxConnections) {
      connect(waitingCalls.poll());
    }
    startingWaitingCalls = false;
  }

  /** The budget for bytes of incomplete responses. */
  ByteBudget responseBytes() {
    return responseBytes;
  }

  void onInvalidResponse(DiskServer server, String reason) {
    log.event("disk.spoilt", "server", server.host, "reason", reason);
  }

  /** A reused connection, idle for that long before, turned out to be closed when its next request was
   * written. */
  void onStaleConnection(DiskServer server, long idleUs) {
    log.event("disk.stale", "server", server.host, "idle_ms", idleUs / 1000, "trusted_ms", idleTimeout
        .timeoutUs() / 1000);
    idleTimeout.recordStale(idleUs);
  }

  /** A reused connection delivered a response. */
  void onReuseSucceeded() {
    idleTimeout.recordSuccess();
  }

  void onUnexpectedBytes(DiskServer server) {
    log.event("disk.dirty", "server", server.host, "reason", "bytes received without a request");
  }

  /** Closes the idle connections to a disk server: it was restarted, has moved or is gone. */
  void closeIdle(DiskServer server) {
    while (!server.idleConnections.isEmpty()) {
      server.idleConnections.peekFirst().close();
    }
  }

  /** Closes idle connections before the peer does; called periodically. */
  void closeAllExpired() {
    long now = now();
    for (DiskConnection connection : Set.copyOf(connections)) {
      if (connection.isIdle() && now - connection.idleSince >= idleTimeout.timeoutUs()) {
        connection.close();
      }
    }
  }
}
