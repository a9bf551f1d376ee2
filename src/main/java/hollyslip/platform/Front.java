package hollyslip.platform;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Client connections: how many, how long they may keep a request or themselves waiting, who goes first when
 * there is no room. */
final class Front {
  /** A request must be whole so long after its first byte, or after its connection came if it is the first,
   * us: the platform closes the books at 3 s. Harm: to honest clients slower than that. */
  static final long WHOLE_WITHIN_US = 2_500_000;

  /** A connection without an open request may go after so long, us. */
  static final long IDLE_US = 2_000_000;

  /** An answer that its client does not take for so long ends its connection, us. */
  static final long TAKEN_WITHIN_US = 5_000_000;

  /** An error is owed so soon, us, though an earlier request is open; one for a request that was not whole in
   * its time sooner, as that time counts too. */
  static final long ERROR_WITHIN_US = 2_000_000, TIMEOUT_WITHIN_US = 300_000;

  /** A client that was told to close its connection may still send on it for so long, us. */
  static final long TOLD_TO_CLOSE_US = 60_000;

  /** How long what a client still sends after an error is read and dropped, us: so that it sees the error and
   * not a reset. */
  static final long LINGER_US = 300_000;

  /** After an error of accept nothing is accepted for so long, ms: what it tells of may pass, and the
   * listener stays readable as long as somebody waits. */
  private static final long ACCEPT_PAUSE_MS = 10;

  /** Connections that are accepted in one turn of the loop. */
  private static final int MOST_ACCEPTED = 16;

  private static final long SWEEP_MS = 100;

  /** One of so many places free, or less, is a crowd. */
  private static final int CROWDED = 8;

  private final EventLoop loop;
  private final Clock clock;
  private final Log log;
  private final Desk desk;
  private final Ask.Reader reader;
  private final int most, mayIdle;
  private final Set<ClientConnection> all = new LinkedHashSet<>();
  private final ArrivalClock arrivals;
  private Channel listener;
  private boolean ready, draining, full, acceptPaused;
  /** Connections that ever came, now and when it was last asked whether all is done. */
  private long accepted, acceptedBefore = -1;

  Front(EventLoop loop, Clock clock, Log log, Desk desk, Ask.Reader reader, Bounds bounds) {
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.desk = desk;
    this.reader = reader;
    most = bounds.clients();
    mayIdle = bounds.idleClients();
    arrivals = new ArrivalClock(clock.now());
  }

