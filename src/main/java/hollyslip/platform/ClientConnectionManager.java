package hollyslip.platform;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SingleThreadEventLoop;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Accepts and manages client connections: limits their number, enforces timeouts for incomplete requests and
 * unread responses, and evicts idle connections as the limit comes near. */
final class ClientConnectionManager {
  /** A request must be complete this long after its first byte or, for the first request of a connection,
   * after the connection was accepted, us: the platform settles the outcome at 3 s. The drawback is that
   * well-behaved clients slower than this are cut off. */
  static final long REQUEST_READ_TIMEOUT_US = 2_500_000;

  /** How long a connection must have been idle before it may be evicted, us. */
  static final long MIN_IDLE_BEFORE_EVICTION_US = 2_000_000;

  /** A connection is closed if its client does not read a response for this long, us. */
  static final long WRITE_TIMEOUT_US = 5_000_000;

  /** How soon an error response is due even if an earlier request is still open, us. For a request that was
   * not complete in time it is due sooner, as the time spent waiting for it counts too. */
  static final long ERROR_RESPONSE_DEADLINE_US = 2_000_000, TIMEOUT_RESPONSE_DEADLINE_US = 300_000;

  /** How long a client must have sent nothing of a request's body before the request may be ended to make
   * room for others, us. */
  static final long MIN_STALL_BEFORE_EVICTION_US = 500_000;

  /** Least time between two searches for such clients, us: each looks at all connections, and one may be
   * asked for with each request. */
  private static final long STALL_CHECK_INTERVAL_US = 20_000;

  /** How long a client that was told to close its connection may still send on it, us. */
  static final long CLOSE_GRACE_US = 60_000;

  /** How long input after an error is read and discarded, us, so that the client sees the error and not a
   * reset. */
  static final long LINGER_US = 300_000;

  /** Pause after a failed accept, ms: the cause may be temporary, and the listener stays readable as long as
   * a connection waits, so the event loop would spin without a pause. */
  private static final long ACCEPT_RETRY_DELAY_MS = 10;

  /** Maximum number of connections accepted in one event loop iteration. */
  static final int MAX_ACCEPTS_PER_READ = 16;

  /** Maximum number of connections that wait to be accepted. */
  static final int ACCEPT_QUEUE_LENGTH = 1024;

  private static final long SWEEP_INTERVAL_MS = 100;

  /** Time for which connections are read in turn in one iteration of the event loop, us. */
  private static final long MAX_READING_IN_TURN_US = 10_000;

  /** A delay of the event loop from this on is logged, us. */
  private static final long MIN_LOGGED_DELAY_US = 100_000;

  /** How long new connections wait for room before they are closed unread, us, up to a sweep more: a request
   * counts as lost half a second after its deadline. */
  static final long MAX_QUEUE_WAIT_US = 200_000;

  /** The connection limit counts as nearly reached when at most one in this many connections is still
   * free. */
  private static final int NEARLY_FULL_DIVISOR = 8;

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final EventLog log;
  private final ProcessMetrics metrics;
  private final RequestDispatcher dispatcher;
  private final RequestHead.Parser headParser;
  private final int maxConnections, maxIdleConnections;
  /** Limits the bytes of responses that the operating system has not taken yet. */
  private final ByteBudget unsentBytes;
  private final Set<ClientConnection> openConnections = new LinkedHashSet<>();
  private final ArrivalTimeEstimator arrivalTimes;
  private Channel listener;
  private boolean ready, draining, atCapacity, acceptPaused;
  /** Whether the limit was reached since the accept queue was last empty: connections may wait for a
   * place. */
  private boolean queuedAtCapacity;
  /** Whether the last accept loop ended because the accept queue was empty. */
  private boolean acceptQueueDrained;
  /** Connections accepted so far, and that number at the last call of {@link #closeIfDrained}. */
  private long acceptedCount, acceptedAtLastCheck = -1;
  /** When clients that have stopped sending are next looked for, us. */
  private long nextStallCheckAt;
  /** Connections that send more than is read at once or served, in the order in which they are read next. */
  private final ArrayDeque<ClientInput> readInTurn = new ArrayDeque<>();

