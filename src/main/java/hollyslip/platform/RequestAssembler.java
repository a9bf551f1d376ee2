package hollyslip.platform;

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
  /** Thrown when the start of the next request is unknown, so that the connection cannot be used further. */
  static final class FramingException extends Exception {
    final HttpResponseStatus status;

    FramingException(HttpResponseStatus status) {
      super(status.toString(), null, false, false);
      this.status = status;
    }
  }

  private static final long NOT_REFUSED = -1;

  private final ClientConnectionManager manager;
  private final Channel channel;
  /** Head of the current request, or the error to respond with, and the body received so far. */
  private RequestHead head;
  private HttpResponseStatus errorStatus;
  /** How long the client of a refused request waits, us; negative: the current request is not refused. */
  private long refusedRemainingUs = NOT_REFUSED;
  private final BudgetedBuffer body;
  /** Bytes reserved for the texts of the current request's head. */
  private int headBytes;
  private boolean closeAfterResponse;

  RequestAssembler(ClientConnectionManager manager, Channel channel) {
    this.manager = manager;
    this.channel = channel;
    body = new BudgetedBuffer(manager.dispatcher().requestBytes(), 0);
  }

  /** Bytes of memory that the partly received request takes. */
  int bufferedBytes() {
    return headBytes + body.capacity();
  }

  /** Starts a request from its head.
   *
   * @param first
   *          whether no earlier response is pending on the connection, so that a 100 Continue may be written
   * @param tooMany
   *          whether the request is refused, as too many of its connection are waiting */
  void startRequest(HttpRequest request, boolean first, boolean tooMany) throws FramingException {
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
      if (tooMany) {
        refuseTooMany(request);
        return;
      }
      head = manager.headParser().parse(request);
    } catch (RequestHead.RequestRejectedException e) {
      reject(e);
      return;
    }
    ByteBudget budget = manager.dispatcher().requestBytes();
    if (!budget.ensureRoom(head.textBytes() + Math.max(0, head.bodyLength()))) {
      rejectForLackOfSpace();
      return;
    }
    headBytes = head.textBytes();
    budget.reserve(headBytes);
    if (head.bodyLength() != 0 && first && request.headers()
        .containsValue(HttpHeaderNames.EXPECT, HttpHeaderValues.CONTINUE, true)) {
      channel.writeAndFlush(HttpSupport.latin1Bytes("HTTP/1.1 100 Continue\r\n\r\n"));
    }
  }

  private void refuseTooMany(HttpRequest request) throws RequestHead.RequestRejectedException {
    long remainingUs = manager.headParser().parseRemainingOfRefused(request);
    manager.metrics().increment(ProcessMetrics.Counter.TOO_MANY);
    refuse(remainingUs);
  }

  /** Refuses the current request; its body is not kept. */
  private void refuse(long remainingUs) {
    reset();
    refusedRemainingUs = remainingUs;
    errorStatus = HttpResponseStatus.SERVICE_UNAVAILABLE;
  }

  /** Rejects the request; the rest of its body is not kept. */
  private void rejectForLackOfSpace() {
    manager.log()
        .event("request.no-space", "id", head.transactionId(), "held", manager.dispatcher()
            .requestBytes()
            .used(), "client", channel.remoteAddress());
    refuse(head.remainingUs());
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
      if (body.size() + length > Bounds.MAX_REQUEST_BODY_BYTES) {
        throw new FramingException(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
      }
      if (!body.append(content.content())) {
        rejectForLackOfSpace();
      }
    }
    if (!(content instanceof LastHttpContent)) {
      return null;
    }
    InboundRequest complete = errorStatus != null
        ? InboundRequest.rejected(errorStatus, errorDeadline(receivedAt), closeAfterResponse)
        : completeRequest(receivedAt);
    reset();
    return complete;
  }

  /** When an error is due: the deadline of the client, if the request says so. */
  private long errorDeadline(long receivedAt) {
    return refusedRemainingUs >= 0
        ? manager.dispatcher().responseDeadline(refusedRemainingUs, receivedAt)
        : receivedAt + ClientConnectionManager.ERROR_RESPONSE_DEADLINE_US;
  }

  private InboundRequest completeRequest(long receivedAt) {
    if (!head.write() && body.size() > 0) {
      manager.log().event("request.bad", "reason", "body of a read", "client", channel.remoteAddress());
      return InboundRequest.rejected(HttpResponseStatus.BAD_REQUEST, receivedAt
          + ClientConnectionManager.ERROR_RESPONSE_DEADLINE_US, closeAfterResponse);
    }
    byte[] bytes = body.toByteArray();
    return new InboundRequest(head, bytes, receivedAt, manager.dispatcher()
        .keyOrder()
        .arrivalTime(head, channel), manager.dispatcher().responseDeadline(head.remainingUs(), receivedAt),
        null, closeAfterResponse, 1);
  }

  /** Discards the current partial request. */
  void reset() {
    head = null;
    refusedRemainingUs = NOT_REFUSED;
    errorStatus = null;
    manager.dispatcher().requestBytes().release(headBytes);
    headBytes = 0;
    body.release();
  }
}
