package hollyslip.e2e;

import hollyslip.audit.RequestRecord;
import hollyslip.audit.Auditor;
import hollyslip.audit.AuditParameters;
import hollyslip.audit.OperatorEvent;
import hollyslip.load.RingLoad;
import hollyslip.standin.CommandRecord;
import hollyslip.volume.Volume;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Ring clients that load a {@link TestDeployment}, and the audit of their records. */
final class LoadScenario {
  final TestDeployment site;
  final List<RingLoad> loads = new ArrayList<>();
  final List<Thread> threads = new ArrayList<>();
  final List<OperatorEvent> operatorEvents = new ArrayList<>();
  long gapUs;
  double reads = 0.6;
  int maxBlocks = 3;

  LoadScenario(TestDeployment site) {
    this.site = site;
  }

  RingLoad addLoad(String name, String gateway, Path socket, String volume, int part, int parts, int count,
      int depth) throws IOException {
    long bytes = TestDeployment.VOLUME_BYTES / parts;
    RingLoad load = new RingLoad(new RingLoad.Config(name, gateway, volume, part * bytes, bytes, count, depth,
        gapUs, reads, maxBlocks, site.deadlineUs, 4096, 17 + loads.size()), socket);
    loads.add(load);
    return load;
  }

  void start(RingLoad load) {
    Thread thread = new Thread(load, "load");
    threads.add(thread);
    thread.start();
  }

  void join() throws InterruptedException {
    for (Thread thread : threads) {
      thread.join(60_000);
      if (thread.isAlive()) {
        throw new IllegalStateException("a client does not finish");
      }
    }
  }

  List<RequestRecord> requests() {
    return loads.stream().flatMap(l -> l.records().stream()).toList();
  }

  List<CommandRecord> commands() {
    return site.disks.stream().flatMap(d -> d.commands().stream()).toList();
  }

  List<String> wrongReads() {
    return loads.stream().flatMap(l -> l.wrongReads().stream()).toList();
  }

  AuditParameters auditParameters() {
    List<AuditParameters.Area> areas = new ArrayList<>();
    List<String> names = List.of("stock", "orders", "capped");
    for (int id = 1; id <= names.size(); id++) {
      Volume volume = TestDeployment.volume(id, names.get(id - 1), "gold", site.disks.size(), 1);
      for (int shard = 0; shard < site.disks.size(); shard++) {
        long start = (id - 1) * TestDeployment.VOLUME_BYTES;
        areas.add(new AuditParameters.Area(volume.name(), "shard-" + shard, start, start
            + TestDeployment.VOLUME_BYTES));
      }
    }
    // Generous, since a loaded machine must not change the verdict; demo and replay use the value of the
    // deployment.
    return new AuditParameters(500_000, 1_000_000, 300_000, 200, 0.2, site.coldUs, 2_000_000, 20, 0.5,
        5_000_000,
        50_000, TestDeployment.EXTENT_BYTES, 4096, 256, Map.of("capped",
            new AuditParameters.Limit(site.limitedPlan.limit(), site.limitedPlan.limitBurst(),
                site.limitedPlan.limitSlack() + 0.1 * site.limitedPlan.limitBurst())), areas);
  }

  Auditor.Report audit() {
    return Auditor.check(auditParameters(), requests(), commands(), operatorEvents);
  }

  long count(RequestRecord.Answer answer) {
    return requests().stream().filter(a -> a.answer() == answer).count();
  }
}
