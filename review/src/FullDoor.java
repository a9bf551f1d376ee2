import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/** Case 3: two hundred clients ask once, get their answer and keep their connection. Usual clients come with a
 * new connection for each request. Without trouble the two hundred close their connections after the answer. */
final class FullDoor {
  private static final int IDLE_CLIENTS = 200, SOCKETS = 256;

  public static void main(String[] args) throws Exception {
    Rig.openRecord(Path.of(args[0]));
    Rig.DiskServer[] disks = new Rig.DiskServer[4];
    Rig.Discovery discovery = new Rig.Discovery(40);
    for (int i = 0; i < disks.length; i++) {
      disks[i] = new Rig.DiskServer("s-" + i, i);
      disks[i].service = 0.005;
      discovery.put(disks[i], "up");
    }
    int exit = 2;
    Rig.Scheduler scheduler = new Rig.Scheduler("n0");
    try (scheduler) {
      scheduler.writeConfig(discovery.address(), discovery.whole(), Rig.settings(disks.length), 192, SOCKETS);
      scheduler.start(discovery.address());
      if (scheduler.awaitReady()) {
        exit = play(scheduler);
      }
    } finally {
      System.exit(exit);
    }
  }

  private static int play(Rig.Scheduler scheduler) throws IOException {
    UsualClients usual = new UsualClients(scheduler);
    usual.mayShutUnread = true;
    for (int i = 0; i < 12; i++) {
      usual.start("lookup", i % 4, 500, 0.15, true);
    }
    Rig.sleep(3);
    AtomicInteger answered = new AtomicInteger(), kept = new AtomicInteger();
    for (int i = 0; i < IDLE_CLIENTS; i++) {
      int shard = i % 4;
      Rig.daemon("idle client", () -> askOnce(scheduler, shard, answered, kept));
      Rig.sleep(0.002);
    }
    Rig.sleep(8);
    usual.stop();
    int lost = usual.countLost();
    String line = "other clients: " + IDLE_CLIENTS + ", answered " + answered + ", kept their connection " + kept
        + "; scheduler alive " + scheduler.process.isAlive();
    Rig.note(line);
    System.out.println(line);
    return lost > 0 || !scheduler.process.isAlive() ? 1 : 0;
  }

  /** Asks once on a new connection and keeps it; without trouble it closes it after the answer. */
  private static void askOnce(Rig.Scheduler scheduler, int shard, AtomicInteger answered, AtomicInteger kept)
      throws IOException {
    try (Socket socket = scheduler.connect()) {
      Rig.Result result = Rig.ask(socket, "lookup", Rig.newId(), shard, 2000, new byte[0], UsualClients.LATE_S);
      if (result.status > 0) {
        answered.incrementAndGet();
      }
      if (Rig.TROUBLE && result.status > 0) {
        socket.setSoTimeout(8000);
        kept.incrementAndGet();
        Rig.note("client of " + result.id + " keeps its connection, port " + socket.getLocalPort());
        socket.getInputStream().read();
        Rig.note("connection of the client of " + result.id + " was closed");
      }
    }
  }
}
