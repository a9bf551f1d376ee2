package hollyslip.platform;

import org.agrona.collections.Long2LongHashMap;

/** Remembers the transaction ids for which something was sent to a disk server, so that nothing is sent for
 * them again once they have ended: an id comes a second time only if the scheduler did not read it the first
 * time, so one that was sent comes from a client that does not know what has become of it. An id is kept at
 * least until its client gives up, and after that for as long as there is room. Keeps a hash of each id, in
 * memory of fixed size. Does no I/O and has no clock; times are passed in, us. */
final class SentTransactions {
  private static final long ABSENT = Long.MIN_VALUE;

  private static final long HASH_MULTIPLIER = 0x100000001b3L, MIX_MULTIPLIER = 0x9e3779b97f4a7c15L;

  private final int capacity;
  private final long hashSeed;
  /** Ids by age, as a ring of hashes, and until when the room of each may not be given away. */
  private final long[] hashes, keepUntil;
  private int oldest, size;
  /** Number of ring entries by hash. */
  private final Long2LongHashMap entriesByHash = new Long2LongHashMap(ABSENT);

  /** @param capacity
   *          how many ids are remembered
   * @param hashSeed
   *          unpredictable, so that clients cannot choose ids with equal hashes */
  SentTransactions(int capacity, long hashSeed) {
    this.capacity = capacity;
    this.hashSeed = hashSeed;
    hashes = new long[capacity];
    keepUntil = new long[capacity];
  }

  boolean contains(String transactionId) {
    return entriesByHash.get(hash(transactionId)) != ABSENT;
  }

  /** Whether {@code count} more ids can be added at {@code now} without forgetting one whose client may still
   * wait. */
  boolean hasRoom(int count, long now) {
    int missing = size + count - capacity;
    return missing <= 0 || missing <= size && keepUntil[(oldest + missing - 1) % capacity] <= now;
  }

  /** Adds an id, and forgets the oldest one if there is no room.
   *
   * @param clientWaitsUntil
   *          when the client of the request gives up, us */
  void add(String transactionId, long clientWaitsUntil) {
    if (size == capacity) {
      forgetOldest();
    }
    int index = (oldest + size) % capacity;
    long hash = hash(transactionId);
    hashes[index] = hash;
    keepUntil[index] = size == 0
        ? clientWaitsUntil
        : Math.max(clientWaitsUntil, keepUntil[(index + capacity - 1) % capacity]);
    size++;
    long entries = entriesByHash.get(hash);
    entriesByHash.put(hash, entries == ABSENT ? 1 : entries + 1);
  }

  int size() {
    return size;
  }

  private void forgetOldest() {
    long hash = hashes[oldest];
    long entries = entriesByHash.get(hash);
    if (entries == 1) {
      entriesByHash.remove(hash);
    } else {
      entriesByHash.put(hash, entries - 1);
    }
    oldest = (oldest + 1) % capacity;
    size--;
  }

  private long hash(String transactionId) {
    long hash = hashSeed;
    for (int i = 0; i < transactionId.length(); i++) {
      hash = (hash ^ transactionId.charAt(i)) * HASH_MULTIPLIER;
      hash ^= hash >>> 32;
    }
    hash *= MIX_MULTIPLIER;
    return hash ^ hash >>> 29;
  }
}
