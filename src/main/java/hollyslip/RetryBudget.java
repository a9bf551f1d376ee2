package hollyslip;

import hollyslip.HostScheduler.Rules;

/** Limits attempts beyond each request's first (rule 6). In any time span there are at most the free ones
 * plus a share of the requests accepted in it, so that the rule also holds for the sum over hosts or lanes.
 * With a sliding window in each it would not, as the requests that justified an attempt may have left the
 * window. Drawback: fewer attempts at once, and none at all with less than one free. */
final class RetryBudget {
  private final Rules rules;
  private double available;

  RetryBudget(Rules rules) {
    this.rules = rules;
    available = rules.budgetFree();
  }

  /** Adds the further attempts that newly accepted requests allow. */
  void requestsAccepted(int requests) {
    available = Math.min(rules.budgetFree(), available + requests * rules.budgetShare());
  }

  /** Subtracts further attempts that were made. */
  void retriesMade(int attempts) {
    available -= rules.budgetWindowUs() > 0 ? attempts : 0;
  }

  /** Returns a further attempt that was counted and then not sent. */
  void retryNotSent() {
    available = Math.min(rules.budgetFree(), available + (rules.budgetWindowUs() > 0 ? 1 : 0));
  }

  /** Whether one more attempt beyond a request's first may be made. */
  boolean allowsRetry() {
    return rules.budgetWindowUs() <= 0 || available >= 1;
  }
}
