package hollyslip.tenant;

import hollyslip.HostScheduler;

/** On what terms a volume is served; rates in units a second over all gateways and nodes.
 *
 * @param rate
 *          expected
 * @param reserve
 *          promised
 * @param weight
 *          share of what its tenant gets, against the tenant's other volumes
 * @param price
 *          worth of a unit
 * @param limit
 *          strict; 0: none
 * @param limitBurst
 *          units at once on top
 * @param limitSlack
 *          units that the limit may be passed by */
public record Terms(double rate, double reserve, double weight, double price, double limit, double limitBurst,
    double limitSlack) {
  /** Largest figure taken: beyond it sums of many lose units. */
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

  static void requireInRange(double value, double least, String field) {
    if (!(value >= least && value <= MAX_VALUE)) {
      throw CommandRejectedException.invalid(field, field + " must be from " + Plain.formatNumber(least)
          + " to " + Plain.formatNumber(MAX_VALUE)
          + ", not " + Plain.formatNumber(value));
    }
  }

  /** What a volume has otherwise than its plan; null: as the plan. */
  public record Overrides(Double reserve, Double weight, Double limit, Double limitBurst) {
    public static final Overrides NONE = new Overrides(null, null, null, null);

    /** The plan's terms with these instead. */
    public Terms applyTo(Terms plan) {
      return new Terms(plan.rate, orDefault(reserve, plan.reserve), orDefault(weight, plan.weight),
          plan.price, orDefault(limit,
              plan.limit), orDefault(limitBurst, plan.limitBurst), plan.limitSlack);
    }

    private static double orDefault(Double own, double plan) {
      return own == null ? plan : own;
    }
  }

  /** As the module has them. */
  public HostScheduler.Plan toSchedulerPlan(String name) {
    return new HostScheduler.Plan(name, rate, reserve, weight, price, limit, limitBurst, limitSlack);
  }
}
