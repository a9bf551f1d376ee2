package hollyslip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hollyslip.HostScheduler.*;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** How long the module keeps a request that it never sent, and what it keeps of volumes. */
class HeldTest {
  private static final long START = 50_000_000;

  private static Request read(long id, long volume, long remainingUs) {
    return new Request(id, "read", "limited", 5L, volume, 2, 77, 2, remainingUs, false);
  }

  /** What follows from a request that no node can take, with the time of its answer. */
  private static long answeredAfter(long remainingUs, Event... before) {
    Choice c = new Choice(Worlds.settings());
    List<Action> all = new ArrayList<>();
    for (Event e : before) {
      c.handle(START, e, all::add);
    }
    c.handle(START, new NodeList(true, List.of(Worlds.node(1, 0, NodeState.ON, 0))), all::add);
    c.handle(START, read(1, 9, remainingUs), all::add);
    long now = START;
    while (!all.contains(new Refuse(1, 0))) {
      now += 1_000;
      c.handle(now, new TimerDue(0), all::add);
    }
    return now - START;
  }

  @Test
  void aRequestThatWasNeverSentIsGivenUpOnceItsAimHasPassed() {
    assertEquals(Worlds.SAFE.aimUs() - 2_000, answeredAfter(2_000_000), 1_000);
  }

  @Test
  void itsClientKeepsHalfOfAShortTime() {
    assertTrue(answeredAfter(300_000) <= 150_000);
  }

  /** From the day of reloads: all clients of a process that ended stayed away for seconds, once each of their
   * connections held a request. */
  @Test
  void whileTheProcessEndsWhatCannotGoSoonIsRefused() {
    assertEquals(Choice.LATENCY_GUESS, answeredAfter(2_000_000, new Stopping(START + 60_000_000)), 3_000);
  }

  /** Taken before the process was told to end, out at a node that says nothing, with a client that waits for
   * longer than the process lives. */
  @Test
  void whatIsOutWhenTheProcessEndsIsAnsweredBeforeItDoes() {
    Choice c = new Choice(Worlds.settings());
    List<Action> all = new ArrayList<>();
    c.handle(START, new NodeList(true, List.of(Worlds.node(1, 0, NodeState.ON, 0))), all::add);
    c.handle(START, Worlds.request(1, "read", "free", 5L, 9, 2, 0), all::add);
    c.handle(START, Worlds.request(2, "write", "free", 5L, 9, 2, 0), all::add);
    assertEquals(2, all.stream().filter(a -> a instanceof Send).count());
    long by = START + 300_000;
    c.handle(START + 1_000, new Stopping(by), all::add);
    for (long now = START + 1_000; now < by; now += 1_000) {
      c.handle(now, new TimerDue(0), all::add);
    }
    assertTrue(all.contains(new Fail(2)), all::toString);
    assertTrue(all.stream().anyMatch(a -> a instanceof Refuse r && r.request() == 1), all::toString);
  }

  @Test
  void aRefusalSaysWhenToComeBackWhereTheSettingsAllowIt() {
    Settings s = Worlds.settings();
    for (boolean allowed : new boolean[]{true, false}) {
      Choice c = new Choice(new Settings(7, 0, 2, "a", 2_000, false, s.classes(), s.plans(), s.rules(),
          new Allowed(4, false, false, false, allowed, 90_000, 250_000), s.store(), s.reportSource(), s
              .reportFields()));
      List<Action> all = new ArrayList<>();
      c.handle(START, new NodeList(true, List.of(Worlds.node(1, 0, NodeState.ON, 0))), all::add);
      int more = (int) Choice.WINDOW_START + 1;
      for (int i = 1; i <= more; i++) {
        c.handle(START, Worlds.request(i, "read", "free", 5L, 9, 2, 0), all::add);
      }
      c.handle(START + Worlds.SAFE.aimUs(), new TimerDue(0), all::add);
      long retryIn = all.stream()
          .filter(a -> a instanceof Refuse r && r.request() == more)
          .mapToLong(a -> ((Refuse) a).retryInUs())
          .findFirst()
          .orElseThrow();
      // Nothing was answered for so long that the bound holds.
      assertEquals(allowed ? 90_000 : 0, retryIn);
    }
  }

  @Test
  void volumesThatAskNoMoreAreForgotten() throws Exception {
    Choice c = new Choice(Worlds.settings());
    long now = START;
    c.handle(now, new NodeList(true, List.of(Worlds.node(1, 77, NodeState.ON, 0))), a -> {});
    int most = 0;
    for (int i = 0; i < 20_000; i++) {
      now += 10_000;
      List<Action> all = new ArrayList<>();
      c.handle(now, read(i, 1_000_000 + i, 2_000_000), all::add);
      for (Action a : List.copyOf(all)) {
        if (a instanceof Send s) {
          c.handle(now + 1_000, new Outcome(s.request(), 0, s.node(), Result.OK, true, 1_000, 0, 0, null),
              all::add);
        }
      }
      most = Math.max(most, size(c, "limits") + size(c, "reserves"));
    }
    assertTrue(most < 6_000, "" + most);
    assertTrue(size(c, "pendings") < 100);
  }

  private static int size(Choice c, String field) throws ReflectiveOperationException {
    var f = Choice.class.getDeclaredField(field);
    f.setAccessible(true);
    return ((Map<?, ?>) f.get(c)).size();
  }

  /** One that came after it on its connection can wait no longer, and answers go out in order. */
  @Test
  void whatHoldsUpAnAnswerBehindItIsAnsweredByThen() {
    Choice c = new Choice(Worlds.settings());
    List<Action> all = new ArrayList<>();
    c.handle(START, new NodeList(true, List.of(Worlds.node(1, 0, NodeState.ON, 0))), all::add);
    c.handle(START, Worlds.request(1, "read", "free", 5L, 9, 2, 0), all::add);
    c.handle(START, Worlds.request(2, "write", "free", 5L, 9, 2, 0), all::add);
    long by = START + 100_000;
    c.handle(START, new Hastened(1, by), all::add);
    c.handle(START, new Hastened(2, START + 60_000_000), all::add);
    for (long now = START; now < by; now += 1_000) {
      c.handle(now, new TimerDue(0), all::add);
    }
    assertTrue(all.stream().anyMatch(a -> a instanceof Refuse r && r.request() == 1), all::toString);
    assertTrue(all.stream().noneMatch(a -> a instanceof Fail), "the other one's time stays as it was");
    c.handle(by, new Hastened(1, by - 1), all::add);
    assertEquals(1, all.stream().filter(a -> a instanceof Refuse).count(), "one answer");
  }
}
