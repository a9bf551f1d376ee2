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

/** Explores every order of events up to a depth in a small scenario: one host, two nodes, requests of four
 * classes, successful, failed and missing responses, drains, cold starts, host restarts and the passing of
 * time. The rules are checked after each step, and at the end of each path after all client deadlines. To
 * search deeper: {@code -Dsmallworld.depth=7}. */
class EventOrderTest {
  private static final long START = 1_000_000_000L;

  /** A step that a path may take where it is possible. */
  private record Step(String name, Predicate<Scenario> isPossible, Consumer<Scenario> effect) {}

  private static final class Scenario {
    final RuleAudit audit = new RuleAudit(Fixtures.settings(), START, 2);
    NodeState firstNodeState = NodeState.ON;
    long secondNodeStartedAt;
    long nextId;

    Scenario() {
      publishNodes();
    }

    void publishNodes() {
      audit.updateNodes(true, nodes());
    }

    private List<HostScheduler.NodeEntry> nodes() {
      return List.of(Fixtures.node(1, 0, firstNodeState, 0),
          Fixtures.node(2, 1, NodeState.ON, secondNodeStartedAt));
    }

    void submit(String className, Long key, String plan, int shard) {
      audit.submit(Fixtures.request(nextId++, className, plan, key, shard + 1, 2, shard));
    }

    void completeAttempt(boolean oldest, Result result) {
      audit.completeAttempt(audit.inFlight.get(oldest ? 0 : audit.inFlight.size() - 1), result);
    }
  }

  private static Step submitStep(String className, Long key, String plan, int shard) {
    return new Step(className + "@" + shard, scenario -> true,
        scenario -> scenario.submit(className, key, plan, shard));
  }

  private static Step completionStep(boolean oldest, Result result) {
    return new Step((oldest ? "oldest " : "newest ") + result,
        scenario -> !scenario.audit.inFlight.isEmpty() && (oldest || scenario.audit.inFlight.size() > 1),
        scenario -> scenario.completeAttempt(oldest, result));
  }

  private static final List<Step> STEPS = List.of(submitStep(Fixtures.SAFE.name(), null, "free", 0),
      submitStep(Fixtures.UNSAFE.name(), null, "limited", 1), submitStep(Fixtures.ORDERED.name(), 5L, "heavy",
          0), submitStep("keyed-CELL", 6L, "free", 1), completionStep(true, Result.OK), completionStep(true,
              Result.FULL), completionStep(true, Result.RESET), completionStep(false, Result.OK),
      completionStep(false, Result.MOOT), new Step("100 ms", scenario -> true, scenario -> scenario.audit
          .advanceTo(scenario.audit.now + 100_000)), new Step("1 s", scenario -> true,
              scenario -> scenario.audit.advanceTo(scenario.audit.now + 1_000_000)), new Step("node 1 drains",
                  scenario -> scenario.firstNodeState == NodeState.ON, scenario -> {
                    scenario.firstNodeState = NodeState.DRAINING;
                    scenario.publishNodes();
                  }), new Step("node 2 starts cold", scenario -> scenario.secondNodeStartedAt == 0,
                      scenario -> {
                        scenario.secondNodeStartedAt = scenario.audit.now;
                        scenario.publishNodes();
                      }), new Step("host restarts", scenario -> scenario.nextId > 0,
                          scenario -> scenario.audit.restart(scenario.nodes())));

  private static Scenario replay(int[] path, int length) {
    Scenario scenario = new Scenario();
    for (int i = 0; i < length; i++) {
      STEPS.get(path[i]).effect.accept(scenario);
    }
    return scenario;
  }

  private static String stepNames(int[] path, int length) {
    return IntStream.range(0, length).mapToObj(i -> STEPS.get(path[i]).name).toList().toString();
  }

  /** Extends the path from its first {@code length} steps; returns the number of paths completed. */
  private static long explore(int[] path, int length, List<String> violations) {
    Scenario scenario = replay(path, length);
    if (!scenario.audit.violations.isEmpty()) {
      violations.add(stepNames(path, length) + ": " + scenario.audit.violations);
      return 1;
    }
    if (length == path.length) {
      scenario.audit.advanceTo(scenario.audit.now + 10_000_000);
      if (!scenario.audit.violations.isEmpty()) {
        violations.add(stepNames(path, length) + ", after all deadlines: " + scenario.audit.violations);
      }
      return 1;
    }
    long paths = 0;
    for (int step = 0; step < STEPS.size() && violations.isEmpty(); step++) {
      if (STEPS.get(step).isPossible.test(scenario)) {
        path[length] = step;
        paths += explore(path, length + 1, violations);
      }
    }
    return paths;
  }

  @Test
  void everyEventOrderKeepsTheRules() {
    int depth = Integer.getInteger("smallworld.depth", 5);
    List<String> violations = java.util.Collections.synchronizedList(new ArrayList<>());
    long paths = IntStream.range(0, STEPS.size()).parallel().mapToLong(step -> {
      int[] path = new int[depth];
      path[0] = step;
      return STEPS.get(step).isPossible.test(new Scenario()) ? explore(path, 1, violations) : 0;
    }).sum();
    assertEquals(List.of(), violations);
    assertTrue(paths > Math.pow(5, depth), paths + " paths");
    System.out.println("event orders: depth " + depth + ", " + paths + " paths");
  }
}
