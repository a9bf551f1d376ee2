package hollyslip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hollyslip.HostScheduler.*;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Volumes whose terms change, or that go, while requests flow. */
class TermsTest {
  private static final long START = 50_000_000;

  private final Choice choice = new Choice(Worlds.settings());
  private final List<Long> sentAt = new ArrayList<>();
  private final List<Action> actions = new ArrayList<>();
  private long now = START;
  private long id;

  private void tell(Event e) {
    choice.handle(now, e, a -> {
      actions.add(a);
      if (a instanceof Send) {
        sentAt.add(now);
      }
    });
  }

  private static Plan limited(double limit, double burst) {
    return new Plan("own", 100, 0, 1, 1, limit, burst, 0);
  }

  /** Requests of one unit of volume 9, one a ms, each answered at once. */
  private void flow(long us) {
    for (long until = now + us; now < until; now += 1_000) {
      actions.clear();
      tell(Worlds.request(++id, "read", "free", null, 9, 1, 0));
      for (Action a : List.copyOf(actions)) {
        if (a instanceof Send s) {
          tell(new Outcome(s.request(), 0, s.node(), Result.OK, true, 500, 0, 0, null));
        }
      }
    }
  }

  private void start() {
    tell(new NodeList(true, List.of(Worlds.node(1, 0, NodeState.ON, 0))));
  }

  private long sent(long from, long to) {
    return sentAt.stream().filter(t -> t >= from && t < to).count();
  }

  /** In any span behind a change what is sent stays under the new limit and its burst: a change refills
   * nothing, up or down. */
  @Test
  void aChangedLimitHoldsFromTheMomentItIsTold() {
    start();
    tell(new VolumeChanged(9, 1, limited(500, 50), 0, 0));
    flow(1_000_000);
    long lowered = now;
    tell(new VolumeChanged(9, 1, limited(50, 5), 0, 0));
    flow(1_000_000);
    for (long w = 1_000; w <= 1_000_000; w += 1_000) {
      assertTrue(sent(lowered, lowered + w) <= 50 * w / 1e6 + 5, "in " + w + " us after lowering");
    }
    assertTrue(sent(lowered, now) >= 45);
    long raised = now;
    tell(new VolumeChanged(9, 1, limited(500, 50), 0, 0));
    flow(100_000);
    for (long w = 1_000; w <= 100_000; w += 1_000) {
      assertTrue(sent(raised, raised + w) <= 500 * w / 1e6 + 5, "in " + w + " us after raising");
    }
  }

  /** A limit that a volume did not have starts empty, also for requests that were held before. */
  @Test
  void aNewLimitStartsEmptyAndBindsWhatIsHeld() {
    start();
    flow(10_000);
    for (int i = 0; i < 40; i++) {
      tell(Worlds.request(++id, "read", "free", null, 9, 1, 0));
    }
    long held = sentAt.size();
    tell(new VolumeChanged(9, 1, limited(10, 5), 0, 0));
    actions.clear();
    for (long r = 1; r <= id; r++) {
      tell(new Outcome(r, 0, 1, Result.OK, true, 500, 0, 0, null));
    }
    assertEquals(held, sentAt.size(), "nothing held was sent on the old terms");
  }

  private Choice.Volume volume(Choice.Node n, long key, double record) {
    Choice.Volume v = new Choice.Volume(1, 6, 0);
    v.record = record;
    n.volumes.put(key, v);
    return v;
  }

  /** Records are claims on each other: their sum stays, whoever leaves, and no sign turns. */
  @Test
  void aVolumeThatLeavesSettlesItsLoans() {
    Choice.Node n = choice.new Node(Worlds.node(1, 0, NodeState.ON, 0));
    Choice.Volume lender = volume(n, 1, 30);
    Choice.Volume other = volume(n, 2, 10);
    Choice.Volume borrower = volume(n, 3, -25);
    Choice.Volume second = volume(n, 4, -15);
    n.settle(borrower, 0);
    assertEquals(30 - 25 * 0.75, lender.record, 1e-9);
    assertEquals(10 - 25 * 0.25, other.record, 1e-9);
    assertEquals(-15, second.record, 1e-9);
    n.settle(lender, 0);
    assertEquals(-3.75, second.record, 1e-9);
    assertEquals(3.75, other.record, 1e-9);
  }

  /** A record ages by the periods that its volume missed, whether they are counted one by one or at once. */
  @Test
  void aQuietRecordAgesByThePeriodsMissed() {
    Choice.Volume v = new Choice.Volume(1, 6, 0);
    v.record = 100;
    v.fade(3);
    v.fade(3);
    v.fade(10);
    assertEquals(100 * Math.pow(Choice.RECORD_KEEP, 10), v.record, 1e-9);
  }

  @Test
  void aRecordIsRescaledWithTheWeight() {
    Choice.Node n = choice.new Node(Worlds.node(1, 0, NodeState.ON, 0));
    Choice.Volume lender = volume(n, 1, 20);
    Choice.Volume borrower = volume(n, 2, -20);
    n.settle(borrower, 0.5);
    assertEquals(-10, borrower.record, 1e-9);
    assertEquals(10, lender.record, 1e-9);
    n.settle(borrower, 1.5);
    assertEquals(15, lender.record, 1e-9);
  }

