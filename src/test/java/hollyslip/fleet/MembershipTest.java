package hollyslip.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hollyslip.HostScheduler.Listed;
import hollyslip.HostScheduler.NodeList;
import hollyslip.HostScheduler.NodeState;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What the module is told of nodes. */
class MembershipTest {
  private final List<NodeList> told = new ArrayList<>();
  private final Membership members = new Membership(5_000_000, told::add);

  private static Listed on(long node) {
    return new Listed(node, "a", (int) node, NodeState.ON, 0);
  }

  private NodeList last() {
    return told.get(told.size() - 1);
  }

  @Test
  void aYoungStartIsToldOnceAndOutlivesAnOlderList() {
    members.replace(List.of(on(1), on(2)));
    assertTrue(members.started(1, 77, 1_000_000, 90_000_000));
    assertEquals(89_000_000, last().nodes().get(0).bornUs());
    assertFalse(last().whole());
    assertFalse(members.started(1, 77, 2_000_000, 91_000_000), "the same start");
    members.replace(List.of(on(1), on(2)));
    assertEquals(89_000_000, last().nodes().get(0).bornUs());
    assertTrue(members.started(1, 78, 0, 95_000_000), "another start");
  }

  @Test
  void anOldStartIsNoNews() {
    members.replace(List.of(on(1)));
    assertFalse(members.started(1, 77, 5_000_000, 90_000_000));
    assertEquals(1, told.size());
    assertFalse(members.started(9, 77, 0, 90_000_000), "not listed");
  }

  @Test
  void aNodeLeftOutIsGoneAndAStateIsToldAlone() {
    members.replace(List.of(on(1), on(2)));
    assertTrue(members.state(2, NodeState.DRAINING));
    assertEquals(List.of(new Listed(2, "a", 2, NodeState.DRAINING, 0)), last().nodes());
    assertFalse(members.state(3, NodeState.ON));
    members.replace(List.of(on(1)));
    assertTrue(last().whole());
    assertEquals(1, last().nodes().size());
    members.tellAgain();
    assertEquals(List.of(on(1)), last().nodes());
  }
}
