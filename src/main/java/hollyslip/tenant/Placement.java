package hollyslip.tenant;

import hollyslip.volume.Volume;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Where the extents of a volume go. Extent by extent, to a shard with room for it: in the zone that has the
 * fewest extents of the volume for the shards it has, on the shard there with most free reserve after what
 * was placed so far, then with fewest extents of the volume. It is asked once for each extent; the answer is
 * recorded and never worked out again. */
final class Placement {
  private final ShardAllocations allocations;
  private final double reservePerExtent;
  private final long extentBytes;
  private final Map<String, Integer> extentsByZone = new HashMap<>();
  private final Map<String, Integer> shardsByZone = new HashMap<>();
  private final Map<Integer, Integer> extentsByShard = new HashMap<>();

  /** @param each
   *          units a second that an extent brings with it
   * @param size
   *          bytes of an extent */
  Placement(ShardAllocations ledger, double each, long size) {
    this.allocations = ledger;
    this.reservePerExtent = each;
    this.extentBytes = size;
    ledger.allocations().forEach(a -> shardsByZone.merge(a.shard.zone(), 1, Integer::sum));
  }

  private double remainingReserve(ShardAllocations.Allocation a) {
    return a.freeReserve() - reservePerExtent * extentsByShard.getOrDefault(a.shard.number(), 0);
  }

  private double extentsPerZoneShard(ShardAllocations.Allocation a) {
    String zone = a.shard.zone();
    return (double) extentsByZone.getOrDefault(zone, 0) / shardsByZone.get(zone);
  }

  private void countExtents(int shard, int n) {
    ShardAllocations.Allocation a = allocations.allocation(shard);
    extentsByShard.merge(shard, n, Integer::sum);
    if (a != null) {
      extentsByZone.merge(a.shard.zone(), n, Integer::sum);
    }
  }

  /** Places so many more extents; the ledger's bytes are taken, its reserve is not.
   *
   * @param before
   *          extents that the volume has; their reserve is not in the ledger at this time
   * @throws CommandRejectedException
   *           with the figures, and nothing is taken */
  List<Volume.Extent> place(int count, List<Volume.Extent> before) {
    ShardAllocations.extentsPerShard(before).forEach(this::countExtents);
    List<Volume.Extent> placed = new ArrayList<>(count);
    Comparator<ShardAllocations.Allocation> order = Comparator.comparingDouble(this::extentsPerZoneShard)
        .thenComparingDouble(a -> -remainingReserve(a))
        .thenComparingInt(a -> extentsByShard.getOrDefault(a.shard.number(), 0))
        .thenComparingInt(a -> a.shard.number());
    for (int i = 0; i < count; i++) {
      ShardAllocations.Allocation best = allocations.allocations()
          .stream()
          .filter(a -> remainingReserve(a) >= reservePerExtent && a.hasRoomFor(extentBytes))
          .min(order)
          .orElse(null);
      if (best == null) {
        allocations.release(placed, extentBytes);
        throw doesNotFit(count, i);
      }
      placed.add(allocations.allocateExtent(best.shard.number(), extentBytes));
      countExtents(best.shard.number(), 1);
    }
    return placed;
  }

  private CommandRejectedException doesNotFit(int count, int fitted) {
    double free = allocations.allocations()
        .stream()
        .mapToDouble(ShardAllocations.Allocation::freeReserve)
        .sum();
    long freeBytes = allocations.allocations()
        .stream()
        .mapToLong(ShardAllocations.Allocation::freeBytes)
        .sum();
    return new CommandRejectedException(CommandRejectedException.Reason.NO_ROOM, "bytes", "of " + count
        + " extents of " + extentBytes + " bytes with "
        + Plain.formatNumber(reservePerExtent) + " units a second each, " + fitted + " fit on the shards", Map
            .of("extents",
                count, "would_fit_extents", fitted, "would_fit_bytes", fitted * extentBytes, "free_reserve",
                free,
                "free_bytes", freeBytes));
  }
}
