package hollyslip.tenant;

import com.fasterxml.jackson.annotation.JsonProperty;
import hollyslip.HostScheduler;
import hollyslip.tenant.Change.IdempotencyKeyPut;
import hollyslip.tenant.Change.NodeStatePut;
import hollyslip.tenant.Change.Task;
import hollyslip.tenant.Change.Token;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.Consumer;

/** The recorded state: plans, tenants, volumes, node states, tasks, tokens, idempotency keys, and the end of
 * the audit trail. It changes through {@link #apply} alone, which validates nothing: equal records give equal
 * registries. Not thread-safe. */
public final class Registry {
  /** Number of audit records kept in memory; older ones are only in the store, as long as its log keeps
   * them. */
  static final int MAX_AUDIT_RECORDS = 10_000;

  /** Numbers of idempotency keys and completed tasks kept; the oldest are dropped first. */
  static final int MAX_IDEMPOTENCY_KEYS = 10_000, MAX_TASKS = 1_000;

  /** Complete contents of a registry, for a snapshot of the store. */
  public record Snapshot(@JsonProperty("v") int version, long nextId, List<Plan> plans, List<Tenant> tenants,
      List<HostedVolume> volumes, List<NodeStatePut> nodes, List<Task> tasks, List<Token> tokens,
      List<IdempotencyKeyPut> keys, List<AuditRecord> trail) {}

  private final TreeMap<String, Plan> plans = new TreeMap<>();
  private final TreeMap<Long, Tenant> tenants = new TreeMap<>();
  private final TreeMap<String, Long> tenantNames = new TreeMap<>();
  private final Map<Long, HostedVolume> volumes = new HashMap<>();
  private final Map<Long, TreeMap<String, Long>> volumeNames = new HashMap<>();
  private final Map<String, Integer> volumesPerPlan = new HashMap<>();
  private final Map<Long, Double> totalReserve = new HashMap<>();
  private final Map<Long, Long> totalBytes = new HashMap<>();
  private final TreeMap<String, NodeStatePut> nodes = new TreeMap<>();
  private final TreeMap<Long, Task> tasks = new TreeMap<>();
  private final Map<String, Token> tokens = new LinkedHashMap<>();
  private final Map<String, IdempotencyKeyPut> keys = new LinkedHashMap<>();
  private final ArrayDeque<AuditRecord> trail = new ArrayDeque<>();
  private final ShardAllocations allocations;
  private double quotaSum;
  private long nextId;

  /** Creates an empty registry. Ids from {@code firstId} on are given to tenants, volumes and tasks. */
  public Registry(Collection<Shard> shards, long firstId) {
    allocations = new ShardAllocations(shards);
    nextId = firstId;
  }

  /** Restores a registry from a snapshot. */
  public Registry(Collection<Shard> shards, Snapshot image) {
    this(shards, image.nextId());
    image.plans().forEach(p -> plans.put(p.name(), p));
    image.tenants().forEach(this::put);
    image.volumes().forEach(this::put);
    image.nodes().forEach(n -> nodes.put(n.node(), n));
    image.tasks().forEach(t -> tasks.put(t.id(), t));
    image.tokens().forEach(t -> tokens.put(t.id(), t));
    image.keys().forEach(k -> keys.put(k.key(), k));
    trail.addAll(image.trail());
  }

  /** Returns the current contents; the values in it are immutable. */
  public Snapshot snapshot() {
    return new Snapshot(ChangeSet.FORMAT_VERSION, nextId, List.copyOf(plans.values()), List.copyOf(tenants
        .values()), List.copyOf(volumes.values()), List.copyOf(nodes.values()), List.copyOf(tasks.values()),
        List.copyOf(tokens.values()), List.copyOf(keys.values()), List.copyOf(trail));
  }

  // Queries.

  public Plan plan(String name) {
    return plans.get(name);
  }

  public NavigableMap<String, Plan> plans() {
    return plans;
  }

  public Tenant tenant(long id) {
    return tenants.get(id);
  }