  /** Starts to listen; {@code group} holds the event loop alone. */
  Channel listen(EventLoopGroup group, InetSocketAddress at) throws InterruptedException {
    listener = new ServerBootstrap().group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, 1024)
        .option(ChannelOption.SO_REUSEADDR, true)
        .option(ChannelOption.MAX_MESSAGES_PER_READ, MOST_ACCEPTED)
        .handler(new Accepting())
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel ch) {
            ClientConnection c = new ClientConnection(Front.this, ch);
            all.add(c);
            accepted++;
            c.open();
            if (all.size() >= most) {
              makeRoom(now());
            }
          }
        })
        .bind(at)
        .sync()
        .channel();
    loop.scheduleAtFixedRate(log.guarded(this::sweep), SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
    loop.scheduleWithFixedDelay(() -> arrivals.tick(now()), 0, ArrivalClock.TICK_US, TimeUnit.MICROSECONDS);
    return listener;
  }

  /** Stands before Netty's own handler of a listener, which stops accepting for a second after any error;
   * sees when nobody is left in the listener's queue. */
  private final class Accepting extends ChannelInboundHandlerAdapter {
    private int inThisRead;
    /** The last read took less than it might have, so that the queue was empty, unless it ended in an
     * error. */
    private boolean tookAll;

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object connection) {
      if (inThisRead++ == 0 && tookAll) {
        arrivals.queueEmpty();
      }
      ctx.fireChannelRead(connection);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
      tookAll = inThisRead < MOST_ACCEPTED;
      if (!tookAll) {
        arrivals.acceptStopped(now());
      }
      inThisRead = 0;
      ctx.fireChannelReadComplete();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      log.event("front.accept-failed", "reason", cause);
      tookAll = false;
      if (!acceptPaused) {
        acceptPaused = true;
        updateAccepting();
        loop.schedule(this::retry, ACCEPT_PAUSE_MS, TimeUnit.MILLISECONDS);
      }
    }

    private void retry() {
      acceptPaused = false;
      updateAccepting();
    }
  }

  private void updateAccepting() {
    boolean accepting = !full && !acceptPaused;
    if (!accepting) {
      arrivals.acceptStopped(now());
    }
    listener.config().setAutoRead(accepting);
  }

  Desk desk() {
    return desk;
  }

  Ask.Reader reader() {
    return reader;
  }

  long now() {
    return clock.now();
  }

  ArrivalClock arrivals() {
    return arrivals;
  }

  Log log() {
    return log;
  }

  boolean ready() {
    return ready && !draining;
  }

  /** How long the rest of a request, or a first one, is waited for, us. */
  long wholeWithinUs() {
    return draining ? TOLD_TO_CLOSE_US : WHOLE_WITHIN_US;
  }

  /** The end is near: nothing more is taken, and connections end with what was read on them answered. */
  boolean draining() {
    return draining;
  }

  void setReady() {
    ready = true;
  }

  /** Ends connections that carry nothing, and the others with the answer to what was read on them; a request
   * of which a part has come has a moment left. Those that still come are answered too: what the system has
   * accepted counts as taken. */
  void drain() {
    draining = true;
    List.copyOf(all).forEach(c -> c.closeIfResting("the process ends"));
    loop.schedule(() -> List.copyOf(all).forEach(ClientConnection::endPart), TOLD_TO_CLOSE_US,
        TimeUnit.MICROSECONDS);
    resume();
  }

  /** Stops listening if nothing is open and nobody has come since the last call; gives whether it did. */
  boolean endIfDone() {
    boolean came = accepted != acceptedBefore;
    acceptedBefore = accepted;
    if (came || !all.isEmpty()) {
      return false;
    }
    listener.close();
    return true;
  }

  int connections() {
    return all.size();
  }

  void closed(ClientConnection c) {
    all.remove(c);
    if (full && all.size() < most) {
      resume();
    }
  }

  private void resume() {
    full = false;
    updateAccepting();
  }

  /** Connections that carry nothing go: those on which nothing was ever asked first, at once, then the
   * longest idle of the others, after the time that is theirs, but for some that may stay. While no place is
   * free, new ones wait in the system's queue. Guards places against strangers who come by the hundreds and
   * say nothing, and against clients that ask once and stay: their own side's places are as few. Harm: an
   * ordinary client whose kept connection went connects anew; one that is slow to ask comes again. */
  private void makeRoom(long now) {
    int idle = 0;
    for (ClientConnection c : all) {
      idle += c.idleSince() >= 0 ? 1 : 0;
    }
    int excess = Math.max(idle - mayIdle, 0);
    if (excess > 0) {
      boolean crowded = all.size() >= most - most / CROWDED;
      all.stream()
          .filter(c -> c.idleSince() >= 0 && (crowded && c.stranger() || now - c.idleSince() >= IDLE_US))
          .sorted(Comparator.comparing((ClientConnection c) -> !c.stranger())
              .thenComparingLong(ClientConnection::idleSince))
          .limit(excess)
          .toList()
          .forEach(c -> c.closeIfResting("room for others"));
    }
    if (all.size() >= most) {
      // Their ends were told; what they still send is not looked at.
      List.copyOf(all).forEach(ClientConnection::closeIfDiscarding);
    }
    if (all.size() >= most && !full) {
      full = true;
      updateAccepting();
      log.event("front.full", "connections", all.size());
    }
  }

  private void sweep() {
    long now = now();
    List.copyOf(all).forEach(c -> c.sweep(now));
    desk.failOverdue();
    makeRoom(now);
  }
}
