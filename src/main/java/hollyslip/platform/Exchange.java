package hollyslip.platform;

/** A client's request from when it was taken until its last attempt has ended. */
final class Exchange {
  /** Where the one final answer goes. */
  interface Reply {
    /** @param body
     *          of a disk server's answer to this request */
    void served(byte[] body);

    /** @param retryInUs
     *          0: no advice */
    void refused(long retryInUs);

    void failed();

    /** Reads what has come from the client and may so hear that it left: {@link Desk#departed} is called
     * then, before this returns. */
    void readNow();
  }

  final Ask ask;
  final byte[] body;
  /** The module's name for it. */
  final long number;
  /** When it was taken, us on the module's clock. */
  final long takenAt;
  private long deadline;
  private final Reply reply;
  int attempts, out;
  /** Answered, or its client has left. */
  private boolean over;

  Exchange(Ask ask, byte[] body, long number, long takenAt, long deadline, Reply reply) {
    this.ask = ask;
    this.body = body;
    this.number = number;
    this.takenAt = takenAt;
    this.deadline = deadline;
    this.reply = reply;
  }

  /** When its client gives up, or a request behind it on its connection has to be answered, us on the
   * module's clock. */
  long deadline() {
    return deadline;
  }

  /** It has to be answered by then. */
  void hasten(long by) {
    deadline = Math.min(deadline, by);
  }

  boolean over() {
    return over;
  }

  /** Whether it is still open once all that came from its client has been read. */
  boolean wanted() {
    if (!over) {
      reply.readNow();
    }
    return !over;
  }

  void left() {
    over = true;
  }

  void serve(byte[] answer) {
    if (!over) {
      over = true;
      reply.served(answer);
    }
  }

  void refuse(long retryInUs) {
    if (!over) {
      over = true;
      reply.refused(retryInUs);
    }
  }

  void fail() {
    if (!over) {
      over = true;
      reply.failed();
    }
  }
}
