package hollyslip.load;

import java.nio.ByteBuffer;
import java.util.TreeMap;

/** Tracks per block what a client has written, to check which bytes a read may return. Every written block
 * carries the ID of its write, and IDs increase. A read may return the newest write that was answered before
 * the read was submitted, or any later write that is not known never to have run. */
final class BlockStamps {
  static final int BLOCK_BYTES = 4096;
  private static final long STAMP_MAGIC = 0x5354414d50454421L;

  private final long clientId;
  private final TreeMap<Long, long[]> newestServedWrite = new TreeMap<>();

  BlockStamps(long who) {
    this.clientId = who;
  }

  /** Fills the buffer with the contents of the write with this ID. */
  void fillForWrite(ByteBuffer data, long id, int length) {
    for (int at = 0; at < length; at += 8) {
      data.putLong(at, clientId * 31 + id * 0x9e3779b97f4a7c15L + at);
    }
    for (int at = 0; at < length; at += BLOCK_BYTES) {
      data.putLong(at, STAMP_MAGIC).putLong(at + 8, clientId).putLong(at + 16, id);
    }
  }

  /** Records that a write was served. */
  void recordServed(long offset, int length, long id) {
    for (long block = offset; block < offset + length; block += BLOCK_BYTES) {
      long[] newest = newestServedWrite.computeIfAbsent(block, k -> new long[1]);
      newest[0] = Math.max(newest[0], id);
    }
  }

  /** Per block, the ID of the oldest write that a read submitted now may return. */
  long[] minWriteIds(long offset, int length) {
    long[] floors = new long[length / BLOCK_BYTES];
    for (int i = 0; i < floors.length; i++) {
      long[] newest = newestServedWrite.get(offset + (long) i * BLOCK_BYTES);
      floors[i] = newest == null ? 0 : newest[0];
    }
    return floors;
  }

  /** Describes the first mismatch in the bytes returned by a read; null if there is none. */
  String findMismatch(ByteBuffer data, long offset, long[] floors) {
    for (int i = 0; i < floors.length; i++) {
      int at = i * BLOCK_BYTES;
      boolean stamped = data.getLong(at) == STAMP_MAGIC;
      if (stamped && data.getLong(at + 8) != clientId) {
        return "block " + (offset + at) + " contains data of another client";
      }
      long id = stamped ? data.getLong(at + 16) : 0;
      if (id < floors[i]) {
        return "block " + (offset + at) + " contains write " + id + " although write " + floors[i]
            + " was answered before the read";
      }
    }
    return null;
  }
}
