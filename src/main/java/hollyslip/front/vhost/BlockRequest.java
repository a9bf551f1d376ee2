package hollyslip.front.vhost;

import hollyslip.volume.IoKind;
import hollyslip.volume.Volume;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.ArrayList;
import java.util.List;

/** A virtio-blk request (virtio 1.2, 5.2.6) read out of a chain of descriptors.
 *
 * @param kind
 *          null: answered without a node, by {@code status}
 * @param data
 *          buffers of the data alone, without header and tail
 * @param tail
 *          where status and, if agreed, time to come back go
 * @param status
 *          for a request without a kind
 * @param deviceIdRequested
 *          whether it asks for the device's name, which goes to {@code data} */
record BlockRequest(IoKind kind, long offset, long length, List<ByteBuffer> data, ByteBuffer tail,
    byte status, boolean deviceIdRequested) {
  static final byte OK = 0, IOERR = 1, UNSUPP = 2;

  /** Status of ours, see docs/ring-front.md: refused, again is harmless. */
  static final byte REFUSED = (byte) 0x80;

  /** Bytes of the tail where the refused status is agreed: status, three reserved, le32 time in ms. */
  static final int EXTENDED_TAIL_BYTES = 8;

  static final int DEVICE_ID_BYTES = 20;

  private static final int IN = 0, OUT = 1, FLUSH = 4, GET_ID = 8, DISCARD = 11, WRITE_ZEROES = 13;
  private static final int HEADER_BYTES = 16, SEGMENT_BYTES = 16;

  /** Reads a chain; {@code tailBytes} is 1 or {@link #EXTENDED_TAIL_BYTES}. */
  static BlockRequest read(Virtqueue.Chain chain, Volume volume, int tailBytes) {
    List<ByteBuffer> in = chain.readable;
    List<ByteBuffer> out = chain.writable;
    ByteBuffer h = takeFront(in, HEADER_BYTES, "request header: not 16 readable bytes");
    int type = h.getInt(0);
    long sector = h.getLong(8);
    ByteBuffer tail = tail(out, tailBytes);
    long readable = totalBytes(in);
    long writable = totalBytes(out);
    return switch (type) {
      case IN -> rangeRequest(IoKind.READ, sector, writable, out, tail, volume);
      case OUT -> rangeRequest(IoKind.WRITE, sector, readable, in, tail, volume);
      case FLUSH -> new BlockRequest(IoKind.FLUSH, 0, 0, List.of(), tail, OK, false);
      case GET_ID -> new BlockRequest(null, 0, 0, out, tail, writable >= DEVICE_ID_BYTES ? OK : IOERR, true);
      case DISCARD -> segmentRequest(IoKind.DISCARD, in, tail, volume);
      case WRITE_ZEROES -> segmentRequest(IoKind.WRITE_ZEROES, in, tail, volume);
      default -> rejected(tail, UNSUPP);
    };
  }

  private static BlockRequest rejected(ByteBuffer tail, byte status) {
    return new BlockRequest(null, 0, 0, List.of(), tail, status, false);
  }

  private static BlockRequest rangeRequest(IoKind kind, long sector, long length, List<ByteBuffer> data,
      ByteBuffer tail, Volume volume) {
    boolean fits = sector >= 0 && sector <= Long.MAX_VALUE / Volume.BLOCK_BYTES && volume.containsRange(sector
        * Volume.BLOCK_BYTES, length);
    return fits
        ? new BlockRequest(kind, sector * Volume.BLOCK_BYTES, length, data, tail, OK, false)
        : rejected(tail, IOERR);
  }

  /** One segment, as the configuration's max_discard_seg and max_write_zeroes_seg say (5.2.6.1). */
  private static BlockRequest segmentRequest(IoKind kind, List<ByteBuffer> in, ByteBuffer tail,
      Volume volume) {
    if (totalBytes(in) != SEGMENT_BYTES) {
      return rejected(tail, totalBytes(in) > SEGMENT_BYTES ? UNSUPP : IOERR);
    }
    ByteBuffer s = takeFront(in, SEGMENT_BYTES, "segment");
    int flags = s.getInt(12);
    if ((flags & (kind == IoKind.DISCARD ? ~0 : ~1)) != 0) {
      return rejected(tail, UNSUPP);
    }
    long length = Integer.toUnsignedLong(s.getInt(8)) * Volume.BLOCK_BYTES;
    return rangeRequest(kind, s.getLong(0), length, List.of(), tail, volume);
  }

  /** Cuts so many bytes off the front of a row of buffers: a view where they lie in one, which must be read
   * once only, else a copy. */
  private static ByteBuffer takeFront(List<ByteBuffer> row, int n, String field) {
    if (!row.isEmpty() && row.get(0).remaining() == n) {
      return row.remove(0);
    }
    byte[] bytes = new byte[n];
    int got = 0;
    while (got < n) {
      ProtocolViolationException.check(!row.isEmpty(), field);
      ByteBuffer b = row.get(0);
      int k = Math.min(n - got, b.remaining());
      b.get(b.position(), bytes, got, k);
      got += k;
      if (k == b.remaining()) {
        row.remove(0);
      } else {
        row.set(0, b.slice(b.position() + k, b.remaining() - k).order(ByteOrder.LITTLE_ENDIAN));
      }
    }
    return ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
  }

  private static ByteBuffer tail(List<ByteBuffer> out, int n) {
    ProtocolViolationException.check(!out.isEmpty(), "request status: no writable byte");
    ByteBuffer last = out.remove(out.size() - 1);
    ProtocolViolationException.check(last.remaining() >= n, "request status: too short, bytes needed: ", n);
    if (last.remaining() == n) {
      return last;
    }
    out.add(last.slice(0, last.remaining() - n).order(ByteOrder.LITTLE_ENDIAN));
    return last.slice(last.remaining() - n, n).order(ByteOrder.LITTLE_ENDIAN);
  }

  private static long totalBytes(List<ByteBuffer> row) {
    long n = 0;
    for (ByteBuffer b : row) {
      n += b.remaining();
    }
    return n;
  }

  /** Puts a name into the data buffers, padded with zeros. */
  void writeDeviceId(String name) {
    byte[] bytes = java.util.Arrays.copyOf(name.getBytes(java.nio.charset.StandardCharsets.UTF_8),
        DEVICE_ID_BYTES);
    int at = 0;
    for (ByteBuffer b : new ArrayList<>(data)) {
      int n = Math.min(b.remaining(), DEVICE_ID_BYTES - at);
      b.put(b.position(), bytes, at, n);
      at += n;
    }
  }
}
