import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;

/** Bad clients that send hundreds of requests at once, beside ordinary ones, at one scheduler. With
 * {@code bodies} each of them does so once, with bodies; else again and again, with reads. */
final class CrowdCase implements Kit.Case {
  @Override
  public int run(Path root, Path folder, Kit.Record record, String[] args) throws Exception {
    boolean bodies = args[0].equals("bodies");
    int memoryMb = Integer.parseInt(args[1]), sockets = Integer.parseInt(args[2]);
    int crowd = Integer.parseInt(args[3]), atOnce = Integer.parseInt(args[4]);
    List<String> classes = bodies ? Kit.galway() : Kit.cork();
    String read = bodies ? "lookup" : "claim-read", write = "new-record";
    long readMs = bodies ? 2000 : 1200;
    List<Kit.Disk> disks = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      disks.add(Kit.plainDisk(i, 0.02, 2, record, false));
    }
    Kit.Discovery discovery = new Kit.Discovery(41, disks);
    try (Kit.Scheduler scheduler = new Kit.Scheduler(root)) {
      scheduler.configure(discovery.listener.getLocalPort(), discovery.whole(), Kit.settings(classes,
          "[false,true,false]", 10), memoryMb, sockets);
      scheduler.start();
      if (!scheduler.awaitReady(30)) {
        record.line("the scheduler did not get ready");
        scheduler.logTo(record, 50);
        return 2;
      }
      record.line("ready after %.2f s; memory_mb %d, sockets %d", scheduler.readyAt - scheduler.startedAt, memoryMb,
          sockets);
      Kit.Ordinary ordinary = new Kit.Ordinary(record, scheduler.port);
      for (int c = 0; c < 30; c++) {
        ordinary.add(read, c % 10, readMs, 0.15, c);
      }
      Kit.sleep(3);
      double end = Kit.now() + (bodies ? 8 : 25);
      if (Kit.trouble()) {
        record.line("%d bad clients each send %d requests at once%s", crowd, atOnce, bodies
            ? ", with bodies of 64 KiB"
            : ", read the answers, and do so again");
        byte[] body = new byte[bodies ? 64 << 10 : 0];
        if (bodies) {
          for (int c = 0; c < crowd; c++) {
            int number = c;
            Kit.daemon(() -> bad(scheduler.port, number, atOnce, write, readMs, body, null, null));
          }
        } else {
          Kit.daemon(() -> waves(scheduler.port, crowd, atOnce, read, readMs, record, end));
        }
      }
      while (Kit.now() < end && scheduler.process.isAlive()) {
        Kit.sleep(0.1);
      }
      ordinary.finish();
      boolean alive = scheduler.process.isAlive();
      record.line(alive ? "the scheduler is up" : "CRASH: the scheduler has ended with status " + scheduler.process
          .exitValue());
      scheduler.logTo(record, 40);
      return !alive || ordinary.lost.get() > 0 || ordinary.foreign.get() > 0 ? 1 : 0;
    }
  }

  /** All bad clients at the same time, again and again: each on a connection of its own. */
  private static void waves(int port, int crowd, int atOnce, String clazz, long remainingMs, Kit.Record record,
      double end) {
    while (Kit.now() < end - 8) {
      CountDownLatch prepared = new CountDownLatch(crowd), done = new CountDownLatch(crowd);
      for (int c = 0; c < crowd; c++) {
        int number = c;
        Kit.daemon(() -> bad(port, number, atOnce, clazz, remainingMs, new byte[0], prepared, done));
      }
      try {
        prepared.await(20, TimeUnit.SECONDS);
        record.line("the bad clients send");
        done.await(10, TimeUnit.SECONDS);
        record.line("%d of them have all their answers", crowd - done.getCount());
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Sends many valid requests on one connection at full speed, and reads what comes until all are answered. */
  private static void bad(int port, int number, int atOnce, String clazz, long remainingMs, byte[] body,
      CountDownLatch prepared, CountDownLatch done) {
    boolean write = body.length > 0;
    ByteArrayOutputStream burst = new ByteArrayOutputStream();
    for (int i = 0; i < atOnce && !write; i++) {
      burst.writeBytes(Kit.request(Kit.newId(), clazz, false, null, number % 10, remainingMs, 2, 100 + number, body));
    }
    try (Socket s = new Socket("127.0.0.1", port)) {
      if (prepared != null) {
        prepared.countDown();
        prepared.await();
      }
      Thread writer = Kit.daemon(() -> {
        try {
          if (!write) {
            s.getOutputStream().write(burst.toByteArray());
          }
          for (int i = 0; i < atOnce && write; i++) {
            String id = Kit.newId();
            s.getOutputStream()
                .write(Kit.request(id, clazz, true, id, number % 10, remainingMs, 2, 100 + number, body));
          }
        } catch (IOException e) {
          // closed
        }
      });
      InputStream in = s.getInputStream();
      byte[] some = new byte[16384];
      int heads = 0, last = 0;
      s.setSoTimeout(8000);
      for (int n = in.read(some); n >= 0 && heads < atOnce; n = in.read(some)) {
        for (int i = 0; i < n; i++) {
          last = last << 8 | some[i];
          heads += last == 0x0d0a0d0a ? 1 : 0;
        }
        if (heads >= atOnce) {
          break;
        }
      }
      writer.join(1000);
    } catch (IOException | InterruptedException e) {
      // closed
    } finally {
      if (done != null) {
        done.countDown();
      }
    }
  }
}
