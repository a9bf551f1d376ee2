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
  private static final double MOST = 1e12;

  public Terms {
    within(rate, 0, "rate");
    within(reserve, 0, "reserve");
    within(weight, 0, "weight");
    within(price, 0, "price");
    within(limit, 0, "limit");
    within(limitBurst, 0, "limit_burst");
    within(limitSlack, 0, "limit_slack");
    if (weight == 0) {
      throw Refusal.invalid("weight", "weight must be above 0");
    }
    if (limit > 0 && limitBurst <= 0) {
      throw Refusal.invalid("limit_burst", "a limit needs a limit_burst above 0");
    }
    if (limit > 0 && reserve > limit) {
      throw Refusal.invalid("reserve", "reserve " + reserve + " is above the limit " + limit);
    }
  }

  static void within(double value, double least, String field) {
    if (!(value >= least && value <= MOST)) {
      throw Refusal.invalid(field, field + " must be from " + Plain.text(least) + " to " + Plain.text(MOST)
          + ", not " + Plain.text(value));
    }
  }

  /** What a volume has otherwise than its plan; null: as the plan. */
  public record Own(Double reserve, Double weight, Double limit, Double limitBurst) {
    public static final Own NONE = new Own(null, null, null, null);

    /** The plan's terms with these instead. */
    public Terms over(Terms plan) {
      return new Terms(plan.rate, or(reserve, plan.reserve), or(weight, plan.weight), plan.price, or(limit,
          plan.limit), or(limitBurst, plan.limitBurst), plan.limitSlack);
    }

    private static double or(Double own, double plan) {
      return own == null ? plan : own;
    }
  }

  /** As the module has them. */
  public HostScheduler.Plan plan(String name) {
    return new HostScheduler.Plan(name, rate, reserve, weight, price, limit, limitBurst, limitSlack);
  }
}
