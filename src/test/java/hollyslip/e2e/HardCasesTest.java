package hollyslip.e2e;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hollyslip.HostScheduler.NodeState;
import hollyslip.audit.Asked;
import hollyslip.audit.Auditor.Rule;
import hollyslip.audit.Told;
import hollyslip.cli.Gateway;
import hollyslip.engine.Engine;
import hollyslip.load.RingLoad;
import hollyslip.standin.DiskServer;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The hard cases of a running gateway, each over real rings and sockets, judged by the audit. */
@Timeout(120)
class HardCasesTest {
  @TempDir
  Path dir;

  private static void until(java.util.concurrent.Callable<Boolean> what) {
    Awaitility.await().pollInterval(5, TimeUnit.MILLISECONDS).atMost(60, TimeUnit.SECONDS).until(what);
  }

  /** Clients leave while a stand-in sits on its answers, and another is declared draining mid-burst. */
  @Test
  void tenThousandRequestsOneAnswerEachNoneToTheDrainedNode() throws Exception {
    try (Site site = new Site(dir, 4, i -> DiskServer.Config.timed("disk-" + i, Site.SHARD_BYTES, 8, 64, 300,
        5 + i))) {
      site.deadlineUs = 600_000;
      Gateway g = site.gateway();
      Run run = new Run(site);
      for (int i = 0; i < 4; i++) {
        run.start(run.load("c" + i, "gw-0", g.socket(i % 2 == 0 ? "stock" : "orders"), i % 2 == 0
            ? "stock"
            : "orders", i / 2, 2, 2_500, 64));
      }
      RingLoad leaver = run.load("leaver", "gw-0", g.socket("capped"), "capped", 0, 1, 60, 32);
      until(() -> run.loads.get(0).asked() > 400);
      site.disks.get(1).faults.silent = true;
      leaver.runThenVanish();
      long at = Engine.clock();
      assertTrue(g.membership().state(102, NodeState.DRAINING));
      run.told.add(new Told.State("gw-0", "disk-2", NodeState.DRAINING, at));
      until(() -> run.loads.get(0).asked() > 1_200);
      site.disks.get(1).faults.clear();
      run.join();
      assertEquals(10_000, run.asked().stream().filter(a -> !a.client().equals("leaver") && a.answers() == 1)
          .count());
      assertEquals(List.of(), run.audit().breaches());
      assertEquals(List.of(), run.wrong());
      assertTrue(run.count(Asked.Answer.SERVED) > 5_000 && run.count(Asked.Answer.REFUSED) > 0 && run.count(
          Asked.Answer.FAILED) > 0, "answers of each kind");
      assertTrue(run.audit().checked().get(Rule.NO_EFFECT_TWICE) > 1_000);
      assertTrue(run.asked().stream().anyMatch(Asked::left));
      long lastAtDrained = site.disks.get(2).commands().stream().mapToLong(c -> c.receivedUs()).max()
          .orElseThrow();
      assertTrue(lastAtDrained <= at + 1_000_000, "last command " + (lastAtDrained - at)
          + " us after the word");
    }
  }
}
