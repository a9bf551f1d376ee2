package hollyslip.admission;

/** Reserved retry times per owner: a table of fixed size, with two candidate slots for each owner by hash. A
 * reservation whose slots are both taken by pending reservations of others is dropped; with n pending in m
 * slots that happens to at most (n / m) squared of them. A dropped reservation costs its owner another
 * rejection; an owner who consumes a reservation of another with the same slot is queued without its own. */
final class RetryReservations {
  /** Number of slots, a power of two; four bytes each. */
  static final int SLOTS = 1 << 20;

  /** Time unit of the table, us. */
  private static final long TICK_US = 1_000;

  private static final int[] UNALLOCATED = {};

  /** Allocated with the first reservation, so that a queue that rejects nothing does without it. */
  private int[] dueTicks = UNALLOCATED;

  private static int slot(String tenant, long volume, long salt) {
    long hash = (tenant.hashCode() + salt) * 0x9E3779B97F4A7C15L + volume;
    hash = (hash ^ hash >>> 30) * 0xBF58476D1CE4E5B9L;
    hash = (hash ^ hash >>> 27) * 0x94D049BB133111EBL;
    return (int) (hash ^ hash >>> 31) & SLOTS - 1;
  }

  private static int tick(long at) {
    return (int) (at / TICK_US) | 1;
  }

  private boolean isDue(int slot, long now) {
    return dueTicks[slot] == 0 || tick(now) - dueTicks[slot] >= 0;
  }

  void reserve(long now, long at, String tenant, long volume) {
    dueTicks = dueTicks == UNALLOCATED ? new int[SLOTS] : dueTicks;
    int first = slot(tenant, volume, 0);
    int second = slot(tenant, volume, 1);
    if (isDue(first, now)) {
      dueTicks[first] = tick(at);
    } else if (isDue(second, now)) {
      dueTicks[second] = tick(at);
    }
  }

  /** Consumes a due reservation of the owner; returns whether there was one. */
  boolean consume(long now, String tenant, long volume) {
    return dueTicks != UNALLOCATED && consumeEither(now, tenant, volume);
  }

  private boolean consumeEither(long now, String tenant, long volume) {
    return consume(now, slot(tenant, volume, 0)) || consume(now, slot(tenant, volume, 1));
  }

  private boolean consume(long now, int slot) {
    boolean consumed = dueTicks[slot] != 0 && isDue(slot, now);
    if (consumed) {
      dueTicks[slot] = 0;
    }
    return consumed;
  }
}
