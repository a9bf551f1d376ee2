package hollyslip.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hollyslip.recovery.EpochElection.Holder;
import hollyslip.recovery.EpochElection.NodeView;
import hollyslip.recovery.EpochElection.Decision;
import hollyslip.recovery.EpochElection.Action;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class EpochElectionTest {
  private static NodeView reported(long epoch, int open) {
    return new NodeView(new Holder(epoch, 77), open);
  }

  @Test
  void startTakesAnEpochAboveAllKnownOnes() {
    assertEquals(1, EpochElection.decideAtStart(0, List.of()).epoch());
    assertEquals(4, EpochElection.decideAtStart(3, List.of()).epoch());
    assertEquals(9, EpochElection.decideAtStart(0, List.of(reported(8, 0), reported(5, 0))).epoch(),
        "lost state directory");
    assertEquals(9, EpochElection.decideAtStart(6, List.of(reported(8, 0))).epoch(),
        "restored from an older copy");
    assertEquals(9, EpochElection.decideAtStart(8, List.of(reported(8, 2))).epoch(),
        "connections left by the last process");
  }

  @Test
  void livingGatewayIsDistinguishedFromALostStateDirectory() {
    Decision decision = EpochElection.decideAtStart(0, List.of(reported(8, 0), reported(8, 2)));
    assertEquals(Action.YIELD, decision.action());
    assertEquals(8, decision.other().epoch());
    assertEquals(Action.YIELD, EpochElection.decideAtStart(7, List.of(reported(8, 1))).action());
    assertEquals(9, EpochElection.decideForcedTakeover(0, List.of(reported(8, 2))).epoch());
  }

  @Test
  void oneOfTwoContinuesInService() {
    Holder mine = new Holder(5, 10);
    assertEquals(Action.GO_ON, EpochElection.decideInService(mine, new NodeView(mine, 3)).action());
    assertEquals(Action.GO_ON, EpochElection.decideInService(mine, reported(4, 3)).action());
    assertEquals(Action.YIELD, EpochElection.decideInService(mine, reported(6, 1)).action());
    assertEquals(7, EpochElection.decideInService(mine, reported(6, 0)).epoch(), "the other holder is gone");
    Holder other = new Holder(5, 11);
    assertEquals(Action.YIELD, EpochElection.decideInService(mine, new NodeView(other, 1)).action());
    assertEquals(6, EpochElection.decideInService(other, new NodeView(mine, 1)).epoch());
  }

  /** Two gateways that started at the same time, each first at other nodes, reconnect repeatedly in any
   * order: exactly one remains, and every node serves that one. */
  @Property(tries = 2_000, seed = "11")
  void exactlyOneOfTwoGatewaysWithOneNameRemains(@ForAll @IntRange(min = 1, max = 5) int nodes,
      @ForAll long seed) {
    var random = new java.util.SplittableRandom(seed);
    Holder[] newest = new Holder[nodes];
    Holder[] holders = {new Holder(1 + random.nextInt(2), 1 + random.nextInt(100)), new Holder(1 + random
        .nextInt(
            2), 200)};
    boolean[] stopped = new boolean[2];
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
      int gateway = step % 2;
      int node = step / 2;
      if (stopped[gateway]) {
        continue;
      }
      if (newest[node] == null || newest[node].epoch() < holders[gateway].epoch()) {
        newest[node] = holders[gateway];
      }
      int other = 1 - gateway;
      int open = !stopped[other] && newest[node].equals(holders[other]) ? 1 : 0;
      Decision decision = EpochElection.decideInService(holders[gateway], new NodeView(newest[node], open));
      stopped[gateway] = decision.action() == Action.YIELD;
      if (decision.action() == Action.TAKE) {
        assertTrue(decision.epoch() > holders[gateway].epoch());
        holders[gateway] = new Holder(decision.epoch(), holders[gateway].instance());
      }
    }
    assertNotEquals(stopped[0], stopped[1], "exactly one continues");
    for (Holder h : newest) {
      assertEquals(holders[stopped[0] ? 1 : 0], h);
    }
  }
}
