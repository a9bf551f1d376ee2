package hollyslip;

import hollyslip.HostScheduler.*;
import java.util.List;

/** Settings, requests and node list entries for tests of the scheduler. */
final class Fixtures {
  static final RequestClass SAFE = new RequestClass("read", Effect.SAFE, DedupScope.ALL, 0, 250_000,
      2_000_000, 2,
      0.2, false, false);
  static final RequestClass UNSAFE = new RequestClass("write", Effect.UNSAFE, DedupScope.CELL, 0, 250_000,
      2_000_000, 2, 0.2, false, true);
  static final RequestClass ORDERED = new RequestClass("log", Effect.SAFE, DedupScope.ALL, 0, 250_000,
      1_000_000,
      2, 0.2, true, true);

  private Fixtures() {}

  static RequestClass keyed(DedupScope scope) {
    return new RequestClass("keyed-" + scope, Effect.KEYED, scope, 400_000, 250_000, 2_000_000, 2, 0.2, false,
        true);
  }

  static List<RequestClass> classes() {
    return List.of(SAFE, UNSAFE, ORDERED, keyed(DedupScope.ALL), keyed(DedupScope.ZONE), keyed(
        DedupScope.CELL));
  }

  /** Settings of one host out of {@code hosts}, with its own seed. */
  static Settings settingsWithSeed(long seed, int hosts) {
    Settings s = settings();
    return new Settings(seed, 0, hosts, s.zone(), s.tickUs(), false, s.classes(), s.plans(), s.rules(), s
        .allowed(), s.store(), s.reportSource(), s.reportFields());
  }

  static Settings settings(List<RequestClass> classes, Rules rules, boolean onRequest) {
    return new Settings(7, 0, 2, "a", 2_000, onRequest, classes, List.of(new Plan("free", 4, 2, 1, 1, 0, 0,
        0), new Plan("heavy", 8, 4, 3, 1, 0, 0, 0), new Plan("limited", 4, 2, 1, 1, 20, 24, 2.4)), rules,
        new Allowed(4, false, false, false, false, 0, 250_000), new Store(2, 6, 40, 0.4, 0.1, 0, false),
        ReportSource.NONE, List.of());
  }

  static Rules rules() {
    return new Rules(8_000, 500_000, 0.2, 12_000_000, 3, 2_000_000, 300_000, 0.15, 3, 5_000_000, 10_000_000);
  }

  static Settings settings() {
    return settings(classes(), rules(), false);
  }

  static NodeEntry node(long id, int cell, NodeState state, long startedAtUs) {
    return new NodeEntry(id, cell % 2 == 0 ? "a" : "b", cell, state, startedAtUs);
  }

  static Request request(long id, String className, String plan, Long key, long volume, double units,
      int shard) {
    long remaining = classes().stream()
        .filter(c -> c.name().equals(className))
        .mapToLong(RequestClass::deadlineUs)
        .findFirst()
        .orElse(1_000_000);
    return new Request(id, className, plan, key, volume, units, shard, 2, remaining, false);
  }
}
