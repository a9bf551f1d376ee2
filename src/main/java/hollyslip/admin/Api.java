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

/** What the API does, free of HTTP: each method is one route. All run on the control thread, and whoever asks
 * is looked up there, so a token that was taken back opens nothing any more.
 *
 * <p>
 * A tenant's own administrator is answered {@link ApiException#notFound()} for all that is not that tenant's,
 * whether it is there or not. */
final class Api {
  /** Entries of one page, at most and if not said. */
  private static final int MAX_PAGE_SIZE = 1_000, DEFAULT_PAGE_SIZE = 100;

  private final Control control;

  Api(Control control) {
    this.control = control;
  }

  /** A request as the routes see it.
   *
   * @param authorization
   *          header, may be null
   * @param ifMatch
   *          header, may be null
   * @param idempotencyKey
   *          header {@code Idempotency-Key}, may be null
   * @param body
   *          parsed, null: none
   * @param digest
   *          hash of method, path and body
   * @param after
   *          page begins behind this name; may be null
   * @param limit
   *          entries of a page; may be null */
  record Request(String authorization, String ifMatch, String idempotencyKey, JsonNode body, String digest,
      String after, String limit) {}

  /** An answer; {@code tag} 0: no ETag; {@code location} may be null. */
  record Response(int status, JsonNode body, long etag, String location) {
    static Response ok(JsonNode body, long tag) {
      return new Response(200, body, tag, null);
    }
  }

  private static AuthenticatedCaller requireCaller(Registry r, Request c) {
    AuthenticatedCaller a = AuthenticatedCaller.authenticate(r, c.authorization);
    if (a == null) {
      throw new ApiException(401, "unauthorized", "Authorization", "a bearer token of this gateway is needed",
          Map.of());
    }
    return a;
  }

  private static AuthenticatedCaller requireOperator(Registry r, Request c) {
    AuthenticatedCaller a = requireCaller(r, c);
    if (!a.isOperator()) {
      throw ApiException.notFound();
    }
    return a;
  }

  /** The tenant, if the caller may know of it. */
  private static Tenant tenant(Registry r, AuthenticatedCaller a, String name) {
    Tenant t = r.tenant(name);
    if (t == null || !a.isOperator() && a.tenant() != t.id()) {
      throw ApiException.notFound();
    }
    return t;
  }

  private static HostedVolume volume(Registry r, Tenant t, String name) {
    HostedVolume v = r.volume(t.id(), name);
    if (v == null) {
      throw ApiException.notFound();
    }
    return v;
  }

  private static Plan plan(Registry r, String name) {
    Plan p = r.plan(name);
    if (p == null) {
      throw ApiException.notFound();
    }
    return p;
  }

  /** Revision of the If-Match header; there must be one (RFC 6585, 428). */
  private static long expectedRevision(Request c) {
    if (c.ifMatch == null) {
      throw new ApiException(428, "precondition required", "If-Match",
          "a change needs the ETag of what it changes", Map.of());
    }
    String tag = c.ifMatch.trim();
    if (tag.equals("*")) {
      return RegistryCommandHandler.ANY_REVISION;
    }
    try {
      return Long.parseLong(tag.replaceAll("^\"|\"$", ""));
    } catch (NumberFormatException e) {
      throw ApiException.invalid("If-Match", "is no ETag of this API: " + tag);
    }
  }

  private CompletableFuture<Response> read(Request c,
      BiFunction<Registry, AuthenticatedCaller, Response> view) {
    return control.read(r -> view.apply(r, requireCaller(r, c)));
  }

  private CompletableFuture<Response> readAsOperator(Request c, Function<Registry, Response> view) {
    return control.read(r -> {
      requireOperator(r, c);
      return view.apply(r);
    });
  }

  /** What a command decides with. */
  private record CommandContext(RegistryCommandHandler registrar, Registry registry, long at,
      AuthenticatedCaller caller) {}

  private CompletableFuture<Response> change(Request c, boolean operators,
      Function<CommandContext, ChangeSet> decide, Function<Registry, JsonNode> current,
      BiFunction<Registry, ChangeSet, Response> view) {
    return control.command((registrar, at) -> {
      Registry r = registrar.registry();
      AuthenticatedCaller who = operators ? requireOperator(r, c) : requireCaller(r, c);
      try {
        return decide.apply(new CommandContext(registrar, r, at, who));
      } catch (CommandRejectedException e) {
        if (e.reason() == CommandRejectedException.Reason.STALE) {
          // Whoever comes second is shown what is there now.
          throw new ApiException(412, ProblemDetails.title(412), e.field(), e.getMessage(), Map.of("revision",
              e.figures().get("revision"), "current", current.apply(r)));
        }
        throw e;
      }
    }, view);
  }

