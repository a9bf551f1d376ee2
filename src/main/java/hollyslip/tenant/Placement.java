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
  private final Ledger ledger;
  private final double each;
  private final long size;
  private final Map<String, Integer> inZone = new HashMap<>();
  private final Map<String, Integer> shardsOf = new HashMap<>();
  private final Map<Integer, Integer> onShard = new HashMap<>();

  /** @param each
   *          units a second that an extent brings with it
   * @param size
   *          bytes of an extent */
  Placement(Ledger ledger, double each, long size) {
    this.ledger = ledger;
    this.each = each;
    this.size = size;
    ledger.accounts().forEach(a -> shardsOf.merge(a.shard.zone(), 1, Integer::sum));
  }

  private double left(Ledger.Account a) {
    return a.free() - each * onShard.getOrDefault(a.shard.number(), 0);
  }

  private double crowd(Ledger.Account a) {
    String zone = a.shard.zone();
    return (double) inZone.getOrDefault(zone, 0) / shardsOf.get(zone);
  }

  private void note(int shard, int n) {
    Ledger.Account a = ledger.account(shard);
    onShard.merge(shard, n, Integer::sum);
    if (a != null) {
      inZone.merge(a.shard.zone(), n, Integer::sum);
    }
  }

  /** Places so many more extents; the ledger's bytes are taken, its reserve is not.
   *
   * @param before
   *          extents that the volume has; their reserve is not in the ledger at this time
   * @throws Refusal
   *           with the figures, and nothing is taken */
  List<Volume.Extent> place(int count, List<Volume.Extent> before) {
    Ledger.counts(before).forEach(this::note);
    List<Volume.Extent> placed = new ArrayList<>(count);
    Comparator<Ledger.Account> order = Comparator.comparingDouble(this::crowd)
        .thenComparingDouble(a -> -left(a))
        .thenComparingInt(a -> onShard.getOrDefault(a.shard.number(), 0))
        .thenComparingInt(a -> a.shard.number());
    for (int i = 0; i < count; i++) {
      Ledger.Account best = ledger.accounts()
          .stream()
          .filter(a -> left(a) >= each && a.roomFor(size))
          .min(order)
          .orElse(null);
      if (best == null) {
        ledger.give(placed, size);
        throw noRoom(count, i);
      }
      placed.add(ledger.take(best.shard.number(), size));
      note(best.shard.number(), 1);
    }
    return placed;
  }

  private Refusal noRoom(int count, int fitted) {
    double free = ledger.accounts().stream().mapToDouble(Ledger.Account::free).sum();
    long freeBytes = ledger.accounts().stream().mapToLong(Ledger.Account::freeBytes).sum();
    return new Refusal(Refusal.Kind.NO_ROOM, "bytes", "of " + count + " extents of " + size + " bytes with "
        + Plain.text(each) + " units a second each, " + fitted + " fit on the shards", Map.of("extents",
            count, "would_fit_extents", fitted, "would_fit_bytes", fitted * size, "free_reserve", free,
            "free_bytes", freeBytes));
  }
}
