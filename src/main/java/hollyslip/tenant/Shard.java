package hollyslip.tenant;

import java.util.List;

/** A shard and its capacity, from the settings of the fleet.
 *
 * @param number
 *          number of the shard
 * @param zone
 *          zone of the shard's node
 * @param capacity
 *          units per second that may be reserved on it
 * @param bytes
 *          size in bytes
 * @param excludedRanges
 *          byte ranges that hosted volumes must not use */
public record Shard(int number, String zone, double capacity, long bytes, List<Range> excludedRanges) {
  /** A byte range from {@code from} (inclusive) to {@code to} (exclusive). */
  public record Range(long from, long to) {}

  public Shard {
    excludedRanges = List.copyOf(excludedRanges);
  }
}
