package hollyslip.engine;

/** The single final answer of a request.
 *
 * @param kind
 *          the outcome
 * @param retryInUs
 *          for a refusal: how long the client should wait before a retry, us; 0 for no advice */
public record Answer(Kind kind, long retryInUs) {
  /** SERVED: done. REFUSED: nothing of it took effect, or doing it again is harmless. FAILED: its effect is
   * unknown. */
  public enum Kind {
    SERVED, REFUSED, FAILED
  }

  static final Answer SERVED = new Answer(Kind.SERVED, 0);
  public static final Answer FAILED = new Answer(Kind.FAILED, 0);

  public static Answer refused(long retryInUs) {
    return new Answer(Kind.REFUSED, retryInUs);
  }
}
