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

/** Connections to disk servers, and the calls on them. Nothing is ever sent twice here. */
final class DiskServers {
  /** How long a connection must have stayed silent after an answer before it is used again, us. A second
   * answer that follows would be taken for the answer to the next request, and each further one for its
   * predecessor's. A sender without TCP_NODELAY holds a small write back until the one before it is
   * acknowledged, which Linux does after 40 ms at the latest where round trips are shorter. Harm: a few
   * connections more. */
  static final long REST_US = 60_000;

  /** A kept connection that breaks so soon after a request was written to it, us, had been given up by the
   * other side before. */
  static final long STALE_WINDOW_US = 5_000;

  private final EventLoop loop;
  private final Clock clock;
  private final Log log;
  private final int maxConnections;
  private final long connectTimeoutUs;
  private final Bootstrap bootstrap;
  private final Set<DiskConnection> connections = new HashSet<>();
  /** Calls for which there was no descriptor. */
  private final Deque<Call> waitingCalls = new ArrayDeque<>();
  /** Connections that are coming up. */
  private int connecting;
  private boolean startingWaitingCalls;
  private final AdaptiveIdleTimeout idleTimeout;
  /** Bytes of answers that are not whole yet, and how many there may be. */
  private long bufferedBytes;
  private final long maxBufferedBytes;

