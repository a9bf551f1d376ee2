package hollyslip.platform;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Locale;

/** One client's connection: requests in, one after the other, and their answers out. It is always read, so
 * that a client's leaving is seen; what comes beyond a bound is dropped. */
final class ClientConnection {
  /** Bytes that are read and dropped before the connection is closed: a client that goes on at full speed
   * after an error would take the event loop's time. Harm: it may see a reset in place of the error. */
  private static final int MOST_DROPPED = 1 << 20;

  /** Requests that may wait behind an open one: an ordinary client sends none. */
  private static final int MOST_WAITING = 8;
  private static final byte[] NOTHING = {};

  private final Front front;
  private final Channel channel;
  private final RequestDecoder decoder = new RequestDecoder();
  private final ArrayDeque<Item> waiting = new ArrayDeque<>();
  /** What is being read: its head, or the answer that its head earned; and its body so far. */
  private Ask ask;
  private Item instead;
  private byte[] body = NOTHING;
  private int filled;
  private boolean closeAfter;

  private Exchange open;
  private long readAt, idleSince, writingSince = -1;
  /** Since when part of a request has been here; -1: there is none. */
  private long partSince;
  /** What comes is not looked at any more. */
  private boolean deaf;
  private long deafSince;
  private int dropped;
  private boolean over;

  /** Something to be answered in its turn: a request, or an error ({@code status}). */
  private record Item(Ask ask, byte[] body, long cameAt, HttpResponseStatus status, boolean close) {}

  ClientConnection(Front front, Channel channel) {
    this.front = front;
    this.channel = channel;
    partSince = front.now();
    idleSince = partSince;
  }

  void open() {
    channel.pipeline().addLast(new Reads(), decoder, new Requests());
  }

  /** Since when nothing is open or under way here, us; -1: something is. A request of which a part has come
   * is: a slow one must not lose its connection to others' need of places. */
  long idleSince() {
    return quiet() && !decoder.within() ? idleSince : -1;
  }

  boolean quiet() {
    return open == null && waiting.isEmpty() && writingSince < 0 && !over;
  }

  void close() {
    channel.close();
  }

  /** Closes what takes too long. */
  void sweep(long now) {
    if (deaf && now - deafSince >= Front.LINGER_US && open == null && writingSince < 0) {
      close();
    } else if (writingSince >= 0 && now - writingSince >= Front.TAKEN_WITHIN_US) {
      close();
    } else if (!deaf && partSince >= 0 && now - partSince >= Front.WHOLE_WITHIN_US) {
      framingError(HttpResponseStatus.REQUEST_TIMEOUT);
    }
  }

  private void head(HttpRequest r) {
    closeAfter = r.headers().containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
    filled = 0;
    body = NOTHING;
    ask = null;
    instead = null;
    if (r.decoderResult().isFailure()) {
      framingError(HttpResponseStatus.BAD_REQUEST);
      return;
    }
    if (r.method().equals(HttpMethod.GET) && r.uri().equals("/ready")) {
      instead = error(front.ready() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE);
      return;
    }
    try {
      ask = front.reader().read(r);
      body = ask.bodyLength() == 0 ? NOTHING : new byte[ask.bodyLength()];
      if (!front.desk().hasRoom(body.length)) {
        ask = null;
        instead = error(HttpResponseStatus.SERVICE_UNAVAILABLE);
      } else if (body.length > 0 && r.headers()
          .containsValue(HttpHeaderNames.EXPECT, HttpHeaderValues.CONTINUE, true) && quiet()) {
        channel.writeAndFlush(Http.bytes("HTTP/1.1 100 Continue\r\n\r\n"));
      }
    } catch (Ask.Refused e) {
      front.log().event("request.bad", e.getMessage(), channel.remoteAddress());
      if (e.framingLost) {
        framingError(e.status);
      } else {
        instead = error(e.status);
      }
    }
  }

  private Item error(HttpResponseStatus status) {
    return new Item(null, null, 0, status, closeAfter);
  }

  private void content(HttpContent c) {
    ByteBuf part = c.content();
    if (ask != null && filled + part.readableBytes() <= body.length) {
      int length = part.readableBytes();
      part.readBytes(body, filled, length);
      filled += length;
    }
    if (c instanceof LastHttpContent) {
      partSince = -1;
      queue(instead != null ? instead : new Item(ask, body, readAt, null, closeAfter));
      ask = null;
      instead = null;
      body = NOTHING;
    }
  }

