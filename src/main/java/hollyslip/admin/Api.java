package hollyslip.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import hollyslip.HostScheduler.NodeState;
import hollyslip.tenant.Change;
import hollyslip.tenant.Entry;
import hollyslip.tenant.HostedVolume;
import hollyslip.tenant.Plan;
import hollyslip.tenant.Refusal;
import hollyslip.tenant.Registrar;
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
 * A tenant's own administrator is answered {@link Problem#unknown()} for all that is not that tenant's,
 * whether it is there or not. */
final class Api {
  /** Entries of one page, at most and if not said. */
  private static final int MOST_PAGE = 1_000, USUAL_PAGE = 100;

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
   * @param key
   *          header {@code Idempotency-Key}, may be null
   * @param body
   *          parsed, null: none
   * @param digest
   *          hash of method, path and body
   * @param after
   *          page begins behind this name; may be null
   * @param limit
   *          entries of a page; may be null */
  record Call(String authorization, String ifMatch, String key, JsonNode body, String digest, String after,
      String limit) {}

  /** An answer; {@code tag} 0: no ETag; {@code location} may be null. */
  record Reply(int status, JsonNode body, long tag, String location) {
    static Reply ok(JsonNode body, long tag) {
      return new Reply(200, body, tag, null);
    }
  }

  private static Access caller(Registry r, Call c) {
    Access a = Access.of(r, c.authorization);
    if (a == null) {
      throw new Problem(401, "unauthorized", "Authorization", "a bearer token of this gateway is needed", Map
          .of());
    }
    return a;
  }

  private static Access operator(Registry r, Call c) {
    Access a = caller(r, c);
    if (!a.operator()) {
      throw Problem.unknown();
    }
    return a;
  }

  /** The tenant, if the caller may know of it. */
  private static Tenant tenant(Registry r, Access a, String name) {
    Tenant t = r.tenant(name);
    if (t == null || !a.operator() && a.tenant() != t.id()) {
      throw Problem.unknown();
    }
    return t;
  }

  private static HostedVolume volume(Registry r, Tenant t, String name) {
    HostedVolume v = r.volume(t.id(), name);
    if (v == null) {
      throw Problem.unknown();
    }
    return v;
  }

  private static Plan plan(Registry r, String name) {
    Plan p = r.plan(name);
    if (p == null) {
      throw Problem.unknown();
    }
    return p;
  }

  /** Revision of the If-Match header; there must be one (RFC 6585, 428). */
  private static long seen(Call c) {
    if (c.ifMatch == null) {
      throw new Problem(428, "precondition required", "If-Match",
          "a change needs the ETag of what it changes", Map.of());
    }
    String tag = c.ifMatch.trim();
    if (tag.equals("*")) {
      return Registrar.ANY;
    }
    try {
      return Long.parseLong(tag.replaceAll("^\"|\"$", ""));
    } catch (NumberFormatException e) {
      throw Problem.invalid("If-Match", "is no ETag of this API: " + tag);
    }
  }

  private CompletableFuture<Reply> read(Call c, BiFunction<Registry, Access, Reply> view) {
    return control.read(r -> view.apply(r, caller(r, c)));
  }

  private CompletableFuture<Reply> readAll(Call c, Function<Registry, Reply> view) {
    return control.read(r -> {
      operator(r, c);
      return view.apply(r);
    });
  }

  /** What a command decides with. */
  private record Desk(Registrar registrar, Registry registry, long at, Access who) {}

  private CompletableFuture<Reply> change(Call c, boolean operators, Function<Desk, Entry> decide,
      Function<Registry, JsonNode> current, BiFunction<Registry, Entry, Reply> view) {
    return control.command((registrar, at) -> {
      Registry r = registrar.registry();
      Access who = operators ? operator(r, c) : caller(r, c);
      try {
        return decide.apply(new Desk(registrar, r, at, who));
      } catch (Refusal e) {
        if (e.kind() == Refusal.Kind.STALE) {
          // Whoever comes second is shown what is there now.
          throw new Problem(412, Statuses.title(412), e.field(), e.getMessage(), Map.of("revision", e
              .figures()
              .get("revision"), "current", current.apply(r)));
        }
        throw e;
      }
    }, view);
  }

