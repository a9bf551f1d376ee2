package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How long idle connections are trusted. */
class AdaptiveIdleTimeoutTest {
  @Test
  void aBreakShortensItToHalfOfWhatBrokeAndNeverBelowTheLeast() {
    AdaptiveIdleTimeout t = new AdaptiveIdleTimeout(50, 10_000);
    assertEquals(10_000, t.timeoutUs());
    t.recordStale(800);
    assertEquals(400, t.timeoutUs());
    t.recordStale(9_000);
    assertEquals(400, t.timeoutUs());
    t.recordStale(3);
    assertEquals(50, t.timeoutUs());
  }

  @Test
  void answersBringItBackToTheMostAndNoFurther() {
    AdaptiveIdleTimeout t = new AdaptiveIdleTimeout(50, 10_000);
    t.recordStale(0);
    int answers = 0;
    while (t.timeoutUs() < 10_000) {
      long before = t.timeoutUs();
      t.recordSuccess();
      assertTrue(t.timeoutUs() > before);
      answers++;
    }
    assertTrue(answers > 100, "" + answers);
    t.recordSuccess();
    assertEquals(10_000, t.timeoutUs());
    AdaptiveIdleTimeout never = new AdaptiveIdleTimeout(50, Long.MAX_VALUE);
    never.recordSuccess();
    assertEquals(Long.MAX_VALUE, never.timeoutUs());
  }
}
