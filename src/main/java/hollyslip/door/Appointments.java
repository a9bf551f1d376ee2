package hollyslip.door;

/** Who was told to come back, and when: a table of fixed size, by two hashes of the owner. An appointment
 * that finds both its places held by others that are still to come is not kept: with n of them outstanding in
 * m places that is at most the part (n / m) squared. It costs its owner a second turn; an owner who takes
 * another's for its own wins a place in the line. */
final class Appointments {
  /** Places, a power of two; four bytes each. */
  static final int PLACES = 1 << 20;

  /** Unit of the table's times, us. */
  private static final long TICK = 1_000;

  private static final int[] NONE = {};

  /** Made with the first appointment: a door that turns nobody away needs none of it. */
  private int[] due = NONE;

  private static int place(String tenant, long volume, long salt) {
    long h = (tenant.hashCode() + salt) * 0x9E3779B97F4A7C15L + volume;
    h = (h ^ h >>> 30) * 0xBF58476D1CE4E5B9L;
    h = (h ^ h >>> 27) * 0x94D049BB133111EBL;
    return (int) (h ^ h >>> 31) & PLACES - 1;
  }

  private static int tick(long at) {
    return (int) (at / TICK) | 1;
  }

  private boolean past(int place, long now) {
    return due[place] == 0 || tick(now) - due[place] >= 0;
  }

  void make(long now, long at, String tenant, long volume) {
    due = due == NONE ? new int[PLACES] : due;
    int first = place(tenant, volume, 0);
    int second = place(tenant, volume, 1);
    if (past(first, now)) {
      due[first] = tick(at);
    } else if (past(second, now)) {
      due[second] = tick(at);
    }
  }

  /** Whether the owner has an appointment that is due; it is used up then. */
  boolean keeps(long now, String tenant, long volume) {
    return due != NONE && keepsAny(now, tenant, volume);
  }

  private boolean keepsAny(long now, String tenant, long volume) {
    return keeps(now, place(tenant, volume, 0)) || keeps(now, place(tenant, volume, 1));
  }

  private boolean keeps(long now, int place) {
    boolean kept = due[place] != 0 && past(place, now);
    if (kept) {
      due[place] = 0;
    }
    return kept;
  }
}
