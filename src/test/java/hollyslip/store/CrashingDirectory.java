package hollyslip.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/** An in-memory directory that can crash before any write, sync or change of a name. Each unsynced write is
 * then kept, dropped or torn independently, so that a later write may survive without an earlier one. */
final class CrashingDirectory implements StoreDirectory {
  /** A file: synced bytes followed by unsynced writes. */
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

  /** @param stepsUntilCrash
   *          steps until the crash; negative: no crash */
  CrashingDirectory(long stepsUntilCrash) {
    this.stepsUntilCrash = stepsUntilCrash;
  }

  private synchronized void step() throws IOException {
    steps++;
    if (stepsUntilCrash >= 0 && stepsUntilCrash-- <= 0) {
      stepsUntilCrash = 0;
      throw new IOException("crash");
    }
  }

  /** Returns the directory as it is after the crash; it crashes again after {@code stepsUntilNextCrash}
   * steps. */
  synchronized CrashingDirectory afterCrash(SplittableRandom random, long stepsUntilNextCrash) {
    CrashingDirectory result = new CrashingDirectory(stepsUntilNextCrash);
    int applied = random.nextInt(pendingNameChanges.size() + 1);
    pendingNameChanges.subList(0, applied).forEach(Runnable::run);
    durable.forEach((name, content) -> {
      Content survivor = new Content();
      survivor.synced = content.afterCrash(random);
      result.current.put(name, survivor);
      result.durable.put(name, survivor);
    });
    return result;
  }

  /** Flips bits of one synced byte. */
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
    Content content = current.computeIfAbsent(name, survivor -> {
      Content created = new Content();
      pendingNameChanges.add(() -> durable.put(name, created));
      return created;
    });
    return new AppendableFile() {
      @Override
      public void write(ByteBuffer bytes) throws IOException {
        step();
        byte[] b = new byte[bytes.remaining()];
        bytes.get(b);
        synchronized (CrashingDirectory.this) {
          content.unsynced.add(b);
        }
      }

      @Override
      public void sync() throws IOException {
        step();
        synchronized (CrashingDirectory.this) {
          content.synced = content.allBytes();
          content.unsynced.clear();
        }
      }

      @Override
      public void close() {}
    };
  }

  @Override
  public synchronized void truncate(String name, long size) throws IOException {
    step();
    Content content = current.get(name);
    content.synced = java.util.Arrays.copyOf(content.allBytes(), (int) size);
    content.unsynced.clear();
  }

  @Override
  public synchronized void rename(String from, String to) throws IOException {
    step();
    Content content = current.remove(from);
    current.put(to, content);
    pendingNameChanges.add(() -> {
      durable.remove(from);
      durable.put(to, content);
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
