package hollyslip.engine;

import java.util.concurrent.atomic.AtomicLong;

/** What the engine holds at most. A front that is turned away keeps its request and asks again when told that
 * there is room: the ring is its own back-pressure and nothing is dropped. Safe for any thread. */
final class InflightLimits {
  private final long maxRequests;
  private final long maxBytes;
  private final AtomicLong requests = new AtomicLong();
  private final AtomicLong bytes = new AtomicLong();

  InflightLimits(long mostRequests, long mostBytes) {
    this.maxRequests = mostRequests;
    this.maxBytes = mostBytes;
  }

  /** Takes a place; a request larger than all that may be held gets in when nothing else is. */
  boolean tryAcquire(long size) {
    if (requests.incrementAndGet() > maxRequests) {
      requests.decrementAndGet();
      return false;
    }
    if (bytes.addAndGet(size) > maxBytes && bytes.get() != size) {
      bytes.addAndGet(-size);
      requests.decrementAndGet();
      return false;
    }
    return true;
  }

  void release(long size) {
    bytes.addAndGet(-size);
    requests.decrementAndGet();
  }

  long requests() {
    return requests.get();
  }

  /** Whether so much is free again that turned-away fronts should ask: a quarter, so that they come in
   * batches. */
  boolean belowResumeThreshold() {
    return requests.get() <= maxRequests * 3 / 4 && bytes.get() <= maxBytes * 3 / 4;
  }
}
