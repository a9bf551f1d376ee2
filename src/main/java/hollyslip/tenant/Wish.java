package hollyslip.tenant;

import java.util.Map;

/** Desired values of resources, as requested by administrators. They are complete: a merge patch has already
 * been applied to the current values. */
public final class Wish {
  private Wish() {}

  /** Desired values of a tenant. */
  public record ForTenant(String name, double weight, Tenant.Quota quota, Map<String, Long> members) {
    public static ForTenant of(Tenant t) {
      return new ForTenant(t.name(), t.weight(), t.quota(), t.members());
    }
  }

  /** Desired values of a volume. */
  public record ForVolume(String name, String plan, Terms.Overrides overrides, long bytes, long extentBytes) {
    public static ForVolume of(HostedVolume v) {
      return new ForVolume(v.name(), v.plan(), v.overrides(), v.bytes(), v.extentBytes());
    }
  }

  /** Desired values of a plan. */
  public record ForPlan(String name, Terms terms) {}
}