  /** A creation, once for its key: done again it answers with what there is. */
  private CompletableFuture<Response> create(Request c, boolean operators,
      Function<CommandContext, ChangeSet> decide, BiFunction<Registry, String, Response> view) {
    String[] path = new String[1];
    return control.command((registrar, at) -> {
      Registry r = registrar.registry();
      AuthenticatedCaller who = operators ? requireOperator(r, c) : requireCaller(r, c);
      String key = c.idempotencyKey == null ? null : who.id() + " " + c.idempotencyKey;
      if (key != null && c.idempotencyKey.length() > 255) {
        throw ApiException.invalid("Idempotency-Key", "is longer than 255");
      }
      path[0] = key == null ? null : registrar.done(key, c.digest);
      if (path[0] != null) {
        return null;
      }
      ChangeSet e = decide.apply(new CommandContext(registrar, r, at, who));
      path[0] = e.target();
      return key == null ? e : registrar.withIdempotencyKey(e, key, c.digest);
    }, (r, e) -> view.apply(r, path[0]));
  }

  private static String lastSegment(String path) {
    return path.substring(path.lastIndexOf('/') + 1);
  }

  private static Response created(JsonNode body, long tag, String path) {
    return new Response(201, body, tag, path);
  }

  private <T> Response page(Request c, NavigableMap<String, T> all, Function<T, JsonNode> view) {
    int most = DEFAULT_PAGE_SIZE;
    if (c.limit != null) {
      try {
        most = Integer.parseInt(c.limit);
      } catch (NumberFormatException e) {
        most = 0;
      }
      if (most < 1 || most > MAX_PAGE_SIZE) {
        throw ApiException.invalid("limit", "must be from 1 to " + MAX_PAGE_SIZE);
      }
    }
    ObjectNode n = Views.JSON.createObjectNode();
    var items = n.putArray("items");
    String next = null;
    for (Map.Entry<String, T> e : (c.after == null ? all : all.tailMap(c.after, false)).entrySet()) {
      if (items.size() == most) {
        n.put("next", next);
        break;
      }
      items.add(view.apply(e.getValue()));
      next = e.getKey();
    }
    return Response.ok(n, 0);
  }

  // Plans.

  CompletableFuture<Response> plans(Request c) {
    return readAsOperator(c, r -> page(c, r.plans(), Views::plan));
  }

  CompletableFuture<Response> createPlan(Request c) {
    return create(c, true, d -> d.registrar.createPlan(d.at, d.caller.who(), Views.plan(c.body)), (r,
        path) -> {
      Plan p = plan(r, lastSegment(path));
      return created(Views.plan(p), p.revision(), path);
    });
  }

  CompletableFuture<Response> plan(Request c, String name) {
    return readAsOperator(c, r -> Response.ok(Views.plan(plan(r, name)), plan(r, name).revision()));
  }

  CompletableFuture<Response> changePlan(Request c, String name) {
    return change(c, true, d -> {
      Plan old = plan(d.registry, name);
      return d.registrar.changePlan(d.at, d.caller.who(), name, expectedRevision(c), Views.plan(
          JsonObjectReader.mergePatch(Views.spec(old), c.body).put("name", name)).terms());
    }, r -> Views.plan(r.plan(name)), (r, e) -> Response.ok(Views.plan(r.plan(name)), r.plan(name)
        .revision()));
  }

  CompletableFuture<Response> removePlan(Request c, String name) {
    return change(c, true, d -> {
      plan(d.registry, name);
      return d.registrar.removePlan(d.at, d.caller.who(), name, expectedRevision(c));
    }, r -> Views.plan(r.plan(name)), (r, e) -> new Response(204, null, 0, null));
  }

  // Tenants.

  CompletableFuture<Response> tenants(Request c) {
    return readAsOperator(c, r -> page(c, r.tenantNames(), id -> Views.tenant(r, r.tenant(id))));
  }

  CompletableFuture<Response> createTenant(Request c) {
    return create(c, true, d -> d.registrar.createTenant(d.at, d.caller.who(), Views.tenant(c.body)), (r,
        path) -> {
      Tenant t = r.tenant(lastSegment(path));
      if (t == null) {
        throw ApiException.notFound();
      }
      return created(Views.tenant(r, t), t.revision(), path);
    });
  }

  CompletableFuture<Response> tenant(Request c, String name) {
    return read(c, (r, a) -> {
      Tenant t = tenant(r, a, name);
      return Response.ok(Views.tenant(r, t), t.revision());
    });
  }

