package hollyslip.front.vhost;

import hollyslip.recovery.InflightLog;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.ArrayList;
import java.util.List;

/** The device's side of one split virtqueue (virtio 1.2, 2.7), over memory that the client may change at any
 * time: every figure is read once and checked before use. Used by the device's thread alone. */
final class Virtqueue {
  /** Largest queue, virtio 1.2, 2.7: 32768; ours is what one device may have in flight. */
  static final int MOST_SIZE = 1024;

  private static final int NEXT = 1, WRITE = 2, INDIRECT = 4;

  private final int size;
  private ByteBuffer table, avail, used;
  private final boolean eventIdx;
  private final boolean[] inFlight;
  /** Copy of the indirect table that is being read: the client may change its own meanwhile. */
  private final ByteBuffer indirect;
  private InflightLog log;
  private int lastAvail;
  private int usedIdx;
  private int signalled;
  private int count;

  /** A chain of descriptors: what the device may read, what it may write, and the regions they lie in. */
  static final class Chain {
    final int head;
    final List<ByteBuffer> readable = new ArrayList<>(2);
    final List<ByteBuffer> writable = new ArrayList<>(2);
    final List<GuestMemory.Region> regions = new ArrayList<>(1);

    Chain(int head) {
      this.head = head;
    }
  }

  Virtqueue(int size, ByteBuffer table, ByteBuffer avail, ByteBuffer used, int base, boolean eventIdx) {
    this.size = size;
    this.table = table;
    this.avail = avail;
    this.used = used;
    this.eventIdx = eventIdx;
    inFlight = new boolean[size];
    indirect = ByteBuffer.allocate(16 * size).order(ByteOrder.LITTLE_ENDIAN);
    lastAvail = base & 0xffff;
    usedIdx = Short.toUnsignedInt(used.getShort(2));
    signalled = usedIdx;
  }

  static int availBytes(int size) {
    return 6 + 2 * size;
  }

  static int usedBytes(int size) {
    return 6 + 8 * size;
  }

  /** Sets the record of what is in flight; gives the heads that a killed back end had taken, in order. */
  List<Integer> recover(InflightLog inflight) {
    log = inflight;
    List<Integer> heads = inflight.recover(usedIdx);
    lastAvail = usedIdx + heads.size() & 0xffff;
    for (int head : heads) {
      inFlight[head] = true;
      count++;
    }
    return heads;
  }

  /** The same ring, seen through another memory table. */
  void move(ByteBuffer newTable, ByteBuffer newAvail, ByteBuffer newUsed) {
    table = newTable;
    avail = newAvail;
    used = newUsed;
  }

  /** Next head that the client has made available, -1: none. */
  int pop() {
    int idx = Short.toUnsignedInt(avail.getShort(2));
    VarHandle.acquireFence();
    int ahead = idx - lastAvail & 0xffff;
    if (ahead == 0) {
      return -1;
    }
    Violation.check(ahead <= size, "avail.idx: jumps by ", ahead, " in a queue of ", size);
    int head = Short.toUnsignedInt(avail.getShort(4 + 2 * (lastAvail % size)));
    Violation.check(head < size, "avail.ring: head ", head, " in a queue of ", size);
    Violation.check(!inFlight[head], "avail.ring: in flight already is head ", head);
    lastAvail = lastAvail + 1 & 0xffff;
    inFlight[head] = true;
    count++;
    if (log != null) {
      log.recordTaken(head);
    }
    return head;
  }

  /** Whether the client has made more available; asks to be kicked for what comes after, if not. */
  boolean moreOrKick() {
    if (eventIdx) {
      used.putShort(4 + 8 * size, (short) lastAvail);
    } else {
      used.putShort(0, (short) 0);
    }
    VarHandle.fullFence();
    return avail.getShort(2) != (short) lastAvail;
  }

  /** Whether the client has made more available. */
  boolean more() {
    VarHandle.acquireFence();
    return avail.getShort(2) != (short) lastAvail;
  }

  /** Reads the chain of a head (2.7.5, 2.7.5.3). */
  Chain chain(int head, GuestMemory memory) {
    Chain chain = new Chain(head);
    walk(table, size, head, memory, chain, true);
    return chain;
  }

  private void walk(ByteBuffer from, int entries, int first, GuestMemory memory, Chain chain,
      boolean direct) {
    int at = first;
    for (int steps = 1;; steps++) {
      Violation.check(at < entries, "descriptor.next: ", at, " of ", entries);
      Violation.check(steps <= entries, "descriptor.next: the chain loops");
      long address = from.getLong(16 * at);
      long length = Integer.toUnsignedLong(from.getInt(16 * at + 8));
      int flags = Short.toUnsignedInt(from.getShort(16 * at + 12));
      int next = Short.toUnsignedInt(from.getShort(16 * at + 14));
      if ((flags & INDIRECT) != 0) {
        Violation.check(direct && (flags & (NEXT | WRITE)) == 0, "descriptor.flags: INDIRECT with NEXT or "
            + "WRITE, or inside an indirect table");
        indirect(address, length, memory, chain);
        return;
      }
      boolean write = (flags & WRITE) != 0;
      Violation.check(write || chain.writable.isEmpty(), "descriptor.flags: readable after writable");
      Violation.check(length > 0 && address >= 0 && address <= Long.MAX_VALUE - length, "descriptor.len: ",
          length);
      memory.byGuest(address, length, write ? chain.writable : chain.readable, chain.regions);
      if ((flags & NEXT) == 0) {
        return;
      }
      at = next;
    }
  }

  private void indirect(long address, long length, GuestMemory memory, Chain chain) {
    Violation.check(length > 0 && length % 16 == 0 && length / 16 <= size, "indirect descriptor.len: ",
        length);
    memory.copy(address, indirect, (int) length);
    walk(indirect, (int) length / 16, 0, memory, chain, false);
  }

  /** Gives a chain back with so many bytes written. */
  void push(int head, int written) {
    int slot = 4 + 8 * (usedIdx % size);
    used.putInt(slot, head);
    used.putInt(slot + 4, written);
    if (log != null) {
      log.prepareAnswer(head);
    }
    usedIdx = usedIdx + 1 & 0xffff;
    VarHandle.releaseFence();
    used.putShort(2, (short) usedIdx);
    if (log != null) {
      log.commitAnswer(head, usedIdx);
    }
    inFlight[head] = false;
    count--;
  }

  /** Whether the client wants to be called for what was pushed since the last time (2.7.10). */
  boolean wantsCall() {
    if (signalled == usedIdx) {
      return false;
    }
    VarHandle.fullFence();
    boolean wants;
    if (eventIdx) {
      int event = Short.toUnsignedInt(avail.getShort(4 + 2 * size));
      wants = (usedIdx - event - 1 & 0xffff) < (usedIdx - signalled & 0xffff);
    } else {
      wants = (avail.getShort(0) & 1) == 0;
    }
    signalled = usedIdx;
    return wants;
  }

  /** Chains taken and not given back. */
  int inFlight() {
    return count;
  }

  /** Index of the next entry of the available ring: the reply to GET_VRING_BASE. */
  int base() {
    return lastAvail;
  }
}
