package hollyslip.front.sftp;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/** Numbers and fields of the SSH File Transfer Protocol, version 3 (draft-ietf-secsh-filexfer-02, sections 3
 * to 8), and of the extension fsync@openssh.com (OpenSSH's PROTOCOL file, section 4.4). */
final class SftpPackets {
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
  static final int DIRECTORY_MODE = 0040755, FILE_MODE = 0100600;
  static final String FSYNC_EXTENSION = "fsync@openssh.com";

  /** Longest packet that is read, bytes: OpenSSH's bound; the draft asks for 34,000 at least (section 3). */
  static final int MAX_PACKET_BYTES = 256 * 1024;
  /** Longest name or handle, bytes. */
  static final int MAX_STRING_BYTES = 4_096;
  /** Most bytes that one read returns or one write brings. */
  static final int MAX_DATA_BYTES = MAX_PACKET_BYTES - 1_024;

  /** A packet that cannot be read; the connection ends. */
  static final class MalformedPacketException extends RuntimeException {
    MalformedPacketException(String what) {
      super(what, null, false, false);
    }
  }

  private SftpPackets() {}

  static int readU32(ByteBuf in, String field) {
    if (in.readableBytes() < 4) {
      throw new MalformedPacketException(field + ": the packet ends before it");
    }
    return in.readInt();
  }

  static long readU64(ByteBuf in, String field) {
    if (in.readableBytes() < 8) {
      throw new MalformedPacketException(field + ": the packet ends before it");
    }
    long n = in.readLong();
    if (n < 0) {
      throw new MalformedPacketException(field + ": " + Long.toUnsignedString(n) + " is too large");
    }
    return n;
  }

  static String readString(ByteBuf in, String field) {
    int n = readU32(in, field);
    if (n < 0 || n > MAX_STRING_BYTES || n > in.readableBytes()) {
      throw new MalformedPacketException(field + ": length " + Integer.toUnsignedString(n));
    }
    return in.readCharSequence(n, StandardCharsets.UTF_8).toString();
  }

  static void writeString(ByteBuf out, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    out.writeInt(bytes.length).writeBytes(bytes);
  }

  static ByteBuf writeStatus(ByteBuf out, int id, int code, String message) {
    out.writeByte(STATUS).writeInt(id).writeInt(code);
    writeString(out, message);
    writeString(out, "en");
    return out;
  }

  static void writeAttributes(ByteBuf out, long size, int permissions) {
    out.writeInt(ATTR_SIZE | ATTR_PERMISSIONS).writeLong(size).writeInt(permissions);
  }
}
