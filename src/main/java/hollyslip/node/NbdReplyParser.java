package hollyslip.node;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Parses the server's side of the NBD transmission phase, without I/O. Data is passed straight to the sink;
 * replies longer than the request are rejected. Source: doc/proto.md, "Simple reply message", "Structured
 * reply chunk message" and "Structured reply types". */
final class NbdReplyParser {
  /** Receives parsed replies. */
  interface Sink {
    /** Returns how many bytes of data the reply to this cookie may carry in all; negative if no request has
     * the cookie. */
    long expectedBytes(long cookie);

    /** Receives {@code length} bytes from the position of {@code in}, located {@code offset} bytes into the
     * request. */
    void onData(long cookie, long offset, ByteBuffer in, int length);

    /** Receives a range of zeros. */
    void onHole(long cookie, long offset, long length);

    /** Receives one value of the block status for this context. */
    void onBlockStatus(long cookie, int context, int index, int value);

    /** Called when the reply is complete; {@code error} is 0 on success. */
    void onDone(long cookie, int error, String message);

    /** Returns the offset of the request's first byte on the export. */
    long requestOffset(long cookie);
  }

  /** The server violated the protocol; the connection is unusable. */
  static final class MalformedReplyException extends Exception {
    MalformedReplyException(String message) {
      super(message);
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

  /** Parses as much of {@code in} as possible and leaves an incomplete header unread. */
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

  /** Data bytes of the current chunk that have not arrived yet. */
  long remainingPayload() {
    return remainingPayload;
  }

  private boolean parseHeader(ByteBuffer in) throws MalformedReplyException {
    if (in.remaining() < 16) {
      return false;
    }
    int start = in.position();
    int magic = in.getInt(start);
    if (magic == Nbd.SIMPLE_REPLY_MAGIC) {
      parseSimpleReply(in, start);
      return true;
    }
    if (magic != Nbd.STRUCTURED_REPLY_MAGIC || !structured) {
      throw new MalformedReplyException("reply: unexpected magic " + Integer.toHexString(magic));
    }
    return in.remaining() >= 20 && parseChunk(in, start);
  }

  private void parseSimpleReply(ByteBuffer in, int start) throws MalformedReplyException {
    pendingError = in.getInt(start + 4);
    beginReply(in.getLong(start + 8));
    long expected = sink.expectedBytes(cookie);
    if (structured && expected > 0 && pendingError == 0) {
      throw new MalformedReplyException(
          "reply: simple reply to a read although structured replies were negotiated");
    }
    in.position(start + 16);
    lastChunk = true;
    dataOffset = 0;
    remainingPayload = pendingError == 0 ? expected : 0;
    if (remainingPayload == 0) {
      endChunk();
    }
  }

  private boolean parseChunk(ByteBuffer in, int start) throws MalformedReplyException {
    int chunkFlags = Short.toUnsignedInt(in.getShort(start + 4));
    int type = Short.toUnsignedInt(in.getShort(start + 6));
    long length = Integer.toUnsignedLong(in.getInt(start + 16));
    boolean data = type == Nbd.CHUNK_DATA;
    long needed = data ? 8 : length;
    if (data && length <= 8) {
      throw new MalformedReplyException("chunk: data chunk of " + length + " bytes");
    }
    if (needed > Nbd.MAX_OPTION_BYTES) {
      throw new MalformedReplyException("chunk: type " + type + " with a length of " + length + " bytes");
    }
    if (in.remaining() < 20 + needed) {
      return false;
    }
    beginReply(in.getLong(start + 8));
    lastChunk = (chunkFlags & Nbd.CHUNK_FLAG_DONE) != 0;
    in.position(start + 20);
    ByteBuffer body = in.slice(start + 20, (int) needed);
    in.position(start + 20 + (int) needed);
    switch (type) {
      case Nbd.CHUNK_NONE -> require(length == 0, "chunk: NONE chunk with " + length + " bytes");
      case Nbd.CHUNK_DATA -> {
        dataOffset = offsetInRequest(body.getLong(), length - 8);
        remainingPayload = length - 8;
        return true;
      }
      case Nbd.CHUNK_HOLE -> {
        require(length == 12, "chunk: hole chunk of " + length + " bytes");
        long offset = body.getLong();
        long size = Integer.toUnsignedLong(body.getInt());
        sink.onHole(cookie, offsetInRequest(offset, size), size);
      }
      case Nbd.CHUNK_BLOCK_STATUS -> parseBlockStatus(body);
      default -> { require(type >= 32768, "chunk: unknown type " + type); parseError(body); }
    }
    endChunk();
    return true;
  }

  private void beginReply(long replyCookie) throws MalformedReplyException {
    cookie = replyCookie;
    require(sink.expectedBytes(replyCookie) >= 0, "reply: unknown cookie " + Long.toHexString(replyCookie));
  }

  /** Returns the offset of a chunk within its request; the chunk must lie inside the requested range. */
  private long offsetInRequest(long offset, long length) throws MalformedReplyException {
    long from = offset - sink.requestOffset(cookie);
    require(from >= 0 && length > 0 && from <= sink.expectedBytes(cookie) - length, "chunk: " + offset + "+"
        + length
        + " is outside the requested range");
    return from;
  }

  private void parseBlockStatus(ByteBuffer body) throws MalformedReplyException {
    require(body.remaining() >= 12 && (body.remaining() - 4) % 8 == 0, "chunk: block status of " + body
        .remaining()
        + " bytes");
    int context = body.getInt();
    for (int i = 0; body.hasRemaining(); i++) {
      body.getInt();
      sink.onBlockStatus(cookie, context, i, body.getInt());
    }
  }

  private void parseError(ByteBuffer body) throws MalformedReplyException {
    require(body.remaining() >= 6, "chunk: error chunk of " + body.remaining() + " bytes");
    pendingError = body.getInt();
    int length = Short.toUnsignedInt(body.getShort());
    require(length <= body.remaining() && pendingError != 0, "chunk: error " + pendingError
        + " with a message of " + length
        + " bytes");
    pendingMessage = StandardCharsets.UTF_8.decode(body.limit(body.position() + length)).toString();
  }

  private void endChunk() {
    if (lastChunk) {
      int error = pendingError;
      String message = pendingMessage;
      pendingError = 0;
      pendingMessage = "";
      sink.onDone(cookie, error, message);
    }
  }

  private static void require(boolean ok, String message) throws MalformedReplyException {
    if (!ok) {
      throw new MalformedReplyException(message);
    }
  }
}
