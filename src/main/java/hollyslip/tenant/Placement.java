package hollyslip.tenant;

import hollyslip.volume.Volume;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Chooses shards for the extents of a volume. Each extent goes to a shard with room for it: in the zone with
 * the fewest extents of the volume per shard, there on the shard with the most free reserve after the extents
 * placed so far, then on the one with the fewest extents of the volume. An extent is placed once; its
 * location is recorded and never computed again. */
final class Placement {
  private final ShardAllocations allocations;
  private final double reservePerExtent;
  private final long extentBytes;
  private final Map<String, Integer> extentsByZone = new HashMap<>();
  private final Map<String, Integer> shardsByZone = new HashMap<>();
  private final Map<Integer, Integer> extentsByShard = new HashMap<>();

  /** @param reservePerExtent
   *          reserve that each extent needs, units per second
   * @param extentBytes
   *          extent size in bytes */
  Placement(ShardAllocations allocations, double reservePerExtent, long extentBytes) {
    this.allocations = allocations;
    this.reservePerExtent = reservePerExtent;
    this.extentBytes = extentBytes;
    allocations.allocations().forEach(a -> shardsByZone.merge(a.shard.zone(), 1, Integer::sum));
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

  /** Places {@code count} more extents. Their byte ranges are allocated; their reserve is not added.
   *
   * @param existing
   *          extents that the volume already has; their reserve must not be counted in the allocations at
   *          this time
   * @throws CommandRejectedException
   *           the extents do not fit; nothing is allocated, and the figures say what would fit */
  List<Volume.Extent> place(int count, List<Volume.Extent> existing) {
    ShardAllocations.extentsPerShard(existing).forEach(this::countExtents);
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
        + " extents of " + extentBytes + " bytes with " + NumberFormatter.formatNumber(reservePerExtent)
        + " units per second each, " + fitted + " fit on the shards", Map.of("extents", count,
            "would_fit_extents", fitted, "would_fit_bytes", fitted * extentBytes, "free_reserve", free,
            "free_bytes", freeBytes));
  }
}
