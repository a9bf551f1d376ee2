package hollyslip.platform;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayDeque;

/** What one client connection has received and not answered, in order: requests that wait for the one before
 * them, and errors that wait for their turn to be written. Counts its memory against the limit on requests.
 * Does no I/O. */
final class RequestQueue {
  /** Requests that may wait behind an open one; further requests are refused in their turn. */
  private static final int MAX_REQUESTS = 32;

  /** Invalid requests that may wait. Guards against clients that send thousands of them without waiting for
   * the responses. */
  private static final int MAX_INVALID_REQUESTS = 32;

  /** Items that may wait: the requests, the invalid ones, and refusals between them. */
  private static final int MAX_ITEMS = MAX_REQUESTS + 2 * MAX_INVALID_REQUESTS;

  /** Memory counted for a request in addition to its texts and body, and for an error response, bytes. */
  private static final int REQUEST_OVERHEAD_BYTES = 1024, ERROR_BYTES = 64;

  private final ByteBudget budget;
  private final ArrayDeque<InboundRequest> items = new ArrayDeque<>();
  /** Responses that the items stand for, and those of invalid requests among them. */
  private int pendingResponses, invalidRequests;

  RequestQueue(ByteBudget budget) {
    this.budget = budget;
  }

  boolean isEmpty() {
    return items.isEmpty();
  }

  /** Number of responses that are pending. */
  int pendingResponses() {
    return pendingResponses;
  }

  /** Whether a further request would be refused, so that its body need not be kept. */
  boolean isFull() {
    return pendingResponses >= MAX_REQUESTS;
  }

  /** Whether the connection should take no more input if another invalid request comes. */
  boolean hasMaxInvalidRequests() {
    return invalidRequests >= MAX_INVALID_REQUESTS;
  }

  /** Whether the connection should take no more input. Any number of equal refusals takes one item, so this
   * needs a client that alternates requests with different responses. */
  boolean hasMaxItems() {
    return items.size() >= MAX_ITEMS;
  }

  /** Adds an item, or a refusal in place of a request for which there is no room. Returns what was added. */
  InboundRequest add(InboundRequest item) {
    boolean hasRoom = !item.isRequest() || !isFull() && budget.tryReserve(bytesOf(item));
    InboundRequest added = hasRoom ? item : item.rejectedWith(HttpResponseStatus.SERVICE_UNAVAILABLE);
    pendingResponses++;
    invalidRequests += added.isInvalid() ? 1 : 0;
    InboundRequest merged = items.isEmpty() ? null : items.peekLast().mergedWith(added);
    if (merged != null) {
      items.pollLast();
      items.add(merged);
    } else {
      items.add(added);
      budget.reserve(added.isRequest() ? 0 : ERROR_BYTES);
    }
    return added;
  }

  /** The next item; null if there is none. */
  InboundRequest peek() {
    return items.peek();
  }

  /** Removes the next item; there must be one. */
  InboundRequest remove() {
    return remove(Integer.MAX_VALUE);
  }

  /** Removes the next item, or {@code maxCount} of the equal responses that it stands for. */
  InboundRequest remove(int maxCount) {
    InboundRequest item = items.remove();
    int removed = Math.min(item.count(), maxCount);
    if (removed < item.count()) {
      items.addFirst(item.withCount(item.count() - removed));
    } else {
      budget.release(bytesOf(item));
    }
    pendingResponses -= removed;
    invalidRequests -= item.isInvalid() ? removed : 0;
    return item.withCount(removed);
  }

  void clear() {
    while (!items.isEmpty()) {
      remove();
    }
  }

  /** When the first of all pending responses is due, us; {@link Long#MAX_VALUE} if there is none. */
  long earliestRespondBy() {
    return items.stream().mapToLong(InboundRequest::respondBy).min().orElse(Long.MAX_VALUE);
  }

  private static long bytesOf(InboundRequest item) {
    return item.isRequest() ? REQUEST_OVERHEAD_BYTES + item.heldBytes() : ERROR_BYTES;
  }
}
