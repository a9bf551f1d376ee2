package hollyslip.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.NumericNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import hollyslip.tenant.Change;
import hollyslip.tenant.HostedVolume;
import hollyslip.tenant.Plain;
import hollyslip.tenant.Plan;
import hollyslip.tenant.Registry;
import hollyslip.tenant.Tenant;
import hollyslip.tenant.Terms;
import hollyslip.tenant.AuditRecord;
import hollyslip.tenant.Wish;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The API's JSON forms of what is recorded, and back: of each the part that administrators may change is
 * read back from a form with a patch laid over it. */
final class Views {
  /** Whole figures are written as such, also where the code has a double: never 1.0E7. */
  static final ObjectMapper JSON = new ObjectMapper().setNodeFactory(new JsonNodeFactory() {
    private static final long serialVersionUID = 1;

    @Override
    public NumericNode numberNode(double figure) {
      Number plain = Plain.toWholeIfExact(figure);
      return plain instanceof Long whole ? super.numberNode(whole.longValue()) : super.numberNode(figure);
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
    ObjectNode n = node().put("name", p.name()).put("revision", p.revision());
    n.setAll(terms(p.terms()));
    return n;
  }

  /** What of a plan can be wished for. */
  static ObjectNode spec(Plan p) {
    return plan(p).without(Set.of("revision"));
  }

  static Wish.ForPlan plan(JsonNode body) {
    Set<String> known = new java.util.HashSet<>(TERM_FIELDS);
    known.add("name");
    JsonObjectReader f = new JsonObjectReader(body, "", known);
    return new Wish.ForPlan(f.string("name"), new Terms(f.number("rate", 0.0), f.number("reserve", 0.0), f
        .number("weight", null), f.number("price", 1.0), f.number("limit", 0.0), f.number("limit_burst", 0.0),
        f.number("limit_slack", 0.0)));
  }

  // Tenants.

  static ObjectNode tenant(Registry r, Tenant t) {
    ObjectNode n = spec(t);
    n.put("revision", t.revision()).put("phase", lowerCaseName(t.phase()));
    n.putObject("used")
        .put("reserve", r.totalReserve(t.id()))
        .put("bytes", r.totalBytes(t.id()))
        .put("volumes", r.volumeNames(t.id()).size());
    return n;
  }

  static ObjectNode spec(Tenant t) {
    ObjectNode n = node().put("name", t.name()).put("weight", t.weight());
    n.putObject("quota")
        .put("reserve", t.quota().reserve())
        .put("bytes", t.quota().bytes())
        .put("volumes", t.quota().volumes());
    ObjectNode members = n.putObject("members");
    t.members().forEach(members::put);
    return n;
  }

  static Wish.ForTenant tenant(JsonNode body) {
    JsonObjectReader f = new JsonObjectReader(body, "", Set.of("name", "weight", "quota", "members"));
    JsonObjectReader q = f.object("quota", Set.of("reserve", "bytes", "volumes"));
    long volumes = q.integer("volumes", 1_000L);
    return new Wish.ForTenant(f.string("name"), f.number("weight", 1.0), new Tenant.Quota(q.number("reserve",
        null), q.integer("bytes", null), (int) Math.max(-1, Math.min(Integer.MAX_VALUE, volumes))), f
            .integerMap("members"));
  }

  // Volumes.

  static ObjectNode volume(Registry r, HostedVolume v) {
    ObjectNode n = spec(v);
    n.put("tenant", r.tenant(v.tenant()).name())
        .put("revision", v.revision())
        .put("phase", lowerCaseName(v.phase()));
    n.set("terms", terms(r.terms(v)));
    Map<Integer, Integer> counts = new TreeMap<>();
    v.extents().forEach(e -> counts.merge(e.shard(), 1, Integer::sum));
    ArrayNode shards = n.putArray("shards");
    counts.forEach((shard, extents) -> shards.addObject().put("shard", shard).put("extents", extents));
    return n;
  }

  static ObjectNode spec(HostedVolume v) {
    ObjectNode n = node().put("name", v.name())
        .put("plan", v.plan())
        .put("bytes", v.bytes())
        .put("extent_bytes", v.extentBytes());
    putIfPresent(n, "reserve", v.overrides().reserve());
    putIfPresent(n, "weight", v.overrides().weight());
    putIfPresent(n, "limit", v.overrides().limit());
    putIfPresent(n, "limit_burst", v.overrides().limitBurst());
    return n;
  }

  private static void putIfPresent(ObjectNode n, String field, Double value) {
    if (value != null) {
      n.put(field, value);
    }
  }

  static Wish.ForVolume volume(JsonNode body) {
    JsonObjectReader f = new JsonObjectReader(body, "", Set.of("name", "plan", "bytes", "extent_bytes",
        "reserve", "weight", "limit", "limit_burst"));
    long bytes = f.integer("bytes", null);
    return new Wish.ForVolume(f.string("name"), f.string("plan"), new Terms.Overrides(f.number("reserve"), f
        .number("weight"), f.number("limit"), f.number("limit_burst")), bytes, f.integer("extent_bytes",
            4L << 20));
  }

  // The rest.

  static ObjectNode nodeOf(String name, Carrier.NodeView v, Change.NodeStatePut said) {
    return node().put("name", name)
        .put("id", v.id())
        .put("shard", v.shard())
        .put("zone", v.zone())
        .put("state", lowerCaseName(v.state()))
        .put("revision", said == null ? 0 : said.revision());
  }

  static ObjectNode task(Registry r, Change.Task t) {
    ObjectNode n = node().put("id", t.id())
        .put("kind", t.kind())
        .put("target", t.target())
        .put("state", t.doneAt() > 0 ? "done" : "running")
        .put("started_at", t.startedAt());
    if (t.doneAt() > 0) {
      n.put("done_at", t.doneAt());
    } else if (t.kind().equals("remove tenant")) {
      Tenant tenant = r.tenant(t.target().substring(t.target().lastIndexOf('/') + 1));
      n.put("volumes_left", tenant == null ? 0 : r.volumeNames(tenant.id()).size());
    }
    return n;
  }

  static ObjectNode token(Registry r, Change.Token t) {
    ObjectNode n = node().put("id", t.id())
        .put("who", t.who())
        .put("scope", t.tenant() == 0 ? "operator" : "tenant");
    if (t.tenant() != 0) {
      n.put("tenant", r.tenant(t.tenant()).name());
    }
    return n;
  }

  static ObjectNode auditRecord(AuditRecord t) {
    ObjectNode n = node().put("sequence", t.sequence())
        .put("at", t.at())
        .put("who", t.who())
        .put("what", t.what())
        .put("target", t.target());
    n.set("before", JSON.valueToTree(t.before()));
    n.set("after", JSON.valueToTree(t.after()));
    return n;
  }
}
