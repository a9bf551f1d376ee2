package hollyslip.store;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/** Frames of the log: length of the payload (4 bytes), CRC32C of all that follows (4), sequence (8), the last
 * sequence known to be synced when this was written (8), payload; big-endian. A frame without payload is a
 * mark: it brings only the word of what is synced.
 *
 * <p>
 * That word tells a torn tail from damage. After a crash any part of what was not synced may be there, in any
 * order; so a broken frame is a torn tail only if no whole frame behind it says that it had been synced. */
final class Frames {
  static final int HEADER = 24;

  /** Largest payload, bytes: a bound against lengths that are noise. */
  static final int MAX_PAYLOAD_BYTES = 64 << 20;

  private Frames() {}

  /** A frame found in a file. */
  record Frame(int position, long sequence, long syncedSequence, byte[] payload) {
    int end() {
      return position + HEADER + payload.length;
    }
  }

  /** What a file holds: whole frames from its start, where they end, and what is wrong behind them, if it
   * cannot have come from a crash; else null. */
  record Scan(List<Frame> frames, int end, String damage) {}

  static ByteBuffer encode(long sequence, long synced, byte[] payload) {
    ByteBuffer b = ByteBuffer.allocate(HEADER + payload.length);
    b.putInt(0, payload.length).putLong(8, sequence).putLong(16, synced).put(HEADER, payload);
    return b.putInt(4, crc(b.array(), 0, payload.length));
  }

  private static int crc(byte[] file, int at, int length) {
    CRC32C c = new CRC32C();
    c.update(file, at, 4);
    c.update(file, at + 8, HEADER - 8 + length);
    return (int) c.getValue();
  }

  /** The whole frame at a place, or null. */
  static Frame at(byte[] file, int at) {
    if (file.length - at < HEADER) {
      return null;
    }
    ByteBuffer b = ByteBuffer.wrap(file);
    int length = b.getInt(at);
    if (length < 0 || length > MAX_PAYLOAD_BYTES || length > file.length - at - HEADER || crc(file, at,
        length) != b.getInt(at + 4)) {
      return null;
    }
    byte[] payload = new byte[length];
    b.get(at + HEADER, payload);
    return new Frame(at, b.getLong(at + 8), b.getLong(at + 16), payload);
  }

  /** Reads a file from {@code from} on; {@code next} is the sequence that must come first. */
  static Scan scan(byte[] file, int from, long next) {
    List<Frame> frames = new ArrayList<>();
    int at = from;
    long expected = next;
    Frame f = at(file, at);
    while (f != null && f.sequence == (f.payload.length == 0 ? expected - 1 : expected)) {
      if (f.payload.length > 0) {
        frames.add(f);
        expected++;
      }
      at = f.end();
      f = at(file, at);
    }
    if (f != null) {
      return new Scan(frames, at, "byte " + at + ": sequence " + f.sequence + " stands where " + expected
          + " should");
    }
    for (int i = at + 1; i <= file.length - HEADER; i++) {
      Frame later = at(file, i);
      if (later != null && later.syncedSequence >= expected) {
        return new Scan(frames, at, "byte " + at + ": record " + expected
            + " is damaged, yet the one at byte " + i + " says that it was synced");
      }
    }
    return new Scan(frames, at, null);
  }
}
