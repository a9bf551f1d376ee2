package hollyslip.volume;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hollyslip.volume.ExtentSplitter.ShardRange;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Extents, request classes and units. */
class VolumeTest {
  private static final Volume VOLUME = new Volume(1, "v", "t", "p", 1, 10 * 1024, 4096, List.of(
      new Volume.Extent(
          2, 0), new Volume.Extent(5, 8192), new Volume.Extent(2, 4096)));

  @Test
  void requestIsSplitAtExtents() {
    ExtentSplitter splitter = new ExtentSplitter(1 << 20);
    assertEquals(List.of(new ShardRange(2, 512, 0, 1024)), splitter.split(VOLUME, 512, 1024));
    assertEquals(List.of(new ShardRange(2, 3584, 0, 512), new ShardRange(5, 8192, 512, 4096), new ShardRange(
        2, 4096, 4608,
        512)), splitter.split(VOLUME, 3584, 5120));
    assertEquals(List.of(2, 5), ExtentSplitter.shards(VOLUME));
    assertThrows(IllegalArgumentException.class, () -> splitter.split(VOLUME, 10 * 1024 - 512, 1024));
  }

  @Test
  void adjacentRangesOnOneShardAreJoinedUpToTheLimit() {
    Volume adjacent = new Volume(1, "v", "t", "p", 1, 8192, 4096, List.of(new Volume.Extent(2, 0),
        new Volume.Extent(2, 4096)));
    assertEquals(List.of(new ShardRange(2, 2048, 0, 4096)), new ExtentSplitter(1 << 20).split(adjacent, 2048,
        4096));
    assertEquals(2, new ExtentSplitter(2048).split(adjacent, 2048, 4096).size());
  }

  /** The shard ranges cover the request once and in order, and each byte lies where its extent says. */
  @Property(tries = 500, seed = "31")
  void shardRangesCoverTheRequest(@ForAll @IntRange(max = 19) int from,
      @ForAll @IntRange(min = 1, max = 20) int blocks) {
    long offset = from * 512L;
    long length = Math.min(blocks * 512L, VOLUME.bytes() - offset);
    long done = 0;
    for (ShardRange range : new ExtentSplitter(1024).split(VOLUME, offset, length)) {
      assertEquals(done, range.requestOffset());
      Volume.Extent extent = VOLUME.extents().get((int) ((offset + done) / 4096));
      assertEquals(extent.shard(), range.shard());
      assertEquals(extent.offset() + (offset + done) % 4096, range.offset());
      assertTrue(range.length() <= 1024);
      done += range.length();
    }
    assertEquals(length, done);
  }

  @Test
  void classAndUnitsDependOnOperationAndSize() {
    List<RequestClassifier.Rule> rules = new ArrayList<>(List.of(new RequestClassifier.Rule("small", Set.of(
        IoKind.READ),
        8192), new RequestClassifier.Rule("bulk", Set.of(IoKind.READ), Long.MAX_VALUE),
        new RequestClassifier.Rule("change",
            Set.of(IoKind.WRITE, IoKind.FLUSH, IoKind.DISCARD, IoKind.WRITE_ZEROES), Long.MAX_VALUE)));
    RequestClassifier classifier = new RequestClassifier(rules, 4096, 4);
    assertEquals("small", classifier.className(IoKind.READ, 8192));
    assertEquals("bulk", classifier.className(IoKind.READ, 8193));
    assertEquals(3, classifier.units(IoKind.WRITE, 8193));
    assertEquals(4, classifier.units(IoKind.READ, 1 << 20));
    assertEquals(1, classifier.units(IoKind.DISCARD, 1 << 20));
    rules.remove(1);
    assertThrows(IllegalArgumentException.class, () -> new RequestClassifier(rules, 4096, 4));
  }

  @Test
  void unalignedAndOutOfBoundsRangesAreRejected() {
    assertTrue(VOLUME.containsRange(0, VOLUME.bytes()));
    assertFalse(VOLUME.containsRange(1, 512) || VOLUME.containsRange(0, 0) || VOLUME.containsRange(512, VOLUME
        .bytes()) || VOLUME
            .containsRange(-512, 512) || VOLUME.containsRange(
                Long.MAX_VALUE - 511, 512));
  }
}
