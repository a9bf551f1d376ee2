package hollyslip.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import hollyslip.HostScheduler.NodeState;
import hollyslip.tenant.Change;
import hollyslip.tenant.ChangeSet;
import hollyslip.tenant.HostedVolume;
import hollyslip.tenant.Plan;
import hollyslip.tenant.CommandRejectedException;
import hollyslip.tenant.RegistryCommandHandler;
import hollyslip.tenant.Registry;
import hollyslip.tenant.Tenant;
import java.util.Locale;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import java.util.function.Function;

/** Implements the routes of the API independently of HTTP, one method per route. They run on the control
 * thread, where the caller is authenticated, so a revoked token is rejected at once.
 *
 * <p>
 * A tenant's own administrator gets {@link ApiException#notFound()} for everything that does not belong to
 * the tenant, whether it exists or not. */
final class Api {
  /** Number of entries of a page: the maximum and the default. */
  private static final int MAX_PAGE_SIZE = 1_000, DEFAULT_PAGE_SIZE = 100;

  private final ControlPlane control;

  Api(ControlPlane control) {
    this.control = control;
  }

  /** The parts of an HTTP request that the routes use.
   *
   * @param authorization
   *          header {@code Authorization}, may be null
   * @param ifMatch
   *          header {@code If-Match}, may be null
   * @param idempotencyKey
   *          header {@code Idempotency-Key}, may be null
   * @param body
   *          parsed body; null: none
   * @param digest
   *          hash of method, path and body
   * @param after
   *          the page starts after this name; may be null
   * @param limit
   *          maximum number of entries of the page; may be null */
  record Request(String authorization, String ifMatch, String idempotencyKey, JsonNode body, String digest,
      String after, String limit) {}

  /** A response; {@code etag} 0 means no ETag; {@code body} and {@code location} may be null. */
  record Response(int status, JsonNode body, long etag, String location) {
    static Response ok(JsonNode body, long etag) {
      return new Response(200, body, etag, null);
    }
  }

  private static AuthenticatedCaller requireCaller(Registry registry, Request request) {
    AuthenticatedCaller caller = AuthenticatedCaller.authenticate(registry, request.authorization);
    if (caller == null) {
      throw new ApiException(401, "unauthorized", "Authorization",
          "a valid bearer token of this gateway is required", Map.of());
    }
    return caller;
  }

  private static AuthenticatedCaller requireOperator(Registry registry, Request request) {
    AuthenticatedCaller caller = requireCaller(registry, request);
    if (!caller.isOperator()) {
      throw ApiException.notFound();
    }
    return caller;
  }

  /** Returns the tenant if the caller may access it. */
  private static Tenant tenant(Registry registry, AuthenticatedCaller caller, String name) {
    Tenant t = registry.tenant(name);
    if (t == null || !caller.isOperator() && caller.tenant() != t.id()) {
      throw ApiException.notFound();
    }
    return t;
  }

  private static HostedVolume volume(Registry registry, Tenant t, String name) {
    HostedVolume v = registry.volume(t.id(), name);
    if (v == null) {
      throw ApiException.notFound();
    }
    return v;
  }

  private static Plan plan(Registry registry, String name) {
    Plan p = registry.plan(name);
    if (p == null) {
      throw ApiException.notFound();
    }
    return p;
  }

  /** Returns the revision in the If-Match header, which is required (RFC 6585, status 428). */
  private static long expectedRevision(Request request) {
    if (request.ifMatch == null) {
      throw new ApiException(428, "precondition required", "If-Match",
          "a change requires the ETag of the resource", Map.of());
    }
    String etag = request.ifMatch.trim();
    if (etag.equals("*")) {
      return RegistryCommandHandler.ANY_REVISION;
    }
    try {
      return Long.parseLong(etag.replaceAll("^\"|\"$", ""));
    } catch (NumberFormatException e) {
      throw ApiException.invalid("If-Match", "is not an ETag of this API: " + etag);
    }
  }

