package hollyslip.load;

import hollyslip.HostScheduler.NodeState;
import hollyslip.audit.AuditParameters;
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

/** Generates the settings scripts of a {@link Scenario} and the figures for its audit, identically for real
 * gateways and for the emulator. */
public final class ScenarioSettings {
  private ScenarioSettings() {}

  /** The script {@code fleet.star}, which lists the nodes, each with one shard. */
  public static String nodeListScript(int nodes, IntUnaryOperator port, IntFunction<NodeState> state) {
    StringBuilder script = new StringBuilder("NODES = [\n");
    for (int i = 0; i < nodes; i++) {
      script.append(String.format("    (\"store-%d\", %d, \"hall-%s\", %d, \"%s\"),%n", i, port.applyAsInt(i),
          i
              % 2 == 0 ? "a" : "b", i, state.apply(i).name().toLowerCase(Locale.ROOT)));
    }
    return script.append("]\n").toString();
  }

  /** The script of one gateway, which loads {@code fleet.star}. */
  public static String gatewayScript(Scenario scenario, int gateway) throws IOException {
    try (InputStream in = ScenarioSettings.class.getResourceAsStream("/hollyslip/example.star")) {
      String example = new String(in.readAllBytes(), StandardCharsets.UTF_8).replace("\"gateway-a\"",
          "\"gateway-" + gateway + "\"")
          .replace("\"run\"", "\"run-" + gateway + "\"")
          .replace("\"state\"", "\"state-" + gateway + "\"")
          .replace("index = 0,", "index = " + gateway + ",")
          .replace("hosts = 1,", "hosts = " + scenario.gateways() + ", cores = " + scenario.lanes() + ",");
      return scenario.exampleSettings()
          ? example
          : example.substring(0, example.indexOf("# Plans:"))
              .replace("cold_units = 60",
                  "cold_units = " + coldUnits(scenario.nodes())) + plansAndVolumes(scenario);
    }
  }

  /** Units that a freshly started node can always bear within the window of the cold-node rule: a fifth of
   * its full speed, times the multiple at which the rule applies; a command counts as at least one unit. */
  private static long coldUnits(Scenario.Nodes nodes) {
    double commandsPerSecond = nodes.cores() * 1e6 / nodes.baseUs();
    return (long) Math.max(1, 3 * 0.2 * 2 * commandsPerSecond);
  }

  private static String plansAndVolumes(Scenario scenario) {
    StringBuilder script = new StringBuilder();
    scenario.plans().forEach((name, parameters) -> {
      script.append("plan(\"").append(name).append('"');
      parameters.forEach((key, value) -> script.append(", ")
          .append(key.replace('-', '_'))
          .append(" = ")
          .append(value));
      script.append(")\n");
    });
    script.append("for name, port, zone, shard, state in NODES:\n"
        + "    node(name, port = port, zone = zone, shard = shard, state = state)\n");
    int offsetMib = 0;
    int index = 0;
    for (Scenario.VolumeLoad volume : scenario.volumes()) {
      script.append(String.format(
          "volume(\"%s\", tenant = \"%s\", plan = \"%s\", size = %d * MiB, extent = 256 * KiB, shards = "
              + "%s, at = %d * MiB, hosts = %d)%n", volume.volume(), volume.volume(), volume.plan(), volume
                  .sizeMib(), shards(scenario,
                      volume,
                      index++), offsetMib, scenario.gatewayCount(volume)));
      offsetMib += volume.sizeMib() / shardCount(scenario, volume) + 1;
    }
    return script.toString();
  }

  private static int shardCount(Scenario scenario, Scenario.VolumeLoad load) {
    return load.maxShards() == 0
        ? scenario.nodes().count()
        : Math.min(load.maxShards(), scenario.nodes().count());
  }

  /** Shards of a volume: as many as it spreads over, starting after the last shard of the previous volume. */
  private static List<Integer> shards(Scenario scenario, Scenario.VolumeLoad load, int index) {
    int count = shardCount(scenario, load);
    return IntStream.range(0, count).mapToObj(i -> (index * count + i) % scenario.nodes().count()).toList();
  }

  /** Figures for the audit. {@code slackUs} is the tolerance for late answers, us; {@code skewUs} is the
   * maximum offset between the clocks of the two ends of a request, us. */
  public static AuditParameters auditFigures(Deployment deployment, long slackUs, long skewUs) {
    Map<String, AuditParameters.Limit> limits = new HashMap<>();
    List<AuditParameters.Area> areas = new ArrayList<>();
    deployment.volumes().forEach(volume -> {
      deployment.plans()
          .stream()
          .filter(plan -> plan.name().equals(volume.plan()) && plan.limit() > 0)
          .forEach(plan -> limits.put(volume.name(), new AuditParameters.Limit(plan.limit(), plan
              .limitBurst(), plan
                  .limitSlack())));
      for (int i = 0; i < volume.extents().size(); i++) {
        var extent = volume.extents().get(i);
        areas.add(new AuditParameters.Area(volume.name(), "shard-" + extent.shard(), extent.offset(), extent
            .offset()
            + volume.extentBytes()));
      }
    });
    var rules = deployment.rules();
    return new AuditParameters(rules.answerSlackUs() + slackUs, rules.drainGraceUs(), rules.orderSettleUs(),
        deployment.store()
            .coldUnits(), rules.coldFrom(), rules.coldUs(), rules.fallUs(), rules.budgetFree(), rules
                .budgetShare(), rules
                    .budgetWindowUs(), skewUs, deployment.volumes().get(0).extentBytes(), deployment.gateway()
                        .unitBytes(), deployment.store()
                            .maxUnits(), limits, areas);
  }
}
