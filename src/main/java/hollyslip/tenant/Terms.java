package hollyslip.tenant;

import hollyslip.HostScheduler;

/** Terms on which a volume is served. Rates are in units per second over all gateways and nodes.
 *
 * @param rate
 *          expected rate
 * @param reserve
 *          reserved rate
 * @param weight
 *          share of the tenant's rate relative to the tenant's other volumes
 * @param price
 *          worth of one unit
 * @param limit
 *          hard rate limit; 0: none
 * @param limitBurst
 *          burst allowed on top of the limit, units
 * @param limitSlack
 *          units by which the limit may be exceeded */
public record Terms(double rate, double reserve, double weight, double price, double limit, double limitBurst,
    double limitSlack) {
  /** Largest accepted value; sums of many larger values would lose whole units to rounding. */
  private static final double MAX_VALUE = 1e12;

  public Terms {
    requireInRange(rate, 0, "rate");
    requireInRange(reserve, 0, "reserve");
    requireInRange(weight, 0, "weight");
    requireInRange(price, 0, "price");
    requireInRange(limit, 0, "limit");
    requireInRange(limitBurst, 0, "limit_burst");
    requireInRange(limitSlack, 0, "limit_slack");
    if (weight == 0) {
      throw CommandRejectedException.invalid("weight", "weight must be above 0");
    }
    if (limit > 0 && limitBurst <= 0) {
      throw CommandRejectedException.invalid("limit_burst", "a limit needs a limit_burst above 0");
    }
    if (limit > 0 && reserve > limit) {
      throw CommandRejectedException.invalid("reserve", "reserve " + reserve + " is above the limit "
          + limit);
    }
  }

  static void requireInRange(double value, double minimum, String field) {
    if (!(value >= minimum && value <= MAX_VALUE)) {
      throw CommandRejectedException.invalid(field, field + " must be from " + NumberFormatter.formatNumber(
          minimum)
          + " to " + NumberFormatter.formatNumber(MAX_VALUE) + ", not " + NumberFormatter.formatNumber(
              value));
    }
  }

  /** Terms of a volume that differ from its plan; null means the plan's value. */
  public record Overrides(Double reserve, Double weight, Double limit, Double limitBurst) {
    public static final Overrides NONE = new Overrides(null, null, null, null);

    /** Returns the plan's terms with these overrides applied. */
    public Terms applyTo(Terms plan) {
      return new Terms(plan.rate, orDefault(reserve, plan.reserve), orDefault(weight, plan.weight),
          plan.price, orDefault(limit, plan.limit), orDefault(limitBurst, plan.limitBurst), plan.limitSlack);
    }

    private static double orDefault(Double override, double plan) {
      return override == null ? plan : override;
    }
  }

  /** Converts the terms to the scheduler's form of a plan. */
  public HostScheduler.Plan toSchedulerPlan(String name) {
    return new HostScheduler.Plan(name, rate, reserve, weight, price, limit, limitBurst, limitSlack);
  }
}
