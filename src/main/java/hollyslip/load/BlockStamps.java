package hollyslip.load;

import java.nio.ByteBuffer;
import java.util.TreeMap;

/** A client's reference copy of what it has written, block by block: which bytes a read may return. Every
 * block that is written bears the number of its write; numbers grow. A read may return the newest write that
 * was answered before the read was asked, or any later one of which it is not known that it never ran. */
final class BlockStamps {
  static final int BLOCK_BYTES = 4096;
  private static final long STAMP_MAGIC = 0x5354414d50454421L;

  private final long clientId;
  private final TreeMap<Long, long[]> newestServedWrite = new TreeMap<>();

  BlockStamps(long who) {
    this.clientId = who;
  }

  /** Fills a buffer for a write of this number. */
  void fillForWrite(ByteBuffer data, long id, int length) {
    for (int at = 0; at < length; at += 8) {
      data.putLong(at, clientId * 31 + id * 0x9e3779b97f4a7c15L + at);
    }
    for (int at = 0; at < length; at += BLOCK_BYTES) {
      data.putLong(at, STAMP_MAGIC).putLong(at + 8, clientId).putLong(at + 16, id);
    }
  }

  /** A write was served. */
  void newestServedWrite(long offset, int length, long id) {
    for (long b = offset; b < offset + length; b += BLOCK_BYTES) {
      long[] newest = newestServedWrite.computeIfAbsent(b, k -> new long[1]);
      newest[0] = Math.max(newest[0], id);
    }
  }

  /** What a read that is asked now must return at least, by block. */
  long[] minWriteIds(long offset, int length) {
    long[] floors = new long[length / BLOCK_BYTES];
    for (int i = 0; i < floors.length; i++) {
      long[] newest = newestServedWrite.get(offset + (long) i * BLOCK_BYTES);
      floors[i] = newest == null ? 0 : newest[0];
    }
    return floors;
  }

  /** What is wrong with the bytes that a read returned; null: nothing. */
  String findMismatch(ByteBuffer data, long offset, long[] floors) {
    for (int i = 0; i < floors.length; i++) {
      int at = i * BLOCK_BYTES;
      boolean stamped = data.getLong(at) == STAMP_MAGIC;
      if (stamped && data.getLong(at + 8) != clientId) {
        return "block " + (offset + at) + " holds another client's bytes";
      }
      long id = stamped ? data.getLong(at + 16) : 0;
      if (id < floors[i]) {
        return "block " + (offset + at) + " holds write " + id + ", though " + floors[i]
            + " was answered before";
      }
    }
    return null;
  }
}
