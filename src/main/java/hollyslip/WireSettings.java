package hollyslip;

import com.fasterxml.jackson.databind.JsonNode;
import hollyslip.HostScheduler.Allowed;
import hollyslip.HostScheduler.Effect;
import hollyslip.HostScheduler.Group;
import hollyslip.HostScheduler.Plan;
import hollyslip.HostScheduler.ReportSource;
import hollyslip.HostScheduler.RequestClass;
import hollyslip.HostScheduler.Rules;
import hollyslip.HostScheduler.Settings;
import hollyslip.HostScheduler.Store;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The settings object of the simulator's wire and of the platform's configuration file, as the module's
 * {@link Settings}: times are seconds there, us here; unknown keys are passed over. */
public final class WireSettings {
  private WireSettings() {}

  /** Translates the settings {@code c}, as the wire's first message holds them.
   *
   * @throws IllegalArgumentException
   *           naming the field that is missing or out of its bounds */
  public static Settings parse(long seed, JsonNode c) {
    List<RequestClass> classes = new ArrayList<>();
    JsonNode writes = c.path("extra").path("changesData");
    c.path("classes").forEach(k -> classes.add(requestClass(k, writes.path(classes.size()))));
    List<Plan> plans = new ArrayList<>();
    c.path("policies").forEach(p -> plans.add(plan(p)));
    JsonNode r = c.path("rules");
    JsonNode a = c.path("policyLimits");
    JsonNode x = c.path("extra");
    List<String> fields = new ArrayList<>();
    c.path("stats").path("names").forEach(f -> fields.add(neutralField(f.asText())));
    return new Settings(seed, c.path("myNumber").asInt(), c.path("balancers").asInt(1), c.path(
        "az").asText(""), Math.max(1, micros(c.path("tick"))), c.path("discovery")
            .asText()
            .equals("on_request"), classes, plans, new Rules(micros(r.path("graceToAnswer")),
                micros(r.path("drainGrace")), r.path("coldFrom").asDouble(1), micros(r.path("cold")), r.path(
                    "fallMultiple").asDouble(), micros(r.path("fall")), micros(r.path("settleAfterDoubt")), r
                        .path("furtherRatio")
                        .asDouble(), r.path("budgetFree").asDouble(), micros(r.path("resendSpan")), micros(r
                            .path("askWithin"))), new Allowed(a.path("maxAttempts").asInt(1), a
                                .path("probes")
                                .asBoolean(), a.path("cancel").asBoolean(), a.path("secondCopies")
                                    .asBoolean(), a.path("retryAfter").asBoolean(), micros(a.path(
                                        "maxRetryAfter")), micros(a.path("dialTimeout"))),
        new Store(x.path("unitMean").asDouble(1), x.path("mostUnits").asInt(1), x.path(
            "coldBears").asDouble(), x.path("fairWorth").asDouble(), x.path("idleWorth").asDouble(), micros(x
                .path("meter")), x.path("tellsElsewhere").asBoolean()), switch (c.path("stats")
                    .path("how")
                    .asText()) {
                  case "answers" -> ReportSource.ANSWERS;
                  case "probe" -> ReportSource.PROBE;
                  default -> ReportSource.NONE;
                }, fields);
  }

  private static RequestClass requestClass(JsonNode k, JsonNode write) {
    return new RequestClass(need(k, "name").asText(), switch (k.path("effect").asText()) {
      case "pure" -> Effect.SAFE;
      case "token" -> Effect.KEYED;
      default -> Effect.UNSAFE;
    }, switch (k.path("group").asText()) {
      case "all" -> Group.ALL;
      case "zone" -> Group.ZONE;
      default -> Group.CELL;
    }, micros(k.path("window")), micros(k.path("aim")), micros(k.path("giveUp")), k.path("points").asDouble(),
        k.path("lateValue").asDouble(), k.path("byArrival").asBoolean(), write.asBoolean());
  }

  private static Plan plan(JsonNode p) {
    return new Plan(need(p, "name").asText(), p.path("nominal").asDouble(), p.path("guaranteed")
        .asDouble(), p.path("proportion").asDouble(1), p.path("price").asDouble(1), p.path("cap").asDouble(),
        p.path("capDepth").asDouble(), p.path("limitSlack").asDouble());
  }

  private static String neutralField(String name) {
    return switch (name.toLowerCase(Locale.ROOT)) {
      case "outstanding" -> "inflight";
      case "backlog" -> "queue";
      case "utilization" -> "util";
      case "recent_ms" -> "latency_ms";
      default -> name;
    };
  }

  private static JsonNode need(JsonNode m, String field) {
    if (!m.hasNonNull(field)) {
      throw new IllegalArgumentException(field + ": is missing");
    }
    return m.get(field);
  }

  private static long micros(JsonNode value) {
    return Math.round(value.asDouble() * 1e6);
  }
}
