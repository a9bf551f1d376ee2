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

/** Assembles the requests of one connection from the parts that the codec decodes: head, body, end. */
final class RequestAssembler {
  private static final byte[] EMPTY_BODY = {};

  /** Thrown when the start of the next request is unknown, so that the connection cannot be used further. */
  static final class FramingException extends Exception {
    final HttpResponseStatus status;

    FramingException(HttpResponseStatus status) {
      super(status.toString(), null, false, false);
      this.status = status;
    }
  }

  private final ClientConnectionManager manager;
  private final Channel channel;
  /** Head of the current request, or the error to respond with, and the body received so far. */
  private RequestHead head;
  private HttpResponseStatus errorStatus;
  private ByteBuf body = Unpooled.EMPTY_BUFFER;
  private boolean closeAfterResponse;

  RequestAssembler(ClientConnectionManager manager, Channel channel) {
    this.manager = manager;
    this.channel = channel;
  }

  /** Starts a request from its head. {@code first} means that no earlier response is pending on the
   * connection, so that a 100 Continue may be written. */
  void startRequest(HttpRequest request, boolean first) throws FramingException {
    reset();
    closeAfterResponse = request.headers()
        .containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
    if (request.decoderResult().isFailure()) {
      throw new FramingException(HttpResponseStatus.BAD_REQUEST);
    }
    if (request.method().equals(HttpMethod.GET) && request.uri().equals("/ready")) {
      errorStatus = manager.ready() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
      return;
    }
    try {
      head = manager.headParser().parse(request);
    } catch (RequestHead.RequestRejectedException e) {
      reject(e);
      return;
    }
    if (!manager.dispatcher().hasBufferSpace(Math.max(0, head.bodyLength()))) {
      head = null;
      errorStatus = HttpResponseStatus.SERVICE_UNAVAILABLE;
    } else if (head.bodyLength() != 0) {
      // Grows with the bytes received: a declared length alone must not allocate memory.
      body = Unpooled.buffer(1024, Bounds.MAX_REQUEST_BODY_BYTES);
      if (first && request.headers().containsValue(HttpHeaderNames.EXPECT, HttpHeaderValues.CONTINUE, true)) {
        channel.writeAndFlush(HttpSupport.latin1Bytes("HTTP/1.1 100 Continue\r\n\r\n"));
      }
    }
  }

  private void reject(RequestHead.RequestRejectedException e) throws FramingException {
    manager.log().event("request.bad", "reason", e.getMessage(), "client", channel.remoteAddress());
    if (e.framingLost) {
      throw new FramingException(e.status);
    }
    errorStatus = e.status;
  }

  /** Adds a part of the body. Returns the complete request with the last part, else null. */
  InboundRequest addContent(HttpContent content, long receivedAt) throws FramingException {
    if (content.decoderResult().isFailure()) {
      throw new FramingException(HttpResponseStatus.BAD_REQUEST);
    }
    int length = content.content().readableBytes();
    if (head != null && length > 0) {
      if (body.readableBytes() + length > Bounds.MAX_REQUEST_BODY_BYTES) {
        throw new FramingException(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
      }
      body.writeBytes(content.content());
    }
    if (!(content instanceof LastHttpContent)) {
      return null;
    }
    InboundRequest complete = errorStatus != null
        ? InboundRequest.rejected(errorStatus, receivedAt
            + ClientConnectionManager.ERROR_RESPONSE_DEADLINE_US, closeAfterResponse)
        : completeRequest(receivedAt);
    reset();
    return complete;
  }

  private InboundRequest completeRequest(long receivedAt) {
    if (!head.write() && body.isReadable()) {
      manager.log().event("request.bad", "reason", "body of a read", "client", channel.remoteAddress());
      return InboundRequest.rejected(HttpResponseStatus.BAD_REQUEST, receivedAt
          + ClientConnectionManager.ERROR_RESPONSE_DEADLINE_US, closeAfterResponse);
    }
    byte[] bytes = body.isReadable() ? ByteBufUtil.getBytes(body) : EMPTY_BODY;
    return new InboundRequest(head, bytes, receivedAt, manager.dispatcher()
        .responseDeadline(head, receivedAt), null, closeAfterResponse);
  }

  /** Discards the current partial request. */
  void reset() {
    head = null;
    errorStatus = null;
    body.release();
    body = Unpooled.EMPTY_BUFFER;
  }
}
