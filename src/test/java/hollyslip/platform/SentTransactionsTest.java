package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SentTransactionsTest {
  private static final int CAPACITY = 1000;

  private final SentTransactions sent = new SentTransactions(CAPACITY, 42);

  @Test
  void anIdIsKnownUntilTheCapacityIsNeeded() {
    for (int i = 0; i < 5 * CAPACITY; i++) {
      assertFalse(sent.contains("id" + i));
      sent.add("id" + i, i);
      assertTrue(sent.contains("id" + i));
      assertEquals(i < CAPACITY, sent.contains("id0"));
    }
    assertEquals(CAPACITY, sent.size());
    assertTrue(sent.contains("id" + 4 * CAPACITY));
    assertFalse(sent.contains("id" + (4 * CAPACITY - 1)));
  }

  /** No id is forgotten while its client may still wait: others are refused instead. */
  @Test
  void thereIsNoRoomWhileTheOldestClientsWait() {
    sent.add("long", 500);
    for (int i = 1; i < CAPACITY; i++) {
      assertTrue(sent.hasRoom(1, 0));
      sent.add("id" + i, 100);
    }
    assertFalse(sent.hasRoom(1, 400));
    assertTrue(sent.hasRoom(1, 500));
    assertTrue(sent.hasRoom(CAPACITY, 500));
    assertFalse(sent.hasRoom(CAPACITY + 1, 500));
  }
}
