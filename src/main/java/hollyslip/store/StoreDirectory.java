package hollyslip.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/** Files of one folder, as far as the store needs them: what a crash may take is what was not synced. */
public interface StoreDirectory extends Closeable {
  /** A file that only grows. */
  interface AppendableFile extends Closeable {
    /** Appends all that remains in {@code bytes}. */
    void write(ByteBuffer bytes) throws IOException;

    /** What was written before is there after a crash, once this returns. */
    void sync() throws IOException;
  }

  /** Names of the files, sorted. */
  List<String> listFiles() throws IOException;

  /** All bytes of a file. */
  byte[] read(String name) throws IOException;

  /** Opens a file at its end; a new one if there is none. */
  AppendableFile append(String name) throws IOException;

  /** Cuts a file; the cut is synced. */
  void truncate(String name, long size) throws IOException;

  /** Replaces {@code to} by {@code from} in one step. */
  void rename(String from, String to) throws IOException;

  void delete(String name) throws IOException;

  /** Makes what was created, renamed and deleted outlive a crash. */
  void syncDirectory() throws IOException;
}
