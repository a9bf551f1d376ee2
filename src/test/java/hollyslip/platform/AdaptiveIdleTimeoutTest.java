package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class AdaptiveIdleTimeoutTest {
  @Test
  void staleConnectionHalvesTimeoutDownToMinimum() {
    AdaptiveIdleTimeout timeout = new AdaptiveIdleTimeout(50, 10_000);
    assertEquals(10_000, timeout.timeoutUs());
    timeout.recordStale(800);
    assertEquals(400, timeout.timeoutUs());
    timeout.recordStale(9_000);
    assertEquals(400, timeout.timeoutUs());
    timeout.recordStale(3);
    assertEquals(50, timeout.timeoutUs());
  }

  @Test
  void responsesRestoreTimeoutUpToMaximum() {
    AdaptiveIdleTimeout timeout = new AdaptiveIdleTimeout(50, 10_000);
    timeout.recordStale(0);
    int responses = 0;
    while (timeout.timeoutUs() < 10_000) {
      long before = timeout.timeoutUs();
      timeout.recordSuccess();
      assertTrue(timeout.timeoutUs() > before);
      responses++;
    }
    assertTrue(responses > 100, "" + responses);
    timeout.recordSuccess();
    assertEquals(10_000, timeout.timeoutUs());
    AdaptiveIdleTimeout unlimited = new AdaptiveIdleTimeout(50, Long.MAX_VALUE);
    unlimited.recordSuccess();
    assertEquals(Long.MAX_VALUE, unlimited.timeoutUs());
  }
}
