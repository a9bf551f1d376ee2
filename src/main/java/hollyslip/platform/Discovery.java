package hollyslip.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
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
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Follows the list: one watch, from the last version on. A watch that ends, that says nothing for too long
 * or that cannot be read is begun anew, with pauses. */
final class Discovery {
  /** Discovery sends an empty line every 2 s at least; a watch as silent as this is dead, us. */
  private static final long SILENT_US = 5_000_000;

  /** Pauses between watches, us: doubled from the first to the last. */
  private static final long PAUSE_US = 50_000, MOST_PAUSE_US = 1_000_000;

  /** Longest line, bytes: some thousands of disk servers. */
  private static final int MOST_LINE = 4 << 20;

  private static final ObjectMapper JSON = new ObjectMapper();

  private final EventLoop loop;
  private final Clock clock;
  private final Log log;
  private final Consumer<ListNews> news;
  private final Runnable speaks;
  private InetSocketAddress address;
  /** Version last heard; -1: none, the whole list is asked for. */
  private long seq;
  private Watch watch;
  private long pauseUs = PAUSE_US;
  private boolean stopped;

  /** @param seq
   *          version of the list that is in force, -1: none
   * @param speaks
   *          called when a watch is answered: what is told after that version follows at once, and nothing if
   *          nothing has changed */
  Discovery(EventLoop loop, Clock clock, Log log, InetSocketAddress address, long seq,
      Consumer<ListNews> news, Runnable speaks) {
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.address = address;
    this.seq = seq;
    this.news = news;
    this.speaks = speaks;
  }

  void start() {
    loop.scheduleAtFixedRate(log.guarded(this::lookForSilence), 500, 500, TimeUnit.MILLISECONDS);
    watch();
  }

  /** Another address from now on; the list stays in force until it speaks. */
  void follow(InetSocketAddress other) {
    address = other;
    pauseUs = PAUSE_US;
    Watch old = watch;
    watch = null;
    if (old != null) {
      old.close();
    }
    watch();
  }

  void stop() {
    stopped = true;
    if (watch != null) {
      watch.close();
    }
  }

  private void watch() {
    if (stopped) {
      return;
    }
    Watch w = new Watch();
    watch = w;
    new Bootstrap().group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1000)
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

  private void lookForSilence() {
    if (watch != null && clock.now() - watch.heardAt >= SILENT_US) {
      watch.ended("silent");
    }
  }

  /** One object of the watch. */
  private void line(ListNews n) {
    if (!n.whole() && n.seq() <= seq) {
      // Already known, or of a discovery that began again from an older version: then only the whole list is
      // the truth. A version said again changes nothing.
      if (n.seq() < seq) {
        log.event("discovery.backwards", "from", seq, "to", n.seq());
        seq = -1;
        watch.ended("an older version");
      }
      return;
    }
    if (n.seq() < seq) {
      log.event("discovery.backwards", "from", seq, "to", n.seq(), "whole");
    }
    pauseUs = PAUSE_US;
    seq = n.seq();
    news.accept(n);
  }

  /** One connection to discovery, from its request to its end. */
  private final class Watch extends ChannelInboundHandlerAdapter {
    private Channel channel;
    private long heardAt = clock.now();
    private ByteBuf line = Unpooled.buffer(1024, MOST_LINE);
    private boolean over;

    void close() {
      if (!over) {
        over = true;
        line.release();
        if (channel != null) {
          channel.close();
        }
      }
    }

    /** Once; the next one starts after a pause, unless this is no longer the one that counts. */
    void ended(String why) {
      if (over) {
        return;
      }
      close();
      if (watch == this) {
        log.event("discovery.lost", address, why);
        watch = null;
        long pause = pauseUs;
        pauseUs = Math.min(MOST_PAUSE_US, 2 * pauseUs);
        loop.schedule(() -> {
          if (watch == null) {
            Discovery.this.watch();
          }
        }, pause, TimeUnit.MICROSECONDS);
      }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      String index = seq < 0 ? "" : "&index=" + seq;
      ctx.writeAndFlush(Http.bytes("GET /v1/endpoints?stream=1" + index + " HTTP/1.1\r\nHost: "
          + Http.authority(address) + "\r\n\r\n"));
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      try {
        heardAt = clock.now();
        if (!over && message instanceof HttpResponse r) {
          if (r.decoderResult().isFailure() || r.status().code() != 200) {
            ended("status " + r.status().code());
          } else if (seq >= 0) {
            speaks.run();
          }
        }
        if (!over && message instanceof HttpContent c) {
          content(c.content());
          if (c instanceof LastHttpContent) {
            ended("its end");
          }
        }
      } finally {
        ReferenceCountUtil.release(message);
      }
    }

    private void content(ByteBuf part) {
      while (part.isReadable() && !over) {
        int end = part.bytesBefore((byte) '\n');
        int length = end < 0 ? part.readableBytes() : end;
        if (line.readableBytes() + length > MOST_LINE) {
          ended("line too long");
          return;
        }
        line.writeBytes(part, length);
        if (end >= 0) {
          part.skipBytes(1);
          whole();
        }
      }
    }

    private void whole() {
      String text = line.toString(StandardCharsets.UTF_8).trim();
      line.clear();
      if (text.isEmpty()) {
        return;
      }
      try {
        line(ListNews.parse(JSON.readTree(text)));
      } catch (IOException | IllegalArgumentException e) {
        log.event("discovery.unreadable", e.getMessage());
        ended("a line that cannot be read");
      }
    }

    private void line(ListNews n) {
      Discovery.this.line(n);
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
