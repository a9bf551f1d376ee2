package hollyslip.tenant;

import hollyslip.volume.Volume;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Reserve and byte ranges allocated on each shard. They follow from the volumes alone and are never
 * stored. */
final class ShardAllocations {
  private final Map<Integer, Allocation> allocations = new TreeMap<>();

  /** Allocations on one shard. */
  static final class Allocation {
    final Shard shard;
    /** Free byte ranges: start (inclusive) to end (exclusive). */
    private final TreeMap<Long, Long> freeRanges = new TreeMap<>();
    private double reserved;

    private Allocation(Shard shard) {
      this.shard = shard;
      release(0, shard.bytes());
      shard.excludedRanges().forEach(r -> occupy(r.from(), Math.min(r.to(), shard.bytes())));
    }

    double freeReserve() {
      return shard.capacity() - reserved;
    }

    double reserved() {
      return reserved;
    }

    /** Returns the offset of the first free range of at least {@code size} bytes, or -1 if there is none. */
    private long findFree(long size) {
      for (Map.Entry<Long, Long> e : freeRanges.entrySet()) {
        if (e.getValue() - e.getKey() >= size) {
          return e.getKey();
        }
      }
      return -1;
    }

    boolean hasRoomFor(long size) {
      return findFree(size) >= 0;
    }

    long freeBytes() {
      return freeRanges.entrySet().stream().mapToLong(e -> e.getValue() - e.getKey()).sum();
    }

    private void occupy(long from, long to) {
      Map.Entry<Long, Long> e = freeRanges.floorEntry(from);
      if (e == null || e.getValue() < to) {
        // The range is allocated already, in full or in part: allocate only what is free of it.
        freeRanges.subMap(from, to)
            .keySet()
            .stream()
            .toList()
            .forEach(k -> removeRange(k, freeRanges.get(k), from, to));
        if (e != null && e.getValue() > from) {
          removeRange(e.getKey(), e.getValue(), from, to);
        }
        return;
      }
      removeRange(e.getKey(), e.getValue(), from, to);
    }

    private void removeRange(long key, long end, long from, long to) {
      freeRanges.remove(key);
      if (key < from) {
        freeRanges.put(key, from);
      }
      if (end > to) {
        freeRanges.put(to, end);
      }
    }

    private void release(long from, long to) {
      long start = from;
      long end = to;
      Map.Entry<Long, Long> preceding = freeRanges.floorEntry(from);
      if (preceding != null && preceding.getValue() == from) {
        start = preceding.getKey();
      }
      Long followingEnd = freeRanges.remove(to);
      if (followingEnd != null) {
        end = followingEnd;
      }
      if (end > start) {
        freeRanges.put(start, end);
      }
    }
  }

  ShardAllocations(Collection<Shard> shards) {
    shards.forEach(s -> allocations.put(s.number(), new Allocation(s)));
  }

  Collection<Allocation> allocations() {
    return allocations.values();
  }

  /** Returns the allocations of a shard, or null if the fleet does not have it (any more). */
  Allocation allocation(int shard) {
    return allocations.get(shard);
  }

  double capacity() {
    return allocations.values().stream().mapToDouble(a -> a.shard.capacity()).sum();
  }

  /** Returns the number of extents on each shard. */
  static Map<Integer, Integer> extentsPerShard(List<Volume.Extent> extents) {
    Map<Integer, Integer> counts = new HashMap<>();
    extents.forEach(e -> counts.merge(e.shard(), 1, Integer::sum));
    return counts;
  }

  /** Adds a volume's reserve to its shards, in proportion to its extents there; a negative reserve is
   * removed. */
  void addReserve(HostedVolume v, double reserve) {
    extentsPerShard(v.extents()).forEach((shard, n) -> {
      Allocation a = allocations.get(shard);
      if (a != null) {
        a.reserved += reserve * n / v.extents().size();
      }
    });
  }

  void occupy(List<Volume.Extent> extents, long size) {
    for (Volume.Extent e : extents) {
      Allocation a = allocations.get(e.shard());
      if (a != null) {
        a.occupy(e.offset(), e.offset() + size);
      }
    }
  }

  void release(List<Volume.Extent> extents, long size) {
    for (Volume.Extent e : extents) {
      Allocation a = allocations.get(e.shard());
      if (a != null) {
        a.release(e.offset(), e.offset() + size);
      }
    }
  }

  /** Allocates the first free range of {@code size} bytes on a shard. */
  Volume.Extent allocateExtent(int shard, long size) {
    Allocation a = allocations.get(shard);
    long at = a.findFree(size);
    a.occupy(at, at + size);
    return new Volume.Extent(shard, at);
  }
}
