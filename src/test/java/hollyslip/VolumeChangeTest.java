package hollyslip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hollyslip.HostScheduler.*;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Volumes whose plan changes, or that are removed, under traffic. */
class VolumeChangeTest {
  private static final long START = 50_000_000;

  private final TokenBorrowingScheduler scheduler = new TokenBorrowingScheduler(Fixtures.settings());
  private final List<Long> sendTimes = new ArrayList<>();
  private final List<Action> actions = new ArrayList<>();
  private long now = START;
  private long lastId;

  private void deliver(Event event) {
    scheduler.handle(now, event, action -> {
      actions.add(action);
      if (action instanceof Send) {
        sendTimes.add(now);
      }
    });
  }

  private static Plan planWithLimit(double limit, double burst) {
    return new Plan("own", 100, 0, 1, 1, limit, burst, 0);
  }

  /** Submits one request of one unit for volume 9 per ms; each attempt succeeds at once. */
  private void runTraffic(long durationUs) {
    for (long end = now + durationUs; now < end; now += 1_000) {
      actions.clear();
      deliver(Fixtures.request(++lastId, "read", "free", null, 9, 1, 0));
      for (Action a : List.copyOf(actions)) {
        if (a instanceof Send s) {
          deliver(new AttemptEnded(s.request(), 0, s.node(), Result.OK, true, 500, 0, 0, null));
        }
      }
    }
  }

  private void listOneNode() {
    deliver(new NodeList(true, List.of(Fixtures.node(1, 0, NodeState.ON, 0))));
  }

  private long sendsBetween(long from, long to) {
    return sendTimes.stream().filter(t -> t >= from && t < to).count();
  }

  /** In any span after a change, traffic stays within the new limit and its burst: neither raising nor
   * lowering the limit refills the bucket. */
  @Test
  void aChangedLimitAppliesAtOnce() {
    listOneNode();
    deliver(new VolumeChanged(9, 1, planWithLimit(500, 50), 0, 0));
    runTraffic(1_000_000);
    long lowered = now;
    deliver(new VolumeChanged(9, 1, planWithLimit(50, 5), 0, 0));
    runTraffic(1_000_000);
    for (long spanUs = 1_000; spanUs <= 1_000_000; spanUs += 1_000) {
      assertTrue(sendsBetween(lowered, lowered + spanUs) <= 50 * spanUs / 1e6 + 5, "in " + spanUs
          + " us after lowering");
    }
    assertTrue(sendsBetween(lowered, now) >= 45);
    long raised = now;
    deliver(new VolumeChanged(9, 1, planWithLimit(500, 50), 0, 0));
    runTraffic(100_000);
    for (long spanUs = 1_000; spanUs <= 100_000; spanUs += 1_000) {
      assertTrue(sendsBetween(raised, raised + spanUs) <= 500 * spanUs / 1e6 + 5, "in " + spanUs
          + " us after raising");
    }
  }

  /** A limit that is new to a volume starts with an empty bucket, also for requests queued before. */
  @Test
  void aNewLimitStartsEmptyAndAppliesToQueuedRequests() {
    listOneNode();
    runTraffic(10_000);
    for (int i = 0; i < 40; i++) {
      deliver(Fixtures.request(++lastId, "read", "free", null, 9, 1, 0));
    }
    long sendsBefore = sendTimes.size();
    deliver(new VolumeChanged(9, 1, planWithLimit(10, 5), 0, 0));
    actions.clear();
    for (long r = 1; r <= lastId; r++) {
      deliver(new AttemptEnded(r, 0, 1, Result.OK, true, 500, 0, 0, null));
    }
    assertEquals(sendsBefore, sendTimes.size(), "no queued request was sent under the old plan");
  }

  private TokenBorrowingScheduler.VolumeQueue volumeWithRecord(TokenBorrowingScheduler.Node node, long key,
      double record) {
    TokenBorrowingScheduler.VolumeQueue volume = new TokenBorrowingScheduler.VolumeQueue(1, 6, 0);
    volume.record = record;
    node.volumes.put(key, volume);
    return volume;
  }

