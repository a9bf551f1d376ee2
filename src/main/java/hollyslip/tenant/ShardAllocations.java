package hollyslip.tenant;

import hollyslip.volume.Volume;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What of each shard is given away: promised units a second and ranges of bytes. It follows from the volumes
 * alone, so it is never stored. */
final class ShardAllocations {
  private final Map<Integer, Allocation> allocations = new TreeMap<>();

  /** One shard's. */
  static final class Allocation {
    final Shard shard;
    /** Free ranges: from, to. */
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

    /** Where so many bytes in a row begin, the first that are free; -1: nowhere. */
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
        // Taken already, wholly or in part: only the free part goes.
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
      Map.Entry<Long, Long> before = freeRanges.floorEntry(from);
      if (before != null && before.getValue() == from) {
        start = before.getKey();
      }
      Long behind = freeRanges.remove(to);
      if (behind != null) {
        end = behind;
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

  /** Null: the fleet does not have this shard (any more). */
  Allocation allocation(int shard) {
    return allocations.get(shard);
  }

  double capacity() {
    return allocations.values().stream().mapToDouble(a -> a.shard.capacity()).sum();
  }

  /** Extents by shard. */
  static Map<Integer, Integer> extentsPerShard(List<Volume.Extent> extents) {
    Map<Integer, Integer> counts = new HashMap<>();
    extents.forEach(e -> counts.merge(e.shard(), 1, Integer::sum));
    return counts;
  }

  /** Enters promised units of a volume on its shards; negative: takes them out. */
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

  /** Takes the first free bytes of a shard. */
  Volume.Extent allocateExtent(int shard, long size) {
    Allocation a = allocations.get(shard);
    long at = a.findFree(size);
    a.occupy(at, at + size);
    return new Volume.Extent(shard, at);
  }
}
