package hollyslip.node;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Reads the server's side of NBD's transmission phase, free of I/O. Data goes straight to where the sink
 * says; nothing longer than what was asked for is accepted. Source: doc/proto.md, "Simple reply message",
 * "Structured reply chunk message" and "Structured reply types". */
final class NbdReplyParser {
  /** Where replies go. */
  interface Sink {
    /** Bytes of data that a reply to this cookie may bring in all; negative: nothing waits for it. */
    long expectedBytes(long cookie);

    /** {@code length} bytes of {@code in}, from its position, stand {@code at} bytes into the request. */
    void onData(long cookie, long at, ByteBuffer in, int length);

    /** Zeros stand there. */
    void onHole(long cookie, long at, long length);

    /** One figure of a block status of this context. */
    void onBlockStatus(long cookie, int context, int index, int value);

    /** The reply is whole; {@code error} 0: done. */
    void onDone(long cookie, int error, String message);

    /** First byte of the request on the export. */
    long requestOffset(long cookie);
  }

  /** What was not what the protocol allows; the connection is of no more use. */
  static final class MalformedReplyException extends Exception {
    MalformedReplyException(String what) {
      super(what);
    }
  }

  private final boolean structured;
  private final Sink sink;
  private long cookie;
  private long remainingPayload;
  private long dataOffset;
  private boolean lastChunk;
  private int pendingError;
  private String pendingMessage = "";

  NbdReplyParser(boolean structured, Sink sink) {
    this.structured = structured;
    this.sink = sink;
  }

  /** Reads as much as it can of {@code in} and leaves the start of what is not whole yet. */
  void feed(ByteBuffer in) throws MalformedReplyException {
    while (in.hasRemaining()) {
      if (remainingPayload > 0) {
        int n = (int) Math.min(remainingPayload, in.remaining());
        sink.onData(cookie, dataOffset, in, n);
        dataOffset += n;
        remainingPayload -= n;
        if (remainingPayload == 0) {
          endChunk();
        }
      } else if (!parseHeader(in)) {
        return;
      }
    }
  }

  /** Data bytes that are still to come for the present chunk. */
  long remainingPayload() {
    return remainingPayload;
  }

  private boolean parseHeader(ByteBuffer in) throws MalformedReplyException {
    if (in.remaining() < 16) {
      return false;
    }
    int p = in.position();
    int magic = in.getInt(p);
    if (magic == Nbd.SIMPLE_REPLY) {
      parseSimpleReply(in, p);
      return true;
    }
    if (magic != Nbd.STRUCTURED_REPLY || !structured) {
      throw new MalformedReplyException("reply: magic " + Integer.toHexString(magic));
    }
    return in.remaining() >= 20 && parseChunk(in, p);
  }

  private void parseSimpleReply(ByteBuffer in, int p) throws MalformedReplyException {
    pendingError = in.getInt(p + 4);
    beginReply(in.getLong(p + 8));
    long expected = sink.expectedBytes(cookie);
    if (structured && expected > 0 && pendingError == 0) {
      throw new MalformedReplyException("reply: simple to a read though structured replies are agreed");
    }
    in.position(p + 16);
    lastChunk = true;
    dataOffset = 0;
    remainingPayload = pendingError == 0 ? expected : 0;
    if (remainingPayload == 0) {
      endChunk();
    }
  }

  private boolean parseChunk(ByteBuffer in, int p) throws MalformedReplyException {
    int chunkFlags = Short.toUnsignedInt(in.getShort(p + 4));
    int type = Short.toUnsignedInt(in.getShort(p + 6));
    long length = Integer.toUnsignedLong(in.getInt(p + 16));
    boolean data = type == Nbd.CHUNK_DATA;
    long ahead = data ? 8 : length;
    if (data && length <= 8) {
      throw new MalformedReplyException("chunk: data of " + length + " bytes");
    }
    if (ahead > Nbd.MOST_OPTION) {
      throw new MalformedReplyException("chunk: type " + type + " of " + length + " bytes");
    }
    if (in.remaining() < 20 + ahead) {
      return false;
    }
    beginReply(in.getLong(p + 8));
    lastChunk = (chunkFlags & Nbd.CHUNK_DONE) != 0;
    in.position(p + 20);
    ByteBuffer body = in.slice(p + 20, (int) ahead);
    in.position(p + 20 + (int) ahead);
    switch (type) {
      case Nbd.CHUNK_NONE -> require(length == 0, "chunk: none with " + length + " bytes");
      case Nbd.CHUNK_DATA -> {
        dataOffset = offsetInRequest(body.getLong(), length - 8);
        remainingPayload = length - 8;
        return true;
      }
      case Nbd.CHUNK_HOLE -> {
        require(length == 12, "chunk: hole of " + length + " bytes");
        long offset = body.getLong();
        long size = Integer.toUnsignedLong(body.getInt());
        sink.onHole(cookie, offsetInRequest(offset, size), size);
      }
      case Nbd.CHUNK_BLOCK_STATUS -> parseBlockStatus(body);
      default -> { require(type >= 32768, "chunk: type " + type); parseError(body); }
    }
    endChunk();
    return true;
  }

  private void beginReply(long id) throws MalformedReplyException {
    cookie = id;
    require(sink.expectedBytes(id) >= 0, "reply: unknown cookie " + Long.toHexString(id));
  }

  /** Place within the request of a chunk; it must lie inside what was asked for. */
  private long offsetInRequest(long offset, long length) throws MalformedReplyException {
    long from = offset - sink.requestOffset(cookie);
    require(from >= 0 && length > 0 && from <= sink.expectedBytes(cookie) - length, "chunk: " + offset + "+"
        + length
        + " was not asked for");
    return from;
  }

  private void parseBlockStatus(ByteBuffer body) throws MalformedReplyException {
    require(body.remaining() >= 12 && (body.remaining() - 4) % 8 == 0, "chunk: status of " + body.remaining()
        + " bytes");
    int context = body.getInt();
    for (int i = 0; body.hasRemaining(); i++) {
      body.getInt();
      sink.onBlockStatus(cookie, context, i, body.getInt());
    }
  }

  private void parseError(ByteBuffer body) throws MalformedReplyException {
    require(body.remaining() >= 6, "chunk: error of " + body.remaining() + " bytes");
    pendingError = body.getInt();
    int length = Short.toUnsignedInt(body.getShort());
    require(length <= body.remaining() && pendingError != 0, "chunk: error " + pendingError
        + " with a message of " + length
        + " bytes");
    pendingMessage = StandardCharsets.UTF_8.decode(body.limit(body.position() + length)).toString();
  }

  private void endChunk() {
    if (lastChunk) {
      int e = pendingError;
      String m = pendingMessage;
      pendingError = 0;
      pendingMessage = "";
      sink.onDone(cookie, e, m);
    }
  }

  private static void require(boolean ok, String what) throws MalformedReplyException {
    if (!ok) {
      throw new MalformedReplyException(what);
    }
  }
}
