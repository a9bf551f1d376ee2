package hollyslip.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hollyslip.admission.AdmissionQueue.Owner;
import hollyslip.admission.AdmissionQueue.Ticket;
import hollyslip.admission.AdmissionQueue.Rejected;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.junit.jupiter.api.Test;

class AdmissionQueueTest {
  private static Owner owner(String tenant, double weight, long volume) {
    return new Owner(tenant, weight, volume, 1);
  }

  /** Two tenants with weights 1 and 3 and different request sizes, always with requests waiting: the admitted
   * cost follows the weights. */
  @Test
  void tenantsAreAdmittedByWeightWhateverTheirRequestSizes() {
    AdmissionQueue<String> queue = new AdmissionQueue<>(10_000, 1);
    for (int i = 0; i < 2_000; i++) {
      queue.enqueue(0, "small", owner("a", 1, 1), 1);
      queue.enqueue(0, "large", owner("b", 3, 2), 8);
    }
    Map<String, Double> cost = new HashMap<>();
    for (int i = 0; i < 800; i++) {
      Ticket<String> ticket = queue.pollAdmitted(i);
      cost.merge(ticket.item(), ticket.item().equals("small") ? 1.0 : 8.0, Double::sum);
      queue.release(ticket);
    }
    assertEquals(3, cost.get("large") / cost.get("small"), 0.05);
  }

  /** The volumes of a tenant divide its share and do not reduce that of another tenant. */
  @Test
  void moreVolumesDoNotIncreaseATenantsShare() {
    AdmissionQueue<Long> queue = new AdmissionQueue<>(10_000, 1);
    for (int i = 0; i < 1_000; i++) {
      queue.enqueue(0, 0L, owner("one", 1, 1), 1);
      queue.enqueue(0, 1L, owner("many", 1, 2 + i % 50), 1);
    }
    int one = 0;
    for (int i = 0; i < 400; i++) {
      Ticket<Long> ticket = queue.pollAdmitted(i);
      one += ticket.item() == 0 ? 1 : 0;
      queue.release(ticket);
    }
    assertEquals(200, one, 2);
  }

  /** Admitted requests that are held up, for example by a rate limit, block no other tenant and no other
   * volume of the same tenant. */
  @Test
  void longAdmittedRequestsDoNotBlockOthers() {
    AdmissionQueue<String> queue = new AdmissionQueue<>(1_000, 8);
    for (int i = 0; i < 50; i++) {
      queue.enqueue(0, "stuck", owner("a", 1, 1), 1);
    }
    int stuck = 0;
    for (Ticket<String> ticket = queue.pollAdmitted(0); ticket != null; ticket = queue.pollAdmitted(0)) {
      stuck++;
    }
    assertEquals(8, stuck);
    queue.enqueue(1, "other", owner("b", 1, 2), 1);
    assertEquals("other", queue.pollAdmitted(1).item());
    queue.enqueue(1, "sibling", owner("a", 1, 3), 1);
    assertEquals("sibling", queue.pollAdmitted(1).item());
    assertNull(queue.pollAdmitted(1));
    assertTrue(queue.admitted() <= 16);
  }

  /** A full queue rejects a request of the tenant with the most waiting requests for its weight. */
  @Test
  void fullQueueRejectsTheHeaviestTenant() {
    AdmissionQueue<String> queue = new AdmissionQueue<>(100, 1);
    for (int i = 0; i < 100; i++) {
      queue.enqueue(i, "heavy", owner("h", 1, 1), 1);
      assertNull(queue.pollRejected(i));
    }
    queue.enqueue(101, "light", owner("l", 1, 2), 1);
    assertEquals("heavy", queue.pollRejected(101).item());
    assertNull(queue.pollRejected(101));
    assertEquals(100, queue.waiting());
  }

  @Test
  void requestIsAdmittedAtOnceWithoutBacklog() {
    AdmissionQueue<String> queue = new AdmissionQueue<>(100, 2);
    Ticket<String> one = queue.tryAdmit(0, "one", owner("a", 1, 1), 1);
    assertTrue(one != null && !one.waiting() && queue.admitted() == 1);
    assertTrue(queue.tryAdmit(0, "two", owner("a", 1, 1), 1) != null);
    assertNull(queue.tryAdmit(0, "three", owner("b", 1, 2), 1), "no capacity");
    queue.enqueue(0, "three", owner("b", 1, 2), 1);
    queue.release(one);
    assertNull(queue.tryAdmit(0, "four", owner("a", 1, 1), 1), "three is waiting");
    assertEquals("three", queue.pollAdmitted(0).item());
  }

