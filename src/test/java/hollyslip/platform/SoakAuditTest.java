package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Each rule of the soak test, with a violation that the audit must detect. */
class SoakAuditTest {
  private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n";
  private static final long FAR_MS = 10_000;

  private final SoakAudit audit = new SoakAudit(false);

  private void assertOnlyViolation(String text) {
    List<String> violations = audit.violations();
    assertEquals(1, violations.size(), violations::toString);
    assertTrue(violations.get(0).contains(text), violations::toString);
    audit.close();
  }

  @Test
  void correctHandlingHasNoViolation() {
    audit.sending("a", 1000, true);
    audit.executed("a", SoakAudit.nowMs(), 900_000);
    audit.responseReceived("a", OK + "a");
    assertEquals(List.of(), audit.violations());
    audit.close();
  }

  @Test
  void detectsAResponseToAnotherRequest() {
    audit.sending("a", 1000, true);
    audit.responseReceived("a", OK + "b");
    assertOnlyViolation("response of another request");
  }

  @Test
  void detectsTwoExecutionsOfANonRepeatableRequest() {
    audit.sending("a", 1000, false);
    audit.executed("a", SoakAudit.nowMs(), 0);
    audit.executed("a", SoakAudit.nowMs(), 0);
    assertOnlyViolation("executed twice");
  }

  @Test
  void detectsACloseWithoutAResponse() {
    audit.sending("a", 1000, true);
    audit.closedWithoutResponse("a");
    assertOnlyViolation("closed without a response");
  }

  @Test
  void detectsAResetAfterForwarding() {
    audit.sending("a", 1000, true);
    audit.executed("a", SoakAudit.nowMs(), 0);
    audit.notRead("a");
    assertOnlyViolation("reset after");
  }

  @Test
  void detectsAnAttemptAfterTheClientDisconnected() {
    audit.sending("a", 2 * FAR_MS, true);
    audit.disconnecting("a");
    audit.executed("a", SoakAudit.nowMs() + FAR_MS, 0);
    assertOnlyViolation("after its end");
  }

  @Test
  void detectsAForwardedDeadlineThatIsTooLong() {
    audit.sending("a", 1000, true);
    audit.executed("a", SoakAudit.nowMs(), 1_300_000);
    assertOnlyViolation("forwarded with 1300 ms");
  }

  @Test
  void detectsALateResponse() {
    audit.sending("a", -FAR_MS, true);
    audit.responseReceived("a", OK + "a");
    assertOnlyViolation("response received");
  }

  /** A stop of the scheduler beyond what the platform allows excuses a delay by its excess, not by more. */
  @Test
  void aLongStopExcusesOnlyItsExcess() {
    long now = SoakAudit.nowMs();
    audit.schedulerStopped(now - 400);
    audit.addTimingViolation("within the excess", 200, now - 500);
    audit.addTimingViolation("beyond the excess", 300, now - 500);
    assertOnlyViolation("beyond the excess");
  }
}
