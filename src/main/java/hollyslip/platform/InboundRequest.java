package hollyslip.platform;

import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;

/** One item of a client connection's queue, which is answered in order of arrival: a complete request, or
 * input that is answered with an error.
 *
 * @param head
 *          null for an error
 * @param body
 *          body of the request
 * @param receivedAt
 *          earliest time at which the last byte of the request may have arrived, us
 * @param arrivedAt
 *          when its last byte arrived, us; see {@link KeyOrderBuffer#arrivalTime}
 * @param respondBy
 *          when the response is due, us
 * @param errorStatus
 *          null for a request
 * @param closeAfterResponse
 *          whether the client asked to close the connection after the response
 * @param count
 *          number of requests that are answered alike with this item, one after the other */
record InboundRequest(RequestHead head, byte[] body, long receivedAt, long arrivedAt,
    long respondBy, HttpResponseStatus errorStatus, boolean closeAfterResponse, int count) {
  private static final byte[] EMPTY_BODY = {};

  static InboundRequest rejected(HttpResponseStatus status, long respondBy, boolean closeAfterResponse) {
    return new InboundRequest(null, EMPTY_BODY, 0, 0, respondBy, status, closeAfterResponse, 1);
  }

  boolean isRequest() {
    return errorStatus == null;
  }

  /** Bytes of a request's texts and body. */
  int heldBytes() {
    return (head == null ? 0 : head.textBytes()) + body.length;
  }

  /** Whether it is answered with an error that is the client's own fault. */
  boolean isInvalid() {
    return errorStatus != null && errorStatus.codeClass() == HttpStatusClass.CLIENT_ERROR;
  }

  /** This item and another one that is answered next; null if their responses differ. */
  InboundRequest mergedWith(InboundRequest next) {
    boolean alike = errorStatus != null && errorStatus.equals(next.errorStatus) && !closeAfterResponse
        && !next.closeAfterResponse;
    return alike
        ? new InboundRequest(null, EMPTY_BODY, 0, 0, Math.min(respondBy, next.respondBy), errorStatus, false,
            count + next.count)
        : null;
  }

  /** The same for another number of requests. */
  InboundRequest withCount(int newCount) {
    return newCount == count
        ? this
        : new InboundRequest(head, body, receivedAt, arrivedAt, respondBy, errorStatus, closeAfterResponse,
            newCount);
  }

  /** An error response to this request, which is not served. */
  InboundRequest rejectedWith(HttpResponseStatus status) {
    return rejected(status, respondBy, closeAfterResponse);
  }
}
