package hollyslip.door;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hollyslip.door.AdmissionQueue.Owner;
import hollyslip.door.AdmissionQueue.Ticket;
import hollyslip.door.AdmissionQueue.Rejected;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.junit.jupiter.api.Test;

class DoorTest {
  private static Owner owner(String tenant, double weight, long volume) {
    return new Owner(tenant, weight, volume, 1);
  }

  /** Tenants of weights 1 and 3 with requests of unlike size, all waiting: what gets in is as the weights. */
  @Test
  void tenantsGetInByWeightWhateverTheSizeOfTheirRequests() {
    AdmissionQueue<String> door = new AdmissionQueue<>(10_000, 1);
    for (int i = 0; i < 2_000; i++) {
      door.enqueue(0, "small", owner("a", 1, 1), 1);
      door.enqueue(0, "large", owner("b", 3, 2), 8);
    }
    Map<String, Double> cost = new HashMap<>();
    for (int i = 0; i < 800; i++) {
      Ticket<String> p = door.pollAdmitted(i);
      cost.merge(p.item(), p.item().equals("small") ? 1.0 : 8.0, Double::sum);
      door.release(p);
    }
    assertEquals(3, cost.get("large") / cost.get("small"), 0.05);
  }

  /** One tenant's volumes do not count against another's, and share within it. */
  @Test
  void manyVolumesWinATenantNothing() {
    AdmissionQueue<Long> door = new AdmissionQueue<>(10_000, 1);
    for (int i = 0; i < 1_000; i++) {
      door.enqueue(0, 0L, owner("one", 1, 1), 1);
      door.enqueue(0, 1L, owner("many", 1, 2 + i % 50), 1);
    }
    int one = 0;
    for (int i = 0; i < 400; i++) {
      Ticket<Long> p = door.pollAdmitted(i);
      one += p.item() == 0 ? 1 : 0;
      door.release(p);
    }
    assertEquals(200, one, 2);
  }

  /** Requests that stay inside, as a limit would have it, keep no other tenant and no other volume out. */
  @Test
  void whatStaysInsideKeepsNobodyElseOut() {
    AdmissionQueue<String> door = new AdmissionQueue<>(1_000, 8);
    for (int i = 0; i < 50; i++) {
      door.enqueue(0, "stuck", owner("a", 1, 1), 1);
    }
    int stuck = 0;
    for (Ticket<String> p = door.pollAdmitted(0); p != null; p = door.pollAdmitted(0)) {
      stuck++;
    }
    assertEquals(8, stuck);
    door.enqueue(1, "other", owner("b", 1, 2), 1);
    assertEquals("other", door.pollAdmitted(1).item());
    door.enqueue(1, "sibling", owner("a", 1, 3), 1);
    assertEquals("sibling", door.pollAdmitted(1).item());
    assertNull(door.pollAdmitted(1));
    assertTrue(door.admitted() <= 16);
  }

  /** A full door turns away the one that has most waiting for its weight. */
  @Test
  void theHeavyOneIsTurnedAway() {
    AdmissionQueue<String> door = new AdmissionQueue<>(100, 1);
    for (int i = 0; i < 100; i++) {
      door.enqueue(i, "heavy", owner("h", 1, 1), 1);
      assertNull(door.pollRejected(i));
    }
    door.enqueue(101, "light", owner("l", 1, 2), 1);
    assertEquals("heavy", door.pollRejected(101).item());
    assertNull(door.pollRejected(101));
    assertEquals(100, door.waiting());
  }

  @Test
  void withRoomAndNobodyWaitingARequestGoesStraightIn() {
    AdmissionQueue<String> door = new AdmissionQueue<>(100, 2);
    Ticket<String> one = door.tryAdmit(0, "one", owner("a", 1, 1), 1);
    assertTrue(one != null && !one.waiting() && door.admitted() == 1);
    assertTrue(door.tryAdmit(0, "two", owner("a", 1, 1), 1) != null);
    assertNull(door.tryAdmit(0, "three", owner("b", 1, 2), 1), "no room");
    door.enqueue(0, "three", owner("b", 1, 2), 1);
    door.release(one);
    assertNull(door.tryAdmit(0, "four", owner("a", 1, 1), 1), "three waits");
    assertEquals("three", door.pollAdmitted(0).item());
  }

