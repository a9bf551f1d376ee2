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
 * equal registries. Commands of administrators carry the revision that they have seen; {@link #ANY_REVISION}:
 * any.
 *
 * <p>
 * Admission: the sum of tenants' quotas stays within the fleet's capacity, the sum of a tenant's reserves and
 * bytes within its quota, and on each shard the reserves of the volumes, by the part of their extents there,
 * within the shard's capacity. */
public final class RegistryCommandHandler {
  /** Stands for any revision. */
  public static final long ANY_REVISION = -1;

  /** Extents of a volume at most. */
  static final int MAX_EXTENTS = 65_536;

  /** Sums of parts are off by roundings; so much of a capacity is none. */
  private static final double ROUNDING_TOLERANCE = 1e-9;
  private static final Pattern NAME_PATTERN = Pattern.compile("[a-z0-9]([a-z0-9-]{0,30}[a-z0-9])?");
  private static final int MAX_MEMBERS = 10_000;

  private final Registry registry;

  public RegistryCommandHandler(Registry registry) {
    this.registry = registry;
  }

  /** What it decides on; not to be changed. */
  public Registry registry() {
    return registry;
  }

  private static void requireName(String name, String field) {
    if (name == null || !NAME_PATTERN.matcher(name).matches()) {
      throw CommandRejectedException.invalid(field, field
          + " must be 1 to 32 of a-z, 0-9 and '-', beginning and ending with a letter or digit, not " + name);
    }
  }

  private static void requireRevision(long revision, long seen, String what) {
    if (seen != ANY_REVISION && seen != revision) {
      throw new CommandRejectedException(CommandRejectedException.Reason.STALE, "If-Match", what
          + " is at revision " + revision + ", not "
          + seen, Map.of("revision", revision));
    }
  }

  private static void requireNotRemoving(Phase phase, String what) {
    if (phase == Phase.DRAINING || phase == Phase.REMOVED) {
      throw CommandRejectedException.conflict("phase", what + " is being removed");
    }
  }

  // Plans.

  public ChangeSet createPlan(long at, String who, Wish.ForPlan wish) {
    requireName(wish.name(), "name");
    if (registry.plan(wish.name()) != null) {
      throw CommandRejectedException.conflict("name", "plan " + wish.name() + " is there already");
    }
    return new ChangeSet(at, who, "create plan", "/v1/plans/" + wish.name(), List.of(new Change.PlanPut(
        new Plan(
            wish.name(), 1, wish.terms()))));
  }

  /** A changed plan changes all volumes on it. */
  public ChangeSet changePlan(long at, String who, String name, long seen, Terms terms) {
    Plan old = plan(name);
    requireRevision(old.revision(), seen, "plan " + name);
    Plan next = new Plan(name, old.revision() + 1, terms);
    List<Change> changes = new ArrayList<>();
    changes.add(new Change.PlanPut(next));
    ReserveCheck admission = new ReserveCheck();
    for (HostedVolume v : registry.volumes()) {
      if (v.plan().equals(name)) {
        admission.moveReserve(v, registry.terms(v).reserve(), v.overrides().applyTo(terms).reserve());
        if (v.phase() != Phase.DRAINING) {
          changes.add(new Change.VolumePut(v.withPhase(v.revision(), v.phase().afterChange())));
        }
      }
    }
    admission.check();
    return new ChangeSet(at, who, "change plan", "/v1/plans/" + name, changes);
  }

  public ChangeSet removePlan(long at, String who, String name, long seen) {
    Plan old = plan(name);
    requireRevision(old.revision(), seen, "plan " + name);
    if (registry.volumesOnPlan(name) > 0) {
      throw CommandRejectedException.conflict("plan", registry.volumesOnPlan(name) + " volumes are on plan "
          + name);
    }
    return new ChangeSet(at, who, "remove plan", "/v1/plans/" + name, List.of(new Change.PlanRemoved(name)));
  }

  private Plan plan(String name) {
    Plan p = registry.plan(name);
    if (p == null) {
      throw CommandRejectedException.unknown("plan", name);
    }
    return p;
  }

  // Tenants.

  public ChangeSet createTenant(long at, String who, Wish.ForTenant wish) {
    requireName(wish.name(), "name");
    if (registry.tenant(wish.name()) != null) {
      throw CommandRejectedException.conflict("name", "tenant " + wish.name() + " is there already");
    }
    Tenant t = new Tenant(registry.nextId(), wish.name(), 1, Phase.ACTIVE, weight(wish), quota(wish, 0),
        members(wish));
    return new ChangeSet(at, who, "create tenant", path(t), List.of(new Change.TenantPut(t)));
  }

  /** A changed weight changes all volumes of the tenant. */
  public ChangeSet changeTenant(long at, String who, String name, long seen, Wish.ForTenant wish) {
    Tenant old = tenant(name);
    requireRevision(old.revision(), seen, "tenant " + name);
    requireNotRemoving(old.phase(), "tenant " + name);
    if (!name.equals(wish.name())) {
      throw CommandRejectedException.invalid("name", "a tenant's name cannot be changed");
    }
    Tenant next = new Tenant(old.id(), name, old.revision() + 1, Phase.ACTIVE, weight(wish), quota(wish, old
        .quota()
        .reserve()), members(wish));
    requireQuotaCovers(registry.totalReserve(old.id()), next.quota().reserve(), "quota.reserve",
        "reserves of its volumes");
    requireQuotaCovers(registry.totalBytes(old.id()), next.quota().bytes(), "quota.bytes",
        "bytes of its volumes");
    requireQuotaCovers(registry.volumeNames(old.id()).size(), next.quota().volumes(), "quota.volumes",
        "volumes");
    List<Change> changes = new ArrayList<>();
    changes.add(new Change.TenantPut(next));
    if (next.weight() != old.weight() || !next.members().equals(old.members())) {
      for (HostedVolume v : volumesOf(old.id())) {
        if (v.phase() != Phase.DRAINING) {
          changes.add(new Change.VolumePut(v.withPhase(v.revision(), v.phase().afterChange())));
        }
      }
    }
    return new ChangeSet(at, who, "change tenant", path(next), changes);
  }

  /** Begins a removal: the tenant takes nothing new, its volumes are drained. */
  public ChangeSet removeTenant(long at, String who, String name, long seen) {
    Tenant old = tenant(name);
    requireRevision(old.revision(), seen, "tenant " + name);
    requireNotRemoving(old.phase(), "tenant " + name);
    Tenant next = old.withPhase(old.revision() + 1, Phase.DRAINING);
    List<Change> changes = new ArrayList<>();
    changes.add(new Change.TenantPut(next));
    for (HostedVolume v : volumesOf(old.id())) {
      if (v.phase() != Phase.DRAINING) {
        changes.add(new Change.VolumePut(v.withPhase(v.revision() + 1, Phase.DRAINING)));
      }
    }
    Task task = new Task(registry.nextId(), "remove tenant", path(old), at, 0);
    changes.add(new Change.TaskPut(task));
    if (volumesOf(old.id()).isEmpty()) {
      changes.add(new Change.TenantRemoved(old.id()));
      changes.add(new Change.TaskPut(done(task, at)));
    }
    return new ChangeSet(at, who, "remove tenant", path(old), changes);
  }

  private static Task done(Task t, long at) {
    return new Task(t.id(), t.kind(), t.target(), t.startedAt(), Math.max(1, at));
  }

  private static double weight(Wish.ForTenant wish) {
    Terms.requireInRange(wish.weight(), 0, "weight");
    if (wish.weight() == 0) {
      throw CommandRejectedException.invalid("weight", "weight must be above 0");
    }
    return wish.weight();
  }

  private Tenant.Quota quota(Wish.ForTenant wish, double before) {
    if (wish.quota() == null) {
      throw CommandRejectedException.invalid("quota", "quota is missing");
    }
    double others = registry.quotaSum() - before;
    double capacity = registry.allocations().capacity();
    if (others + wish.quota().reserve() > capacity * (1 + ROUNDING_TOLERANCE)) {
      throw new CommandRejectedException(CommandRejectedException.Reason.NO_ROOM, "quota.reserve",
          "the fleet can promise " + Plain.formatNumber(capacity)
              + " units a second, of which other tenants have " + Plain.formatNumber(others), Map.of(
                  "capacity", capacity,
                  "others", others, "asked", wish.quota().reserve(), "would_fit", Math.max(0, capacity
                      - others)));
    }
    return wish.quota();
  }

  private static Map<String, Long> members(Wish.ForTenant wish) {
    Map<String, Long> members = wish.members() == null ? Map.of() : wish.members();
    if (members.size() > MAX_MEMBERS) {
      throw CommandRejectedException.invalid("members", "more than " + MAX_MEMBERS + " members");
    }
    members.forEach((name, uid) -> {
      requireName(name, "members");
      if (uid == null || uid < 0 || uid > 0xffff_ffffL) {
        throw CommandRejectedException.invalid("members", "the user number of " + name
            + " must be from 0 to 4294967295");
      }
    });
    return members;
  }

  private Tenant tenant(String name) {
    Tenant t = registry.tenant(name);
    if (t == null) {
      throw CommandRejectedException.unknown("tenant", name);
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

  private static void requireQuotaCovers(double used, double bound, String field, String what) {
    if (used > bound * (1 + roundingTolerance(field))) {
      throw new CommandRejectedException(CommandRejectedException.Reason.NO_ROOM, field, field + " "
          + formatFigure(field, bound) + " is below the "
          + what + ", " + formatFigure(field, used), Map.of("used", used, "asked", bound));
    }
  }

  // Volumes.

  public ChangeSet createVolume(long at, String who, String tenant, Wish.ForVolume wish) {
    Tenant t = tenant(tenant);
    requireNotRemoving(t.phase(), "tenant " + tenant);
    requireName(wish.name(), "name");
    if (registry.volume(t.id(), wish.name()) != null) {
      throw CommandRejectedException.conflict("name", "volume " + wish.name() + " is there already");
    }
    Terms terms = terms(wish);
    int count = extentCount(wish);
    quota(t, 1, terms.reserve(), wish.bytes());
    List<Volume.Extent> placed = new Placement(registry.allocations(), terms.reserve() / count, wish
        .extentBytes())
        .place(count, List.of());
    registry.allocations().release(placed, wish.extentBytes());
    HostedVolume v = new HostedVolume(registry.nextId(), t.id(), wish.name(), 1, Phase.CREATING, wish.plan(),
        overrides(wish), wish.bytes(), wish.extentBytes(), placed);
    return new ChangeSet(at, who, "create volume", path(t, v), List.of(new Change.VolumePut(v)));
  }

  /** Changes plan, own terms or size; a volume only grows, and what it has stays where it is. */
  public ChangeSet changeVolume(long at, String who, String tenant, String name, long seen,
      Wish.ForVolume wish) {
    Tenant t = tenant(tenant);
    HostedVolume old = volume(t, name);
    requireRevision(old.revision(), seen, "volume " + name);
    requireNotRemoving(old.phase(), "volume " + name);
    if (!name.equals(wish.name()) || wish.extentBytes() != old.extentBytes()) {
      throw CommandRejectedException.invalid(name.equals(wish.name()) ? "extent_bytes" : "name",
          "name and extent_bytes of a volume cannot be changed");
    }
    if (wish.bytes() < old.bytes()) {
      throw CommandRejectedException.invalid("bytes", "a volume cannot shrink; it has " + old.bytes()
          + " bytes");
    }
    double before = registry.terms(old).reserve();
    double after = terms(wish).reserve();
    int count = extentCount(wish);
    quota(t, 0, after - before, wish.bytes() - old.bytes());
    List<Volume.Extent> extents = new ArrayList<>(old.extents());
    if (count > extents.size()) {
      registry.allocations().addReserve(old, -before);
      try {
        List<Volume.Extent> more = new Placement(registry.allocations(), after / count, wish.extentBytes())
            .place(
                count - extents.size(), old.extents());
        registry.allocations().release(more, wish.extentBytes());
        extents.addAll(more);
      } finally {
        registry.allocations().addReserve(old, before);
      }
    }
    HostedVolume next = new HostedVolume(old.id(), t.id(), name, old.revision() + 1, old.phase()
        .afterChange(),
        wish.plan(), overrides(wish), wish.bytes(), wish.extentBytes(), extents);
    ReserveCheck admission = new ReserveCheck();
    admission.moveReserve(old, before, 0);
    admission.moveReserve(next, 0, after);
    admission.check();
    return new ChangeSet(at, who, "change volume", path(t, next), List.of(new Change.VolumePut(next)));
  }

  /** Begins a removal. */
  public ChangeSet removeVolume(long at, String who, String tenant, String name, long seen) {
    Tenant t = tenant(tenant);
    HostedVolume old = volume(t, name);
    requireRevision(old.revision(), seen, "volume " + name);
    requireNotRemoving(old.phase(), "volume " + name);
    return new ChangeSet(at, who, "remove volume", path(t, old), List.of(new Change.VolumePut(old.withPhase(
        old
            .revision() + 1, Phase.DRAINING)), new Change.TaskPut(new Task(registry.nextId(), "remove volume",
                path(t, old), at, 0))));
  }

  private HostedVolume volume(Tenant t, String name) {
    HostedVolume v = registry.volume(t.id(), name);
    if (v == null) {
      throw CommandRejectedException.unknown("volume", name);
    }
    return v;
  }

  private static Terms.Overrides overrides(Wish.ForVolume wish) {
    return wish.overrides() == null ? Terms.Overrides.NONE : wish.overrides();
  }

  /** A volume's own limit only narrows its plan's: a tenant may set it. */
  private Terms terms(Wish.ForVolume wish) {
    Terms plan = plan(wish.plan()).terms();
    Terms all = overrides(wish).applyTo(plan);
    if (plan.limit() > 0 && (all.limit() <= 0 || all.limit() > plan.limit() || all.limitBurst() > plan
        .limitBurst())) {
      throw new CommandRejectedException(CommandRejectedException.Reason.INVALID, "limit",
          "the plan's limit cannot be widened", Map.of("limit",
              plan.limit(), "limit_burst", plan.limitBurst()));
    }
    return all;
  }

  private static int extentCount(Wish.ForVolume wish) {
    requireBlockMultiple(wish.bytes(), "bytes");
    requireBlockMultiple(wish.extentBytes(), "extent_bytes");
    long count = (wish.bytes() - 1) / wish.extentBytes() + 1;
    if (count > MAX_EXTENTS) {
      throw new CommandRejectedException(CommandRejectedException.Reason.INVALID, "extent_bytes", count
          + " extents; at most " + MAX_EXTENTS
          + " are taken", Map.of("least_extent_bytes", (wish.bytes() - 1) / MAX_EXTENTS + 1));
    }
    return (int) count;
  }

  private static void requireBlockMultiple(long bytes, String field) {
    if (bytes <= 0 || bytes % Volume.BLOCK_BYTES != 0) {
      throw CommandRejectedException.invalid(field, field + " must be a multiple of " + Volume.BLOCK_BYTES
          + " above 0, not "
          + bytes);
    }
  }

  private void quota(Tenant t, int volumes, double reserve, long bytes) {
    requireQuotaRoom(t, "quota.volumes", registry.volumeNames(t.id()).size(), volumes, t.quota().volumes());
    requireQuotaRoom(t, "quota.reserve", registry.totalReserve(t.id()), reserve, t.quota().reserve());
    requireQuotaRoom(t, "quota.bytes", registry.totalBytes(t.id()), bytes, t.quota().bytes());
  }

  /** Bytes and counts are whole: they are not rounded. */
  private static double roundingTolerance(String field) {
    return field.endsWith("reserve") ? ROUNDING_TOLERANCE : 0;
  }

  private static String formatFigure(String field, double figure) {
    return field.endsWith("bytes") ? Plain.bytes((long) figure) : Plain.formatNumber(figure);
  }

  private static void requireQuotaRoom(Tenant t, String field, double used, double more, double most) {
    if (more > 0 && used + more > most * (1 + roundingTolerance(field))) {
      throw new CommandRejectedException(CommandRejectedException.Reason.NO_ROOM, field, "tenant " + t.name()
          + " may have " + formatFigure(field, most)
          + " and has " + formatFigure(field, used) + ", " + formatFigure(field, more) + " more are asked",
          Map.of("quota",
              most, "used", used, "asked", more, "would_fit", Math.max(0, most - used)));
    }
  }

  /** Whether reserves that move still fit the shards. */
  private final class ReserveCheck {
    private final Map<Integer, Double> addedByShard = new HashMap<>();
    private double totalAdded;

    void moveReserve(HostedVolume v, double from, double to) {
      totalAdded += to - from;
      ShardAllocations.extentsPerShard(v.extents())
          .forEach((shard, n) -> addedByShard.merge(shard, (to - from) * n / v.extents().size(),
              Double::sum));
    }

    /** Only what grows must fit: what a fleet that shrank has promised too much can always be lowered. */
    void check() {
      addedByShard.forEach((shard, more) -> {
        ShardAllocations.Allocation a = registry.allocations().allocation(shard);
        double free = a == null ? 0 : a.freeReserve();
        if (more > ROUNDING_TOLERANCE && more > free * (1 + ROUNDING_TOLERANCE) + ROUNDING_TOLERANCE) {
          throw new CommandRejectedException(CommandRejectedException.Reason.NO_ROOM, "reserve", "shard "
              + shard + " has " + Plain.formatNumber(free)
              + " units a second left, " + Plain.formatNumber(more) + " more are asked of it", Map.of("shard",
                  shard,
                  "capacity", a == null ? 0.0 : a.shard.capacity(), "reserved", a == null
                      ? 0.0
                      : a.reserved(), "asked", more, "would_fit", Math.max(0, totalAdded * free / more)));
        }
      });
    }
  }

  // Nodes.

  /** Has a node drained, or served again. */
  public ChangeSet setNodeState(long at, String who, String node, long seen, NodeState state) {
    Change.NodeStatePut old = registry.node(node);
    long revision = old == null ? 0 : old.revision();
    requireRevision(revision, seen, "node " + node);
    if (state != NodeState.ON && state != NodeState.DRAINING) {
      throw CommandRejectedException.invalid("state", "state must be on or draining");
    }
    return new ChangeSet(at, who, state == NodeState.ON ? "undrain node" : "drain node", "/v1/nodes/" + node,
        List
            .of(new Change.NodeStatePut(node, revision + 1, state)));
  }

  // Tokens and keys.

  public ChangeSet putToken(long at, String who, Change.Token token) {
    if (token.tenant() != 0 && registry.tenant(token.tenant()) == null) {
      throw CommandRejectedException.unknown("tenant", token.tenant());
    }
    return new ChangeSet(at, who, "create token", "/v1/tokens/" + token.id(), List.of(new Change.TokenPut(
        token)));
  }

  public ChangeSet removeToken(long at, String who, String id) {
    if (registry.token(id) == null) {
      throw CommandRejectedException.unknown("token", id);
    }
    return new ChangeSet(at, who, "remove token", "/v1/tokens/" + id, List.of(new Change.TokenRemoved(id)));
  }

  /** The same entry with the caller's key recorded. */
  public ChangeSet withIdempotencyKey(ChangeSet e, String key, String digest) {
    List<Change> changes = new ArrayList<>(e.changes());
    changes.add(new Change.IdempotencyKeyPut(key, digest, e.target(), e.at()));
    return new ChangeSet(e.version(), e.at(), e.who(), e.what(), e.target(), changes);
  }

  /** Path of what was created under a key before; null: the key is new.
   *
   * @throws CommandRejectedException
   *           the key came with another request */
  public String done(String key, String digest) {
    Change.IdempotencyKeyPut k = registry.key(key);
    if (k != null && !k.digest().equals(digest)) {
      throw new CommandRejectedException(CommandRejectedException.Reason.KEY_REUSED, "Idempotency-Key",
          "the key was used for another request before", Map.of());
    }
    return k == null ? null : k.path();
  }

  // Steps of the gateway.

  /** The gateway serves a volume as recorded at the revision and terms it was told; null: it has changed
   * since, and is told again. */
  public ChangeSet volumeServed(long at, HostedVolume told) {
    HostedVolume v = registry.volume(told.id());
    if (v == null || !v.equals(told) || v.phase() == Phase.ACTIVE || v.phase() == Phase.DRAINING) {
      return null;
    }
    return new ChangeSet(at, "gateway", "serve volume", path(registry.tenant(v.tenant()), v), List.of(
        new Change.VolumePut(v.withPhase(v.revision(), Phase.ACTIVE))));
  }

  /** Nothing of a draining volume is in flight any more. With the last one its tenant goes. Null: it is gone
   * already. */
  public ChangeSet volumeDrained(long at, long volume) {
    HostedVolume v = registry.volume(volume);
    if (v == null || v.phase() != Phase.DRAINING) {
      return null;
    }
    Tenant t = registry.tenant(v.tenant());
    List<Change> changes = new ArrayList<>();
    changes.add(new Change.VolumeRemoved(volume));
    completeTasks(path(t, v), at, changes);
    if (t.phase() == Phase.DRAINING && registry.volumeNames(t.id()).size() == 1) {
      changes.add(new Change.TenantRemoved(t.id()));
      completeTasks(path(t), at, changes);
    }
    return new ChangeSet(at, "gateway", "removed", path(t, v), changes);
  }

  private void completeTasks(String target, long at, List<Change> changes) {
    for (Task t : registry.tasks().values()) {
      if (t.doneAt() == 0 && t.target().equals(target)) {
        changes.add(new Change.TaskPut(done(t, at)));
      }
    }
  }
}
