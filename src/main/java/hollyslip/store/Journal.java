package hollyslip.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A write-ahead log with snapshots. Records are numbered from 1 without gaps and are there after a crash
 * once their future is complete; many that wait are synced at once (group commit). Segments of the log begin
 * at a snapshot; the newest two snapshots are kept with all that came after the older one.
 *
 * <p>
 * A write or sync that fails is the end: what the system has kept of it cannot be known any more, so every
 * later record fails too, until the store is opened again. */
public final class Journal implements Closeable {
  private static final Logger LOG = LoggerFactory.getLogger(Journal.class);
  private static final String PREFIX = "log-", SUFFIX = ".wal";

  /** Bytes of records synced together at most. */
  private static final int MOST_BATCH = 8 << 20;

  /** What was found: the state as of {@code sequence}, null: none; the records after it, in order; what was
   * odd, for the operator. */
  public record Found(byte[] state, long sequence, List<byte[]> records, List<String> remarks) {}

  private sealed interface Letter permits Entry, Cut, End {}

  private record Entry(long sequence, byte[] payload, CompletableFuture<Long> done) implements Letter {}

  private record Cut(long sequence, Supplier<byte[]> state, CompletableFuture<Long> done) implements Letter {}

  private record End(CompletableFuture<Void> done) implements Letter {}

  private final Disk disk;
  private final Thread writer;
  private final LinkedBlockingQueue<Letter> letters = new LinkedBlockingQueue<>();
  private final ExecutorService snapshots = Executors.newSingleThreadExecutor(r -> {
    Thread t = new Thread(r, "snapshot");
    t.setDaemon(true);
    return t;
  });
  private final Found found;
  private Disk.Out out;
  private long synced;
  private long last;
  private boolean closing;
  private volatile Throwable broken;

  /** Opens the store and reads all there is.
   *
   * @throws StoreException
   *           a record that had been synced is damaged; nothing is changed then */
  public Journal(Disk disk) throws IOException {
    this.disk = disk;
    found = new Opening(disk).read();
    last = found.sequence + found.records.size();
    synced = last;
    out = disk.append(segmentToWrite());
    disk.syncNames();
    writer = new Thread(this::run, "journal");
    writer.setDaemon(true);
    writer.start();
  }

  private String segmentToWrite() throws IOException {
    List<String> segments = segments(disk.names());
    return segments.isEmpty() ? segment(last) : segments.get(segments.size() - 1);
  }

  static String segment(long after) {
    return String.format("%s%019d%s", PREFIX, after, SUFFIX);
  }

  static List<String> segments(List<String> names) {
    return names.stream().filter(n -> n.startsWith(PREFIX) && n.endsWith(SUFFIX)).sorted().toList();
  }

  /** Sequence after which a segment begins. */
  static long after(String name) {
    return Long.parseLong(name.substring(PREFIX.length(), name.length() - SUFFIX.length()));
  }

  /** What was found at the opening. */
  public Found found() {
    return found;
  }

  /** Appends a record; complete with its sequence once it is synced. Records are numbered in the order of the
   * calls. */
  public synchronized CompletableFuture<Long> append(byte[] payload) {
    if (payload.length == 0 || payload.length > Frames.MOST) {
      throw new IllegalArgumentException("record: " + payload.length + " bytes");
    }
    CompletableFuture<Long> done = new CompletableFuture<>();
    if (closing) {
      done.completeExceptionally(new StoreException("the store is closed"));
    } else {
      letters.add(new Entry(++last, payload, done));
    }
    return done;
  }

  /** Sequence of the last record appended; it need not be synced. */
  public synchronized long last() {
    return last;
  }

  /** Keeps the state as of a sequence, so that what came before is not needed any more. The state must be
   * that after exactly the records up to {@code sequence}, which must be the last that was appended; it is
   * asked for later, on another thread. */
  public synchronized CompletableFuture<Long> snapshot(long sequence, Supplier<byte[]> state) {
    if (sequence != last) {
      throw new IllegalArgumentException("sequence: " + sequence + " is not the last, " + last);
    }
    CompletableFuture<Long> done = new CompletableFuture<>();
    if (closing) {
      done.completeExceptionally(new StoreException("the store is closed"));
    } else {
      letters.add(new Cut(sequence, state, done));
    }
    return done;
  }

