package hollyslip.tenant;

import java.util.List;

/** A shard as the fleet states it.
 *
 * @param number
 *          of the shard
 * @param zone
 *          where its node stands
 * @param capacity
 *          units a second that may be promised on it
 * @param bytes
 *          its size
 * @param excludedRanges
 *          ranges that are not for hosted volumes: {@code from}, {@code to} */
public record Shard(int number, String zone, double capacity, long bytes, List<Range> excludedRanges) {
  /** Bytes from, up to. */
  public record Range(long from, long to) {}

  public Shard {
    excludedRanges = List.copyOf(excludedRanges);
  }
}
