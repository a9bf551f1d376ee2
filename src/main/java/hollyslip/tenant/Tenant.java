package hollyslip.tenant;

import java.util.Map;
import java.util.TreeMap;

/** A tenant: an owner of volumes with a quota and members.
 *
 * @param id
 *          unique and never reused
 * @param name
 *          name, unique among the tenants that are not removed
 * @param revision
 *          number of changes by administrators, starting at 1; the gateway's own steps do not count
 * @param phase
 *          lifecycle phase
 * @param weight
 *          share of the capacity relative to other tenants
 * @param quota
 *          limits for all volumes of the tenant together
 * @param members
 *          user ids by name of those who may attach to the tenant's volumes */
public record Tenant(long id, String name, long revision, Phase phase, double weight, Quota quota,
    Map<String, Long> members) {

  /** Limits of a tenant: reserve in units per second, bytes, and number of volumes. */
  public record Quota(double reserve, long bytes, int volumes) {
    public Quota {
      Terms.requireInRange(reserve, 0, "quota.reserve");
      if (bytes < 0) {
        throw CommandRejectedException.invalid("quota.bytes", "quota.bytes must be at least 0, not " + bytes);
      }
      Terms.requireInRange(volumes, 0, "quota.volumes");
    }
  }

  public Tenant {
    members = new TreeMap<>(members);
  }

  Tenant withPhase(long nextRevision, Phase next) {
    if (!phase.canBecome(next)) {
      throw CommandRejectedException.conflict("tenant", "tenant " + name + " is " + phase
          + " and cannot become " + next);
    }
    return new Tenant(id, name, nextRevision, next, weight, quota, members);
  }
}
