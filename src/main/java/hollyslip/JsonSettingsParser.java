package hollyslip;

import com.fasterxml.jackson.databind.JsonNode;
import hollyslip.HostScheduler.Allowed;
import hollyslip.HostScheduler.Effect;
import hollyslip.HostScheduler.DedupScope;
import hollyslip.HostScheduler.Plan;
import hollyslip.HostScheduler.ReportSource;
import hollyslip.HostScheduler.RequestClass;
import hollyslip.HostScheduler.Rules;
import hollyslip.HostScheduler.Settings;
import hollyslip.HostScheduler.Store;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Parses the settings object of the simulator's protocol and of the platform's configuration file into
 * {@link Settings}: converts times from seconds to microseconds and ignores unknown keys. */
public final class JsonSettingsParser {
  private JsonSettingsParser() {}

  /** Parses settings in the form of the protocol's launch message.
   *
   * @throws IllegalArgumentException
   *           naming the field that is missing or out of range */
  public static Settings parse(long seed, JsonNode json) {
    List<RequestClass> classes = new ArrayList<>();
    JsonNode writes = json.path("extra").path("changesData");
    json.path("classes").forEach(k -> classes.add(requestClass(k, writes.path(classes.size()))));
    List<Plan> plans = new ArrayList<>();
    json.path("policies").forEach(p -> plans.add(plan(p)));
    JsonNode rules = json.path("rules");
    JsonNode limits = json.path("policyLimits");
    JsonNode extra = json.path("extra");
    List<String> fields = new ArrayList<>();
    json.path("stats").path("names").forEach(f -> fields.add(reportField(f.asText())));
    return new Settings(seed, json.path("myNumber").asInt(), json.path("balancers").asInt(1),
        json.path("az").asText(""), Math.max(1, micros(json.path("tick"))),
        json.path("discovery").asText().equals("on_request"), classes, plans,
        new Rules(micros(rules.path("graceToAnswer")), micros(rules.path("drainGrace")),
            rules.path("coldFrom").asDouble(1), micros(rules.path("cold")),
            rules.path("fallMultiple").asDouble(), micros(rules.path("fall")),
            micros(rules.path("settleAfterDoubt")), rules.path("furtherRatio").asDouble(),
            rules.path("budgetFree").asDouble(), micros(rules.path("resendSpan")),
            micros(rules.path("askWithin"))),
        new Allowed(limits.path("maxAttempts").asInt(1), limits.path("probes").asBoolean(),
            limits.path("cancel").asBoolean(), limits.path("secondCopies").asBoolean(),
            limits.path("retryAfter").asBoolean(), micros(limits.path("maxRetryAfter")),
            micros(limits.path("dialTimeout"))),
        new Store(extra.path("unitMean").asDouble(1), extra.path("mostUnits").asInt(1),
            extra.path("coldBears").asDouble(), extra.path("fairWorth").asDouble(),
            extra.path("idleWorth").asDouble(), micros(extra.path("meter")),
            extra.path("tellsElsewhere").asBoolean()),
        switch (json.path("stats").path("how").asText()) {
          case "answers" -> ReportSource.ANSWERS;
          case "probe" -> ReportSource.PROBE;
          default -> ReportSource.NONE;
        }, fields);
  }

  private static RequestClass requestClass(JsonNode json, JsonNode write) {
    return new RequestClass(require(json, "name").asText(), switch (json.path("effect").asText()) {
      case "pure" -> Effect.SAFE;
      case "token" -> Effect.KEYED;
      default -> Effect.UNSAFE;
    }, switch (json.path("group").asText()) {
      case "all" -> DedupScope.ALL;
      case "zone" -> DedupScope.ZONE;
      default -> DedupScope.CELL;
    }, micros(json.path("window")), micros(json.path("aim")), micros(json.path("giveUp")),
        json.path("points").asDouble(), json.path("lateValue").asDouble(), json.path("byArrival").asBoolean(),
        write.asBoolean());
  }

  private static Plan plan(JsonNode json) {
    return new Plan(require(json, "name").asText(), json.path("nominal").asDouble(),
        json.path("guaranteed").asDouble(), json.path("proportion").asDouble(1),
        json.path("price").asDouble(1), json.path("cap").asDouble(), json.path("capDepth").asDouble(),
        json.path("limitSlack").asDouble());
  }

  private static String reportField(String name) {
    return switch (name.toLowerCase(Locale.ROOT)) {
      case "outstanding" -> "inflight";
      case "backlog" -> "queue";
      case "utilization" -> "util";
      case "recent_ms" -> "latency_ms";
      default -> name;
    };
  }

  private static JsonNode require(JsonNode object, String field) {
    if (!object.hasNonNull(field)) {
      throw new IllegalArgumentException(field + ": is missing");
    }
    return object.get(field);
  }

  private static long micros(JsonNode value) {
    return Math.round(value.asDouble() * 1e6);
  }
}