  private CompletableFuture<Response> read(Request request,
      BiFunction<Registry, AuthenticatedCaller, Response> view) {
    return control.read(registry -> view.apply(registry, requireCaller(registry, request)));
  }

  private CompletableFuture<Response> readAsOperator(Request request, Function<Registry, Response> view) {
    return control.read(registry -> {
      requireOperator(registry, request);
      return view.apply(registry);
    });
  }

  /** What a route needs to build a command. */
  private record CommandContext(RegistryCommandHandler commandHandler, Registry registry, long at,
      AuthenticatedCaller caller) {}

  private CompletableFuture<Response> change(Request request, boolean operatorsOnly,
      Function<CommandContext, ChangeSet> decide, Function<Registry, JsonNode> current,
      BiFunction<Registry, ChangeSet, Response> view) {
    return control.execute((commandHandler, at) -> {
      Registry registry = commandHandler.registry();
      AuthenticatedCaller caller = operatorsOnly
          ? requireOperator(registry, request)
          : requireCaller(registry, request);
      try {
        return decide.apply(new CommandContext(commandHandler, registry, at, caller));
      } catch (CommandRejectedException e) {
        if (e.reason() == CommandRejectedException.Reason.STALE) {
          // The later of two concurrent changes gets the current state in its response.
          throw new ApiException(412, ProblemDetails.title(412), e.field(), e.getMessage(), Map.of("revision",
              e.figures().get("revision"), "current", current.apply(registry)));
        }
        throw e;
      }
    }, view);
  }

  /** Executes a creation at most once per idempotency key; a repeated request returns the existing
   * resource. */
  private CompletableFuture<Response> create(Request request, boolean operatorsOnly,
      Function<CommandContext, ChangeSet> decide, BiFunction<Registry, String, Response> view) {
    String[] path = new String[1];
    return control.execute((commandHandler, at) -> {
      Registry registry = commandHandler.registry();
      AuthenticatedCaller caller = operatorsOnly
          ? requireOperator(registry, request)
          : requireCaller(registry, request);
      String key = request.idempotencyKey == null ? null : caller.id() + " " + request.idempotencyKey;
      if (key != null && request.idempotencyKey.length() > 255) {
        throw ApiException.invalid("Idempotency-Key", "is longer than 255 characters");
      }
      path[0] = key == null ? null : commandHandler.findCreatedPath(key, request.digest);
      if (path[0] != null) {
        return null;
      }
      ChangeSet e = decide.apply(new CommandContext(commandHandler, registry, at, caller));
      path[0] = e.target();
      return key == null ? e : commandHandler.withIdempotencyKey(e, key, request.digest);
    }, (registry, e) -> view.apply(registry, path[0]));
  }

  private static String lastSegment(String path) {
    return path.substring(path.lastIndexOf('/') + 1);
  }

  private static Response created(JsonNode body, long etag, String path) {
    return new Response(201, body, etag, path);
  }

  private <T> Response page(Request request, NavigableMap<String, T> all, Function<T, JsonNode> view) {
    int pageSize = DEFAULT_PAGE_SIZE;
    if (request.limit != null) {
      try {
        pageSize = Integer.parseInt(request.limit);
      } catch (NumberFormatException e) {
        pageSize = 0;
      }
      if (pageSize < 1 || pageSize > MAX_PAGE_SIZE) {
        throw ApiException.invalid("limit", "must be from 1 to " + MAX_PAGE_SIZE);
      }
    }
    ObjectNode page = Views.JSON.createObjectNode();
    var items = page.putArray("items");
    String next = null;
    for (Map.Entry<String, T> e : (request.after == null ? all : all.tailMap(request.after, false))
        .entrySet()) {
      if (items.size() == pageSize) {
        page.put("next", next);
        break;
      }
      items.add(view.apply(e.getValue()));
      next = e.getKey();
    }
    return Response.ok(page, 0);
  }

  // Plans.

  CompletableFuture<Response> plans(Request request) {
    return readAsOperator(request, registry -> page(request, registry.plans(), Views::plan));
  }

