package hollyslip.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** The routes, once: the router is built from this list, and so is the OpenAPI 3.1 description. */
final class OpenApi {
  /** One route.
   *
   * @param method
   *          GET, POST, PATCH or DELETE
   * @param path
   *          with parameters in braces
   * @param summary
   *          it does
   * @param operatorsOnly
   *          whether only operators find it
   * @param requestSchema
   *          name of the schema of the body; null: none
   * @param responseSchema
   *          name of the schema of the answer; null: none
   * @param statusCodes
   *          answers, besides 401, 404 and 500
   * @param requiresIfMatch
   *          whether If-Match must be given
   * @param handler
   *          what answers it */
  record Route(String method, String path, String summary, boolean operatorsOnly, String requestSchema,
      String responseSchema, List<Integer> statusCodes, boolean requiresIfMatch, Handler handler) {}

  /** Answers a call, with the path's parameters in order. */
  interface Handler {
    java.util.concurrent.CompletableFuture<Api.Response> handle(Api.Request call, List<String> parameters);
  }

  private static final List<Integer> READ_CODES = List.of(200), CREATE_CODES = List.of(201, 400, 409, 413,
      422);
  private static final List<Integer> PATCH_CODES = List.of(200, 400, 403, 409, 412, 413, 428);
  private static final List<Integer> REMOVE_CODES = List.of(202, 403, 409, 412, 428);
  private static final List<Integer> DELETE_CODES = List.of(204, 409, 412, 428);

  private OpenApi() {}

  private static Route list(String path, String what, boolean operators, String gives, Handler h) {
    return new Route("GET", path, what, operators, null, gives, List.of(200, 400), false, h);
  }

  private static Route read(String path, String what, boolean operators, String gives, Handler h) {
    return new Route("GET", path, what, operators, null, gives, READ_CODES, false, h);
  }

  private static Route create(String path, String what, boolean operators, String schema, Handler h) {
    return new Route("POST", path, what, operators, schema, schema, CREATE_CODES, false, h);
  }

  private static Route patch(String path, String what, boolean operators, String schema, Handler h) {
    return new Route("PATCH", path, what, operators, schema, schema, PATCH_CODES, true, h);
  }

  private static Route delete(String path, String what, boolean operators, Handler h) {
    return new Route("DELETE", path, what, operators, null, "Task", REMOVE_CODES, true, h);
  }

  static List<Route> routes(Api a) {
    return List.of(list("/v1/plans", "Lists plans", true, "Plan", (c, p) -> a.plans(c)), create("/v1/plans",
        "Creates a plan", true, "Plan", (c, p) -> a.createPlan(c)), read("/v1/plans/{plan}", "Shows a plan",
            true, "Plan", (c, p) -> a.plan(c, p.get(0))), patch("/v1/plans/{plan}",
                "Changes a plan, and all volumes on it", true, "Plan", (c, p) -> a.changePlan(c, p.get(0))),
        new Route("DELETE", "/v1/plans/{plan}", "Removes a plan that no volume is on", true, null, null,
            DELETE_CODES, true, (c, p) -> a.removePlan(c, p.get(0))), list("/v1/tenants", "Lists tenants",
                true, "Tenant", (c, p) -> a.tenants(c)), create("/v1/tenants", "Creates a tenant", true,
                    "Tenant", (c, p) -> a.createTenant(c)), read("/v1/tenants/{tenant}", "Shows a tenant",
                        false, "Tenant", (c, p) -> a.tenant(c, p.get(0))), patch("/v1/tenants/{tenant}",
                            "Changes a tenant: its own administrator the members, operators all", false,
                            "Tenant", (c, p) -> a.changeTenant(c, p.get(0))), delete("/v1/tenants/{tenant}",
                                "Begins to remove a tenant with its volumes", false, (c, p) -> a.removeTenant(
                                    c, p.get(0))), list("/v1/tenants/{tenant}/volumes",
                                        "Lists a tenant's volumes", false, "Volume", (c, p) -> a.volumes(c, p
                                            .get(0))), create("/v1/tenants/{tenant}/volumes",
                                                "Creates a volume", false, "Volume", (c, p) -> a.createVolume(
                                                    c, p.get(0))), read(
                                                        "/v1/tenants/{tenant}/volumes/{volume}",
                                                        "Shows a volume", false, "Volume", (c, p) -> a.volume(
                                                            c, p.get(0), p.get(1))), patch(
                                                                "/v1/tenants/{tenant}/volumes/{volume}",
                                                                "Changes plan, reserve, weight, limit or size",
                                                                false, "Volume", (c, p) -> a.changeVolume(c, p
                                                                    .get(0), p.get(1))), delete(
                                                                        "/v1/tenants/{tenant}/volumes/{volume}",
                                                                        "Begins to remove a volume", false, (
                                                                            c, p) -> a.removeVolume(c, p.get(
                                                                                0), p.get(1))), list(
                                                                                    "/v1/nodes",
                                                                                    "Lists storage nodes",
                                                                                    true, "Node", (c, p) -> a
                                                                                        .nodes(c)), read(
                                                                                            "/v1/nodes/{node}",
                                                                                            "Shows a storage node",
                                                                                            true, "Node", (c,
                                                                                                p) -> a.node(
                                                                                                    c, p.get(
                                                                                                        0))),
        patch("/v1/nodes/{node}", "Drains a storage node, or serves it again", true, "Node", (c, p) -> a
            .changeNode(c, p.get(0))), list("/v1/tasks", "Lists what takes time", true, "Task", (c, p) -> a
                .tasks(c)), read("/v1/tasks/{task}", "Shows how far a task is", false, "Task", (c, p) -> a
                    .task(c, p.get(0))), list("/v1/tokens", "Lists tokens, without their secrets", true,
                        "Token", (c, p) -> a.tokens(c)), create("/v1/tokens",
                            "Creates a token; its secret is in this answer only", true, "Token", (c, p) -> a
                                .createToken(c)), new Route("DELETE", "/v1/tokens/{token}",
                                    "Takes a token back", true, null, null, List.of(204), false, (c, p) -> a
                                        .removeToken(c, p.get(0))), list("/v1/audit",
                                            "Lists changes: who, what, before, after", false, "Trail", (c,
                                                p) -> a.audit(c)));
  }

