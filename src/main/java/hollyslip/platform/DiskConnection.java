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
  private static final int MAX_INTERIM_RESPONSES = 8;

  final DiskServer server;
  /** Where it leads: the disk server may have moved since. */
  final InetSocketAddress address;
  private final Channel channel;
  private final DiskServers pool;
  private final StrictResponseDecoder decoder = new StrictResponseDecoder();
  /** When the last call on it ended, us. */
  long idleSince;
  /** How long it had carried nothing when the call on it was written, us; -1: it was new. */
  private long idleBeforeCallUs = -1;
  private long callStartedAt;
  private boolean usedBefore;
  private Call call;
  private HttpResponse responseHead;
  private ByteBuf responseBody = Unpooled.EMPTY_BUFFER;
  private int interimResponses;
  /** The answer itself tells where it ends. */
  private boolean selfDelimited;
  private boolean closed;

  DiskConnection(DiskServer to, InetSocketAddress address, Channel channel, DiskServers owner) {
    this.server = to;
    this.address = address;
    this.channel = channel;
    this.pool = owner;
  }

  /** To be called once it is up. */
  void installHandlers() {
    ChannelPipeline p = channel.pipeline();
    p.addLast(new UnexpectedBytesHandler(), decoder, new ResponseHandler());
  }

  /** Takes in what has come. */
  void readNow() {
    Http.readNow(channel);
  }

  boolean isIdle() {
    return !closed && call == null && channel.isActive();
  }

  /** Writes a call's request whole; how it ends is told to the call. */
  void start(Call c) {
    long now = pool.now();
    call = c;
    c.connection = this;
    idleBeforeCallUs = usedBefore ? now - idleSince : -1;
    callStartedAt = now;
    usedBefore = true;
    responseHead = null;
    interimResponses = 0;
    releaseBody();
    channel.writeAndFlush(c.requestEncoder.apply(c.timeoutAt - pool.now())).addListener(f -> {
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
    releaseBody();
    channel.close();
    Call c = call;
    call = null;
    pool.onClosed(this);
    if (c != null) {
      long now = pool.now();
      if (idleBeforeCallUs >= 0 && responseHead == null && now - callStartedAt < DiskServers.STALE_WINDOW_US) {
        pool.onStaleConnection(server, idleBeforeCallUs);
      }
      c.end(c.written ? Result.RESET : Result.CONNECT_FAILED, now);
    }
  }

  /** The call on it has ended for its owner, who waits no longer: so does the connection. */
  void abandon() {
    call = null;
    close();
  }

  private void releaseBody() {
    pool.releaseBytes(responseBody.readableBytes());
    responseBody.release();
    responseBody = Unpooled.EMPTY_BUFFER;
  }

  /** An answer that cannot be used; the request may have run. */
  private void failInvalidResponse(String why) {
    Call c = call;
    call = null;
    if (c != null) {
      pool.onInvalidResponse(server, why);
      c.end(c.written ? Result.ERROR : Result.CONNECT_FAILED, pool.now());
    }
    close();
  }

  private void onHead(HttpResponse r) {
    if (r.decoderResult().isFailure()) {
      failInvalidResponse("head: " + r.decoderResult().cause().getMessage());
      return;
    }
    int status = r.status().code();
    if (status < 200) {
      if (++interimResponses > MAX_INTERIM_RESPONSES || status == 101) {
        failInvalidResponse("interim answers");
      }
      return;
    }
    boolean coded = r.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
    long length = HttpUtil.getContentLength(r, 0L);
    if (coded && !HttpUtil.isTransferEncodingChunked(r) || length > Bounds.MAX_RESPONSE_BODY_BYTES) {
      failInvalidResponse("length: " + r.headers().entries());
      return;
    }
    responseHead = r;
    // Without a length it is whole at the connection's end, but not at a reset: exceptionCaught comes first
    // then.
    selfDelimited = coded || r.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
    // Grows with what comes beyond this: a length that is only said must not take memory.
    responseBody = Unpooled.buffer((int) Math.max(64, Math.min(length, 8 * Bounds.BODY)), Bounds.MAX_RESPONSE_BODY_BYTES);
  }

  private void onContent(HttpContent c) {
    if (c.decoderResult().isFailure()) {
      failInvalidResponse("body");
    } else if (responseHead != null) {
      int more = c.content().readableBytes();
      if (responseBody.readableBytes() + more > Bounds.MAX_RESPONSE_BODY_BYTES || !pool.tryReserveBytes(more)) {
        failInvalidResponse("no room for " + (responseBody.readableBytes() + more) + " bytes");
      } else {
        responseBody.writeBytes(c.content());
        if (c instanceof LastHttpContent) {
          onComplete();
        }
      }
    }
  }

  /** The answer is whole: the connection stays in use only if nothing else came with it. */
  private void onComplete() {
    Call c = call;
    HttpResponse r = responseHead;
    boolean exact = responseBody.hasArray() && responseBody.arrayOffset() == 0 && responseBody.readableBytes() == responseBody.array().length;
    byte[] bytes = exact ? responseBody.array() : ByteBufUtil.getBytes(responseBody);
    releaseBody();
    call = null;
    responseHead = null;
    boolean clean = selfDelimited && c.written && decoder.unreadBytes() == 0 && !r.headers()
        .containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
    if (clean) {
      pool.onIdle(this);
    }
    if (idleBeforeCallUs >= 0) {
      pool.onReuseSucceeded();
    }
    c.end(resultOf(r, c.written), pool.now(), r.headers(), bytes);
    if (!clean) {
      close();
    }
  }

  private static Result resultOf(HttpResponse r, boolean written) {
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
  private final class UnexpectedBytesHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (call == null) {
        ReferenceCountUtil.release(message);
        if (!closed) {
          pool.onUnexpectedBytes(server);
          close();
        }
      } else {
        ctx.fireChannelRead(message);
      }
    }
  }

  private final class ResponseHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      try {
        if (call != null && message instanceof HttpResponse r) {
          onHead(r);
        }
        if (call != null && message instanceof HttpContent c) {
          onContent(c);
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
        failInvalidResponse(String.valueOf(cause.getMessage()));
      } else {
        close();
      }
    }
  }
}
