package hollyslip.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Reads a store after a stop or a crash: the newest snapshot that is whole, all records behind it, the torn
 * tail cut. Damage that no crash explains stops it, with file and place. */
final class StoreRecovery {
  private final StoreDirectory directory;
  private final List<String> warnings = new ArrayList<>();
  private byte[] state;
  private long snapshotSequence;

  StoreRecovery(StoreDirectory disk) {
    this.directory = disk;
  }

  Journal.RecoveredState recover() throws IOException {
    for (String n : directory.listFiles()) {
      if (n.endsWith(Snapshots.PARTIAL_SUFFIX)) {
        directory.delete(n);
      }
    }
    loadSnapshot(Snapshots.snapshotNames(directory.listFiles()));
    List<byte[]> records = new ArrayList<>();
    List<String> segments = Journal.segmentNames(directory.listFiles());
    long next = snapshotSequence + 1;
    for (int i = 0; i < segments.size(); i++) {
      long first = Journal.sequenceBefore(segments.get(i)) + 1;
      boolean needed = i + 1 == segments.size() || Journal.sequenceBefore(segments.get(i + 1)) >= next;
      if (!needed) {
        continue;
      }
      if (first > next) {
        throw new StoreException(segments.get(i) + ": begins with record " + first + ", but " + next
            + " is missing");
      }
      next = readSegment(segments.get(i), first, next, i + 1 == segments.size(), records);
    }
    return new Journal.RecoveredState(state, snapshotSequence, records, warnings);
  }

  /** The newest whole one. An older one serves as well: the records behind it are kept. */
  private void loadSnapshot(List<String> names) throws IOException {
    StoreException damage = null;
    for (int i = names.size() - 1; i >= 0; i--) {
      try {
        state = Snapshots.read(directory, names.get(i));
        snapshotSequence = Snapshots.sequence(names.get(i));
        return;
      } catch (StoreException e) {
        warnings.add(e.getMessage() + "; the one before is used");
        damage = e;
      }
    }
    if (damage != null) {
      throw damage;
    }
  }

  private long readSegment(String name, long first, long next, boolean last, List<byte[]> records)
      throws IOException {
    byte[] file = directory.read(name);
    Frames.Scan scan = Frames.scan(file, 0, first);
    if (scan.damage() != null) {
      throw new StoreException(name + ": " + scan.damage());
    }
    long after = first + scan.frames().size();
    for (Frames.Frame f : scan.frames()) {
      if (f.sequence() >= next) {
        records.add(f.payload());
      }
    }
    if (scan.end() < file.length) {
      if (!last) {
        // A segment is followed by another only after all of it was synced.
        throw new StoreException(name + ": byte " + scan.end() + ": is damaged, and a later segment follows");
      }
      warnings.add(name + ": torn tail of " + (file.length - scan.end()) + " bytes cut at byte " + scan
          .end());
      directory.truncate(name, scan.end());
    }
    return Math.max(next, after);
  }
}
