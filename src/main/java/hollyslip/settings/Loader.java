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

/** Loads a {@link Deployment} from a script, or lists every fault: declarations are checked against the JSON
 * Schema first, then for consistency with each other. */
public final class Loader {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final JsonNode SCHEMA = readSchema();

  private Loader() {}

  /** A deployment, or null and the faults in its settings. */
  public record LoadResult(Deployment deployment, List<Fault> faults) {}

  private static JsonNode readSchema() {
    try (InputStream in = Loader.class.getResourceAsStream("/hollyslip/settings.schema.json")) {
      return JSON.readTree(in);
    } catch (IOException e) {
      throw new IllegalStateException("settings.schema.json", e);
    }
  }

  /** Loads the script in a file. Relative paths in it are resolved against the script's directory. */
  public static LoadResult load(Path file) {
    Path dir = file.toAbsolutePath().getParent();
    try {
      return load(Script.run(file), dir);
    } catch (ScriptError e) {
      return new LoadResult(null, List.of(new Fault(null, e.text())));
    }
  }

  static LoadResult load(Script script, Path dir) {
    List<Fault> faults = new ArrayList<>();
    Schema schema = SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12).getSchema(SCHEMA);
    for (Error error : schema.validate(script.declarations())) {
      String pointer = error.getInstanceLocation().toString();
      faults.add(new Fault(script.location(pointer), (pointer.isEmpty() ? "settings" : pointer.substring(1))
          + ": " + error.getMessage()));
    }
    if (faults.isEmpty()) {
      JsonNode declarations = script.declarations().deepCopy();
      if (!declarations.has("volume")) {
        ((ObjectNode) declarations).putArray("volume");
      }
      applyDefaults((ObjectNode) declarations);
      new ConsistencyChecker(script, declarations).check(faults);
      if (faults.isEmpty()) {
        return new LoadResult(buildDeployment(declarations, dir), List.of());
      }
    }
    return new LoadResult(null, Script.sorted(faults));
  }

  /** Fills in the defaults that the schema gives. */
  private static void applyDefaults(ObjectNode declarations) {
    declarations.fields().forEachRemaining(kind -> {
      JsonNode properties = SCHEMA.at("/properties/" + kind.getKey() + "/items/properties");
      for (JsonNode declaration : kind.getValue()) {
        properties.fields().forEachRemaining(property -> {
          if (property.getValue().has("default") && !declaration.has(property.getKey())) {
            ((ObjectNode) declaration).set(property.getKey(), property.getValue().get("default"));
          }
        });
      }
    });
  }

  /** Checks what the schema cannot express: names must be unique or declared, and values must be
   * consistent. */
  private static final class ConsistencyChecker {
    private final Script script;
    private final JsonNode declarations;
    private List<Fault> faults;

    ConsistencyChecker(Script script, JsonNode declarations) {
      this.script = script;
      this.declarations = declarations;
    }

    private void addFault(String kind, int index, String message) {
      faults.add(new Fault(script.location("/" + kind + "/" + index), kind + " " + declarations.at("/" + kind
          + "/" + index
          + "/name").asText() + ": " + message));
    }

    void check(List<Fault> target) {
      faults = target;
      for (String kind : List.of("request_class", "plan", "node", "volume")) {
        checkUniqueNames(kind);
      }
      JsonNode gateway = declarations.at("/gateway/0");
      if (gateway.get("index").asInt() >= gateway.get("hosts").asInt()) {
        addFault("gateway", 0, "index " + gateway.get("index") + " must be below hosts "
            + gateway.get("hosts"));
      }
      if (gateway.get("admin_cert").asText().isEmpty() != gateway.get("admin_key").asText().isEmpty()) {
        addFault("gateway", 0, "admin_cert and admin_key must be given together");
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
        Integer first = seen.putIfAbsent(name, i);
        if (first != null) {
          addFault(kind, i, "the name is already declared at " + script.location("/" + kind + "/" + first));
        }
      }
    }

    private void checkRequestClasses() {
      Set<String> unbounded = new HashSet<>();
      int i = 0;
      for (JsonNode requestClass : declarations.get("request_class")) {
        if (requestClass.get("aim").asLong() > requestClass.get("deadline").asLong()) {
          addFault("request_class", i, "aim " + requestClass.get("aim") + " us is longer than the deadline "
              + requestClass.get("deadline") + " us");
        }
        if (requestClass.get("effect").asText().equals("keyed") && requestClass.get("window").asLong() == 0) {
          addFault("request_class", i, "effect keyed needs a window");
        }
        if (!requestClass.has("most_bytes")) {
          requestClass.get("kinds").forEach(kind -> unbounded.add(kind.asText()));
        }
        i++;
      }
      for (IoKind kind : IoKind.values()) {
        if (!unbounded.contains(schemaName(kind))) {
          faults.add(new Fault(null, "request_class: no class accepts " + schemaName(kind) + " of any size"));
        }
      }
    }

    private void checkPlans() {
      int i = 0;
      for (JsonNode plan : declarations.get("plan")) {
        if (plan.get("limit").asDouble() > 0 && plan.get("limit_burst").asDouble() <= 0) {
          addFault("plan", i, "a limit needs a limit_burst above 0");
        }
        if (plan.get("limit").asDouble() > 0 && plan.get("reserve").asDouble() > plan.get("limit")
            .asDouble()) {
          addFault("plan", i, "reserve " + plan.get("reserve") + " is above the limit " + plan.get("limit"));
        }
        i++;
      }
    }

    private void checkNodes() {
      Map<Integer, String> shards = new HashMap<>();
      Map<Long, String> ids = new HashMap<>();
      int i = 0;
      for (JsonNode node : declarations.get("node")) {
        String name = node.get("name").asText();
        boolean listed = !node.get("state").asText().equals("gone");
        String shardOwner = listed ? shards.putIfAbsent(node.get("shard").asInt(), name) : null;
        if (shardOwner != null) {
          addFault("node", i, "shard " + node.get("shard") + " is assigned to " + shardOwner + " as well");
        }
        String idOwner = ids.putIfAbsent(node.path("id").asLong(i + 1), name);
        if (idOwner != null) {
          addFault("node", i, "id " + node.path("id").asLong(i + 1) + " is used by " + idOwner + " as well");
        }
        i++;
      }
    }

    private void checkVolumes() {
      Set<String> plans = new HashSet<>();
      declarations.get("plan").forEach(plan -> plans.add(plan.get("name").asText()));
      Set<Integer> shards = new HashSet<>();
      declarations.get("node").forEach(node -> shards.add(node.get("shard").asInt()));
      Map<Long, String> ids = new HashMap<>();
      Map<Integer, List<long[]>> rangesByShard = new HashMap<>();
      for (int i = 0; i < declarations.get("volume").size(); i++) {
        JsonNode volume = declarations.get("volume").get(i);
        if (!plans.contains(volume.get("plan").asText())) {
          addFault("volume", i, "plan " + volume.get("plan") + " is not declared");
        }
        String idOwner = ids.putIfAbsent(volume.path("id").asLong(i + 1), volume.get("name").asText());
        if (idOwner != null) {
          addFault("volume", i, "id " + volume.path("id").asLong(i + 1) + " is used by " + idOwner
              + " as well");
        }
        if (volume.get("size").asLong() / volume.get("extent").asLong() > 1 << 20) {
          addFault("volume", i, "more than " + (1 << 20) + " extents");
        }
        long length = bytesPerShard(volume);
        for (JsonNode shard : volume.get("shards")) {
          if (!shards.contains(shard.asInt())) {
            addFault("volume", i, "shard " + shard + " has no node");
          }
          long start = volume.get("at").asLong();
          for (long[] range : rangesByShard.computeIfAbsent(shard.asInt(), k -> new ArrayList<>())) {
            if (start < range[1] && range[0] < start + length) {
              addFault("volume", i, "overlaps on shard " + shard + " with volume "
                  + declarations.at("/volume/" + range[2] + "/name").asText());
            }
          }
          rangesByShard.get(shard.asInt()).add(new long[]{start, start + length, i});
        }
      }
    }
  }

  private static String schemaName(IoKind kind) {
    return kind.name().toLowerCase(Locale.ROOT);
  }

  /** Returns the bytes that a volume occupies on each of its shards. */
  private static long bytesPerShard(JsonNode volume) {
    long extents = (volume.get("size").asLong() + volume.get("extent").asLong() - 1) / volume.get("extent")
        .asLong();
    int shards = volume.get("shards").size();
    return (extents + shards - 1) / shards * volume.get("extent").asLong();
  }

  // Conversion into records.

  private static Deployment buildDeployment(JsonNode declarations, Path dir) {
    JsonNode ruleSettings = declarations.at("/rules/0");
    JsonNode storeSettings = declarations.at("/store/0");
    List<RequestClass> classes = new ArrayList<>();
    List<RequestClassifier.Rule> classificationRules = new ArrayList<>();
    declarations.get("request_class").forEach(declaration -> {
      classes.add(requestClass(declaration));
      classificationRules.add(classificationRule(declaration));
    });
    List<Plan> plans = new ArrayList<>();
    declarations.get("plan")
        .forEach(plan -> plans.add(new Plan(plan.get("name").asText(),
            plan.get("rate").asDouble(), plan.get("reserve").asDouble(), plan.get("weight").asDouble(),
            plan.get("price").asDouble(), plan.get("limit").asDouble(), plan.get("limit_burst").asDouble(),
            plan.get("limit_slack").asDouble())));
    List<Deployment.Node> nodes = new ArrayList<>();
    declarations.get("node")
        .forEach(node -> nodes.add(new Deployment.Node(
            node.path("id").asLong(nodes.size() + 1), node.get("name").asText(),
            node.get("host").asText(), node.get("port").asInt(), node.get("zone").asText(),
            node.get("shard").asInt(),
            NodeState.valueOf(node.get("state").asText().toUpperCase(Locale.ROOT)),
            node.get("capacity").asDouble(), node.get("bytes").asLong())));
    Deployment.GatewayConfig gateway = gatewayConfig(declarations.at("/gateway/0"), dir);
    List<Volume> volumes = new ArrayList<>();
    declarations.get("volume")
        .forEach(volume -> volumes.add(volume(volume, volumes.size() + 1, gateway.hosts())));
    Rules rules = new Rules(ruleSettings.get("answer_slack").asLong(),
        ruleSettings.get("drain_grace").asLong(), ruleSettings.get("cold_from").asDouble(),
        ruleSettings.get("cold").asLong(), ruleSettings.get("fall_multiple").asDouble(),
        ruleSettings.get("fall").asLong(), ruleSettings.get("settle").asLong(),
        ruleSettings.get("budget_share").asDouble(), ruleSettings.get("budget_free").asDouble(),
        ruleSettings.get("budget_window").asLong(), 0);
    Allowed allowed = new Allowed(ruleSettings.get("most_attempts").asInt(),
        ruleSettings.get("probes").asBoolean(), false, ruleSettings.get("second_copies").asBoolean(),
        ruleSettings.get("most_retry_after").asLong() > 0, ruleSettings.get("most_retry_after").asLong(),
        ruleSettings.get("connect_timeout").asLong());
    Store store = new Store(storeSettings.get("mean_units").asDouble(), storeSettings.get("most_units")
        .asInt(),
        storeSettings.get("cold_units").asDouble(), storeSettings.get("share_worth").asDouble(),
        storeSettings.get("spare_worth").asDouble(), 0, false);
    return new Deployment(gateway, classes, classificationRules, plans, rules, allowed, store, nodes,
        volumes);
  }

  private static Deployment.GatewayConfig gatewayConfig(JsonNode gateway, Path dir) {
    return new Deployment.GatewayConfig(gateway.get("name").asText(), gateway.get("index").asInt(),
        gateway.get("hosts").asInt(), gateway.get("zone").asText(),
        dir.resolve(gateway.get("socket_dir").asText()), dir.resolve(gateway.get("state_dir").asText()),
        gateway.get("seed").asLong(), gateway.get("tick").asLong(), gateway.get("unit_bytes").asLong(),
        gateway.get("most_requests").asLong(), gateway.get("most_bytes").asLong(),
        gateway.get("connections").asInt(), gateway.get("per_connection").asInt(),
        gateway.get("io_threads").asInt(), gateway.get("sftp").asBoolean(), hosting(gateway, dir),
        gateway.get("cores").asInt());
  }

  private static Deployment.TenantHosting hosting(JsonNode gateway, Path dir) {
    String cert = gateway.get("admin_cert").asText();
    String key = gateway.get("admin_key").asText();
    return !gateway.get("hosted").asBoolean()
        ? null
        : new Deployment.TenantHosting(gateway.get("admin_port").asInt(), cert.isEmpty()
            ? null
            : dir.resolve(cert),
            key.isEmpty() ? null : dir.resolve(key));
  }

  private static RequestClass requestClass(JsonNode declaration) {
    Set<String> kinds = new HashSet<>();
    declaration.get("kinds").forEach(kind -> kinds.add(kind.asText()));
    boolean write = kinds.contains("write");
    return new RequestClass(declaration.get("name").asText(),
        Effect.valueOf(declaration.get("effect").asText().toUpperCase(Locale.ROOT)),
        DedupScope.valueOf(declaration.get("group").asText().toUpperCase(Locale.ROOT)),
        declaration.get("window").asLong(), declaration.get("aim").asLong(),
        declaration.get("deadline").asLong(), declaration.get("worth").asDouble(),
        declaration.get("late_worth").asDouble(), declaration.get("in_order").asBoolean(), write);
  }

  private static RequestClassifier.Rule classificationRule(JsonNode declaration) {
    Set<IoKind> kinds = new HashSet<>();
    declaration.get("kinds")
        .forEach(kind -> kinds.add(IoKind.valueOf(kind.asText().toUpperCase(Locale.ROOT))));
    return new RequestClassifier.Rule(declaration.get("name").asText(), kinds, declaration.has("most_bytes")
        ? declaration.get("most_bytes").asLong()
        : Long.MAX_VALUE);
  }

  private static Volume volume(JsonNode declaration, int number, int hosts) {
    List<Volume.Extent> extents = new ArrayList<>();
    long extentBytes = declaration.get("extent").asLong();
    int shards = declaration.get("shards").size();
    for (int i = 0; i * extentBytes < declaration.get("size").asLong(); i++) {
      extents.add(new Volume.Extent(declaration.get("shards").get(i % shards).asInt(), declaration.get("at")
          .asLong() + i / shards
              * extentBytes));
    }
    return new Volume(declaration.path("id").asLong(number), declaration.get("name").asText(),
        declaration.get("tenant").asText(), declaration.get("plan").asText(),
        declaration.path("hosts").asInt(hosts), declaration.get("size").asLong(), extentBytes, extents);
  }
}
