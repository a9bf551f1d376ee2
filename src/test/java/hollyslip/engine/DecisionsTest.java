package hollyslip.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hollyslip.volume.IoKind;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** What the engine decides by itself. */
class DecisionsTest {
  private static SubRequest piece(long id, int shard, long offset, long length) {
    Io io = new Io("v", IoKind.WRITE, offset, length, List.of(), 0, null);
    return new SubRequest(id, new ActiveRequest(null, io, null, null, 0), shard, offset, 0, length);
  }

  @Test
  void overlappingChangesGoInOrderOfArrival() {
    RangeLocks locks = new RangeLocks();
    SubRequest a = piece(1, 0, 0, 100);
    SubRequest b = piece(2, 0, 50, 100);
    SubRequest c = piece(3, 0, 120, 10);
    SubRequest d = piece(4, 0, 300, 10);
    SubRequest other = piece(5, 1, 0, 100);
    assertTrue(locks.lockOrEnqueue(a));
    assertFalse(locks.lockOrEnqueue(b));
    assertFalse(locks.lockOrEnqueue(c), "it overlaps one that waits before it");
    assertTrue(locks.lockOrEnqueue(d));
    assertTrue(locks.lockOrEnqueue(other));
    assertTrue(locks.hasWaiters(a));
    assertEquals(List.of(a), locks.blockers(b));
    assertEquals(List.of(b), locks.unlock(a));
    assertEquals(List.of(c), locks.unlock(b));
    assertEquals(List.of(), locks.unlock(b), "again does nothing");
  }

  @Test
  void whoGivesUpWaitingLetsOthersPass() {
    RangeLocks locks = new RangeLocks();
    SubRequest a = piece(1, 0, 0, 100);
    SubRequest b = piece(2, 0, 50, 100);
    SubRequest c = piece(3, 0, 120, 10);
    locks.lockOrEnqueue(a);
    locks.lockOrEnqueue(b);
    locks.lockOrEnqueue(c);
    assertEquals(List.of(c), locks.cancelWait(b));
    locks.unlock(a);
    locks.unlock(c);
    assertEquals(0, locks.size());
  }

  /** Whatever comes and goes: no two that hold overlap, and none waits once all have gone. */
  @Property(tries = 300, seed = "21")
  void holdersNeverOverlap(@ForAll @Size(min = 1, max = 40) List<@IntRange(max = 63) Integer> offsets,
      @ForAll @IntRange(min = 1, max = 20) int length) {
    RangeLocks locks = new RangeLocks();
    List<SubRequest> held = new ArrayList<>();
    long id = 0;
    for (int offset : offsets) {
      SubRequest p = piece(id++, 0, offset, length);
      if (locks.lockOrEnqueue(p)) {
        held.add(p);
      }
      if (offset % 3 == 0 && !held.isEmpty()) {
        held.addAll(locks.unlock(held.remove(0)));
      }
      for (SubRequest x : held) {
        for (SubRequest y : held) {
          assertTrue(x == y || x.offset + x.length <= y.offset || y.offset + y.length <= x.offset);
        }
      }
    }
    while (!held.isEmpty()) {
      held.addAll(locks.unlock(held.remove(0)));
    }
    assertEquals(0, locks.size());
  }

  @Test
  void oneAnswerOfAllPieces() {
    Answer refused = Answer.refused(500);
    assertEquals(Answer.SERVED, verdict(false, Answer.SERVED, Answer.SERVED));
    assertEquals(Answer.FAILED, verdict(true, Answer.SERVED, Answer.FAILED, refused));
    assertEquals(refused, verdict(true, Answer.SERVED, refused), "a read may be asked again");
    assertEquals(Answer.FAILED, verdict(false, Answer.SERVED, refused), "half a write has its effect");
    assertEquals(refused, verdict(false, Answer.refused(10), refused), "the longest time to come back");
  }

  private static Answer verdict(boolean repeatable, Answer... answers) {
    AnswerAggregator v = new AnswerAggregator(repeatable);
    for (Answer a : answers) {
      v.add(a);
    }
    assertEquals(answers.length, v.count());
    return v.combined();
  }