  /** Why nothing can be written any more; null: it can. */
  public Throwable broken() {
    return broken;
  }

  private void run() {
    List<Letter> batch = new ArrayList<>();
    boolean open = true;
    while (open) {
      batch.clear();
      try {
        batch.add(letters.take());
      } catch (InterruptedException e) {
        return;
      }
      letters.drainTo(batch);
      open = write(batch);
    }
  }

  private boolean write(List<Letter> batch) {
    List<Entry> group = new ArrayList<>();
    int bytes = 0;
    for (Letter l : batch) {
      if (l instanceof Entry e) {
        group.add(e);
        bytes += e.payload.length;
        if (bytes > MOST_BATCH) {
          commit(group);
          bytes = 0;
        }
      } else {
        commit(group);
        bytes = 0;
        if (l instanceof Cut c) {
          cut(c);
        } else if (l instanceof End e) {
          end(e);
          return false;
        }
      }
    }
    commit(group);
    return true;
  }

  /** Writes and syncs a group, then tells those who wait. */
  private void commit(List<Entry> group) {
    if (group.isEmpty()) {
      return;
    }
    try {
      if (broken == null) {
        int size = group.stream().mapToInt(e -> Frames.HEADER + e.payload.length).sum();
        ByteBuffer all = ByteBuffer.allocate(size);
        group.forEach(e -> all.put(Frames.encode(e.sequence, synced, e.payload)));
        out.write(all.flip());
        out.sync();
        synced = group.get(group.size() - 1).sequence;
        mark();
      }
    } catch (IOException | RuntimeException e) {
      fail(e);
    }
    for (Entry e : group) {
      if (e.sequence <= synced) {
        e.done.complete(e.sequence);
      } else {
        e.done.completeExceptionally(new StoreException("the store cannot be written", broken));
      }
    }
    group.clear();
  }

  /** Notes, without a sync, what is synced: damage to the last record is told from a torn tail by it. */
  private void mark() throws IOException {
    if (letters.isEmpty()) {
      out.write(Frames.encode(synced, synced, new byte[0]));
    }
  }

  private void fail(Throwable e) {
    broken = e;
    LOG.atError().setCause(e).log("store.broken");
  }

  /** Begins a new segment; the state is packed and written beside, while records go on. */
  private void cut(Cut c) {
    try {
      if (broken != null) {
        throw new StoreException("the store cannot be written", broken);
      }
      // The last mark is not synced yet; a segment that another follows must have no torn tail.
      out.sync();
      Disk.Out next = disk.append(segment(c.sequence));
      disk.syncNames();
      out.close();
      out = next;
    } catch (IOException | RuntimeException e) {
      if (broken == null) {
        fail(e);
      }
      c.done.completeExceptionally(e);
      return;
    }
    snapshots.execute(() -> {
      try {
        Snapshots.write(disk, c.sequence, c.state.get());
        tidy();
        c.done.complete(c.sequence);
      } catch (IOException | RuntimeException e) {
        // The log holds all of it still; the next snapshot may succeed.
        LOG.atError().setCause(e).log("store.snapshot");
        c.done.completeExceptionally(e);
      }
    });
  }

  private void tidy() throws IOException {
    List<String> names = disk.names();
    List<String> kept = Snapshots.of(names);
    long oldest = kept.size() < 2 ? 0 : Snapshots.sequence(kept.get(kept.size() - 2));
    for (String n : Snapshots.old(names)) {
      disk.delete(n);
    }
    for (String n : segments(names)) {
      if (after(n) < oldest) {
        disk.delete(n);
      }
    }
    disk.syncNames();
  }

  private void end(End e) {
    snapshots.shutdown();
    try {
      snapshots.awaitTermination(1, TimeUnit.MINUTES);
      out.close();
      disk.close();
      e.done.complete(null);
    } catch (IOException | InterruptedException x) {
      e.done.completeExceptionally(x);
    }
  }

  /** Ends after what was appended is written. */
  @Override
  public void close() {
    CompletableFuture<Void> done = new CompletableFuture<>();
    synchronized (this) {
      if (closing) {
        return;
      }
      closing = true;
      letters.add(new End(done));
    }
    done.join();
  }
}
