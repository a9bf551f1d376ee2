package hollyslip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hollyslip.HostScheduler.*;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/** Feeds random events, restarts and outcomes to the scheduler and checks the rules on its actions. */
class RandomEventsTest {
  private static final Result[] RESULTS = {Result.OK, Result.OK, Result.OK, Result.ERROR, Result.FULL,
      Result.TIMEOUT, Result.CONNECT_FAILED, Result.RESET, Result.CANCELLED, Result.MOOT};

  @Property(tries = 120, seed = "41", shrinking = ShrinkingMode.OFF)
  void noRandomSequenceViolatesARule(@ForAll long seed) {
    RuleAudit audit = runRandomEvents(seed, 500);
    assertEquals(List.of(), audit.violations);
    assertTrue(audit.actions.stream().anyMatch(a -> a instanceof Send));
  }

  @Property(tries = 20, seed = "42", shrinking = ShrinkingMode.OFF)
  void equalEventsGiveEqualActions(@ForAll long seed) {
    assertEquals(runRandomEvents(seed, 300).actions, runRandomEvents(seed, 300).actions);
  }

  static RuleAudit runRandomEvents(long seed, int steps) {
    Random random = new Random(seed);
    RuleAudit audit = new RuleAudit(Fixtures.settings(), 50_000_000, 2);
    List<NodeEntry> nodes = new ArrayList<>();
    for (int cell = 0; cell < 4; cell++) {
      nodes.add(Fixtures.node(100 + cell, cell, NodeState.ON, 0));
    }
    audit.updateNodes(true, nodes);
    long nextId = 1;
    for (int i = 0; i < steps; i++) {
      int kind = random.nextInt(100);
      if (kind < 45) {
        audit.submit(randomRequest(nextId++, random));
      } else if (kind < 75 && !audit.inFlight.isEmpty()) {
        audit.completeAttempt(audit.inFlight.get(random.nextInt(audit.inFlight.size())),
            RESULTS[random.nextInt(RESULTS.length)]);
      } else if (kind < 80) {
        int index = random.nextInt(nodes.size());
        NodeState state = NodeState.values()[random.nextInt(3)];
        long startedAtUs = random.nextBoolean()
            ? audit.now - random.nextInt(500_000)
            : nodes.get(index).startedAtUs();
        nodes.set(index, Fixtures.node(100 + index, index, state, startedAtUs));
        audit.updateNodes(random.nextBoolean(), random.nextBoolean() ? nodes : List.of(nodes.get(index)));
      } else if (kind < 81) {
        audit.restart(nodes);
      } else if (kind < 83) {
        audit.requests.values()
            .stream()
            .filter(tracked -> !tracked.answered)
            .findFirst()
            .ifPresent(tracked -> audit.disconnect(tracked.request.id()));
      }
      audit.advanceTo(audit.now + random.nextInt(kind > 95 ? 400_000 : 15_000));
    }
    audit.advanceTo(audit.now + 3_000_000);
    return audit;
  }

  private static Request randomRequest(long id, Random random) {
    List<RequestClass> classes = Fixtures.classes();
    String plan = List.of("free", "heavy", "limited").get(random.nextInt(3));
    long volume = plan.hashCode() % 100 + random.nextInt(3);
    return Fixtures.request(id, classes.get(random.nextInt(classes.size())).name(), plan,
        (long) random.nextInt(6), volume, 1 + random.nextInt(6), random.nextInt(5) - 1);
  }
}
