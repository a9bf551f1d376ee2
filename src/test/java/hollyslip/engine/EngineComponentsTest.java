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

/** Range locks, answer aggregation, limits, log sampling and timers of the engine. */
class EngineComponentsTest {
  private static SubRequest subRequest(long id, int shard, long offset, long length) {
    IoRequest io = new IoRequest("v", IoKind.WRITE, offset, length, List.of(), 0, null);
    return new SubRequest(id, new ActiveRequest(null, io, null, null, 0), shard, offset, 0, length);
  }

  @Test
  void overlappingWritesRunInArrivalOrder() {
    RangeLocks locks = new RangeLocks();
    SubRequest a = subRequest(1, 0, 0, 100);
    SubRequest b = subRequest(2, 0, 50, 100);
    SubRequest c = subRequest(3, 0, 120, 10);
    SubRequest d = subRequest(4, 0, 300, 10);
    SubRequest other = subRequest(5, 1, 0, 100);
    assertTrue(locks.lockOrEnqueue(a));
    assertFalse(locks.lockOrEnqueue(b));
    assertFalse(locks.lockOrEnqueue(c), "overlaps an earlier waiting one");
    assertTrue(locks.lockOrEnqueue(d));
    assertTrue(locks.lockOrEnqueue(other));
    assertTrue(locks.hasWaiters(a));
    assertEquals(List.of(a), locks.blockers(b));
    assertEquals(List.of(b), locks.unlock(a));
    assertEquals(List.of(c), locks.unlock(b));
    assertEquals(List.of(), locks.unlock(b), "second unlock has no effect");
  }

  @Test
  void cancelledWaitUnblocksLaterWrites() {
    RangeLocks locks = new RangeLocks();
    SubRequest a = subRequest(1, 0, 0, 100);
    SubRequest b = subRequest(2, 0, 50, 100);
    SubRequest c = subRequest(3, 0, 120, 10);
    locks.lockOrEnqueue(a);
    locks.lockOrEnqueue(b);
    locks.lockOrEnqueue(c);
    assertEquals(List.of(c), locks.cancelWait(b));
    locks.unlock(a);
    locks.unlock(c);
    assertEquals(0, locks.size());
  }

