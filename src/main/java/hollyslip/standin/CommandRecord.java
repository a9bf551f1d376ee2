package hollyslip.standin;

/** A command as a disk server saw it. Times are microseconds on the machine's monotonic clock;
 * {@code checksum} is the CRC-32 of the data written or returned.
 *
 * @param node
 *          name of the disk server
 * @param boot
 *          number of the server's start, from 1
 * @param client
 *          name and epoch of the gateway that sent it, from its fence; empty: unknown
 * @param connection
 *          serial number of the connection at the server
 * @param cookie
 *          NBD cookie of the command
 * @param kind
 *          NBD command
 * @param offset
 *          offset of the first byte
 * @param length
 *          length in bytes
 * @param receivedUs
 *          when it was received completely
 * @param doneUs
 *          when it took effect; 0: never
 * @param result
 *          how it ended
 * @param sentUs
 *          when its gateway sent it, if that is observable; 0: unknown */
public record CommandRecord(String node, long boot, String client, long connection, long cookie,
    String export,
    int kind, long offset, long length, long receivedUs, long doneUs, long checksum, Result result,
    long sentUs) {
  /** A command whose time of sending is unknown. */
  public CommandRecord(String node, long boot, String client, long connection, long cookie, String export,
      int kind,
      long offset, long length, long receivedUs, long doneUs, long checksum, Result result) {
    this(node, boot, client, connection, cookie, export, kind, offset, length, receivedUs, doneUs, checksum,
        result, 0);
  }

  /** Returns the time of sending if known, else that of receipt. */
  public long sentOrReceivedUs() {
    return sentUs > 0 ? sentUs : receivedUs;
  }

  /** How a command ended. */
  public enum Result {
    /** Executed and answered. */
    DONE,
    /** Executed, but the answer was dropped. */
    DONE_SILENTLY,
    /** Neither executed nor answered. */
    SWALLOWED,
    /** Refused: the queue is full, or the server is draining. */
    FULL,
    /** Answered with an error, not executed. */
    ERROR,
    /** Refused because a newer fence supersedes that of its connection. */
    FENCED
  }
}
