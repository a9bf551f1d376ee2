package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Each rule of the soak, with a violation that it has to find. */
class SoakAuditTest {
  private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n";
  private static final long FAR_MS = 10_000;

  private final SoakAudit audit = new SoakAudit(false);

  private void found(String what) {
    List<String> broken = audit.broken();
    assertEquals(1, broken.size(), broken::toString);
    assertTrue(broken.get(0).contains(what), broken::toString);
    audit.close();
  }

  @Test
  void whatKeepsTheRulesIsNoBreak() {
    audit.sending("a", 1000, true);
    audit.ran("a", SoakAudit.nowMs(), 900_000);
    audit.answered("a", OK + "a");
    assertEquals(List.of(), audit.broken());
    audit.close();
  }

  @Test
  void anothersAnswer() {
    audit.sending("a", 1000, true);
    audit.answered("a", OK + "b");
    found("another's answer");
  }

  @Test
  void twoRunsOfWhatMayRunOnce() {
    audit.sending("a", 1000, false);
    audit.ran("a", SoakAudit.nowMs(), 0);
    audit.ran("a", SoakAudit.nowMs(), 0);
    found("run twice");
  }

  @Test
  void anEndWithoutAnAnswer() {
    audit.sending("a", 1000, true);
    audit.closedWithoutAnswer("a");
    found("closed with no answer");
  }

  @Test
  void aResetAfterItWasForwarded() {
    audit.sending("a", 1000, true);
    audit.ran("a", SoakAudit.nowMs(), 0);
    audit.notRead("a");
    found("reset after");
  }

  @Test
  void anAttemptAfterItsClientLeft() {
    audit.sending("a", 2 * FAR_MS, true);
    audit.leaving("a");
    audit.ran("a", SoakAudit.nowMs() + FAR_MS, 0);
    found("after its end");
  }

  @Test
  void moreTimeThanTheClientHas() {
    audit.sending("a", 1000, true);
    audit.ran("a", SoakAudit.nowMs(), 1_300_000);
    found("told 1300 ms");
  }

  @Test
  void anAnswerAfterItsTime() {
    audit.sending("a", -FAR_MS, true);
    audit.answered("a", OK + "a");
    found("answered");
  }

  /** What the platform does not do to a scheduler excuses it, and no more than that. */
  @Test
  void aLongStopExcusesItsExcessOnly() {
    long now = SoakAudit.nowMs();
    audit.stopped(now - 400);
    audit.late("within the excess", 200, now - 500);
    audit.late("beyond the excess", 300, now - 500);
    found("beyond the excess");
  }
}
