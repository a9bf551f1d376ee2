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

/** Stores the epoch of a gateway, a number that grows with each start whatever the clock does: nodes fence
 * earlier epochs. Locks its state directory against other processes until {@link #close}. */
public final class EpochStore implements AutoCloseable {
  private final Path file;
  private final FileChannel lockChannel;
  private long last;

  /** Opens the epoch file of a state directory.
   *
   * @throws IOException
   *           another process uses the directory, or the file cannot be read; assuming an epoch could let
   *           writes of an old process through */
  public EpochStore(Path directory) throws IOException {
    Files.createDirectories(directory);
    file = directory.resolve("epoch");
    lockChannel = FileChannel.open(directory.resolve("lock"), StandardOpenOption.CREATE,
        StandardOpenOption.WRITE);
    try {
      if (lockChannel.tryLock() == null) {
        throw new IOException(directory + ": another process uses this state folder");
      }
      last = parse(Files.exists(file) ? Files.readString(file) : null);
    } catch (OverlappingFileLockException e) {
      lockChannel.close();
      throw new IOException(directory + ": another gateway of this process uses this state folder", e);
    } catch (IllegalArgumentException e) {
      lockChannel.close();
      throw new IOException(file + ": " + e.getMessage(), e);
    } catch (IOException e) {
      lockChannel.close();
      throw e;
    }
  }

  /** Parses the content of the epoch file; a null content, when there is no file, counts as 0. */
  static long parse(String text) {
    if (text == null) {
      return 0;
    }
    try {
      long epoch = Long.parseLong(text.strip());
      if (epoch < 0 || epoch == Long.MAX_VALUE) {
        throw new IllegalArgumentException("epoch: " + epoch + " is out of range");
      }
      return epoch;
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("epoch: not a number: '" + text.strip() + "'", e);
    }
  }

  /** The epoch last stored; 0 if there is none. */
  public synchronized long last() {
    return last;
  }

  /** Stores an epoch, which must be above the last one; it is durable when this returns. */
  public synchronized void advanceTo(long epoch) throws IOException {
    if (epoch <= last) {
      throw new IllegalArgumentException("epoch: " + epoch + " is not above " + last);
    }
    Path newFile = file.resolveSibling(file.getFileName() + ".new");
    try (FileChannel channel = FileChannel.open(newFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
        StandardOpenOption.TRUNCATE_EXISTING)) {
      channel.write(ByteBuffer.wrap((epoch + "\n").getBytes(StandardCharsets.US_ASCII)));
      channel.force(true);
    }
    Files.move(newFile, file, StandardCopyOption.ATOMIC_MOVE);
    try (FileChannel parent = FileChannel.open(file.getParent())) {
      parent.force(true);
    }
    last = epoch;
  }

  @Override
  public void close() throws IOException {
    lockChannel.close();
  }
}
