package hollyslip.door;

/** Who was told to come back, and when: a table of fixed size, by two hashes of the owner. An appointment
 * that finds both its places held by others that are still to come is not kept: with n of them outstanding in
 * m places that is at most the part (n / m) squared. It costs its owner a second turn; an owner who takes
 * another's for its own wins a place in the line. */
final class RetryReservations {
  /** Places, a power of two; four bytes each. */
  static final int SLOTS = 1 << 20;

  /** Unit of the table's times, us. */
  private static final long TICK_US = 1_000;

  private static final int[] UNALLOCATED = {};

  /** Made with the first appointment: a door that turns nobody away needs none of it. */
  private int[] dueTicks = UNALLOCATED;

  private static int slot(String tenant, long volume, long salt) {
    long h = (tenant.hashCode() + salt) * 0x9E3779B97F4A7C15L + volume;
    h = (h ^ h >>> 30) * 0xBF58476D1CE4E5B9L;
    h = (h ^ h >>> 27) * 0x94D049BB133111EBL;
    return (int) (h ^ h >>> 31) & SLOTS - 1;
  }

  private static int tick(long at) {
    return (int) (at / TICK_US) | 1;
  }

  private boolean isDue(int place, long now) {
    return dueTicks[place] == 0 || tick(now) - dueTicks[place] >= 0;
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

  /** Whether the owner has an appointment that is due; it is used up then. */
  boolean consume(long now, String tenant, long volume) {
    return dueTicks != UNALLOCATED && consumeEither(now, tenant, volume);
  }

  private boolean consumeEither(long now, String tenant, long volume) {
    return consume(now, slot(tenant, volume, 0)) || consume(now, slot(tenant, volume, 1));
  }

  private boolean consume(long now, int place) {
    boolean kept = dueTicks[place] != 0 && isDue(place, now);
    if (kept) {
      dueTicks[place] = 0;
    }
    return kept;
  }
}
