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

  BlockStamps(long clientId) {
    this.clientId = clientId;
  }

  /** Fills the buffer with the contents of the write with this ID. */
  void fillForWrite(ByteBuffer data, long id, int length) {
    for (int position = 0; position < length; position += 8) {
      data.putLong(position, clientId * 31 + id * 0x9e3779b97f4a7c15L + position);
    }
    for (int position = 0; position < length; position += BLOCK_BYTES) {
      data.putLong(position, STAMP_MAGIC).putLong(position + 8, clientId).putLong(position + 16, id);
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
    long[] minWriteIds = new long[length / BLOCK_BYTES];
    for (int i = 0; i < minWriteIds.length; i++) {
      long[] newest = newestServedWrite.get(offset + (long) i * BLOCK_BYTES);
      minWriteIds[i] = newest == null ? 0 : newest[0];
    }
    return minWriteIds;
  }

  /** Describes the first mismatch in the bytes returned by a read; null if there is none. */
  String findMismatch(ByteBuffer data, long offset, long[] minWriteIds) {
    for (int i = 0; i < minWriteIds.length; i++) {
      int position = i * BLOCK_BYTES;
      boolean stamped = data.getLong(position) == STAMP_MAGIC;
      if (stamped && data.getLong(position + 8) != clientId) {
        return "block " + (offset + position) + " contains data of another client";
      }
      long id = stamped ? data.getLong(position + 16) : 0;
      if (id < minWriteIds[i]) {
        return "block " + (offset + position) + " contains write " + id + " although write " + minWriteIds[i]
            + " was answered before the read";
      }
    }
    return null;
  }
}
