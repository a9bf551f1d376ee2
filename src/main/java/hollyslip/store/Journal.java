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

/** A write-ahead log with snapshots. Records are numbered from 1 without gaps and are durable once their
 * future completes; waiting records are synced together (group commit). Each segment of the log starts at a
 * snapshot. The newest two snapshots are kept, with all records after the older one.
 *
 * <p>
 * A failed write or sync is final: it is unknown how much of it reached the disk, so all later appends fail
 * until the store is opened again. */
public final class Journal implements Closeable {
  private static final Logger LOG = LoggerFactory.getLogger(Journal.class);
  private static final String SEGMENT_PREFIX = "log-", SEGMENT_SUFFIX = ".wal";

  /** Payload bytes after which a group is synced without waiting for more records. */
  private static final int MAX_BATCH_BYTES = 8 << 20;

  /** State read when the store was opened: the newest valid snapshot as of {@code sequence} (null: none), the
   * records after it in order, and warnings for the operator. */
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

  /** Opens the store and reads its contents.
   *
   * @throws StoreException
   *           a synced record is damaged; no file is changed in this case */
  public Journal(StoreDirectory directory) throws IOException {
    this.directory = directory;
    recovered = new StoreRecovery(directory).recover();
    lastSequence = recovered.sequence + recovered.records.size();
    syncedSequence = lastSequence;
    segmentFile = directory.append(segmentToWrite());
    directory.syncDirectory();
    writer = new Thread(this::runWriter, "journal");
    writer.setDaemon(true);
    writer.start();
  }

  private String segmentToWrite() throws IOException {
    List<String> segments = segmentNames(directory.listFiles());
    return segments.isEmpty() ? segmentName(lastSequence) : segments.get(segments.size() - 1);
  }

  static String segmentName(long sequenceBefore) {
    return String.format("%s%019d%s", SEGMENT_PREFIX, sequenceBefore, SEGMENT_SUFFIX);
  }

  static List<String> segmentNames(List<String> names) {
    return names.stream()
        .filter(name -> name.startsWith(SEGMENT_PREFIX) && name.endsWith(SEGMENT_SUFFIX))
        .sorted()
        .toList();
  }

  /** Returns the sequence after which a segment starts. */
  static long sequenceBefore(String name) {
    return Long.parseLong(name.substring(SEGMENT_PREFIX.length(), name.length() - SEGMENT_SUFFIX.length()));
  }

  /** Returns the state read when the store was opened. */
  public RecoveredState recovered() {
    return recovered;
  }

  /** Appends a record. The future completes with its sequence once it is synced. Records are numbered in the
   * order of the calls. */
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

  /** Returns the sequence of the last appended record, which may not be synced yet. */
  public synchronized long lastSequence() {
    return lastSequence;
  }

  /** Writes a snapshot, which replaces all records up to {@code sequence}. That must be the last appended
   * record, and the state must be the one after exactly these records. The supplier is called later, on
   * another thread. */
  public synchronized CompletableFuture<Long> snapshot(long sequence, Supplier<byte[]> state) {
    if (sequence != lastSequence) {
      throw new IllegalArgumentException("sequence: " + sequence + " is not the last one, " + lastSequence);
    }
    CompletableFuture<Long> done = new CompletableFuture<>();
    if (closing) {
      done.completeExceptionally(new StoreException("the store is closed"));
    } else {
      tasks.add(new SnapshotTask(sequence, state, done));
    }
    return done;
  }

  /** Returns the error after which nothing can be written any more, or null. */
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
    for (WriterTask task : batch) {
      if (task instanceof AppendTask e) {
        group.add(e);
        bytes += e.payload.length;
        if (bytes > MAX_BATCH_BYTES) {
          commit(group);
          bytes = 0;
        }
      } else {
        commit(group);
        bytes = 0;
        if (task instanceof SnapshotTask snapshot) {
          startSegment(snapshot);
        } else if (task instanceof CloseTask e) {
          shutDown(e);
          return false;
        }
      }
    }
    commit(group);
    return true;
  }

  /** Writes and syncs a group of records, then completes their futures. */
  private void commit(List<AppendTask> group) {
    if (group.isEmpty()) {
      return;
    }
    try {
      if (failure == null) {
        int size = group.stream().mapToInt(e -> Frames.HEADER + e.payload.length).sum();
        ByteBuffer buffer = ByteBuffer.allocate(size);
        group.forEach(e -> buffer.put(Frames.encode(e.sequence, syncedSequence, e.payload)));
        segmentFile.write(buffer.flip());
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

  /** Writes, without a sync, a frame with the last synced sequence. It lets recovery distinguish damage to
   * the last record from a torn tail. */
  private void writeSyncMark() throws IOException {
    if (tasks.isEmpty()) {
      segmentFile.write(Frames.encode(syncedSequence, syncedSequence, new byte[0]));
    }
  }

  private void markFailed(Throwable e) {
    failure = e;
    LOG.atError().setCause(e).log("store.broken");
  }

  /** Starts a new segment. The snapshot is compressed and written in the background while appends
   * continue. */
  private void startSegment(SnapshotTask snapshot) {
    try {
      if (failure != null) {
        throw new StoreException("the store cannot be written", failure);
      }
      // The last sync mark is not synced yet, and a segment followed by another must not have a torn tail.
      segmentFile.sync();
      StoreDirectory.AppendableFile next = directory.append(segmentName(snapshot.sequence));
      directory.syncDirectory();
      segmentFile.close();
      segmentFile = next;
    } catch (IOException | RuntimeException e) {
      if (failure == null) {
        markFailed(e);
      }
      snapshot.done.completeExceptionally(e);
      return;
    }
    snapshots.execute(() -> {
      try {
        Snapshots.write(directory, snapshot.sequence, snapshot.state.get());
        deleteObsoleteFiles();
        snapshot.done.complete(snapshot.sequence);
      } catch (IOException | RuntimeException e) {
        // The log still holds all records; the next snapshot may succeed.
        LOG.atError().setCause(e).log("store.snapshot");
        snapshot.done.completeExceptionally(e);
      }
    });
  }

  private void deleteObsoleteFiles() throws IOException {
    List<String> names = directory.listFiles();
    List<String> kept = Snapshots.snapshotNames(names);
    long oldestNeeded = kept.size() < 2 ? 0 : Snapshots.sequence(kept.get(kept.size() - 2));
    for (String name : Snapshots.obsolete(names)) {
      directory.delete(name);
    }
    for (String name : segmentNames(names)) {
      if (sequenceBefore(name) < oldestNeeded) {
        directory.delete(name);
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
    } catch (IOException | InterruptedException error) {
      e.done.completeExceptionally(error);
    }
  }

  /** Closes the store after all appended records are written. */
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
