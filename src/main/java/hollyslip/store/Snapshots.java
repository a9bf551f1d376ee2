package hollyslip.store;

import com.github.luben.zstd.Zstd;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/** Snapshot files: magic (4 bytes), version (4), sequence (8), uncompressed length (8), CRC32C of the rest
 * (4), state compressed with zstd. A snapshot is written to a temporary file, synced, and renamed into
 * place. */
final class Snapshots {
  static final String PREFIX = "snapshot-", SUFFIX = ".zst", PARTIAL_SUFFIX = ".half";
  private static final int MAGIC = 0x48535331, VERSION = 1, HEADER = 28;
  private static final int COMPRESSION_LEVEL = 3;

  /** Maximum size of the uncompressed state, bytes; rejects lengths read from garbage. */
  private static final long MAX_STATE_BYTES = 1L << 30;

  private Snapshots() {}

  static String name(long sequence) {
    return String.format("%s%019d%s", PREFIX, sequence, SUFFIX);
  }

  static List<String> snapshotNames(List<String> names) {
    return names.stream().filter(n -> n.startsWith(PREFIX) && n.endsWith(SUFFIX)).sorted().toList();
  }

  /** Returns the sequence in the name of a snapshot. */
  static long sequence(String name) {
    return Long.parseLong(name.substring(PREFIX.length(), name.length() - SUFFIX.length()));
  }

  static void write(StoreDirectory disk, long sequence, byte[] state) throws IOException {
    byte[] compressed = Zstd.compress(state, COMPRESSION_LEVEL);
    ByteBuffer buffer = ByteBuffer.allocate(HEADER + compressed.length);
    CRC32C crc = new CRC32C();
    crc.update(compressed);
    buffer.putInt(MAGIC)
        .putInt(VERSION)
        .putLong(sequence)
        .putLong(state.length)
        .putInt((int) crc.getValue())
        .put(compressed)
        .flip();
    String name = name(sequence);
    disk.delete(name + PARTIAL_SUFFIX);
    try (StoreDirectory.AppendableFile out = disk.append(name + PARTIAL_SUFFIX)) {
      out.write(buffer);
      out.sync();
    }
    disk.rename(name + PARTIAL_SUFFIX, name);
    disk.syncDirectory();
  }

  /** Reads the state from a snapshot.
   *
   * @throws StoreException
   *           the snapshot is invalid; the message says where */
  static byte[] read(StoreDirectory disk, String name) throws IOException {
    byte[] file = disk.read(name);
    ByteBuffer buffer = ByteBuffer.wrap(file);
    if (file.length < HEADER || buffer.getInt() != MAGIC) {
      throw new StoreException(name + ": byte 0: not a snapshot");
    }
    int version = buffer.getInt();
    if (version != VERSION) {
      throw new StoreException(name + ": byte 4: version " + version + " is not supported");
    }
    long sequence = buffer.getLong();
    long length = buffer.getLong();
    CRC32C crc = new CRC32C();
    crc.update(file, HEADER, file.length - HEADER);
    if (sequence != sequence(name) || length < 0 || length > MAX_STATE_BYTES || (int) crc.getValue() != buffer
        .getInt()) {
      throw new StoreException(name + ": byte " + HEADER + ": snapshot is damaged");
    }
    byte[] compressed = new byte[file.length - HEADER];
    buffer.get(compressed);
    return Zstd.decompress(compressed, (int) length);
  }

  /** Returns the names of all but the newest two snapshots. The second newest is kept in case the newest is
   * damaged. */
  static List<String> obsolete(List<String> names) {
    List<String> snapshots = new ArrayList<>(snapshotNames(names));
    return snapshots.subList(0, Math.max(0, snapshots.size() - 2));
  }
}
