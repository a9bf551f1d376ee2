package hollyslip.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/** A folder of the file system. One process holds it at a time. */
public final class Folder implements StoreDirectory {
  private static final String LOCK_FILE = "lock";

  private final Path dir;
  private final FileChannel lockChannel;

  /** @throws IOException
   *           also if another process holds the folder */
  public Folder(Path dir) throws IOException {
    this.dir = Files.createDirectories(dir);
    lockChannel = FileChannel.open(dir.resolve(LOCK_FILE), StandardOpenOption.CREATE,
        StandardOpenOption.WRITE);
    FileLock lock;
    try {
      lock = lockChannel.tryLock();
    } catch (OverlappingFileLockException e) {
      lock = null;
    }
    if (lock == null) {
      lockChannel.close();
      throw new IOException(dir + ": another process holds this store");
    }
  }

  @Override
  public List<String> listFiles() throws IOException {
    try (Stream<Path> all = Files.list(dir)) {
      return all.map(p -> p.getFileName().toString()).filter(n -> !n.equals(LOCK_FILE)).sorted().toList();
    }
  }

  @Override
  public byte[] read(String name) throws IOException {
    return Files.readAllBytes(dir.resolve(name));
  }

  @Override
  public AppendableFile append(String name) throws IOException {
    FileChannel c = FileChannel.open(dir.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.WRITE,
        StandardOpenOption.APPEND);
    return new AppendableFile() {
      @Override
      public void write(ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
          c.write(bytes);
        }
      }

      @Override
      public void sync() throws IOException {
        c.force(false);
      }

      @Override
      public void close() throws IOException {
        c.close();
      }
    };
  }

  @Override
  public void truncate(String name, long size) throws IOException {
    try (FileChannel c = FileChannel.open(dir.resolve(name), StandardOpenOption.WRITE)) {
      c.truncate(size);
      c.force(true);
    }
  }

  @Override
  public void rename(String from, String to) throws IOException {
    Files.move(dir.resolve(from), dir.resolve(to), StandardCopyOption.ATOMIC_MOVE);
  }

  @Override
  public void delete(String name) throws IOException {
    Files.deleteIfExists(dir.resolve(name));
  }

  @Override
  public void syncDirectory() throws IOException {
    try (FileChannel c = FileChannel.open(dir)) {
      c.force(true);
    }
  }

  @Override
  public void close() throws IOException {
    lockChannel.close();
  }
}