  /** What is known of a removed volume goes with its last request, not before. */
  @Test
  void aRemovedVolumeIsForgottenWhenNothingIsInFlight() {
    start();
    tell(new VolumeChanged(9, 1, limited(10, 5), 0, 0));
    now += 1_000_000;
    tell(Worlds.request(++id, "read", "free", null, 9, 1, 0));
    long inFlight = id;
    assertEquals(1, sentAt.size());
    tell(new VolumeRemoved(9));
    long before = sentAt.size();
    for (int i = 0; i < 8; i++) {
      tell(Worlds.request(++id, "read", "free", null, 9, 1, 0));
    }
    assertTrue(sentAt.size() - before <= 5, "the limit still holds while one is in flight");
    for (long r = inFlight; r <= id; r++) {
      tell(new Outcome(r, 0, 1, Result.OK, true, 500, 0, 0, null));
      tell(new Departed(r));
    }
    before = sentAt.size();
    flow(20_000);
    assertTrue(sentAt.size() >= before + 20, "the plan that requests name counts again");
  }

  /** Units granted to volumes 1 to 3 in the three seconds behind the removal of volume 1, or behind where it
   * would have been; the same seed and the same arrivals, more than the node can do. */
  private static long[] granted(boolean removed) {
    Choice module = new Choice(Worlds.settings());
    java.util.PriorityQueue<long[]> ends = new java.util.PriorityQueue<>((x, y) -> Long.compare(x[0], y[0]));
    java.util.Map<Long, Integer> volumes = new java.util.HashMap<>();
    long[] units = new long[4];
    long[] now = {START};
    long id = 0;
    java.util.function.Consumer<Action> out = a -> {
      if (a instanceof Send s) {
        // One at a time at the node: each ends 2 ms behind the one before, at the earliest.
        long last = ends.stream().mapToLong(e -> e[0]).max().orElse(0);
        ends.add(new long[]{Math.max(last, now[0]) + 2_000, s.request()});
        units[volumes.get(s.request())] += now[0] >= START + 3_000_000 ? 1 : 0;
      } else if (a instanceof Refuse r) {
        volumes.remove(r.request());
      }
    };
    module.handle(now[0], new NodeList(true, List.of(Worlds.node(1, 0, NodeState.ON, 0))), out);
    for (int v = 1; v <= 3; v++) {
      module.handle(now[0], new VolumeChanged(v, 1, new Plan("p" + v, 100, 0, 1, 1, v == 1 ? 0 : 100, 20, 0),
          v, 1), out);
    }
    boolean told = false;
    for (; now[0] < START + 6_000_000; now[0] += 1_000) {
      while (!ends.isEmpty() && ends.peek()[0] <= now[0]) {
        long r = ends.poll()[1];
        module.handle(now[0], new Outcome(r, 0, 1, Result.OK, true, 4_000, 0, 0, null), out);
        volumes.remove(r);
      }
      boolean gone = removed && now[0] >= START + 3_000_000;
      long step = (now[0] - START) / 1_000;
      for (int v = gone ? 2 : 1; v <= 3; v++) {
        if (step % 4 == v % 4) {
          volumes.put(++id, v);
          module.handle(now[0], Worlds.request(id, "read", "free", null, v, 1, 0), out);
        }
      }
      if (gone && !told && !volumes.containsValue(1)) {
        module.handle(now[0], new VolumeRemoved(1), out);
        told = true;
      }
      module.handle(now[0], new TimerDue(now[0]), out);
    }
    assertEquals(removed, told, "the removal came to its end");
    return units;
  }

  /** Two volumes ask for more than their limits allow, beside a third that takes all it can get: when that
   * one is removed in the middle of it, what the two are granted stays within two percent. */
  @Test
  void aRemovalMovesNobodyElsesServiceByMoreThanTwoPercent() {
    long[] without = granted(false);
    long[] with = granted(true);
    assertTrue(without[1] > 300, "the third had work in flight");
    for (int v = 2; v <= 3; v++) {
      assertTrue(without[v] > 250, without[v] + " granted");
      assertEquals(without[v], with[v], without[v] * 0.02, "volume " + v);
    }
  }

  /** Two ways to divide by tenant, then by volume. Tenants 1 and 2 weigh the same; tenant 1 has two volumes,
   * of which one is quiet. Weights multiplied out beforehand give its other volume a third of the tokens;
   * groups in the allocation give it the tenant's half. */
  @Test
  void aGroupGetsItsPartThroughWhicheverOfItsVolumesAsk() {
    Choice.Volume flatA = new Choice.Volume(0.5, 6, 0);
    Choice.Volume flatB = new Choice.Volume(1, 6, 0);
    Choice.initialAllocation(List.of(flatA, flatB), 90);
    assertEquals(30, flatA.alpha, 1e-9);
    Choice.Volume a = grouped(1, 1, 1);
    Choice.Volume quiet = grouped(3, 1, 1);
    Choice.Volume b = grouped(2, 5, 2);
    Choice.initialAllocation(List.of(a, b), 90);
    assertEquals(45, a.alpha, 1e-9);
    Choice.initialAllocation(List.of(a, quiet, b), 90);
    assertEquals(22.5, a.alpha, 1e-9);
    assertEquals(45, b.alpha, 1e-9);
  }

  private static Choice.Volume grouped(long key, double weight, long group) {
    Choice.Volume v = new Choice.Volume(1, 6, 0);
    v.share(weight, group, 1);
    return v;
  }
}
