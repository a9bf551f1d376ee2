package hollyslip.recovery;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** A number that grows with each start of a gateway, whatever the clock does: nodes fence earlier ones. Its
 * folder is one process's until {@link #close}. */
public final class Epoch implements AutoCloseable {
  private final Path file;
  private final FileChannel lock;
  private long last;

  /** Opens the record of a state folder.
   *
   * @throws IOException
   *           another process has it, or it cannot be read: taking a guess could let an old process's writes
   *           through */
  public Epoch(Path folder) throws IOException {
    Files.createDirectories(folder);
    file = folder.resolve("epoch");
    lock = FileChannel.open(folder.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    try {
      if (lock.tryLock() == null) {
        throw new IOException(folder + ": another process uses this state folder");
      }
      last = parse(Files.exists(file) ? Files.readString(file) : null);
    } catch (OverlappingFileLockException e) {
      lock.close();
      throw new IOException(folder + ": another gateway of this process uses this state folder", e);
    } catch (IllegalArgumentException e) {
      lock.close();
      throw new IOException(file + ": " + e.getMessage(), e);
    } catch (IOException e) {
      lock.close();
      throw e;
    }
  }

  /** The number in a record's text; null: there is none. */
  static long parse(String text) {
    if (text == null) {
      return 0;
    }
    try {
      long n = Long.parseLong(text.strip());
      if (n < 0 || n == Long.MAX_VALUE) {
        throw new IllegalArgumentException("epoch: " + n + " is out of range");
      }
      return n;
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("epoch: not a number: '" + text.strip() + "'", e);
    }
  }

  /** The number last taken here, 0: none. */
  public synchronized long last() {
    return last;
  }

  /** Takes a number, above all that were taken here: on disk before this returns. */
  public synchronized void take(long epoch) throws IOException {
    if (epoch <= last) {
      throw new IllegalArgumentException("epoch: " + epoch + " is not above " + last);
    }
    Path fresh = file.resolveSibling(file.getFileName() + ".new");
    try (FileChannel c = FileChannel.open(fresh, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
        StandardOpenOption.TRUNCATE_EXISTING)) {
      c.write(ByteBuffer.wrap((epoch + "\n").getBytes(StandardCharsets.US_ASCII)));
      c.force(true);
    }
    Files.move(fresh, file, StandardCopyOption.ATOMIC_MOVE);
    try (FileChannel dir = FileChannel.open(file.getParent())) {
      dir.force(true);
    }
    last = epoch;
  }

  @Override
  public void close() throws IOException {
    lock.close();
  }
}
