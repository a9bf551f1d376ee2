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

/** The settings language and what is made of it. */
class SettingsTest {
  private static String resource(String name) {
    try (var in = SettingsTest.class.getResourceAsStream("/hollyslip/" + name)) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    } catch (java.io.IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  private static Loader.Loaded example(String from, String to) {
    String text = resource("example.star");
    assertTrue(text.contains(from), from);
    Map<String, String> files = Map.of("main.star", text.replace(from, to), "fleet.star", resource(
        "fleet.star"));
    return Loader.load(Script.run("main.star", files::get), Path.of("/x"));
  }

  private static String only(Loader.Loaded l) {
    assertEquals(1, l.faults().size(), l.faults().toString());
    return l.faults().get(0).toString();
  }

  private static ScriptError fails(String text) {
    return assertThrows(ScriptError.class, () -> Script.run("a.star", Map.of("a.star", text)::get));
  }

  private static String declares(String text) {
    return Script.run("a.star", Map.of("a.star", text)::get).declared().toString();
  }

  @Test
  void theExampleIsWhole() {
    Loader.Loaded l = example("index = 0", "index = 0");
    assertEquals(List.of(), l.faults());
    Deployment d = l.deployment();
    assertEquals(6, d.nodes().size());
    assertEquals(96, d.byName().get("orders").extents().size());
    assertEquals(Path.of("/x/run"), d.gateway().socketDir());
    assertNotNull(d.module());
  }

  @Test
  void everyFaultIsNamedWithItsPlace() {
    assertTrue(only(example("index = 0", "index = 3")).contains("main.star:7:1: gateway gateway-a: index 3"));
    assertTrue(only(example("effect = \"safe\", aim = ms(150)", "effect = \"odd\", aim = ms(150)")).contains(
        "request_class/0/effect"));
    assertTrue(only(example("plan = \"gold\", size", "plan = \"tin\", size")).contains(
        "\"tin\" is not declared"));
    assertEquals("main.star:49:5: volume returns: shares bytes of shard 0 with volume catalogue", example(
        "at = 8 * MiB", "at = 7 * MiB").faults().get(0).toString());
    Loader.Loaded two = example("rate = 800, reserve = 400", "rate = -1, reserve = \"many\"");
    assertEquals(2, two.faults().size(), two.faults().toString());
  }

  @Test
  void scriptsComputeWhatTheyDeclare() {
    assertEquals("{\"node\":[{\"name\":\"n-0\",\"port\":7},{\"name\":\"n-1\",\"port\":8}]}", declares(
        "def port(i, base = 7):\n  return base + i\nfor i in range(2):\n  node(\"n-%d\" % i, port = port(i))\n"));
    assertEquals("{\"node\":[{\"v\":[[1,2],{\"a\":3.5},true,\"b-c\",3,[2,4]]}]}", declares(
        "x = [1]\nx.append(2)\n"
            + "node(v = [x, {\"a\": 7 / 2}, not False, \"-\".join([\"b\", \"c\"]), 7 // 2, [i for i in range(5) if i % 2 == 0 "
            + "and i]])\n"));
    assertEquals("{\"node\":[{\"v\":\"n\"}]}", declares(
        "y = 4\nif y > 5:\n  z = 1\nelif y in [4]:\n  z = \"n\"\nelse:\n" + "  z = 0\nnode(v = z)\n"));
    assertEquals("{\"node\":[{\"v\":[6,\"x=1 {}\",{\"k\":\"b\"}]}]}", declares(
        "def f(l):\n  s = 0\n  for a, b in l:\n"
            + "    if a == 2:\n      continue\n    if a == 9:\n      break\n    s += a * b\n  return s\n"
            + "node(v = [f([(1, 2), (2, 50), (2 - 1, 4), (9, 9)]), \"x={} {{}}\".format(1), {k: v for k, v in [(\"k\", \"a\"), "
            + "(\"k\", \"b\")]}])\n"));
  }

  @Test
  void faultsOfScriptsHaveLineColumnAndCalls() {
    ScriptError e = fails("def f(x):\n  return 1 // x\n\ndef g():\n  return f(0)\ng()\n");
    assertEquals("a.star:2:12: division by zero\n  called from a.star:5:10 (f)\n  called from a.star:6:1 (g)",
        e.text());
    assertEquals("a.star:1:5: expected a value, found new line", fails("x = \n").text());
    assertEquals("a.star:3:3: indentation fits no block", fails("if True:\n    x = 1\n  y = 2\n").text());
    assertTrue(fails("x = y\n").text().contains("name y is not known"));
    assertTrue(fails("node(1)\n").text().contains("takes its name first"));
    assertTrue(fails("x = 9223372036854775807 + 1\n").text().contains("64 bits"));
    assertTrue(fails("load(\"../etc/passwd\", \"x\")\n").text()
        .contains("not the name of a neighbouring file"));
    assertTrue(fails("load(\"a.star\", \"x\")\n").text().contains("circle"));
  }

  @Test
  void noScriptRunsForEver() {
    assertTrue(fails("def f():\n  return f()\nf()\n").text().contains("calls itself"));
    assertTrue(fails("for i in range(200000):\n  for j in range(200000):\n    x = i\n").text()
        .contains("steps"));
    assertTrue(fails("x = [0]\nfor i in range(100):\n  x = x + x\n").text().contains("larger"));
    assertTrue(fails("x = \"a\" * 1000000000\n").text().contains("larger"));
    assertTrue(fails("x = " + "(".repeat(5000) + "1" + ")".repeat(5000) + "\n").text().contains("nested"));
    assertTrue(fails("x = []\nx.append(x)\nnode(v = str(x))\n").text().contains("nested"));
  }

  @Test
  void whatIsLoadedIsFrozen() {
    Map<String, String> files = Map.of("a.star", "load(\"b.star\", \"L\")\nL.append(1)\n", "b.star",
        "L = []\n");
    ScriptError e = assertThrows(ScriptError.class, () -> Script.run("a.star", files::get));
    assertEquals("a.star:2:2: the list is frozen", e.text());
  }

  /** Cut and changed anywhere, a script runs, or fails with a place; nothing else comes out and none
   * hangs. */
  @Property(tries = 400, seed = "11")
  void anyDamagedScriptFailsWithAPlace(@ForAll @IntRange(max = 5000) int at,
      @ForAll @IntRange(max = 127) char with, @ForAll boolean cut) {
    String text = resource("example.star");
    int i = at % text.length();
    String damaged = cut ? text.substring(i) : text.substring(0, i) + with + text.substring(i + 1);
    Map<String, String> files = Map.of("main.star", damaged, "fleet.star", resource("fleet.star"));
    try {
      Loader.load(Script.run("main.star", files::get), Path.of("/x"));
    } catch (ScriptError e) {
      assertNotNull(e.location());
    }
  }
}