  /** @param most
   *          connections at a time, those that are coming up included
   * @param mostHeld
   *          bytes of answers that are not whole yet
   * @param connectUs
   *          one that is not up by then has failed
   * @param idleCloseUs
   *          disk servers close what was idle for so long; 0: never */
  DiskServers(EventLoop loop, Clock clock, Log log, int most, long mostHeld, long connectUs,
      long idleCloseUs) {
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.maxConnections = most;
    this.maxBufferedBytes = mostHeld;
    this.connectTimeoutUs = connectUs > 0 ? connectUs : 1_000_000;
    // A request may be under way as the other side's time runs out: a tenth of it is kept clear.
    long idleUs = idleCloseUs > 0 ? idleCloseUs - idleCloseUs / 10 : Long.MAX_VALUE;
    idleTimeout = new AdaptiveIdleTimeout(2 * REST_US, idleUs);
    bootstrap = new Bootstrap().group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, this.connectTimeoutUs / 1000))
        .handler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel ch) {
            // The handlers follow once it is up: nothing is read before a request was written.
          }
        });
  }

  long now() {
    return clock.now();
  }

  int connectionCount() {
    return connections.size() + connecting;
  }

  /** Starts a call; its listener hears how it ended, maybe before this returns. */
  void start(Call c) {
    c.server.calls++;
    long now = now();
    c.timeoutTask = loop.schedule(() -> onCallTimeout(c), Math.max(0, c.timeoutAt - now), TimeUnit.MICROSECONDS);
    if (!c.sendCheck.maySend()) {
      c.end(Result.MOOT, now);
      return;
    }
    DiskConnection kept = takeIdle(c.server, now());
    if (kept != null) {
      kept.start(c);
    } else if (connectionCount() < maxConnections || evictLongestIdle()) {
      connect(c);
    } else {
      waitingCalls.add(c);
      loop.schedule(() -> onWaitTimeout(c), connectTimeoutUs, TimeUnit.MICROSECONDS);
    }
  }

  /** Gives a call up. */
  void cancel(Call c) {
    if (!c.ended()) {
      DiskConnection on = c.connection;
      c.end(c.written ? Result.CANCELLED : Result.MOOT, now());
      if (on != null) {
        on.abandon();
      }
    }
  }

  /** Gives a call up that has not been written whole: its request has not run, and its end must not
   * follow. */
  void withdraw(Call c) {
    if (!c.written) {
      waitingCalls.remove(c);
      cancel(c);
    }
  }

  private void sendIfWanted(DiskConnection on, Call c) {
    long now = now();
    if (now - c.startedAt < connectTimeoutUs && now < c.timeoutAt && c.sendCheck.maySend()) {
      on.start(c);
    } else {
      c.end(Result.MOOT, now);
      onIdle(on);
    }
  }

  /** The most recently used connection that has proved itself clean and is not about to be closed. What came
   * on it since is read first: bytes that answer nothing, or its end, must not meet the next request. */
  private DiskConnection takeIdle(DiskServer to, long now) {
    closeExpired(to, now);
    for (DiskConnection c = findReusable(to, now); c != null; c = findReusable(to, now)) {
      to.idleConnections.remove(c);
      c.readNow();
      if (c.isIdle()) {
        return c;
      }
    }
    return null;
  }

  private static DiskConnection findReusable(DiskServer to, long now) {
    for (var it = to.idleConnections.descendingIterator(); it.hasNext();) {
      DiskConnection c = it.next();
      if (now - c.idleSince >= REST_US && c.isIdle()) {
        return c;
      }
    }
    return null;
  }

  private void closeExpired(DiskServer to, long now) {
    while (!to.idleConnections.isEmpty() && now - to.idleConnections.peekFirst().idleSince >= idleTimeout.timeoutUs()) {
      to.idleConnections.peekFirst().close();
    }
  }

  /** Makes room for a connection by closing the one that was idle longest; gives whether there was one. */
  private boolean evictLongestIdle() {
    DiskConnection oldest = null;
    for (DiskConnection c : connections) {
      if (c.isIdle() && (oldest == null || c.idleSince < oldest.idleSince)) {
        oldest = c;
      }
    }
    if (oldest != null) {
      oldest.close();
    }
    return oldest != null;
  }

  private void connect(Call c) {
    DiskServer to = c.server;
    InetSocketAddress address = to.dial;
    connecting++;
    ChannelFuture f;
    try {
      f = bootstrap.connect(address);
    } catch (RuntimeException e) {
      connecting--;
      failWithoutDescriptor(c, e);
      return;
    }
    f.addListener(done -> {
      connecting--;
      if (done.isSuccess()) {
        onConnected(f.channel(), to, address, c);
      } else {
        if (done.cause() instanceof ChannelException) {
          // Thrown where there is no socket at all; all else is the other side's doing.
          failWithoutDescriptor(c, done.cause());
        } else {
          c.end(Result.CONNECT_FAILED, now());
        }
      }
      startWaitingCalls();
    });
  }

  /** No fault of the disk server, and nothing was sent. */
  private void failWithoutDescriptor(Call c, Throwable cause) {
    log.event("disk.no-descriptor", "server", c.server.host, "reason", cause);
    c.end(Result.MOOT, now());
  }

  private void onConnected(Channel channel, DiskServer to, InetSocketAddress address, Call c) {
    DiskConnection connection = new DiskConnection(to, address, channel, this);
    connections.add(connection);
    connection.installHandlers();
    if (c.ended()) {
      onIdle(connection);
    } else {
      sendIfWanted(connection, c);
    }
  }

  private void onCallTimeout(Call c) {
    if (c.ended()) {
      return;
    }
    DiskConnection on = c.connection;
    Result result = on == null
        ? waitingCalls.remove(c) ? Result.MOOT : Result.CONNECT_FAILED
        : c.written ? Result.TIMEOUT : Result.CONNECT_FAILED;
    c.end(result, now());
    if (on != null) {
      on.abandon();
    }
  }

  private void onWaitTimeout(Call c) {
    if (waitingCalls.remove(c)) {
      log.event("disk.no-connection-free", "server", c.server.host, "open", connectionCount());
      c.end(Result.MOOT, now());
    }
  }

  /** A connection carries nothing now: it is kept, unless it leads where the disk server no longer is. */
  void onIdle(DiskConnection c) {
    c.idleSince = now();
    if (c.address.equals(c.server.dial)) {
      c.server.idleConnections.addLast(c);
    } else {
      c.close();
    }
  }

  void onClosed(DiskConnection c) {
    connections.remove(c);
    c.server.idleConnections.remove(c);
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

  /** Takes room for so many bytes more of an answer, if there is any. */
  boolean tryReserveBytes(int bytes) {
    if (bufferedBytes + bytes > maxBufferedBytes) {
      return false;
    }
    bufferedBytes += bytes;
    return true;
  }

  void releaseBytes(int bytes) {
    bufferedBytes -= bytes;
  }

  void onInvalidResponse(DiskServer to, String why) {
    log.event("disk.spoilt", "server", to.host, "reason", why);
  }

  /** A kept connection, idle for so long, turned out to be gone as its next request was written. */
  void onStaleConnection(DiskServer to, long idle) {
    log.event("disk.stale", "server", to.host, "idle_ms", idle / 1000, "trusted_ms", idleTimeout.timeoutUs() / 1000);
    idleTimeout.recordStale(idle);
  }

  /** A kept connection brought an answer. */
  void onReuseSucceeded() {
    idleTimeout.recordSuccess();
  }

  void onUnexpectedBytes(DiskServer to) {
    log.event("disk.dirty", "server", to.host, "reason", "bytes that answer nothing");
  }

  /** Closes the connections to a disk server that carry nothing: its process or its address has changed, or
   * it is gone. */
  void dropIdle(DiskServer to) {
    while (!to.idleConnections.isEmpty()) {
      to.idleConnections.peekFirst().close();
    }
  }

  /** To be called now and then: closes what the other side is about to close. */
  void closeAllExpired() {
    long now = now();
    for (DiskConnection c : Set.copyOf(connections)) {
      if (c.isIdle() && now - c.idleSince >= idleTimeout.timeoutUs()) {
        c.close();
      }
    }
  }
}
