package hollyslip.tenant;

import java.util.Map;
import java.util.TreeMap;

/** A tenant.
 *
 * @param id
 *          never given twice
 * @param name
 *          unique among those that are not removed
 * @param revision
 *          counts changes by administrators, from 1; steps of the gateway do not count
 * @param phase
 *          where it is
 * @param weight
 *          share among tenants
 * @param quota
 *          what its volumes may have together
 * @param members
 *          its people: user numbers by name; they may attach to its volumes */
public record Tenant(long id, String name, long revision, Phase phase, double weight, Quota quota,
    Map<String, Long> members) {

  /** Bounds of a tenant: reserve in units a second, bytes, count of volumes. */
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
