package hollyslip.e2e;

import hollyslip.audit.Asked;
import hollyslip.audit.Auditor;
import hollyslip.audit.Figures;
import hollyslip.audit.Told;
import hollyslip.load.RingLoad;
import hollyslip.standin.Command;
import hollyslip.volume.Volume;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Clients at work on a site, and what the audit says of it. */
final class LoadScenario {
  final TestDeployment site;
  final List<RingLoad> loads = new ArrayList<>();
  final List<Thread> threads = new ArrayList<>();
  final List<Told> operatorEvents = new ArrayList<>();
  long gapUs;
  double reads = 0.6;
  int maxBlocks = 3;

  LoadScenario(TestDeployment site) {
    this.site = site;
  }

  RingLoad addLoad(String name, String gateway, Path socket, String volume, int part, int parts, int count,
      int depth) throws IOException {
    long bytes = TestDeployment.VOLUME_BYTES / parts;
    RingLoad l = new RingLoad(new RingLoad.Plan(name, gateway, volume, part * bytes, bytes, count, depth,
        gapUs, reads, maxBlocks, site.deadlineUs, 4096, 17 + loads.size()), socket);
    loads.add(l);
    return l;
  }

  void start(RingLoad load) {
    Thread t = new Thread(load, "load");
    threads.add(t);
    t.start();
  }

  void join() throws InterruptedException {
    for (Thread t : threads) {
      t.join(60_000);
      if (t.isAlive()) {
        throw new IllegalStateException("a client does not end");
      }
    }
  }

  List<Asked> requests() {
    return loads.stream().flatMap(l -> l.records().stream()).toList();
  }

  List<Command> commands() {
    return site.disks.stream().flatMap(d -> d.commands().stream()).toList();
  }

  List<String> wrongReads() {
    return loads.stream().flatMap(l -> l.wrong().stream()).toList();
  }

  Figures auditParameters() {
    List<Figures.Area> areas = new ArrayList<>();
    List<String> names = List.of("stock", "orders", "capped");
    for (int id = 1; id <= names.size(); id++) {
      Volume v = TestDeployment.volume(id, names.get(id - 1), "gold", site.disks.size(), 1);
      for (int shard = 0; shard < site.disks.size(); shard++) {
        long from = (id - 1) * TestDeployment.VOLUME_BYTES;
        areas.add(new Figures.Area(v.name(), "shard-" + shard, from, from + TestDeployment.VOLUME_BYTES));
      }
    }
    // Wide, since a loaded machine must not change the verdict; the demo and replays go by the deployment's
    // figure.
    return new Figures(500_000, 1_000_000, 300_000, 200, 0.2, site.coldUs, 2_000_000, 20, 0.5, 5_000_000,
        50_000, TestDeployment.EXTENT_BYTES, 4096, 256, Map.of("capped", new Figures.Limit(site.limitedPlan
            .limit(), site.limitedPlan
                .limitBurst(), site.limitedPlan.limitSlack() + 0.1 * site.limitedPlan.limitBurst())), areas);
  }

  Auditor.Report audit() {
    return Auditor.check(auditParameters(), requests(), commands(), operatorEvents);
  }

  long count(Asked.Answer answer) {
    return requests().stream().filter(a -> a.answer() == answer).count();
  }
}
