package hollyslip.load;

import java.nio.ByteBuffer;
import java.util.TreeMap;

/** A client's reference copy of what it has written, block by block: which bytes a read may return. Every
 * block that is written bears the number of its write; numbers grow. A read may return the newest write that
 * was answered before the read was asked, or any later one of which it is not known that it never ran. */
final class BlockStamps {
  static final int BLOCK = 4096;
  private static final long MARK = 0x5354414d50454421L;

  private final long who;
  private final TreeMap<Long, long[]> served = new TreeMap<>();

  BlockStamps(long who) {
    this.who = who;
  }

  /** Fills a buffer for a write of this number. */
  void fill(ByteBuffer data, long id, int length) {
    for (int at = 0; at < length; at += 8) {
      data.putLong(at, who * 31 + id * 0x9e3779b97f4a7c15L + at);
    }
    for (int at = 0; at < length; at += BLOCK) {
      data.putLong(at, MARK).putLong(at + 8, who).putLong(at + 16, id);
    }
  }

  /** A write was served. */
  void served(long offset, int length, long id) {
    for (long b = offset; b < offset + length; b += BLOCK) {
      long[] newest = served.computeIfAbsent(b, k -> new long[1]);
      newest[0] = Math.max(newest[0], id);
    }
  }

  /** What a read that is asked now must return at least, by block. */
  long[] floors(long offset, int length) {
    long[] floors = new long[length / BLOCK];
    for (int i = 0; i < floors.length; i++) {
      long[] newest = served.get(offset + (long) i * BLOCK);
      floors[i] = newest == null ? 0 : newest[0];
    }
    return floors;
  }

  /** What is wrong with the bytes that a read returned; null: nothing. */
  String check(ByteBuffer data, long offset, long[] floors) {
    for (int i = 0; i < floors.length; i++) {
      int at = i * BLOCK;
      boolean stamped = data.getLong(at) == MARK;
      if (stamped && data.getLong(at + 8) != who) {
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
