package hollyslip.engine;

import java.util.concurrent.atomic.AtomicLong;

/** What the engine holds at most. A front that is turned away keeps its request and asks again when told that
 * there is room: the ring is its own back-pressure and nothing is dropped. Safe for any thread. */
final class Bounds {
  private final long mostRequests;
  private final long mostBytes;
  private final AtomicLong requests = new AtomicLong();
  private final AtomicLong bytes = new AtomicLong();

  Bounds(long mostRequests, long mostBytes) {
    this.mostRequests = mostRequests;
    this.mostBytes = mostBytes;
  }

  /** Takes a place; a request larger than all that may be held gets in when nothing else is. */
  boolean take(long size) {
    if (requests.incrementAndGet() > mostRequests) {
      requests.decrementAndGet();
      return false;
    }
    if (bytes.addAndGet(size) > mostBytes && bytes.get() != size) {
      bytes.addAndGet(-size);
      requests.decrementAndGet();
      return false;
    }
    return true;
  }

  void give(long size) {
    bytes.addAndGet(-size);
    requests.decrementAndGet();
  }

  long requests() {
    return requests.get();
  }

  /** Whether so much is free again that turned-away fronts should ask: a quarter, so that they come in
   * batches. */
  boolean roomy() {
    return requests.get() <= mostRequests * 3 / 4 && bytes.get() <= mostBytes * 3 / 4;
  }
}
