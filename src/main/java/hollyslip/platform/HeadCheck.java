package hollyslip.platform;

import io.netty.buffer.ByteBuf;

/** Looks at the bytes of a head before the codec does, which is lenient where two readers of one message may
 * come to differ: bare CR or LF, folded lines, control characters, blanks before a colon. Guards against
 * requests hidden in others. Harm: clients that send such heads in good faith are refused. */
final class HeadCheck {
  /** Longest head, bytes. */
  static final int MOST = 8 << 10;

  private int scanned;

  /** Bytes of the head that starts at the reader index, its empty line included, or -1 while it is not whole.
   *
   * @throws IllegalArgumentException
   *           if it is too long or not as the standard has it */
  int whole(ByteBuf in) {
    int from = in.readerIndex();
    int end = Math.min(in.readableBytes(), MOST);
    for (int i = Math.max(scanned, 3); i < end; i++) {
      if (in.getByte(from + i) == '\n' && in.getByte(from + i - 1) == '\r' && in.getByte(from + i - 2) == '\n'
          && in.getByte(from + i - 3) == '\r') {
        scanned = 0;
        check(in, from, i + 1);
        return i + 1;
      }
    }
    if (in.readableBytes() >= MOST) {
      throw new IllegalArgumentException("head too long");
    }
    scanned = end;
    return -1;
  }

  private static void check(ByteBuf in, int from, int length) {
    boolean lineStart = true, first = true, name = false;
    for (int i = from; i < from + length; i++) {
      int b = in.getByte(i) & 0xff;
      if (b == '\r') {
        if (in.getByte(i + 1) != '\n' || name) {
          throw new IllegalArgumentException(name ? "line without a colon" : "bare CR");
        }
        i++;
        lineStart = true;
        first = false;
        continue;
      }
      if (b < ' ' && (b != '\t' || first) || b == 0x7f) {
        throw new IllegalArgumentException("control character in a head");
      }
      if (lineStart) {
        if (b == ' ' || b == '\t') {
          throw new IllegalArgumentException("folded line");
        }
        lineStart = false;
        name = !first;
      }
      if (name) {
        if (b == ':') {
          name = false;
        } else if (!token(b)) {
          throw new IllegalArgumentException("bad name of a header");
        }
      }
    }
  }

  /** Characters of a name, after RFC 9110. */
  static boolean token(int b) {
    return b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || "!#$%&'*+-.^_`|~".indexOf(
        b) >= 0;
  }
}
