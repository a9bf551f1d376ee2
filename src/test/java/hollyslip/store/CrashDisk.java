package hollyslip.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/** Files in memory that can crash before any write, sync or change of a name. What was not synced is then
 * kept, dropped or torn, each write for itself, so that later ones may be there without earlier ones. */
final class CrashDisk implements Disk {
  /** A file: synced bytes, then writes that are not. */
  private static final class Content {
    byte[] synced = new byte[0];
    final List<byte[]> pending = new ArrayList<>();

    byte[] all() {
      int size = synced.length + pending.stream().mapToInt(p -> p.length).sum();
      ByteBuffer b = ByteBuffer.allocate(size).put(synced);
      pending.forEach(b::put);
      return b.array();
    }

    byte[] after(SplittableRandom random) {
      ByteBuffer b = ByteBuffer.allocate(all().length).put(synced);
      int end = synced.length;
      for (byte[] p : pending) {
        int kept = random.nextInt(3) == 0
            ? 0
            : random.nextBoolean() ? p.length : random.nextInt(p.length + 1);
        if (kept > 0) {
          b.put(b.position(), p, 0, kept);
          end = b.position() + kept;
        }
        b.position(b.position() + p.length);
      }
      return java.util.Arrays.copyOf(b.array(), end);
    }
  }

  private final Map<String, Content> now = new TreeMap<>();
  private final Map<String, Content> durable = new HashMap<>();
  private final List<Runnable> namesPending = new ArrayList<>();
  private long left;
  long steps;

  /** @param left
   *          steps until the crash; negative: none */
  CrashDisk(long left) {
    this.left = left;
  }

  private synchronized void step() throws IOException {
    steps++;
    if (left >= 0 && left-- <= 0) {
      left = 0;
      throw new IOException("crash");
    }
  }

  /** What is there after the crash; it crashes again after so many steps. */
  synchronized CrashDisk crashed(SplittableRandom random, long next) {
    CrashDisk d = new CrashDisk(next);
    int applied = random.nextInt(namesPending.size() + 1);
    namesPending.subList(0, applied).forEach(Runnable::run);
    durable.forEach((name, c) -> {
      Content k = new Content();
      k.synced = c.after(random);
      d.now.put(name, k);
      d.durable.put(name, k);
    });
    return d;
  }

  /** Turns over bits of one byte. */
  synchronized void damage(String name, int at) {
    now.get(name).synced[at] ^= 0x15;
  }

  @Override
  public synchronized List<String> names() {
    return List.copyOf(now.keySet());
  }

  @Override
  public synchronized byte[] read(String name) {
    return now.get(name).all();
  }

  @Override
  public synchronized Out append(String name) throws IOException {
    step();
    Content c = now.computeIfAbsent(name, k -> {
      Content fresh = new Content();
      namesPending.add(() -> durable.put(name, fresh));
      return fresh;
    });
    return new Out() {
      @Override
      public void write(ByteBuffer bytes) throws IOException {
        step();
        byte[] b = new byte[bytes.remaining()];
        bytes.get(b);
        synchronized (CrashDisk.this) {
          c.pending.add(b);
        }
      }

      @Override
      public void sync() throws IOException {
        step();
        synchronized (CrashDisk.this) {
          c.synced = c.all();
          c.pending.clear();
        }
      }

      @Override
      public void close() {}
    };
  }

  @Override
  public synchronized void cut(String name, long size) throws IOException {
    step();
    Content c = now.get(name);
    c.synced = java.util.Arrays.copyOf(c.all(), (int) size);
    c.pending.clear();
  }

  @Override
  public synchronized void rename(String from, String to) throws IOException {
    step();
    Content c = now.remove(from);
    now.put(to, c);
    namesPending.add(() -> {
      durable.remove(from);
      durable.put(to, c);
    });
  }

  @Override
  public synchronized void delete(String name) throws IOException {
    step();
    if (now.remove(name) != null) {
      namesPending.add(() -> durable.remove(name));
    }
  }

  @Override
  public synchronized void syncNames() throws IOException {
    step();
    namesPending.forEach(Runnable::run);
    namesPending.clear();
  }

  @Override
  public void close() {}
}
