package hollyslip.platform;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;

/** Puts the requests of one connection together from what the codec gives: head, body, end. */
final class RequestAssembler {
  private static final byte[] NO_BODY = {};

  /** Where the next request starts is unknown after this. */
  static final class FramingLost extends Exception {
    final HttpResponseStatus status;

    FramingLost(HttpResponseStatus status) {
      super(status.toString(), null, false, false);
      this.status = status;
    }
  }

  private final Front front;
  private final Channel channel;
  /** The head that was read, or the error that it earned; and its body so far. */
  private Ask ask;
  private HttpResponseStatus error;
  private ByteBuf body = Unpooled.EMPTY_BUFFER;
  private boolean close;

  RequestAssembler(Front front, Channel channel) {
    this.front = front;
    this.channel = channel;
  }

  /** Takes the head of a request; with {@code first} nothing is owed to this client before it. */
  void head(HttpRequest r, boolean first) throws FramingLost {
    reset();
    close = r.headers().containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
    if (r.decoderResult().isFailure()) {
      throw new FramingLost(HttpResponseStatus.BAD_REQUEST);
    }
    if (r.method().equals(HttpMethod.GET) && r.uri().equals("/ready")) {
      error = front.ready() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
      return;
    }
    try {
      ask = front.reader().read(r);
    } catch (Ask.Refused e) {
      refused(e);
      return;
    }
    if (!front.desk().hasRoom(Math.max(0, ask.bodyLength()))) {
      ask = null;
      error = HttpResponseStatus.SERVICE_UNAVAILABLE;
    } else if (ask.bodyLength() != 0) {
      // Grows with what comes: a length that is only said must not take memory.
      body = Unpooled.buffer(1024, Bounds.BODY);
      if (first && r.headers().containsValue(HttpHeaderNames.EXPECT, HttpHeaderValues.CONTINUE, true)) {
        channel.writeAndFlush(Http.bytes("HTTP/1.1 100 Continue\r\n\r\n"));
      }
    }
  }

  private void refused(Ask.Refused e) throws FramingLost {
    front.log().event("request.bad", "reason", e.getMessage(), "client", channel.remoteAddress());
    if (e.framingLost) {
      throw new FramingLost(e.status);
    }
    error = e.status;
  }

  /** Takes a piece of the body; gives the request with its last one, else null. */
  Incoming content(HttpContent c, long now) throws FramingLost {
    if (c.decoderResult().isFailure()) {
      throw new FramingLost(HttpResponseStatus.BAD_REQUEST);
    }
    int more = c.content().readableBytes();
    if (ask != null && more > 0) {
      if (body.readableBytes() + more > Bounds.BODY) {
        throw new FramingLost(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
      }
      body.writeBytes(c.content());
    }
    if (!(c instanceof LastHttpContent)) {
      return null;
    }
    Incoming whole = error != null
        ? Incoming.error(error, now + Front.ERROR_WITHIN_US, close)
        : whole(now);
    reset();
    return whole;
  }

  private Incoming whole(long now) {
    if (!ask.write() && body.isReadable()) {
      front.log().event("request.bad", "reason", "body of a read", "client", channel.remoteAddress());
      return Incoming.error(HttpResponseStatus.BAD_REQUEST, now + Front.ERROR_WITHIN_US, close);
    }
    byte[] bytes = body.isReadable() ? ByteBufUtil.getBytes(body) : NO_BODY;
    return new Incoming(ask, bytes, now, front.desk().deadline(ask, now), null, close);
  }

  /** Drops what has come of a request. */
  void reset() {
    ask = null;
    error = null;
    body.release();
    body = Unpooled.EMPTY_BUFFER;
  }
}
