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

/** The registrar against a plain reference: for any commands in any order both say yes to the same ones, and
 * what is recorded always fits. */
class RegistryCommandHandlerModelTest {
  private static final long MIB = 1 << 20;
  private static final List<Shard> SHARDS = List.of(new Shard(0, "a", 300, 8 * MIB, List.of()), new Shard(1,
      "a", 300, 8 * MIB, List.of(new Shard.Range(MIB, 2 * MIB))), new Shard(2, "b", 300, 8 * MIB, List.of()));

  /** A command; {@code stale}: with a revision that was never given out. */
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
      return volumes.values().stream().mapToDouble(v -> v.reserve).sum();
    }
  }

  private final Map<String, ModelTenant> model = new TreeMap<>();
  private Registry registry = new Registry(SHARDS, 1);
  private long sequence;

  @Provide
  Arbitrary<List<Command>> commands() {
    return Combinators.combine(Arbitraries.integers().between(0, 7), Arbitraries.integers().between(0, 2),
        Arbitraries.integers().between(0, 2), Arbitraries.integers().between(1, 12), Arbitraries.integers()
            .between(0, 9)).as((verb, t, v, f, s) -> new Command(verb, t, v, f, s == 0)).list().ofMaxSize(60);
  }

  @Property(tries = 300, seed = "4711", edgeCases = EdgeCasesMode.NONE)
  void registryMatchesModel(@ForAll("commands") List<Command> steps) {
    model.clear();
    registry = new Registry(SHARDS, 1);
    sequence = 0;
    apply(new RegistryCommandHandler(registry).createPlan(1, "x", new Wish.ForPlan("p", new Terms(0, 0, 1, 1,
        0, 0,
        0))));
    for (Command s : steps) {
      execute(s);
      checkRegistry();
    }
    Registry again = new Registry(SHARDS, registry.snapshot());
    assertEquals(registry.snapshot().tenants(), again.snapshot().tenants());
    assertEquals(new HashSet<>(registry.snapshot().volumes()), new HashSet<>(again.snapshot().volumes()));
    for (ShardAllocations.Allocation a : registry.allocations().allocations()) {
      assertEquals(a.reserved(), again.allocations().allocation(a.shard.number()).reserved(), 1e-6);
      assertEquals(a.freeBytes(), again.allocations().allocation(a.shard.number()).freeBytes());
    }
  }

  private void apply(ChangeSet e) {
    registry.apply(++sequence, e);
  }

  /** Whether the registrar says yes. */
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

  private void execute(Command s) {
    String t = "t" + s.tenant;
    String v = "v" + s.volume;
    ModelTenant ten = model.get(t);
    ModelVolume vol = ten == null ? null : ten.volumes.get(v);
    long seen = s.staleRevision
        ? 999
        : ten == null ? 1 : s.action == 1 || s.action == 2 ? ten.revision : vol == null ? 1 : vol.revision;
    boolean live = ten != null && !ten.draining;
    switch (s.action) {
      case 0 -> {
        double others = model.values().stream().mapToDouble(x -> x.quota).sum();
        boolean yes = ten == null && others + s.amount * 50 <= 900;
        assertEquals(yes, isAccepted(r -> r.createTenant(1, "x", new Wish.ForTenant(t, 1, new Tenant.Quota(
            s.amount
                * 50, 16 * MIB, 2), Map.of()))));
        if (yes) {
          ModelTenant fresh = new ModelTenant();
          fresh.quota = s.amount * 50;
          model.put(t, fresh);
        }
      }
      case 1 -> {
        double others = model.values().stream().mapToDouble(x -> x.quota).sum() - (ten == null
            ? 0
            : ten.quota);
        boolean yes = live && !s.staleRevision && others + s.amount * 50 <= 900 && ten
            .totalReserve() <= s.amount * 50;
        assertEquals(yes, isAccepted(r -> r.changeTenant(1, "x", t, seen, new Wish.ForTenant(t, 1,
            new Tenant.Quota(s.amount * 50, 16 * MIB, 2), Map.of()))));
        if (yes) {
          ten.quota = s.amount * 50;
          ten.revision++;
        }
      }
      case 2 -> {
        boolean yes = live && !s.staleRevision;
        assertEquals(yes, isAccepted(r -> r.removeTenant(1, "x", t, seen)));
        if (yes) {
          ten.draining = true;
          ten.revision++;
          ten.volumes.values().stream().filter(x -> x.phase != Phase.DRAINING).forEach(x -> {
            x.phase = Phase.DRAINING;
            x.revision++;
          });
          if (ten.volumes.isEmpty()) {
            model.remove(t);
          }
        }
      }
      case 3 -> create(s, t, v, ten, vol, live);
      case 4 -> {
        boolean fits = vol != null && ten.totalReserve() - vol.reserve + s.amount * 20 <= Math.max(ten.quota,
            ten
                .totalReserve());
        boolean yes = isAccepted(r -> r.changeVolume(1, "x", t, v, seen, new Wish.ForVolume(v, "p",
            new Terms.Overrides(
                s.amount * 20.0, null, null, null), vol == null ? MIB : vol.mib * MIB, MIB)));
        // The shards may refuse what the quota allows, never the other way round.
        assertTrue(!yes || live && vol != null && !s.staleRevision && vol.phase != Phase.DRAINING && fits, s
            + "");
        if (yes) {
          vol.reserve = s.amount * 20;
          vol.phase = vol.phase.afterChange();
          vol.revision++;
        }
      }
      case 5 -> {
        boolean yes = live && vol != null && !s.staleRevision && vol.phase != Phase.DRAINING;
        assertEquals(yes, isAccepted(r -> r.removeVolume(1, "x", t, v, seen)));
        if (yes) {
          vol.phase = Phase.DRAINING;
          vol.revision++;
        }
      }
      case 6 -> {
        boolean yes = vol != null && (vol.phase == Phase.CREATING || vol.phase == Phase.CHANGING);
        assertEquals(yes, vol != null && isAccepted(r -> r.volumeServed(1, volume(t, v))));
        if (yes) {
          vol.phase = Phase.ACTIVE;
        }
      }
      default -> {
        boolean yes = vol != null && vol.phase == Phase.DRAINING;
        assertEquals(yes, vol != null && isAccepted(r -> r.volumeDrained(1, volume(t, v).id())));
        if (yes) {
          ten.volumes.remove(v);
          if (ten.draining && ten.volumes.isEmpty()) {
            model.remove(t);
          }
        }
      }
    }
  }

  private HostedVolume volume(String tenant, String volume) {
    return registry.volume(registry.tenant(tenant).id(), volume);
  }

  private void create(Command s, String t, String v, ModelTenant ten, ModelVolume vol, boolean live) {
    boolean may = live && vol == null && ten.volumes.size() < 2 && ten.totalReserve() + s.amount
        * 10 <= ten.quota
        && ten.volumes.values().stream().mapToLong(x -> x.mib).sum() + s.amount <= 16;
    boolean yes = isAccepted(r -> r.createVolume(1, "x", t, new Wish.ForVolume(v, "p", new Terms.Overrides(
        s.amount
            * 10.0, null, null, null), s.amount * MIB, MIB)));
    assertTrue(!yes || may, s + "");
    if (yes) {
      ModelVolume made = new ModelVolume();
      made.reserve = s.amount * 10;
      made.mib = s.amount;
      ten.volumes.put(v, made);
    } else if (may) {
      // Only full shards may be in the way.
      long free = registry.allocations().allocations().stream().mapToLong(a -> a.freeBytes() / MIB).sum();
      double tightest = registry.allocations()
          .allocations()
          .stream()
          .mapToDouble(ShardAllocations.Allocation::freeReserve)
          .min()
          .orElseThrow();
      assertTrue(free < s.amount || tightest < s.amount * 10, s + " with " + free + " MiB and " + tightest
          + " free");
    }
  }

  /** What is recorded is what the reference has; no shard has promised too much; no bytes are given twice. */
  private void checkRegistry() {
    assertEquals(model.keySet(), registry.tenantNames().keySet());
    Set<Volume.Extent> given = new HashSet<>();
    Map<Integer, Double> promised = new HashMap<>();
    model.forEach((name, ten) -> {
      Tenant t = registry.tenant(name);
      assertEquals(ten.revision, t.revision());
      assertEquals(ten.draining, t.phase() == Phase.DRAINING);
      assertEquals(ten.volumes.keySet(), registry.volumeNames(t.id()).keySet());
      assertEquals(ten.totalReserve(), registry.totalReserve(t.id()), 1e-6);
      ten.volumes.forEach((v, vol) -> {
        HostedVolume h = registry.volume(t.id(), v);
        assertEquals(vol.phase, h.phase());
        assertEquals(vol.revision, h.revision());
        assertEquals(vol.mib, h.extents().size());
        h.extents().forEach(e -> {
          assertTrue(given.add(e), "given twice: " + e);
          assertTrue(e.offset() + MIB <= 8 * MIB && !(e.shard() == 1 && e.offset() == MIB), e + "");
          promised.merge(e.shard(), vol.reserve / vol.mib, Double::sum);
        });
      });
    });
    promised.forEach((shard, p) -> {
      assertTrue(p <= 300 + 1e-6, "shard " + shard + " has promised " + p);
      assertEquals(p, registry.allocations().allocation(shard).reserved(), 1e-6);
    });
  }
}
