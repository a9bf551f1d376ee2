package hollyslip.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Tests of the script language and of loading settings. */
class SettingsTest {
  private static String resource(String name) {
    try (var in = SettingsTest.class.getResourceAsStream("/hollyslip/" + name)) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    } catch (java.io.IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  private static Loader.LoadResult loadExample(String search, String replacement) {
    String text = resource("example.star");
    assertTrue(text.contains(search), search);
    Map<String, String> files = Map.of("main.star", text.replace(search, replacement), "fleet.star", resource(
        "fleet.star"));
    return Loader.load(Script.run("main.star", files::get), Path.of("/x"));
  }

  private static String onlyFault(Loader.LoadResult loaded) {
    assertEquals(1, loaded.faults().size(), loaded.faults().toString());
    return loaded.faults().get(0).toString();
  }

  private static ScriptError runFails(String text) {
    return assertThrows(ScriptError.class, () -> Script.run("a.star", Map.of("a.star", text)::get));
  }

  private static String declarations(String text) {
    return Script.run("a.star", Map.of("a.star", text)::get).declarations().toString();
  }

  @Test
  void exampleLoadsWithoutFaults() {
    Loader.LoadResult loaded = loadExample("index = 0", "index = 0");
    assertEquals(List.of(), loaded.faults());
    Deployment deployment = loaded.deployment();
    assertEquals(6, deployment.nodes().size());
    assertEquals(96, deployment.volumesByName().get("orders").extents().size());
    assertEquals(Path.of("/x/run"), deployment.gateway().socketDir());
    assertNotNull(deployment.schedulerSettings());
  }

  @Test
  void faultsAreReportedWithTheirLocation() {
    assertTrue(onlyFault(loadExample("index = 0", "index = 3")).contains(
        "main.star:7:1: gateway gateway-a: index 3"));
    assertTrue(onlyFault(loadExample("effect = \"safe\", aim = ms(150)", "effect = \"odd\", aim = ms(150)"))
        .contains(
            "request_class/0/effect"));
    assertTrue(onlyFault(loadExample("plan = \"gold\", size", "plan = \"tin\", size")).contains(
        "\"tin\" is not declared"));
    assertEquals("main.star:49:5: volume returns: overlaps on shard 0 with volume catalogue", loadExample(
        "at = 8 * MiB", "at = 7 * MiB").faults().get(0).toString());
    Loader.LoadResult two = loadExample("rate = 800, reserve = 400", "rate = -1, reserve = \"many\"");
    assertEquals(2, two.faults().size(), two.faults().toString());
  }

  @Test
  void scriptsEvaluateTheirDeclarations() {
    assertEquals("{\"node\":[{\"name\":\"n-0\",\"port\":7},{\"name\":\"n-1\",\"port\":8}]}", declarations(
        "def port(i, base = 7):\n  return base + i\nfor i in range(2):\n  node(\"n-%d\" % i, port = port(i))\n"));
    assertEquals("{\"node\":[{\"v\":[[1,2],{\"a\":3.5},true,\"b-c\",3,[2,4]]}]}", declarations(
        "x = [1]\nx.append(2)\n"
            + "node(v = [x, {\"a\": 7 / 2}, not False, \"-\".join([\"b\", \"c\"]), 7 // 2, [i for i in range(5) if i % 2 == 0 "
            + "and i]])\n"));
    assertEquals("{\"node\":[{\"v\":\"n\"}]}", declarations(
        "y = 4\nif y > 5:\n  z = 1\nelif y in [4]:\n  z = \"n\"\nelse:\n" + "  z = 0\nnode(v = z)\n"));
    assertEquals("{\"node\":[{\"v\":[6,\"x=1 {}\",{\"k\":\"b\"}]}]}", declarations(
        "def f(l):\n  s = 0\n  for a, b in l:\n"
            + "    if a == 2:\n      continue\n    if a == 9:\n      break\n    s += a * b\n  return s\n"
            + "node(v = [f([(1, 2), (2, 50), (2 - 1, 4), (9, 9)]), \"x={} {{}}\".format(1), {k: v for k, v in [(\"k\", \"a\"), "
            + "(\"k\", \"b\")]}])\n"));
  }

  @Test
  void scriptErrorsHaveLineColumnAndCallers() {
    ScriptError e = runFails("def f(x):\n  return 1 // x\n\ndef g():\n  return f(0)\ng()\n");
    assertEquals("a.star:2:12: division by zero\n  called from a.star:5:10 (f)\n  called from a.star:6:1 (g)",
        e.text());
    assertEquals("a.star:1:5: expected a value, found new line", runFails("x = \n").text());
    assertEquals("a.star:3:3: indentation does not match any outer block", runFails(
        "if True:\n    x = 1\n  y = 2\n").text());
    assertTrue(runFails("x = y\n").text().contains("name y is not defined"));
    assertTrue(runFails("node(1)\n").text().contains("takes a name as its only positional argument"));
    assertTrue(runFails("x = 9223372036854775807 + 1\n").text().contains("64 bits"));
    assertTrue(runFails("load(\"../etc/passwd\", \"x\")\n").text()
        .contains("not the name of a file in the same directory"));
    assertTrue(runFails("load(\"a.star\", \"x\")\n").text().contains("forms a cycle"));
  }

  @Test
  void everyScriptTerminates() {
    assertTrue(runFails("def f():\n  return f()\nf()\n").text().contains("calls itself"));
    assertTrue(runFails("for i in range(200000):\n  for j in range(200000):\n    x = i\n").text()
        .contains("steps"));
    assertTrue(runFails("x = [0]\nfor i in range(100):\n  x = x + x\n").text().contains("too large"));
    assertTrue(runFails("x = \"a\" * 1000000000\n").text().contains("too large"));
    assertTrue(runFails("x = " + "(".repeat(5000) + "1" + ")".repeat(5000) + "\n").text()
        .contains("nesting is deeper"));
    assertTrue(runFails("x = []\nx.append(x)\nnode(v = str(x))\n").text().contains("nesting is too deep"));
  }

  @Test
  void loadedValuesAreFrozen() {
    Map<String, String> files = Map.of("a.star", "load(\"b.star\", \"L\")\nL.append(1)\n", "b.star",
        "L = []\n");
    ScriptError e = assertThrows(ScriptError.class, () -> Script.run("a.star", files::get));
    assertEquals("a.star:2:2: the list is frozen", e.text());
  }

  /** A script that is truncated, or has one character changed, either runs or fails with a location; no other
   * exception escapes, and none hangs. */
  @Property(tries = 400, seed = "11")
  void damagedScriptsFailWithALocation(@ForAll @IntRange(max = 5000) int position,
      @ForAll @IntRange(max = 127) char replacement, @ForAll boolean truncate) {
    String text = resource("example.star");
    int index = position % text.length();
    String damaged = truncate
        ? text.substring(index)
        : text.substring(0, index) + replacement + text.substring(index + 1);
    Map<String, String> files = Map.of("main.star", damaged, "fleet.star", resource("fleet.star"));
    try {
      Loader.load(Script.run("main.star", files::get), Path.of("/x"));
    } catch (ScriptError e) {
      assertNotNull(e.location());
    }
  }
}
