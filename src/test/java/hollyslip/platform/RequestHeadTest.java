package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RequestHeadTest {
  /** The scheduler keeps one limit per volume id: requests on a second plan must not consume the limit of the
   * first. */
  @Test
  void aVolumeHasADistinctIdForEachPlan() {
    Set<Long> ids = new HashSet<>();
    for (long volume : new long[]{0, 1, 0x3b4d60021L, -1, Long.MIN_VALUE}) {
      assertEquals(volume, RequestHead.volumePlanId(volume, 0));
      for (int plan = 0; plan < 10; plan++) {
        ids.add(RequestHead.volumePlanId(volume, plan));
      }
    }
    assertEquals(50, ids.size());
  }
}