  @Test
  void whoLeavesIsNotLetInAndNothingIsKeptOfThem() {
    AdmissionQueue<Integer> door = new AdmissionQueue<>(100, 4);
    List<Ticket<Integer>> all = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      all.add(door.enqueue(0, i, owner("t" + i % 7, 1, i % 11), 1));
    }
    all.stream().filter(p -> p.item() % 2 == 0).forEach(door::cancel);
    int in = 0;
    for (Ticket<Integer> p = door.pollAdmitted(0); p != null; p = door.pollAdmitted(0)) {
      assertEquals(1, p.item() % 2);
      door.release(p);
      door.release(p);
      in++;
    }
    assertEquals(20, in);
    assertEquals(0, door.flowCount());
    assertEquals(0, door.admitted());
  }

  /** A hundred thousand clients once each and one with ten times its share, against a door that serves one
   * unit each 100 us: bounded memory, no more than its share for the heavy one, and those told to come back
   * are served within a fifth of the time that they were told. */
  @Test
  void aCrowdIsServedAsItWasTold() {
    int bound = 2_000;
    AdmissionQueue<long[]> door = new AdmissionQueue<>(bound, 1);
    PriorityQueue<long[]> arrivals = new PriorityQueue<>((a, b) -> Long.compare(a[0], b[0]));
    // at, client, told at, told to come at
    for (int i = 1; i <= 100_000; i++) {
      arrivals.add(new long[]{i * 50L, i, 0, 0});
    }
    for (int i = 0; i < 1_000; i++) {
      arrivals.add(new long[]{i * 5_000L, 0, 0, 0});
    }
    ArrayDeque<Ticket<long[]>> inside = new ArrayDeque<>();
    int most = 0;
    int heavyFirst = 0;
    int servedFirst = 0;
    List<Double> late = new ArrayList<>();
    for (long now = 0; now < 60_000_000 && (!arrivals.isEmpty() || door.waiting() > 0); now += 100) {
      while (!arrivals.isEmpty() && arrivals.peek()[0] <= now) {
        long[] client = arrivals.poll();
        door.enqueue(now, client, owner("client-" + client[1], 1, client[1]), 1);
        for (Rejected<long[]> t = door.pollRejected(now); t != null; t = door.pollRejected(now)) {
          assertTrue(t.retryInUs() > 0);
          long first = t.item()[2] == 0 ? now : t.item()[2];
          arrivals.add(new long[]{now + t.retryInUs(), t.item()[1], first, t.item()[3] == 0
              ? now + t.retryInUs()
              : t.item()[3]});
        }
        most = Math.max(most, door.flowCount());
      }
      Ticket<long[]> p = door.pollAdmitted(now);
      if (p != null) {
        inside.add(p);
        long[] c = p.item();
        if (now <= 5_000_000) {
          servedFirst++;
          heavyFirst += c[1] == 0 ? 1 : 0;
        }
        if (c[3] > 0 && c[1] != 0) {
          late.add((double) (now - c[2]) / (c[3] - c[2]));
        }
        door.release(inside.poll());
      }
    }
    assertTrue(arrivals.stream().allMatch(c -> c[1] == 0) && door.waiting() == 0,
        "all but the heavy one are served");
    assertTrue(most <= 2 * (bound + 3), "state for " + most);
    assertTrue(heavyFirst <= servedFirst / 100, heavyFirst + " of " + servedFirst);
    late.sort(null);
    assertTrue(late.size() > 10_000);
    long kept = late.stream().filter(l -> l > 0.8 && l <= 1.2).count();
    assertTrue(kept >= late.size() * 0.95, kept + " of " + late.size() + " within a fifth");
  }
}
