package hollyslip.tenant;

import java.util.Map;

/** Desired values of resources, as requested by administrators. They are complete: a merge patch has already
 * been applied to the current values. */
public final class Specs {
  private Specs() {}

  /** Desired values of a tenant. */
  public record TenantSpec(String name, double weight, Tenant.Quota quota, Map<String, Long> members) {
    public static TenantSpec of(Tenant t) {
      return new TenantSpec(t.name(), t.weight(), t.quota(), t.members());
    }
  }

  /** Desired values of a volume. */
  public record VolumeSpec(String name, String plan, Terms.Overrides overrides, long bytes,
      long extentBytes) {
    public static VolumeSpec of(HostedVolume v) {
      return new VolumeSpec(v.name(), v.plan(), v.overrides(), v.bytes(), v.extentBytes());
    }
  }

  /** Desired values of a plan. */
  public record PlanSpec(String name, Terms terms) {}
}
