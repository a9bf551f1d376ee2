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

/** A store directory on the file system, locked by one process at a time. */
public final class FileSystemDirectory implements StoreDirectory {
  private static final String LOCK_FILE = "lock";

  private final Path directory;
  private final FileChannel lockChannel;

  /** @throws IOException
   *           the directory cannot be opened, or another process has locked it */
  public FileSystemDirectory(Path directory) throws IOException {
    this.directory = Files.createDirectories(directory);
    lockChannel = FileChannel.open(directory.resolve(LOCK_FILE), StandardOpenOption.CREATE,
        StandardOpenOption.WRITE);
    FileLock lock;
    try {
      lock = lockChannel.tryLock();
    } catch (OverlappingFileLockException e) {
      lock = null;
    }
    if (lock == null) {
      lockChannel.close();
      throw new IOException(directory + ": store is locked by another process");
    }
  }

  @Override
  public List<String> listFiles() throws IOException {
    try (Stream<Path> files = Files.list(directory)) {
      return files.map(p -> p.getFileName().toString()).filter(n -> !n.equals(LOCK_FILE)).sorted().toList();
    }
  }

  @Override
  public byte[] read(String name) throws IOException {
    return Files.readAllBytes(directory.resolve(name));
  }

  @Override
  public AppendableFile append(String name) throws IOException {
    FileChannel channel = FileChannel.open(directory.resolve(name), StandardOpenOption.CREATE,
        StandardOpenOption.WRITE, StandardOpenOption.APPEND);
    return new AppendableFile() {
      @Override
      public void write(ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
          channel.write(bytes);
        }
      }

      @Override
      public void sync() throws IOException {
        channel.force(false);
      }

      @Override
      public void close() throws IOException {
        channel.close();
      }
    };
  }

  @Override
  public void truncate(String name, long size) throws IOException {
    try (FileChannel channel = FileChannel.open(directory.resolve(name), StandardOpenOption.WRITE)) {
      channel.truncate(size);
      channel.force(true);
    }
  }

  @Override
  public void rename(String from, String to) throws IOException {
    Files.move(directory.resolve(from), directory.resolve(to), StandardCopyOption.ATOMIC_MOVE);
  }

  @Override
  public void delete(String name) throws IOException {
    Files.deleteIfExists(directory.resolve(name));
  }

  @Override
  public void syncDirectory() throws IOException {
    try (FileChannel channel = FileChannel.open(directory)) {
      channel.force(true);
    }
  }

  @Override
  public void close() throws IOException {
    lockChannel.close();
  }
}
