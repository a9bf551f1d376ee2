package hollyslip;

import hollyslip.HostScheduler.Rules;

/** Rule 6: attempts beyond each request's first. In any span they are at most what is free and the share of
 * the requests taken in it, so that sums over hosts or lanes keep the rule too. Windows of each would not:
 * what justified an attempt may have left them. Harm: fewer at once; none at all with under one free. */
final class AttemptBudget {
  private final Rules rules;
  private double room;

  AttemptBudget(Rules rules) {
    this.rules = rules;
    room = rules.budgetFree();
  }

  /** So many requests were taken. */
  void took(int requests) {
    room = Math.min(rules.budgetFree(), room + requests * rules.budgetShare());
  }

  /** So many further attempts were made. */
  void spend(int attempts) {
    room -= rules.budgetWindowUs() > 0 ? attempts : 0;
  }

  /** Whether one more may be made. */
  boolean allows() {
    return rules.budgetWindowUs() <= 0 || room >= 1;
  }
}