  CompletableFuture<Response> createPlan(Request request) {
    return create(request, true, context -> context.commandHandler.createPlan(context.at, context.caller
        .who(), Views.plan(request.body)), (registry, path) -> {
          Plan p = plan(registry, lastSegment(path));
          return created(Views.plan(p), p.revision(), path);
        });
  }

  CompletableFuture<Response> plan(Request request, String name) {
    return readAsOperator(request, registry -> Response.ok(Views.plan(plan(registry, name)), plan(registry,
        name).revision()));
  }

  CompletableFuture<Response> changePlan(Request request, String name) {
    return change(request, true, context -> {
      Plan old = plan(context.registry, name);
      return context.commandHandler.changePlan(context.at, context.caller.who(), name, expectedRevision(
          request), Views.plan(JsonObjectReader.mergePatch(Views.spec(old), request.body).put("name", name))
              .terms());
    }, registry -> Views.plan(registry.plan(name)), (registry, e) -> Response.ok(Views.plan(registry.plan(
        name)), registry.plan(name).revision()));
  }

  CompletableFuture<Response> removePlan(Request request, String name) {
    return change(request, true, context -> {
      plan(context.registry, name);
      return context.commandHandler.removePlan(context.at, context.caller.who(), name, expectedRevision(
          request));
    }, registry -> Views.plan(registry.plan(name)), (registry, e) -> new Response(204, null, 0, null));
  }

  // Tenants.

  CompletableFuture<Response> tenants(Request request) {
    return readAsOperator(request, registry -> page(request, registry.tenantNames(), id -> Views.tenant(
        registry, registry.tenant(id))));
  }

  CompletableFuture<Response> createTenant(Request request) {
    return create(request, true, context -> context.commandHandler.createTenant(context.at, context.caller
        .who(), Views.tenant(request.body)), (registry, path) -> {
          Tenant t = registry.tenant(lastSegment(path));
          if (t == null) {
            throw ApiException.notFound();
          }
          return created(Views.tenant(registry, t), t.revision(), path);
        });
  }

  CompletableFuture<Response> tenant(Request request, String name) {
    return read(request, (registry, caller) -> {
      Tenant t = tenant(registry, caller, name);
      return Response.ok(Views.tenant(registry, t), t.revision());
    });
  }

  /** Changes a tenant. The tenant's own administrator may change only the members, operators everything. */
  CompletableFuture<Response> changeTenant(Request request, String name) {
    return change(request, false, context -> {
      Tenant old = tenant(context.registry, context.caller, name);
      long revision = expectedRevision(request);
      JsonNode merged = JsonObjectReader.mergePatch(Views.spec(old), request.body);
      if (!context.caller.isOperator()) {
        request.body.fieldNames().forEachRemaining(field -> {
          if (!field.equals("members")) {
            throw new ApiException(403, "forbidden", field, "only operators may change this", Map.of());
          }
        });
      }
      return context.commandHandler.changeTenant(context.at, context.caller.who(), name, revision, Views
          .tenant(merged));
    }, registry -> Views.tenant(registry, registry.tenant(name)), (registry, e) -> Response.ok(Views.tenant(
        registry, registry.tenant(name)), registry.tenant(name).revision()));
  }

  CompletableFuture<Response> removeTenant(Request request, String name) {
    return change(request, false, context -> {
      tenant(context.registry, context.caller, name);
      if (!context.caller.isOperator()) {
        throw new ApiException(403, "forbidden", null, "only operators may remove tenants", Map.of());
      }
      return context.commandHandler.removeTenant(context.at, context.caller.who(), name, expectedRevision(
          request));
    }, registry -> Views.tenant(registry, registry.tenant(name)), Api::accepted);
  }

  /** The response to a started operation: its task, which reports the progress. */
  private static Response accepted(Registry registry, ChangeSet e) {
    Change.Task task = null;
    for (Change change : e.changes()) {
      if (change instanceof Change.TaskPut t) {
        task = t.task();
      }
    }
    return new Response(202, Views.task(registry, task), 0, "/v1/tasks/" + task.id());
  }

