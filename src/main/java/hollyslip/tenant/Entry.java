package hollyslip.tenant;

import java.util.List;

/** One decision as it is recorded: all of its changes or none.
 *
 * @param v
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
public record Entry(int v, long at, String who, String what, String target, List<Change> changes) {
  /** Form of the records written by this program. */
  public static final int VERSION = 1;

  public Entry {
    if (v < 1 || v > VERSION) {
      throw new IllegalArgumentException("record: version " + v
          + " is not known to this program, which knows " + VERSION);
    }
    changes = List.copyOf(changes);
  }

  Entry(long at, String who, String what, String target, List<Change> changes) {
    this(VERSION, at, who, what, target, changes);
  }
}
