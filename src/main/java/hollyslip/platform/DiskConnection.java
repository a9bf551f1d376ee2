package hollyslip.platform;

import hollyslip.HostScheduler.Result;
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

/** A persistent connection to a disk server, with one call on it at a time. Bytes received while there is no
 * call, or beyond one complete response, make it unusable: it is closed, and the bytes are discarded. */
final class DiskConnection {
  /** Limit of 1xx responses before the final response. */
  private static final int MAX_INTERIM_RESPONSES = 8;

  /** Largest declared length of a response for which memory is allocated at once, bytes. */
  private static final int MAX_EXPECTED_BODY_BYTES = 512 << 10;

  final DiskServer server;
  /** The address it was connected to; the disk server may have moved since. */
  final InetSocketAddress address;
  private final Channel channel;
  private final DiskConnectionPool pool;
  private final StrictResponseDecoder decoder = new StrictResponseDecoder();
  /** When the last call on it ended, us. */
  long idleSince;
  /** How long it had been idle when the current call was written, us; -1: it was new. */
  private long idleBeforeCallUs = -1;
  private long callStartedAt;
  private boolean usedBefore;
  private Call call;
  private HttpResponse responseHead;
  private BudgetedBuffer responseBody;
  /** Bytes reserved for the header fields of the response. */
  private int responseHeadBytes;
  private int interimResponses;
  /** The response's head or its chunks mark where it ends, rather than the end of the connection. */
  private boolean selfDelimited;
  private boolean closed;

  DiskConnection(DiskServer server, InetSocketAddress address, Channel channel, DiskConnectionPool pool) {
    this.server = server;
    this.address = address;
    this.channel = channel;
    this.pool = pool;
    responseBody = new BudgetedBuffer(pool.responseBytes(), 0);
  }

  /** Called once the channel is connected. */
  void installHandlers() {
    ChannelPipeline pipeline = channel.pipeline();
    pipeline.addLast(new UnexpectedBytesHandler(), decoder, new ResponseHandler());
  }

  /** Processes input that has already arrived. */
  void readNow() {
    HttpSupport.readPending(channel);
  }

  boolean isIdle() {
    return !closed && call == null && channel.isActive();
  }

  /** Writes a call's request; the call ends with its result. */
  void start(Call newCall) {
    long now = pool.now();
    call = newCall;
    newCall.connection = this;
    idleBeforeCallUs = usedBefore ? now - idleSince : -1;
    callStartedAt = now;
    usedBefore = true;
    responseHead = null;
    interimResponses = 0;
    releaseResponse();
    channel.writeAndFlush(newCall.requestEncoder.apply(newCall.timeoutAt - pool.now())).addListener(f -> {
      if (f.isSuccess()) {
        newCall.written = true;
      } else {
        close();
      }
    });
  }

  /** Closes it; the result of a pending call depends on whether its request was fully written. */
  void close() {
    if (closed) {
      return;
    }
    closed = true;
    releaseResponse();
    channel.close();
    Call endedCall = call;
    call = null;
    pool.onClosed(this);
    if (endedCall != null) {
      long now = pool.now();
      if (idleBeforeCallUs >= 0 && responseHead == null && now
          - callStartedAt < DiskConnectionPool.STALE_WINDOW_US) {
        pool.onStaleConnection(server, idleBeforeCallUs);
      }
      endedCall.end(endedCall.written ? Result.RESET : Result.CONNECT_FAILED, now);
    }
  }

  /** Closes it without a result: its call has already been ended. */
  void abandon() {
    call = null;
    close();
  }

  /** Ends the call because its response is unusable; the request may have run. */
  private void failInvalidResponse(String reason) {
    Call endedCall = call;
    call = null;
    if (endedCall != null) {
      pool.onInvalidResponse(server, reason);
      endedCall.end(endedCall.written ? Result.ERROR : Result.CONNECT_FAILED, pool.now());
    }
    close();
  }

  private void onHead(HttpResponse response) {
    if (response.decoderResult().isFailure()) {
      failInvalidResponse("head: " + response.decoderResult().cause().getMessage());
      return;
    }
    int status = response.status().code();
    if (status < 200) {
      if (++interimResponses > MAX_INTERIM_RESPONSES || status == 101) {
        failInvalidResponse("unexpected interim response");
      }
      return;
    }
    boolean transferCoded = response.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
    long length = HttpUtil.getContentLength(response, 0L);
    if (transferCoded && !HttpUtil.isTransferEncodingChunked(response)
        || length > Bounds.MAX_RESPONSE_BODY_BYTES) {
      failInvalidResponse("length: " + response.headers().entries());
      return;
    }
    int headBytes = HttpSupport.heapBytes(response.headers());
    if (!pool.responseBytes().tryReserve(headBytes)) {
      failInvalidResponse("no buffer space for its header fields");
      return;
    }
    responseHeadBytes = headBytes;
    responseHead = response;
    // Without a length, the response ends at an orderly close of the connection. A reset does not complete
    // it, as exceptionCaught is called first.
    selfDelimited = transferCoded || response.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
    // The buffer starts small and grows as data arrives: an announced length alone must not take memory.
    responseBody = new BudgetedBuffer(pool.responseBytes(), (int) Math.min(length, MAX_EXPECTED_BODY_BYTES));
  }

  /** Discards the body received so far and returns the memory of the response to its budget. */
  private void releaseResponse() {
    responseBody.release();
    pool.responseBytes().release(responseHeadBytes);
    responseHeadBytes = 0;
  }

  private void onContent(HttpContent content) {
    if (content.decoderResult().isFailure()) {
      failInvalidResponse("body");
    } else if (responseHead != null) {
      int received = content.content().readableBytes();
      if (responseBody.size() + received > Bounds.MAX_RESPONSE_BODY_BYTES || !responseBody.append(content
          .content())) {
        failInvalidResponse("no buffer space for " + (responseBody.size() + received) + " bytes");
      } else if (content instanceof LastHttpContent) {
        onComplete();
      }
    }
  }

  /** The response is complete: the connection is reused only if no other bytes came with it. */
  private void onComplete() {
    Call endedCall = call;
    HttpResponse response = responseHead;
    byte[] bytes = responseBody.toByteArray();
    releaseResponse();
    call = null;
    responseHead = null;
    boolean reusable = selfDelimited && endedCall.written && decoder.unreadBytes() == 0 && !response.headers()
        .containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
    if (reusable) {
      pool.onIdle(this);
    }
    if (idleBeforeCallUs >= 0) {
      pool.onReuseSucceeded();
    }
    endedCall.end(resultOf(response, endedCall.written), pool.now(), response.headers(), bytes);
    if (!reusable) {
      close();
    }
  }

  private static Result resultOf(HttpResponse response, boolean written) {
    int status = response.status().code();
    if (status == 200) {
      // A response that comes before its request was fully written belongs to something else.
      return written ? Result.OK : Result.CONNECT_FAILED;
    }
    return (status == 503 || status == 504) && "1".equals(response.headers().get("X-Turned-Away"))
        ? Result.FULL
        : Result.ERROR;
  }

  /** Sees received bytes before the codec, to detect those that belong to no call. */
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
        if (call != null && message instanceof HttpResponse response) {
          onHead(response);
        }
        if (call != null && message instanceof HttpContent content) {
          onContent(content);
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