  // Volumes.

  CompletableFuture<Response> volumes(Request request, String tenant) {
    return read(request, (registry, caller) -> page(request, registry.volumeNames(tenant(registry, caller,
        tenant).id()), id -> Views.volume(registry, registry.volume(id))));
  }

  CompletableFuture<Response> createVolume(Request request, String tenant) {
    return create(request, false, context -> {
      tenant(context.registry, context.caller, tenant);
      return context.commandHandler.createVolume(context.at, context.caller.who(), tenant, Views.volume(
          request.body));
    }, (registry, path) -> {
      HostedVolume v = registry.tenant(tenant) == null
          ? null
          : registry.volume(registry.tenant(tenant).id(), lastSegment(path));
      if (v == null) {
        throw ApiException.notFound();
      }
      return created(Views.volume(registry, v), v.revision(), path);
    });
  }

  CompletableFuture<Response> volume(Request request, String tenant, String name) {
    return read(request, (registry, caller) -> {
      HostedVolume v = volume(registry, tenant(registry, caller, tenant), name);
      return Response.ok(Views.volume(registry, v), v.revision());
    });
  }

  CompletableFuture<Response> changeVolume(Request request, String tenant, String name) {
    return change(request, false, context -> {
      HostedVolume old = volume(context.registry, tenant(context.registry, context.caller, tenant), name);
      return context.commandHandler.changeVolume(context.at, context.caller.who(), tenant, name,
          expectedRevision(request), Views.volume(JsonObjectReader.mergePatch(Views.spec(old),
              request.body)));
    }, registry -> Views.volume(registry, registry.volume(registry.tenant(tenant).id(), name)), (registry,
        e) -> {
      HostedVolume v = registry.volume(registry.tenant(tenant).id(), name);
      return Response.ok(Views.volume(registry, v), v.revision());
    });
  }

  CompletableFuture<Response> removeVolume(Request request, String tenant, String name) {
    return change(request, false, context -> {
      volume(context.registry, tenant(context.registry, context.caller, tenant), name);
      return context.commandHandler.removeVolume(context.at, context.caller.who(), tenant, name,
          expectedRevision(request));
    }, registry -> Views.volume(registry, registry.volume(registry.tenant(tenant).id(), name)),
        Api::accepted);
  }

  // Nodes.

  private static NavigableMap<String, Provisioner.NodeView> sorted(Map<String, Provisioner.NodeView> nodes) {
    return new java.util.TreeMap<>(nodes);
  }

  private JsonNode node(Registry registry, String name) {
    Provisioner.NodeView v = control.provisioner().nodes().get(name);
    if (v == null) {
      throw ApiException.notFound();
    }
    return Views.nodeOf(name, v, registry.node(name));
  }

  CompletableFuture<Response> nodes(Request request) {
    NavigableMap<String, String> names = new java.util.TreeMap<>();
    sorted(control.provisioner().nodes()).keySet().forEach(nodeName -> names.put(nodeName, nodeName));
    return readAsOperator(request, registry -> page(request, names, nodeName -> node(registry, nodeName)));
  }

  CompletableFuture<Response> node(Request request, String name) {
    return readAsOperator(request, registry -> Response.ok(node(registry, name), nodeEtag(node(registry,
        name))));
  }

  /** Returns the ETag value of a node. Revision 0, of a node that no administrator has changed, needs one
   * too; it is encoded as a negative number since 0 means no ETag. */
  private static long nodeEtag(JsonNode node) {
    return node.get("revision").asLong() == 0 ? Long.MIN_VALUE : node.get("revision").asLong();
  }

