package hollyslip.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hollyslip.load.Day;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Experiments and the search for scenarios that break a rule. */
class ExperimentTest {
  private static final String DAY = """
      day 1
      nodes count 2 cores 2 queue 64 base-us 500
      plan p rate 1000 reserve 500 weight 1
      volume v plan p size-mib 4 rate $rate reads 0.5
      """;

  @TempDir
  Path dir;

  private Experiment experiment(String script, String day) throws IOException {
    Files.writeString(dir.resolve("x.day"), day);
    return Experiment.read(Files.writeString(dir.resolve("x.star"), script));
  }

  /** Critical values of Student's t-distribution: 2.262 at nine degrees of freedom, 4.303 at two. */
  @Test
  void intervalsAreStudents() {
    Estimate e = Estimate.of(1, 2, 3, 4, 5, 6, 7, 8, 9, 10);
    assertEquals(5.5, e.mean());
    assertEquals(2.262 * Math.sqrt(55 / 6.0 / 10), e.half(), 0.002);
    Estimate d = Estimate.paired(new double[]{10, 20, 30}, new double[]{11, 21.5, 32});
    assertEquals(1.5, d.mean());
    assertEquals(4.303 * 0.5 / Math.sqrt(3), d.half(), 0.002);
    assertTrue(d.clear());
    assertFalse(Estimate.of(-1, 1).clear());
    assertTrue(Double.isInfinite(Estimate.of(3).half()));
  }

  @Test
  void runsAreTheSameOnAnyThreadsAndNotRunTwice() throws Exception {
    Experiment x = experiment("experiment(day = \"x.day\", seeds = 3)\nsweep(\"rate\", values = [100, 400])",
        DAY);
    assertEquals(2, x.points().size());
    List<Experiment.Run> fresh = new ArrayList<>();
    Path kept = dir.resolve("runs.jsonl");
    List<Experiment.Run> all = x.run(kept, 4, fresh::add);
    assertEquals(6, fresh.size());
    assertEquals(all, x.run(dir.resolve("other.jsonl"), 1, r -> {}));
    // The last line is truncated, as by a kill: only that run is repeated.
    String lines = Files.readString(kept);
    Files.writeString(kept, lines.substring(0, lines.length() - 20));
    fresh.clear();
    List<Experiment.Run> resumed = x.run(kept, 2, fresh::add);
    assertEquals(1, fresh.size());
    for (var p : x.points()) {
      assertEquals(Experiment.of(all, p), Experiment.of(resumed, p));
    }
    // The repeated run must be stored now. Appended to the truncated line, it used to be lost each time.
    fresh.clear();
    x.run(kept, 2, fresh::add);
    assertEquals(List.of(), fresh);
    Files.writeString(kept, "{no run}\n" + Files.readString(kept));
    String said = assertThrows(IOException.class, () -> x.run(kept, 1, r -> {})).getMessage();
    assertTrue(said.contains("line 1"), said);
  }

  @Test
  void whatIsWrongIsNamed() throws IOException {
    String said = assertThrows(IllegalArgumentException.class, () -> experiment(
        "experiment(day = \"x.day\")\nsweep(\"rates\", values = [1])", DAY)).getMessage();
    assertTrue(said.contains("$rate is not swept"), said);
    said = assertThrows(IllegalArgumentException.class, () -> experiment(
        "experiment(day = \"x.day\")\nsweep(\"rate\", values = [1, -1])", DAY)).getMessage();
    assertTrue(said.contains("{rate=-1}") && said.contains("line 4"), said);
    said = assertThrows(IllegalArgumentException.class, () -> experiment("experiment(day = \n)", DAY))
        .getMessage();
    assertTrue(said.contains("x.star:2"), said);
  }

  @Test
  void aDayIsReadBackFromItsText() {
    Day day = Day.parse(DAY.replace("$rate", "50 shape burst period 2 swing 3")
        + "at 0.5 stall part 0.5 for 0.25\n"
        + "at 0.25 volume-burst target v size 3 for 0.5\n");
    assertEquals(day, Day.parse(day.text()));
  }

  @Test
  void searchesAreRepeatableAndStepsAreSimpler() {
    Day base = Day.parse(DAY.replace("$rate", "200"));
    List<BadDays.Found> once = new BadDays(base, 4).search(2, 6);
    assertEquals(once, new BadDays(base, 4).search(2, 6));
    assertEquals(12, once.size());
    Day worst = once.get(0).day();
    for (Day simpler : BadDays.simplifications(worst)) {
      double before = worst.seconds() + weight(worst);
      assertTrue(simpler.seconds() + weight(simpler) < before, simpler::text);
    }
  }

  private static double weight(Day d) {
    return d.troubles().stream().mapToDouble(t -> 1 + t.seconds() + t.fraction()).sum();
  }
}
