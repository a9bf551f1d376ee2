package hollyslip.store;

import com.github.luben.zstd.Zstd;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/** Snapshots: magic (4 bytes), version (4), sequence (8), length before compression (8), CRC32C of what
 * follows (4), then the state in zstd. Written beside, synced, then renamed into place. */
final class Snapshots {
  static final String PREFIX = "snapshot-", SUFFIX = ".zst", PARTIAL_SUFFIX = ".half";
  private static final int MAGIC = 0x48535331, VERSION = 1, HEADER = 28;
  private static final int COMPRESSION_LEVEL = 3;

  /** Largest state, bytes: a bound against lengths that are noise. */
  private static final long MAX_STATE_BYTES = 1L << 30;

  private Snapshots() {}

  static String name(long sequence) {
    return String.format("%s%019d%s", PREFIX, sequence, SUFFIX);
  }

  static List<String> snapshotNames(List<String> names) {
    return names.stream().filter(n -> n.startsWith(PREFIX) && n.endsWith(SUFFIX)).sorted().toList();
  }

  /** Sequence that a name stands for. */
  static long sequence(String name) {
    return Long.parseLong(name.substring(PREFIX.length(), name.length() - SUFFIX.length()));
  }

  static void write(StoreDirectory disk, long sequence, byte[] state) throws IOException {
    byte[] packed = Zstd.compress(state, COMPRESSION_LEVEL);
    ByteBuffer b = ByteBuffer.allocate(HEADER + packed.length);
    CRC32C crc = new CRC32C();
    crc.update(packed);
    b.putInt(MAGIC)
        .putInt(VERSION)
        .putLong(sequence)
        .putLong(state.length)
        .putInt((int) crc.getValue())
        .put(packed)
        .flip();
    String name = name(sequence);
    disk.delete(name + PARTIAL_SUFFIX);
    try (StoreDirectory.AppendableFile out = disk.append(name + PARTIAL_SUFFIX)) {
      out.write(b);
      out.sync();
    }
    disk.rename(name + PARTIAL_SUFFIX, name);
    disk.syncDirectory();
  }

  /** The state in a snapshot.
   *
   * @throws StoreException
   *           what is wrong with it, and where */
  static byte[] read(StoreDirectory disk, String name) throws IOException {
    byte[] file = disk.read(name);
    ByteBuffer b = ByteBuffer.wrap(file);
    if (file.length < HEADER || b.getInt() != MAGIC) {
      throw new StoreException(name + ": byte 0: is no snapshot");
    }
    int version = b.getInt();
    if (version != VERSION) {
      throw new StoreException(name + ": byte 4: version " + version + " is not known here");
    }
    long sequence = b.getLong();
    long length = b.getLong();
    CRC32C crc = new CRC32C();
    crc.update(file, HEADER, file.length - HEADER);
    if (sequence != sequence(name) || length < 0 || length > MAX_STATE_BYTES || (int) crc.getValue() != b
        .getInt()) {
      throw new StoreException(name + ": byte " + HEADER + ": is damaged");
    }
    byte[] packed = new byte[file.length - HEADER];
    b.get(packed);
    return Zstd.decompress(packed, (int) length);
  }

  /** Names of all but the newest two: the one before the newest is kept against damage of that. */
  static List<String> obsolete(List<String> names) {
    List<String> all = new ArrayList<>(snapshotNames(names));
    return all.subList(0, Math.max(0, all.size() - 2));
  }
}
