package hollyslip.platform;

import io.netty.buffer.ByteBuf;

/** Validates the bytes of a message head before the codec parses it. The codec is lenient where two parsers
 * may read one message differently: bare CR or LF, folded lines, control characters, whitespace before a
 * colon. This guards against request smuggling; the drawback is that well-meaning clients that send such
 * heads are rejected too. */
final class HttpHeadValidator {
  /** Maximum size of a head, bytes. */
  static final int MAX_HEAD_BYTES = 8 << 10;

  private int scannedBytes;

  /** Returns the length of the head at the reader index, including its final empty line, in bytes, or -1
   * while it is incomplete.
   *
   * @throws IllegalArgumentException
   *           if the head is too long or malformed */
  int completeHeadLength(ByteBuf in) {
    int from = in.readerIndex();
    int end = Math.min(in.readableBytes(), MAX_HEAD_BYTES);
    for (int i = Math.max(scannedBytes, 3); i < end; i++) {
      if (in.getByte(from + i) == '\n' && in.getByte(from + i - 1) == '\r' && in.getByte(from + i - 2) == '\n'
          && in.getByte(from + i - 3) == '\r') {
        scannedBytes = 0;
        validate(in, from, i + 1);
        return i + 1;
      }
    }
    if (in.readableBytes() >= MAX_HEAD_BYTES) {
      throw new IllegalArgumentException("message head too long");
    }
    scannedBytes = end;
    return -1;
  }

  private static void validate(ByteBuf in, int from, int length) {
    boolean lineStart = true, first = true, inName = false;
    for (int i = from; i < from + length; i++) {
      int b = in.getByte(i) & 0xff;
      if (b == '\r') {
        if (in.getByte(i + 1) != '\n' || inName) {
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
