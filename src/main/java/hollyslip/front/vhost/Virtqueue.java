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
  static final int MAX_SIZE = 1024;

  private static final int FLAG_NEXT = 1, FLAG_WRITE = 2, FLAG_INDIRECT = 4;

  private final int size;
  private ByteBuffer descriptorTable, availRing, usedRing;
  private final boolean eventIdx;
  private final boolean[] inFlight;
  /** Copy of the indirect table that is being read: the client may change its own meanwhile. */
  private final ByteBuffer indirectTable;
  private InflightLog inflightLog;
  private int lastAvailIdx;
  private int usedIdx;
  private int signalledUsedIdx;
  private int inFlightCount;

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
    this.descriptorTable = table;
    this.availRing = avail;
    this.usedRing = used;
    this.eventIdx = eventIdx;
    inFlight = new boolean[size];
    indirectTable = ByteBuffer.allocate(16 * size).order(ByteOrder.LITTLE_ENDIAN);
    lastAvailIdx = base & 0xffff;
    usedIdx = Short.toUnsignedInt(used.getShort(2));
    signalledUsedIdx = usedIdx;
  }

  static int availBytes(int size) {
    return 6 + 2 * size;
  }

  static int usedBytes(int size) {
    return 6 + 8 * size;
  }

  /** Sets the record of what is in flight; gives the heads that a killed back end had taken, in order. */
  List<Integer> recover(InflightLog inflight) {
    inflightLog = inflight;
    List<Integer> heads = inflight.recover(usedIdx);
    lastAvailIdx = usedIdx + heads.size() & 0xffff;
    for (int head : heads) {
      inFlight[head] = true;
      inFlightCount++;
    }
    return heads;
  }

  /** The same ring, seen through another memory table. */
  void relocate(ByteBuffer newTable, ByteBuffer newAvail, ByteBuffer newUsed) {
    descriptorTable = newTable;
    availRing = newAvail;
    usedRing = newUsed;
  }

  /** Next head that the client has made available, -1: none. */
  int pop() {
    int idx = Short.toUnsignedInt(availRing.getShort(2));
    VarHandle.acquireFence();
    int ahead = idx - lastAvailIdx & 0xffff;
    if (ahead == 0) {
      return -1;
    }
    ProtocolViolationException.check(ahead <= size, "avail.idx: jumps by ", ahead, " in a queue of ", size);
    int head = Short.toUnsignedInt(availRing.getShort(4 + 2 * (lastAvailIdx % size)));
    ProtocolViolationException.check(head < size, "avail.ring: head ", head, " in a queue of ", size);
    ProtocolViolationException.check(!inFlight[head], "avail.ring: in flight already is head ", head);
    lastAvailIdx = lastAvailIdx + 1 & 0xffff;
    inFlight[head] = true;
    inFlightCount++;
    if (inflightLog != null) {
      inflightLog.recordTaken(head);
    }
    return head;
  }

  /** Whether the client has made more available; asks to be kicked for what comes after, if not. */
  boolean hasMoreOrEnableKick() {
    if (eventIdx) {
      usedRing.putShort(4 + 8 * size, (short) lastAvailIdx);
    } else {
      usedRing.putShort(0, (short) 0);
    }
    VarHandle.fullFence();
    return availRing.getShort(2) != (short) lastAvailIdx;
  }

  /** Whether the client has made more available. */
  boolean hasMore() {
    VarHandle.acquireFence();
    return availRing.getShort(2) != (short) lastAvailIdx;
  }

  /** Reads the chain of a head (2.7.5, 2.7.5.3). */
  Chain readChain(int head, GuestMemory memory) {
    Chain chain = new Chain(head);
    walkDescriptors(descriptorTable, size, head, memory, chain, true);
    return chain;
  }

  private void walkDescriptors(ByteBuffer from, int entries, int first, GuestMemory memory, Chain chain,
      boolean direct) {
    int at = first;
    for (int steps = 1;; steps++) {
      ProtocolViolationException.check(at < entries, "descriptor.next: ", at, " of ", entries);
      ProtocolViolationException.check(steps <= entries, "descriptor.next: the chain loops");
      long address = from.getLong(16 * at);
      long length = Integer.toUnsignedLong(from.getInt(16 * at + 8));
      int flags = Short.toUnsignedInt(from.getShort(16 * at + 12));
      int next = Short.toUnsignedInt(from.getShort(16 * at + 14));
      if ((flags & FLAG_INDIRECT) != 0) {
        ProtocolViolationException.check(direct && (flags & (FLAG_NEXT | FLAG_WRITE)) == 0,
            "descriptor.flags: INDIRECT with NEXT or "
                + "WRITE, or inside an indirect table");
        indirectTable(address, length, memory, chain);
        return;
      }
      boolean write = (flags & FLAG_WRITE) != 0;
      ProtocolViolationException.check(write || chain.writable.isEmpty(),
          "descriptor.flags: readable after writable");
      ProtocolViolationException.check(length > 0 && address >= 0 && address <= Long.MAX_VALUE - length,
          "descriptor.len: ",
          length);
      memory.addViewsAtGuestAddress(address, length, write ? chain.writable : chain.readable, chain.regions);
      if ((flags & FLAG_NEXT) == 0) {
        return;
      }
      at = next;
    }
  }

  private void indirectTable(long address, long length, GuestMemory memory, Chain chain) {
    ProtocolViolationException.check(length > 0 && length % 16 == 0 && length / 16 <= size,
        "indirect descriptor.len: ",
        length);
    memory.copyFromGuestAddress(address, indirectTable, (int) length);
    walkDescriptors(indirectTable, (int) length / 16, 0, memory, chain, false);
  }

  /** Gives a chain back with so many bytes written. */
  void push(int head, int written) {
    int slot = 4 + 8 * (usedIdx % size);
    usedRing.putInt(slot, head);
    usedRing.putInt(slot + 4, written);
    if (inflightLog != null) {
      inflightLog.prepareAnswer(head);
    }
    usedIdx = usedIdx + 1 & 0xffff;
    VarHandle.releaseFence();
    usedRing.putShort(2, (short) usedIdx);
    if (inflightLog != null) {
      inflightLog.commitAnswer(head, usedIdx);
    }
    inFlight[head] = false;
    inFlightCount--;
  }

  /** Whether the client wants to be called for what was pushed since the last time (2.7.10). */
  boolean needsCall() {
    if (signalledUsedIdx == usedIdx) {
      return false;
    }
    VarHandle.fullFence();
    boolean wants;
    if (eventIdx) {
      int event = Short.toUnsignedInt(availRing.getShort(4 + 2 * size));
      wants = (usedIdx - event - 1 & 0xffff) < (usedIdx - signalledUsedIdx & 0xffff);
    } else {
      wants = (availRing.getShort(0) & 1) == 0;
    }
    signalledUsedIdx = usedIdx;
    return wants;
  }

  /** Chains taken and not given back. */
  int inFlight() {
    return inFlightCount;
  }

  /** Index of the next entry of the available ring: the reply to GET_VRING_BASE. */
  int base() {
    return lastAvailIdx;
  }
}
