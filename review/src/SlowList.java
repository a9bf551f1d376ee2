import java.io.IOException;
import java.nio.file.Path;

/** Case 2: discovery is slow: each object takes it 3.5 s to write, in pieces. A disk server begins to drain and
 * another one with the same shard takes its place. Without trouble discovery writes at once. */
final class SlowList {
  /** What discovery has to tell counts as told 6 s later at the latest; then comes the grace of the settings, and
   * 50 ms by which every time limit is longer on sockets. */
  private static final double TOLD_S = 6, GRACE_S = 1.0 + 0.05, OBJECT_S = 3.5;

  public static void main(String[] args) throws Exception {
    Rig.openRecord(Path.of(args[0]));
    Rig.DiskServer[] disks = new Rig.DiskServer[10];
    Rig.Discovery discovery = new Rig.Discovery(40);
    for (int i = 0; i < disks.length; i++) {
      disks[i] = new Rig.DiskServer("s-" + i, i);
      discovery.put(disks[i], "up");
    }
    int exit = 2;
    Rig.Scheduler scheduler = new Rig.Scheduler("n0");
    try (scheduler) {
      scheduler.writeConfig(discovery.address(), discovery.whole(), Rig.settings(disks.length), 192, 1024);
      scheduler.start(discovery.address());
      if (scheduler.awaitReady()) {
        exit = play(scheduler, discovery, disks);
      }
    } finally {
      System.exit(exit);
    }
  }

  private static int play(Rig.Scheduler scheduler, Rig.Discovery discovery, Rig.DiskServer[] disks)
      throws IOException {
    UsualClients usual = new UsualClients(scheduler);
    for (int i = 0; i < 20; i++) {
      usual.start("lookup", i % disks.length, 1000, 0.15, false);
    }
    Rig.sleep(5);
    discovery.crowdedS = Rig.TROUBLE ? OBJECT_S : 0;
    Rig.DiskServer draining = disks[0], successor = new Rig.DiskServer("s-10", 0);
    double drainAt = Rig.now();
    discovery.put(successor, draining);
    Rig.note("discovery has it: s-0 drains, s-10 holds its shard");
    Rig.sleep(30);
    usual.stop();
    double last = drainAt + TOLD_S + GRACE_S;
    int before = 0, after = 0;
    for (Rig.Message request : draining.received) {
      if (request.firstByteAt > last) {
        after++;
        Rig.note(String.format("BROKEN: s-0 got the first byte of %s at %.3f, %.3f s after the drain", request.header(
            "X-Txn"), request.firstByteAt, request.firstByteAt - drainAt));
      } else if (request.firstByteAt > drainAt) {
        before++;
      }
    }
    int lost = usual.countLost();
    String line = "s-0 got " + before + " requests from the drain to 7.05 s after it, " + after
        + " later; its successor " + successor.received.size() + "; scheduler alive " + scheduler.process.isAlive();
    Rig.note(line);
    System.out.println(line);
    return after > 0 || lost > 0 || !scheduler.process.isAlive() ? 1 : 0;
  }
}
