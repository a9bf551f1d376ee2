package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

class AskTest {
  /** The module keeps one limit for a volume: a second plan must not draw on the first one's. */
  @Test
  void aVolumeHasANumberForEachPlan() {
    Set<Long> numbers = new HashSet<>();
    for (long volume : new long[]{0, 1, 0x3b4d60021L, -1, Long.MIN_VALUE}) {
      assertEquals(volume, Ask.account(volume, 0));
      for (int plan = 0; plan < 10; plan++) {
        numbers.add(Ask.account(volume, plan));
      }
    }
    assertEquals(50, numbers.size());
  }
}
