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

/** Keeps the list of disk servers up to date by one watch, a streaming response that continues from the last
 * known version. A watch that ends, falls silent or cannot be parsed is replaced; the old one is read until
 * the new one is answered. If an attempt is not answered soon, another is started beside it, and the first
 * response wins. {@link WatchRetryPolicy} decides when. */
final class DiscoveryClient {
  private static final long TICK_MS = 50;

  /** Limit of one JSON object, bytes: enough for some thousands of disk servers. */
  private static final int MAX_OBJECT_BYTES = 1 << 20;

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final EventLog log;
  private final Consumer<EndpointUpdate> updateListener;
  private final Runnable answeredListener;
  private final WatchRetryPolicy retryPolicy;
  private InetSocketAddress address;
  /** Last version received; -1: none, the complete list is requested. */
  private long version;
  /** The watch that was answered, and the one being opened; null: none. */
  private Watch current, pending;
  /** Attempts that were not answered in time, oldest first. */
  private final List<Watch> overdue = new ArrayList<>();
  private boolean stopped;

  /** @param version
   *          version of the list in use, -1: none
   * @param answeredListener
   *          called when a watch is answered and a list is known: changes since that version follow
   *          immediately, and nothing follows if nothing has changed */
  DiscoveryClient(EventLoop loop, MonotonicClock clock, EventLog log, WatchRetryPolicy retryPolicy,
      InetSocketAddress address, long version, Consumer<EndpointUpdate> updateListener,
      Runnable answeredListener) {
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.retryPolicy = retryPolicy;
    this.address = address;
    this.version = version;
    this.updateListener = updateListener;
    this.answeredListener = answeredListener;
  }

  void start() {
    loop.scheduleAtFixedRate(log.guarded(this::tick), TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    openWatch();
  }

  /** Switches to another address; the list and an open watch stay in use until the new address responds. */
  void changeAddress(InetSocketAddress newAddress) {
    address = newAddress;
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

  /** Leaves the newest attempt open and makes way for another. The oldest attempt is the last to be
   * abandoned: a slow response needs one long attempt, which a series of short attempts would never give
   * it. */
  private void markPendingOverdue() {
    overdue.add(pending);
    pending = null;
    retryPolicy.watchFailed(clock.now());
    if (overdue.size() > WatchRetryPolicy.MAX_OVERDUE) {
      overdue.get(1).fail("no response in time");
    }
  }

  private void tick() {
    long now = clock.now();
    if (stopped) {
      return;
    }
    if (pending != null && retryPolicy.attemptOverdue(now)) {
      // The response may already be here, if this process was stalled.
      pending.readNow();
      if (pending != null) {
        markPendingOverdue();
      }
    }
    if (!overdue.isEmpty() && now - overdue.get(0).openedAt >= WatchRetryPolicy.OVERDUE_LIFETIME_US) {
      overdue.get(0).fail("no response in time");
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
    Watch watch = new Watch(address);
    pending = watch;
    retryPolicy.attemptStarted(clock.now());
    new Bootstrap().group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.ALLOCATOR, ReceiveBuffers.ALLOCATOR)
        .option(ChannelOption.RECVBUF_ALLOCATOR, ReceiveBuffers.RECEIVE_ALLOCATOR)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) (WatchRetryPolicy.OVERDUE_LIFETIME_US / 1000))
        .handler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel ch) {
            watch.channel = ch;
            ch.pipeline().addLast(new StrictResponseDecoder(), watch);
          }
        })
        .connect(address)
        .addListener(f -> {
          if (!f.isSuccess()) {
            watch.fail(String.valueOf(f.cause().getMessage()));
          }
        });
  }

  /** Handles one object received on a watch. */
  private void onUpdate(Watch watch, EndpointUpdate update) {
    if (!update.complete() && update.version() <= version) {
      // Already known, or sent by a discovery service that restarted from an older version: then only the
      // complete list can be trusted. A repeated version changes nothing.
      if (update.version() < version) {
        log.event("discovery.backwards", "from", version, "to", update.version());
        version = -1;
        watch.fail("older version received");
      }
      return;
    }
    if (update.version() < version) {
      log.event("discovery.backwards", "from", version, "to", update.version(), "whole", true);
    }
    version = update.version();
    updateListener.accept(update);
  }

  /** One connection to discovery, from its request to its end. */
  private final class Watch extends ChannelInboundHandlerAdapter {
    private final InetSocketAddress target;
    private final long openedAt = clock.now();
    private final JsonStreamParser parser = new JsonStreamParser(MAX_OBJECT_BYTES);
    private Channel channel;
    private boolean closed, lossReported;

    Watch(InetSocketAddress target) {
      this.target = target;
    }

    void readNow() {
      if (channel != null) {
        HttpSupport.readPending(channel);
      }
    }

    void close() {
      closed = true;
      if (channel != null) {
        channel.close();
      }
    }

    /** Ends this watch, once; {@link WatchRetryPolicy} decides when the next one is opened. */
    void fail(String reason) {
      if (closed) {
        return;
      }
      close();
      if (overdue.remove(this)) {
        log.event("discovery.lost", "address", target, "reason", reason);
        return;
      }
      if (this == pending) {
        pending = null;
      } else if (this == current) {
        current = null;
      }
      retryPolicy.watchFailed(clock.now());
      log.event("discovery.lost", "address", target, "reason", reason);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      if (closed) {
        ctx.close();
        return;
      }
      String index = version < 0 ? "" : "&index=" + version;
      ctx.writeAndFlush(HttpSupport.latin1Bytes("GET /v1/endpoints?stream=1" + index + " HTTP/1.1\r\nHost: "
          + HttpSupport.authority(target) + "\r\n\r\n"));
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      try {
        if (!closed && message instanceof HttpResponse response) {
          onHead(response);
        }
        if (!closed && message instanceof HttpContent content) {
          onContent(content);
        }
      } finally {
        ReferenceCountUtil.release(message);
      }
    }

    private void onHead(HttpResponse response) {
      int status = response.status().code();
      if (!response.decoderResult().isFailure() && status >= 100 && status < 200) {
        return;
      }
      if (response.decoderResult().isFailure() || status != 200) {
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

    private void onContent(HttpContent content) {
      if (this != current) {
        return;
      }
      if (content.decoderResult().isFailure()) {
        fail("invalid framing");
        return;
      }
      try {
        byte[] bytes = ByteBufUtil.getBytes(content.content());
        parser.feed(bytes, this::onObject);
        if (bytes.length > 0 && !parser.insideObject()) {
          retryPolicy.dataReceived(clock.now());
        }
      } catch (IOException | IllegalArgumentException e) {
        log.event("discovery.unreadable", "reason", e.getMessage());
        fail("unreadable update");
      }
      if (content instanceof LastHttpContent) {
        fail("end of response");
      }
    }

    private void onObject(JsonNode object) {
      if (!closed) {
        retryPolicy.dataReceived(clock.now());
        onUpdate(this, EndpointUpdate.parse(object));
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
