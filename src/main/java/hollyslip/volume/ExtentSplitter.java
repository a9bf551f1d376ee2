package hollyslip.volume;

import java.util.ArrayList;
import java.util.List;

/** Splits a request along extents. Consecutive parts without a gap on the same shard are joined again, up to
 * the maximum length; merging neighbouring ranges of different requests would start here. */
public final class ExtentSplitter {
  private final long maxRangeBytes;

  /** @param maxRangeBytes
   *          maximum length of a range in bytes, the limit of one command to a node */
  public ExtentSplitter(long maxRangeBytes) {
    if (maxRangeBytes < Volume.BLOCK_BYTES || maxRangeBytes % Volume.BLOCK_BYTES != 0) {
      throw new IllegalArgumentException("maxRangeBytes: must be a multiple of " + Volume.BLOCK_BYTES
          + ", not " + maxRangeBytes);
    }
    this.maxRangeBytes = maxRangeBytes;
  }

  /** A range of a shard that holds part of a request, which starts {@code requestOffset} bytes into the
   * request. */
  public record ShardRange(int shard, long offset, long requestOffset, long length) {}

  /** Splits a range, which must lie inside the volume, into shard ranges in order. */
  public List<ShardRange> split(Volume volume, long offset, long length) {
    if (!volume.containsRange(offset, length)) {
      throw new IllegalArgumentException("range " + offset + "+" + length + " is not inside volume " + volume
          .name());
    }
    List<ShardRange> ranges = new ArrayList<>(1);
    long done = 0;
    while (done < length) {
      long position = offset + done;
      Volume.Extent extent = volume.extents().get((int) (position / volume.extentBytes()));
      long extentOffset = position % volume.extentBytes();
      long count = Math.min(Math.min(length - done, volume.extentBytes() - extentOffset), maxRangeBytes);
      ShardRange last = ranges.isEmpty() ? null : ranges.get(ranges.size() - 1);
      if (last != null && last.shard == extent.shard() && last.offset + last.length == extent.offset()
          + extentOffset && last.length + count <= maxRangeBytes) {
        ranges.set(ranges.size() - 1, new ShardRange(last.shard, last.offset, last.requestOffset, last.length
            + count));
      } else {
        ranges.add(new ShardRange(extent.shard(), extent.offset() + extentOffset, done, count));
      }
      done += count;
    }
    return ranges;
  }

  /** The shards that a volume lies on, without duplicates and in ascending order; a flush goes to each of
   * them. */
  public static List<Integer> shards(Volume volume) {
    return volume.extents().stream().map(Volume.Extent::shard).distinct().sorted().toList();
  }
}
