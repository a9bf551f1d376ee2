package hollyslip.recovery;

import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Records which requests of a split virtqueue are in flight, in memory that the client keeps, so that a back
 * end that was killed finds them again: each request is then answered once, and writes are repeated in the
 * order in which they were taken. Layout and steps follow the vhost-user protocol, "Inflight I/O tracking",
 * split virtqueue. */
public final class InflightLog {
  /** Size of the header before the entries, and of one entry. */
  public static final int HEADER_BYTES = 16, ENTRY_BYTES = 16;

  private static final int VERSION = 1;

  private final ByteBuffer region;
  private final int size;
  private long nextCounter;

  /** @param region
   *          this queue's section of the shared memory
   * @param size
   *          number of entries, equal to the number of descriptors of the queue */
  public InflightLog(ByteBuffer region, int size) {
    this.region = region.order(ByteOrder.LITTLE_ENDIAN);
    this.size = size;
    if (region.capacity() < regionBytes(size)) {
      throw new IllegalArgumentException("inflight region: " + region.capacity() + " bytes for a queue of "
          + size);
    }
  }

  /** Size in bytes of the region for a queue of the given number of descriptors. */
  public static int regionBytes(int size) {
    return HEADER_BYTES + ENTRY_BYTES * size;
  }

  /** Initializes the region; requests recorded in it before are kept.
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
      // Killed after publishing an answer and before recording that here: the last request is answered.
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

  /** Records that a request was taken. */
  public void recordTaken(int head) {
    region.putLong(entryOffset(head) + 8, nextCounter++);
    VarHandle.releaseFence();
    region.put(entryOffset(head), (byte) 1);
    VarHandle.releaseFence();
  }

  /** Records that a request's answer is about to be published. */
  public void prepareAnswer(int head) {
    region.putShort(entryOffset(head) + 6, region.getShort(12));
    region.putShort(12, (short) head);
    VarHandle.releaseFence();
  }

  /** Records that the answer was published, and the index of the used ring after it. */
  public void commitAnswer(int head, int usedIdx) {
    VarHandle.releaseFence();
    region.put(entryOffset(head), (byte) 0);
    VarHandle.releaseFence();
    region.putShort(14, (short) usedIdx);
  }

  private int entryOffset(int head) {
    return HEADER_BYTES + ENTRY_BYTES * head;
  }
}
