package hollyslip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hollyslip.HostScheduler.NodeState;
import hollyslip.HostScheduler.Result;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Every order of events in a small world, to a depth: one host, two nodes, requests of four classes, answers
 * that come, fail and stay away, drains, cold starts, restarts of the host and the passing of time. The rules
 * are looked at on the way, and at each end once all clients' time is over. Deeper:
 * {@code -Dsmallworld.depth=7}. */
class SmallWorldTest {
  private static final long START = 1_000_000_000L;

  /** Something that may happen. */
  private record Step(String name, Predicate<World> can, Consumer<World> does) {}

  private static final class World {
    final RuleAudit audit = new RuleAudit(Worlds.settings(), START, 2);
    NodeState first = NodeState.ON;
    long born;
    long next;

    World() {
      tell();
    }

    void tell() {
      audit.list(true, nodes());
    }

    private List<HostScheduler.Listed> nodes() {
      return List.of(Worlds.node(1, 0, first, 0), Worlds.node(2, 1, NodeState.ON, born));
    }

    void ask(String className, Long key, String plan, int shard) {
      audit.request(Worlds.request(next++, className, plan, key, shard + 1, 2, shard));
    }

    void finish(boolean oldest, Result result) {
      audit.finish(audit.out.get(oldest ? 0 : audit.out.size() - 1), result);
    }
  }

  private static Step ask(String className, Long key, String plan, int shard) {
    return new Step(className + "@" + shard, w -> true, w -> w.ask(className, key, plan, shard));
  }

  private static Step finish(boolean oldest, Result result) {
    return new Step((oldest ? "oldest " : "newest ") + result, w -> !w.audit.out.isEmpty() && (oldest
        || w.audit.out
            .size() > 1), w -> w.finish(oldest, result));
  }

  private static final List<Step> STEPS = List.of(ask(Worlds.SAFE.name(), null, "free", 0), ask(Worlds.UNSAFE
      .name(),
      null, "limited", 1), ask(Worlds.ORDERED.name(), 5L, "heavy", 0), ask("keyed-CELL", 6L, "free", 1),
      finish(true,
          Result.OK), finish(true, Result.FULL), finish(true, Result.RESET), finish(false, Result.OK), finish(
              false,
              Result.MOOT), new Step("100 ms", w -> true, w -> w.audit.advance(w.audit.now + 100_000)),
      new Step("1 s",
          w -> true, w -> w.audit.advance(w.audit.now + 1_000_000)), new Step("node 1 drains",
              w -> w.first == NodeState.ON, w -> {
                w.first = NodeState.DRAINING;
                w.tell();
              }), new Step("node 2 starts cold", w -> w.born == 0, w -> {
                w.born = w.audit.now;
                w.tell();
              }), new Step("the host starts again", w -> w.next > 0, w -> w.audit.restart(w.nodes())));

  private static World play(int[] path, int length) {
    World w = new World();
    for (int i = 0; i < length; i++) {
      STEPS.get(path[i]).does.accept(w);
    }
    return w;
  }

  private static String names(int[] path, int length) {
    return IntStream.range(0, length).mapToObj(i -> STEPS.get(path[i]).name).toList().toString();
  }

  /** Walks on from a path of so many steps; how many ends it came to. */
  private static long walk(int[] path, int length, List<String> found) {
    World w = play(path, length);
    if (!w.audit.breaches.isEmpty()) {
      found.add(names(path, length) + ": " + w.audit.breaches);
      return 1;
    }
    if (length == path.length) {
      w.audit.advance(w.audit.now + 10_000_000);
      if (!w.audit.breaches.isEmpty()) {
        found.add(names(path, length) + ", the end: " + w.audit.breaches);
      }
      return 1;
    }
    long ends = 0;
    for (int s = 0; s < STEPS.size() && found.isEmpty(); s++) {
      if (STEPS.get(s).can.test(w)) {
        path[length] = s;
        ends += walk(path, length + 1, found);
      }
    }
    return ends;
  }

  @Test
  void everyOrderOfEventsKeepsTheRules() {
    int depth = Integer.getInteger("smallworld.depth", 5);
    List<String> found = java.util.Collections.synchronizedList(new ArrayList<>());
    long ends = IntStream.range(0, STEPS.size()).parallel().mapToLong(s -> {
      int[] path = new int[depth];
      path[0] = s;
      return STEPS.get(s).can.test(new World()) ? walk(path, 1, found) : 0;
    }).sum();
    assertEquals(List.of(), found);
    assertTrue(ends > Math.pow(5, depth), ends + " ends");
    System.out.println("small world: depth " + depth + ", " + ends + " ends");
  }
}
