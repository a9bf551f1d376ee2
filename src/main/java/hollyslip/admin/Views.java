package hollyslip.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.NumericNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import hollyslip.tenant.Change;
import hollyslip.tenant.HostedVolume;
import hollyslip.tenant.NumberFormatter;
import hollyslip.tenant.Plan;
import hollyslip.tenant.Registry;
import hollyslip.tenant.Tenant;
import hollyslip.tenant.Terms;
import hollyslip.tenant.AuditRecord;
import hollyslip.tenant.Specs;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Converts recorded values to the JSON of the API, and JSON to the part that administrators may change. For
 * a PATCH, the latter is read from the current JSON with the merge patch applied. */
final class Views {
  /** Writes whole numbers without decimal point or exponent (never 1.0E7), even where the code has a
   * double. */
  static final ObjectMapper JSON = new ObjectMapper().setNodeFactory(new JsonNodeFactory() {
    private static final long serialVersionUID = 1;

    @Override
    public NumericNode numberNode(double value) {
      Number number = NumberFormatter.toWholeIfExact(value);
      return number instanceof Long whole ? super.numberNode(whole.longValue()) : super.numberNode(value);
    }
  });
  private static final Set<String> TERM_FIELDS = Set.of("rate", "reserve", "weight", "price", "limit",
      "limit_burst", "limit_slack");

  private Views() {}

  private static ObjectNode node() {
    return JSON.createObjectNode();
  }

  private static String lowerCaseName(Enum<?> e) {
    return e.name().toLowerCase(Locale.ROOT);
  }

  // Plans.

  private static ObjectNode terms(Terms t) {
    return node().put("rate", t.rate())
        .put("reserve", t.reserve())
        .put("weight", t.weight())
        .put("price", t.price())
        .put("limit", t.limit())
        .put("limit_burst", t.limitBurst())
        .put("limit_slack", t.limitSlack());
  }

  static ObjectNode plan(Plan p) {
    ObjectNode node = node().put("name", p.name()).put("revision", p.revision());
    node.setAll(terms(p.terms()));
    return node;
  }

  /** Returns the fields of a plan that administrators may set. */
  static ObjectNode spec(Plan p) {
    return plan(p).without(Set.of("revision"));
  }

  static Specs.PlanSpec plan(JsonNode body) {
    Set<String> known = new java.util.HashSet<>(TERM_FIELDS);
    known.add("name");
    JsonObjectReader fields = new JsonObjectReader(body, "", known);
    return new Specs.PlanSpec(fields.string("name"), new Terms(fields.number("rate", 0.0), fields.number(
        "reserve", 0.0), fields.number("weight", null), fields.number("price", 1.0), fields.number("limit",
            0.0), fields.number("limit_burst", 0.0), fields.number("limit_slack", 0.0)));
  }

  // Tenants.

  static ObjectNode tenant(Registry registry, Tenant t) {
    ObjectNode node = spec(t);
    node.put("revision", t.revision()).put("phase", lowerCaseName(t.phase()));
    node.putObject("used")
        .put("reserve", registry.totalReserve(t.id()))
        .put("bytes", registry.totalBytes(t.id()))
        .put("volumes", registry.volumeNames(t.id()).size());
    return node;
  }

  static ObjectNode spec(Tenant t) {
    ObjectNode node = node().put("name", t.name()).put("weight", t.weight());
    node.putObject("quota")
        .put("reserve", t.quota().reserve())
        .put("bytes", t.quota().bytes())
        .put("volumes", t.quota().volumes());
    ObjectNode members = node.putObject("members");
    t.members().forEach(members::put);
    return node;
  }

  static Specs.TenantSpec tenant(JsonNode body) {
    JsonObjectReader fields = new JsonObjectReader(body, "", Set.of("name", "weight", "quota", "members"));
    JsonObjectReader quota = fields.object("quota", Set.of("reserve", "bytes", "volumes"));
    long volumes = quota.integer("volumes", 1_000L);
    return new Specs.TenantSpec(fields.string("name"), fields.number("weight", 1.0), new Tenant.Quota(quota
        .number("reserve", null), quota.integer("bytes", null), (int) Math.max(-1, Math.min(Integer.MAX_VALUE,
            volumes))), fields.integerMap("members"));
  }

