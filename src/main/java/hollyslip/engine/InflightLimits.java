package hollyslip.engine;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the requests and bytes that an engine holds. A rejected front keeps its request and offers it again
 * when told that there is capacity: the ring provides the back-pressure and nothing is dropped.
 * Thread-safe. */
final class InflightLimits {
  private final long maxRequests;
  private final long maxBytes;
  private final AtomicLong requests = new AtomicLong();
  private final AtomicLong bytes = new AtomicLong();

  InflightLimits(long maxRequests, long maxBytes) {
    this.maxRequests = maxRequests;
    this.maxBytes = maxBytes;
  }

  /** Acquires capacity for one request. A request larger than the byte limit is accepted if nothing else
   * holds any bytes. */
  boolean tryAcquire(long requestBytes) {
    if (requests.incrementAndGet() > maxRequests) {
      requests.decrementAndGet();
      return false;
    }
    if (bytes.addAndGet(requestBytes) > maxBytes && bytes.get() != requestBytes) {
      bytes.addAndGet(-requestBytes);
      requests.decrementAndGet();
      return false;
    }
    return true;
  }

  void release(long requestBytes) {
    bytes.addAndGet(-requestBytes);
    requests.decrementAndGet();
  }

  long requests() {
    return requests.get();
  }

  /** Whether a quarter of the capacity is free, so that rejected fronts should retry; the margin lets them
   * come in batches. */
  boolean belowResumeThreshold() {
    return requests.get() <= maxRequests * 3 / 4 && bytes.get() <= maxBytes * 3 / 4;
  }
}
