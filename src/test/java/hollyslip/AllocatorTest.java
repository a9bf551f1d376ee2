package hollyslip;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The three allocation steps, checked against values computed by hand. */
class AllocatorTest {
  private static TokenBorrowingScheduler.VolumeQueue volume(long key, double weight, double requestedUnits,
      double lastAllocation, double record) {
    TokenBorrowingScheduler.VolumeQueue v = new TokenBorrowingScheduler.VolumeQueue(weight, 6, 0);
    v.requestedUnits = requestedUnits;
    v.lastAllocation = lastAllocation;
    v.allocatedBefore = true;
    v.record = record;
    return v;
  }

  @Test
  void initialAllocationIsProportionalToWeight() {
    TokenBorrowingScheduler.VolumeQueue a = volume(1, 1, 2, 5, 0);
    TokenBorrowingScheduler.VolumeQueue b = volume(2, 3, 20, 10, 0);
    TokenBorrowingScheduler.initialAllocation(List.of(a, b), 20);
    assertEquals(5, a.allocation, 1e-9);
    assertEquals(15, b.allocation, 1e-9);
    assertEquals(0.25, a.tokenShare, 1e-9);
  }

  @Test
  void surplusIsSharedByTheDistributionFactor() {
    // a: alpha 5, d 2, surplus 3, u 2/5 = 0.4, DF 0.4 * 0.25 = 0.1
    // b: alpha 15, d 20, no surplus, u 20/10 = 2, DF 2 + 2 * 0.75 = 3.5; the pool of 3 goes 0.1 : 3.5
    TokenBorrowingScheduler.VolumeQueue a = volume(1, 1, 2, 5, 0);
    TokenBorrowingScheduler.VolumeQueue b = volume(2, 3, 20, 10, 0);
    List<TokenBorrowingScheduler.VolumeQueue> active = List.of(a, b);
    TokenBorrowingScheduler.initialAllocation(active, 20);
    TokenBorrowingScheduler.redistribution(active);
    assertEquals(2 + 3 * 0.1 / 3.6, a.allocation, 1e-9);
    assertEquals(15 + 3 * 3.5 / 3.6, b.allocation, 1e-9);
    assertEquals(3 - 3 * 0.1 / 3.6, a.record, 1e-9);
    assertEquals(-3 * 3.5 / 3.6, b.record, 1e-9);
    assertEquals(20, a.allocation + b.allocation, 1e-9);
  }

  @Test
  void borrowersReturnAtMostWhatTheyOwedBeforeRedistribution() {
    // Both demand their whole allocation: no surplus. a lent 4 before, b owes 4. u = 1 and 1, DF 0.5 each.
    // C = 0.5 * (max(1, 1) + max(0, 1 - 10/10)) / 2 = 0.25; reclaim min(4, floor(0.25 * 10)) = 2.
    TokenBorrowingScheduler.VolumeQueue a = volume(1, 1, 10, 10, 4);
    TokenBorrowingScheduler.VolumeQueue b = volume(2, 1, 10, 10, -4);
    List<TokenBorrowingScheduler.VolumeQueue> active = List.of(a, b);
    TokenBorrowingScheduler.initialAllocation(active, 20);
    TokenBorrowingScheduler.redistribution(active);
    TokenBorrowingScheduler.recompensation(active);
    assertEquals(12, a.allocation, 1e-9);
    assertEquals(8, b.allocation, 1e-9);
    assertEquals(2, a.record, 1e-9);
    assertEquals(-2, b.record, 1e-9);
  }

  @Test
  void reclaimIsBoundedByTheEarlierRecord() {
    TokenBorrowingScheduler.VolumeQueue a = volume(1, 1, 10, 10, 1);
    TokenBorrowingScheduler.VolumeQueue b = volume(2, 1, 10, 10, -1);
    List<TokenBorrowingScheduler.VolumeQueue> active = List.of(a, b);
    TokenBorrowingScheduler.initialAllocation(active, 20);
    TokenBorrowingScheduler.redistribution(active);
    TokenBorrowingScheduler.recompensation(active);
    assertEquals(11, a.allocation, 1e-9);
    assertEquals(9, b.allocation, 1e-9);
  }

  @Test
  void noAllocationFallsBelowZero() {
    // a's high utilisation raises C to 5: without the bound b would return more than its allocation.
    TokenBorrowingScheduler.VolumeQueue a = volume(1, 1, 100, 5, 90);
    TokenBorrowingScheduler.VolumeQueue b = volume(2, 1, 10, 10, -90);
    List<TokenBorrowingScheduler.VolumeQueue> active = List.of(a, b);
    TokenBorrowingScheduler.initialAllocation(active, 20);
    TokenBorrowingScheduler.redistribution(active);
    TokenBorrowingScheduler.recompensation(active);
    assertEquals(0, b.allocation, 1e-9);
    assertEquals(20, a.allocation, 1e-9);
  }

  @Test
  void aNewVolumeHasUtilisationOne() {
    TokenBorrowingScheduler.VolumeQueue a = new TokenBorrowingScheduler.VolumeQueue(1, 6, 0);
    a.requestedUnits = 4;
    TokenBorrowingScheduler.initialAllocation(List.of(a), 8);
    TokenBorrowingScheduler.redistribution(List.of(a));
    assertEquals(1, a.utilisation, 1e-9);
    assertEquals(8, a.allocation, 1e-9);
    assertEquals(0, a.record, 1e-9);
  }
}
