package hollyslip.front.vhost;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/** Messages of the vhost-user protocol (QEMU documentation, "Vhost-user Protocol": "Message Specification",
 * "Front-end message types") and constants of virtio-blk (virtio 1.2, 5.2.3 and 5.2.4). Public, because ring
 * clients speak the protocol too. */
public final class VhostUserProtocol {
  public static final int GET_FEATURES = 1, SET_FEATURES = 2, SET_OWNER = 3, RESET_OWNER = 4;
  public static final int SET_MEM_TABLE = 5, SET_VRING_NUM = 8, SET_VRING_ADDR = 9, SET_VRING_BASE = 10;
  public static final int GET_VRING_BASE = 11, SET_VRING_KICK = 12, SET_VRING_CALL = 13, SET_VRING_ERR = 14;
  public static final int GET_PROTOCOL_FEATURES = 15, SET_PROTOCOL_FEATURES = 16, GET_QUEUE_NUM = 17;
  public static final int SET_VRING_ENABLE = 18, GET_CONFIG = 24, SET_CONFIG = 25, GET_INFLIGHT_FD = 31;
  public static final int SET_INFLIGHT_FD = 32, GET_MAX_MEM_SLOTS = 36, ADD_MEM_REG = 37, REM_MEM_REG = 38;
  public static final int SET_BACKEND_REQ_FD = 21;
  /** Message sent by the back end: "Back-end message types". */
  public static final int BACKEND_CONFIG_CHANGE_MSG = 2;

  public static final int FLAG_VERSION = 1, FLAG_REPLY = 4, FLAG_NEED_REPLY = 8;
  public static final int HEADER_BYTES = 12;
  /** Maximum accepted payload in bytes: a memory table of eight regions has 264, a config message 268. */
  public static final int MAX_PAYLOAD_BYTES = 512;

  public static final long F_INDIRECT_DESC = 1L << 28, F_EVENT_IDX = 1L << 29, F_PROTOCOL_FEATURES = 1L << 30;
  public static final long F_VERSION_1 = 1L << 32;
  public static final long BLK_SEG_MAX = 1L << 2, BLK_BLK_SIZE = 1L << 6, BLK_FLUSH = 1L << 9;
  public static final long BLK_MQ = 1L << 12, BLK_DISCARD = 1L << 13, BLK_WRITE_ZEROES = 1L << 14;
  /** Feature bit of this project in the device-specific range (virtio 1.2, 2.2: bits 50 to 127): refused
   * requests get a status of their own and a retry delay; see docs/ring-front.md. */
  public static final long BLK_REFUSED = 1L << 60;

  public static final long PROTOCOL_F_MQ = 1, PROTOCOL_F_REPLY_ACK = 1L << 3,
      PROTOCOL_F_BACKEND_REQ = 1L << 5, PROTOCOL_F_CONFIG = 1L << 9,
      PROTOCOL_F_INFLIGHT_SHMFD = 1L << 12;
  public static final long PROTOCOL_F_CONFIGURE_MEM_SLOTS = 1L << 15;

  /** A message as read from the socket; {@code payload} is little-endian, as on all supported machines. */
  public record Message(int request, int flags, ByteBuffer payload) {}

  private VhostUserProtocol() {}

  /** Reads one complete message from the front of {@code in}; returns null if it is still incomplete.
   *
   * @throws ProtocolViolationException
   *           if the version or the size is invalid */
  static Message decode(ByteBuffer in) {
    if (in.remaining() < HEADER_BYTES) {
      return null;
    }
    int start = in.position();
    int flags = in.getInt(start + 4);
    int size = in.getInt(start + 8);
    ProtocolViolationException.check((flags & 3) == FLAG_VERSION, "message.flags: unsupported version "
        + (flags & 3));
    ProtocolViolationException.check(size >= 0 && size <= MAX_PAYLOAD_BYTES, "message.size: invalid size "
        + Integer
            .toUnsignedString(size));
    if (in.remaining() < HEADER_BYTES + size) {
      return null;
    }
    byte[] payload = new byte[size];
    in.get(start + HEADER_BYTES, payload);
    in.position(start + HEADER_BYTES + size);
    return new Message(in.getInt(start), flags, ByteBuffer.wrap(payload).order(ByteOrder.LITTLE_ENDIAN));
  }

  /** Encodes a message. */
  public static byte[] encode(int request, int flags, byte[] payload) {
    return ByteBuffer.allocate(HEADER_BYTES + payload.length)
        .order(ByteOrder.LITTLE_ENDIAN)
        .putInt(request)
        .putInt(FLAG_VERSION | flags)
        .putInt(payload.length)
        .put(payload)
        .array();
  }

  /** Encodes a payload of one u64. */
  public static byte[] u64Payload(long value) {
    return ByteBuffer.allocate(8).order(ByteOrder.LITTLE_ENDIAN).putLong(value).array();
  }

  /** Encodes a payload of two u32 values: "vring state description". */
  public static byte[] vringStatePayload(int index, int number) {
    return ByteBuffer.allocate(8).order(ByteOrder.LITTLE_ENDIAN).putInt(index).putInt(number).array();
  }
}
