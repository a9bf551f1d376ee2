package hollyslip.load;

import hollyslip.HostScheduler.NodeState;
import hollyslip.audit.Figures;
import hollyslip.settings.Deployment;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.IntFunction;
import java.util.function.IntUnaryOperator;
import java.util.stream.IntStream;

/** Generates the settings scripts of a {@link Day} and the figures for its audit, identically for real
 * gateways and for the emulator. */
public final class ScenarioSettings {
  private ScenarioSettings() {}

  /** The script {@code fleet.star}, which lists the nodes, each with one shard. */
  public static String nodeListScript(int nodes, IntUnaryOperator port, IntFunction<NodeState> state) {
    StringBuilder s = new StringBuilder("NODES = [\n");
    for (int i = 0; i < nodes; i++) {
      s.append(String.format("    (\"store-%d\", %d, \"hall-%s\", %d, \"%s\"),%n", i, port.applyAsInt(i), i
          % 2 == 0 ? "a" : "b", i, state.apply(i).name().toLowerCase(Locale.ROOT)));
    }
    return s.append("]\n").toString();
  }

  /** The script of one gateway, which loads {@code fleet.star}. */
  public static String gatewayScript(Day day, int gateway) throws IOException {
    try (InputStream in = ScenarioSettings.class.getResourceAsStream("/hollyslip/example.star")) {
      String example = new String(in.readAllBytes(), StandardCharsets.UTF_8).replace("\"gateway-a\"",
          "\"gateway-" + gateway + "\"")
          .replace("\"run\"", "\"run-" + gateway + "\"")
          .replace("\"state\"", "\"state-" + gateway + "\"")
          .replace("index = 0,", "index = " + gateway + ",")
          .replace("hosts = 1,", "hosts = " + day.gateways() + ", cores = " + day.lanes() + ",");
      return day.exampleSettings()
          ? example
          : example.substring(0, example.indexOf("# Plans:"))
              .replace("cold_units = 60",
                  "cold_units = " + coldUnits(day.nodes())) + plansAndVolumes(day);
    }
  }

  /** Units that a freshly started node can always bear within the window of the cold-node rule: a fifth of
   * its full speed, times the multiple at which the rule applies; a command counts as at least one unit. */
  private static long coldUnits(Day.Nodes n) {
    double commands = n.cores() * 1e6 / n.baseUs();
    return (long) Math.max(1, 3 * 0.2 * 2 * commands);
  }

  private static String plansAndVolumes(Day day) {
    StringBuilder s = new StringBuilder();
    day.plans().forEach((name, f) -> {
      s.append("plan(\"").append(name).append('"');
      f.forEach((k, v) -> s.append(", ").append(k.replace('-', '_')).append(" = ").append(v));
      s.append(")\n");
    });
    s.append("for name, port, zone, shard, state in NODES:\n"
        + "    node(name, port = port, zone = zone, shard = shard, state = state)\n");
    int at = 0;
    int number = 0;
    for (Day.VolumeLoad v : day.volumes()) {
      s.append(String.format(
          "volume(\"%s\", tenant = \"%s\", plan = \"%s\", size = %d * MiB, extent = 256 * KiB, shards = "
              + "%s, at = %d * MiB, hosts = %d)%n", v.volume(), v.volume(), v.plan(), v.sizeMib(), shards(day,
                  v,
                  number++), at, day.gatewayCount(v)));
      at += v.sizeMib() / shardCount(day, v) + 1;
    }
    return s.toString();
  }

  private static int shardCount(Day day, Day.VolumeLoad v) {
    return v.maxShards() == 0 ? day.nodes().count() : Math.min(v.maxShards(), day.nodes().count());
  }

  /** Shards of a volume: as many as it spreads over, starting after the last shard of the previous volume. */
  private static List<Integer> shards(Day day, Day.VolumeLoad v, int number) {
    int n = shardCount(day, v);
    return IntStream.range(0, n).mapToObj(i -> (number * n + i) % day.nodes().count()).toList();
  }

  /** Figures for the audit. {@code slackUs} is the tolerance for late answers, us; {@code skewUs} is the
   * maximum offset between the clocks of the two ends of a request, us. */
  public static Figures auditFigures(Deployment d, long slackUs, long skewUs) {
    Map<String, Figures.Limit> limits = new HashMap<>();
    List<Figures.Area> areas = new ArrayList<>();
    d.volumes().forEach(v -> {
      d.plans()
          .stream()
          .filter(p -> p.name().equals(v.plan()) && p.limit() > 0)
          .forEach(p -> limits.put(v.name(), new Figures.Limit(p.limit(), p.limitBurst(), p.limitSlack())));
      for (int i = 0; i < v.extents().size(); i++) {
        var e = v.extents().get(i);
        areas.add(new Figures.Area(v.name(), "shard-" + e.shard(), e.offset(), e.offset() + v.extentBytes()));
      }
    });
    var r = d.rules();
    return new Figures(r.answerSlackUs() + slackUs, r.drainGraceUs(), r.orderSettleUs(), d.store()
        .coldUnits(), r.coldFrom(), r.coldUs(), r.fallUs(), r.budgetFree(), r.budgetShare(), r
            .budgetWindowUs(), skewUs, d.volumes().get(0).extentBytes(), d.gateway().unitBytes(), d.store()
                .maxUnits(), limits, areas);
  }
}
