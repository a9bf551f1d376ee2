package hollyslip.volume;

import java.util.ArrayList;
import java.util.List;

/** Cuts a request where it crosses from one extent to the next. A request inside one extent stays one part.
 * Parts that follow one another on the same shard without a gap are one part again, up to {@code mostBytes}:
 * the seam for merging neighbours of different requests. */
public final class Splitter {
  private final long maxRangeBytes;

  /** @param mostBytes
   *          longest part, bytes: what a node takes in one command */
  public Splitter(long mostBytes) {
    if (mostBytes < Volume.BLOCK || mostBytes % Volume.BLOCK != 0) {
      throw new IllegalArgumentException("mostBytes: must be a multiple of " + Volume.BLOCK + ", not "
          + mostBytes);
    }
    this.maxRangeBytes = mostBytes;
  }

  /** A part of a request: {@code from} bytes into the request, at {@code offset} of the shard. */
  public record ShardRange(int shard, long offset, long requestOffset, long length) {}

  /** The parts of a range, in order; the range must lie inside the volume. */
  public List<ShardRange> split(Volume volume, long offset, long length) {
    if (!volume.holds(offset, length)) {
      throw new IllegalArgumentException("range " + offset + "+" + length + " is not inside volume " + volume
          .name());
    }
    List<ShardRange> parts = new ArrayList<>(1);
    long done = 0;
    while (done < length) {
      long at = offset + done;
      Volume.Extent extent = volume.extents().get((int) (at / volume.extentBytes()));
      long inside = at % volume.extentBytes();
      long n = Math.min(Math.min(length - done, volume.extentBytes() - inside), maxRangeBytes);
      ShardRange last = parts.isEmpty() ? null : parts.get(parts.size() - 1);
      if (last != null && last.shard == extent.shard() && last.offset + last.length == extent.offset()
          + inside && last.length + n <= maxRangeBytes) {
        parts.set(parts.size() - 1, new ShardRange(last.shard, last.offset, last.requestOffset, last.length + n));
      } else {
        parts.add(new ShardRange(extent.shard(), extent.offset() + inside, done, n));
      }
      done += n;
    }
    return parts;
  }

  /** Every shard on which a volume lies, once each, in order: where a flush goes. */
  public static List<Integer> shards(Volume volume) {
    return volume.extents().stream().map(Volume.Extent::shard).distinct().sorted().toList();
  }
}
