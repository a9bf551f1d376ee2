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
class RegistrarModelTest {
  private static final long MIB = 1 << 20;
  private static final List<Shard> SHARDS = List.of(new Shard(0, "a", 300, 8 * MIB, List.of()), new Shard(1,
      "a", 300, 8 * MIB, List.of(new Shard.Range(MIB, 2 * MIB))), new Shard(2, "b", 300, 8 * MIB, List.of()));

  /** A command; {@code stale}: with a revision that was never given out. */
  record Step(int verb, int tenant, int volume, int figure, boolean stale) {}

  private static final class Vol {
    long revision = 1;
    Phase phase = Phase.CREATING;
    double reserve;
    long mib;
  }

  private static final class Ten {
    long revision = 1;
    boolean draining;
    double quota;
    final Map<String, Vol> volumes = new TreeMap<>();

    double promised() {
      return volumes.values().stream().mapToDouble(v -> v.reserve).sum();
    }
  }

  private final Map<String, Ten> model = new TreeMap<>();
  private Registry registry = new Registry(SHARDS, 1);
  private long sequence;

  @Provide
  Arbitrary<List<Step>> steps() {
    return Combinators.combine(Arbitraries.integers().between(0, 7), Arbitraries.integers().between(0, 2),
        Arbitraries.integers().between(0, 2), Arbitraries.integers().between(1, 12), Arbitraries.integers()
            .between(0, 9)).as((verb, t, v, f, s) -> new Step(verb, t, v, f, s == 0)).list().ofMaxSize(60);
  }

  @Property(tries = 300, seed = "4711", edgeCases = EdgeCasesMode.NONE)
  void bothAgree(@ForAll("steps") List<Step> steps) {
    model.clear();
    registry = new Registry(SHARDS, 1);
    sequence = 0;
    command(new Registrar(registry).createPlan(1, "x", new Wish.ForPlan("p", new Terms(0, 0, 1, 1, 0, 0,
        0))));
    for (Step s : steps) {
      step(s);
      fits();
    }
    Registry again = new Registry(SHARDS, registry.image());
    assertEquals(registry.image().tenants(), again.image().tenants());
    assertEquals(new HashSet<>(registry.image().volumes()), new HashSet<>(again.image().volumes()));
    for (Ledger.Account a : registry.ledger().accounts()) {
      assertEquals(a.reserved(), again.ledger().account(a.shard.number()).reserved(), 1e-6);
      assertEquals(a.freeBytes(), again.ledger().account(a.shard.number()).freeBytes());
    }
  }

  private void command(Entry e) {
    registry.apply(++sequence, e);
  }

  /** Whether the registrar says yes. */
  private boolean tries(java.util.function.Function<Registrar, Entry> decide) {
    try {
      Entry e = decide.apply(new Registrar(registry));
      if (e == null) {
        return false;
      }
      command(e);
      return true;
    } catch (Refusal r) {
      assertTrue(r.field() != null && r.getMessage() != null);
      return false;
    }
  }

