package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.HttpResponseStatus;
import org.junit.jupiter.api.Test;

/** What waits on a connection is counted, and stays in order although equal responses take one item. */
class RequestQueueTest {
  private static final int BUDGET_BYTES = 100_000;

  private final ByteBudget budget = new ByteBudget(BUDGET_BYTES);
  private final RequestQueue queue = new RequestQueue(budget);

  private static InboundRequest request(int bodyBytes) {
    return new InboundRequest(null, new byte[bodyBytes], 0, 0, 10, null, false, 1);
  }

  private static InboundRequest refusal(long respondBy, boolean close) {
    return InboundRequest.rejected(HttpResponseStatus.SERVICE_UNAVAILABLE, respondBy, close);
  }

  /** Guards against hundreds of refusals of one client that take memory in no sum (review/8). */
  @Test
  void equalRefusalsAreOneItemWithTheEarliestDeadline() {
    queue.add(refusal(30, false));
    queue.add(refusal(20, false));
    queue.add(refusal(40, false));
    assertEquals(3, queue.pendingResponses());
    assertEquals(20, queue.earliestRespondBy());
    assertEquals(3, queue.remove().count());
    assertTrue(queue.isEmpty());
    assertEquals(0, budget.used());
  }

  /** Reading goes on however many requests are refused, as the client's end stands behind them. */
  @Test
  void anyNumberOfEqualRefusalsTakesOneItemAndIsAnsweredInParts() {
    for (int i = 0; i < 100_000; i++) {
      queue.add(refusal(1, false));
    }
    assertTrue(budget.used() < 1000);
    assertEquals(64, queue.remove(64).count());
    assertEquals(100_000 - 64, queue.pendingResponses());
    assertEquals(100_000 - 64, queue.remove().count());
    assertEquals(0, budget.used());
  }

  @Test
  void theNumberOfItemsIsLimitedWhereResponsesDiffer() {
    for (int i = 0; !queue.hasMaxItems(); i++) {
      assertTrue(i < 200, "items: " + i);
      queue.add(i % 2 == 0 ? refusal(1, false) : InboundRequest.rejected(HttpResponseStatus.OK, 1, false));
    }
  }

  @Test
  void onlyEqualNeighboursAreMerged() {
    queue.add(refusal(1, false));
    queue.add(InboundRequest.rejected(HttpResponseStatus.BAD_REQUEST, 1, false));
    queue.add(request(0));
    queue.add(refusal(1, false));
    queue.add(refusal(1, true));
    int[] counts = {1, 1, 1, 1, 1};
    for (int count : counts) {
      assertEquals(count, queue.remove().count());
    }
    assertNull(queue.peek());
    assertEquals(0, budget.used());
  }

  @Test
  void theRequestBehindAFullQueueIsRefusedAndKeepsNoBody() {
    for (int i = 0; i < 32; i++) {
      assertTrue(queue.add(request(10)).isRequest());
    }
    long used = budget.used();
    assertTrue(queue.isFull());
    InboundRequest refused = queue.add(request(10_000));
    assertEquals(HttpResponseStatus.SERVICE_UNAVAILABLE, refused.errorStatus());
    assertTrue(budget.used() - used < 1000);
    queue.clear();
    assertEquals(0, budget.used());
  }

  /** A target may be a hundred times as long as usual, and 32 of them may wait on each connection. */
  @Test
  void theTextsOfARequestCountToo() {
    RequestHead head = new RequestHead("t1", "GET", "/get/" + "x".repeat(7000), "get", "gold", 0, "key", 1, 1,
        1, 0, 1, false, false, 0);
    queue.add(new InboundRequest(head, new byte[10], 0, 0, 10, null, false, 1));
    assertTrue(budget.used() >= 7000 + "key".length() + 10, "used: " + budget.used());
    queue.clear();
    assertEquals(0, budget.used());
  }

  @Test
  void aRequestThatExceedsTheBudgetIsRefused() {
    assertTrue(queue.add(request(BUDGET_BYTES - 2000)).isRequest());
    assertFalse(queue.add(request(2000)).isRequest());
  }

  @Test
  void invalidRequestsAreCountedOneByOne() {
    for (int i = 0; i < 32; i++) {
      assertFalse(queue.hasMaxInvalidRequests());
      queue.add(InboundRequest.rejected(HttpResponseStatus.BAD_REQUEST, 1, false));
    }
    assertTrue(queue.hasMaxInvalidRequests());
    queue.remove();
    assertFalse(queue.hasMaxInvalidRequests());
  }
}