  /** A creation, once for its key: done again it answers with what there is. */
  private CompletableFuture<Reply> create(Call c, boolean operators, Function<Desk, Entry> decide,
      BiFunction<Registry, String, Reply> view) {
    String[] path = new String[1];
    return control.command((registrar, at) -> {
      Registry r = registrar.registry();
      Access who = operators ? operator(r, c) : caller(r, c);
      String key = c.key == null ? null : who.id() + " " + c.key;
      if (key != null && c.key.length() > 255) {
        throw Problem.invalid("Idempotency-Key", "is longer than 255");
      }
      path[0] = key == null ? null : registrar.done(key, c.digest);
      if (path[0] != null) {
        return null;
      }
      Entry e = decide.apply(new Desk(registrar, r, at, who));
      path[0] = e.target();
      return key == null ? e : registrar.under(e, key, c.digest);
    }, (r, e) -> view.apply(r, path[0]));
  }

  private static String last(String path) {
    return path.substring(path.lastIndexOf('/') + 1);
  }

  private static Reply created(JsonNode body, long tag, String path) {
    return new Reply(201, body, tag, path);
  }

  private <T> Reply page(Call c, NavigableMap<String, T> all, Function<T, JsonNode> view) {
    int most = USUAL_PAGE;
    if (c.limit != null) {
      try {
        most = Integer.parseInt(c.limit);
      } catch (NumberFormatException e) {
        most = 0;
      }
      if (most < 1 || most > MOST_PAGE) {
        throw Problem.invalid("limit", "must be from 1 to " + MOST_PAGE);
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
    return Reply.ok(n, 0);
  }

  // Plans.

  CompletableFuture<Reply> plans(Call c) {
    return readAll(c, r -> page(c, r.plans(), Views::plan));
  }

  CompletableFuture<Reply> createPlan(Call c) {
    return create(c, true, d -> d.registrar.createPlan(d.at, d.who.who(), Views.plan(c.body)), (r, path) -> {
      Plan p = plan(r, last(path));
      return created(Views.plan(p), p.revision(), path);
    });
  }

  CompletableFuture<Reply> plan(Call c, String name) {
    return readAll(c, r -> Reply.ok(Views.plan(plan(r, name)), plan(r, name).revision()));
  }

  CompletableFuture<Reply> changePlan(Call c, String name) {
    return change(c, true, d -> {
      Plan old = plan(d.registry, name);
      return d.registrar.changePlan(d.at, d.who.who(), name, seen(c), Views.plan(Fields.merged(Views.wish(
          old), c.body).put("name", name)).terms());
    }, r -> Views.plan(r.plan(name)), (r, e) -> Reply.ok(Views.plan(r.plan(name)), r.plan(name).revision()));
  }

  CompletableFuture<Reply> removePlan(Call c, String name) {
    return change(c, true, d -> {
      plan(d.registry, name);
      return d.registrar.removePlan(d.at, d.who.who(), name, seen(c));
    }, r -> Views.plan(r.plan(name)), (r, e) -> new Reply(204, null, 0, null));
  }

  // Tenants.

  CompletableFuture<Reply> tenants(Call c) {
    return readAll(c, r -> page(c, r.tenantNames(), id -> Views.tenant(r, r.tenant(id))));
  }

  CompletableFuture<Reply> createTenant(Call c) {
    return create(c, true, d -> d.registrar.createTenant(d.at, d.who.who(), Views.tenant(c.body)), (r,
        path) -> {
      Tenant t = r.tenant(last(path));
      if (t == null) {
        throw Problem.unknown();
      }
      return created(Views.tenant(r, t), t.revision(), path);
    });
  }

  CompletableFuture<Reply> tenant(Call c, String name) {
    return read(c, (r, a) -> {
      Tenant t = tenant(r, a, name);
      return Reply.ok(Views.tenant(r, t), t.revision());
    });
  }

  /** A tenant's own administrator changes its members, operators the rest too. */
  CompletableFuture<Reply> changeTenant(Call c, String name) {
    return change(c, false, d -> {
      Tenant old = tenant(d.registry, d.who, name);
      long seen = seen(c);
      JsonNode merged = Fields.merged(Views.wish(old), c.body);
      if (!d.who.operator()) {
        c.body.fieldNames().forEachRemaining(f -> {
          if (!f.equals("members")) {
            throw new Problem(403, "forbidden", f, "only operators change this", Map.of());
          }
        });
      }
      return d.registrar.changeTenant(d.at, d.who.who(), name, seen, Views.tenant(merged));
    }, r -> Views.tenant(r, r.tenant(name)), (r, e) -> Reply.ok(Views.tenant(r, r.tenant(name)), r.tenant(
        name).revision()));
  }

  CompletableFuture<Reply> removeTenant(Call c, String name) {
    return change(c, false, d -> {
      tenant(d.registry, d.who, name);
      if (!d.who.operator()) {
        throw new Problem(403, "forbidden", null, "only operators remove tenants", Map.of());
      }
      return d.registrar.removeTenant(d.at, d.who.who(), name, seen(c));
    }, r -> Views.tenant(r, r.tenant(name)), Api::accepted);
  }

  /** Something that goes on: its task tells how far it is. */
  private static Reply accepted(Registry r, Entry e) {
    Change.Task task = null;
    for (Change c : e.changes()) {
      if (c instanceof Change.TaskPut t) {
        task = t.task();
      }
    }
    return new Reply(202, Views.task(r, task), 0, "/v1/tasks/" + task.id());
  }

  // Volumes.

  CompletableFuture<Reply> volumes(Call c, String tenant) {
    return read(c, (r, a) -> page(c, r.volumeNames(tenant(r, a, tenant).id()), id -> Views.volume(r, r.volume(
        id))));
  }

  CompletableFuture<Reply> createVolume(Call c, String tenant) {
    return create(c, false, d -> {
      tenant(d.registry, d.who, tenant);
      return d.registrar.createVolume(d.at, d.who.who(), tenant, Views.volume(c.body));
    }, (r, path) -> {
      HostedVolume v = r.tenant(tenant) == null ? null : r.volume(r.tenant(tenant).id(), last(path));
      if (v == null) {
        throw Problem.unknown();
      }
      return created(Views.volume(r, v), v.revision(), path);
    });
  }

  CompletableFuture<Reply> volume(Call c, String tenant, String name) {
    return read(c, (r, a) -> {
      HostedVolume v = volume(r, tenant(r, a, tenant), name);
      return Reply.ok(Views.volume(r, v), v.revision());
    });
  }

  CompletableFuture<Reply> changeVolume(Call c, String tenant, String name) {
    return change(c, false, d -> {
      HostedVolume old = volume(d.registry, tenant(d.registry, d.who, tenant), name);
      return d.registrar.changeVolume(d.at, d.who.who(), tenant, name, seen(c), Views.volume(Fields.merged(
          Views.wish(old), c.body)));
    }, r -> Views.volume(r, r.volume(r.tenant(tenant).id(), name)), (r, e) -> {
      HostedVolume v = r.volume(r.tenant(tenant).id(), name);
      return Reply.ok(Views.volume(r, v), v.revision());
    });
  }

  CompletableFuture<Reply> removeVolume(Call c, String tenant, String name) {
    return change(c, false, d -> {
      volume(d.registry, tenant(d.registry, d.who, tenant), name);
      return d.registrar.removeVolume(d.at, d.who.who(), tenant, name, seen(c));
    }, r -> Views.volume(r, r.volume(r.tenant(tenant).id(), name)), Api::accepted);
  }

  // Nodes.

  private static NavigableMap<String, Carrier.NodeView> sorted(Map<String, Carrier.NodeView> nodes) {
    return new java.util.TreeMap<>(nodes);
  }

  private JsonNode node(Registry r, String name) {
    Carrier.NodeView v = control.carrier().nodes().get(name);
    if (v == null) {
      throw Problem.unknown();
    }
    return Views.nodeOf(name, v, r.node(name));
  }

  CompletableFuture<Reply> nodes(Call c) {
    NavigableMap<String, String> names = new java.util.TreeMap<>();
    sorted(control.carrier().nodes()).keySet().forEach(n -> names.put(n, n));
    return readAll(c, r -> page(c, names, n -> node(r, n)));
  }

  CompletableFuture<Reply> node(Call c, String name) {
    return readAll(c, r -> Reply.ok(node(r, name), tag(node(r, name))));
  }

  /** Revision 0, of a node that nobody has said anything of, has a tag too. */
  private static long tag(JsonNode node) {
    return node.get("revision").asLong() == 0 ? Long.MIN_VALUE : node.get("revision").asLong();
  }

  CompletableFuture<Reply> changeNode(Call c, String name) {
    return change(c, true, d -> {
      node(d.registry, name);
      String state = new Fields(c.body, "", Set.of("state")).text("state");
      NodeState wanted = switch (state.toLowerCase(Locale.ROOT)) {
        case "on" -> NodeState.ON;
        case "draining" -> NodeState.DRAINING;
        default -> throw Problem.invalid("state", "must be on or draining");
      };
      return d.registrar.node(d.at, d.who.who(), name, seen(c), wanted);
    }, r -> node(r, name), (r, e) -> {
      ObjectNode n = (ObjectNode) node(r, name);
      n.put("state", r.node(name).state().name().toLowerCase(Locale.ROOT));
      return Reply.ok(n, r.node(name).revision());
    });
  }

  // Tasks, tokens, trail.

  CompletableFuture<Reply> tasks(Call c) {
    return readAll(c, r -> {
      NavigableMap<String, Change.Task> all = new java.util.TreeMap<>();
      r.tasks().values().forEach(t -> all.put(String.format("%019d", t.id()), t));
      return page(c, all, t -> Views.task(r, t));
    });
  }

  CompletableFuture<Reply> task(Call c, String id) {
    return read(c, (r, a) -> {
      Change.Task t = id.matches("[0-9]{1,18}") ? r.task(Long.parseLong(id)) : null;
      if (t == null || !a.operator() && !own(r, a, t.target())) {
        throw Problem.unknown();
      }
      return Reply.ok(Views.task(r, t), 0);
    });
  }

  private static boolean own(Registry r, Access a, String target) {
    Tenant t = r.tenant(a.tenant());
    return t != null && (target + "/").startsWith("/v1/tenants/" + t.name() + "/");
  }

  CompletableFuture<Reply> tokens(Call c) {
    return readAll(c, r -> {
      NavigableMap<String, Change.Token> all = new java.util.TreeMap<>();
      r.tokens().forEach(t -> all.put(t.id(), t));
      return page(c, all, t -> Views.token(r, t));
    });
  }

  /** The secret is in this answer and nowhere else. */
  CompletableFuture<Reply> createToken(Call c) {
    Access.Made[] made = new Access.Made[1];
    return change(c, true, d -> {
      Fields f = new Fields(c.body, "", Set.of("who", "tenant"));
      boolean tenants = c.body.hasNonNull("tenant");
      Tenant t = tenants ? d.registry.tenant(f.text("tenant")) : null;
      if (tenants && t == null) {
        throw Refusal.unknown("tenant", f.text("tenant"));
      }
      made[0] = Access.make(f.text("who"), t == null ? 0 : t.id());
      return d.registrar.putToken(d.at, d.who.who(), made[0].recorded());
    }, r -> null, (r, e) -> created(Views.token(r, made[0].recorded()).put("token", made[0].token()), 0,
        "/v1/tokens/" + made[0].recorded().id()));
  }

  CompletableFuture<Reply> removeToken(Call c, String id) {
    return change(c, true, d -> {
      if (d.registry.token(id) == null) {
        throw Problem.unknown();
      }
      return d.registrar.removeToken(d.at, d.who.who(), id);
    }, r -> null, (r, e) -> new Reply(204, null, 0, null));
  }

  CompletableFuture<Reply> audit(Call c) {
    return read(c, (r, a) -> {
      NavigableMap<String, hollyslip.tenant.Trail> all = new java.util.TreeMap<>();
      int i = 0;
      for (hollyslip.tenant.Trail t : r.trail()) {
        if (a.operator() || t.tenant() == a.tenant()) {
          all.put(String.format("%019d-%06d", t.sequence(), i++), t);
        }
      }
      return page(c, all, Views::trail);
    });
  }

  /** Who asks for events; the tenant whose alone they get, 0: all. */
  CompletableFuture<Long> listener(Call c) {
    return control.read(r -> caller(r, c).tenant());
  }

}
