package hollyslip.front.vhost;

import hollyslip.front.sys.Linux;
import java.util.ArrayDeque;

/** A queue of a device, with its state as set by vhost-user messages. */
final class Ring {
  final int index;
  int size, firstAvailIdx, kickFd = -1, callFd = -1, errFd = -1;
  long descriptorAddress, availAddress, usedAddress;
  boolean addressesSet, enabled;
  /** Null while the ring is not running. */
  Virtqueue queue;
  /** The request that the engine had no capacity for; no other is taken before it. */
  RequestProcessor.PendingRequest blockedRequest;
  /** Heads that a killed back end had taken, in order. */
  final ArrayDeque<Integer> recoveredHeads = new ArrayDeque<>();

  Ring(int index) {
    this.index = index;
  }

  /** Signals the client if it wants a call for what was pushed. */
  void signalCall() {
    if (queue != null && queue.needsCall() && callFd >= 0) {
      Linux.signalEventfd(callFd);
    }
  }
}
