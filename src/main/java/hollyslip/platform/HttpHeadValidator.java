package hollyslip.platform;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;

/** Validates the bytes of a message head before the codec parses it. The codec is lenient where two parsers
 * may read one message differently: bare CR or LF, folded lines, control characters, whitespace before a
 * colon. This guards against request smuggling; the drawback is that well-meaning clients that send such
 * heads are rejected too. */
final class HttpHeadValidator {
  /** Maximum size of a head, bytes. */
  static final int MAX_HEAD_BYTES = 8 << 10;

  /** Maximum number of header fields in a head: each takes an object of over a hundred bytes. */
  static final int MAX_FIELDS = 100;

  private int scannedBytes;

  /** Returns the length of the head at the reader index, including its final empty line, in bytes, or -1
   * while it is incomplete. Fastest where the buffer is on the heap.
   *
   * @throws IllegalArgumentException
   *           if the head is too long or malformed, or has too many fields */
  int completeHeadLength(ByteBuf in) {
    int end = Math.min(in.readableBytes(), MAX_HEAD_BYTES);
    byte[] bytes = in.hasArray() ? in.array() : ByteBufUtil.getBytes(in, in.readerIndex(), end);
    int from = in.hasArray() ? in.arrayOffset() + in.readerIndex() : 0;
    for (int i = Math.max(scannedBytes, 3); i < end; i++) {
      int at = from + i;
      if (bytes[at] == '\n' && bytes[at - 1] == '\r' && bytes[at - 2] == '\n' && bytes[at - 3] == '\r') {
        scannedBytes = 0;
        validate(bytes, from, i + 1);
        return i + 1;
      }
    }
    if (in.readableBytes() >= MAX_HEAD_BYTES) {
      throw new IllegalArgumentException("message head too long");
    }
    scannedBytes = end;
    return -1;
  }

  private static void validate(byte[] bytes, int from, int length) {
    boolean lineStart = true, first = true, inName = false;
    int fields = 0;
    for (int i = from; i < from + length; i++) {
      int b = bytes[i] & 0xff;
      if (b == '\r') {
        if (bytes[i + 1] != '\n' || inName) {
          throw new IllegalArgumentException(inName ? "header line without a colon" : "bare CR");
        }
        i++;
        lineStart = true;
        first = false;
        continue;
      }
      if (b < ' ' && (b != '\t' || first) || b == 0x7f) {
        throw new IllegalArgumentException("control character in message head");
      }
      if (lineStart) {
        if (b == ' ' || b == '\t') {
          throw new IllegalArgumentException("folded header line");
        }
        lineStart = false;
        inName = !first;
        fields += inName ? 1 : 0;
        if (fields > MAX_FIELDS) {
          throw new IllegalArgumentException("too many header fields");
        }
      }
      if (inName) {
        if (b == ':') {
          inName = false;
        } else if (!isTokenChar(b)) {
          throw new IllegalArgumentException("invalid character in header name");
        }
      }
    }
  }

  /** Whether RFC 9110 allows this character in a token, such as a header name. */
  static boolean isTokenChar(int b) {
    return b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || "!#$%&'*+-.^_`|~".indexOf(
        b) >= 0;
  }
}
