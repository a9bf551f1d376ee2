package hollyslip.platform;

/** A client request from its acceptance until its last attempt has ended. */
final class Exchange {
  /** Sends the single final response to the client. */
  interface Responder {
    /** @param body
     *          body of the disk server's response */
    void serve(byte[] body);

    /** @param retryAfterUs
     *          delay to advise in Retry-After, us; 0: no advice */
    void refuse(long retryAfterUs);

    void fail();

    /** Reads pending input from the client. If this shows that the client has disconnected,
     * {@link RequestDispatcher#abandon} is called before this method returns. Returns whether all of it was
     * read: the end of a connection stands behind its input. */
    boolean readToEnd();
  }

  /** Whether something may still be sent for a request. {@code CLIENT_UNKNOWN}: it is open, but its client
   * may have disconnected behind input that was not read yet. */
  enum SendState {
    OPEN, ENDED, CLIENT_UNKNOWN
  }

  final RequestHead head;
  final byte[] body;
  /** Id by which the scheduler knows this request. */
  final long requestId;
  /** Time of acceptance, us on the scheduler's clock. */
  final long acceptedAt;
  private long deadline;
  private final Responder responder;
  int attempts, attemptsOutstanding;
  /** Whether the scheduler has been told of this request. */
  boolean posted;
  /** Whether any of it was sent to a disk server. */
  boolean sent;
  /** Whether the response was given or the client has disconnected. */
  private boolean completed;

  Exchange(RequestHead head, byte[] body, long requestId, long acceptedAt, long deadline,
      Responder responder) {
    this.head = head;
    this.body = body;
    this.requestId = requestId;
    this.acceptedAt = acceptedAt;
    this.deadline = deadline;
    this.responder = responder;
  }

  /** Bytes of the request's texts and body. */
  int heldBytes() {
    return head.textBytes() + body.length;
  }

  /** Latest time for the response, us on the scheduler's clock: when the client gives up, or earlier if a
   * request queued behind it on the same connection is due before that. */
  long deadline() {
    return deadline;
  }

  /** Brings the deadline forward to {@code latest} if that is earlier. */
  void shortenDeadline(long latest) {
    deadline = Math.min(deadline, latest);
  }

  boolean completed() {
    return completed;
  }

  /** Reads pending input from the client, then returns whether something may be sent now. */
  SendState checkSendState() {
    boolean clientKnown = completed || responder.readToEnd();
    if (completed) {
      return SendState.ENDED;
    }
    return clientKnown ? SendState.OPEN : SendState.CLIENT_UNKNOWN;
  }

  void abandon() {
    completed = true;
  }

  void serve(byte[] response) {
    if (!completed) {
      completed = true;
      responder.serve(response);
    }
  }

  void refuse(long retryAfterUs) {
    if (!completed) {
      completed = true;
      responder.refuse(retryAfterUs);
    }
  }

  void fail() {
    if (!completed) {
      completed = true;
      responder.fail();
    }
  }
}
