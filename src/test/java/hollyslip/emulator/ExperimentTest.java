package hollyslip.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hollyslip.load.Scenario;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Experiments and the search for scenarios that break a rule. */
class ExperimentTest {
  private static final String DAY_FILE = """
      day 1
      nodes count 2 cores 2 queue 64 base-us 500
      plan p rate 1000 reserve 500 weight 1
      volume v plan p size-mib 4 rate $rate reads 0.5
      """;

  @TempDir
  Path dir;

  private Experiment experiment(String script, String dayFile) throws IOException {
    Files.writeString(dir.resolve("x.day"), dayFile);
    return Experiment.read(Files.writeString(dir.resolve("x.star"), script));
  }

  /** Critical values of Student's t-distribution: 2.262 at nine degrees of freedom, 4.303 at two. */
  @Test
  void intervalsMatchStudentsT() {
    Estimate estimate = Estimate.of(1, 2, 3, 4, 5, 6, 7, 8, 9, 10);
    assertEquals(5.5, estimate.mean());
    assertEquals(2.262 * Math.sqrt(55 / 6.0 / 10), estimate.halfWidth(), 0.002);
    Estimate difference = Estimate.paired(new double[]{10, 20, 30}, new double[]{11, 21.5, 32});
    assertEquals(1.5, difference.mean());
    assertEquals(4.303 * 0.5 / Math.sqrt(3), difference.halfWidth(), 0.002);
    assertTrue(difference.isSignificant());
    assertFalse(Estimate.of(-1, 1).isSignificant());
    assertTrue(Double.isInfinite(Estimate.of(3).halfWidth()));
  }

  @Test
  void runsAreIndependentOfThreadsAndNotRepeated() throws Exception {
    Experiment experiment = experiment(
        "experiment(day = \"x.day\", seeds = 3)\nsweep(\"rate\", values = [100, 400])",
        DAY_FILE);
    assertEquals(2, experiment.points().size());
    List<Experiment.Run> fresh = new ArrayList<>();
    Path kept = dir.resolve("runs.jsonl");
    List<Experiment.Run> all = experiment.run(kept, 4, fresh::add);
    assertEquals(6, fresh.size());
    assertEquals(all, experiment.run(dir.resolve("other.jsonl"), 1, run -> {}));
    // The last line is truncated, as by a kill: only that run is repeated.
    String lines = Files.readString(kept);
    Files.writeString(kept, lines.substring(0, lines.length() - 20));
    fresh.clear();
    List<Experiment.Run> resumed = experiment.run(kept, 2, fresh::add);
    assertEquals(1, fresh.size());
    for (var point : experiment.points()) {
      assertEquals(Experiment.runsAt(all, point), Experiment.runsAt(resumed, point));
    }
    // The repeated run must be stored now. Appended to the truncated line, it used to be lost each time.
    fresh.clear();
    experiment.run(kept, 2, fresh::add);
    assertEquals(List.of(), fresh);
    Files.writeString(kept, "{no run}\n" + Files.readString(kept));
    String message = assertThrows(IOException.class, () -> experiment.run(kept, 1, run -> {})).getMessage();
    assertTrue(message.contains("line 1"), message);
  }

  @Test
  void errorsNameTheCause() throws IOException {
    String message = assertThrows(IllegalArgumentException.class, () -> experiment(
        "experiment(day = \"x.day\")\nsweep(\"rates\", values = [1])", DAY_FILE)).getMessage();
    assertTrue(message.contains("$rate is not swept"), message);
    message = assertThrows(IllegalArgumentException.class, () -> experiment(
        "experiment(day = \"x.day\")\nsweep(\"rate\", values = [1, -1])", DAY_FILE)).getMessage();
    assertTrue(message.contains("{rate=-1}") && message.contains("line 4"), message);
    message = assertThrows(IllegalArgumentException.class, () -> experiment("experiment(day = \n)", DAY_FILE))
        .getMessage();
    assertTrue(message.contains("x.star:2"), message);
  }

  @Test
  void scenarioRoundTripsThroughText() {
    Scenario scenario = Scenario.parse(DAY_FILE.replace("$rate", "50 shape burst period 2 swing 3")
        + "at 0.5 stall part 0.5 for 0.25\n"
        + "at 0.25 volume-burst target v size 3 for 0.5\n");
    assertEquals(scenario, Scenario.parse(scenario.toText()));
  }

  @Test
  void searchIsDeterministicAndSimplificationsAreSimpler() {
    Scenario base = Scenario.parse(DAY_FILE.replace("$rate", "200"));
    List<ScenarioSearch.Finding> once = new ScenarioSearch(base, 4).search(2, 6);
    assertEquals(once, new ScenarioSearch(base, 4).search(2, 6));
    assertEquals(12, once.size());
    Scenario worst = once.get(0).scenario();
    for (Scenario simpler : ScenarioSearch.simplifications(worst)) {
      double before = worst.seconds() + weight(worst);
      assertTrue(simpler.seconds() + weight(simpler) < before, simpler::toText);
    }
  }

  private static double weight(Scenario scenario) {
    return scenario.disturbances()
        .stream()
        .mapToDouble(disturbance -> 1 + disturbance.seconds() + disturbance.fraction())
        .sum();
  }
}
