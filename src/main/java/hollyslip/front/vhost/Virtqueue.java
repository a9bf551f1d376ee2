package hollyslip.front.vhost;

import hollyslip.recovery.InflightLog;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.ArrayList;
import java.util.List;

/** The device's side of one split virtqueue (virtio 1.2, 2.7), in memory that the client may change at any
 * time: every value is read once and checked before use. For the device's thread only. */
final class Virtqueue {
  /** Maximum queue size. Virtio 1.2, 2.7, allows 32768; this smaller limit is what one device may have in
   * flight. */
  static final int MAX_SIZE = 1024;

  private static final int FLAG_NEXT = 1, FLAG_WRITE = 2, FLAG_INDIRECT = 4;

  private final int size;
  private ByteBuffer descriptorTable, availRing, usedRing;
  private final boolean eventIdx;
  private final boolean[] inFlight;
  /** Copy of the indirect table being read, because the client may change its own meanwhile. */
  private final ByteBuffer indirectTable;
  private InflightLog inflightLog;
  private int lastAvailIdx;
  private int usedIdx;
  private int signalledUsedIdx;
  private int inFlightCount;

  /** A descriptor chain: what the device may read, what it may write, and the regions that contain them. */
  static final class Chain {
    final int head;
    final List<ByteBuffer> readable = new ArrayList<>(2);
    final List<ByteBuffer> writable = new ArrayList<>(2);
    final List<GuestMemory.Region> regions = new ArrayList<>(1);

    Chain(int head) {
      this.head = head;
    }
  }

  Virtqueue(int size, ByteBuffer descriptorTable, ByteBuffer availRing, ByteBuffer usedRing,
      int firstAvailIdx, boolean eventIdx) {
    this.size = size;
    this.descriptorTable = descriptorTable;
    this.availRing = availRing;
    this.usedRing = usedRing;
    this.eventIdx = eventIdx;
    inFlight = new boolean[size];
    indirectTable = ByteBuffer.allocate(16 * size).order(ByteOrder.LITTLE_ENDIAN);
    lastAvailIdx = firstAvailIdx & 0xffff;
    usedIdx = Short.toUnsignedInt(usedRing.getShort(2));
    signalledUsedIdx = usedIdx;
  }

  static int availBytes(int size) {
    return 6 + 2 * size;
  }

  static int usedBytes(int size) {
    return 6 + 8 * size;
  }

  /** Sets the inflight log and returns the heads that a killed back end had taken, in order. */
  List<Integer> recover(InflightLog log) {
    inflightLog = log;
    List<Integer> heads = log.recover(usedIdx);
    lastAvailIdx = usedIdx + heads.size() & 0xffff;
    for (int head : heads) {
      inFlight[head] = true;
      inFlightCount++;
    }
    return heads;
  }

  /** Switches to views of the same ring in another memory table. */
  void relocate(ByteBuffer newTable, ByteBuffer newAvail, ByteBuffer newUsed) {
    descriptorTable = newTable;
    availRing = newAvail;
    usedRing = newUsed;
  }

  /** Takes the next head that the client has made available; -1 if there is none. */
  int pop() {
    int idx = Short.toUnsignedInt(availRing.getShort(2));
    VarHandle.acquireFence();
    int available = idx - lastAvailIdx & 0xffff;
    if (available == 0) {
      return -1;
    }
    ProtocolViolationException.check(available <= size, "avail.idx: advanced by ", available,
        " in a queue of ", size);
    int head = Short.toUnsignedInt(availRing.getShort(4 + 2 * (lastAvailIdx % size)));
    ProtocolViolationException.check(head < size, "avail.ring: head ", head, " in a queue of ", size);
    ProtocolViolationException.check(!inFlight[head], "avail.ring: already in flight: head ", head);
    lastAvailIdx = lastAvailIdx + 1 & 0xffff;
    inFlight[head] = true;
    inFlightCount++;
    if (inflightLog != null) {
      inflightLog.recordTaken(head);
    }
    return head;
  }

  /** Returns whether the client has made more available, after enabling kicks for what follows. */
  boolean hasMoreOrEnableKick() {
    if (eventIdx) {
      usedRing.putShort(4 + 8 * size, (short) lastAvailIdx);
    } else {
      usedRing.putShort(0, (short) 0);
    }
    VarHandle.fullFence();
    return availRing.getShort(2) != (short) lastAvailIdx;
  }

  /** Returns whether the client has made more available. */
  boolean hasMore() {
    VarHandle.acquireFence();
    return availRing.getShort(2) != (short) lastAvailIdx;
  }

  /** Reads the descriptor chain of a head (2.7.5, 2.7.5.3). */
  Chain readChain(int head, GuestMemory memory) {
    Chain chain = new Chain(head);
    walkDescriptors(descriptorTable, size, head, memory, chain, true);
    return chain;
  }

  private void walkDescriptors(ByteBuffer table, int entries, int firstIndex, GuestMemory memory, Chain chain,
      boolean indirectAllowed) {
    int index = firstIndex;
    for (int steps = 1;; steps++) {
      ProtocolViolationException.check(index < entries, "descriptor.next: ", index, " of ", entries);
      ProtocolViolationException.check(steps <= entries, "descriptor.next: the chain loops");
      long address = table.getLong(16 * index);
      long length = Integer.toUnsignedLong(table.getInt(16 * index + 8));
      int flags = Short.toUnsignedInt(table.getShort(16 * index + 12));
      int next = Short.toUnsignedInt(table.getShort(16 * index + 14));
      if ((flags & FLAG_INDIRECT) != 0) {
        ProtocolViolationException.check(indirectAllowed && (flags & (FLAG_NEXT | FLAG_WRITE)) == 0,
            "descriptor.flags: INDIRECT with NEXT or "
                + "WRITE, or inside an indirect table");
        walkIndirectTable(address, length, memory, chain);
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
      index = next;
    }
  }

  private void walkIndirectTable(long address, long length, GuestMemory memory, Chain chain) {
    ProtocolViolationException.check(length > 0 && length % 16 == 0 && length / 16 <= size,
        "indirect descriptor.len: ",
        length);
    memory.copyFromGuestAddress(address, indirectTable, (int) length);
    walkDescriptors(indirectTable, (int) length / 16, 0, memory, chain, false);
  }

  /** Returns a chain to the client with the number of bytes written. */
  void push(int head, int written) {
    int entryOffset = 4 + 8 * (usedIdx % size);
    usedRing.putInt(entryOffset, head);
    usedRing.putInt(entryOffset + 4, written);
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

  /** Returns whether the client wants a call for what was pushed since the last check (2.7.10). */
  boolean needsCall() {
    if (signalledUsedIdx == usedIdx) {
      return false;
    }
    VarHandle.fullFence();
    boolean needed;
    if (eventIdx) {
      int event = Short.toUnsignedInt(availRing.getShort(4 + 2 * size));
      needed = (usedIdx - event - 1 & 0xffff) < (usedIdx - signalledUsedIdx & 0xffff);
    } else {
      needed = (availRing.getShort(0) & 1) == 0;
    }
    signalledUsedIdx = usedIdx;
    return needed;
  }

  /** Number of chains taken and not returned. */
  int inFlight() {
    return inFlightCount;
  }

  /** Index of the next entry of the available ring, which is the reply to GET_VRING_BASE. */
  int base() {
    return lastAvailIdx;
  }
}
