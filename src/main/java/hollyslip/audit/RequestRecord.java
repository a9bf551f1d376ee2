package hollyslip.audit;

/** A request as its client saw it. Times are microseconds on the machine's monotonic clock.
 *
 * @param client
 *          name of the client
 * @param gateway
 *          name of the gateway that it was sent to
 * @param volume
 *          name of the volume
 * @param id
 *          request id, unique for its client
 * @param kind
 *          NBD command that it corresponds to
 * @param offset
 *          offset of the first byte in the volume
 * @param length
 *          length in bytes
 * @param units
 *          units of work, as the deployment counts them
 * @param key
 *          ordering key; -1: none
 * @param checksum
 *          CRC-32 of the data written or read
 * @param askedUs
 *          when the client submitted it
 * @param deadlineUs
 *          when the client's deadline expired
 * @param answers
 *          number of final answers received
 * @param answeredUs
 *          when the first answer arrived; 0: none
 * @param answer
 *          the first answer
 * @param left
 *          whether the client disconnected before an answer */
public record RequestRecord(String client, String gateway, String volume, long id, int kind, long offset,
    long length,
    double units, long key, long checksum, long askedUs, long deadlineUs, int answers, long answeredUs,
    Answer answer, boolean left) {
  /** The answers that a client can distinguish. */
  public enum Answer {
    NONE, SERVED, REFUSED, FAILED
  }
}
