package hollyslip.engine;

/** Makes one answer of those of a request's pieces: served if all are; failed if one failed. If some are
 * refused and others served, the client may be told "refused" only where doing the served part again is
 * harmless by the request's class; otherwise the answer is failed. */
final class AnswerAggregator {
  private final boolean safeToRepeat;
  private int served;
  private int refused;
  private int failed;
  private long retryInUs;

  /** @param repeatable
   *          whether the class may be done again after it has had its effect */
  AnswerAggregator(boolean repeatable) {
    this.safeToRepeat = repeatable;
  }

  void add(Answer answer) {
    switch (answer.kind()) {
      case SERVED -> served++;
      case REFUSED -> { refused++; retryInUs = Math.max(retryInUs, answer.retryInUs()); }
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
    return refused > 0 ? Answer.refused(retryInUs) : Answer.SERVED;
  }
}
