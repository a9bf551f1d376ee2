package hollyslip.tenant;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hollyslip.volume.Volume;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Compares the command handler with a simple model: for any sequence of commands both accept the same ones,
 * and the recorded state always stays within quotas and capacity. */
class RegistryCommandHandlerModelTest {
  private static final long MIB = 1 << 20;
  private static final List<Shard> SHARDS = List.of(new Shard(0, "a", 300, 8 * MIB, List.of()), new Shard(1,
      "a", 300, 8 * MIB, List.of(new Shard.Range(MIB, 2 * MIB))), new Shard(2, "b", 300, 8 * MIB, List.of()));

  /** A command; {@code staleRevision}: it carries a revision that never existed. */
  record Command(int action, int tenant, int volume, int amount, boolean staleRevision) {}

  private static final class ModelVolume {
    long revision = 1;
    Phase phase = Phase.CREATING;
    double reserve;
    long mib;
  }

  private static final class ModelTenant {
    long revision = 1;
    boolean draining;
    double quota;
    final Map<String, ModelVolume> volumes = new TreeMap<>();

    double totalReserve() {
      return volumes.values().stream().mapToDouble(volumeName -> volumeName.reserve).sum();
    }
  }

  private final Map<String, ModelTenant> model = new TreeMap<>();
  private Registry registry = new Registry(SHARDS, 1);
  private long sequence;

  @Provide
  Arbitrary<List<Command>> commands() {
    return Combinators.combine(Arbitraries.integers().between(0, 7), Arbitraries.integers().between(0, 2),
        Arbitraries.integers().between(0, 2), Arbitraries.integers().between(1, 12), Arbitraries.integers()
            .between(0, 9))
        .as((verb, tenantName, volumeName, f, command) -> new Command(verb, tenantName, volumeName, f,
            command == 0))
        .list()
        .ofMaxSize(60);
  }

  @Property(tries = 300, seed = "4711", edgeCases = EdgeCasesMode.NONE)
  void registryMatchesModel(@ForAll("commands") List<Command> commands) {
    model.clear();
    registry = new Registry(SHARDS, 1);
    sequence = 0;
    apply(new RegistryCommandHandler(registry).createPlan(1, "x", new Specs.PlanSpec("p", new Terms(0, 0, 1,
        1,
        0, 0, 0))));
    for (Command command : commands) {
      execute(command);
      checkRegistry();
    }
    Registry restored = new Registry(SHARDS, registry.snapshot());
    assertEquals(registry.snapshot().tenants(), restored.snapshot().tenants());
    assertEquals(new HashSet<>(registry.snapshot().volumes()), new HashSet<>(restored.snapshot().volumes()));
    for (ShardAllocations.Allocation a : registry.allocations().allocations()) {
      assertEquals(a.reserved(), restored.allocations().allocation(a.shard.number()).reserved(), 1e-6);
      assertEquals(a.freeBytes(), restored.allocations().allocation(a.shard.number()).freeBytes());
    }
  }

  private void apply(ChangeSet e) {
    registry.apply(++sequence, e);
  }

  /** Returns whether the command handler accepts the command, and applies the result. */
  private boolean isAccepted(java.util.function.Function<RegistryCommandHandler, ChangeSet> decide) {
    try {
      ChangeSet e = decide.apply(new RegistryCommandHandler(registry));
      if (e == null) {
        return false;
      }
      apply(e);
      return true;
    } catch (CommandRejectedException r) {
      assertTrue(r.field() != null && r.getMessage() != null);
      return false;
    }
  }