  public Tenant tenant(String name) {
    Long id = tenantNames.get(name);
    return id == null ? null : tenants.get(id);
  }

  /** Ids of tenants by name. */
  public NavigableMap<String, Long> tenantNames() {
    return tenantNames;
  }

  public HostedVolume volume(long id) {
    return volumes.get(id);
  }

  public HostedVolume volume(long tenant, String name) {
    Long id = volumeNames(tenant).get(name);
    return id == null ? null : volumes.get(id);
  }

  /** Ids of a tenant's volumes by name. */
  public NavigableMap<String, Long> volumeNames(long tenant) {
    return volumeNames.getOrDefault(tenant, new TreeMap<>());
  }

  public Collection<HostedVolume> volumes() {
    return volumes.values();
  }

  public NodeStatePut node(String name) {
    return nodes.get(name);
  }

  public Collection<NodeStatePut> nodes() {
    return nodes.values();
  }

  public Task task(long id) {
    return tasks.get(id);
  }

  public NavigableMap<Long, Task> tasks() {
    return tasks;
  }

  public Collection<Token> tokens() {
    return tokens.values();
  }

  public Token token(String id) {
    return tokens.get(id);
  }

  public IdempotencyKeyPut key(String key) {
    return keys.get(key);
  }

  public Collection<AuditRecord> trail() {
    return trail;
  }

  /** Returns the terms of a volume: its plan's, with its own overrides applied. */
  public Terms terms(HostedVolume v) {
    return v.overrides().applyTo(plans.get(v.plan()).terms());
  }

  /** Returns the scheduler's event for a volume. Its tenant is the group with which it shares. */
  public HostScheduler.VolumeChanged toVolumeChanged(HostedVolume v, int hosts) {
    return new HostScheduler.VolumeChanged(v.id(), hosts, terms(v).toSchedulerPlan(v.plan()), v.tenant(),
        tenants.get(v.tenant()).weight());
  }

  /** Sum of the reserves of a tenant's volumes, units per second. */
  public double totalReserve(long tenant) {
    return totalReserve.getOrDefault(tenant, 0.0);
  }

  /** Sum of the sizes of a tenant's volumes, bytes. */
  public long totalBytes(long tenant) {
    return totalBytes.getOrDefault(tenant, 0L);
  }

  /** Number of volumes on a plan. */
  int volumesOnPlan(String plan) {
    return volumesPerPlan.getOrDefault(plan, 0);
  }

  /** Sum of the tenants' reserve quotas. */
  double quotaSum() {
    return quotaSum;
  }

  ShardAllocations allocations() {
    return allocations;
  }

  long nextId() {
    return nextId;
  }

  // Changes.

  /** Applies a recorded change set. */
  public void apply(long sequence, ChangeSet entry) {
    apply(sequence, entry, auditRecord -> {});
  }

  /** Applies a recorded change set and passes its audit records to {@code auditListener}. */
  public void apply(long sequence, ChangeSet entry, Consumer<AuditRecord> auditListener) {
    for (Change c : entry.changes()) {
      Object before = null;
      Object after = null;
      long tenant = 0;
      if (c instanceof Change.PlanPut p) {
        before = plans.get(p.plan().name());
        after = p.plan();
        put(p.plan());
      } else if (c instanceof Change.PlanRemoved p) {
        before = plans.remove(p.name());
      } else if (c instanceof Change.TenantPut t) {
        before = tenants.get(t.tenant().id());
        after = t.tenant();
        tenant = t.tenant().id();
        put(t.tenant());
      } else if (c instanceof Change.TenantRemoved t) {
        before = tenants.get(t.id());
        tenant = t.id();
        removeTenant(t.id());
      } else if (c instanceof Change.VolumePut v) {
        before = volumes.get(v.volume().id());
        after = v.volume();
        tenant = v.volume().tenant();
        put(v.volume());
      } else if (c instanceof Change.VolumeRemoved v) {
        HostedVolume removed = volumes.get(v.id());
        before = removed;
        tenant = removed.tenant();
        removeVolume(removed);
      } else if (c instanceof NodeStatePut n) {
        before = nodes.put(n.node(), n);
        after = n;
      } else {
        applyUnaudited(c);
        continue;
      }
      AuditRecord auditRecord = new AuditRecord(sequence, entry.at(), entry.who(), entry.what(), entry
          .target(), tenant, before, after);
      addAuditRecord(auditRecord);
      auditListener.accept(auditRecord);
    }
  }

