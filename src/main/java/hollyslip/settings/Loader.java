package hollyslip.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.networknt.schema.Error;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import hollyslip.HostScheduler.Allowed;
import hollyslip.HostScheduler.Effect;
import hollyslip.HostScheduler.DedupScope;
import hollyslip.HostScheduler.NodeState;
import hollyslip.HostScheduler.Plan;
import hollyslip.HostScheduler.RequestClass;
import hollyslip.HostScheduler.Rules;
import hollyslip.HostScheduler.Store;
import hollyslip.settings.Script.Fault;
import hollyslip.volume.RequestClassifier;
import hollyslip.volume.IoKind;
import hollyslip.volume.Volume;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Makes a {@link Deployment} of a script, or says everything that is wrong with it: first against the JSON
 * Schema, then what names what. */
public final class Loader {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final JsonNode SCHEMA = readSchema();

  private Loader() {}

  /** A deployment, or the faults that keep it from being one. */
  public record Loaded(Deployment deployment, List<Fault> faults) {}

  private static JsonNode readSchema() {
    try (InputStream in = Loader.class.getResourceAsStream("/hollyslip/settings.schema.json")) {
      return JSON.readTree(in);
    } catch (IOException e) {
      throw new IllegalStateException("settings.schema.json", e);
    }
  }

  /** Loads the script in a file. Relative folders in it are meant from the script's own. */
  public static Loaded load(Path file) {
    Path dir = file.toAbsolutePath().getParent();
    try {
      return load(Script.run(file), dir);
    } catch (ScriptError e) {
      return new Loaded(null, List.of(new Fault(null, e.text())));
    }
  }

