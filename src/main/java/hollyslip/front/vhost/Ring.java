package hollyslip.front.vhost;

import hollyslip.front.sys.Linux;
import java.util.ArrayDeque;

/** One queue of a device and what the messages have said of it. */
final class Ring {
  final int index;
  int size, base, kick = -1, call = -1, err = -1;
  long table, avail, used;
  boolean addressed, enabled;
  /** Null: it does not run. */
  Virtqueue queue;
  /** The request that found no room, before which no other is taken. */
  Requests.Taken blocked;
  /** Heads that a killed back end had taken, in order. */
  final ArrayDeque<Integer> again = new ArrayDeque<>();

  Ring(int index) {
    this.index = index;
  }

  /** Calls the client, if it wants to be for what was pushed. */
  void call() {
    if (queue != null && queue.wantsCall() && call >= 0) {
      Linux.signal(call);
    }
  }
}