  // Volumes.

  static ObjectNode volume(Registry registry, HostedVolume v) {
    ObjectNode node = spec(v);
    node.put("tenant", registry.tenant(v.tenant()).name())
        .put("revision", v.revision())
        .put("phase", lowerCaseName(v.phase()));
    node.set("terms", terms(registry.terms(v)));
    Map<Integer, Integer> counts = new TreeMap<>();
    v.extents().forEach(e -> counts.merge(e.shard(), 1, Integer::sum));
    ArrayNode shards = node.putArray("shards");
    counts.forEach((shard, extents) -> shards.addObject().put("shard", shard).put("extents", extents));
    return node;
  }

  static ObjectNode spec(HostedVolume v) {
    ObjectNode node = node().put("name", v.name())
        .put("plan", v.plan())
        .put("bytes", v.bytes())
        .put("extent_bytes", v.extentBytes());
    putIfPresent(node, "reserve", v.overrides().reserve());
    putIfPresent(node, "weight", v.overrides().weight());
    putIfPresent(node, "limit", v.overrides().limit());
    putIfPresent(node, "limit_burst", v.overrides().limitBurst());
    return node;
  }

  private static void putIfPresent(ObjectNode node, String field, Double value) {
    if (value != null) {
      node.put(field, value);
    }
  }

  static Specs.VolumeSpec volume(JsonNode body) {
    JsonObjectReader fields = new JsonObjectReader(body, "", Set.of("name", "plan", "bytes", "extent_bytes",
        "reserve", "weight", "limit", "limit_burst"));
    long bytes = fields.integer("bytes", null);
    return new Specs.VolumeSpec(fields.string("name"), fields.string("plan"), new Terms.Overrides(fields
        .number(
            "reserve"), fields.number("weight"), fields.number("limit"), fields.number("limit_burst")), bytes,
        fields.integer("extent_bytes", 4L << 20));
  }

  // Nodes, tasks, tokens and audit records.

  static ObjectNode nodeOf(String name, Provisioner.NodeView v, Change.NodeStatePut recorded) {
    return node().put("name", name)
        .put("id", v.id())
        .put("shard", v.shard())
        .put("zone", v.zone())
        .put("state", lowerCaseName(v.state()))
        .put("revision", recorded == null ? 0 : recorded.revision());
  }

  static ObjectNode task(Registry registry, Change.Task t) {
    ObjectNode node = node().put("id", t.id())
        .put("kind", t.kind())
        .put("target", t.target())
        .put("state", t.doneAt() > 0 ? "done" : "running")
        .put("started_at", t.startedAt());
    if (t.doneAt() > 0) {
      node.put("done_at", t.doneAt());
    } else if (t.kind().equals("remove tenant")) {
      Tenant tenant = registry.tenant(t.target().substring(t.target().lastIndexOf('/') + 1));
      node.put("volumes_left", tenant == null ? 0 : registry.volumeNames(tenant.id()).size());
    }
    return node;
  }

  static ObjectNode token(Registry registry, Change.Token t) {
    ObjectNode node = node().put("id", t.id())
        .put("who", t.who())
        .put("scope", t.tenant() == 0 ? "operator" : "tenant");
    if (t.tenant() != 0) {
      node.put("tenant", registry.tenant(t.tenant()).name());
    }
    return node;
  }

  static ObjectNode auditRecord(AuditRecord t) {
    ObjectNode node = node().put("sequence", t.sequence())
        .put("at", t.at())
        .put("who", t.who())
        .put("what", t.what())
        .put("target", t.target());
    node.set("before", JSON.valueToTree(t.before()));
    node.set("after", JSON.valueToTree(t.after()));
    return node;
  }
}