  ClientConnectionManager(EventLoop loop, MonotonicClock clock, EventLog log, ProcessMetrics metrics,
      RequestDispatcher dispatcher, RequestHead.Parser headParser, Bounds bounds) {
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.metrics = metrics;
    this.dispatcher = dispatcher;
    this.headParser = headParser;
    unsentBytes = new ByteBudget(bounds.bytes());
    dispatcher.requestBytes().onShortage(this::endStalledRequests);
    maxConnections = bounds.clients();
    maxIdleConnections = bounds.idleClients();
    arrivalTimes = new ArrivalTimeEstimator(clock.now());
  }

  /** Starts listening. {@code group} must contain only the event loop. */
  Channel listen(EventLoopGroup group, InetSocketAddress address) throws InterruptedException {
    listener = new ServerBootstrap().group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, ACCEPT_QUEUE_LENGTH)
        .option(ChannelOption.SO_REUSEADDR, true)
        .option(ChannelOption.MAX_MESSAGES_PER_READ, MAX_ACCEPTS_PER_READ)
        .handler(new AcceptHandler())
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.ALLOCATOR, ReceiveBuffers.ALLOCATOR)
        .childOption(ChannelOption.RECVBUF_ALLOCATOR, ReceiveBuffers.CLIENT_RECEIVE_ALLOCATOR)
        .childHandler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            ClientConnection connection = new ClientConnection(ClientConnectionManager.this, channel);
            openConnections.add(connection);
            acceptedCount++;
            connection.start();
            if (openConnections.size() >= maxConnections) {
              evictIdleConnections(now());
            }
          }
        })
        .bind(address)
        .sync()
        .channel();
    loop.scheduleAtFixedRate(log.guarded(this::sweep), SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
    loop.scheduleWithFixedDelay(this::tick, 0, ArrivalTimeEstimator.TICK_US, TimeUnit.MICROSECONDS);
    return listener;
  }

  /** Runs before Netty's own listener handler, which stops accepting for a second after any error, and keeps
   * errors from it. Also detects when the accept queue is empty. */
  private final class AcceptHandler extends ChannelInboundHandlerAdapter {
    private int acceptedInRead;

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object connection) {
      if (acceptedInRead++ == 0 && acceptQueueDrained) {
        acceptQueueFoundEmpty();
      }
      ctx.fireChannelRead(connection);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
      // A loop also ends when accepting was switched off meanwhile: that says nothing about the queue.
      acceptQueueDrained = acceptedInRead < MAX_ACCEPTS_PER_READ && listener.config().isAutoRead();
      if (!acceptQueueDrained) {
        arrivalTimes.acceptingStopped(now());
        dispatcher.keyOrder().inputLeft();
      }
      acceptedInRead = 0;
      ctx.fireChannelReadComplete();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      log.event("front.accept-failed", "reason", cause);
      acceptQueueDrained = false;
      if (!acceptPaused) {
        acceptPaused = true;
        updateAutoRead();
        loop.schedule(this::resumeAfterError, ACCEPT_RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
      }
    }

    private void resumeAfterError() {
      acceptPaused = false;
      updateAutoRead();
    }
  }

  /** Reads a connection in turn with others like it, for a limited part of the event loop's time: input
   * beyond what is served must not keep other clients waiting. */
  void readInTurn(ClientInput input) {
    if (readInTurn.isEmpty()) {
      scheduleReadsInTurn();
    }
    readInTurn.add(input);
  }

  private void scheduleReadsInTurn() {
    ((SingleThreadEventLoop) loop).executeAfterEventLoopIteration(() -> loop.execute(this::readInTurn));
  }

  private void readInTurn() {
    long readUntil = now() + MAX_READING_IN_TURN_US;
    for (int unread = readInTurn.size(); unread > 0 && now() < readUntil; unread--) {
      ClientInput input = readInTurn.peek();
      boolean again = input.readInTurn();
      readInTurn.poll();
      if (again) {
        readInTurn.add(input);
      }
    }
    if (!readInTurn.isEmpty()) {
      dispatcher.keyOrder().inputLeft();
      scheduleReadsInTurn();
    }
  }

  private void tick() {
    long delay = arrivalTimes.tick(now());
    if (delay >= MIN_LOGGED_DELAY_US) {
      log.event("loop.delayed", "ms", delay / 1000, "connections", openConnections.size(), "open", dispatcher
          .openRequestCount());
    }
  }

  private void updateAutoRead() {
    boolean accepting = !atCapacity && !acceptPaused;
    if (!accepting) {
      if (acceptQueueDrained) {
        acceptQueueFoundEmpty();
        acceptQueueDrained = false;
      }
      arrivalTimes.acceptingStopped(now());
    }
    listener.config().setAutoRead(accepting);
  }

  RequestDispatcher dispatcher() {
    return dispatcher;
  }

  ByteBudget unsentBytes() {
    return unsentBytes;
  }

  RequestHead.Parser headParser() {
    return headParser;
  }

  long now() {
    return clock.now();
  }

  ArrivalTimeEstimator arrivalTimes() {
    return arrivalTimes;
  }

  EventLog log() {
    return log;
  }

  ProcessMetrics metrics() {
    return metrics;
  }

  boolean ready() {
    return ready && !draining;
  }

  /** How long to wait for a first request or for the rest of a partial one, us. */
  long requestReadTimeoutUs() {
    return draining ? CLOSE_GRACE_US : REQUEST_READ_TIMEOUT_US;
  }

  /** Whether the process is about to end: no more requests are served, and connections are closed once
   * everything read on them is answered. */
  boolean draining() {
    return draining;
  }

  void setReady() {
    ready = true;
  }

  /** Closes idle connections at once and the others after the response to what was read on them; a partial
   * request gets {@link #CLOSE_GRACE_US} to complete. New connections are still answered, as requests on
   * connections that the operating system has accepted count as received. */
  void drain() {
    draining = true;
    List.copyOf(openConnections).forEach(c -> c.closeIfIdle("process is shutting down"));
    loop.schedule(() -> List.copyOf(openConnections).forEach(ClientConnection::endPartialRequest),
        CLOSE_GRACE_US,
        TimeUnit.MICROSECONDS);
    resumeAccepting();
  }

  /** Stops listening if no connection is open and none was accepted since the last call. Returns whether it
   * did. */
  boolean closeIfDrained() {
    boolean acceptedSince = acceptedCount != acceptedAtLastCheck;
    acceptedAtLastCheck = acceptedCount;
    if (acceptedSince || !openConnections.isEmpty()) {
      return false;
    }
    listener.close();
    return true;
  }

  int connectionCount() {
    return openConnections.size();
  }

  /** Number of connections that are read in turn. */
  int readInTurnCount() {
    return readInTurn.size();
  }

  void connectionClosed(ClientConnection connection) {
    openConnections.remove(connection);
    if (atCapacity && openConnections.size() < maxConnections) {
      resumeAccepting();
    }
  }

  private void resumeAccepting() {
    atCapacity = false;
    updateAutoRead();
  }

  private void acceptQueueFoundEmpty() {
    arrivalTimes.acceptQueueEmpty();
    queuedAtCapacity = atCapacity;
  }

  /** Closes the connections that wait in the accept queue, unread: their clients see a reset and can send
   * their requests elsewhere, while nobody would learn of a request that waits there. Takes them from the
   * operating system directly, as each would hold its descriptor for an iteration of the event loop
   * otherwise. */
  private void shedAcceptQueue() {
    ServerSocketChannel waiting = (ServerSocketChannel) ((AbstractNioChannel) listener).unsafe().ch();
    int closed = 0;
    try {
      SocketChannel connection = waiting.accept();
      while (connection != null && closed < ACCEPT_QUEUE_LENGTH) {
        connection.close();
        closed++;
        connection = waiting.accept();
      }
      if (connection != null) {
        connection.close();
      }
    } catch (IOException e) {
      log.event("front.accept-failed", "reason", e);
    }
    acceptQueueFoundEmpty();
    acceptQueueDrained = false;
    updateAutoRead();
    if (closed > 0) {
      log.event("front.shed", "connections", closed);
    }
  }

  /** Closes idle connections beyond {@link #maxIdleConnections}: first those that never sent anything, at
   * once if the limit is nearly reached, then the longest idle of the others, after
   * {@link #MIN_IDLE_BEFORE_EVICTION_US}. At the limit, new connections wait in the operating system's accept
   * queue for up to {@link #MAX_QUEUE_WAIT_US}, and are then closed unread. This protects the limit from
   * clients that open hundreds of connections and send nothing, and from clients that send one request and
   * keep the connection, although their own side can open just as few. The drawback is that an ordinary
   * client whose persistent connection was closed, or that is slow to send, has to reconnect. */
  private void evictIdleConnections(long now) {
    int idleCount = 0;
    for (ClientConnection c : openConnections) {
      idleCount += c.idleSince() >= 0 ? 1 : 0;
    }
    int excess = Math.max(idleCount - maxIdleConnections, 0);
    if (excess > 0) {
      boolean nearlyFull = openConnections.size() >= maxConnections - maxConnections / NEARLY_FULL_DIVISOR;
      openConnections.stream()
          .filter(c -> c.idleSince() >= 0 && (nearlyFull && c.isUnused() || now - c
              .idleSince() >= MIN_IDLE_BEFORE_EVICTION_US))
          .sorted(Comparator.comparing((ClientConnection c) -> !c.isUnused())
              .thenComparingLong(ClientConnection::idleSince))
          .limit(excess)
          .toList()
          .forEach(c -> c.closeIfIdle("evicted to make room"));
    }
    if (openConnections.size() >= maxConnections) {
      // These clients have received their last response, and their remaining input is discarded anyway.
      List.copyOf(openConnections).forEach(ClientConnection::closeIfDiscarding);
    }
    if (openConnections.size() >= maxConnections && !atCapacity) {
      atCapacity = true;
      queuedAtCapacity = true;
      updateAutoRead();
      log.event("front.full", "connections", openConnections.size());
    }
  }

  /** Ends partly received requests whose clients have stopped sending, longest first, until there is room for
   * this many more bytes of requests. */
  private void endStalledRequests(long bytes) {
    long now = now();
    if (now < nextStallCheckAt) {
      return;
    }
    nextStallCheckAt = now + STALL_CHECK_INTERVAL_US;
    long stalledBefore = now - MIN_STALL_BEFORE_EVICTION_US;
    openConnections.stream()
        .filter(c -> c.partialRequestBytes() > 0 && c.lastReceivedAt() <= stalledBefore)
        .sorted(Comparator.comparingLong(ClientConnection::lastReceivedAt))
        .toList()
        .forEach(c -> {
          if (!dispatcher.requestBytes().hasRoom(bytes)) {
            c.endPartialRequest();
          }
        });
  }

  private void sweep() {
    long now = now();
    List.copyOf(openConnections).forEach(c -> c.checkTimeouts(now));
    dispatcher.failOverdueRequests();
    evictIdleConnections(now);
    if (queuedAtCapacity && now - arrivalTimes.queuedSince(now) >= MAX_QUEUE_WAIT_US) {
      shedAcceptQueue();
    }
  }
}
