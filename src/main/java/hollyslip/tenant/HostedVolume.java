package hollyslip.tenant;

import com.fasterxml.jackson.annotation.JsonProperty;
import hollyslip.volume.Volume;
import java.util.List;

/** A volume of a tenant, as recorded in the registry.
 *
 * @param id
 *          unique and never reused; the scheduler knows the volume by it
 * @param tenant
 *          id of the tenant that owns the volume
 * @param name
 *          unique within the tenant
 * @param revision
 *          number of changes by administrators, starting at 1
 * @param phase
 *          lifecycle phase
 * @param plan
 *          name of the volume's plan
 * @param overrides
 *          terms that differ from the plan's
 * @param bytes
 *          size in bytes
 * @param extentBytes
 *          extent size in bytes
 * @param extents
 *          location of each extent; chosen once, later only extended */
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