  /** Applies changes that do not affect service. They add no audit record, so that the hash of a token never
   * appears in the audit trail. */
  private void applyUnaudited(Change c) {
    if (c instanceof Change.TaskPut t) {
      tasks.put(t.task().id(), t.task());
      nextId = Math.max(nextId, t.task().id() + 1);
      while (tasks.size() > MAX_TASKS && tasks.firstEntry().getValue().doneAt() > 0) {
        tasks.pollFirstEntry();
      }
    } else if (c instanceof Change.TokenPut t) {
      tokens.put(t.token().id(), t.token());
    } else if (c instanceof Change.TokenRemoved t) {
      tokens.remove(t.id());
    } else if (c instanceof IdempotencyKeyPut k) {
      keys.put(k.key(), k);
      if (keys.size() > MAX_IDEMPOTENCY_KEYS) {
        keys.remove(keys.keySet().iterator().next());
      }
    }
  }

  private void addAuditRecord(AuditRecord t) {
    trail.add(t);
    if (trail.size() > MAX_AUDIT_RECORDS) {
      trail.poll();
    }
  }

  private void put(Plan next) {
    List<HostedVolume> affected = new ArrayList<>();
    if (plans.containsKey(next.name()) && volumesOnPlan(next.name()) > 0) {
      volumes.values().stream().filter(v -> v.plan().equals(next.name())).forEach(affected::add);
    }
    affected.forEach(v -> addToTotals(v, -1));
    plans.put(next.name(), next);
    affected.forEach(v -> addToTotals(v, 1));
  }

  private void put(Tenant t) {
    Tenant old = tenants.put(t.id(), t);
    quotaSum += t.quota().reserve() - (old == null ? 0 : old.quota().reserve());
    tenantNames.put(t.name(), t.id());
    nextId = Math.max(nextId, t.id() + 1);
  }

  private void removeTenant(long id) {
    Tenant t = tenants.remove(id);
    quotaSum -= t.quota().reserve();
    tenantNames.remove(t.name());
    volumeNames.remove(id);
    totalReserve.remove(id);
    totalBytes.remove(id);
    tokens.values().removeIf(k -> k.tenant() == id);
  }

  private void put(HostedVolume v) {
    HostedVolume old = volumes.put(v.id(), v);
    if (old != null) {
      addToTotals(old, -1);
      allocations.release(old.extents(), old.extentBytes());
      volumesPerPlan.merge(old.plan(), -1, Integer::sum);
    }
    allocations.occupy(v.extents(), v.extentBytes());
    volumesPerPlan.merge(v.plan(), 1, Integer::sum);
    addToTotals(v, 1);
    volumeNames.computeIfAbsent(v.tenant(), k -> new TreeMap<>()).put(v.name(), v.id());
    nextId = Math.max(nextId, v.id() + 1);
  }

  private void removeVolume(HostedVolume v) {
    volumes.remove(v.id());
    addToTotals(v, -1);
    allocations.release(v.extents(), v.extentBytes());
    volumesPerPlan.merge(v.plan(), -1, Integer::sum);
    volumeNames.get(v.tenant()).remove(v.name());
  }

  /** Adds a volume's reserve and bytes to the totals ({@code sign} 1), or subtracts them (-1). */
  private void addToTotals(HostedVolume v, int sign) {
    double reserve = terms(v).reserve();
    allocations.addReserve(v, sign * reserve);
    totalReserve.merge(v.tenant(), sign * reserve, Double::sum);
    totalBytes.merge(v.tenant(), sign * v.bytes(), Long::sum);
  }
}
