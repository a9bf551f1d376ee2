package hollyslip.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/** The directory in which the store keeps its files. Only what was not synced may be lost in a crash. */
public interface StoreDirectory extends Closeable {
  /** A file open for appending. */
  interface AppendableFile extends Closeable {
    /** Appends all remaining bytes of the buffer. */
    void write(ByteBuffer bytes) throws IOException;

    /** Makes all earlier writes durable before it returns. */
    void sync() throws IOException;
  }

  /** Returns the names of the files, sorted. */
  List<String> listFiles() throws IOException;

  /** Returns the contents of a file. */
  byte[] read(String name) throws IOException;

  /** Opens a file for appending, and creates it if it does not exist. */
  AppendableFile append(String name) throws IOException;

  /** Truncates a file and syncs it. */
  void truncate(String name, long size) throws IOException;

  /** Renames a file atomically, replacing an existing {@code to}. */
  void rename(String from, String to) throws IOException;

  void delete(String name) throws IOException;

  /** Makes earlier creations, renames and deletions of files durable. */
  void syncDirectory() throws IOException;
}
