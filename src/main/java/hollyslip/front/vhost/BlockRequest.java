package hollyslip.front.vhost;

import hollyslip.volume.IoKind;
import hollyslip.volume.Volume;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.ArrayList;
import java.util.List;

/** A virtio-blk request (virtio 1.2, 5.2.6) parsed from a descriptor chain.
 *
 * @param kind
 *          operation; null if the request is answered with {@code status} and without a node
 * @param data
 *          buffers of the data alone, without header and tail
 * @param tail
 *          receives the status and, if negotiated, the retry delay
 * @param status
 *          answer of a request without a kind
 * @param deviceIdRequested
 *          whether it asks for the device ID, which is written to {@code data} */
record BlockRequest(IoKind kind, long offset, long length, List<ByteBuffer> data, ByteBuffer tail,
    byte status, boolean deviceIdRequested) {
  static final byte OK = 0, IOERR = 1, UNSUPP = 2;

  /** Status of this project, see docs/ring-front.md: the request was refused and is safe to repeat. */
  static final byte REFUSED = (byte) 0x80;

  /** Size of the tail if the refused status was negotiated: status, three reserved bytes, le32 retry delay in
   * ms. */
  static final int EXTENDED_TAIL_BYTES = 8;

  static final int DEVICE_ID_BYTES = 20;

  private static final int IN = 0, OUT = 1, FLUSH = 4, GET_ID = 8, DISCARD = 11, WRITE_ZEROES = 13;
  private static final int HEADER_BYTES = 16, SEGMENT_BYTES = 16;

  /** Parses a chain; {@code tailBytes} is 1 or {@link #EXTENDED_TAIL_BYTES}. */
  static BlockRequest read(Virtqueue.Chain chain, Volume volume, int tailBytes) {
    List<ByteBuffer> readableBuffers = chain.readable;
    List<ByteBuffer> writableBuffers = chain.writable;
    ByteBuffer header = takeFront(readableBuffers, HEADER_BYTES, "request header: not 16 readable bytes");
    int type = header.getInt(0);
    long sector = header.getLong(8);
    ByteBuffer tail = tail(writableBuffers, tailBytes);
    long readable = totalBytes(readableBuffers);
    long writable = totalBytes(writableBuffers);
    return switch (type) {
      case IN -> rangeRequest(IoKind.READ, sector, writable, writableBuffers, tail, volume);
      case OUT -> rangeRequest(IoKind.WRITE, sector, readable, readableBuffers, tail, volume);
      case FLUSH -> new BlockRequest(IoKind.FLUSH, 0, 0, List.of(), tail, OK, false);
      case GET_ID -> new BlockRequest(null, 0, 0, writableBuffers, tail, writable >= DEVICE_ID_BYTES
          ? OK
          : IOERR, true);
      case DISCARD -> segmentRequest(IoKind.DISCARD, readableBuffers, tail, volume);
      case WRITE_ZEROES -> segmentRequest(IoKind.WRITE_ZEROES, readableBuffers, tail, volume);
      default -> rejected(tail, UNSUPP);
    };
  }

  private static BlockRequest rejected(ByteBuffer tail, byte status) {
    return new BlockRequest(null, 0, 0, List.of(), tail, status, false);
  }

  private static BlockRequest rangeRequest(IoKind kind, long sector, long length, List<ByteBuffer> data,
      ByteBuffer tail, Volume volume) {
    boolean inRange = sector >= 0 && sector <= Long.MAX_VALUE / Volume.BLOCK_BYTES && volume.containsRange(
        sector
            * Volume.BLOCK_BYTES, length);
    return inRange
        ? new BlockRequest(kind, sector * Volume.BLOCK_BYTES, length, data, tail, OK, false)
        : rejected(tail, IOERR);
  }

  /** Parses a request of one segment, the limit that max_discard_seg and max_write_zeroes_seg in the
   * configuration set (5.2.6.1). */
  private static BlockRequest segmentRequest(IoKind kind, List<ByteBuffer> buffers, ByteBuffer tail,
      Volume volume) {
    if (totalBytes(buffers) != SEGMENT_BYTES) {
      return rejected(tail, totalBytes(buffers) > SEGMENT_BYTES ? UNSUPP : IOERR);
    }
    ByteBuffer segment = takeFront(buffers, SEGMENT_BYTES, "segment");
    int flags = segment.getInt(12);
    if ((flags & (kind == IoKind.DISCARD ? ~0 : ~1)) != 0) {
      return rejected(tail, UNSUPP);
    }
    long length = Integer.toUnsignedLong(segment.getInt(8)) * Volume.BLOCK_BYTES;
    return rangeRequest(kind, segment.getLong(0), length, List.of(), tail, volume);
  }

  /** Removes {@code count} bytes from the front of a list of buffers. Returns a view if they lie in one
   * buffer, in which case they must be read only once, and otherwise a copy. */
  private static ByteBuffer takeFront(List<ByteBuffer> buffers, int count, String field) {
    if (!buffers.isEmpty() && buffers.get(0).remaining() == count) {
      return buffers.remove(0);
    }
    byte[] bytes = new byte[count];
    int copied = 0;
    while (copied < count) {
      ProtocolViolationException.check(!buffers.isEmpty(), field);
      ByteBuffer first = buffers.get(0);
      int chunk = Math.min(count - copied, first.remaining());
      first.get(first.position(), bytes, copied, chunk);
      copied += chunk;
      if (chunk == first.remaining()) {
        buffers.remove(0);
      } else {
        buffers.set(0, first.slice(first.position() + chunk, first.remaining() - chunk)
            .order(ByteOrder.LITTLE_ENDIAN));
      }
    }
    return ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
  }

  private static ByteBuffer tail(List<ByteBuffer> buffers, int count) {
    ProtocolViolationException.check(!buffers.isEmpty(), "request status: no writable byte");
    ByteBuffer last = buffers.remove(buffers.size() - 1);
    ProtocolViolationException.check(last.remaining() >= count,
        "request status: too few writable bytes, needed: ", count);
    if (last.remaining() == count) {
      return last;
    }
    buffers.add(last.slice(0, last.remaining() - count).order(ByteOrder.LITTLE_ENDIAN));
    return last.slice(last.remaining() - count, count).order(ByteOrder.LITTLE_ENDIAN);
  }

  private static long totalBytes(List<ByteBuffer> buffers) {
    long total = 0;
    for (ByteBuffer b : buffers) {
      total += b.remaining();
    }
    return total;
  }

  /** Writes a name to the data buffers, padded with zeros. */
  void writeDeviceId(String name) {
    byte[] bytes = java.util.Arrays.copyOf(name.getBytes(java.nio.charset.StandardCharsets.UTF_8),
        DEVICE_ID_BYTES);
    int offset = 0;
    for (ByteBuffer buffer : new ArrayList<>(data)) {
      int count = Math.min(buffer.remaining(), DEVICE_ID_BYTES - offset);
      buffer.put(buffer.position(), bytes, offset, count);
      offset += count;
    }
  }
}
