package hollyslip.tenant;

import hollyslip.volume.Volume;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What of each shard is given away: promised units a second and ranges of bytes. It follows from the volumes
 * alone, so it is never stored. */
final class Ledger {
  private final Map<Integer, Account> accounts = new TreeMap<>();

  /** One shard's. */
  static final class Account {
    final Shard shard;
    /** Free ranges: from, to. */
    private final TreeMap<Long, Long> free = new TreeMap<>();
    private double reserved;

    private Account(Shard shard) {
      this.shard = shard;
      give(0, shard.bytes());
      shard.taken().forEach(r -> occupy(r.from(), Math.min(r.to(), shard.bytes())));
    }

    double free() {
      return shard.capacity() - reserved;
    }

    double reserved() {
      return reserved;
    }

    /** Where so many bytes in a row begin, the first that are free; -1: nowhere. */
    private long find(long size) {
      for (Map.Entry<Long, Long> e : free.entrySet()) {
        if (e.getValue() - e.getKey() >= size) {
          return e.getKey();
        }
      }
      return -1;
    }

    boolean roomFor(long size) {
      return find(size) >= 0;
    }

    long freeBytes() {
      return free.entrySet().stream().mapToLong(e -> e.getValue() - e.getKey()).sum();
    }

    private void occupy(long from, long to) {
      Map.Entry<Long, Long> e = free.floorEntry(from);
      if (e == null || e.getValue() < to) {
        // Taken already, wholly or in part: only the free part goes.
        free.subMap(from, to).keySet().stream().toList().forEach(k -> split(k, free.get(k), from, to));
        if (e != null && e.getValue() > from) {
          split(e.getKey(), e.getValue(), from, to);
        }
        return;
      }
      split(e.getKey(), e.getValue(), from, to);
    }

    private void split(long key, long end, long from, long to) {
      free.remove(key);
      if (key < from) {
        free.put(key, from);
      }
      if (end > to) {
        free.put(to, end);
      }
    }

    private void give(long from, long to) {
      long start = from;
      long end = to;
      Map.Entry<Long, Long> before = free.floorEntry(from);
      if (before != null && before.getValue() == from) {
        start = before.getKey();
      }
      Long behind = free.remove(to);
      if (behind != null) {
        end = behind;
      }
      if (end > start) {
        free.put(start, end);
      }
    }
  }

  Ledger(Collection<Shard> shards) {
    shards.forEach(s -> accounts.put(s.number(), new Account(s)));
  }

  Collection<Account> accounts() {
    return accounts.values();
  }

  /** Null: the fleet does not have this shard (any more). */
  Account account(int shard) {
    return accounts.get(shard);
  }

  double capacity() {
    return accounts.values().stream().mapToDouble(a -> a.shard.capacity()).sum();
  }

  /** Extents by shard. */
  static Map<Integer, Integer> counts(List<Volume.Extent> extents) {
    Map<Integer, Integer> counts = new HashMap<>();
    extents.forEach(e -> counts.merge(e.shard(), 1, Integer::sum));
    return counts;
  }

  /** Enters promised units of a volume on its shards; negative: takes them out. */
  void promise(HostedVolume v, double reserve) {
    counts(v.extents()).forEach((shard, n) -> {
      Account a = accounts.get(shard);
      if (a != null) {
        a.reserved += reserve * n / v.extents().size();
      }
    });
  }

  void occupy(List<Volume.Extent> extents, long size) {
    for (Volume.Extent e : extents) {
      Account a = accounts.get(e.shard());
      if (a != null) {
        a.occupy(e.offset(), e.offset() + size);
      }
    }
  }

  void give(List<Volume.Extent> extents, long size) {
    for (Volume.Extent e : extents) {
      Account a = accounts.get(e.shard());
      if (a != null) {
        a.give(e.offset(), e.offset() + size);
      }
    }
  }

  /** Takes the first free bytes of a shard. */
  Volume.Extent take(int shard, long size) {
    Account a = accounts.get(shard);
    long at = a.find(size);
    a.occupy(at, at + size);
    return new Volume.Extent(shard, at);
  }
}
