package hollyslip.tenant;

import hollyslip.HostScheduler.NodeState;
import hollyslip.tenant.Change.Task;
import hollyslip.volume.Volume;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/** Validates commands and returns the changes to record, or rejects them. It changes nothing itself and is
 * deterministic: equal registries give equal results. Commands of administrators carry the revision that they
 * expect, or {@link #ANY_REVISION}.
 *
 * <p>
 * Admission rules: the sum of all tenants' quotas stays within the fleet's capacity, the sum of a tenant's
 * reserves and bytes stays within its quota, and on each shard the reserves of the volumes, in proportion to
 * their extents there, stay within the shard's capacity. */
public final class RegistryCommandHandler {
  /** Matches any revision. */
  public static final long ANY_REVISION = -1;

  /** Maximum number of extents of a volume. */
  static final int MAX_EXTENTS = 65_536;

  /** Relative tolerance for rounding errors in sums of reserves. */
  private static final double ROUNDING_TOLERANCE = 1e-9;
  private static final Pattern NAME_PATTERN = Pattern.compile("[a-z0-9]([a-z0-9-]{0,30}[a-z0-9])?");
  private static final int MAX_MEMBERS = 10_000;

  private final Registry registry;

  public RegistryCommandHandler(Registry registry) {
    this.registry = registry;
  }

  /** The registry that commands are validated against; callers must not change it. */
  public Registry registry() {
    return registry;
  }

  private static void requireName(String name, String field) {
    if (name == null || !NAME_PATTERN.matcher(name).matches()) {
      throw CommandRejectedException.invalid(field, field
          + " must be 1 to 32 characters of a-z, 0-9 and '-', starting and ending with a letter or digit, not "
          + name);
    }
  }

  private static void requireRevision(long revision, long expectedRevision, String subject) {
    if (expectedRevision != ANY_REVISION && expectedRevision != revision) {
      throw new CommandRejectedException(CommandRejectedException.Reason.STALE, "If-Match", subject
          + " is at revision " + revision + ", not " + expectedRevision, Map.of("revision", revision));
    }
  }

  private static void requireNotRemoving(Phase phase, String subject) {
    if (phase == Phase.DRAINING || phase == Phase.REMOVED) {
      throw CommandRejectedException.conflict("phase", subject + " is being removed");
    }
  }

  // Plans.

  public ChangeSet createPlan(long at, String who, Specs.PlanSpec spec) {
    requireName(spec.name(), "name");
    if (registry.plan(spec.name()) != null) {
      throw CommandRejectedException.conflict("name", "plan " + spec.name() + " already exists");
    }
    return new ChangeSet(at, who, "create plan", "/v1/plans/" + spec.name(), List.of(new Change.PlanPut(
        new Plan(spec.name(), 1, spec.terms()))));
  }

  /** Changes a plan, which also changes all volumes on it. */
  public ChangeSet changePlan(long at, String who, String name, long expectedRevision, Terms terms) {
    Plan old = plan(name);
    requireRevision(old.revision(), expectedRevision, "plan " + name);
    Plan next = new Plan(name, old.revision() + 1, terms);
    List<Change> changes = new ArrayList<>();
    changes.add(new Change.PlanPut(next));
    ReserveCheck reserveCheck = new ReserveCheck();
    for (HostedVolume v : registry.volumes()) {
      if (v.plan().equals(name)) {
        reserveCheck.moveReserve(v, registry.terms(v).reserve(), v.overrides().applyTo(terms).reserve());
        if (v.phase() != Phase.DRAINING) {
          changes.add(new Change.VolumePut(v.withPhase(v.revision(), v.phase().afterChange())));
        }
      }
    }
    reserveCheck.check();
    return new ChangeSet(at, who, "change plan", "/v1/plans/" + name, changes);
  }

