package hollyslip.engine;

/** The one final answer of a request.
 *
 * @param kind
 *          which
 * @param retryInUs
 *          for a refusal: how long the client ought to keep away, us; 0: no advice */
public record Answer(Kind kind, long retryInUs) {
  /** Served; refused: nothing of it took effect, or doing it again is harmless; failed: no word on its
   * effect. */
  public enum Kind {
    SERVED, REFUSED, FAILED
  }

  static final Answer SERVED = new Answer(Kind.SERVED, 0);
  public static final Answer FAILED = new Answer(Kind.FAILED, 0);

  /** A refusal. */
  public static Answer refused(long retryInUs) {
    return new Answer(Kind.REFUSED, retryInUs);
  }
}