  @Test
  void cancelledRequestsAreNotAdmittedAndLeaveNoState() {
    AdmissionQueue<Integer> queue = new AdmissionQueue<>(100, 4);
    List<Ticket<Integer>> all = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      all.add(queue.enqueue(0, i, owner("t" + i % 7, 1, i % 11), 1));
    }
    all.stream().filter(ticket -> ticket.item() % 2 == 0).forEach(queue::cancel);
    int admitted = 0;
    for (Ticket<Integer> ticket = queue.pollAdmitted(0); ticket != null; ticket = queue.pollAdmitted(0)) {
      assertEquals(1, ticket.item() % 2);
      queue.release(ticket);
      queue.release(ticket);
      admitted++;
    }
    assertEquals(20, admitted);
    assertEquals(0, queue.flowCount());
    assertEquals(0, queue.admitted());
  }

  /** 100,000 clients with one request each and one client with ten times its share, against a queue that
   * serves one unit per 100 us: memory stays bounded, the heavy client gets no more than its share, and
   * rejected clients are served within a fifth of the delay that they were told. */
  @Test
  void rejectedClientsAreServedAboutWhenTold() {
    int maxWaiting = 2_000;
    AdmissionQueue<long[]> queue = new AdmissionQueue<>(maxWaiting, 1);
    PriorityQueue<long[]> arrivals = new PriorityQueue<>((a, b) -> Long.compare(a[0], b[0]));
    // Arrival time, client, time of the first rejection, retry time given then.
    for (int i = 1; i <= 100_000; i++) {
      arrivals.add(new long[]{i * 50L, i, 0, 0});
    }
    for (int i = 0; i < 1_000; i++) {
      arrivals.add(new long[]{i * 5_000L, 0, 0, 0});
    }
    ArrayDeque<Ticket<long[]>> admitted = new ArrayDeque<>();
    int maxFlows = 0;
    int heavyEarly = 0;
    int servedEarly = 0;
    List<Double> relativeDelays = new ArrayList<>();
    for (long now = 0; now < 60_000_000 && (!arrivals.isEmpty() || queue.waiting() > 0); now += 100) {
      while (!arrivals.isEmpty() && arrivals.peek()[0] <= now) {
        long[] client = arrivals.poll();
        queue.enqueue(now, client, owner("client-" + client[1], 1, client[1]), 1);
        for (Rejected<long[]> rejected = queue.pollRejected(now); rejected != null; rejected = queue
            .pollRejected(now)) {
          assertTrue(rejected.retryAfterUs() > 0);
          long firstRejectedAt = rejected.item()[2] == 0 ? now : rejected.item()[2];
          arrivals.add(new long[]{now + rejected.retryAfterUs(), rejected.item()[1], firstRejectedAt, rejected
              .item()[3] == 0
                  ? now + rejected.retryAfterUs()
                  : rejected.item()[3]});
        }
        maxFlows = Math.max(maxFlows, queue.flowCount());
      }
      Ticket<long[]> ticket = queue.pollAdmitted(now);
      if (ticket != null) {
        admitted.add(ticket);
        long[] client = ticket.item();
        if (now <= 5_000_000) {
          servedEarly++;
          heavyEarly += client[1] == 0 ? 1 : 0;
        }
        if (client[3] > 0 && client[1] != 0) {
          relativeDelays.add((double) (now - client[2]) / (client[3] - client[2]));
        }
        queue.release(admitted.poll());
      }
    }
    assertTrue(arrivals.stream().allMatch(client -> client[1] == 0) && queue.waiting() == 0,
        "every client but the heavy one is served");
    assertTrue(maxFlows <= 2 * (maxWaiting + 3), "flows with state: " + maxFlows);
    assertTrue(heavyEarly <= servedEarly / 100, heavyEarly + " of " + servedEarly);
    relativeDelays.sort(null);
    assertTrue(relativeDelays.size() > 10_000);
    long onTime = relativeDelays.stream().filter(l -> l > 0.8 && l <= 1.2).count();
    assertTrue(onTime >= relativeDelays.size() * 0.95, onTime + " of " + relativeDelays.size()
        + " within a fifth of the given delay");
  }
}
