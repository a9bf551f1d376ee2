package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class UnreadInputTest {
  private final UnreadInput input = new UnreadInput();

  @Test
  void aReadThatFillsItsBufferMayLeaveInput() {
    assertFalse(input.mayBeLeft());
    input.read(true, 100);
    input.read(true, 200);
    assertTrue(input.mayBeLeft());
    assertEquals(250, input.endHiddenForUs(350));
  }

  @Test
  void theEndWasHiddenForAsLongAsInputWasLeftBeforeIt() {
    input.read(true, 100);
    input.read(false, 300);
    assertFalse(input.mayBeLeft());
    assertEquals(210, input.endHiddenForUs(310));
    input.read(false, 400);
    assertEquals(0, input.endHiddenForUs(500));
  }
}