  /** A tenant's own administrator changes its members, operators the rest too. */
  CompletableFuture<Response> changeTenant(Request c, String name) {
    return change(c, false, d -> {
      Tenant old = tenant(d.registry, d.caller, name);
      long seen = expectedRevision(c);
      JsonNode merged = JsonObjectReader.mergePatch(Views.spec(old), c.body);
      if (!d.caller.isOperator()) {
        c.body.fieldNames().forEachRemaining(f -> {
          if (!f.equals("members")) {
            throw new ApiException(403, "forbidden", f, "only operators change this", Map.of());
          }
        });
      }
      return d.registrar.changeTenant(d.at, d.caller.who(), name, seen, Views.tenant(merged));
    }, r -> Views.tenant(r, r.tenant(name)), (r, e) -> Response.ok(Views.tenant(r, r.tenant(name)), r.tenant(
        name).revision()));
  }

  CompletableFuture<Response> removeTenant(Request c, String name) {
    return change(c, false, d -> {
      tenant(d.registry, d.caller, name);
      if (!d.caller.isOperator()) {
        throw new ApiException(403, "forbidden", null, "only operators remove tenants", Map.of());
      }
      return d.registrar.removeTenant(d.at, d.caller.who(), name, expectedRevision(c));
    }, r -> Views.tenant(r, r.tenant(name)), Api::accepted);
  }

  /** Something that goes on: its task tells how far it is. */
  private static Response accepted(Registry r, ChangeSet e) {
    Change.Task task = null;
    for (Change c : e.changes()) {
      if (c instanceof Change.TaskPut t) {
        task = t.task();
      }
    }
    return new Response(202, Views.task(r, task), 0, "/v1/tasks/" + task.id());
  }

  // Volumes.

  CompletableFuture<Response> volumes(Request c, String tenant) {
    return read(c, (r, a) -> page(c, r.volumeNames(tenant(r, a, tenant).id()), id -> Views.volume(r, r.volume(
        id))));
  }

  CompletableFuture<Response> createVolume(Request c, String tenant) {
    return create(c, false, d -> {
      tenant(d.registry, d.caller, tenant);
      return d.registrar.createVolume(d.at, d.caller.who(), tenant, Views.volume(c.body));
    }, (r, path) -> {
      HostedVolume v = r.tenant(tenant) == null ? null : r.volume(r.tenant(tenant).id(), lastSegment(path));
      if (v == null) {
        throw ApiException.notFound();
      }
      return created(Views.volume(r, v), v.revision(), path);
    });
  }

  CompletableFuture<Response> volume(Request c, String tenant, String name) {
    return read(c, (r, a) -> {
      HostedVolume v = volume(r, tenant(r, a, tenant), name);
      return Response.ok(Views.volume(r, v), v.revision());
    });
  }

  CompletableFuture<Response> changeVolume(Request c, String tenant, String name) {
    return change(c, false, d -> {
      HostedVolume old = volume(d.registry, tenant(d.registry, d.caller, tenant), name);
      return d.registrar.changeVolume(d.at, d.caller.who(), tenant, name, expectedRevision(c), Views.volume(
          JsonObjectReader.mergePatch(Views.spec(old), c.body)));
    }, r -> Views.volume(r, r.volume(r.tenant(tenant).id(), name)), (r, e) -> {
      HostedVolume v = r.volume(r.tenant(tenant).id(), name);
      return Response.ok(Views.volume(r, v), v.revision());
    });
  }

  CompletableFuture<Response> removeVolume(Request c, String tenant, String name) {
    return change(c, false, d -> {
      volume(d.registry, tenant(d.registry, d.caller, tenant), name);
      return d.registrar.removeVolume(d.at, d.caller.who(), tenant, name, expectedRevision(c));
    }, r -> Views.volume(r, r.volume(r.tenant(tenant).id(), name)), Api::accepted);
  }

  // Nodes.

  private static NavigableMap<String, Carrier.NodeView> sorted(Map<String, Carrier.NodeView> nodes) {
    return new java.util.TreeMap<>(nodes);
  }

  private JsonNode node(Registry r, String name) {
    Carrier.NodeView v = control.provisioner().nodes().get(name);
    if (v == null) {
      throw ApiException.notFound();
    }
    return Views.nodeOf(name, v, r.node(name));
  }

  CompletableFuture<Response> nodes(Request c) {
    NavigableMap<String, String> names = new java.util.TreeMap<>();
    sorted(control.provisioner().nodes()).keySet().forEach(n -> names.put(n, n));
    return readAsOperator(c, r -> page(c, names, n -> node(r, n)));
  }

