import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Case 2: some hundreds of clients write a long record each, get their answer, and stop in the middle of
 * their next request. Without trouble they send that request whole. */
final class HalfRequests {
  private static final int STOPPING_CLIENTS = 600, BODY_BYTES = 60_000;

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
      scheduler.writeConfig(discovery.address(), discovery.whole(), Rig.settings(disks.length), 192, 1024);
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
    for (int i = 0; i < 12; i++) {
      usual.start("lookup", i % 4, 1000, 0.15, false);
    }
    Rig.sleep(3);
    List<Thread> stopping = new ArrayList<>();
    AtomicInteger endedInTime = new AtomicInteger(), notEnded = new AtomicInteger();
    double meet = Rig.now() + 1.9;
    for (int i = 0; i < STOPPING_CLIENTS; i++) {
      stopping.add(Rig.daemon("stopping client", () -> stopInTheMiddle(scheduler, meet, endedInTime, notEnded)));
      Rig.sleep(0.002);
    }
    Rig.sleep(9);
    usual.stop();
    for (Thread thread : stopping) {
      try {
        thread.join(3000);
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
    }
    int lost = usual.countLost();
    String line = "other clients: " + STOPPING_CLIENTS + ", answered or closed within 3 s of their last byte "
        + endedInTime + ", not " + notEnded + "; scheduler alive " + scheduler.process.isAlive();
    Rig.note(line);
    System.out.println(line);
    return lost > 0 || !scheduler.process.isAlive() ? 1 : 0;
  }

  private static void stopInTheMiddle(Rig.Scheduler scheduler, double meet, AtomicInteger endedInTime,
      AtomicInteger notEnded) throws IOException {
    double lastByteAt = 0;
    try (Socket socket = scheduler.connect()) {
      Rig.Result first = Rig.ask(socket, "new-record", Rig.newId(), 0, 1500, new byte[BODY_BYTES], 1);
      if (first.status == 0) {
        return;
      }
      Rig.sleep(meet - Rig.now());
      String id = Rig.newId();
      String head = Rig.head("new-record", id, 0, 1500, 0);
      lastByteAt = Rig.now();
      if (Rig.TROUBLE) {
        Rig.write(socket, head.substring(0, 100));
        Rig.note("client stops in the middle of " + id + " from port " + socket.getLocalPort());
      } else {
        Rig.write(socket, head);
      }
      socket.setSoTimeout(6000);
      Rig.Message answer = Rig.read(socket.getInputStream());
      Rig.note("client of " + id + " got " + (answer == null ? "a close" : answer.start));
    } catch (IOException e) {
      Rig.note("client got " + e.getMessage());
    }
    if (lastByteAt > 0) {
      (Rig.now() - lastByteAt <= 3.05 ? endedInTime : notEnded).incrementAndGet();
    }
  }
}
