package hollyslip.engine;

/** Combines the answers of a request's sub-requests: served if all are served, failed if one failed. If some
 * are refused and others served, the client may be told "refused" only where the request's class makes
 * repeating the served part harmless; otherwise the request has failed. */
final class AnswerAggregator {
  private final boolean safeToRepeat;
  private int served;
  private int refused;
  private int failed;
  private long retryAfterUs;

  /** @param safeToRepeat
   *          whether requests of the class may run again after they took effect */
  AnswerAggregator(boolean safeToRepeat) {
    this.safeToRepeat = safeToRepeat;
  }

  void add(Answer answer) {
    switch (answer.kind()) {
      case SERVED -> served++;
      case REFUSED -> { refused++; retryAfterUs = Math.max(retryAfterUs, answer.retryAfterUs()); }
      case FAILED -> failed++;
    }
  }

  int count() {
    return served + refused + failed;
  }

  Answer combined() {
    if (failed > 0 || refused > 0 && served > 0 && !safeToRepeat) {
      return Answer.FAILED;
    }
    return refused > 0 ? Answer.refused(retryAfterUs) : Answer.SERVED;
  }
}
