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

class LaneBalancerTest {
  private static Move decideRepeatedly(LaneBalancer balancer, int intervals, int lanes, List<Load> loads) {
    Move last = null;
    for (int i = 0; i < intervals; i++) {
      last = balancer.decide(lanes, loads);
    }
    return last;
  }

  @Test
  void hotLaneMovesTheVolumeThatBalancesBest() {
    List<Load> loads = List.of(new Load(1, 0, 500), new Load(2, 0, 300), new Load(3, 0, 100), new Load(4, 1,
        200));
    LaneBalancer balancer = new LaneBalancer();
    assertNull(decideRepeatedly(balancer, LaneBalancer.HOT_INTERVALS_BEFORE_MOVE - 1, 2, loads),
        "a burst causes no move");
    assertEquals(new Move(2, 0, 1), balancer.decide(2, loads));
  }

  @Test
  void noMoveWithoutImprovement() {
    assertNull(decideRepeatedly(new LaneBalancer(), 50, 4, List.of(new Load(1, 0, 900))),
        "a single hot volume");
    assertNull(decideRepeatedly(new LaneBalancer(), 50, 2, List.of(new Load(1, 0, 110), new Load(2, 1, 100))),
        "nearly balanced");
    assertNull(decideRepeatedly(new LaneBalancer(), 50, 2, List.of()), "no load");
  }

  @Test
  void movedVolumeStaysForAWhile() {
    LaneBalancer balancer = new LaneBalancer();
    assertEquals(new Move(1, 0, 1), decideRepeatedly(balancer, LaneBalancer.HOT_INTERVALS_BEFORE_MOVE, 2, List
        .of(new Load(1, 0, 100), new Load(2,
            0, 100))));
    assertNull(decideRepeatedly(balancer, LaneBalancer.REST_INTERVALS_AFTER_MOVE / 2, 2, List.of(new Load(1,
        1, 100), new Load(2, 1, 0), new Load(3, 1, 1))), "it would move straight back");
  }

  /** With constant loads, moves must stop; otherwise volumes would move back and forth for ever. */
  @Property(tries = 300, seed = "31")
  void steadyLoadsStopMoving(@ForAll @IntRange(min = 1, max = 8) int lanes,
      @ForAll @IntRange(min = 0, max = 40) int volumes, @ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<Load> loads = new ArrayList<>();
    for (int v = 0; v < volumes; v++) {
      loads.add(new Load(v, random.nextInt(lanes), random.nextInt(1_000)));
    }
    LaneBalancer balancer = new LaneBalancer();
    int lastMove = 0;
    for (int i = 0; i < 3_000; i++) {
      Move move = balancer.decide(lanes, loads);
      if (move != null) {
        lastMove = i;
        int index = (int) move.volume();
        assertEquals(move.from(), loads.get(index).lane());
        loads.set(index, new Load(index, move.to(), loads.get(index).requests()));
      }
    }
    assertTrue(lastMove < 2_500, "still moving at " + lastMove);
  }
}