  public ChangeSet removePlan(long at, String who, String name, long expectedRevision) {
    Plan old = plan(name);
    requireRevision(old.revision(), expectedRevision, "plan " + name);
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

  public ChangeSet createTenant(long at, String who, Specs.TenantSpec spec) {
    requireName(spec.name(), "name");
    if (registry.tenant(spec.name()) != null) {
      throw CommandRejectedException.conflict("name", "tenant " + spec.name() + " already exists");
    }
    Tenant t = new Tenant(registry.nextId(), spec.name(), 1, Phase.ACTIVE, weight(spec), quota(spec, 0),
        members(spec));
    return new ChangeSet(at, who, "create tenant", path(t), List.of(new Change.TenantPut(t)));
  }

  /** Changes a tenant. A new weight or new members also change all volumes of the tenant. */
  public ChangeSet changeTenant(long at, String who, String name, long expectedRevision,
      Specs.TenantSpec spec) {
    Tenant old = tenant(name);
    requireRevision(old.revision(), expectedRevision, "tenant " + name);
    requireNotRemoving(old.phase(), "tenant " + name);
    if (!name.equals(spec.name())) {
      throw CommandRejectedException.invalid("name", "a tenant's name cannot be changed");
    }
    Tenant next = new Tenant(old.id(), name, old.revision() + 1, Phase.ACTIVE, weight(spec), quota(spec, old
        .quota()
        .reserve()), members(spec));
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

  /** Starts the removal of a tenant: it accepts nothing new, and its volumes are drained. */
  public ChangeSet removeTenant(long at, String who, String name, long expectedRevision) {
    Tenant old = tenant(name);
    requireRevision(old.revision(), expectedRevision, "tenant " + name);
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
      changes.add(new Change.TaskPut(completed(task, at)));
    }
    return new ChangeSet(at, who, "remove tenant", path(old), changes);
  }

  private static Task completed(Task t, long at) {
    return new Task(t.id(), t.kind(), t.target(), t.startedAt(), Math.max(1, at));
  }

  private static double weight(Specs.TenantSpec spec) {
    Terms.requireInRange(spec.weight(), 0, "weight");
    if (spec.weight() == 0) {
      throw CommandRejectedException.invalid("weight", "weight must be above 0");
    }
    return spec.weight();
  }

  private Tenant.Quota quota(Specs.TenantSpec spec, double before) {
    if (spec.quota() == null) {
      throw CommandRejectedException.invalid("quota", "quota is missing");
    }
    double quotaOfOthers = registry.quotaSum() - before;
    double capacity = registry.allocations().capacity();
    if (quotaOfOthers + spec.quota().reserve() > capacity * (1 + ROUNDING_TOLERANCE)) {
      throw new CommandRejectedException(CommandRejectedException.Reason.NO_ROOM, "quota.reserve",
          "the fleet can reserve " + NumberFormatter.formatNumber(capacity)
              + " units per second, of which other tenants have " + NumberFormatter.formatNumber(
                  quotaOfOthers), Map.of(
                      "capacity", capacity, "others", quotaOfOthers, "asked", spec.quota().reserve(),
                      "would_fit",
                      Math.max(0, capacity - quotaOfOthers)));
    }
    return spec.quota();
  }

  private static Map<String, Long> members(Specs.TenantSpec spec) {
    Map<String, Long> members = spec.members() == null ? Map.of() : spec.members();
    if (members.size() > MAX_MEMBERS) {
      throw CommandRejectedException.invalid("members", "more than " + MAX_MEMBERS + " members");
    }
    members.forEach((name, uid) -> {
      requireName(name, "members");
      if (uid == null || uid < 0 || uid > 0xffff_ffffL) {
        throw CommandRejectedException.invalid("members", "the user id of " + name
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

  private static void requireQuotaCovers(double used, double bound, String field, String subject) {
    if (used > bound * (1 + roundingTolerance(field))) {
      throw new CommandRejectedException(CommandRejectedException.Reason.NO_ROOM, field, field + " "
          + formatFigure(field, bound) + " is below the " + subject + ", " + formatFigure(field, used), Map
              .of("used", used, "asked", bound));
    }
  }

  // Volumes.

  public ChangeSet createVolume(long at, String who, String tenant, Specs.VolumeSpec spec) {
    Tenant t = tenant(tenant);
    requireNotRemoving(t.phase(), "tenant " + tenant);
    requireName(spec.name(), "name");
    if (registry.volume(t.id(), spec.name()) != null) {
      throw CommandRejectedException.conflict("name", "volume " + spec.name() + " already exists");
    }
    Terms terms = terms(spec);
    int count = extentCount(spec);
    quota(t, 1, terms.reserve(), spec.bytes());
    List<Volume.Extent> placed = new Placement(registry.allocations(), terms.reserve() / count, spec
        .extentBytes()).place(count, List.of());
    registry.allocations().release(placed, spec.extentBytes());
    HostedVolume v = new HostedVolume(registry.nextId(), t.id(), spec.name(), 1, Phase.CREATING, spec.plan(),
        overrides(spec), spec.bytes(), spec.extentBytes(), placed);
    return new ChangeSet(at, who, "create volume", path(t, v), List.of(new Change.VolumePut(v)));
  }

  /** Changes a volume's plan, overrides or size. A volume can only grow, and its extents stay where they
   * are. */
  public ChangeSet changeVolume(long at, String who, String tenant, String name, long expectedRevision,
      Specs.VolumeSpec spec) {
    Tenant t = tenant(tenant);
    HostedVolume old = volume(t, name);
    requireRevision(old.revision(), expectedRevision, "volume " + name);
    requireNotRemoving(old.phase(), "volume " + name);
    if (!name.equals(spec.name()) || spec.extentBytes() != old.extentBytes()) {
      throw CommandRejectedException.invalid(name.equals(spec.name()) ? "extent_bytes" : "name",
          "name and extent_bytes of a volume cannot be changed");
    }
    if (spec.bytes() < old.bytes()) {
      throw CommandRejectedException.invalid("bytes", "a volume cannot shrink; it has " + old.bytes()
          + " bytes");
    }
    double before = registry.terms(old).reserve();
    double after = terms(spec).reserve();
    int count = extentCount(spec);
    quota(t, 0, after - before, spec.bytes() - old.bytes());
    List<Volume.Extent> extents = new ArrayList<>(old.extents());
    if (count > extents.size()) {
      registry.allocations().addReserve(old, -before);
      try {
        List<Volume.Extent> added = new Placement(registry.allocations(), after / count, spec.extentBytes())
            .place(count - extents.size(), old.extents());
        registry.allocations().release(added, spec.extentBytes());
        extents.addAll(added);
      } finally {
        registry.allocations().addReserve(old, before);
      }
    }
    HostedVolume next = new HostedVolume(old.id(), t.id(), name, old.revision() + 1, old.phase()
        .afterChange(), spec.plan(), overrides(spec), spec.bytes(), spec.extentBytes(), extents);
    ReserveCheck reserveCheck = new ReserveCheck();
    reserveCheck.moveReserve(old, before, 0);
    reserveCheck.moveReserve(next, 0, after);
    reserveCheck.check();
    return new ChangeSet(at, who, "change volume", path(t, next), List.of(new Change.VolumePut(next)));
  }

  /** Starts the removal of a volume. */
  public ChangeSet removeVolume(long at, String who, String tenant, String name, long expectedRevision) {
    Tenant t = tenant(tenant);
    HostedVolume old = volume(t, name);
    requireRevision(old.revision(), expectedRevision, "volume " + name);
    requireNotRemoving(old.phase(), "volume " + name);
    return new ChangeSet(at, who, "remove volume", path(t, old), List.of(new Change.VolumePut(old.withPhase(
        old.revision() + 1, Phase.DRAINING)), new Change.TaskPut(new Task(registry.nextId(), "remove volume",
            path(t, old), at, 0))));
  }

  private HostedVolume volume(Tenant t, String name) {
    HostedVolume v = registry.volume(t.id(), name);
    if (v == null) {
      throw CommandRejectedException.unknown("volume", name);
    }
    return v;
  }

  private static Terms.Overrides overrides(Specs.VolumeSpec spec) {
    return spec.overrides() == null ? Terms.Overrides.NONE : spec.overrides();
  }

  /** Returns the terms of a volume. Its own limit may only be stricter than its plan's, since tenants may set
   * it. */
  private Terms terms(Specs.VolumeSpec spec) {
    Terms plan = plan(spec.plan()).terms();
    Terms effective = overrides(spec).applyTo(plan);
    if (plan.limit() > 0 && (effective.limit() <= 0 || effective.limit() > plan.limit() || effective
        .limitBurst() > plan.limitBurst())) {
      throw new CommandRejectedException(CommandRejectedException.Reason.INVALID, "limit",
          "the plan's limit cannot be raised", Map.of("limit", plan.limit(), "limit_burst", plan
              .limitBurst()));
    }
    return effective;
  }

  private static int extentCount(Specs.VolumeSpec spec) {
    requireBlockMultiple(spec.bytes(), "bytes");
    requireBlockMultiple(spec.extentBytes(), "extent_bytes");
    long count = (spec.bytes() - 1) / spec.extentBytes() + 1;
    if (count > MAX_EXTENTS) {
      throw new CommandRejectedException(CommandRejectedException.Reason.INVALID, "extent_bytes", count
          + " extents; at most " + MAX_EXTENTS + " are allowed", Map.of("least_extent_bytes", (spec.bytes()
              - 1) / MAX_EXTENTS + 1));
    }
    return (int) count;
  }

  private static void requireBlockMultiple(long bytes, String field) {
    if (bytes <= 0 || bytes % Volume.BLOCK_BYTES != 0) {
      throw CommandRejectedException.invalid(field, field + " must be a multiple of " + Volume.BLOCK_BYTES
          + " above 0, not " + bytes);
    }
  }

  private void quota(Tenant t, int volumes, double reserve, long bytes) {
    requireQuotaRoom(t, "quota.volumes", registry.volumeNames(t.id()).size(), volumes, t.quota().volumes());
    requireQuotaRoom(t, "quota.reserve", registry.totalReserve(t.id()), reserve, t.quota().reserve());
    requireQuotaRoom(t, "quota.bytes", registry.totalBytes(t.id()), bytes, t.quota().bytes());
  }

  /** Bytes and counts are whole numbers and need no tolerance. */
  private static double roundingTolerance(String field) {
    return field.endsWith("reserve") ? ROUNDING_TOLERANCE : 0;
  }

  private static String formatFigure(String field, double figure) {
    return field.endsWith("bytes")
        ? NumberFormatter.formatBytes((long) figure)
        : NumberFormatter.formatNumber(figure);
  }

  private static void requireQuotaRoom(Tenant t, String field, double used, double added, double limit) {
    if (added > 0 && used + added > limit * (1 + roundingTolerance(field))) {
      throw new CommandRejectedException(CommandRejectedException.Reason.NO_ROOM, field, "tenant " + t.name()
          + " may have " + formatFigure(field, limit) + " and has " + formatFigure(field, used) + ", "
          + formatFigure(field, added) + " more are requested", Map.of("quota", limit, "used", used, "asked",
              added, "would_fit", Math.max(0, limit - used)));
    }
  }

  /** Checks that changed reserves still fit on the shards. */
  private final class ReserveCheck {
    private final Map<Integer, Double> addedByShard = new HashMap<>();
    private double totalAdded;

    void moveReserve(HostedVolume v, double from, double to) {
      totalAdded += to - from;
      ShardAllocations.extentsPerShard(v.extents())
          .forEach((shard, n) -> addedByShard.merge(shard, (to - from) * n / v.extents().size(),
              Double::sum));
    }

    /** Only increases must fit: on a fleet that shrank below the reserves, they can still be lowered. */
    void check() {
      addedByShard.forEach((shard, added) -> {
        ShardAllocations.Allocation a = registry.allocations().allocation(shard);
        double free = a == null ? 0 : a.freeReserve();
        if (added > ROUNDING_TOLERANCE && added > free * (1 + ROUNDING_TOLERANCE) + ROUNDING_TOLERANCE) {
          throw new CommandRejectedException(CommandRejectedException.Reason.NO_ROOM, "reserve", "shard "
              + shard + " has " + NumberFormatter.formatNumber(free) + " units per second left, "
              + NumberFormatter.formatNumber(
                  added) + " more are requested", Map.of("shard", shard, "capacity", a == null
                      ? 0.0
                      : a.shard.capacity(), "reserved", a == null ? 0.0 : a.reserved(), "asked", added,
                      "would_fit", Math.max(0, totalAdded * free / added)));
        }
      });
    }
  }

  // Nodes.

  /** Drains a node or puts it back into service. */
  public ChangeSet setNodeState(long at, String who, String node, long expectedRevision, NodeState state) {
    Change.NodeStatePut old = registry.node(node);
    long revision = old == null ? 0 : old.revision();
    requireRevision(revision, expectedRevision, "node " + node);
    if (state != NodeState.ON && state != NodeState.DRAINING) {
      throw CommandRejectedException.invalid("state", "state must be on or draining");
    }
    return new ChangeSet(at, who, state == NodeState.ON ? "undrain node" : "drain node", "/v1/nodes/" + node,
        List.of(new Change.NodeStatePut(node, revision + 1, state)));
  }

  // Tokens and keys.

  public ChangeSet createToken(long at, String who, Change.Token token) {
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

  /** Returns the change set with the caller's idempotency key added. */
  public ChangeSet withIdempotencyKey(ChangeSet e, String key, String digest) {
    List<Change> changes = new ArrayList<>(e.changes());
    changes.add(new Change.IdempotencyKeyPut(key, digest, e.target(), e.at()));
    return new ChangeSet(e.version(), e.at(), e.who(), e.what(), e.target(), changes);
  }

  /** Returns the path of the resource created under an idempotency key, or null if the key is new.
   *
   * @throws CommandRejectedException
   *           the key was used for a different request */
  public String findCreatedPath(String key, String digest) {
    Change.IdempotencyKeyPut k = registry.key(key);
    if (k != null && !k.digest().equals(digest)) {
      throw new CommandRejectedException(CommandRejectedException.Reason.KEY_REUSED, "Idempotency-Key",
          "the idempotency key was used for a different request", Map.of());
    }
    return k == null ? null : k.path();
  }

  // Steps of the gateway itself.

  /** Marks a volume as served as recorded. Returns null if it has changed since the gateway was told of it;
   * the gateway is then told again. */
  public ChangeSet volumeServed(long at, HostedVolume served) {
    HostedVolume v = registry.volume(served.id());
    if (v == null || !v.equals(served) || v.phase() == Phase.ACTIVE || v.phase() == Phase.DRAINING) {
      return null;
    }
    return new ChangeSet(at, "gateway", "serve volume", path(registry.tenant(v.tenant()), v), List.of(
        new Change.VolumePut(v.withPhase(v.revision(), Phase.ACTIVE))));
  }

  /** Removes a drained volume, which has no requests in flight any more. With the last volume of a tenant
   * that is being removed, the tenant goes too. Returns null if the volume is gone already. */
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
        changes.add(new Change.TaskPut(completed(t, at)));
      }
    }
  }
}
