package hollyslip.emulator;

import hollyslip.audit.Auditor;
import hollyslip.load.Scenario;
import hollyslip.load.Scenario.Disturbance;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.IntStream;

/** Searches for scenarios that break a rule or serve the fewest requests in time: generates random
 * disturbances, mutates the worst scenarios found, and shrinks those that break a rule. Scenarios run on all
 * cores; the findings depend only on the seed. */
public final class ScenarioSearch {
  private static final int MAX_DISTURBANCES = 6;
  private static final double MIN_DURATION_S = 0.1;
  private static final List<String> KINDS = List.copyOf(new TreeSet<>(Scenario.KINDS));

  private final Scenario base;
  private final SplittableRandom random;
  private int runCount;

  /** A scenario that was run: {@code broken} are the rules that it broke, {@code inAim} is the fraction of
   * requests served within their aim. */
  public record Finding(Scenario scenario, List<Auditor.Rule> brokenRules, double inAim,
      String firstBreach) {}

  /** @param base
   *          scenario whose disturbances are replaced by generated ones */
  public ScenarioSearch(Scenario base, long seed) {
    this.base = base;
    random = new SplittableRandom(seed);
  }

  /** Number of scenarios run. */
  public int runCount() {
    return runCount;
  }

  /** Runs {@code rounds} rounds of {@code each} scenarios. Half of each round is generated, the other half
   * mutated from the worst scenarios so far. Returns all scenarios, worst first: those that broke a rule,
   * then by the fraction served in time. */
  public List<Finding> search(int rounds, int each) {
    List<Finding> all = new ArrayList<>();
    for (int round = 0; round < rounds; round++) {
      List<Scenario> scenarios = new ArrayList<>();
      for (int i = 0; i < each; i++) {
        boolean mutated = !all.isEmpty() && i % 2 == 0;
        scenarios.add(base.with(random.nextLong(1L << 40))
            .with(mutated
                ? mutate(all.get(random.nextInt(Math.min(each, all.size()))).scenario().disturbances())
                : randomDisturbances()));
      }
      all.addAll(IntStream.range(0, each).parallel().mapToObj(i -> play(scenarios.get(i))).toList());
      runCount += each;
      all.sort(Comparator.comparingInt((Finding finding) -> finding.brokenRules().isEmpty() ? 1 : 0)
          .thenComparingDouble(Finding::inAim));
    }
    return all;
  }

  private static Finding play(Scenario scenario) {
    EmulationResult result = Emulation.play(scenario);
    return new Finding(scenario, result.audit()
        .breaches()
        .stream()
        .map(Auditor.Breach::rule)
        .distinct()
        .sorted()
        .toList(), result
            .all()
            .inAim(), result.audit().breaches().isEmpty() ? "" : result.audit().breaches().get(0).toString());
  }

  /** Shrinks a finding to the smallest scenario that still breaks the first rule that {@code found} broke, by
   * removing disturbances, shortening them, reducing the fraction that they affect, and shortening the
   * load. */
  public Finding shrink(Finding found) {
    Auditor.Rule rule = found.brokenRules().get(0);
    Finding[] smallest = {found};
    Predicate<Scenario> breaks = scenario -> {
      Finding finding = play(scenario);
      runCount++;
      boolean stillBreaks = finding.brokenRules().contains(rule);
      smallest[0] = stillBreaks ? finding : smallest[0];
      return stillBreaks;
    };
    for (boolean shrunk = true; shrunk;) {
      Optional<Scenario> next = simplifications(smallest[0].scenario()).stream().filter(breaks).findFirst();
      shrunk = next.isPresent();
    }
    return smallest[0];
  }

  /** All scenarios that are one step simpler, the largest steps first. */
  static List<Scenario> simplifications(Scenario scenario) {
    List<Scenario> all = new ArrayList<>();
    List<Disturbance> disturbances = scenario.disturbances();
    for (int i = 0; i < disturbances.size(); i++) {
      List<Disturbance> fewer = new ArrayList<>(disturbances);
      fewer.remove(i);
      all.add(scenario.with(fewer));
    }
    double lastEnd = disturbances.stream()
        .mapToDouble(disturbance -> disturbance.at() + disturbance.seconds())
        .max()
        .orElse(0);
    for (double seconds : new double[]{scenario.seconds() / 2, scenario.seconds() * 0.8}) {
      if (seconds >= 1 && seconds >= lastEnd) {
        all.add(scenario.withDuration(seconds));
      }
    }
    for (int i = 0; i < disturbances.size(); i++) {
      Disturbance disturbance = disturbances.get(i);
      if (disturbance.seconds() >= 2 * MIN_DURATION_S) {
        all.add(scenario.with(withReplaced(disturbances, i, new Disturbance(disturbance.at(), disturbance
            .kind(),
            disturbance.target(), halved(disturbance.seconds()),
            disturbance.fraction(),
            disturbance
                .size()))));
      }
      if (disturbance.fraction() > 0.05) {
        all.add(scenario.with(withReplaced(disturbances, i, new Disturbance(disturbance.at(), disturbance
            .kind(),
            disturbance.target(), disturbance.seconds(), halved(
                disturbance.fraction()),
            disturbance
                .size()))));
      }
    }
    return all;
  }

  private static double halved(double x) {
    return Math.round(x * 500) / 1_000.0;
  }

  private static List<Disturbance> withReplaced(List<Disturbance> all, int i, Disturbance replacement) {
    List<Disturbance> next = new ArrayList<>(all);
    next.set(i, replacement);
    return next;
  }

  private List<Disturbance> randomDisturbances() {
    return IntStream.rangeClosed(0, random.nextInt(MAX_DISTURBANCES))
        .mapToObj(i -> randomDisturbance())
        .toList();
  }

  /** Changes, adds or removes one disturbance. */
  private List<Disturbance> mutate(List<Disturbance> original) {
    List<Disturbance> mutated = new ArrayList<>(original);
    int change = random.nextInt(3);
    if (change == 0 && mutated.size() > 1) {
      mutated.remove(random.nextInt(mutated.size()));
    } else if (change == 1 && mutated.size() < 2 * MAX_DISTURBANCES) {
      mutated.add(randomDisturbance());
    } else {
      mutated.set(random.nextInt(mutated.size()), randomDisturbance());
    }
    return mutated;
  }

  private Disturbance randomDisturbance() {
    String kind = KINDS.get(random.nextInt(KINDS.size()));
    double at = roundToTenth(random.nextDouble(base.seconds() * 0.8));
    double seconds = Math.max(MIN_DURATION_S, roundToTenth(random.nextDouble(base.seconds() / 3)));
    double fraction = Math.max(0.05, roundToTenth(random.nextDouble()));
    double size = switch (kind) {
      case "answer-lost", "fast-errors", "partition" -> Math.max(0.1, roundToTenth(random.nextDouble()));
      case "slow", "burst", "plan-burst", "volume-burst", "hot-volumes", "scan" -> 1 + roundToTenth(random
          .nextDouble(9));
      case "heavy-tail" -> 1 + roundToTenth(random.nextDouble(100));
      case "late-write" -> Math.max(0.1, roundToTenth(random.nextDouble(3)));
      default -> 1;
    };
    List<Scenario.VolumeLoad> volumes = base.volumes();
    return new Disturbance(at, kind, Scenario.LOAD_KINDS.contains(kind)
        ? volumes.get(random.nextInt(volumes.size())).volume()
        : "",
        seconds,
        fraction, size);
  }

  private static double roundToTenth(double x) {
    return Math.round(x * 10) / 10.0;
  }
}
