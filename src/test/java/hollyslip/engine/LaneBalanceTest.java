package hollyslip.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hollyslip.engine.LaneBalancer.Load;
import hollyslip.engine.LaneBalancer.Move;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class LaneBalanceTest {
  private static Move after(LaneBalancer b, int intervals, int lanes, List<Load> loads) {
    Move last = null;
    for (int i = 0; i < intervals; i++) {
      last = b.decide(lanes, loads);
    }
    return last;
  }

  @Test
  void aLaneThatStaysHotGivesTheVolumeThatEvensMost() {
    List<Load> loads = List.of(new Load(1, 0, 500), new Load(2, 0, 300), new Load(3, 0, 100), new Load(4, 1,
        200));
    LaneBalancer b = new LaneBalancer();
    assertNull(after(b, LaneBalancer.HOT_INTERVALS_BEFORE_MOVE - 1, 2, loads), "a burst");
    assertEquals(new Move(2, 0, 1), b.decide(2, loads));
  }

  @Test
  void nothingMovesWhereNothingIsGained() {
    assertNull(after(new LaneBalancer(), 50, 4, List.of(new Load(1, 0, 900))), "one volume alone is hot");
    assertNull(after(new LaneBalancer(), 50, 2, List.of(new Load(1, 0, 110), new Load(2, 1, 100))),
        "near even");
    assertNull(after(new LaneBalancer(), 50, 2, List.of()), "quiet");
  }

  @Test
  void whatMovedRests() {
    LaneBalancer b = new LaneBalancer();
    assertEquals(new Move(1, 0, 1), after(b, LaneBalancer.HOT_INTERVALS_BEFORE_MOVE, 2, List.of(new Load(1, 0, 100), new Load(2,
        0, 100))));
    assertNull(after(b, LaneBalancer.REST_INTERVALS_AFTER_MOVE / 2, 2, List.of(new Load(1, 1, 100), new Load(2, 1, 0), new Load(3,
        1,
        1))), "it would go straight back");
  }

  /** Loads that stay as they are come to rest: after some moves there are none. */
  @Property(tries = 300, seed = "31")
  void steadyLoadsComeToRest(@ForAll @IntRange(min = 1, max = 8) int lanes,
      @ForAll @IntRange(min = 0, max = 40) int volumes, @ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<Load> loads = new ArrayList<>();
    for (int v = 0; v < volumes; v++) {
      loads.add(new Load(v, random.nextInt(lanes), random.nextInt(1_000)));
    }
    LaneBalancer b = new LaneBalancer();
    int lastMove = 0;
    for (int i = 0; i < 3_000; i++) {
      Move m = b.decide(lanes, loads);
      if (m != null) {
        lastMove = i;
        int at = (int) m.volume();
        assertEquals(m.from(), loads.get(at).lane());
        loads.set(at, new Load(at, m.to(), loads.get(at).units()));
      }
    }
    assertTrue(lastMove < 2_500, "still moving at " + lastMove);
  }
}