  CompletableFuture<Response> changeNode(Request request, String name) {
    return change(request, true, context -> {
      node(context.registry, name);
      String state = new JsonObjectReader(request.body, "", Set.of("state")).string("state");
      NodeState newState = switch (state.toLowerCase(Locale.ROOT)) {
        case "on" -> NodeState.ON;
        case "draining" -> NodeState.DRAINING;
        default -> throw ApiException.invalid("state", "must be on or draining");
      };
      return context.commandHandler.setNodeState(context.at, context.caller.who(), name, expectedRevision(
          request), newState);
    }, registry -> node(registry, name), (registry, e) -> {
      ObjectNode node = (ObjectNode) node(registry, name);
      node.put("state", registry.node(name).state().name().toLowerCase(Locale.ROOT));
      return Response.ok(node, registry.node(name).revision());
    });
  }

  // Tasks, tokens, audit trail.

  CompletableFuture<Response> tasks(Request request) {
    return readAsOperator(request, registry -> {
      NavigableMap<String, Change.Task> all = new java.util.TreeMap<>();
      registry.tasks().values().forEach(t -> all.put(String.format("%019d", t.id()), t));
      return page(request, all, t -> Views.task(registry, t));
    });
  }

  CompletableFuture<Response> task(Request request, String id) {
    return read(request, (registry, caller) -> {
      Change.Task t = id.matches("[0-9]{1,18}") ? registry.task(Long.parseLong(id)) : null;
      if (t == null || !caller.isOperator() && !belongsToCaller(registry, caller, t.target())) {
        throw ApiException.notFound();
      }
      return Response.ok(Views.task(registry, t), 0);
    });
  }

  private static boolean belongsToCaller(Registry registry, AuthenticatedCaller caller, String target) {
    Tenant t = registry.tenant(caller.tenant());
    return t != null && (target + "/").startsWith("/v1/tenants/" + t.name() + "/");
  }

  CompletableFuture<Response> tokens(Request request) {
    return readAsOperator(request, registry -> {
      NavigableMap<String, Change.Token> all = new java.util.TreeMap<>();
      registry.tokens().forEach(t -> all.put(t.id(), t));
      return page(request, all, t -> Views.token(registry, t));
    });
  }

  /** Creates a token. Its secret is returned only in this response. */
  CompletableFuture<Response> createToken(Request request) {
    AuthenticatedCaller.IssuedToken[] issued = new AuthenticatedCaller.IssuedToken[1];
    return change(request, true, context -> {
      JsonObjectReader fields = new JsonObjectReader(request.body, "", Set.of("who", "tenant"));
      boolean forTenant = request.body.hasNonNull("tenant");
      Tenant t = forTenant ? context.registry.tenant(fields.string("tenant")) : null;
      if (forTenant && t == null) {
        throw CommandRejectedException.unknown("tenant", fields.string("tenant"));
      }
      issued[0] = AuthenticatedCaller.issueToken(fields.string("who"), t == null ? 0 : t.id());
      return context.commandHandler.createToken(context.at, context.caller.who(), issued[0].storedToken());
    }, registry -> null, (registry, e) -> created(Views.token(registry, issued[0].storedToken())
        .put("token", issued[0].token()), 0, "/v1/tokens/" + issued[0].storedToken().id()));
  }

  CompletableFuture<Response> removeToken(Request request, String id) {
    return change(request, true, context -> {
      if (context.registry.token(id) == null) {
        throw ApiException.notFound();
      }
      return context.commandHandler.removeToken(context.at, context.caller.who(), id);
    }, registry -> null, (registry, e) -> new Response(204, null, 0, null));
  }

  CompletableFuture<Response> audit(Request request) {
    return read(request, (registry, caller) -> {
      NavigableMap<String, hollyslip.tenant.AuditRecord> all = new java.util.TreeMap<>();
      int index = 0;
      for (hollyslip.tenant.AuditRecord t : registry.trail()) {
        if (caller.isOperator() || t.tenant() == caller.tenant()) {
          all.put(String.format("%019d-%06d", t.sequence(), index++), t);
        }
      }
      return page(request, all, Views::auditRecord);
    });
  }

  /** Authenticates the caller of an event stream and returns the only tenant whose events it gets; 0: all. */
  CompletableFuture<Long> eventScope(Request request) {
    return control.read(registry -> requireCaller(registry, request).tenant());
  }

}