  /** For any sequence of locks and unlocks: no two held ranges overlap, and nothing waits once all are
   * released. */
  @Property(tries = 300, seed = "21")
  void heldRangesNeverOverlap(@ForAll @Size(min = 1, max = 40) List<@IntRange(max = 63) Integer> offsets,
      @ForAll @IntRange(min = 1, max = 20) int length) {
    RangeLocks locks = new RangeLocks();
    List<SubRequest> held = new ArrayList<>();
    long id = 0;
    for (int offset : offsets) {
      SubRequest write = subRequest(id++, 0, offset, length);
      if (locks.lockOrEnqueue(write)) {
        held.add(write);
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
  void subRequestAnswersAreCombined() {
    Answer refused = Answer.refused(500);
    assertEquals(Answer.SERVED, combine(false, Answer.SERVED, Answer.SERVED));
    assertEquals(Answer.FAILED, combine(true, Answer.SERVED, Answer.FAILED, refused));
    assertEquals(refused, combine(true, Answer.SERVED, refused), "a read may be repeated");
    assertEquals(Answer.FAILED, combine(false, Answer.SERVED, refused), "part of the write took effect");
    assertEquals(refused, combine(false, Answer.refused(10), refused), "longest retry delay");
  }

  private static Answer combine(boolean safeToRepeat, Answer... answers) {
    AnswerAggregator aggregator = new AnswerAggregator(safeToRepeat);
    for (Answer a : answers) {
      aggregator.add(a);
    }
    assertEquals(answers.length, aggregator.count());
    return aggregator.combined();
  }

  @Test
  void limitsRejectAndAcceptAgain() {
    InflightLimits limits = new InflightLimits(2, 100);
    assertTrue(limits.tryAcquire(60));
    assertFalse(limits.tryAcquire(60), "bytes");
    assertTrue(limits.tryAcquire(40));
    assertFalse(limits.tryAcquire(0), "requests");
    assertFalse(limits.belowResumeThreshold());
    limits.release(60);
    limits.release(40);
    assertTrue(limits.belowResumeThreshold());
    assertTrue(limits.tryAcquire(500), "a larger request is accepted alone");
    assertFalse(limits.tryAcquire(1));
  }

  @Test
  void burstIsLoggedOncePerSecond() {
    LogSampler sampler = new LogSampler();
    assertEquals(1, sampler.admit(5_000_000));
    assertEquals(0, sampler.admit(5_500_000));
    assertEquals(0, sampler.admit(5_999_999));
    assertEquals(3, sampler.admit(6_000_000));
  }

  @Test
  void timersRunInOrderUnlessCancelled() {
    TimerQueue timers = new TimerQueue();
    List<String> ran = new ArrayList<>();
    timers.schedule(20, () -> ran.add("b"));
    timers.schedule(10, () -> ran.add("a"));
    timers.schedule(20, () -> ran.add("c"));
    TimerQueue.Timer cancelled = timers.schedule(5, () -> ran.add("cancelled"));
    cancelled.cancel();
    assertEquals(3, timers.size(), "cancelled timers are removed at once");
    assertEquals(10, timers.nextDueTime());
    timers.runDue(20);
    assertEquals(List.of("a", "b", "c"), ran);
    assertEquals(Long.MAX_VALUE, timers.nextDueTime());
  }

  /** Compared with a sorted list, for any sequence of scheduling, cancelling and running. */
  @Property(tries = 300, seed = "22")
  void timerQueueMatchesSortedList(
      @ForAll @Size(min = 1, max = 200) List<@IntRange(max = 99) Integer> steps) {
    TimerQueue timers = new TimerQueue();
    List<long[]> pending = new ArrayList<>();
    List<TimerQueue.Timer> scheduled = new ArrayList<>();
    List<Long> ran = new ArrayList<>();
    List<Long> expected = new ArrayList<>();
    long id = 0;
    for (int step : steps) {
      if (step < 60 || pending.isEmpty()) {
        long n = id++;
        scheduled.add(timers.schedule(step, () -> ran.add(n)));
        pending.add(new long[]{step, n});
      } else if (step < 85) {
        long[] cancelled = pending.remove(step % pending.size());
        scheduled.get((int) cancelled[1]).cancel();
        scheduled.get((int) cancelled[1]).cancel();
      } else {
        long now = step - 60;
        timers.runDue(now);
        pending.stream()
            .filter(e -> e[0] <= now)
            .sorted((a, b) -> a[0] != b[0] ? Long.compare(a[0], b[0]) : Long.compare(a[1], b[1]))
            .forEach(e -> expected.add(e[1]));
        pending.removeIf(e -> e[0] <= now);
      }
      assertEquals(pending.size(), timers.size());
      assertEquals(pending.stream().mapToLong(e -> e[0]).min().orElse(Long.MAX_VALUE), timers.nextDueTime());
    }
    assertEquals(expected, ran);
  }

  @Test
  void subRequestSeesItsPartOfTheBuffers() {
    ByteBuffer first = ByteBuffer.allocate(10);
    ByteBuffer second = ByteBuffer.allocate(10);
    second.put(2, (byte) 7);
    IoRequest io = new IoRequest("v", IoKind.READ, 0, 20, List.of(first, second), 0, null);
    ActiveRequest request = new ActiveRequest(null, io, null, null, 0);
    List<ByteBuffer> views = new SubRequest(1, request, 0, 0, 8, 6).data();
    assertEquals(List.of(2, 4), views.stream().map(ByteBuffer::remaining).toList());
    assertEquals(7, views.get(1).get(2));
    assertEquals(0, first.position());
  }
}
