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
  private static final String SEGMENT_PREFIX = "log-", SEGMENT_SUFFIX = ".wal";

  /** Bytes of records synced together at most. */
  private static final int MAX_BATCH_BYTES = 8 << 20;

  /** What was found: the state as of {@code sequence}, null: none; the records after it, in order; what was
   * odd, for the operator. */
  public record RecoveredState(byte[] state, long sequence, List<byte[]> records, List<String> warnings) {}

  private sealed interface WriterTask permits AppendTask, SnapshotTask, CloseTask {}

  private record AppendTask(long sequence, byte[] payload, CompletableFuture<Long> done)
      implements
        WriterTask {}

  private record SnapshotTask(long sequence, Supplier<byte[]> state, CompletableFuture<Long> done)
      implements
        WriterTask {}

  private record CloseTask(CompletableFuture<Void> done) implements WriterTask {}

  private final StoreDirectory directory;
  private final Thread writer;
  private final LinkedBlockingQueue<WriterTask> tasks = new LinkedBlockingQueue<>();
  private final ExecutorService snapshots = Executors.newSingleThreadExecutor(r -> {
    Thread t = new Thread(r, "snapshot");
    t.setDaemon(true);
    return t;
  });
  private final RecoveredState recovered;
  private StoreDirectory.AppendableFile segmentFile;
  private long syncedSequence;
  private long lastSequence;
  private boolean closing;
  private volatile Throwable failure;

  /** Opens the store and reads all there is.
   *
   * @throws StoreException
   *           a record that had been synced is damaged; nothing is changed then */
  public Journal(StoreDirectory disk) throws IOException {
    this.directory = disk;
    recovered = new StoreRecovery(disk).recover();
    lastSequence = recovered.sequence + recovered.records.size();
    syncedSequence = lastSequence;
    segmentFile = disk.append(segmentToWrite());
    disk.syncDirectory();
    writer = new Thread(this::runWriter, "journal");
    writer.setDaemon(true);
    writer.start();
  }

  private String segmentToWrite() throws IOException {
    List<String> segments = segmentNames(directory.listFiles());
    return segments.isEmpty() ? segmentName(lastSequence) : segments.get(segments.size() - 1);
  }

  static String segmentName(long after) {
    return String.format("%s%019d%s", SEGMENT_PREFIX, after, SEGMENT_SUFFIX);
  }

  static List<String> segmentNames(List<String> names) {
    return names.stream()
        .filter(n -> n.startsWith(SEGMENT_PREFIX) && n.endsWith(SEGMENT_SUFFIX))
        .sorted()
        .toList();
  }

  /** Sequence after which a segment begins. */
  static long sequenceBefore(String name) {
    return Long.parseLong(name.substring(SEGMENT_PREFIX.length(), name.length() - SEGMENT_SUFFIX.length()));
  }

  /** What was found at the opening. */
  public RecoveredState recovered() {
    return recovered;
  }

  /** Appends a record; complete with its sequence once it is synced. Records are numbered in the order of the
   * calls. */
  public synchronized CompletableFuture<Long> append(byte[] payload) {
    if (payload.length == 0 || payload.length > Frames.MAX_PAYLOAD_BYTES) {
      throw new IllegalArgumentException("record: " + payload.length + " bytes");
    }
    CompletableFuture<Long> done = new CompletableFuture<>();
    if (closing) {
      done.completeExceptionally(new StoreException("the store is closed"));
    } else {
      tasks.add(new AppendTask(++lastSequence, payload, done));
    }
    return done;
  }

  /** Sequence of the last record appended; it need not be synced. */
  public synchronized long lastSequence() {
    return lastSequence;
  }

  /** Keeps the state as of a sequence, so that what came before is not needed any more. The state must be
   * that after exactly the records up to {@code sequence}, which must be the last that was appended; it is
   * asked for later, on another thread. */
  public synchronized CompletableFuture<Long> snapshot(long sequence, Supplier<byte[]> state) {
    if (sequence != lastSequence) {
      throw new IllegalArgumentException("sequence: " + sequence + " is not the last, " + lastSequence);
    }
    CompletableFuture<Long> done = new CompletableFuture<>();
    if (closing) {
      done.completeExceptionally(new StoreException("the store is closed"));
    } else {
      tasks.add(new SnapshotTask(sequence, state, done));
    }
    return done;
  }

  /** Why nothing can be written any more; null: it can. */
  public Throwable failure() {
    return failure;
  }

  private void runWriter() {
    List<WriterTask> batch = new ArrayList<>();
    boolean open = true;
    while (open) {
      batch.clear();
      try {
        batch.add(tasks.take());
      } catch (InterruptedException e) {
        return;
      }
      tasks.drainTo(batch);
      open = write(batch);
    }
  }

  private boolean write(List<WriterTask> batch) {
    List<AppendTask> group = new ArrayList<>();
    int bytes = 0;
    for (WriterTask l : batch) {
      if (l instanceof AppendTask e) {
        group.add(e);
        bytes += e.payload.length;
        if (bytes > MAX_BATCH_BYTES) {
          commit(group);
          bytes = 0;
        }
      } else {
        commit(group);
        bytes = 0;
        if (l instanceof SnapshotTask c) {
          startSegment(c);
        } else if (l instanceof CloseTask e) {
          shutDown(e);
          return false;
        }
      }
    }
    commit(group);
    return true;
  }

  /** Writes and syncs a group, then tells those who wait. */
  private void commit(List<AppendTask> group) {
    if (group.isEmpty()) {
      return;
    }
    try {
      if (failure == null) {
        int size = group.stream().mapToInt(e -> Frames.HEADER + e.payload.length).sum();
        ByteBuffer all = ByteBuffer.allocate(size);
        group.forEach(e -> all.put(Frames.encode(e.sequence, syncedSequence, e.payload)));
        segmentFile.write(all.flip());
        segmentFile.sync();
        syncedSequence = group.get(group.size() - 1).sequence;
        writeSyncMark();
      }
    } catch (IOException | RuntimeException e) {
      markFailed(e);
    }
    for (AppendTask e : group) {
      if (e.sequence <= syncedSequence) {
        e.done.complete(e.sequence);
      } else {
        e.done.completeExceptionally(new StoreException("the store cannot be written", failure));
      }
    }
    group.clear();
  }

  /** Notes, without a sync, what is synced: damage to the last record is told from a torn tail by it. */
  private void writeSyncMark() throws IOException {
    if (tasks.isEmpty()) {
      segmentFile.write(Frames.encode(syncedSequence, syncedSequence, new byte[0]));
    }
  }

  private void markFailed(Throwable e) {
    failure = e;
    LOG.atError().setCause(e).log("store.broken");
  }

  /** Begins a new segment; the state is packed and written beside, while records go on. */
  private void startSegment(SnapshotTask c) {
    try {
      if (failure != null) {
        throw new StoreException("the store cannot be written", failure);
      }
      // The last mark is not synced yet; a segment that another follows must have no torn tail.
      segmentFile.sync();
      StoreDirectory.AppendableFile next = directory.append(segmentName(c.sequence));
      directory.syncDirectory();
      segmentFile.close();
      segmentFile = next;
    } catch (IOException | RuntimeException e) {
      if (failure == null) {
        markFailed(e);
      }
      c.done.completeExceptionally(e);
      return;
    }
    snapshots.execute(() -> {
      try {
        Snapshots.write(directory, c.sequence, c.state.get());
        deleteObsoleteFiles();
        c.done.complete(c.sequence);
      } catch (IOException | RuntimeException e) {
        // The log holds all of it still; the next snapshot may succeed.
        LOG.atError().setCause(e).log("store.snapshot");
        c.done.completeExceptionally(e);
      }
    });
  }

  private void deleteObsoleteFiles() throws IOException {
    List<String> names = directory.listFiles();
    List<String> kept = Snapshots.snapshotNames(names);
    long oldest = kept.size() < 2 ? 0 : Snapshots.sequence(kept.get(kept.size() - 2));
    for (String n : Snapshots.obsolete(names)) {
      directory.delete(n);
    }
    for (String n : segmentNames(names)) {
      if (sequenceBefore(n) < oldest) {
        directory.delete(n);
      }
    }
    directory.syncDirectory();
  }

  private void shutDown(CloseTask e) {
    snapshots.shutdown();
    try {
      snapshots.awaitTermination(1, TimeUnit.MINUTES);
      segmentFile.close();
      directory.close();
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
      tasks.add(new CloseTask(done));
    }
    done.join();
  }
}
