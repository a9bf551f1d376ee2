package hollyslip.audit;

/** One request as its client saw it: the audit's first witness. Times are of the machine's monotonic clock,
 * us.
 *
 * @param client
 *          name of the client
 * @param gateway
 *          name of the gateway instance that it asked
 * @param volume
 *          name of the volume
 * @param id
 *          number of the request, unique for its client
 * @param kind
 *          NBD command that it stands for
 * @param offset
 *          first byte of the volume
 * @param length
 *          bytes
 * @param units
 *          as the deployment counts them
 * @param key
 *          what orders it among others; -1: none
 * @param checksum
 *          CRC-32 of what was written, or of what was read
 * @param askedUs
 *          when it was handed over
 * @param deadlineUs
 *          when the client's time ended
 * @param answers
 *          how many final answers came
 * @param answeredUs
 *          when the first came; 0: none
 * @param answer
 *          the first answer
 * @param left
 *          whether the client left before an answer */
public record Asked(String client, String gateway, String volume, long id, int kind, long offset, long length,
    double units, long key, long checksum, long askedUs, long deadlineUs, int answers, long answeredUs,
    Answer answer, boolean left) {
  /** The answers that a client can tell apart. */
  public enum Answer {
    NONE, SERVED, REFUSED, FAILED
  }
}