  CompletableFuture<Response> node(Request c, String name) {
    return readAsOperator(c, r -> Response.ok(node(r, name), tag(node(r, name))));
  }

  /** Revision 0, of a node that nobody has said anything of, has a tag too. */
  private static long tag(JsonNode node) {
    return node.get("revision").asLong() == 0 ? Long.MIN_VALUE : node.get("revision").asLong();
  }

  CompletableFuture<Response> changeNode(Request c, String name) {
    return change(c, true, d -> {
      node(d.registry, name);
      String state = new JsonObjectReader(c.body, "", Set.of("state")).string("state");
      NodeState wanted = switch (state.toLowerCase(Locale.ROOT)) {
        case "on" -> NodeState.ON;
        case "draining" -> NodeState.DRAINING;
        default -> throw ApiException.invalid("state", "must be on or draining");
      };
      return d.registrar.setNodeState(d.at, d.caller.who(), name, expectedRevision(c), wanted);
    }, r -> node(r, name), (r, e) -> {
      ObjectNode n = (ObjectNode) node(r, name);
      n.put("state", r.node(name).state().name().toLowerCase(Locale.ROOT));
      return Response.ok(n, r.node(name).revision());
    });
  }

  // Tasks, tokens, trail.

  CompletableFuture<Response> tasks(Request c) {
    return readAsOperator(c, r -> {
      NavigableMap<String, Change.Task> all = new java.util.TreeMap<>();
      r.tasks().values().forEach(t -> all.put(String.format("%019d", t.id()), t));
      return page(c, all, t -> Views.task(r, t));
    });
  }

  CompletableFuture<Response> task(Request c, String id) {
    return read(c, (r, a) -> {
      Change.Task t = id.matches("[0-9]{1,18}") ? r.task(Long.parseLong(id)) : null;
      if (t == null || !a.isOperator() && !belongsToCaller(r, a, t.target())) {
        throw ApiException.notFound();
      }
      return Response.ok(Views.task(r, t), 0);
    });
  }

  private static boolean belongsToCaller(Registry r, AuthenticatedCaller a, String target) {
    Tenant t = r.tenant(a.tenant());
    return t != null && (target + "/").startsWith("/v1/tenants/" + t.name() + "/");
  }

  CompletableFuture<Response> tokens(Request c) {
    return readAsOperator(c, r -> {
      NavigableMap<String, Change.Token> all = new java.util.TreeMap<>();
      r.tokens().forEach(t -> all.put(t.id(), t));
      return page(c, all, t -> Views.token(r, t));
    });
  }

  /** The secret is in this answer and nowhere else. */
  CompletableFuture<Response> createToken(Request c) {
    AuthenticatedCaller.IssuedToken[] made = new AuthenticatedCaller.IssuedToken[1];
    return change(c, true, d -> {
      JsonObjectReader f = new JsonObjectReader(c.body, "", Set.of("who", "tenant"));
      boolean tenants = c.body.hasNonNull("tenant");
      Tenant t = tenants ? d.registry.tenant(f.string("tenant")) : null;
      if (tenants && t == null) {
        throw CommandRejectedException.unknown("tenant", f.string("tenant"));
      }
      made[0] = AuthenticatedCaller.issueToken(f.string("who"), t == null ? 0 : t.id());
      return d.registrar.putToken(d.at, d.caller.who(), made[0].recorded());
    }, r -> null, (r, e) -> created(Views.token(r, made[0].recorded()).put("token", made[0].token()), 0,
        "/v1/tokens/" + made[0].recorded().id()));
  }

  CompletableFuture<Response> removeToken(Request c, String id) {
    return change(c, true, d -> {
      if (d.registry.token(id) == null) {
        throw ApiException.notFound();
      }
      return d.registrar.removeToken(d.at, d.caller.who(), id);
    }, r -> null, (r, e) -> new Response(204, null, 0, null));
  }

  CompletableFuture<Response> audit(Request c) {
    return read(c, (r, a) -> {
      NavigableMap<String, hollyslip.tenant.AuditRecord> all = new java.util.TreeMap<>();
      int i = 0;
      for (hollyslip.tenant.AuditRecord t : r.trail()) {
        if (a.isOperator() || t.tenant() == a.tenant()) {
          all.put(String.format("%019d-%06d", t.sequence(), i++), t);
        }
      }
      return page(c, all, Views::auditRecord);
    });
  }

  /** Who asks for events; the tenant whose alone they get, 0: all. */
  CompletableFuture<Long> eventScope(Request c) {
    return control.read(r -> requireCaller(r, c).tenant());
  }

}
