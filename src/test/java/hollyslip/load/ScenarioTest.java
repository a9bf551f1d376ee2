package hollyslip.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Parsing of day files, and a short scenario played over sockets. */
class ScenarioTest {
  private static final String SHORT = """
      day 5
      seed 3
      gateways 2
      lanes 2
      nodes count 3 cores 4 queue 32 base-us 800
      plan gold rate 400 reserve 200 weight 2
      plan capped rate 200 reserve 50 weight 1 limit 500 limit-burst 100 limit-slack 20
      volume a plan gold rate 80 size-mib 6
      volume b plan capped rate 60 size-mib 6 reads 0.4
      at 1 vanish target store-1 for 1.5
      at 1.2 answer-lost part 0.4 size 0.2 for 1
      at 2 gateway-crash for 0.5
      at 3.2 drain part 0.7 for 1
      at 3.4 volume-burst target b size 5 for 1
      """;

  private static String parseError(String text) {
    return assertThrows(Scenario.ParseException.class, () -> Scenario.parse(text)).getMessage();
  }

  @Test
  void errorsNameTheLine() {
    assertEquals(5, Scenario.parse(SHORT).disturbances().size());
    assertEquals("line 2: unknown keyword 'wether'", parseError("day 5\nwether bad\n"));
    assertTrue(parseError("at 5 flood\n").startsWith("line 1: unknown disturbance 'flood'"));
    assertTrue(parseError("nodes count many\n").startsWith(
        "line 1: nodes: expected a number, found 'many'"));
    assertTrue(parseError("day 5\nvolume a plan gold rate 5\n").contains("plan gold is not declared"));
    assertTrue(parseError("day 5\n").contains("no volume"));
    assertTrue(parseError("plan p rate\n").contains("found 'end of line'"));
  }

  @Test
  @Timeout(value = 90, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
  void shortScenarioKeepsAllRules(@TempDir Path dir) throws Exception {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ScenarioRunner.Result result = new ScenarioRunner(Scenario.parse(SHORT), dir, new PrintStream(out),
        500_000).play();
    assertTrue(result.isClean(), result.audit().breaches() + " " + result.wrongReads() + " " + out);
    assertTrue(result.audit().checked().values().stream().mapToLong(n -> n).sum() > 500, result.audit()
        .checked()
        .toString());
  }
}
