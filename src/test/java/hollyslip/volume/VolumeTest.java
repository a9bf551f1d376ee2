package hollyslip.volume;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hollyslip.volume.Splitter.ShardRange;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Extents, classes and units. */
class VolumeTest {
  private static final Volume V = new Volume(1, "v", "t", "p", 1, 10 * 1024, 4096, List.of(new Volume.Extent(
      2, 0), new Volume.Extent(5, 8192), new Volume.Extent(2, 4096)));

  @Test
  void aRequestIsCutAtExtents() {
    Splitter s = new Splitter(1 << 20);
    assertEquals(List.of(new ShardRange(2, 512, 0, 1024)), s.split(V, 512, 1024));
    assertEquals(List.of(new ShardRange(2, 3584, 0, 512), new ShardRange(5, 8192, 512, 4096), new ShardRange(2, 4096, 4608,
        512)), s.split(V, 3584, 5120));
    assertEquals(List.of(2, 5), Splitter.shards(V));
    assertThrows(IllegalArgumentException.class, () -> s.split(V, 10 * 1024 - 512, 1024));
  }

  @Test
  void neighboursOnOneShardAreOnePartUpToTheBound() {
    Volume row = new Volume(1, "v", "t", "p", 1, 8192, 4096, List.of(new Volume.Extent(2, 0),
        new Volume.Extent(2, 4096)));
    assertEquals(List.of(new ShardRange(2, 2048, 0, 4096)), new Splitter(1 << 20).split(row, 2048, 4096));
    assertEquals(2, new Splitter(2048).split(row, 2048, 4096).size());
  }

  /** Parts cover the range once, in order, and each byte lies where its extent says. */
  @Property(tries = 500, seed = "31")
  void partsCoverTheRange(@ForAll @IntRange(max = 19) int from,
      @ForAll @IntRange(min = 1, max = 20) int blocks) {
    long offset = from * 512L;
    long length = Math.min(blocks * 512L, V.bytes() - offset);
    long done = 0;
    for (ShardRange p : new Splitter(1024).split(V, offset, length)) {
      assertEquals(done, p.requestOffset());
      Volume.Extent e = V.extents().get((int) ((offset + done) / 4096));
      assertEquals(e.shard(), p.shard());
      assertEquals(e.offset() + (offset + done) % 4096, p.offset());
      assertTrue(p.length() <= 1024);
      done += p.length();
    }
    assertEquals(length, done);
  }

  @Test
  void classAndUnitsByKindAndSize() {
    List<Classifier.Row> rows = new ArrayList<>(List.of(new Classifier.Row("small", Set.of(IoKind.READ),
        8192), new Classifier.Row("bulk", Set.of(IoKind.READ), Long.MAX_VALUE), new Classifier.Row("change",
            Set.of(IoKind.WRITE, IoKind.FLUSH, IoKind.DISCARD, IoKind.WRITE_ZEROES), Long.MAX_VALUE)));
    Classifier c = new Classifier(rows, 4096, 4);
    assertEquals("small", c.className(IoKind.READ, 8192));
    assertEquals("bulk", c.className(IoKind.READ, 8193));
    assertEquals(3, c.units(IoKind.WRITE, 8193));
    assertEquals(4, c.units(IoKind.READ, 1 << 20));
    assertEquals(1, c.units(IoKind.DISCARD, 1 << 20));
    rows.remove(1);
    assertThrows(IllegalArgumentException.class, () -> new Classifier(rows, 4096, 4));
  }

  @Test
  void rangesThatAreNotBlocksAreNotHeld() {
    assertTrue(V.holds(0, V.bytes()));
    assertFalse(V.holds(1, 512) || V.holds(0, 0) || V.holds(512, V.bytes()) || V.holds(-512, 512) || V.holds(
        Long.MAX_VALUE - 511, 512));
  }
}
