package hollyslip.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Follows the list: one watch, from the last version on. A watch that ends, falls silent or cannot be read
 * is replaced by a new one; the old one is read until the new one is answered. One that is not answered soon
 * is tried again beside it: the first answer counts. {@link WatchClock} says when. */
final class Discovery {
  private static final long TICK_MS = 50;

  /** Longest object, bytes: some thousands of disk servers. */
  private static final int MOST_OBJECT = 1 << 20;

  private final EventLoop loop;
  private final Clock clock;
  private final Log log;
  private final Consumer<EndpointUpdate> updates;
  private final Runnable speaks;
  private final WatchClock times;
  private InetSocketAddress address;
  /** Version last heard; -1: none, the whole list is asked for. */
  private long seq;
  /** The one that was answered, and the one that is being opened; null: none. */
  private Watch current, attempt;
  /** Those that were not answered soon, oldest first. */
  private final List<Watch> overdue = new ArrayList<>();
  private boolean stopped;

  /** @param seq
   *          version of the list that is in force, -1: none
   * @param speaks
   *          called when a watch is answered: what is told after that version follows at once, and nothing if
   *          nothing has changed */
  Discovery(EventLoop loop, Clock clock, Log log, WatchClock times, InetSocketAddress address,
      long seq, Consumer<EndpointUpdate> updates, Runnable speaks) {
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.times = times;
    this.address = address;
    this.seq = seq;
    this.updates = updates;
    this.speaks = speaks;
  }

  void start() {
    loop.scheduleAtFixedRate(log.guarded(this::tick), TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    open();
  }

  /** Another address from now on; the list stays in force until it speaks, and so does an open watch. */
  void follow(InetSocketAddress other) {
    address = other;
    times.restart();
    closeAttempts();
    open();
  }

  void stop() {
    stopped = true;
    closeAttempts();
    if (current != null) {
      current.close();
    }
  }

  private void closeAttempts() {
    if (attempt != null) {
      attempt.close();
      attempt = null;
    }
    overdue.forEach(Watch::close);
    overdue.clear();
  }

  /** Leaves the newest attempt open and makes way for another. The oldest is the last to be given up: one
   * that is answered slowly needs its time, and no loop of short attempts gives it that. */
  private void setAside() {
    overdue.add(attempt);
    attempt = null;
    times.failed(clock.now());
    if (overdue.size() > WatchClock.MOST_OVERDUE) {
      overdue.get(1).ended("no answer");
    }
  }

  private void tick() {
    long now = clock.now();
    if (stopped) {
      return;
    }
    if (attempt != null && times.attemptOverdue(now)) {
      // It may be here: this process may have been held up.
      attempt.readNow();
      if (attempt != null) {
        setAside();
      }
    }
    if (!overdue.isEmpty() && now - overdue.get(0).openedAt >= WatchClock.PATIENCE_US) {
      overdue.get(0).ended("no answer");
    }
    if (attempt == null && current != null && times.opensAt(now, true)) {
      current.readNow();
    }
    if (attempt == null && times.opensAt(now, current != null && current.to.equals(address))) {
      if (current != null && !current.reported) {
        current.reported = true;
        log.event("discovery.lost", "address", current.to, "reason", "silent");
      }
      open();
    }
  }

  private void open() {
    Watch w = new Watch(address);
    attempt = w;
    times.opening(clock.now());
    new Bootstrap().group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) (WatchClock.PATIENCE_US / 1000))
        .handler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel ch) {
            w.channel = ch;
            ch.pipeline().addLast(new AnswerDecoder(), w);
          }
        })
        .connect(address)
        .addListener(f -> {
          if (!f.isSuccess()) {
            w.ended(String.valueOf(f.cause().getMessage()));
          }
        });
  }

  /** One object of a watch. */
  private void take(Watch from, EndpointUpdate n) {
    if (!n.whole() && n.seq() <= seq) {
      // Already known, or of a discovery that began again from an older version: then only the whole list is
      // the truth. A version said again changes nothing.
      if (n.seq() < seq) {
        log.event("discovery.backwards", "from", seq, "to", n.seq());
        seq = -1;
        from.ended("an older version");
      }
      return;
    }
    if (n.seq() < seq) {
      log.event("discovery.backwards", "from", seq, "to", n.seq(), "whole", true);
    }
    seq = n.seq();
    updates.accept(n);
  }

  /** One connection to discovery, from its request to its end. */
  private final class Watch extends ChannelInboundHandlerAdapter {
    private final InetSocketAddress to;
    private final long openedAt = clock.now();
    private final JsonStream objects = new JsonStream(MOST_OBJECT);
    private Channel channel;
    private boolean over, reported;

    Watch(InetSocketAddress to) {
      this.to = to;
    }

    void readNow() {
      if (channel != null) {
        Http.readNow(channel);
      }
    }

    void close() {
      over = true;
      if (channel != null) {
        channel.close();
      }
    }

    /** Once; the next one starts when {@link WatchClock} says so. */
    void ended(String why) {
      if (over) {
        return;
      }
      close();
      if (overdue.remove(this)) {
        log.event("discovery.lost", "address", to, "reason", why);
        return;
      }
      if (this == attempt) {
        attempt = null;
      } else if (this == current) {
        current = null;
      }
      times.failed(clock.now());
      log.event("discovery.lost", "address", to, "reason", why);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      if (over) {
        ctx.close();
        return;
      }
      String index = seq < 0 ? "" : "&index=" + seq;
      ctx.writeAndFlush(Http.bytes("GET /v1/endpoints?stream=1" + index + " HTTP/1.1\r\nHost: "
          + Http.authority(to) + "\r\n\r\n"));
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      try {
        if (!over && message instanceof HttpResponse r) {
          head(r);
        }
        if (!over && message instanceof HttpContent c) {
          content(c);
        }
      } finally {
        ReferenceCountUtil.release(message);
      }
    }

    private void head(HttpResponse r) {
      int status = r.status().code();
      if (!r.decoderResult().isFailure() && status >= 100 && status < 200) {
        return;
      }
      if (r.decoderResult().isFailure() || status != 200) {
        ended("status " + status);
        return;
      }
      if (current != null) {
        current.close();
      }
      current = this;
      overdue.remove(this);
      if (this == attempt) {
        attempt = null;
      }
      closeAttempts();
      times.answered(clock.now());
      if (seq >= 0) {
        speaks.run();
      }
    }

    private void content(HttpContent c) {
      if (this != current) {
        return;
      }
      if (c.decoderResult().isFailure()) {
        ended("its framing");
        return;
      }
      try {
        byte[] part = ByteBufUtil.getBytes(c.content());
        objects.feed(part, this::object);
        if (part.length > 0 && !objects.within()) {
          times.heard(clock.now());
        }
      } catch (IOException | IllegalArgumentException e) {
        log.event("discovery.unreadable", "reason", e.getMessage());
        ended("what cannot be read");
      }
      if (c instanceof LastHttpContent) {
        ended("its end");
      }
    }

    private void object(JsonNode o) {
      if (!over) {
        times.heard(clock.now());
        take(this, EndpointUpdate.parse(o));
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      ended("closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ended(String.valueOf(cause.getMessage()));
    }
  }
}