  @Test
  void boundsTurnAwayAndLetIn() {
    InflightLimits b = new InflightLimits(2, 100);
    assertTrue(b.tryAcquire(60));
    assertFalse(b.tryAcquire(60), "bytes");
    assertTrue(b.tryAcquire(40));
    assertFalse(b.tryAcquire(0), "requests");
    assertFalse(b.belowResumeThreshold());
    b.release(60);
    b.release(40);
    assertTrue(b.belowResumeThreshold());
    assertTrue(b.tryAcquire(500), "alone, a larger one gets in");
    assertFalse(b.tryAcquire(1));
  }

  @Test
  void aStormIsOneLineASecond() {
    LogSampler s = new LogSampler();
    assertEquals(1, s.admit(5_000_000));
    assertEquals(0, s.admit(5_500_000));
    assertEquals(0, s.admit(5_999_999));
    assertEquals(3, s.admit(6_000_000));
  }

  @Test
  void timersRunInOrderAndCancelledOnesNot() {
    TimerQueue t = new TimerQueue();
    List<String> ran = new ArrayList<>();
    t.schedule(20, () -> ran.add("b"));
    t.schedule(10, () -> ran.add("a"));
    t.schedule(20, () -> ran.add("c"));
    TimerQueue.Timer gone = t.schedule(5, () -> ran.add("gone"));
    gone.cancel();
    assertEquals(3, t.size(), "what is cancelled is gone, with all that it points to");
    assertEquals(10, t.nextDueTime());
    t.runDue(20);
    assertEquals(List.of("a", "b", "c"), ran);
    assertEquals(Long.MAX_VALUE, t.nextDueTime());
  }

  /** Against a sorted list: any order of setting, cancelling and running. */
  @Property(tries = 300, seed = "22")
  void timersAreAHeapWithRemoval(@ForAll @Size(min = 1, max = 200) List<@IntRange(max = 99) Integer> steps) {
    TimerQueue t = new TimerQueue();
    List<long[]> left = new ArrayList<>();
    List<TimerQueue.Timer> entries = new ArrayList<>();
    List<Long> ran = new ArrayList<>();
    List<Long> expected = new ArrayList<>();
    long id = 0;
    for (int step : steps) {
      if (step < 60 || left.isEmpty()) {
        long n = id++;
        entries.add(t.schedule(step, () -> ran.add(n)));
        left.add(new long[]{step, n});
      } else if (step < 85) {
        long[] gone = left.remove(step % left.size());
        entries.get((int) gone[1]).cancel();
        entries.get((int) gone[1]).cancel();
      } else {
        long now = step - 60;
        t.runDue(now);
        left.stream()
            .filter(e -> e[0] <= now)
            .sorted((a, b) -> a[0] != b[0] ? Long.compare(a[0], b[0]) : Long.compare(a[1], b[1]))
            .forEach(e -> expected.add(e[1]));
        left.removeIf(e -> e[0] <= now);
      }
      assertEquals(left.size(), t.size());
      assertEquals(left.stream().mapToLong(e -> e[0]).min().orElse(Long.MAX_VALUE), t.nextDueTime());
    }
    assertEquals(expected, ran);
  }

  @Test
  void aPieceSeesItsPartOfTheBuffers() {
    ByteBuffer first = ByteBuffer.allocate(10);
    ByteBuffer second = ByteBuffer.allocate(10);
    second.put(2, (byte) 7);
    Io io = new Io("v", IoKind.READ, 0, 20, List.of(first, second), 0, null);
    ActiveRequest op = new ActiveRequest(null, io, null, null, 0);
    List<ByteBuffer> mine = new SubRequest(1, op, 0, 0, 8, 6).data();
    assertEquals(List.of(2, 4), mine.stream().map(ByteBuffer::remaining).toList());
    assertEquals(7, mine.get(1).get(2));
    assertEquals(0, first.position());
  }
}
