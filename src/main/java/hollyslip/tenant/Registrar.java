package hollyslip.tenant;

import hollyslip.HostScheduler.NodeState;
import hollyslip.tenant.Change.Task;
import hollyslip.volume.Volume;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/** Decides on commands: what is recorded, or why not. It changes nothing itself, and gives equal answers for
 * equal registries. Commands of administrators carry the revision that they have seen; {@link #ANY}: any.
 *
 * <p>
 * Admission: the sum of tenants' quotas stays within the fleet's capacity, the sum of a tenant's reserves and
 * bytes within its quota, and on each shard the reserves of the volumes, by the part of their extents there,
 * within the shard's capacity. */
public final class Registrar {
  /** Stands for any revision. */
  public static final long ANY = -1;

  /** Extents of a volume at most. */
  static final int MOST_EXTENTS = 65_536;

  /** Sums of parts are off by roundings; so much of a capacity is none. */
  private static final double ROUNDING = 1e-9;
  private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9-]{0,30}[a-z0-9])?");
  private static final int MOST_MEMBERS = 10_000;

  private final Registry registry;

  public Registrar(Registry registry) {
    this.registry = registry;
  }

  /** What it decides on; not to be changed. */
  public Registry registry() {
    return registry;
  }

  private static void name(String name, String field) {
    if (name == null || !NAME.matcher(name).matches()) {
      throw Refusal.invalid(field, field
          + " must be 1 to 32 of a-z, 0-9 and '-', beginning and ending with a letter or digit, not " + name);
    }
  }

  private static void fresh(long revision, long seen, String what) {
    if (seen != ANY && seen != revision) {
      throw new Refusal(Refusal.Kind.STALE, "If-Match", what + " is at revision " + revision + ", not "
          + seen, Map.of("revision", revision));
    }
  }

  private static void live(Phase phase, String what) {
    if (phase == Phase.DRAINING || phase == Phase.REMOVED) {
      throw Refusal.conflict("phase", what + " is being removed");
    }
  }

  // Plans.

  public Entry createPlan(long at, String who, Wish.ForPlan wish) {
    name(wish.name(), "name");
    if (registry.plan(wish.name()) != null) {
      throw Refusal.conflict("name", "plan " + wish.name() + " is there already");
    }
    return new Entry(at, who, "create plan", "/v1/plans/" + wish.name(), List.of(new Change.PlanPut(new Plan(
        wish.name(), 1, wish.terms()))));
  }

  /** A changed plan changes all volumes on it. */
  public Entry changePlan(long at, String who, String name, long seen, Terms terms) {
    Plan old = plan(name);
    fresh(old.revision(), seen, "plan " + name);
    Plan next = new Plan(name, old.revision() + 1, terms);
    List<Change> changes = new ArrayList<>();
    changes.add(new Change.PlanPut(next));
    Admission admission = new Admission();
    for (HostedVolume v : registry.volumes()) {
      if (v.plan().equals(name)) {
        admission.move(v, registry.terms(v).reserve(), v.own().over(terms).reserve());
        if (v.phase() != Phase.DRAINING) {
          changes.add(new Change.VolumePut(v.with(v.revision(), v.phase().changed())));
        }
      }
    }
    admission.check();
    return new Entry(at, who, "change plan", "/v1/plans/" + name, changes);
  }

  public Entry removePlan(long at, String who, String name, long seen) {
    Plan old = plan(name);
    fresh(old.revision(), seen, "plan " + name);
    if (registry.users(name) > 0) {
      throw Refusal.conflict("plan", registry.users(name) + " volumes are on plan " + name);
    }
    return new Entry(at, who, "remove plan", "/v1/plans/" + name, List.of(new Change.PlanGone(name)));
  }

  private Plan plan(String name) {
    Plan p = registry.plan(name);
    if (p == null) {
      throw Refusal.unknown("plan", name);
    }
    return p;
  }

  // Tenants.

  public Entry createTenant(long at, String who, Wish.ForTenant wish) {
    name(wish.name(), "name");
    if (registry.tenant(wish.name()) != null) {
      throw Refusal.conflict("name", "tenant " + wish.name() + " is there already");
    }
    Tenant t = new Tenant(registry.nextId(), wish.name(), 1, Phase.ACTIVE, weight(wish), quota(wish, 0),
        members(wish));
    return new Entry(at, who, "create tenant", path(t), List.of(new Change.TenantPut(t)));
  }

  /** A changed weight changes all volumes of the tenant. */
  public Entry changeTenant(long at, String who, String name, long seen, Wish.ForTenant wish) {
    Tenant old = tenant(name);
    fresh(old.revision(), seen, "tenant " + name);
    live(old.phase(), "tenant " + name);
    if (!name.equals(wish.name())) {
      throw Refusal.invalid("name", "a tenant's name cannot be changed");
    }
    Tenant next = new Tenant(old.id(), name, old.revision() + 1, Phase.ACTIVE, weight(wish), quota(wish, old
        .quota()
        .reserve()), members(wish));
    within(registry.promised(old.id()), next.quota().reserve(), "quota.reserve", "reserves of its volumes");
    within(registry.bytes(old.id()), next.quota().bytes(), "quota.bytes", "bytes of its volumes");
    within(registry.volumeNames(old.id()).size(), next.quota().volumes(), "quota.volumes", "volumes");
    List<Change> changes = new ArrayList<>();
    changes.add(new Change.TenantPut(next));
    if (next.weight() != old.weight() || !next.members().equals(old.members())) {
      for (HostedVolume v : volumesOf(old.id())) {
        if (v.phase() != Phase.DRAINING) {
          changes.add(new Change.VolumePut(v.with(v.revision(), v.phase().changed())));
        }
      }
    }
    return new Entry(at, who, "change tenant", path(next), changes);
  }

  /** Begins a removal: the tenant takes nothing new, its volumes are drained. */
  public Entry removeTenant(long at, String who, String name, long seen) {
    Tenant old = tenant(name);
    fresh(old.revision(), seen, "tenant " + name);
    live(old.phase(), "tenant " + name);
    Tenant next = old.with(old.revision() + 1, Phase.DRAINING);
    List<Change> changes = new ArrayList<>();
    changes.add(new Change.TenantPut(next));
    for (HostedVolume v : volumesOf(old.id())) {
      if (v.phase() != Phase.DRAINING) {
        changes.add(new Change.VolumePut(v.with(v.revision() + 1, Phase.DRAINING)));
      }
    }
    Task task = new Task(registry.nextId(), "remove tenant", path(old), at, 0);
    changes.add(new Change.TaskPut(task));
    if (volumesOf(old.id()).isEmpty()) {
      changes.add(new Change.TenantGone(old.id()));
      changes.add(new Change.TaskPut(done(task, at)));
    }
    return new Entry(at, who, "remove tenant", path(old), changes);
  }

  private static Task done(Task t, long at) {
    return new Task(t.id(), t.kind(), t.target(), t.startedAt(), Math.max(1, at));
  }

  private static double weight(Wish.ForTenant wish) {
    Terms.within(wish.weight(), 0, "weight");
    if (wish.weight() == 0) {
      throw Refusal.invalid("weight", "weight must be above 0");
    }
    return wish.weight();
  }

  private Tenant.Quota quota(Wish.ForTenant wish, double before) {
    if (wish.quota() == null) {
      throw Refusal.invalid("quota", "quota is missing");
    }
    double others = registry.quotaSum() - before;
    double capacity = registry.ledger().capacity();
    if (others + wish.quota().reserve() > capacity * (1 + ROUNDING)) {
      throw new Refusal(Refusal.Kind.NO_ROOM, "quota.reserve", "the fleet can promise " + Plain.text(capacity)
          + " units a second, of which other tenants have " + Plain.text(others), Map.of("capacity", capacity,
              "others", others, "asked", wish.quota().reserve(), "would_fit", Math.max(0, capacity
                  - others)));
    }
    return wish.quota();
  }

  private static Map<String, Long> members(Wish.ForTenant wish) {
    Map<String, Long> members = wish.members() == null ? Map.of() : wish.members();
    if (members.size() > MOST_MEMBERS) {
      throw Refusal.invalid("members", "more than " + MOST_MEMBERS + " members");
    }
    members.forEach((name, uid) -> {
      name(name, "members");
      if (uid == null || uid < 0 || uid > 0xffff_ffffL) {
        throw Refusal.invalid("members", "the user number of " + name + " must be from 0 to 4294967295");
      }
    });
    return members;
  }

  private Tenant tenant(String name) {
    Tenant t = registry.tenant(name);
    if (t == null) {
      throw Refusal.unknown("tenant", name);
    }
    return t;
  }

  private List<HostedVolume> volumesOf(long tenant) {
    return registry.volumeNames(tenant).values().stream().map(registry::volume).toList();
  }

  private static String path(Tenant t) {
    return "/v1/tenants/" + t.name();
  }

  private static String path(Tenant t, HostedVolume v) {
    return path(t) + "/volumes/" + v.name();
  }

  private static void within(double used, double bound, String field, String what) {
    if (used > bound * (1 + rounding(field))) {
      throw new Refusal(Refusal.Kind.NO_ROOM, field, field + " " + text(field, bound) + " is below the "
          + what + ", " + text(field, used), Map.of("used", used, "asked", bound));
    }
  }

  // Volumes.

  public Entry createVolume(long at, String who, String tenant, Wish.ForVolume wish) {
    Tenant t = tenant(tenant);
    live(t.phase(), "tenant " + tenant);
    name(wish.name(), "name");
    if (registry.volume(t.id(), wish.name()) != null) {
      throw Refusal.conflict("name", "volume " + wish.name() + " is there already");
    }
    Terms terms = terms(wish);
    int count = extents(wish);
    quota(t, 1, terms.reserve(), wish.bytes());
    List<Volume.Extent> placed = new Placement(registry.ledger(), terms.reserve() / count, wish.extentBytes())
        .place(count, List.of());
    registry.ledger().give(placed, wish.extentBytes());
    HostedVolume v = new HostedVolume(registry.nextId(), t.id(), wish.name(), 1, Phase.CREATING, wish.plan(),
        own(wish), wish.bytes(), wish.extentBytes(), placed);
    return new Entry(at, who, "create volume", path(t, v), List.of(new Change.VolumePut(v)));
  }

  /** Changes plan, own terms or size; a volume only grows, and what it has stays where it is. */
  public Entry changeVolume(long at, String who, String tenant, String name, long seen, Wish.ForVolume wish) {
    Tenant t = tenant(tenant);
    HostedVolume old = volume(t, name);
    fresh(old.revision(), seen, "volume " + name);
    live(old.phase(), "volume " + name);
    if (!name.equals(wish.name()) || wish.extentBytes() != old.extentBytes()) {
      throw Refusal.invalid(name.equals(wish.name()) ? "extent_bytes" : "name",
          "name and extent_bytes of a volume cannot be changed");
    }
    if (wish.bytes() < old.bytes()) {
      throw Refusal.invalid("bytes", "a volume cannot shrink; it has " + old.bytes() + " bytes");
    }
    double before = registry.terms(old).reserve();
    double after = terms(wish).reserve();
    int count = extents(wish);
    quota(t, 0, after - before, wish.bytes() - old.bytes());
    List<Volume.Extent> extents = new ArrayList<>(old.extents());
    if (count > extents.size()) {
      registry.ledger().promise(old, -before);
      try {
        List<Volume.Extent> more = new Placement(registry.ledger(), after / count, wish.extentBytes()).place(
            count - extents.size(), old.extents());
        registry.ledger().give(more, wish.extentBytes());
        extents.addAll(more);
      } finally {
        registry.ledger().promise(old, before);
      }
    }
    HostedVolume next = new HostedVolume(old.id(), t.id(), name, old.revision() + 1, old.phase().changed(),
        wish.plan(), own(wish), wish.bytes(), wish.extentBytes(), extents);
    Admission admission = new Admission();
    admission.move(old, before, 0);
    admission.move(next, 0, after);
    admission.check();
    return new Entry(at, who, "change volume", path(t, next), List.of(new Change.VolumePut(next)));
  }

  /** Begins a removal. */
  public Entry removeVolume(long at, String who, String tenant, String name, long seen) {
    Tenant t = tenant(tenant);
    HostedVolume old = volume(t, name);
    fresh(old.revision(), seen, "volume " + name);
    live(old.phase(), "volume " + name);
    return new Entry(at, who, "remove volume", path(t, old), List.of(new Change.VolumePut(old.with(old
        .revision() + 1, Phase.DRAINING)), new Change.TaskPut(new Task(registry.nextId(), "remove volume",
            path(t, old), at, 0))));
  }

  private HostedVolume volume(Tenant t, String name) {
    HostedVolume v = registry.volume(t.id(), name);
    if (v == null) {
      throw Refusal.unknown("volume", name);
    }
    return v;
  }

  private static Terms.Own own(Wish.ForVolume wish) {
    return wish.own() == null ? Terms.Own.NONE : wish.own();
  }

  /** A volume's own limit only narrows its plan's: a tenant may set it. */
  private Terms terms(Wish.ForVolume wish) {
    Terms plan = plan(wish.plan()).terms();
    Terms all = own(wish).over(plan);
    if (plan.limit() > 0 && (all.limit() <= 0 || all.limit() > plan.limit() || all.limitBurst() > plan
        .limitBurst())) {
      throw new Refusal(Refusal.Kind.INVALID, "limit", "the plan's limit cannot be widened", Map.of("limit",
          plan.limit(), "limit_burst", plan.limitBurst()));
    }
    return all;
  }

  private static int extents(Wish.ForVolume wish) {
    block(wish.bytes(), "bytes");
    block(wish.extentBytes(), "extent_bytes");
    long count = (wish.bytes() - 1) / wish.extentBytes() + 1;
    if (count > MOST_EXTENTS) {
      throw new Refusal(Refusal.Kind.INVALID, "extent_bytes", count + " extents; at most " + MOST_EXTENTS
          + " are taken", Map.of("least_extent_bytes", (wish.bytes() - 1) / MOST_EXTENTS + 1));
    }
    return (int) count;
  }

  private static void block(long bytes, String field) {
    if (bytes <= 0 || bytes % Volume.BLOCK_BYTES != 0) {
      throw Refusal.invalid(field, field + " must be a multiple of " + Volume.BLOCK_BYTES + " above 0, not "
          + bytes);
    }
  }

  private void quota(Tenant t, int volumes, double reserve, long bytes) {
    room(t, "quota.volumes", registry.volumeNames(t.id()).size(), volumes, t.quota().volumes());
    room(t, "quota.reserve", registry.promised(t.id()), reserve, t.quota().reserve());
    room(t, "quota.bytes", registry.bytes(t.id()), bytes, t.quota().bytes());
  }

  /** Bytes and counts are whole: they are not rounded. */
  private static double rounding(String field) {
    return field.endsWith("reserve") ? ROUNDING : 0;
  }

  private static String text(String field, double figure) {
    return field.endsWith("bytes") ? Plain.bytes((long) figure) : Plain.text(figure);
  }

  private static void room(Tenant t, String field, double used, double more, double most) {
    if (more > 0 && used + more > most * (1 + rounding(field))) {
      throw new Refusal(Refusal.Kind.NO_ROOM, field, "tenant " + t.name() + " may have " + text(field, most)
          + " and has " + text(field, used) + ", " + text(field, more) + " more are asked", Map.of("quota",
              most, "used", used, "asked", more, "would_fit", Math.max(0, most - used)));
    }
  }

  /** Whether reserves that move still fit the shards. */
  private final class Admission {
    private final Map<Integer, Double> moved = new HashMap<>();
    private double asked;

    void move(HostedVolume v, double from, double to) {
      asked += to - from;
      Ledger.counts(v.extents())
          .forEach((shard, n) -> moved.merge(shard, (to - from) * n / v.extents().size(), Double::sum));
    }

    /** Only what grows must fit: what a fleet that shrank has promised too much can always be lowered. */
    void check() {
      moved.forEach((shard, more) -> {
        Ledger.Account a = registry.ledger().account(shard);
        double free = a == null ? 0 : a.free();
        if (more > ROUNDING && more > free * (1 + ROUNDING) + ROUNDING) {
          throw new Refusal(Refusal.Kind.NO_ROOM, "reserve", "shard " + shard + " has " + Plain.text(free)
              + " units a second left, " + Plain.text(more) + " more are asked of it", Map.of("shard", shard,
                  "capacity", a == null ? 0.0 : a.shard.capacity(), "reserved", a == null
                      ? 0.0
                      : a.reserved(), "asked", more, "would_fit", Math.max(0, asked * free / more)));
        }
      });
    }
  }

  // Nodes.

  /** Has a node drained, or served again. */
  public Entry node(long at, String who, String node, long seen, NodeState state) {
    Change.NodePut old = registry.node(node);
    long revision = old == null ? 0 : old.revision();
    fresh(revision, seen, "node " + node);
    if (state != NodeState.ON && state != NodeState.DRAINING) {
      throw Refusal.invalid("state", "state must be on or draining");
    }
    return new Entry(at, who, state == NodeState.ON ? "undrain node" : "drain node", "/v1/nodes/" + node, List
        .of(new Change.NodePut(node, revision + 1, state)));
  }

  // Tokens and keys.

  public Entry putToken(long at, String who, Change.Token token) {
    if (token.tenant() != 0 && registry.tenant(token.tenant()) == null) {
      throw Refusal.unknown("tenant", token.tenant());
    }
    return new Entry(at, who, "create token", "/v1/tokens/" + token.id(), List.of(new Change.TokenPut(
        token)));
  }

  public Entry removeToken(long at, String who, String id) {
    if (registry.token(id) == null) {
      throw Refusal.unknown("token", id);
    }
    return new Entry(at, who, "remove token", "/v1/tokens/" + id, List.of(new Change.TokenGone(id)));
  }

  /** The same entry with the caller's key recorded. */
  public Entry under(Entry e, String key, String digest) {
    List<Change> changes = new ArrayList<>(e.changes());
    changes.add(new Change.KeyPut(key, digest, e.target(), e.at()));
    return new Entry(e.v(), e.at(), e.who(), e.what(), e.target(), changes);
  }

  /** Path of what was created under a key before; null: the key is new.
   *
   * @throws Refusal
   *           the key came with another request */
  public String done(String key, String digest) {
    Change.KeyPut k = registry.key(key);
    if (k != null && !k.digest().equals(digest)) {
      throw new Refusal(Refusal.Kind.KEY_REUSED, "Idempotency-Key",
          "the key was used for another request before", Map.of());
    }
    return k == null ? null : k.path();
  }

  // Steps of the gateway.

  /** The gateway serves a volume as recorded at the revision and terms it was told; null: it has changed
   * since, and is told again. */
  public Entry settled(long at, HostedVolume told) {
    HostedVolume v = registry.volume(told.id());
    if (v == null || !v.equals(told) || v.phase() == Phase.ACTIVE || v.phase() == Phase.DRAINING) {
      return null;
    }
    return new Entry(at, "gateway", "serve volume", path(registry.tenant(v.tenant()), v), List.of(
        new Change.VolumePut(v.with(v.revision(), Phase.ACTIVE))));
  }

  /** Nothing of a draining volume is in flight any more. With the last one its tenant goes. Null: it is gone
   * already. */
  public Entry drained(long at, long volume) {
    HostedVolume v = registry.volume(volume);
    if (v == null || v.phase() != Phase.DRAINING) {
      return null;
    }
    Tenant t = registry.tenant(v.tenant());
    List<Change> changes = new ArrayList<>();
    changes.add(new Change.VolumeGone(volume));
    end(path(t, v), at, changes);
    if (t.phase() == Phase.DRAINING && registry.volumeNames(t.id()).size() == 1) {
      changes.add(new Change.TenantGone(t.id()));
      end(path(t), at, changes);
    }
    return new Entry(at, "gateway", "removed", path(t, v), changes);
  }

  private void end(String target, long at, List<Change> changes) {
    for (Task t : registry.tasks().values()) {
      if (t.doneAt() == 0 && t.target().equals(target)) {
        changes.add(new Change.TaskPut(done(t, at)));
      }
    }
  }
}
