import java.io.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** Two writes of one key, one 60 ms after the other, in a class that asks for order by key: the first one on a new
 * connection, the second one on a kept one, while the scheduler is held up. Which one runs first? */
final class OrderCase implements Kit.Case {
  private static final int ROUNDS = 40;
  private static final double GAP = 0.06, HELD_UP = 0.13, MOST_HELD_UP = 0.15;

  @Override
  public int run(Path root, Path folder, Kit.Record record, String[] args) throws Exception {
    Map<String, List<String>> ran = new ConcurrentHashMap<>();
    List<Kit.Disk> disks = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      disks.add(new Kit.Disk("s-" + i, i, (disk, s, m) -> {
        String piece = m.first.split(" ")[1].replaceAll(".*/", "");
        if (m.first.startsWith("PUT")) {
          ran.computeIfAbsent(piece, k -> Collections.synchronizedList(new ArrayList<>())).add(Kit.L1.text(m.body));
        }
        Kit.sleep(0.02);
        Kit.Disk.answer(s, 200, "", Kit.L1.bytes("ran " + m.header("x-txn") + " at " + disk.host));
        return true;
      }));
    }
    Kit.Discovery discovery = new Kit.Discovery(41, disks);
    try (Kit.Scheduler scheduler = new Kit.Scheduler(root)) {
      String settings = Kit.settings(Kit.almaty(), "[false,true]", 4).replace("\"rules\":{",
          "\"rules\":{\"settleAfterDoubt\":0.2,");
      scheduler.configure(discovery.listener.getLocalPort(), discovery.whole(), settings, 192, 1024);
      scheduler.start();
      if (!scheduler.awaitReady(30)) {
        record.line("the scheduler did not get ready");
        scheduler.logTo(record, 50);
        return 2;
      }
      record.line("ready after %.2f s", scheduler.readyAt - scheduler.startedAt);
      scheduler.signalFast("CONT");
      Kit.Client kept = new Kit.Client(scheduler.port);
      ExecutorService pool = Executors.newCachedThreadPool(r -> {
        Thread t = new Thread(r);
        t.setDaemon(true);
        return t;
      });
      for (int i = 0; i < 20; i++) {
        String id = Kit.newId();
        kept.call(Kit.request(id, "balance-read", false, null, i % 4, 750, 2, 1, new byte[0]), 3);
      }
      int broken = 0, judged = 0, unanswered = 0;
      for (int round = 0; round < ROUNDS; round++) {
        String piece = Kit.newId();
        int shard = round % 4;
        byte[] first = Kit.write(Kit.newId(), "transfer-write", piece, shard, 1500, 1, Kit.L1.bytes("first"));
        byte[] second = Kit.write(Kit.newId(), "transfer-write", piece, shard, 1500, 1, Kit.L1.bytes("second"));
        Kit.Client fresh = new Kit.Client(scheduler.port);
        double stoppedAt = Kit.now();
        if (Kit.trouble()) {
          scheduler.signalFast("STOP");
          Kit.sleep(0.015);
        }
        double firstAt = Kit.now();
        Future<Kit.Message> firstAnswer = pool.submit(() -> fresh.call(first, 3));
        Kit.sleep(GAP);
        double secondAt = Kit.now();
        Future<Kit.Message> secondAnswer = pool.submit(() -> kept.call(second, 3));
        if (Kit.trouble()) {
          Kit.sleep(stoppedAt + HELD_UP - Kit.now());
          scheduler.signalFast("CONT");
        }
        double heldUp = Kit.now() - stoppedAt;
        Kit.Message a = firstAnswer.get(), b = secondAnswer.get();
        fresh.close();
        List<String> order = List.copyOf(ran.getOrDefault(piece, List.of()));
        boolean counts = a != null && b != null && a.status() == 200 && b.status() == 200 && order.size() == 2
            && (!Kit.trouble() || heldUp <= MOST_HELD_UP);
        unanswered += a == null || b == null ? 1 : 0;
        judged += counts ? 1 : 0;
        boolean wrong = counts && order.equals(List.of("second", "first"));
        broken += wrong ? 1 : 0;
        record.line("round %d, key %s: first sent at %.3f, second %.0f ms later, held up for %.0f ms; answers %s, %s; ran %s%s",
            round, piece, firstAt, 1000 * (secondAt - firstAt), Kit.trouble() ? 1000 * heldUp : 0, a == null
                ? "none"
                : a.status(), b == null ? "none" : b.status(), order, wrong ? "  ORDER" : "");
        Kit.sleep(0.1);
      }
      record.line("of %d rounds judged the later write ran first in %d; %d requests got no answer", judged, broken,
          unanswered);
      scheduler.logTo(record, 20);
      return judged == 0 ? 2 : broken > 0 ? 1 : 0;
    }
  }
}
