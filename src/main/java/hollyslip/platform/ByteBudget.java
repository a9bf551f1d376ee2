package hollyslip.platform;

/** A limit on the bytes that are held for a group of peers, and how many of them are in use. */
final class ByteBudget {
  /** Called with the bytes wanted when there is no room for them; may release others. */
  interface ShortageListener {
    void makeRoom(long bytes);
  }

  private final long limit;
  private ShortageListener shortageListener = bytes -> {};
  private long used;

  ByteBudget(long limit) {
    this.limit = limit;
  }

  /** Whether this many more bytes are within the limit. */
  boolean hasRoom(long bytes) {
    return used + bytes <= limit;
  }

  void onShortage(ShortageListener listener) {
    shortageListener = listener;
  }

  /** Like {@link #hasRoom}, after the shortage listener has had its chance to release bytes. */
  boolean ensureRoom(long bytes) {
    if (!hasRoom(bytes)) {
      shortageListener.makeRoom(bytes);
    }
    return hasRoom(bytes);
  }

  /** Reserves bytes; returns false, without reserving any, if there is no room for them. */
  boolean tryReserve(long bytes) {
    if (!ensureRoom(bytes)) {
      return false;
    }
    used += bytes;
    return true;
  }

  /** Reserves bytes that must be held even beyond the limit. */
  void reserve(long bytes) {
    used += bytes;
  }

  void release(long bytes) {
    used -= bytes;
  }

  long used() {
    return used;
  }
}
