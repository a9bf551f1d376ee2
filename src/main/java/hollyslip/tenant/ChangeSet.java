package hollyslip.tenant;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/** The changes made by one command. They are recorded and applied as a unit.
 *
 * @param version
 *          format version of the record
 * @param at
 *          time of the command, ms since the Unix epoch
 * @param who
 *          who issued the command; "gateway" for the gateway's own steps
 * @param what
 *          name of the command
 * @param target
 *          path of the affected resource
 * @param changes
 *          changes, in the order in which they apply */
public record ChangeSet(@JsonProperty("v") int version, long at, String who, String what, String target,
    List<Change> changes) {
  /** Format version of the records that this program writes. */
  public static final int FORMAT_VERSION = 1;

  public ChangeSet {
    if (version < 1 || version > FORMAT_VERSION) {
      throw new IllegalArgumentException("record: version " + version
          + " is not supported; the latest supported version is " + FORMAT_VERSION);
    }
    changes = List.copyOf(changes);
  }

  ChangeSet(long at, String who, String what, String target, List<Change> changes) {
    this(FORMAT_VERSION, at, who, what, target, changes);
  }
}
