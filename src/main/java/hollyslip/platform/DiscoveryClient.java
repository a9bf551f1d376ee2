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
final class DiscoveryClient {
  private static final long TICK_MS = 50;

  /** Longest object, bytes: some thousands of disk servers. */
  private static final int MAX_OBJECT_BYTES = 1 << 20;

  private final EventLoop loop;
  private final Clock clock;
  private final Log log;
  private final Consumer<EndpointUpdate> updateListener;
  private final Runnable answeredListener;
  private final WatchClock retryPolicy;
  private InetSocketAddress address;
  /** Version last heard; -1: none, the whole list is asked for. */
  private long version;
  /** The one that was answered, and the one that is being opened; null: none. */
  private Watch current, pending;
  /** Those that were not answered soon, oldest first. */
  private final List<Watch> overdue = new ArrayList<>();
  private boolean stopped;

  /** @param seq
   *          version of the list that is in force, -1: none
   * @param speaks
   *          called when a watch is answered: what is told after that version follows at once, and nothing if
   *          nothing has changed */
  DiscoveryClient(EventLoop loop, Clock clock, Log log, WatchClock times, InetSocketAddress address,
      long seq, Consumer<EndpointUpdate> updates, Runnable speaks) {
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.retryPolicy = times;
    this.address = address;
    this.version = seq;
    this.updateListener = updates;
    this.answeredListener = speaks;
  }

  void start() {
    loop.scheduleAtFixedRate(log.guarded(this::tick), TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    openWatch();
  }

  /** Another address from now on; the list stays in force until it speaks, and so does an open watch. */
  void changeAddress(InetSocketAddress other) {
    address = other;
    retryPolicy.resetRetryDelay();
    closePending();
    openWatch();
  }

  void stop() {
    stopped = true;
    closePending();
    if (current != null) {
      current.close();
    }
  }

  private void closePending() {
    if (pending != null) {
      pending.close();
      pending = null;
    }
    overdue.forEach(Watch::close);
    overdue.clear();
  }

  /** Leaves the newest attempt open and makes way for another. The oldest is the last to be given up: one
   * that is answered slowly needs its time, and no loop of short attempts gives it that. */
  private void markPendingOverdue() {
    overdue.add(pending);
    pending = null;
    retryPolicy.watchFailed(clock.now());
    if (overdue.size() > WatchClock.MAX_OVERDUE) {
      overdue.get(1).fail("no answer");
    }
  }

  private void tick() {
    long now = clock.now();
    if (stopped) {
      return;
    }
    if (pending != null && retryPolicy.attemptOverdue(now)) {
      // It may be here: this process may have been held up.
      pending.readNow();
      if (pending != null) {
        markPendingOverdue();
      }
    }
    if (!overdue.isEmpty() && now - overdue.get(0).openedAt >= WatchClock.OVERDUE_LIFETIME_US) {
      overdue.get(0).fail("no answer");
    }
    if (pending == null && current != null && retryPolicy.shouldOpen(now, true)) {
      current.readNow();
    }
    if (pending == null && retryPolicy.shouldOpen(now, current != null && current.target.equals(address))) {
      if (current != null && !current.lossReported) {
        current.lossReported = true;
        log.event("discovery.lost", "address", current.target, "reason", "silent");
      }
      openWatch();
    }
  }

  private void openWatch() {
    Watch w = new Watch(address);
    pending = w;
    retryPolicy.attemptStarted(clock.now());
    new Bootstrap().group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) (WatchClock.OVERDUE_LIFETIME_US / 1000))
        .handler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel ch) {
            w.channel = ch;
            ch.pipeline().addLast(new StrictResponseDecoder(), w);
          }
        })
        .connect(address)
        .addListener(f -> {
          if (!f.isSuccess()) {
            w.fail(String.valueOf(f.cause().getMessage()));
          }
        });
  }

  /** One object of a watch. */
  private void onUpdate(Watch from, EndpointUpdate n) {
    if (!n.whole() && n.version() <= version) {
      // Already known, or of a discovery that began again from an older version: then only the whole list is
      // the truth. A version said again changes nothing.
      if (n.version() < version) {
        log.event("discovery.backwards", "from", version, "to", n.version());
        version = -1;
        from.fail("an older version");
      }
      return;
    }
    if (n.version() < version) {
      log.event("discovery.backwards", "from", version, "to", n.version(), "whole", true);
    }
    version = n.version();
    updateListener.accept(n);
  }

  /** One connection to discovery, from its request to its end. */
  private final class Watch extends ChannelInboundHandlerAdapter {
    private final InetSocketAddress target;
    private final long openedAt = clock.now();
    private final JsonStreamParser parser = new JsonStreamParser(MAX_OBJECT_BYTES);
    private Channel channel;
    private boolean closed, lossReported;

    Watch(InetSocketAddress to) {
      this.target = to;
    }

    void readNow() {
      if (channel != null) {
        Http.readNow(channel);
      }
    }

    void close() {
      closed = true;
      if (channel != null) {
        channel.close();
      }
    }

    /** Once; the next one starts when {@link WatchClock} says so. */
    void fail(String why) {
      if (closed) {
        return;
      }
      close();
      if (overdue.remove(this)) {
        log.event("discovery.lost", "address", target, "reason", why);
        return;
      }
      if (this == pending) {
        pending = null;
      } else if (this == current) {
        current = null;
      }
      retryPolicy.watchFailed(clock.now());
      log.event("discovery.lost", "address", target, "reason", why);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      if (closed) {
        ctx.close();
        return;
      }
      String index = version < 0 ? "" : "&index=" + version;
      ctx.writeAndFlush(Http.bytes("GET /v1/endpoints?stream=1" + index + " HTTP/1.1\r\nHost: "
          + Http.authority(target) + "\r\n\r\n"));
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      try {
        if (!closed && message instanceof HttpResponse r) {
          onHead(r);
        }
        if (!closed && message instanceof HttpContent c) {
          onContent(c);
        }
      } finally {
        ReferenceCountUtil.release(message);
      }
    }

    private void onHead(HttpResponse r) {
      int status = r.status().code();
      if (!r.decoderResult().isFailure() && status >= 100 && status < 200) {
        return;
      }
      if (r.decoderResult().isFailure() || status != 200) {
        fail("status " + status);
        return;
      }
      if (current != null) {
        current.close();
      }
      current = this;
      overdue.remove(this);
      if (this == pending) {
        pending = null;
      }
      closePending();
      retryPolicy.watchAnswered(clock.now());
      if (version >= 0) {
        answeredListener.run();
      }
    }

    private void onContent(HttpContent c) {
      if (this != current) {
        return;
      }
      if (c.decoderResult().isFailure()) {
        fail("its framing");
        return;
      }
      try {
        byte[] part = ByteBufUtil.getBytes(c.content());
        parser.feed(part, this::onObject);
        if (part.length > 0 && !parser.insideObject()) {
          retryPolicy.dataReceived(clock.now());
        }
      } catch (IOException | IllegalArgumentException e) {
        log.event("discovery.unreadable", "reason", e.getMessage());
        fail("what cannot be read");
      }
      if (c instanceof LastHttpContent) {
        fail("its end");
      }
    }

    private void onObject(JsonNode o) {
      if (!closed) {
        retryPolicy.dataReceived(clock.now());
        onUpdate(this, EndpointUpdate.parse(o));
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      fail("closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      fail(String.valueOf(cause.getMessage()));
    }
  }
}
