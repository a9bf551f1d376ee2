package hollyslip.platform;

import io.netty.handler.codec.http.HttpResponseStatus;

/** What a client is owed an answer for, in its turn: a whole request, or something that earned an error.
 *
 * @param ask
 *          null: an error
 * @param body
 *          of a request
 * @param cameAt
 *          when the last byte of a request came, us
 * @param answerBy
 *          when its answer is due, us
 * @param error
 *          null: a request
 * @param close
 *          the client asked for the end of the connection after it */
record Incoming(Ask ask, byte[] body, long cameAt, long answerBy, HttpResponseStatus error, boolean close) {
  private static final byte[] NO_BODY = {};

  static Incoming error(HttpResponseStatus status, long answerBy, boolean close) {
    return new Incoming(null, NO_BODY, 0, answerBy, status, close);
  }

  boolean isRequest() {
    return error == null;
  }

  /** The answer to this request, without its being served. */
  Incoming refused(HttpResponseStatus status) {
    return error(status, answerBy, close);
  }
}
