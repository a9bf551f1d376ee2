package hollyslip.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hollyslip.HostScheduler.NodeEntry;
import hollyslip.HostScheduler.NodeList;
import hollyslip.HostScheduler.NodeState;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What the scheduler is told of node starts and list changes. */
class MembershipTest {
  private final List<NodeList> updates = new ArrayList<>();
  private final Membership membership = new Membership(5_000_000, updates::add);

  private static NodeEntry onNode(long node) {
    return new NodeEntry(node, "a", (int) node, NodeState.ON, 0);
  }

  private NodeList lastUpdate() {
    return updates.get(updates.size() - 1);
  }

  @Test
  void recentStartIsReportedOnceAndSurvivesAnOlderList() {
    membership.replaceAll(List.of(onNode(1), onNode(2)));
    assertTrue(membership.recordStart(1, 77, 1_000_000, 90_000_000));
    assertEquals(89_000_000, lastUpdate().nodes().get(0).startedAtUs());
    assertFalse(lastUpdate().complete());
    assertFalse(membership.recordStart(1, 77, 2_000_000, 91_000_000), "same start again");
    membership.replaceAll(List.of(onNode(1), onNode(2)));
    assertEquals(89_000_000, lastUpdate().nodes().get(0).startedAtUs());
    assertTrue(membership.recordStart(1, 78, 0, 95_000_000), "another start");
  }

  @Test
  void oldStartIsNotReported() {
    membership.replaceAll(List.of(onNode(1)));
    assertFalse(membership.recordStart(1, 77, 5_000_000, 90_000_000));
    assertEquals(1, updates.size());
    assertFalse(membership.recordStart(9, 77, 0, 90_000_000), "not listed");
  }

  @Test
  void omittedNodeIsRemovedAndStateChangeIsReportedAlone() {
    membership.replaceAll(List.of(onNode(1), onNode(2)));
    assertTrue(membership.setState(2, NodeState.DRAINING));
    assertEquals(List.of(new NodeEntry(2, "a", 2, NodeState.DRAINING, 0)), lastUpdate().nodes());
    assertFalse(membership.setState(3, NodeState.ON));
    membership.replaceAll(List.of(onNode(1)));
    assertTrue(lastUpdate().complete());
    assertEquals(1, lastUpdate().nodes().size());
    membership.republish();
    assertEquals(List.of(onNode(1)), lastUpdate().nodes());
  }
}
