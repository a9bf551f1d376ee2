package hollyslip.recovery;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** A number that grows with each start of a gateway, whatever the clock does: nodes fence earlier ones. */
public final class Epoch {
  private Epoch() {}

  /** The number after the one that the file holds.
   *
   * @param before
   *          text of the file; null: there is none
   * @throws IllegalArgumentException
   *           it holds something else: taking a guess could let an old process's writes through */
  static long next(String before) {
    if (before == null) {
      return 1;
    }
    try {
      long n = Long.parseLong(before.strip());
      if (n < 0 || n == Long.MAX_VALUE) {
        throw new IllegalArgumentException("epoch: " + n + " is out of range");
      }
      return n + 1;
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("epoch: not a number: '" + before.strip() + "'", e);
    }
  }

  /** Takes the next number of a file: on disk before it is used. */
  public static long take(Path file) throws IOException {
    long n;
    try {
      n = next(Files.exists(file) ? Files.readString(file) : null);
    } catch (IllegalArgumentException e) {
      throw new IOException(file + ": " + e.getMessage(), e);
    }
    Files.createDirectories(file.getParent());
    Path fresh = file.resolveSibling(file.getFileName() + ".new");
    try (FileChannel c = FileChannel.open(fresh, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
        StandardOpenOption.TRUNCATE_EXISTING)) {
      c.write(ByteBuffer.wrap((n + "\n").getBytes(StandardCharsets.US_ASCII)));
      c.force(true);
    }
    Files.move(fresh, file, StandardCopyOption.ATOMIC_MOVE);
    try (FileChannel dir = FileChannel.open(file.getParent())) {
      dir.force(true);
    }
    return n;
  }
}
