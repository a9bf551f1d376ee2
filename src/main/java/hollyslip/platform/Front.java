package hollyslip.platform;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
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

  /** How long what a client still sends after an error is read and dropped, us: so that it sees the error and
   * not a reset. */
  static final long LINGER_US = 300_000;

  private static final long SWEEP_MS = 100;

  private final EventLoop loop;
  private final Clock clock;
  private final Log log;
  private final Desk desk;
  private final Ask.Reader reader;
  private final int most, mayIdle;
  private final Set<ClientConnection> all = new LinkedHashSet<>();
  private Channel listener;
  private boolean ready, stopping, full;

  Front(EventLoop loop, Clock clock, Log log, Desk desk, Ask.Reader reader, Bounds bounds) {
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.desk = desk;
    this.reader = reader;
    most = bounds.clients();
    mayIdle = bounds.idleClients();
  }

  /** Starts to listen; {@code group} holds the event loop alone. */
  Channel listen(EventLoopGroup group, InetSocketAddress at) throws InterruptedException {
    listener = new ServerBootstrap().group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, 1024)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel ch) {
            ClientConnection c = new ClientConnection(Front.this, ch);
            all.add(c);
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
    return listener;
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

  Log log() {
    return log;
  }

  boolean ready() {
    return ready && !stopping;
  }

  boolean stopping() {
    return stopping;
  }

  void setReady() {
    ready = true;
  }

  /** The end is near: takes no further connection, ends those that carry nothing, and the others with their
   * next answer. */
  void part() {
    stopping = true;
    listener.close();
    List.copyOf(all).stream().filter(ClientConnection::quiet).forEach(ClientConnection::close);
  }

  int connections() {
    return all.size();
  }

  void closed(ClientConnection c) {
    all.remove(c);
    if (full && all.size() < most) {
      full = false;
      listener.config().setAutoRead(true);
    }
  }

  /** Connections that were idle for long enough go, longest first, but for some that may stay; while no place
   * is free, new ones wait in the system's queue. Guards places against strangers who come by the hundreds
   * and say nothing, and against clients that ask once and stay: their own side's places are as few. Harm: an
   * ordinary client whose kept connection went connects anew. */
  private void makeRoom(long now) {
    int idle = 0;
    for (ClientConnection c : all) {
      idle += c.idleSince() >= 0 ? 1 : 0;
    }
    if (idle > mayIdle) {
      all.stream()
          .filter(c -> c.idleSince() >= 0 && now - c.idleSince() >= IDLE_US)
          .sorted(Comparator.comparingLong(ClientConnection::idleSince))
          .limit(idle - mayIdle)
          .toList()
          .forEach(ClientConnection::close);
    }
    if (all.size() >= most && !full) {
      full = true;
      listener.config().setAutoRead(false);
      log.event("front.full", "connections", all.size());
    }
  }

  private void sweep() {
    long now = now();
    List.copyOf(all).forEach(c -> c.sweep(now));
    makeRoom(now);
  }
}
