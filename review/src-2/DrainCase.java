import java.io.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.atomic.*;

/** A disk server drains, and discovery says so: slowly, in an indented list, or late at the start. What comes to
 * that disk server after the grace? */
final class DrainCase implements Kit.Case {
  static final double GRACE = 1.0, SOCKET_SLACK = 0.05, HELD_UP = 0.15;

  @Override
  public int run(Path root, Path folder, Kit.Record record, String[] args) throws Exception {
    String mode = args[0];
    int listed = Integer.parseInt(args[1]);
      List<Kit.Disk> real = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        real.add(Kit.plainDisk(i, 0.02, 2, record, false));
      }
      // Disk servers that only stand in the list: nobody asks for their shards.
      List<Kit.Disk> all = new ArrayList<>(real);
      for (int i = 4; i < listed - 1; i++) {
        all.add(new Kit.Disk("s-" + String.format("%08x", i), i, real.get(i % 4).listener));
      }
      Kit.Disk old = real.get(0);
      Kit.Disk successor = Kit.plainDisk(0, 0.02, 2, record, false).named("r-00000000");
      AtomicReference<Double> toldBy = new AtomicReference<>(Double.MAX_VALUE);
      AtomicInteger after = new AtomicInteger(), before = new AtomicInteger();
      Kit.Disk.Handler plain = old.handler;
      old.handler = (disk, s, m) -> {
        double at = Kit.now();
        if (at > toldBy.get() + GRACE + SOCKET_SLACK + HELD_UP) {
          if (after.incrementAndGet() <= 20) {
            record.line("DRAIN: %s came to %s, %.2f s after the drain was told", m.header("x-txn"), disk.host, at
                - toldBy.get());
          }
        } else {
          before.incrementAndGet();
        }
        return plain.handle(disk, s, m);
      };

      Kit.Discovery discovery = new Kit.Discovery(41, all);
      discovery.log = l -> record.line("discovery: %s", l);
      String known = discovery.whole();
      try (Kit.Scheduler scheduler = new Kit.Scheduler(root)) {
        scheduler.configure(discovery.listener.getLocalPort(), known, Kit.settings(Kit.galway(),
            "[false,true,false]", listed), 192, 1024);
        if (mode.equals("slow")) {
          discovery.sender = (out, object) -> {
            if (!Kit.trouble() || object.length() < 1000) {
              Kit.Discovery.chunk(out, object + "\n");
              return;
            }
            // A steady trickle: the object takes 4.5 s, and no gap is longer than 0.1 s.
            int pieces = 45;
            for (int i = 0; i < pieces; i++) {
              Kit.Discovery.chunk(out, object.substring((int) ((long) object.length() * i / pieces), (int) ((long) object
                  .length() * (i + 1) / pieces)));
              Kit.sleep(0.1);
            }
            Kit.Discovery.chunk(out, "\n");
          };
        } else if (mode.equals("indented")) {
          discovery.beginWhole = true;
          if (Kit.trouble()) {
            discovery.sender = (out, object) -> Kit.Discovery.chunk(out, indent(object, 8) + "\n");
          }
        } else if (mode.equals("start") && Kit.trouble()) {
          discovery.answerDelay = 3;
        }
        if (!mode.equals("slow") && !mode.equals("reload")) {
          drain(discovery, old, successor);
        }
        scheduler.start();
        if (!scheduler.awaitReady(30)) {
          record.line("the scheduler did not get ready");
          scheduler.logTo(record, 50);
          return 2;
        }
        record.line("ready after %.2f s; %d disk servers in the list", scheduler.readyAt - scheduler.startedAt, listed);
        // Discovery has had the change since before the process began.
        if (mode.equals("indented")) {
          toldBy.set(scheduler.startedAt + 6);
        } else if (mode.equals("start")) {
          toldBy.set(scheduler.readyAt);
        }
        Kit.Ordinary ordinary = new Kit.Ordinary(record, scheduler.port);
        for (int c = 0; c < 8; c++) {
          ordinary.add("lookup", c % 4, 2000, 0.1, c);
        }
        if (mode.equals("slow")) {
          Kit.sleep(3);
          List<Kit.Disk> draining = all.subList(1, (listed - 1) * 6 / 10);
          draining.stream().filter(d -> d.block > 3).forEach(d -> d.state = "draining");
          List<Kit.Disk> changed = new ArrayList<>(draining);
          synchronized (discovery) {
            old.state = "draining";
            discovery.disks.add(successor);
            changed.add(old);
            changed.add(successor);
            record.line("discovery has %d changes, %s drains among them", changed.size(), old.host);
            toldBy.set(Kit.now() + 6);
            discovery.change(changed.toArray(new Kit.Disk[0]));
          }
        }
        if (mode.equals("reload")) {
          // The agent of the next configuration gets each change 4.5 s later than this one.
          List<Kit.Disk> views = new ArrayList<>();
          all.forEach(d -> views.add(d.named(d.host)));
          Kit.Discovery next = new Kit.Discovery(41, views);
          next.log = l -> record.line("next discovery: %s", l);
          Kit.sleep(3);
          drain(discovery, old, successor);
          toldBy.set(Kit.now());
          record.line("discovery tells that %s drains", old.host);
          double changedAt = Kit.now();
          Kit.sleep(2);
          if (Kit.trouble()) {
            scheduler.configure(next.listener.getLocalPort(), known, Kit.settings(Kit.galway(), "[false,true,false]",
                listed), 192, 1024);
            scheduler.signal("HUP");
            record.line("SIGHUP: a new configuration moves discovery");
            discovery.close();
            Kit.sleep(1.5);
            discovery.closeOpen();
          }
          Kit.sleep(changedAt + 4.5 - Kit.now());
          drain(next, views.get(0), successor);
        }
        Kit.sleep(mode.equals("start") || mode.equals("reload") ? 6 : 18);
        ordinary.finish();
        record.line("%s got %d requests up to the end of the grace and %d after it; its successor got %d", old.host, before
            .get(), after.get(), successor.runs());
        scheduler.logTo(record, 60);
        boolean up = scheduler.process.isAlive();
        return !up || after.get() > 0 || ordinary.lost.get() > 0 ? 1 : 0;
      }
  }

  private static void drain(Kit.Discovery discovery, Kit.Disk old, Kit.Disk successor) {
    synchronized (discovery) {
      old.state = "draining";
      discovery.disks.add(successor);
      discovery.change(old, successor);
    }
  }

  /** The same JSON, indented by so many blanks a level. */
  static String indent(String json, int width) {
    StringBuilder out = new StringBuilder(json.length() * 3);
    int depth = 0;
    boolean quoted = false;
    for (int i = 0; i < json.length(); i++) {
      char c = json.charAt(i);
      quoted ^= c == '"';
      if (quoted || "{}[],:".indexOf(c) < 0) {
        out.append(c);
      } else if (c == ':') {
        out.append(": ");
      } else {
        depth += c == '{' || c == '[' ? 1 : c == '}' || c == ']' ? -1 : 0;
        if (c == '}' || c == ']') {
          out.append('\n').append(" ".repeat(depth * width)).append(c);
        } else {
          out.append(c).append('\n').append(" ".repeat(depth * width));
        }
      }
    }
    return out.toString();
  }
}
