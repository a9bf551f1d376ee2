package hollyslip.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Guards against ids that come to mean another node when rows of the node list go or move. */
class NodeIdsTest {
  private final NodeIds ids = new NodeIds();

  private static NodeIds.Identity node(String name, int port, int shard) {
    return new NodeIds.Identity(name, "127.0.0.1", port, "a", shard);
  }

  @Test
  void aNodeKeepsItsIdWhenRowsBeforeItGo() {
    ids.assign(node("store-0", 1, 0), 1);
    assertEquals(2, ids.assign(node("store-1", 2, 1), 2));
    assertEquals(2, ids.assign(node("store-1", 2, 1), 1));
  }

  @Test
  void anIdIsNeverGivenToAnotherNode() {
    ids.assign(node("store-0", 1, 0), 1);
    ids.assign(node("store-1", 2, 1), 2);
    long moved = ids.assign(node("store-0", 9, 0), 1);
    long reassigned = ids.assign(node("store-1", 2, 0), 2);
    assertNotEquals(1, moved);
    assertNotEquals(2, reassigned);
    assertNotEquals(moved, reassigned);
    assertEquals(1, ids.assign(node("store-0", 1, 0), 5), "a node that returns has its former id");
  }

  /** Whatever lists follow each other, an id stands for one node. */
  @Property
  void idsStandForOneNode(
      @ForAll @Size(max = 20) List<@Size(max = 6) List<@IntRange(min = 0, max = 8) Integer>> lists) {
    NodeIds fresh = new NodeIds();
    Map<Long, NodeIds.Identity> meaning = new HashMap<>();
    for (List<Integer> list : lists) {
      for (int place = 0; place < list.size(); place++) {
        NodeIds.Identity identity = node("store-" + list.get(place) % 4, list.get(place), 0);
        long id = fresh.assign(identity, place + 1);
        NodeIds.Identity before = meaning.putIfAbsent(id, identity);
        assertEquals(before == null ? identity : before, identity);
      }
    }
  }
}
