package hollyslip.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Reads a store after a shutdown or a crash: the newest valid snapshot and all records after it. A torn tail
 * is truncated. Damage that a crash cannot explain ends recovery with an error that names file and
 * position. */
final class StoreRecovery {
  private final StoreDirectory directory;
  private final List<String> warnings = new ArrayList<>();
  private byte[] state;
  private long snapshotSequence;

  StoreRecovery(StoreDirectory directory) {
    this.directory = directory;
  }

  Journal.RecoveredState recover() throws IOException {
    for (String name : directory.listFiles()) {
      if (name.endsWith(Snapshots.PARTIAL_SUFFIX)) {
        directory.delete(name);
      }
    }
    loadSnapshot(Snapshots.snapshotNames(directory.listFiles()));
    List<byte[]> records = new ArrayList<>();
    List<String> segments = Journal.segmentNames(directory.listFiles());
    long nextSequence = snapshotSequence + 1;
    for (int i = 0; i < segments.size(); i++) {
      long firstSequence = Journal.sequenceBefore(segments.get(i)) + 1;
      boolean needed = i + 1 == segments.size() || Journal.sequenceBefore(segments.get(i
          + 1)) >= nextSequence;
      if (!needed) {
        continue;
      }
      if (firstSequence > nextSequence) {
        throw new StoreException(segments.get(i) + ": starts with record " + firstSequence + ", but "
            + nextSequence + " is missing");
      }
      nextSequence = readSegment(segments.get(i), firstSequence, nextSequence, i + 1 == segments.size(),
          records);
    }
    return new Journal.RecoveredState(state, snapshotSequence, records, warnings);
  }

  /** Loads the newest valid snapshot. An older one works as well, since the records after it are kept. */
  private void loadSnapshot(List<String> names) throws IOException {
    StoreException damage = null;
    for (int i = names.size() - 1; i >= 0; i--) {
      try {
        state = Snapshots.read(directory, names.get(i));
        snapshotSequence = Snapshots.sequence(names.get(i));
        return;
      } catch (StoreException e) {
        warnings.add(e.getMessage() + "; using the previous snapshot");
        damage = e;
      }
    }
    if (damage != null) {
      throw damage;
    }
  }

  private long readSegment(String name, long firstSequence, long nextSequence, boolean isLast,
      List<byte[]> records) throws IOException {
    byte[] file = directory.read(name);
    Frames.Scan scan = Frames.scan(file, 0, firstSequence);
    if (scan.damage() != null) {
      throw new StoreException(name + ": " + scan.damage());
    }
    long endSequence = firstSequence + scan.frames().size();
    for (Frames.Frame f : scan.frames()) {
      if (f.sequence() >= nextSequence) {
        records.add(f.payload());
      }
    }
    if (scan.endPosition() < file.length) {
      if (!isLast) {
        // A new segment is started only after all of the previous one was synced.
        throw new StoreException(name + ": byte " + scan.endPosition()
            + ": segment is damaged and is followed by another");
      }
      warnings.add(name + ": torn tail of " + (file.length - scan.endPosition()) + " bytes truncated at byte "
          + scan.endPosition());
      directory.truncate(name, scan.endPosition());
    }
    return Math.max(nextSequence, endSequence);
  }
}