  private void queue(Item item) {
    if (waiting.size() >= MOST_WAITING) {
      front.log().event("request.too-many-at-once", channel.remoteAddress());
      framingError(HttpResponseStatus.SERVICE_UNAVAILABLE);
      return;
    }
    waiting.add(item);
    next();
  }

  /** What follows cannot be told apart, or is not wanted: an error in its turn, then the end. */
  private void framingError(HttpResponseStatus status) {
    if (!deaf) {
      deaf = true;
      deafSince = front.now();
      partSince = -1;
      waiting.add(new Item(null, null, 0, status, true));
      next();
    }
  }

  /** Goes on to the next in turn, if nothing is open. */
  private void next() {
    while (open == null && writingSince < 0 && !over && !waiting.isEmpty()) {
      Item item = waiting.poll();
      if (item.status != null) {
        answer(item.status, NOTHING, 0, item.close);
      } else if (front.desk().isOpen(item.ask.id())) {
        answer(HttpResponseStatus.CONFLICT, NOTHING, 0, item.close);
      } else {
        take(item);
      }
    }
  }

  private void take(Item item) {
    Reply reply = new Reply(item.close);
    Exchange x = front.desk().take(item.ask, item.body, item.cameAt, reply);
    if (!reply.given) {
      open = x;
    }
  }

  private final class Reply implements Exchange.Reply {
    private final boolean close;
    boolean given;

    Reply(boolean close) {
      this.close = close;
    }

    private void give(HttpResponseStatus status, byte[] text, long retryInUs) {
      given = true;
      open = null;
      answer(status, text, retryInUs, close);
    }

    @Override
    public void served(byte[] answer) {
      give(HttpResponseStatus.OK, answer, 0);
    }

    @Override
    public void refused(long retryInUs) {
      give(HttpResponseStatus.SERVICE_UNAVAILABLE, NOTHING, retryInUs);
    }

    @Override
    public void failed() {
      give(HttpResponseStatus.BAD_GATEWAY, NOTHING, 0);
    }
  }

  private void answer(HttpResponseStatus status, byte[] text, long retryInUs, boolean close) {
    boolean last = close || front.stopping();
    StringBuilder head = new StringBuilder(96).append("HTTP/1.1 ")
        .append(status.code())
        .append(' ')
        .append(status.reasonPhrase())
        .append("\r\nContent-Length: ")
        .append(text.length)
        .append("\r\n");
    if (retryInUs > 0) {
      head.append("Retry-After: ")
          .append(String.format(Locale.ROOT, "%.3f", Math.max(0.001, retryInUs / 1e6)))
          .append("\r\n");
    }
    if (last) {
      head.append("Connection: close\r\n");
    }
    ByteBuf bytes = Http.bytes(head.append("\r\n").toString());
    writingSince = front.now();
    channel.writeAndFlush(text.length == 0
        ? bytes
        : Unpooled.wrappedBuffer(bytes, Unpooled.wrappedBuffer(text))).addListener(f -> {
          writingSince = -1;
          idleSince = front.now();
          if (!f.isSuccess()) {
            close();
          } else if (last) {
            end();
          } else {
            // Not from within the module's turn: what follows may be taken at once.
            next();
          }
        });
  }

  /** Ends this side's sending; the rest goes once the client's side has ended too, or soon. */
  private void end() {
    over = true;
    waiting.clear();
    deaf = true;
    deafSince = front.now();
    ((SocketChannel) channel).shutdownOutput();
  }

  /** Sees bytes before the codec does. */
  private final class Reads extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (deaf) {
        dropped += ((ByteBuf) message).readableBytes();
        ReferenceCountUtil.release(message);
        if (dropped > MOST_DROPPED) {
          close();
        }
        return;
      }
      readAt = front.now();
      if (partSince < 0) {
        partSince = readAt;
      }
      ctx.fireChannelRead(message);
      if (partSince >= 0 && !decoder.within()) {
        partSince = -1;
      }
    }
  }

  private final class Requests extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      try {
        if (!deaf && message instanceof HttpRequest r) {
          head(r);
        }
        if (!deaf && message instanceof HttpContent c) {
          content(c);
        }
      } finally {
        ReferenceCountUtil.release(message);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      deaf = true;
      over = true;
      waiting.clear();
      front.closed(ClientConnection.this);
      if (open != null) {
        Exchange x = open;
        open = null;
        front.desk().departed(x);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (cause instanceof DecoderException) {
        front.log().event("request.unreadable", cause.getMessage(), channel.remoteAddress());
        framingError(HttpResponseStatus.BAD_REQUEST);
      } else {
        close();
      }
    }
  }
}