  static Loaded load(Script script, Path dir) {
    List<Fault> faults = new ArrayList<>();
    Schema schema = SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12).getSchema(SCHEMA);
    for (Error e : schema.validate(script.declared())) {
      String at = e.getInstanceLocation().toString();
      faults.add(new Fault(script.location(at), (at.isEmpty() ? "settings" : at.substring(1)) + ": " + e
          .getMessage()));
    }
    if (faults.isEmpty()) {
      JsonNode full = script.declared().deepCopy();
      if (!full.has("volume")) {
        ((ObjectNode) full).putArray("volume");
      }
      applyDefaults((ObjectNode) full);
      new ConsistencyChecker(script, full).check(faults);
      if (faults.isEmpty()) {
        return new Loaded(buildDeployment(full, dir), List.of());
      }
    }
    return new Loaded(null, Script.sorted(faults));
  }

  /** Fills in what the schema says stands where nothing is given. */
  private static void applyDefaults(ObjectNode declared) {
    declared.fields().forEachRemaining(kind -> {
      JsonNode properties = SCHEMA.at("/properties/" + kind.getKey() + "/items/properties");
      for (JsonNode one : kind.getValue()) {
        properties.fields().forEachRemaining(p -> {
          if (p.getValue().has("default") && !one.has(p.getKey())) {
            ((ObjectNode) one).set(p.getKey(), p.getValue().get("default"));
          }
        });
      }
    });
  }

  /** What the schema cannot say: names that must differ or exist, figures that must fit each other. */
  private static final class ConsistencyChecker {
    private final Script script;
    private final JsonNode declarations;
    private List<Fault> faults;

    ConsistencyChecker(Script script, JsonNode all) {
      this.script = script;
      this.declarations = all;
    }

    private void addFault(String kind, int i, String what) {
      faults.add(new Fault(script.location("/" + kind + "/" + i), kind + " " + declarations.at("/" + kind
          + "/" + i
          + "/name").asText() + ": " + what));
    }

    void check(List<Fault> to) {
      faults = to;
      for (String kind : List.of("request_class", "plan", "node", "volume")) {
        checkUniqueNames(kind);
      }
      JsonNode gateway = declarations.at("/gateway/0");
      if (gateway.get("index").asInt() >= gateway.get("hosts").asInt()) {
        addFault("gateway", 0, "index " + gateway.get("index") + " is not below hosts " + gateway.get(
            "hosts"));
      }
      if (gateway.get("admin_cert").asText().isEmpty() != gateway.get("admin_key").asText().isEmpty()) {
        addFault("gateway", 0, "admin_cert and admin_key must stand together");
      }
      if (declarations.get("volume").isEmpty() && !gateway.get("hosted").asBoolean()) {
        faults.add(new Fault(null, "volume: none is declared, and no tenants are hosted"));
      }
      checkRequestClasses();
      checkPlans();
      checkNodes();
      checkVolumes();
    }

    private void checkUniqueNames(String kind) {
      Map<String, Integer> seen = new HashMap<>();
      for (int i = 0; i < declarations.get(kind).size(); i++) {
        String name = declarations.get(kind).get(i).get("name").asText();
        Integer before = seen.putIfAbsent(name, i);
        if (before != null) {
          addFault(kind, i, "the name is taken at " + script.location("/" + kind + "/" + before));
        }
      }
    }

    private void checkRequestClasses() {
      Set<String> served = new HashSet<>();
      int i = 0;
      for (JsonNode c : declarations.get("request_class")) {
        if (c.get("aim").asLong() > c.get("deadline").asLong()) {
          addFault("request_class", i, "aim " + c.get("aim") + " us is after the deadline " + c.get(
              "deadline")
              + " us");
        }
        if (c.get("effect").asText().equals("keyed") && c.get("window").asLong() == 0) {
          addFault("request_class", i, "effect keyed needs a window");
        }
        if (!c.has("most_bytes")) {
          c.get("kinds").forEach(k -> served.add(k.asText()));
        }
        i++;
      }
      for (IoKind k : IoKind.values()) {
        if (!served.contains(schemaName(k))) {
          faults.add(new Fault(null, "request_class: none takes " + schemaName(k) + " of any size"));
        }
      }
    }

    private void checkPlans() {
      int i = 0;
      for (JsonNode p : declarations.get("plan")) {
        if (p.get("limit").asDouble() > 0 && p.get("limit_burst").asDouble() <= 0) {
          addFault("plan", i, "a limit needs a limit_burst above 0");
        }
        if (p.get("limit").asDouble() > 0 && p.get("reserve").asDouble() > p.get("limit").asDouble()) {
          addFault("plan", i, "reserve " + p.get("reserve") + " is above the limit " + p.get("limit"));
        }
        i++;
      }
    }

    private void checkNodes() {
      Map<Integer, String> shards = new HashMap<>();
      Map<Long, String> ids = new HashMap<>();
      int i = 0;
      for (JsonNode n : declarations.get("node")) {
        String name = n.get("name").asText();
        boolean on = !n.get("state").asText().equals("gone");
        String other = on ? shards.putIfAbsent(n.get("shard").asInt(), name) : null;
        if (other != null) {
          addFault("node", i, "shard " + n.get("shard") + " is held by " + other + " too");
        }
        String same = ids.putIfAbsent(n.path("id").asLong(i + 1), name);
        if (same != null) {
          addFault("node", i, "id " + n.path("id").asLong(i + 1) + " is that of " + same + " too");
        }
        i++;
      }
    }

    private void checkVolumes() {
      Set<String> plans = new HashSet<>();
      declarations.get("plan").forEach(p -> plans.add(p.get("name").asText()));
      Set<Integer> shards = new HashSet<>();
      declarations.get("node").forEach(n -> shards.add(n.get("shard").asInt()));
      Map<Long, String> ids = new HashMap<>();
      Map<Integer, List<long[]>> taken = new HashMap<>();
      for (int i = 0; i < declarations.get("volume").size(); i++) {
        JsonNode v = declarations.get("volume").get(i);
        if (!plans.contains(v.get("plan").asText())) {
          addFault("volume", i, "plan " + v.get("plan") + " is not declared");
        }
        String same = ids.putIfAbsent(v.path("id").asLong(i + 1), v.get("name").asText());
        if (same != null) {
          addFault("volume", i, "id " + v.path("id").asLong(i + 1) + " is that of " + same + " too");
        }
        if (v.get("size").asLong() / v.get("extent").asLong() > 1 << 20) {
          addFault("volume", i, "more than " + (1 << 20) + " extents");
        }
        long each = bytesPerShard(v);
        for (JsonNode s : v.get("shards")) {
          if (!shards.contains(s.asInt())) {
            addFault("volume", i, "shard " + s + " is on no node");
          }
          long from = v.get("at").asLong();
          for (long[] t : taken.computeIfAbsent(s.asInt(), k -> new ArrayList<>())) {
            if (from < t[1] && t[0] < from + each) {
              addFault("volume", i, "shares bytes of shard " + s + " with volume " + declarations.at(
                  "/volume/" + t[2]
                      + "/name").asText());
            }
          }
          taken.get(s.asInt()).add(new long[]{from, from + each, i});
        }
      }
    }
  }

  private static String schemaName(IoKind k) {
    return k.name().toLowerCase(Locale.ROOT);
  }

  /** Bytes that a volume takes of each of its shards. */
  private static long bytesPerShard(JsonNode v) {
    long extents = (v.get("size").asLong() + v.get("extent").asLong() - 1) / v.get("extent").asLong();
    int shards = v.get("shards").size();
    return (extents + shards - 1) / shards * v.get("extent").asLong();
  }

  // Into records.

  private static Deployment buildDeployment(JsonNode all, Path dir) {
    JsonNode r = all.at("/rules/0");
    JsonNode s = all.at("/store/0");
    List<RequestClass> classes = new ArrayList<>();
    List<RequestClassifier.Rule> rows = new ArrayList<>();
    all.get("request_class").forEach(c -> {
      classes.add(requestClass(c));
      rows.add(classificationRule(c));
    });
    List<Plan> plans = new ArrayList<>();
    all.get("plan")
        .forEach(p -> plans.add(new Plan(p.get("name").asText(), p.get("rate").asDouble(), p.get("reserve")
            .asDouble(), p.get("weight").asDouble(), p.get("price").asDouble(), p.get("limit").asDouble(), p
                .get("limit_burst")
                .asDouble(), p.get("limit_slack").asDouble())));
    List<Deployment.Node> nodes = new ArrayList<>();
    all.get("node")
        .forEach(n -> nodes.add(new Deployment.Node(n.path("id").asLong(nodes.size() + 1), n.get("name")
            .asText(), n.get("host").asText(), n.get("port").asInt(), n.get("zone").asText(), n.get("shard")
                .asInt(), NodeState.valueOf(n.get("state").asText().toUpperCase(Locale.ROOT)), n.get(
                    "capacity").asDouble(), n.get("bytes").asLong())));
    Deployment.Process gateway = gatewayConfig(all.at("/gateway/0"), dir);
    List<Volume> volumes = new ArrayList<>();
    all.get("volume").forEach(v -> volumes.add(volume(v, volumes.size() + 1, gateway.hosts())));
    Rules rules = new Rules(r.get("answer_slack").asLong(), r.get("drain_grace").asLong(), r.get("cold_from")
        .asDouble(), r.get("cold").asLong(), r.get("fall_multiple").asDouble(), r.get("fall").asLong(), r.get(
            "settle").asLong(), r.get("budget_share").asDouble(), r.get("budget_free").asDouble(), r.get(
                "budget_window").asLong(), 0);
    Allowed allowed = new Allowed(r.get("most_attempts").asInt(), r.get("probes").asBoolean(), false, r.get(
        "second_copies").asBoolean(), r.get("most_retry_after").asLong() > 0, r.get("most_retry_after")
            .asLong(), r.get("connect_timeout").asLong());
    Store store = new Store(s.get("mean_units").asDouble(), s.get("most_units").asInt(), s.get("cold_units")
        .asDouble(), s.get("share_worth").asDouble(), s.get("spare_worth").asDouble(), 0, false);
    return new Deployment(gateway, classes, rows, plans, rules, allowed, store, nodes, volumes);
  }

  private static Deployment.Process gatewayConfig(JsonNode g, Path dir) {
    return new Deployment.Process(g.get("name").asText(), g.get("index").asInt(), g.get("hosts").asInt(), g
        .get("zone")
        .asText(), dir.resolve(g.get("socket_dir").asText()), dir.resolve(g.get("state_dir").asText()), g.get(
            "seed").asLong(), g.get("tick").asLong(), g.get("unit_bytes").asLong(), g.get("most_requests")
                .asLong(), g.get("most_bytes").asLong(), g.get("connections").asInt(), g.get("per_connection")
                    .asInt(), g.get("io_threads").asInt(), g.get("sftp").asBoolean(), hosting(g, dir), g.get(
                        "cores").asInt());
  }

  private static Deployment.Hosting hosting(JsonNode g, Path dir) {
    String cert = g.get("admin_cert").asText();
    String key = g.get("admin_key").asText();
    return !g.get("hosted").asBoolean()
        ? null
        : new Deployment.Hosting(g.get("admin_port").asInt(), cert.isEmpty() ? null : dir.resolve(cert), key
            .isEmpty() ? null : dir.resolve(key));
  }

  private static RequestClass requestClass(JsonNode c) {
    Set<String> kinds = new HashSet<>();
    c.get("kinds").forEach(k -> kinds.add(k.asText()));
    boolean write = kinds.contains("write");
    return new RequestClass(c.get("name").asText(), Effect.valueOf(c.get("effect")
        .asText()
        .toUpperCase(Locale.ROOT)), DedupScope.valueOf(c.get("group").asText().toUpperCase(Locale.ROOT)), c
            .get(
                "window")
            .asLong(), c.get("aim").asLong(), c.get("deadline").asLong(), c.get("worth")
                .asDouble(),
        c.get("late_worth").asDouble(), c.get("in_order").asBoolean(), write);
  }

  private static RequestClassifier.Rule classificationRule(JsonNode c) {
    Set<IoKind> kinds = new HashSet<>();
    c.get("kinds").forEach(k -> kinds.add(IoKind.valueOf(k.asText().toUpperCase(Locale.ROOT))));
    return new RequestClassifier.Rule(c.get("name").asText(), kinds, c.has("most_bytes")
        ? c.get("most_bytes").asLong()
        : Long.MAX_VALUE);
  }

  private static Volume volume(JsonNode v, int number, int hosts) {
    List<Volume.Extent> extents = new ArrayList<>();
    long extent = v.get("extent").asLong();
    int shards = v.get("shards").size();
    for (int i = 0; i * extent < v.get("size").asLong(); i++) {
      extents.add(new Volume.Extent(v.get("shards").get(i % shards).asInt(), v.get("at").asLong() + i / shards
          * extent));
    }
    return new Volume(v.path("id").asLong(number), v.get("name").asText(), v.get("tenant").asText(), v.get(
        "plan").asText(), v.path("hosts").asInt(hosts), v.get("size").asLong(), extent, extents);
  }
}