  private void execute(Command command) {
    String tenantName = "t" + command.tenant;
    String volumeName = "v" + command.volume;
    ModelTenant tenant = model.get(tenantName);
    ModelVolume volume = tenant == null ? null : tenant.volumes.get(volumeName);
    long revision = command.staleRevision
        ? 999
        : tenant == null
            ? 1
            : command.action == 1 || command.action == 2
                ? tenant.revision
                : volume == null ? 1 : volume.revision;
    boolean active = tenant != null && !tenant.draining;
    switch (command.action) {
      case 0 -> {
        double others = model.values().stream().mapToDouble(x -> x.quota).sum();
        boolean accepted = tenant == null && others + command.amount * 50 <= 900;
        assertEquals(accepted, isAccepted(r -> r.createTenant(1, "x", new Specs.TenantSpec(tenantName, 1,
            new Tenant.Quota(command.amount * 50, 16 * MIB, 2), Map.of()))));
        if (accepted) {
          ModelTenant created = new ModelTenant();
          created.quota = command.amount * 50;
          model.put(tenantName, created);
        }
      }
      case 1 -> {
        double others = model.values().stream().mapToDouble(x -> x.quota).sum() - (tenant == null
            ? 0
            : tenant.quota);
        boolean accepted = active && !command.staleRevision && others + command.amount * 50 <= 900 && tenant
            .totalReserve() <= command.amount * 50;
        assertEquals(accepted, isAccepted(r -> r.changeTenant(1, "x", tenantName, revision,
            new Specs.TenantSpec(tenantName, 1, new Tenant.Quota(command.amount * 50, 16 * MIB, 2), Map
                .of()))));
        if (accepted) {
          tenant.quota = command.amount * 50;
          tenant.revision++;
        }
      }
      case 2 -> {
        boolean accepted = active && !command.staleRevision;
        assertEquals(accepted, isAccepted(r -> r.removeTenant(1, "x", tenantName, revision)));
        if (accepted) {
          tenant.draining = true;
          tenant.revision++;
          tenant.volumes.values().stream().filter(x -> x.phase != Phase.DRAINING).forEach(x -> {
            x.phase = Phase.DRAINING;
            x.revision++;
          });
          if (tenant.volumes.isEmpty()) {
            model.remove(tenantName);
          }
        }
      }
      case 3 -> create(command, tenantName, volumeName, tenant, volume, active);
      case 4 -> {
        boolean fits = volume != null && tenant.totalReserve() - volume.reserve + command.amount * 20 <= Math
            .max(tenant.quota, tenant.totalReserve());
        boolean accepted = isAccepted(r -> r.changeVolume(1, "x", tenantName, volumeName, revision,
            new Specs.VolumeSpec(volumeName, "p", new Terms.Overrides(command.amount * 20.0, null, null,
                null),
                volume == null ? MIB : volume.mib * MIB, MIB)));
        // The shards may reject what the quota allows, never the other way round.
        assertTrue(!accepted || active && volume != null && !command.staleRevision
            && volume.phase != Phase.DRAINING && fits, command + "");
        if (accepted) {
          volume.reserve = command.amount * 20;
          volume.phase = volume.phase.afterChange();
          volume.revision++;
        }
      }
      case 5 -> {
        boolean accepted = active && volume != null && !command.staleRevision
            && volume.phase != Phase.DRAINING;
        assertEquals(accepted, isAccepted(r -> r.removeVolume(1, "x", tenantName, volumeName, revision)));
        if (accepted) {
          volume.phase = Phase.DRAINING;
          volume.revision++;
        }
      }
      case 6 -> {
        boolean accepted = volume != null && (volume.phase == Phase.CREATING
            || volume.phase == Phase.CHANGING);
        assertEquals(accepted, volume != null && isAccepted(r -> r.volumeServed(1, volume(tenantName,
            volumeName))));
        if (accepted) {
          volume.phase = Phase.ACTIVE;
        }
      }
      default -> {
        boolean accepted = volume != null && volume.phase == Phase.DRAINING;
        assertEquals(accepted, volume != null && isAccepted(r -> r.volumeDrained(1, volume(tenantName,
            volumeName).id())));
        if (accepted) {
          tenant.volumes.remove(volumeName);
          if (tenant.draining && tenant.volumes.isEmpty()) {
            model.remove(tenantName);
          }
        }
      }
    }
  }

  private HostedVolume volume(String tenant, String volume) {
    return registry.volume(registry.tenant(tenant).id(), volume);
  }

  private void create(Command command, String tenantName, String volumeName, ModelTenant tenant,
      ModelVolume volume, boolean active) {
    boolean allowed = active && volume == null && tenant.volumes.size() < 2 && tenant.totalReserve()
        + command.amount * 10 <= tenant.quota && tenant.volumes.values().stream().mapToLong(x -> x.mib).sum()
            + command.amount <= 16;
    boolean accepted = isAccepted(r -> r.createVolume(1, "x", tenantName, new Specs.VolumeSpec(volumeName,
        "p",
        new Terms.Overrides(command.amount * 10.0, null, null, null), command.amount * MIB, MIB)));
    assertTrue(!accepted || allowed, command + "");
    if (accepted) {
      ModelVolume created = new ModelVolume();
      created.reserve = command.amount * 10;
      created.mib = command.amount;
      tenant.volumes.put(volumeName, created);
    } else if (allowed) {
      // Only full shards may be the reason.
      long free = registry.allocations().allocations().stream().mapToLong(a -> a.freeBytes() / MIB).sum();
      double tightest = registry.allocations()
          .allocations()
          .stream()
          .mapToDouble(ShardAllocations.Allocation::freeReserve)
          .min()
          .orElseThrow();
      assertTrue(free < command.amount || tightest < command.amount * 10, command + " with " + free
          + " MiB and " + tightest + " free");
    }
  }

  /** The registry equals the model, no shard is over-reserved, and no byte range is allocated twice. */
  private void checkRegistry() {
    assertEquals(model.keySet(), registry.tenantNames().keySet());
    Set<Volume.Extent> allocated = new HashSet<>();
    Map<Integer, Double> reservedByShard = new HashMap<>();
    model.forEach((name, tenant) -> {
      Tenant recordedTenant = registry.tenant(name);
      assertEquals(tenant.revision, recordedTenant.revision());
      assertEquals(tenant.draining, recordedTenant.phase() == Phase.DRAINING);
      assertEquals(tenant.volumes.keySet(), registry.volumeNames(recordedTenant.id()).keySet());
      assertEquals(tenant.totalReserve(), registry.totalReserve(recordedTenant.id()), 1e-6);
      tenant.volumes.forEach((volumeName, volume) -> {
        HostedVolume recordedVolume = registry.volume(recordedTenant.id(), volumeName);
        assertEquals(volume.phase, recordedVolume.phase());
        assertEquals(volume.revision, recordedVolume.revision());
        assertEquals(volume.mib, recordedVolume.extents().size());
        recordedVolume.extents().forEach(e -> {
          assertTrue(allocated.add(e), "allocated twice: " + e);
          assertTrue(e.offset() + MIB <= 8 * MIB && !(e.shard() == 1 && e.offset() == MIB), e + "");
          reservedByShard.merge(e.shard(), volume.reserve / volume.mib, Double::sum);
        });
      });
    });
    reservedByShard.forEach((shard, p) -> {
      assertTrue(p <= 300 + 1e-6, "shard " + shard + " has reserved " + p);
      assertEquals(p, registry.allocations().allocation(shard).reserved(), 1e-6);
    });
  }
}
