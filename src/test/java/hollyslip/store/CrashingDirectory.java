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
final class CrashingDirectory implements StoreDirectory {
  /** A file: synced bytes, then writes that are not. */
  private static final class Content {
    byte[] synced = new byte[0];
    final List<byte[]> unsynced = new ArrayList<>();

    byte[] allBytes() {
      int size = synced.length + unsynced.stream().mapToInt(p -> p.length).sum();
      ByteBuffer b = ByteBuffer.allocate(size).put(synced);
      unsynced.forEach(b::put);
      return b.array();
    }

    byte[] afterCrash(SplittableRandom random) {
      ByteBuffer b = ByteBuffer.allocate(allBytes().length).put(synced);
      int end = synced.length;
      for (byte[] p : unsynced) {
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

  private final Map<String, Content> current = new TreeMap<>();
  private final Map<String, Content> durable = new HashMap<>();
  private final List<Runnable> pendingNameChanges = new ArrayList<>();
  private long stepsUntilCrash;
  long steps;

  /** @param left
   *          steps until the crash; negative: none */
  CrashingDirectory(long left) {
    this.stepsUntilCrash = left;
  }

  private synchronized void step() throws IOException {
    steps++;
    if (stepsUntilCrash >= 0 && stepsUntilCrash-- <= 0) {
      stepsUntilCrash = 0;
      throw new IOException("crash");
    }
  }

  /** What is there after the crash; it crashes again after so many steps. */
  synchronized CrashingDirectory afterCrash(SplittableRandom random, long next) {
    CrashingDirectory d = new CrashingDirectory(next);
    int applied = random.nextInt(pendingNameChanges.size() + 1);
    pendingNameChanges.subList(0, applied).forEach(Runnable::run);
    durable.forEach((name, c) -> {
      Content k = new Content();
      k.synced = c.afterCrash(random);
      d.current.put(name, k);
      d.durable.put(name, k);
    });
    return d;
  }

  /** Turns over bits of one byte. */
  synchronized void flipBits(String name, int at) {
    current.get(name).synced[at] ^= 0x15;
  }

  @Override
  public synchronized List<String> listFiles() {
    return List.copyOf(current.keySet());
  }

  @Override
  public synchronized byte[] read(String name) {
    return current.get(name).allBytes();
  }

  @Override
  public synchronized AppendableFile append(String name) throws IOException {
    step();
    Content c = current.computeIfAbsent(name, k -> {
      Content fresh = new Content();
      pendingNameChanges.add(() -> durable.put(name, fresh));
      return fresh;
    });
    return new AppendableFile() {
      @Override
      public void write(ByteBuffer bytes) throws IOException {
        step();
        byte[] b = new byte[bytes.remaining()];
        bytes.get(b);
        synchronized (CrashingDirectory.this) {
          c.unsynced.add(b);
        }
      }

      @Override
      public void sync() throws IOException {
        step();
        synchronized (CrashingDirectory.this) {
          c.synced = c.allBytes();
          c.unsynced.clear();
        }
      }

      @Override
      public void close() {}
    };
  }

  @Override
  public synchronized void truncate(String name, long size) throws IOException {
    step();
    Content c = current.get(name);
    c.synced = java.util.Arrays.copyOf(c.allBytes(), (int) size);
    c.unsynced.clear();
  }

  @Override
  public synchronized void rename(String from, String to) throws IOException {
    step();
    Content c = current.remove(from);
    current.put(to, c);
    pendingNameChanges.add(() -> {
      durable.remove(from);
      durable.put(to, c);
    });
  }

  @Override
  public synchronized void delete(String name) throws IOException {
    step();
    if (current.remove(name) != null) {
      pendingNameChanges.add(() -> durable.remove(name));
    }
  }

  @Override
  public synchronized void syncDirectory() throws IOException {
    step();
    pendingNameChanges.forEach(Runnable::run);
    pendingNameChanges.clear();
  }

  @Override
  public void close() {}
}
