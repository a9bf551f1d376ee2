package hollyslip.front.sftp;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/** Constants and field encodings of the SSH File Transfer Protocol, version 3 (draft-ietf-secsh-filexfer-02,
 * sections 3 to 8), and of the extension fsync@openssh.com (OpenSSH's PROTOCOL file, section 4.4). */
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

  /** Maximum accepted packet size in bytes. This is OpenSSH's limit; the draft requires at least 34,000
   * (section 3). */
  static final int MAX_PACKET_BYTES = 256 * 1024;
  /** Maximum length of a name or handle in bytes. */
  static final int MAX_STRING_BYTES = 4_096;
  /** Maximum number of bytes that one read returns or one write carries. */
  static final int MAX_DATA_BYTES = MAX_PACKET_BYTES - 1_024;

  /** The packet is malformed; the connection is closed. */
  static final class MalformedPacketException extends RuntimeException {
    MalformedPacketException(String message) {
      super(message, null, false, false);
    }
  }

  private SftpPackets() {}

  static int readU32(ByteBuf in, String field) {
    if (in.readableBytes() < 4) {
      throw new MalformedPacketException(field + ": the packet ends before this field");
    }
    return in.readInt();
  }

  static long readU64(ByteBuf in, String field) {
    if (in.readableBytes() < 8) {
      throw new MalformedPacketException(field + ": the packet ends before this field");
    }
    long value = in.readLong();
    if (value < 0) {
      throw new MalformedPacketException(field + ": " + Long.toUnsignedString(value) + " is too large");
    }
    return value;
  }

  static String readString(ByteBuf in, String field) {
    int length = readU32(in, field);
    if (length < 0 || length > MAX_STRING_BYTES || length > in.readableBytes()) {
      throw new MalformedPacketException(field + ": invalid length " + Integer.toUnsignedString(length));
    }
    return in.readCharSequence(length, StandardCharsets.UTF_8).toString();
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
