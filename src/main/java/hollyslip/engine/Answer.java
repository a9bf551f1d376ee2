package hollyslip.engine;

/** The single final answer of a request.
 *
 * @param kind
 *          the outcome
 * @param retryAfterUs
 *          for a refusal: how long the client should wait before a retry, us; 0 for no advice */
public record Answer(Kind kind, long retryAfterUs) {
  /** {@code REFUSED}: the request took no effect, or repeating it is harmless. {@code FAILED}: it is unknown
   * whether it took effect. */
  public enum Kind {
    SERVED, REFUSED, FAILED
  }

  static final Answer SERVED = new Answer(Kind.SERVED, 0);
  public static final Answer FAILED = new Answer(Kind.FAILED, 0);

  public static Answer refused(long retryAfterUs) {
    return new Answer(Kind.REFUSED, retryAfterUs);
  }
}
