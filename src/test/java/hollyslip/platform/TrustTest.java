package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How long idle connections are trusted. */
class TrustTest {
  @Test
  void aBreakShortensItToHalfOfWhatBrokeAndNeverBelowTheLeast() {
    Trust t = new Trust(50, 10_000);
    assertEquals(10_000, t.us());
    t.broke(800);
    assertEquals(400, t.us());
    t.broke(9_000);
    assertEquals(400, t.us());
    t.broke(3);
    assertEquals(50, t.us());
  }

  @Test
  void answersBringItBackToTheMostAndNoFurther() {
    Trust t = new Trust(50, 10_000);
    t.broke(0);
    int answers = 0;
    while (t.us() < 10_000) {
      long before = t.us();
      t.held();
      assertTrue(t.us() > before);
      answers++;
    }
    assertTrue(answers > 100, "" + answers);
    t.held();
    assertEquals(10_000, t.us());
    Trust never = new Trust(50, Long.MAX_VALUE);
    never.held();
    assertEquals(Long.MAX_VALUE, never.us());
  }
}
