package hollyslip.tenant;

import com.fasterxml.jackson.annotation.JsonProperty;
import hollyslip.volume.Volume;
import java.util.List;

/** A volume of a tenant.
 *
 * @param id
 *          never given twice; the module knows the volume by it
 * @param tenant
 *          id of its tenant
 * @param name
 *          unique within the tenant
 * @param revision
 *          counts changes by administrators, from 1
 * @param phase
 *          where it is
 * @param plan
 *          name of its plan
 * @param overrides
 *          what it has otherwise than the plan
 * @param bytes
 *          size
 * @param extentBytes
 *          size of its extents
 * @param extents
 *          where they lie: decided once, then only added to */
public record HostedVolume(long id, long tenant, String name, long revision, Phase phase, String plan,
    @JsonProperty("own") Terms.Overrides overrides, long bytes, long extentBytes,
    List<Volume.Extent> extents) {
  public HostedVolume {
    extents = List.copyOf(extents);
  }

  HostedVolume withPhase(long nextRevision, Phase next) {
    if (!phase.canBecome(next)) {
      throw CommandRejectedException.conflict("volume", "volume " + name + " is " + phase
          + " and cannot become " + next);
    }
    return new HostedVolume(id, tenant, name, nextRevision, next, plan, overrides, bytes, extentBytes,
        extents);
  }
}
