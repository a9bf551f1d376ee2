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

/** Random events, restarts and outcomes; the rules are checked on the actions alone. */
class RandomStreamsTest {
  private static final Result[] ENDS = {Result.OK, Result.OK, Result.OK, Result.ERROR, Result.FULL,
      Result.TIMEOUT, Result.CONNECT_FAILED, Result.RESET, Result.CANCELLED, Result.MOOT};

  @Property(tries = 120, seed = "41", shrinking = ShrinkingMode.OFF)
  void noStreamBreaksARule(@ForAll long seed) {
    RuleAudit audit = play(seed, 500);
    assertEquals(List.of(), audit.breaches);
    assertTrue(audit.actions.stream().anyMatch(a -> a instanceof Send));
  }

  @Property(tries = 20, seed = "42", shrinking = ShrinkingMode.OFF)
  void equalEventsGiveEqualActions(@ForAll long seed) {
    assertEquals(play(seed, 300).actions, play(seed, 300).actions);
  }

  static RuleAudit play(long seed, int steps) {
    Random random = new Random(seed);
    RuleAudit audit = new RuleAudit(Worlds.settings(), 50_000_000, 2);
    List<Listed> nodes = new ArrayList<>();
    for (int cell = 0; cell < 4; cell++) {
      nodes.add(Worlds.node(100 + cell, cell, NodeState.ON, 0));
    }
    audit.list(true, nodes);
    long id = 1;
    for (int i = 0; i < steps; i++) {
      int dice = random.nextInt(100);
      if (dice < 45) {
        audit.request(anyRequest(id++, random));
      } else if (dice < 75 && !audit.out.isEmpty()) {
        audit.finish(audit.out.get(random.nextInt(audit.out.size())), ENDS[random.nextInt(ENDS.length)]);
      } else if (dice < 80) {
        int at = random.nextInt(nodes.size());
        NodeState state = NodeState.values()[random.nextInt(3)];
        long born = random.nextBoolean() ? audit.now - random.nextInt(500_000) : nodes.get(at).bornUs();
        nodes.set(at, Worlds.node(100 + at, at, state, born));
        audit.list(random.nextBoolean(), random.nextBoolean() ? nodes : List.of(nodes.get(at)));
      } else if (dice < 81) {
        audit.restart(nodes);
      } else if (dice < 83) {
        audit.seen.values()
            .stream()
            .filter(s -> !s.answered)
            .findFirst()
            .ifPresent(s -> audit.depart(s.request.id()));
      }
      audit.advance(audit.now + random.nextInt(dice > 95 ? 400_000 : 15_000));
    }
    audit.advance(audit.now + 3_000_000);
    return audit;
  }

  private static Request anyRequest(long id, Random random) {
    List<RequestClass> classes = Worlds.classes();
    String plan = List.of("free", "heavy", "limited").get(random.nextInt(3));
    long volume = plan.hashCode() % 100 + random.nextInt(3);
    return Worlds.request(id, classes.get(random.nextInt(classes.size())).name(), plan, (long) random.nextInt(
        6), volume, 1 + random.nextInt(6), random.nextInt(5) - 1);
  }
}
