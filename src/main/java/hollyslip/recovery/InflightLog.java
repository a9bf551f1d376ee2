package hollyslip.recovery;

import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** What of a split virtqueue is in flight, kept in memory that the client holds, so that a back end which was
 * killed finds it again: each request is then answered once and changes are done again in the order in which
 * they were taken. Layout and steps: vhost-user protocol, "Inflight I/O tracking", split virtqueue. */
public final class InflightLog {
  /** Bytes before the entries, and of one entry. */
  public static final int HEADER_BYTES = 16, ENTRY_BYTES = 16;

  private static final int VERSION = 1;

  private final ByteBuffer region;
  private final int size;
  private long nextCounter;

  /** @param region
   *          this queue's part of the shared memory
   * @param size
   *          entries, as many as the queue has descriptors */
  public InflightLog(ByteBuffer region, int size) {
    this.region = region.order(ByteOrder.LITTLE_ENDIAN);
    this.size = size;
    if (region.capacity() < bytes(size)) {
      throw new IllegalArgumentException("inflight region: " + region.capacity() + " bytes for a queue of "
          + size);
    }
  }

  /** Bytes that a queue of so many descriptors needs. */
  public static int bytes(int size) {
    return HEADER_BYTES + ENTRY_BYTES * size;
  }

  /** Makes the region ready; what it holds from before stays.
   *
   * @param usedIdx
   *          index in the queue's used ring
   * @return heads in flight, in the order in which they were taken */
  public List<Integer> recover(int usedIdx) {
    if (region.getShort(8) != VERSION) {
      region.putLong(0, 0).putShort(8, (short) VERSION).putShort(10, (short) size);
      region.putShort(12, (short) 0).putShort(14, (short) usedIdx);
      for (int i = 0; i < size; i++) {
        region.put(entryOffset(i), (byte) 0);
      }
    }
    if (region.getShort(14) != (short) usedIdx) {
      // Killed between publishing an answer and noting it here: the last one is answered.
      int last = Short.toUnsignedInt(region.getShort(12));
      if (last < size) {
        region.put(entryOffset(last), (byte) 0);
      }
      region.putShort(14, (short) usedIdx);
    }
    List<Integer> heads = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      if (region.get(entryOffset(i)) == 1) {
        heads.add(i);
        nextCounter = Math.max(nextCounter, region.getLong(entryOffset(i) + 8) + 1);
      }
    }
    heads.sort(Comparator.comparingLong(h -> region.getLong(entryOffset(h) + 8)));
    return heads;
  }

  /** A request was taken. */
  public void taken(int head) {
    region.putLong(entryOffset(head) + 8, nextCounter++);
    VarHandle.releaseFence();
    region.put(entryOffset(head), (byte) 1);
    VarHandle.releaseFence();
  }

  /** A request's answer is about to be published. */
  public void answering(int head) {
    region.putShort(entryOffset(head) + 6, region.getShort(12));
    region.putShort(12, (short) head);
    VarHandle.releaseFence();
  }

  /** It is published, with this index of the used ring. */
  public void answered(int head, int usedIdx) {
    VarHandle.releaseFence();
    region.put(entryOffset(head), (byte) 0);
    VarHandle.releaseFence();
    region.putShort(14, (short) usedIdx);
  }

  private int entryOffset(int head) {
    return HEADER_BYTES + ENTRY_BYTES * head;
  }
}
