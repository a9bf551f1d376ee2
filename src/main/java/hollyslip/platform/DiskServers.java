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
  static final long AT_ONCE_US = 5_000;

  private final EventLoop loop;
  private final Clock clock;
  private final Log log;
  private final int most;
  private final long connectUs;
  private final Bootstrap bootstrap;
  private final Set<DiskConnection> all = new HashSet<>();
  /** Calls for which there was no descriptor. */
  private final Deque<Call> waiting = new ArrayDeque<>();
  /** Connections that are coming up. */
  private int dialling;
  private boolean serving;
  private final Trust trust;
  /** Bytes of answers that are not whole yet, and how many there may be. */
  private long held;
  private final long mostHeld;

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
    this.most = most;
    this.mostHeld = mostHeld;
    this.connectUs = connectUs > 0 ? connectUs : 1_000_000;
    // A request may be under way as the other side's time runs out: a tenth of it is kept clear.
    long idleUs = idleCloseUs > 0 ? idleCloseUs - idleCloseUs / 10 : Long.MAX_VALUE;
    trust = new Trust(2 * REST_US, idleUs);
    bootstrap = new Bootstrap().group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, this.connectUs / 1000))
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

  int open() {
    return all.size() + dialling;
  }

  /** Starts a call; its listener hears how it ended, maybe before this returns. */
  void start(Call c) {
    c.to.calls++;
    long now = now();
    c.timeout = loop.schedule(() -> timedOut(c), Math.max(0, c.giveUpAt - now), TimeUnit.MICROSECONDS);
    if (!c.wanted.now()) {
      c.end(Result.MOOT, now);
      return;
    }
    DiskConnection kept = kept(c.to, now());
    if (kept != null) {
      kept.start(c);
    } else if (open() < most || evict()) {
      dial(c);
    } else {
      waiting.add(c);
      loop.schedule(() -> waitedLong(c), connectUs, TimeUnit.MICROSECONDS);
    }
  }

  /** Gives a call up. */
  void cancel(Call c) {
    if (!c.ended()) {
      DiskConnection on = c.connection;
      c.end(c.written ? Result.CANCELLED : Result.MOOT, now());
      if (on != null) {
        on.giveUp();
      }
    }
  }

  /** Gives a call up that has not been written whole: its request has not run, and its end must not
   * follow. */
  void withdraw(Call c) {
    if (!c.written) {
      waiting.remove(c);
      cancel(c);
    }
  }

  private void write(DiskConnection on, Call c) {
    long now = now();
    if (now - c.startedAt < connectUs && now < c.giveUpAt && c.wanted.now()) {
      on.start(c);
    } else {
      c.end(Result.MOOT, now);
      free(on);
    }
  }

  /** The most recently used connection that has proved itself clean and is not about to be closed. What came
   * on it since is read first: bytes that answer nothing, or its end, must not meet the next request. */
  private DiskConnection kept(DiskServer to, long now) {
    closeOld(to, now);
    for (DiskConnection c = rested(to, now); c != null; c = rested(to, now)) {
      to.idle.remove(c);
      c.readNow();
      if (c.usable()) {
        return c;
      }
    }
    return null;
  }

  private static DiskConnection rested(DiskServer to, long now) {
    for (var it = to.idle.descendingIterator(); it.hasNext();) {
      DiskConnection c = it.next();
      if (now - c.freeAt >= REST_US && c.usable()) {
        return c;
      }
    }
    return null;
  }

  private void closeOld(DiskServer to, long now) {
    while (!to.idle.isEmpty() && now - to.idle.peekFirst().freeAt >= trust.us()) {
      to.idle.peekFirst().close();
    }
  }

  /** Makes room for a connection by closing the one that was idle longest; gives whether there was one. */
  private boolean evict() {
    DiskConnection oldest = null;
    for (DiskConnection c : all) {
      if (c.usable() && (oldest == null || c.freeAt < oldest.freeAt)) {
        oldest = c;
      }
    }
    if (oldest != null) {
      oldest.close();
    }
    return oldest != null;
  }

  private void dial(Call c) {
    DiskServer to = c.to;
    InetSocketAddress address = to.dial;
    dialling++;
    ChannelFuture f;
    try {
      f = bootstrap.connect(address);
    } catch (RuntimeException e) {
      dialling--;
      noDescriptor(c, e);
      return;
    }
    f.addListener(done -> {
      dialling--;
      if (done.isSuccess()) {
        up(f.channel(), to, address, c);
      } else {
        if (done.cause() instanceof ChannelException) {
          // Thrown where there is no socket at all; all else is the other side's doing.
          noDescriptor(c, done.cause());
        } else {
          c.end(Result.CONNECT_FAILED, now());
        }
      }
      serveWaiting();
    });
  }

  /** No fault of the disk server, and nothing was sent. */
  private void noDescriptor(Call c, Throwable cause) {
    log.event("disk.no-descriptor", "server", c.to.host, "reason", cause);
    c.end(Result.MOOT, now());
  }

  private void up(Channel channel, DiskServer to, InetSocketAddress address, Call c) {
    DiskConnection connection = new DiskConnection(to, address, channel, this);
    all.add(connection);
    connection.open();
    if (c.ended()) {
      free(connection);
    } else {
      write(connection, c);
    }
  }

  private void timedOut(Call c) {
    if (c.ended()) {
      return;
    }
    DiskConnection on = c.connection;
    Result result = on == null
        ? waiting.remove(c) ? Result.MOOT : Result.CONNECT_FAILED
        : c.written ? Result.TIMEOUT : Result.CONNECT_FAILED;
    c.end(result, now());
    if (on != null) {
      on.giveUp();
    }
  }

  private void waitedLong(Call c) {
    if (waiting.remove(c)) {
      log.event("disk.no-connection-free", "server", c.to.host, "open", open());
      c.end(Result.MOOT, now());
    }
  }

  /** A connection carries nothing now: it is kept, unless it leads where the disk server no longer is. */
  void free(DiskConnection c) {
    c.freeAt = now();
    if (c.address.equals(c.to.dial)) {
      c.to.idle.addLast(c);
    } else {
      c.close();
    }
  }

  void closed(DiskConnection c) {
    all.remove(c);
    c.to.idle.remove(c);
    serveWaiting();
  }

  private void serveWaiting() {
    if (serving) {
      return;
    }
    serving = true;
    while (!waiting.isEmpty() && open() < most) {
      dial(waiting.poll());
    }
    serving = false;
  }

  /** Takes room for so many bytes more of an answer, if there is any. */
  boolean hold(int bytes) {
    if (held + bytes > mostHeld) {
      return false;
    }
    held += bytes;
    return true;
  }

  void letGo(int bytes) {
    held -= bytes;
  }

  void spoilt(DiskServer to, String why) {
    log.event("disk.spoilt", "server", to.host, "reason", why);
  }

  /** A kept connection, idle for so long, turned out to be gone as its next request was written. */
  void stale(DiskServer to, long idle) {
    log.event("disk.stale", "server", to.host, "idle_ms", idle / 1000, "trusted_ms", trust.us() / 1000);
    trust.broke(idle);
  }

  /** A kept connection brought an answer. */
  void fresh() {
    trust.held();
  }

  void dirty(DiskServer to) {
    log.event("disk.dirty", "server", to.host, "reason", "bytes that answer nothing");
  }

  /** Closes the connections to a disk server that carry nothing: its process or its address has changed, or
   * it is gone. */
  void dropIdle(DiskServer to) {
    while (!to.idle.isEmpty()) {
      to.idle.peekFirst().close();
    }
  }

  /** To be called now and then: closes what the other side is about to close. */
  void sweep() {
    long now = now();
    for (DiskConnection c : Set.copyOf(all)) {
      if (c.usable() && now - c.freeAt >= trust.us()) {
        c.close();
      }
    }
  }
}
