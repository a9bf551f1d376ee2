package hollyslip.tenant;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/** One decision as it is recorded: all of its changes or none.
 *
 * @param version
 *          version of the record's form
 * @param at
 *          when, ms since 1970
 * @param who
 *          whose command it was; "gateway" for its own steps
 * @param what
 *          the command, in a word or two
 * @param target
 *          path of what it was about
 * @param changes
 *          in order */
public record ChangeSet(@JsonProperty("v") int version, long at, String who, String what, String target,
    List<Change> changes) {
  /** Form of the records written by this program. */
  public static final int FORMAT_VERSION = 1;

  public ChangeSet {
    if (version < 1 || version > FORMAT_VERSION) {
      throw new IllegalArgumentException("record: version " + version
          + " is not known to this program, which knows " + FORMAT_VERSION);
    }
    changes = List.copyOf(changes);
  }

  ChangeSet(long at, String who, String what, String target, List<Change> changes) {
    this(FORMAT_VERSION, at, who, what, target, changes);
  }
}
