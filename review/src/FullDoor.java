import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Case 3: some hundreds of clients stop in the middle of their first request and stay. Usual clients come with
 * a new connection for each request, as on the long day. Without trouble the others send their request whole. */
final class FullDoor {
  private static final int STOPPING_CLIENTS = 200, SOCKETS = 256;

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
    List<Thread> stopping = new ArrayList<>();
    AtomicInteger endedInTime = new AtomicInteger(), notEnded = new AtomicInteger();
    for (int i = 0; i < STOPPING_CLIENTS; i++) {
      stopping.add(Rig.daemon("stopping client", () -> stopInTheMiddle(scheduler, endedInTime, notEnded)));
      Rig.sleep(0.002);
    }
    Rig.sleep(8);
    usual.stop();
    for (Thread thread : stopping) {
      try {
        thread.join(3000);
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
    }
    int lost = usual.countLost();
    String line = "other clients: " + STOPPING_CLIENTS + ", answered or closed within 3 s " + endedInTime + ", not "
        + notEnded + "; scheduler alive " + scheduler.process.isAlive();
    Rig.note(line);
    System.out.println(line);
    return lost > 0 || !scheduler.process.isAlive() ? 1 : 0;
  }

  private static void stopInTheMiddle(Rig.Scheduler scheduler, AtomicInteger endedInTime, AtomicInteger notEnded)
      throws IOException {
    double connectedAt = Rig.now();
    try (Socket socket = scheduler.connect()) {
      String id = Rig.newId();
      String head = Rig.head("lookup", id, 0, 500, 0);
      Rig.write(socket, Rig.TROUBLE ? head.substring(0, 60) : head);
      Rig.note("client " + (Rig.TROUBLE ? "stops in the middle of " : "sent ") + id + " from port " + socket
          .getLocalPort());
      socket.setSoTimeout(6000);
      Rig.Message answer = Rig.read(socket.getInputStream());
      Rig.note("client of " + id + " got " + (answer == null ? "a close" : answer.start));
    } catch (IOException e) {
      Rig.note("client got " + e.getMessage());
    }
    (Rig.now() - connectedAt <= 3.05 ? endedInTime : notEnded).incrementAndGet();
  }
}