  /** Records are claims on each other: when a volume leaves, their sum stays and none changes its sign. */
  @Test
  void aRemovedVolumeSettlesItsRecord() {
    TokenBorrowingScheduler.Node node = scheduler.new Node(Fixtures.node(1, 0, NodeState.ON, 0));
    TokenBorrowingScheduler.VolumeQueue lender = volumeWithRecord(node, 1, 30);
    TokenBorrowingScheduler.VolumeQueue secondLender = volumeWithRecord(node, 2, 10);
    TokenBorrowingScheduler.VolumeQueue borrower = volumeWithRecord(node, 3, -25);
    TokenBorrowingScheduler.VolumeQueue secondBorrower = volumeWithRecord(node, 4, -15);
    node.rescaleRecord(borrower, 0);
    assertEquals(30 - 25 * 0.75, lender.record, 1e-9);
    assertEquals(10 - 25 * 0.25, secondLender.record, 1e-9);
    assertEquals(-15, secondBorrower.record, 1e-9);
    node.rescaleRecord(lender, 0);
    assertEquals(-3.75, secondBorrower.record, 1e-9);
    assertEquals(3.75, secondLender.record, 1e-9);
  }

  /** A record decays by the periods that its volume missed, whether counted one by one or at once. */
  @Test
  void anIdleRecordDecaysByThePeriodsMissed() {
    TokenBorrowingScheduler.VolumeQueue v = new TokenBorrowingScheduler.VolumeQueue(1, 6, 0);
    v.record = 100;
    v.decayRecord(3);
    v.decayRecord(3);
    v.decayRecord(10);
    assertEquals(100 * Math.pow(TokenBorrowingScheduler.RECORD_DECAY, 10), v.record, 1e-9);
  }

  @Test
  void aRecordIsRescaledWithTheWeight() {
    TokenBorrowingScheduler.Node node = scheduler.new Node(Fixtures.node(1, 0, NodeState.ON, 0));
    TokenBorrowingScheduler.VolumeQueue lender = volumeWithRecord(node, 1, 20);
    TokenBorrowingScheduler.VolumeQueue borrower = volumeWithRecord(node, 2, -20);
    node.rescaleRecord(borrower, 0.5);
    assertEquals(-10, borrower.record, 1e-9);
    assertEquals(10, lender.record, 1e-9);
    node.rescaleRecord(borrower, 1.5);
    assertEquals(15, lender.record, 1e-9);
  }

  /** The state of a removed volume is dropped with its last request, not before. */
  @Test
  void aRemovedVolumeIsForgottenWhenNothingIsInFlight() {
    listOneNode();
    deliver(new VolumeChanged(9, 1, planWithLimit(10, 5), 0, 0));
    now += 1_000_000;
    deliver(Fixtures.request(++lastId, "read", "free", null, 9, 1, 0));
    long inFlight = lastId;
    assertEquals(1, sendTimes.size());
    deliver(new VolumeRemoved(9));
    long before = sendTimes.size();
    for (int i = 0; i < 8; i++) {
      deliver(Fixtures.request(++lastId, "read", "free", null, 9, 1, 0));
    }
    assertTrue(sendTimes.size() - before <= 5, "the limit still applies while a request is in flight");
    for (long r = inFlight; r <= lastId; r++) {
      deliver(new AttemptEnded(r, 0, 1, Result.OK, true, 500, 0, 0, null));
      deliver(new RequestAbandoned(r));
    }
    before = sendTimes.size();
    runTraffic(20_000);
    assertTrue(sendTimes.size() >= before + 20, "the plan named by the requests applies again");
  }

