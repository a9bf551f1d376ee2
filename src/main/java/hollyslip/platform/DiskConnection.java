package hollyslip.platform;

import hollyslip.HostScheduler.Result;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;

/** One kept connection to a disk server, with one call on it at a time. Whatever comes while there is none,
 * or is more than one whole answer, makes it unfit for use: it is closed, and what came is passed on to
 * nobody. */
final class DiskConnection {
  /** Answers of class 1xx before the one that counts. */
  private static final int MOST_INTERIM = 8;

  final DiskServer to;
  /** Where it leads: the disk server may have moved since. */
  final InetSocketAddress address;
  private final Channel channel;
  private final DiskServers owner;
  private final AnswerDecoder decoder = new AnswerDecoder();
  /** When the last call on it ended, us. */
  long freeAt;
  /** How long it had carried nothing when the call on it was written, us; -1: it was new. */
  private long idleUs = -1;
  private long startedAt;
  private boolean used;
  private Call call;
  private HttpResponse head;
  private ByteBuf body = Unpooled.EMPTY_BUFFER;
  private int interim;
  /** The answer itself tells where it ends. */
  private boolean framed;
  private boolean closed;

  DiskConnection(DiskServer to, InetSocketAddress address, Channel channel, DiskServers owner) {
    this.to = to;
    this.address = address;
    this.channel = channel;
    this.owner = owner;
  }

  /** To be called once it is up. */
  void open() {
    ChannelPipeline p = channel.pipeline();
    p.addLast(new Guard(), decoder, new Answers());
  }

  /** Takes in what has come. */
  void readNow() {
    Http.readNow(channel);
  }

  boolean usable() {
    return !closed && call == null && channel.isActive();
  }

  /** Writes a call's request whole; how it ends is told to the call. */
  void start(Call c) {
    long now = owner.now();
    call = c;
    c.connection = this;
    idleUs = used ? now - freeAt : -1;
    startedAt = now;
    used = true;
    head = null;
    interim = 0;
    dropBody();
    channel.writeAndFlush(c.bytes.apply(c.giveUpAt - owner.now())).addListener(f -> {
      if (f.isSuccess()) {
        c.written = true;
      } else {
        close();
      }
    });
  }

  /** Closes it; a call on it that has not ended ends by what was written of it. */
  void close() {
    if (closed) {
      return;
    }
    closed = true;
    dropBody();
    channel.close();
    Call c = call;
    call = null;
    owner.closed(this);
    if (c != null) {
      long now = owner.now();
      if (idleUs >= 0 && head == null && now - startedAt < DiskServers.AT_ONCE_US) {
        owner.stale(to, idleUs);
      }
      c.end(c.written ? Result.RESET : Result.CONNECT_FAILED, now);
    }
  }

  /** The call on it has ended for its owner, who waits no longer: so does the connection. */
  void giveUp() {
    call = null;
    close();
  }

  private void dropBody() {
    owner.letGo(body.readableBytes());
    body.release();
    body = Unpooled.EMPTY_BUFFER;
  }

  /** An answer that cannot be used; the request may have run. */
  private void spoilt(String why) {
    Call c = call;
    call = null;
    if (c != null) {
      owner.spoilt(to, why);
      c.end(c.written ? Result.ERROR : Result.CONNECT_FAILED, owner.now());
    }
    close();
  }

  private void head(HttpResponse r) {
    if (r.decoderResult().isFailure()) {
      spoilt("head: " + r.decoderResult().cause().getMessage());
      return;
    }
    int status = r.status().code();
    if (status < 200) {
      if (++interim > MOST_INTERIM || status == 101) {
        spoilt("interim answers");
      }
      return;
    }
    boolean coded = r.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
    long length = HttpUtil.getContentLength(r, 0L);
    if (coded && !HttpUtil.isTransferEncodingChunked(r) || length > Bounds.ANSWER) {
      spoilt("length: " + r.headers().entries());
      return;
    }
    head = r;
    // Without a length it is whole at the connection's end, but not at a reset: exceptionCaught comes first
    // then.
    framed = coded || r.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
    // Grows with what comes beyond this: a length that is only said must not take memory.
    body = Unpooled.buffer((int) Math.max(64, Math.min(length, 8 * Bounds.BODY)), Bounds.ANSWER);
  }

  private void content(HttpContent c) {
    if (c.decoderResult().isFailure()) {
      spoilt("body");
    } else if (head != null) {
      int more = c.content().readableBytes();
      if (body.readableBytes() + more > Bounds.ANSWER || !owner.hold(more)) {
        spoilt("no room for " + (body.readableBytes() + more) + " bytes");
      } else {
        body.writeBytes(c.content());
        if (c instanceof LastHttpContent) {
          whole();
        }
      }
    }
  }

  /** The answer is whole: the connection stays in use only if nothing else came with it. */
  private void whole() {
    Call c = call;
    HttpResponse r = head;
    boolean exact = body.hasArray() && body.arrayOffset() == 0 && body.readableBytes() == body.array().length;
    byte[] bytes = exact ? body.array() : ByteBufUtil.getBytes(body);
    dropBody();
    call = null;
    head = null;
    boolean clean = framed && c.written && decoder.left() == 0 && !r.headers()
        .containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
    if (clean) {
      owner.free(this);
    }
    if (idleUs >= 0) {
      owner.fresh();
    }
    c.end(result(r, c.written), owner.now(), r.headers(), bytes);
    if (!clean) {
      close();
    }
  }

  private static Result result(HttpResponse r, boolean written) {
    int status = r.status().code();
    if (status == 200) {
      // An answer to a request that was not written whole answers something else.
      return written ? Result.OK : Result.CONNECT_FAILED;
    }
    return (status == 503 || status == 504) && "1".equals(r.headers().get("X-Turned-Away"))
        ? Result.FULL
        : Result.ERROR;
  }

  /** Sees bytes before the codec does. */
  private final class Guard extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (call == null) {
        ReferenceCountUtil.release(message);
        if (!closed) {
          owner.dirty(to);
          close();
        }
      } else {
        ctx.fireChannelRead(message);
      }
    }
  }

  private final class Answers extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      try {
        if (call != null && message instanceof HttpResponse r) {
          head(r);
        }
        if (call != null && message instanceof HttpContent c) {
          content(c);
        }
      } finally {
        ReferenceCountUtil.release(message);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (cause instanceof io.netty.handler.codec.DecoderException) {
        spoilt(String.valueOf(cause.getMessage()));
      } else {
        close();
      }
    }
  }
}
