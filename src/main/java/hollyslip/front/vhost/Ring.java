package hollyslip.front.vhost;

import hollyslip.front.sys.Linux;
import java.util.ArrayDeque;

/** One queue of a device and what the messages have said of it. */
final class Ring {
  final int index;
  int size, firstAvailIdx, kickFd = -1, callFd = -1, errFd = -1;
  long descriptorAddress, availAddress, usedAddress;
  boolean addressesSet, enabled;
  /** Null: it does not run. */
  Virtqueue queue;
  /** The request that found no room, before which no other is taken. */
  RequestProcessor.PendingRequest blockedRequest;
  /** Heads that a killed back end had taken, in order. */
  final ArrayDeque<Integer> recoveredHeads = new ArrayDeque<>();

  Ring(int index) {
    this.index = index;
  }

  /** Calls the client, if it wants to be for what was pushed. */
  void signalCall() {
    if (queue != null && queue.needsCall() && callFd >= 0) {
      Linux.signal(callFd);
    }
  }
}