  private void step(Step s) {
    String t = "t" + s.tenant;
    String v = "v" + s.volume;
    Ten ten = model.get(t);
    Vol vol = ten == null ? null : ten.volumes.get(v);
    long seen = s.stale
        ? 999
        : ten == null ? 1 : s.verb == 1 || s.verb == 2 ? ten.revision : vol == null ? 1 : vol.revision;
    boolean live = ten != null && !ten.draining;
    switch (s.verb) {
      case 0 -> {
        double others = model.values().stream().mapToDouble(x -> x.quota).sum();
        boolean yes = ten == null && others + s.figure * 50 <= 900;
        assertEquals(yes, tries(r -> r.createTenant(1, "x", new Wish.ForTenant(t, 1, new Tenant.Quota(s.figure
            * 50, 16 * MIB, 2), Map.of()))));
        if (yes) {
          Ten fresh = new Ten();
          fresh.quota = s.figure * 50;
          model.put(t, fresh);
        }
      }
      case 1 -> {
        double others = model.values().stream().mapToDouble(x -> x.quota).sum() - (ten == null
            ? 0
            : ten.quota);
        boolean yes = live && !s.stale && others + s.figure * 50 <= 900 && ten.promised() <= s.figure * 50;
        assertEquals(yes, tries(r -> r.changeTenant(1, "x", t, seen, new Wish.ForTenant(t, 1,
            new Tenant.Quota(s.figure * 50, 16 * MIB, 2), Map.of()))));
        if (yes) {
          ten.quota = s.figure * 50;
          ten.revision++;
        }
      }
      case 2 -> {
        boolean yes = live && !s.stale;
        assertEquals(yes, tries(r -> r.removeTenant(1, "x", t, seen)));
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
        boolean fits = vol != null && ten.promised() - vol.reserve + s.figure * 20 <= Math.max(ten.quota, ten
            .promised());
        boolean yes = tries(r -> r.changeVolume(1, "x", t, v, seen, new Wish.ForVolume(v, "p", new Terms.Own(
            s.figure * 20.0, null, null, null), vol == null ? MIB : vol.mib * MIB, MIB)));
        // The shards may refuse what the quota allows, never the other way round.
        assertTrue(!yes || live && vol != null && !s.stale && vol.phase != Phase.DRAINING && fits, s + "");
        if (yes) {
          vol.reserve = s.figure * 20;
          vol.phase = vol.phase.changed();
          vol.revision++;
        }
      }
      case 5 -> {
        boolean yes = live && vol != null && !s.stale && vol.phase != Phase.DRAINING;
        assertEquals(yes, tries(r -> r.removeVolume(1, "x", t, v, seen)));
        if (yes) {
          vol.phase = Phase.DRAINING;
          vol.revision++;
        }
      }
      case 6 -> {
        boolean yes = vol != null && (vol.phase == Phase.CREATING || vol.phase == Phase.CHANGING);
        assertEquals(yes, vol != null && tries(r -> r.settled(1, of(t, v))));
        if (yes) {
          vol.phase = Phase.ACTIVE;
        }
      }
      default -> {
        boolean yes = vol != null && vol.phase == Phase.DRAINING;
        assertEquals(yes, vol != null && tries(r -> r.drained(1, of(t, v).id())));
        if (yes) {
          ten.volumes.remove(v);
          if (ten.draining && ten.volumes.isEmpty()) {
            model.remove(t);
          }
        }
      }
    }
  }

  private HostedVolume of(String tenant, String volume) {
    return registry.volume(registry.tenant(tenant).id(), volume);
  }

  private void create(Step s, String t, String v, Ten ten, Vol vol, boolean live) {
    boolean may = live && vol == null && ten.volumes.size() < 2 && ten.promised() + s.figure * 10 <= ten.quota
        && ten.volumes.values().stream().mapToLong(x -> x.mib).sum() + s.figure <= 16;
    boolean yes = tries(r -> r.createVolume(1, "x", t, new Wish.ForVolume(v, "p", new Terms.Own(s.figure
        * 10.0, null, null, null), s.figure * MIB, MIB)));
    assertTrue(!yes || may, s + "");
    if (yes) {
      Vol made = new Vol();
      made.reserve = s.figure * 10;
      made.mib = s.figure;
      ten.volumes.put(v, made);
    } else if (may) {
      // Only full shards may be in the way.
      long free = registry.ledger().accounts().stream().mapToLong(a -> a.freeBytes() / MIB).sum();
      double tightest = registry.ledger()
          .accounts()
          .stream()
          .mapToDouble(Ledger.Account::free)
          .min()
          .orElseThrow();
      assertTrue(free < s.figure || tightest < s.figure * 10, s + " with " + free + " MiB and " + tightest
          + " free");
    }
  }

  /** What is recorded is what the reference has; no shard has promised too much; no bytes are given twice. */
  private void fits() {
    assertEquals(model.keySet(), registry.tenantNames().keySet());
    Set<Volume.Extent> given = new HashSet<>();
    Map<Integer, Double> promised = new HashMap<>();
    model.forEach((name, ten) -> {
      Tenant t = registry.tenant(name);
      assertEquals(ten.revision, t.revision());
      assertEquals(ten.draining, t.phase() == Phase.DRAINING);
      assertEquals(ten.volumes.keySet(), registry.volumeNames(t.id()).keySet());
      assertEquals(ten.promised(), registry.promised(t.id()), 1e-6);
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
      assertEquals(p, registry.ledger().account(shard).reserved(), 1e-6);
    });
  }
}
