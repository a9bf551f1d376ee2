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
  private static Piece piece(long id, int shard, long offset, long length) {
    Io io = new Io("v", IoKind.WRITE, offset, length, List.of(), 0, null);
    return new Piece(id, new Operation(null, io, null, null, 0), shard, offset, 0, length);
  }

  @Test
  void overlappingChangesGoInOrderOfArrival() {
    RangeLocks locks = new RangeLocks();
    Piece a = piece(1, 0, 0, 100);
    Piece b = piece(2, 0, 50, 100);
    Piece c = piece(3, 0, 120, 10);
    Piece d = piece(4, 0, 300, 10);
    Piece other = piece(5, 1, 0, 100);
    assertTrue(locks.lock(a));
    assertFalse(locks.lock(b));
    assertFalse(locks.lock(c), "it overlaps one that waits before it");
    assertTrue(locks.lock(d));
    assertTrue(locks.lock(other));
    assertTrue(locks.awaited(a));
    assertEquals(List.of(a), locks.blockers(b));
    assertEquals(List.of(b), locks.unlock(a));
    assertEquals(List.of(c), locks.unlock(b));
    assertEquals(List.of(), locks.unlock(b), "again does nothing");
  }

  @Test
  void whoGivesUpWaitingLetsOthersPass() {
    RangeLocks locks = new RangeLocks();
    Piece a = piece(1, 0, 0, 100);
    Piece b = piece(2, 0, 50, 100);
    Piece c = piece(3, 0, 120, 10);
    locks.lock(a);
    locks.lock(b);
    locks.lock(c);
    assertEquals(List.of(c), locks.leave(b));
    locks.unlock(a);
    locks.unlock(c);
    assertEquals(0, locks.size());
  }

  /** Whatever comes and goes: no two that hold overlap, and none waits once all have gone. */
  @Property(tries = 300, seed = "21")
  void holdersNeverOverlap(@ForAll @Size(min = 1, max = 40) List<@IntRange(max = 63) Integer> offsets,
      @ForAll @IntRange(min = 1, max = 20) int length) {
    RangeLocks locks = new RangeLocks();
    List<Piece> held = new ArrayList<>();
    long id = 0;
    for (int offset : offsets) {
      Piece p = piece(id++, 0, offset, length);
      if (locks.lock(p)) {
        held.add(p);
      }
      if (offset % 3 == 0 && !held.isEmpty()) {
        held.addAll(locks.unlock(held.remove(0)));
      }
      for (Piece x : held) {
        for (Piece y : held) {
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
    Verdict v = new Verdict(repeatable);
    for (Answer a : answers) {
      v.add(a);
    }
    assertEquals(answers.length, v.pieces());
    return v.answer();
  }

  @Test
  void boundsTurnAwayAndLetIn() {
    Bounds b = new Bounds(2, 100);
    assertTrue(b.take(60));
    assertFalse(b.take(60), "bytes");
    assertTrue(b.take(40));
    assertFalse(b.take(0), "requests");
    assertFalse(b.roomy());
    b.give(60);
    b.give(40);
    assertTrue(b.roomy());
    assertTrue(b.take(500), "alone, a larger one gets in");
    assertFalse(b.take(1));
  }

  @Test
  void aStormIsOneLineASecond() {
    Sampler s = new Sampler();
    assertEquals(1, s.admit(5_000_000));
    assertEquals(0, s.admit(5_500_000));
    assertEquals(0, s.admit(5_999_999));
    assertEquals(3, s.admit(6_000_000));
  }

  @Test
  void timersRunInOrderAndCancelledOnesNot() {
    Timers t = new Timers();
    List<String> ran = new ArrayList<>();
    t.set(20, () -> ran.add("b"));
    t.set(10, () -> ran.add("a"));
    t.set(20, () -> ran.add("c"));
    Timers.Entry gone = t.set(5, () -> ran.add("gone"));
    gone.cancel();
    assertEquals(3, t.size(), "what is cancelled is gone, with all that it points to");
    assertEquals(10, t.next());
    t.run(20);
    assertEquals(List.of("a", "b", "c"), ran);
    assertEquals(Long.MAX_VALUE, t.next());
  }

  /** Against a sorted list: any order of setting, cancelling and running. */
  @Property(tries = 300, seed = "22")
  void timersAreAHeapWithRemoval(@ForAll @Size(min = 1, max = 200) List<@IntRange(max = 99) Integer> steps) {
    Timers t = new Timers();
    List<long[]> left = new ArrayList<>();
    List<Timers.Entry> entries = new ArrayList<>();
    List<Long> ran = new ArrayList<>();
    List<Long> expected = new ArrayList<>();
    long id = 0;
    for (int step : steps) {
      if (step < 60 || left.isEmpty()) {
        long n = id++;
        entries.add(t.set(step, () -> ran.add(n)));
        left.add(new long[]{step, n});
      } else if (step < 85) {
        long[] gone = left.remove(step % left.size());
        entries.get((int) gone[1]).cancel();
        entries.get((int) gone[1]).cancel();
      } else {
        long now = step - 60;
        t.run(now);
        left.stream()
            .filter(e -> e[0] <= now)
            .sorted((a, b) -> a[0] != b[0] ? Long.compare(a[0], b[0]) : Long.compare(a[1], b[1]))
            .forEach(e -> expected.add(e[1]));
        left.removeIf(e -> e[0] <= now);
      }
      assertEquals(left.size(), t.size());
      assertEquals(left.stream().mapToLong(e -> e[0]).min().orElse(Long.MAX_VALUE), t.next());
    }
    assertEquals(expected, ran);
  }

  @Test
  void aPieceSeesItsPartOfTheBuffers() {
    ByteBuffer first = ByteBuffer.allocate(10);
    ByteBuffer second = ByteBuffer.allocate(10);
    second.put(2, (byte) 7);
    Io io = new Io("v", IoKind.READ, 0, 20, List.of(first, second), 0, null);
    Operation op = new Operation(null, io, null, null, 0);
    List<ByteBuffer> mine = new Piece(1, op, 0, 0, 8, 6).data();
    assertEquals(List.of(2, 4), mine.stream().map(ByteBuffer::remaining).toList());
    assertEquals(7, mine.get(1).get(2));
    assertEquals(0, first.position());
  }
}
