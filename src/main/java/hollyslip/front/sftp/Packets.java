package hollyslip.front.sftp;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/** Numbers and fields of the SSH File Transfer Protocol, version 3 (draft-ietf-secsh-filexfer-02, sections 3
 * to 8), and of the extension fsync@openssh.com (OpenSSH's PROTOCOL file, section 4.4). */
final class Packets {
  static final int INIT = 1, VERSION = 2, OPEN = 3, CLOSE = 4, READ = 5, WRITE = 6, LSTAT = 7, FSTAT = 8;
  static final int SETSTAT = 9, FSETSTAT = 10, OPENDIR = 11, READDIR = 12, REMOVE = 13, MKDIR = 14,
      RMDIR = 15;
  static final int REALPATH = 16, STAT = 17, RENAME = 18, READLINK = 19, SYMLINK = 20;
  static final int STATUS = 101, HANDLE = 102, DATA = 103, NAME = 104, ATTRS = 105, EXTENDED = 200;

  static final int OK = 0, EOF = 1, NO_SUCH_FILE = 2, PERMISSION_DENIED = 3, FAILURE = 4, BAD_MESSAGE = 5;
  static final int OP_UNSUPPORTED = 8;

  static final int OPEN_READ = 1, OPEN_WRITE = 2, OPEN_APPEND = 4, OPEN_CREAT = 8, OPEN_TRUNC = 16,
      OPEN_EXCL = 32;
  static final int ATTR_SIZE = 1, ATTR_PERMISSIONS = 4;
  static final int DIRECTORY = 0040755, FILE = 0100600;
  static final String FSYNC = "fsync@openssh.com";

  /** Longest packet that is read, bytes: OpenSSH's bound; the draft asks for 34,000 at least (section 3). */
  static final int MOST_PACKET = 256 * 1024;
  /** Longest name or handle, bytes. */
  static final int MOST_NAME = 4_096;
  /** Most bytes that one read returns or one write brings. */
  static final int MOST_DATA = MOST_PACKET - 1_024;

  /** A packet that cannot be read; the connection ends. */
  static final class Bad extends RuntimeException {
    Bad(String what) {
      super(what, null, false, false);
    }
  }

  private Packets() {}

  static int u32(ByteBuf in, String field) {
    if (in.readableBytes() < 4) {
      throw new Bad(field + ": the packet ends before it");
    }
    return in.readInt();
  }

  static long u64(ByteBuf in, String field) {
    if (in.readableBytes() < 8) {
      throw new Bad(field + ": the packet ends before it");
    }
    long n = in.readLong();
    if (n < 0) {
      throw new Bad(field + ": " + Long.toUnsignedString(n) + " is too large");
    }
    return n;
  }

  static String string(ByteBuf in, String field) {
    int n = u32(in, field);
    if (n < 0 || n > MOST_NAME || n > in.readableBytes()) {
      throw new Bad(field + ": length " + Integer.toUnsignedString(n));
    }
    return in.readCharSequence(n, StandardCharsets.UTF_8).toString();
  }

  static void put(ByteBuf out, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    out.writeInt(bytes.length).writeBytes(bytes);
  }

  static ByteBuf status(ByteBuf out, int id, int code, String message) {
    out.writeByte(STATUS).writeInt(id).writeInt(code);
    put(out, message);
    put(out, "en");
    return out;
  }

  static void attributes(ByteBuf out, long size, int permissions) {
    out.writeInt(ATTR_SIZE | ATTR_PERMISSIONS).writeLong(size).writeInt(permissions);
  }
}
