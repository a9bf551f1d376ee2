package hollyslip.store;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/** Frame format of the log, big-endian: payload length (4 bytes), CRC32C of the rest of the frame and the
 * length (4), sequence (8), last sequence known to be synced when the frame was written (8), payload. A frame
 * without payload is a sync mark: it only carries the last synced sequence.
 *
 * <p>
 * The synced sequence distinguishes a torn tail from damage. After a crash any part of the unsynced data may
 * be on disk, in any order; a broken frame is therefore a torn tail only if no valid frame after it says that
 * its sequence had been synced. */
final class Frames {
  static final int HEADER = 24;

  /** Maximum payload size, bytes; rejects lengths read from garbage. */
  static final int MAX_PAYLOAD_BYTES = 64 << 20;

  private Frames() {}

  /** A frame read from a file. */
  record Frame(int position, long sequence, long syncedSequence, byte[] payload) {
    int end() {
      return position + HEADER + payload.length;
    }
  }

  /** Result of scanning a file: the valid frames from its start, the position where they end, and a
   * description of damage behind them that a crash cannot explain; null if there is none. */
  record Scan(List<Frame> frames, int endPosition, String damage) {}

  static ByteBuffer encode(long sequence, long synced, byte[] payload) {
    ByteBuffer buffer = ByteBuffer.allocate(HEADER + payload.length);
    buffer.putInt(0, payload.length).putLong(8, sequence).putLong(16, synced).put(HEADER, payload);
    return buffer.putInt(4, crc(buffer.array(), 0, payload.length));
  }

  private static int crc(byte[] file, int position, int length) {
    CRC32C crc = new CRC32C();
    crc.update(file, position, 4);
    crc.update(file, position + 8, HEADER - 8 + length);
    return (int) crc.getValue();
  }

  /** Returns the frame at a position, or null if there is no valid one. */
  static Frame parseFrame(byte[] file, int position) {
    if (file.length - position < HEADER) {
      return null;
    }
    ByteBuffer buffer = ByteBuffer.wrap(file);
    int length = buffer.getInt(position);
    if (length < 0 || length > MAX_PAYLOAD_BYTES || length > file.length - position - HEADER || crc(file,
        position, length) != buffer.getInt(position + 4)) {
      return null;
    }
    byte[] payload = new byte[length];
    buffer.get(position + HEADER, payload);
    return new Frame(position, buffer.getLong(position + 8), buffer.getLong(position + 16), payload);
  }

  /** Scans a file from position {@code from} on; the first record must have sequence
   * {@code firstSequence}. */
  static Scan scan(byte[] file, int from, long firstSequence) {
    List<Frame> frames = new ArrayList<>();
    int position = from;
    long expected = firstSequence;
    Frame frame = parseFrame(file, position);
    while (frame != null && frame.sequence == (frame.payload.length == 0 ? expected - 1 : expected)) {
      if (frame.payload.length > 0) {
        frames.add(frame);
        expected++;
      }
      position = frame.end();
      frame = parseFrame(file, position);
    }
    if (frame != null) {
      return new Scan(frames, position, "byte " + position + ": sequence " + frame.sequence + " where "
          + expected + " was expected");
    }
    for (int i = position + 1; i <= file.length - HEADER; i++) {
      Frame later = parseFrame(file, i);
      if (later != null && later.syncedSequence >= expected) {
        return new Scan(frames, position, "byte " + position + ": record " + expected
            + " is damaged, but the frame at byte " + i + " says that it had been synced");
      }
    }
    return new Scan(frames, position, null);
  }
}
