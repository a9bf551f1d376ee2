package hollyslip.standin;

/** One command as a disk server saw it: the audit's second witness. Times are of the machine's monotonic
 * clock, us; {@code checksum} is the CRC-32 of the bytes written or returned.
 *
 * @param node
 *          name of the disk server
 * @param boot
 *          number of its start
 * @param client
 *          who sent it, by its fence; empty: did not say
 * @param connection
 *          serial of the connection at the server
 * @param cookie
 *          as sent
 * @param kind
 *          NBD command
 * @param offset
 *          first byte
 * @param length
 *          bytes
 * @param receivedUs
 *          when it had come in whole
 * @param doneUs
 *          when it had its effect; 0: never
 * @param result
 *          what came of it
 * @param sentUs
 *          when its gateway sent it, where that can be seen from outside; 0: it cannot */
public record Command(String node, long boot, String client, long connection, long cookie, String export,
    int kind, long offset, long length, long receivedUs, long doneUs, long checksum, Result result,
    long sentUs) {
  /** One whose sending nobody saw. */
  public Command(String node, long boot, String client, long connection, long cookie, String export, int kind,
      long offset, long length, long receivedUs, long doneUs, long checksum, Result result) {
    this(node, boot, client, connection, cookie, export, kind, offset, length, receivedUs, doneUs, checksum,
        result, 0);
  }

  /** When it was sent, as near as can be told. */
  public long sentOrReceivedUs() {
    return sentUs > 0 ? sentUs : receivedUs;
  }

  /** What came of it. */
  public enum Result {
    /** Done and answered. */
    DONE,
    /** Done, the answer thrown away. */
    DONE_SILENTLY,
    /** Never done, never answered. */
    SWALLOWED,
    /** Turned away: the queue is full, or it is draining. */
    FULL,
    /** Answered with an error, not done. */
    ERROR,
    /** Dropped because its connection is dead by a fence. */
    FENCED
  }
}
