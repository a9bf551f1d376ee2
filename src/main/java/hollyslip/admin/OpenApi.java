package hollyslip.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** Defines the routes; both the router and the OpenAPI 3.1 description are built from this list. */
final class OpenApi {
  /** One route.
   *
   * @param method
   *          GET, POST, PATCH or DELETE
   * @param path
   *          path with parameters in braces
   * @param summary
   *          what the route does
   * @param operatorsOnly
   *          whether the route exists for operators only
   * @param requestSchema
   *          name of the request body's schema; null: no body
   * @param responseSchema
   *          name of the response body's schema; null: no body
   * @param statusCodes
   *          status codes besides 401, 404 and 503, which every route has
   * @param requiresIfMatch
   *          whether the If-Match header is required
   * @param handler
   *          handler of the route */
  record Route(String method, String path, String summary, boolean operatorsOnly, String requestSchema,
      String responseSchema, List<Integer> statusCodes, boolean requiresIfMatch, Handler handler) {}

  /** Handles a request; {@code parameters} are the path parameters in order. */
  interface Handler {
    java.util.concurrent.CompletableFuture<Api.Response> handle(Api.Request request, List<String> parameters);
  }

  private static final List<Integer> READ_CODES = List.of(200), CREATE_CODES = List.of(201, 400, 409, 413,
      422);
  private static final List<Integer> PATCH_CODES = List.of(200, 400, 403, 409, 412, 413, 428);
  private static final List<Integer> ASYNC_DELETE_CODES = List.of(202, 403, 409, 412, 428);
  private static final List<Integer> DELETE_CODES = List.of(204, 409, 412, 428);

  private OpenApi() {}

  private static Route list(String path, String summary, boolean operatorsOnly, String responseSchema,
      Handler handler) {
    return new Route("GET", path, summary, operatorsOnly, null, responseSchema, List.of(200, 400), false,
        handler);
  }

  private static Route read(String path, String summary, boolean operatorsOnly, String responseSchema,
      Handler handler) {
    return new Route("GET", path, summary, operatorsOnly, null, responseSchema, READ_CODES, false, handler);
  }

  private static Route create(String path, String summary, boolean operatorsOnly, String schema,
      Handler handler) {
    return new Route("POST", path, summary, operatorsOnly, schema, schema, CREATE_CODES, false, handler);
  }

  private static Route patch(String path, String summary, boolean operatorsOnly, String schema,
      Handler handler) {
    return new Route("PATCH", path, summary, operatorsOnly, schema, schema, PATCH_CODES, true, handler);
  }

  private static Route delete(String path, String summary, boolean operatorsOnly, Handler handler) {
    return new Route("DELETE", path, summary, operatorsOnly, null, "Task", ASYNC_DELETE_CODES, true, handler);
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

  /** Builds the OpenAPI description. */
  static JsonNode description(List<Route> routes) {
    ObjectNode document = Views.JSON.createObjectNode().put("openapi", "3.1.0");
    document.putObject("info").put("title", "hollyslip administration").put("version", "1");
    ObjectNode paths = document.putObject("paths");
    for (Route route : routes) {
      ObjectNode path = paths.withObjectProperty(route.path);
      ObjectNode o = path.putObject(route.method.toLowerCase(java.util.Locale.ROOT))
          .put("summary", route.summary);
      addParameters(route, o.putArray("parameters"));
      if (route.requestSchema != null) {
        String type = route.method.equals("PATCH") ? "application/merge-patch+json" : "application/json";
        o.putObject("requestBody")
            .put("required", true)
            .putObject("content")
            .putObject(type)
            .putObject("schema")
            .put("$ref", "#/components/schemas/" + route.requestSchema);
      }
      ObjectNode responses = o.putObject("responses");
      route.statusCodes.forEach(code -> addResponse(responses, code, route));
      List.of(401, 404, 503).forEach(code -> addResponse(responses, code, route));
      o.putArray("security").addObject().putArray("token");
    }
    addEventsPath(paths);
    ObjectNode components = document.putObject("components");
    components.putObject("securitySchemes").putObject("token").put("type", "http").put("scheme", "bearer");
    addSchemas(components.putObject("schemas"));
    return document;
  }

  private static void addParameters(Route route, ArrayNode to) {
    var matcher = java.util.regex.Pattern.compile("\\{(\\w+)}").matcher(route.path);
    while (matcher.find()) {
      addParameter(to, matcher.group(1), "path", true);
    }
    if (route.requiresIfMatch) {
      addParameter(to, "If-Match", "header", true);
    }
    if (route.method.equals("POST")) {
      addParameter(to, "Idempotency-Key", "header", false);
    }
    if (route.statusCodes.contains(200) && route.statusCodes.contains(400) && route.method.equals("GET")) {
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

  private static void addResponse(ObjectNode to, int code, Route route) {
    ObjectNode a = to.putObject(Integer.toString(code)).put("description", ProblemDetails.title(code));
    if (code >= 400) {
      a.putObject("content")
          .putObject("application/problem+json")
          .putObject("schema")
          .put("$ref", "#/components/schemas/Problem");
    } else if (route.responseSchema != null) {
      a.putObject("content")
          .putObject("application/json")
          .putObject("schema")
          .put("$ref", "#/components/schemas/" + route.responseSchema);
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
