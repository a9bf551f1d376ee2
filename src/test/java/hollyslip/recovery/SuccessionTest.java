package hollyslip.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hollyslip.recovery.Succession.Holder;
import hollyslip.recovery.Succession.Known;
import hollyslip.recovery.Succession.Step;
import hollyslip.recovery.Succession.Verdict;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class SuccessionTest {
  private static Known known(long epoch, int open) {
    return new Known(new Holder(epoch, 77), open);
  }

  @Test
  void aStartTakesAnEpochAboveAllThatIsKnown() {
    assertEquals(1, Succession.start(0, List.of()).epoch());
    assertEquals(4, Succession.start(3, List.of()).epoch());
    assertEquals(9, Succession.start(0, List.of(known(8, 0), known(5, 0))).epoch(), "a lost folder");
    assertEquals(9, Succession.start(6, List.of(known(8, 0))).epoch(), "an older copy");
    assertEquals(9, Succession.start(8, List.of(known(8, 2))).epoch(), "what the last process left open");
  }

  @Test
  void anotherOneThatLivesIsToldFromALostFolder() {
    Step s = Succession.start(0, List.of(known(8, 0), known(8, 2)));
    assertEquals(Verdict.YIELD, s.verdict());
    assertEquals(8, s.other().epoch());
    assertEquals(Verdict.YIELD, Succession.start(7, List.of(known(8, 1))).verdict());
    assertEquals(9, Succession.takeOver(0, List.of(known(8, 2))).epoch());
  }

  @Test
  void inServiceOneOfTwoGoesOn() {
    Holder mine = new Holder(5, 10);
    assertEquals(Verdict.GO_ON, Succession.heard(mine, new Known(mine, 3)).verdict());
    assertEquals(Verdict.GO_ON, Succession.heard(mine, known(4, 3)).verdict());
    assertEquals(Verdict.YIELD, Succession.heard(mine, known(6, 1)).verdict());
    assertEquals(7, Succession.heard(mine, known(6, 0)).epoch(), "nobody is left there");
    Holder twin = new Holder(5, 11);
    assertEquals(Verdict.YIELD, Succession.heard(mine, new Known(twin, 1)).verdict());
    assertEquals(6, Succession.heard(twin, new Known(mine, 1)).epoch());
  }

  /** Two that began at once, each first at other nodes, connect again and again in any order: one is left,
   * and every node lets that one through. */
  @Property(tries = 2_000, seed = "11")
  void ofTwoOfOneNameOneIsLeft(@ForAll @IntRange(min = 1, max = 5) int nodes, @ForAll long seed) {
    var random = new java.util.SplittableRandom(seed);
    Holder[] newest = new Holder[nodes];
    Holder[] at = {new Holder(1 + random.nextInt(2), 1 + random.nextInt(100)), new Holder(1 + random.nextInt(
        2), 200)};
    boolean[] over = new boolean[2];
    List<Integer> order = new ArrayList<>();
    for (int i = 0; i < 40 * nodes; i++) {
      order.add(random.nextInt(2 * nodes));
    }
    for (int round = 0; round < 8; round++) {
      for (int i = 0; i < 2 * nodes; i++) {
        order.add(i);
      }
    }
    for (int step : order) {
      int who = step % 2;
      int node = step / 2;
      if (over[who]) {
        continue;
      }
      if (newest[node] == null || newest[node].epoch() < at[who].epoch()) {
        newest[node] = at[who];
      }
      int other = 1 - who;
      int open = !over[other] && newest[node].equals(at[other]) ? 1 : 0;
      Step s = Succession.heard(at[who], new Known(newest[node], open));
      over[who] = s.verdict() == Verdict.YIELD;
      if (s.verdict() == Verdict.TAKE) {
        assertTrue(s.epoch() > at[who].epoch());
        at[who] = new Holder(s.epoch(), at[who].instance());
      }
    }
    assertNotEquals(over[0], over[1], "exactly one goes on");
    for (Holder h : newest) {
      assertEquals(at[over[0] ? 1 : 0], h);
    }
  }
}
