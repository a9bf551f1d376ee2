package hollyslip.tenant;

import java.util.Map;

/** What administrators ask for: whole values; a merge patch has been laid over the present ones before. */
public final class Wish {
  private Wish() {}

  /** A tenant. */
  public record ForTenant(String name, double weight, Tenant.Quota quota, Map<String, Long> members) {
    public static ForTenant of(Tenant t) {
      return new ForTenant(t.name(), t.weight(), t.quota(), t.members());
    }
  }

  /** A volume. */
  public record ForVolume(String name, String plan, Terms.Overrides overrides, long bytes, long extentBytes) {
    public static ForVolume of(HostedVolume v) {
      return new ForVolume(v.name(), v.plan(), v.overrides(), v.bytes(), v.extentBytes());
    }
  }

  /** A plan. */
  public record ForPlan(String name, Terms terms) {}
}