  /** Units granted to volumes 1 to 3 in the three seconds after the removal of volume 1, or after the time at
   * which it would have been removed; same seed and same arrivals, which exceed the capacity of the node. */
  private static long[] unitsGranted(boolean removed) {
    TokenBorrowingScheduler scheduler = new TokenBorrowingScheduler(Fixtures.settings());
    java.util.PriorityQueue<long[]> completions = new java.util.PriorityQueue<>(
        (x, y) -> Long.compare(x[0], y[0]));
    java.util.Map<Long, Integer> openRequests = new java.util.HashMap<>();
    long[] units = new long[4];
    long[] now = {START};
    long id = 0;
    java.util.function.Consumer<Action> actionHandler = a -> {
      if (a instanceof Send s) {
        // The node serves one request at a time: each ends at least 2 ms after the one before.
        long lastEnd = completions.stream().mapToLong(e -> e[0]).max().orElse(0);
        completions.add(new long[]{Math.max(lastEnd, now[0]) + 2_000, s.request()});
        units[openRequests.get(s.request())] += now[0] >= START + 3_000_000 ? 1 : 0;
      } else if (a instanceof Refuse r) {
        openRequests.remove(r.request());
      }
    };
    scheduler.handle(now[0], new NodeList(true, List.of(Fixtures.node(1, 0, NodeState.ON, 0))),
        actionHandler);
    for (int v = 1; v <= 3; v++) {
      scheduler.handle(now[0], new VolumeChanged(v, 1,
          new Plan("p" + v, 100, 0, 1, 1, v == 1 ? 0 : 100, 20, 0), v, 1), actionHandler);
    }
    boolean removalDelivered = false;
    for (; now[0] < START + 6_000_000; now[0] += 1_000) {
      while (!completions.isEmpty() && completions.peek()[0] <= now[0]) {
        long r = completions.poll()[1];
        scheduler.handle(now[0], new AttemptEnded(r, 0, 1, Result.OK, true, 4_000, 0, 0, null),
            actionHandler);
        openRequests.remove(r);
      }
      boolean pastRemoval = removed && now[0] >= START + 3_000_000;
      long step = (now[0] - START) / 1_000;
      for (int v = pastRemoval ? 2 : 1; v <= 3; v++) {
        if (step % 4 == v % 4) {
          openRequests.put(++id, v);
          scheduler.handle(now[0], Fixtures.request(id, "read", "free", null, v, 1, 0), actionHandler);
        }
      }
      if (pastRemoval && !removalDelivered && !openRequests.containsValue(1)) {
        scheduler.handle(now[0], new VolumeRemoved(1), actionHandler);
        removalDelivered = true;
      }
      scheduler.handle(now[0], new TimerFired(now[0]), actionHandler);
    }
    assertEquals(removed, removalDelivered, "whether the removal was delivered");
    return units;
  }

  /** Two volumes demand more than their limits allow, beside a third without a limit: when the third is
   * removed under load, the units granted to the two stay within two percent. */
  @Test
  void aRemovalChangesTheServiceOfOthersByAtMostTwoPercent() {
    long[] without = unitsGranted(false);
    long[] with = unitsGranted(true);
    assertTrue(without[1] > 300, "the unlimited volume was served");
    for (int v = 2; v <= 3; v++) {
      assertTrue(without[v] > 250, without[v] + " granted");
      assertEquals(without[v], with[v], without[v] * 0.02, "volume " + v);
    }
  }

  /** Compares two ways to share by tenant, then by volume. Tenants 1 and 2 have equal weights; tenant 1 has
   * two volumes, one of them idle. With weights multiplied out beforehand its active volume gets a third of
   * the tokens; with groups in the allocation it gets the tenant's half. */
  @Test
  void aGroupsShareGoesToItsActiveVolumes() {
    TokenBorrowingScheduler.VolumeQueue flatA = new TokenBorrowingScheduler.VolumeQueue(0.5, 6, 0);
    TokenBorrowingScheduler.VolumeQueue flatB = new TokenBorrowingScheduler.VolumeQueue(1, 6, 0);
    TokenBorrowingScheduler.initialAllocation(List.of(flatA, flatB), 90);
    assertEquals(30, flatA.allocation, 1e-9);
    TokenBorrowingScheduler.VolumeQueue a = volumeInGroup(1, 1, 1);
    TokenBorrowingScheduler.VolumeQueue idle = volumeInGroup(3, 1, 1);
    TokenBorrowingScheduler.VolumeQueue b = volumeInGroup(2, 5, 2);
    TokenBorrowingScheduler.initialAllocation(List.of(a, b), 90);
    assertEquals(45, a.allocation, 1e-9);
    TokenBorrowingScheduler.initialAllocation(List.of(a, idle, b), 90);
    assertEquals(22.5, a.allocation, 1e-9);
    assertEquals(45, b.allocation, 1e-9);
  }

  private static TokenBorrowingScheduler.VolumeQueue volumeInGroup(long key, double weight, long group) {
    TokenBorrowingScheduler.VolumeQueue v = new TokenBorrowingScheduler.VolumeQueue(1, 6, 0);
    v.setWeights(weight, group, 1);
    return v;
  }
}