  /** The description. */
  static JsonNode description(List<Route> routes) {
    ObjectNode d = Views.JSON.createObjectNode().put("openapi", "3.1.0");
    d.putObject("info").put("title", "hollyslip administration").put("version", "1");
    ObjectNode paths = d.putObject("paths");
    for (Route r : routes) {
      ObjectNode path = paths.withObjectProperty(r.path);
      ObjectNode o = path.putObject(r.method.toLowerCase(java.util.Locale.ROOT)).put("summary", r.summary);
      addParameters(r, o.putArray("parameters"));
      if (r.requestSchema != null) {
        String type = r.method.equals("PATCH") ? "application/merge-patch+json" : "application/json";
        o.putObject("requestBody")
            .put("required", true)
            .putObject("content")
            .putObject(type)
            .putObject("schema")
            .put("$ref", "#/components/schemas/" + r.requestSchema);
      }
      ObjectNode answers = o.putObject("responses");
      r.statusCodes.forEach(code -> addResponse(answers, code, r));
      List.of(401, 404, 503).forEach(code -> addResponse(answers, code, r));
      o.putArray("security").addObject().putArray("token");
    }
    addEventsPath(paths);
    ObjectNode components = d.putObject("components");
    components.putObject("securitySchemes").putObject("token").put("type", "http").put("scheme", "bearer");
    addSchemas(components.putObject("schemas"));
    return d;
  }

  private static void addParameters(Route r, ArrayNode to) {
    var m = java.util.regex.Pattern.compile("\\{(\\w+)}").matcher(r.path);
    while (m.find()) {
      addParameter(to, m.group(1), "path", true);
    }
    if (r.requiresIfMatch) {
      addParameter(to, "If-Match", "header", true);
    }
    if (r.method.equals("POST")) {
      addParameter(to, "Idempotency-Key", "header", false);
    }
    if (r.statusCodes.contains(200) && r.statusCodes.contains(400) && r.method.equals("GET")) {
      addParameter(to, "after", "query", false);
      addParameter(to, "limit", "query", false);
    }
  }

  private static void addParameter(ArrayNode to, String name, String in, boolean required) {
    to.addObject()
        .put("name", name)
        .put("in", in)
        .put("required", required)
        .putObject("schema")
        .put("type", "string");
  }

  private static void addResponse(ObjectNode to, int code, Route r) {
    ObjectNode a = to.putObject(Integer.toString(code)).put("description", ProblemDetails.title(code));
    if (code >= 400) {
      a.putObject("content")
          .putObject("application/problem+json")
          .putObject("schema")
          .put("$ref", "#/components/schemas/Problem");
    } else if (r.responseSchema != null) {
      a.putObject("content")
          .putObject("application/json")
          .putObject("schema")
          .put("$ref", "#/components/schemas/" + r.responseSchema);
    }
  }

  private static void addEventsPath(ObjectNode paths) {
    ObjectNode o = paths.putObject("/v1/events")
        .putObject("get")
        .put("summary", "Streams the audit trail as it grows, as server-sent events");
    o.putObject("responses")
        .putObject("200")
        .put("description", "OK")
        .putObject("content")
        .putObject("text/event-stream")
        .putObject("schema")
        .put("type", "string");
    o.putArray("security").addObject().putArray("token");
  }

  private static void addSchemas(ObjectNode s) {
    addSchema(s, "Plan", "name:string", "revision:integer", "rate:number", "reserve:number", "weight:number",
        "price:number", "limit:number", "limit_burst:number", "limit_slack:number");
    addSchema(s, "Tenant", "name:string", "revision:integer", "phase:string", "weight:number", "quota:object",
        "members:object", "used:object");
    addSchema(s, "Volume", "name:string", "tenant:string", "revision:integer", "phase:string", "plan:string",
        "bytes:integer", "extent_bytes:integer", "reserve:number", "weight:number", "limit:number",
        "limit_burst:number", "terms:object", "shards:array");
    addSchema(s, "Node", "name:string", "id:integer", "shard:integer", "zone:string", "state:string",
        "revision:integer");
    addSchema(s, "Task", "id:integer", "kind:string", "target:string", "state:string", "started_at:integer",
        "done_at:integer", "volumes_left:integer");
    addSchema(s, "Token", "id:string", "who:string", "scope:string", "tenant:string", "token:string");
    addSchema(s, "Trail", "sequence:integer", "at:integer", "who:string", "what:string", "target:string",
        "before:object", "after:object");
    addSchema(s, "Problem", "type:string", "title:string", "status:integer", "detail:string", "field:string",
        "figures:object");
  }

  private static void addSchema(ObjectNode schemas, String name, String... fields) {
    ObjectNode p = schemas.putObject(name).put("type", "object").putObject("properties");
    for (String f : fields) {
      p.putObject(f.substring(0, f.indexOf(':'))).put("type", f.substring(f.indexOf(':') + 1));
    }
  }
}
