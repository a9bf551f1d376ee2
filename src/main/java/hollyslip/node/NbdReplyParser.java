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
    long expects(long cookie);

    /** {@code length} bytes of {@code in}, from its position, stand {@code at} bytes into the request. */
    void data(long cookie, long at, ByteBuffer in, int length);

    /** Zeros stand there. */
    void hole(long cookie, long at, long length);

    /** One figure of a block status of this context. */
    void status(long cookie, int context, int index, int value);

    /** The reply is whole; {@code error} 0: done. */
    void done(long cookie, int error, String message);

    /** First byte of the request on the export. */
    long offset(long cookie);
  }

  /** What was not what the protocol allows; the connection is of no more use. */
  static final class Broken extends Exception {
    Broken(String what) {
      super(what);
    }
  }

  private final boolean structured;
  private final Sink sink;
  private long cookie;
  private long payload;
  private long at;
  private boolean last;
  private int error;
  private String message = "";

  NbdReplyParser(boolean structured, Sink sink) {
    this.structured = structured;
    this.sink = sink;
  }

  /** Reads as much as it can of {@code in} and leaves the start of what is not whole yet. */
  void feed(ByteBuffer in) throws Broken {
    while (in.hasRemaining()) {
      if (payload > 0) {
        int n = (int) Math.min(payload, in.remaining());
        sink.data(cookie, at, in, n);
        at += n;
        payload -= n;
        if (payload == 0) {
          chunkDone();
        }
      } else if (!header(in)) {
        return;
      }
    }
  }

  /** Data bytes that are still to come for the present chunk. */
  long payload() {
    return payload;
  }

  private boolean header(ByteBuffer in) throws Broken {
    if (in.remaining() < 16) {
      return false;
    }
    int p = in.position();
    int magic = in.getInt(p);
    if (magic == Nbd.SIMPLE_REPLY) {
      simple(in, p);
      return true;
    }
    if (magic != Nbd.STRUCTURED_REPLY || !structured) {
      throw new Broken("reply: magic " + Integer.toHexString(magic));
    }
    return in.remaining() >= 20 && chunk(in, p);
  }

  private void simple(ByteBuffer in, int p) throws Broken {
    error = in.getInt(p + 4);
    open(in.getLong(p + 8));
    long expected = sink.expects(cookie);
    if (structured && expected > 0 && error == 0) {
      throw new Broken("reply: simple to a read though structured replies are agreed");
    }
    in.position(p + 16);
    last = true;
    at = 0;
    payload = error == 0 ? expected : 0;
    if (payload == 0) {
      chunkDone();
    }
  }

  private boolean chunk(ByteBuffer in, int p) throws Broken {
    int chunkFlags = Short.toUnsignedInt(in.getShort(p + 4));
    int type = Short.toUnsignedInt(in.getShort(p + 6));
    long length = Integer.toUnsignedLong(in.getInt(p + 16));
    boolean data = type == Nbd.CHUNK_DATA;
    long ahead = data ? 8 : length;
    if (data && length <= 8) {
      throw new Broken("chunk: data of " + length + " bytes");
    }
    if (ahead > Nbd.MOST_OPTION) {
      throw new Broken("chunk: type " + type + " of " + length + " bytes");
    }
    if (in.remaining() < 20 + ahead) {
      return false;
    }
    open(in.getLong(p + 8));
    last = (chunkFlags & Nbd.CHUNK_DONE) != 0;
    in.position(p + 20);
    ByteBuffer body = in.slice(p + 20, (int) ahead);
    in.position(p + 20 + (int) ahead);
    switch (type) {
      case Nbd.CHUNK_NONE -> need(length == 0, "chunk: none with " + length + " bytes");
      case Nbd.CHUNK_DATA -> { at = range(body.getLong(), length - 8); payload = length - 8; return true; }
      case Nbd.CHUNK_HOLE -> {
        need(length == 12, "chunk: hole of " + length + " bytes");
        long offset = body.getLong();
        long size = Integer.toUnsignedLong(body.getInt());
        sink.hole(cookie, range(offset, size), size);
      }
      case Nbd.CHUNK_BLOCK_STATUS -> status(body);
      default -> { need(type >= 32768, "chunk: type " + type); failure(body); }
    }
    chunkDone();
    return true;
  }

  private void open(long id) throws Broken {
    cookie = id;
    need(sink.expects(id) >= 0, "reply: unknown cookie " + Long.toHexString(id));
  }

  /** Place within the request of a chunk; it must lie inside what was asked for. */
  private long range(long offset, long length) throws Broken {
    long from = offset - sink.offset(cookie);
    need(from >= 0 && length > 0 && from <= sink.expects(cookie) - length, "chunk: " + offset + "+" + length
        + " was not asked for");
    return from;
  }

  private void status(ByteBuffer body) throws Broken {
    need(body.remaining() >= 12 && (body.remaining() - 4) % 8 == 0, "chunk: status of " + body.remaining()
        + " bytes");
    int context = body.getInt();
    for (int i = 0; body.hasRemaining(); i++) {
      body.getInt();
      sink.status(cookie, context, i, body.getInt());
    }
  }

  private void failure(ByteBuffer body) throws Broken {
    need(body.remaining() >= 6, "chunk: error of " + body.remaining() + " bytes");
    error = body.getInt();
    int length = Short.toUnsignedInt(body.getShort());
    need(length <= body.remaining() && error != 0, "chunk: error " + error + " with a message of " + length
        + " bytes");
    message = StandardCharsets.UTF_8.decode(body.limit(body.position() + length)).toString();
  }

  private void chunkDone() {
    if (last) {
      int e = error;
      String m = message;
      error = 0;
      message = "";
      sink.done(cookie, e, m);
    }
  }

  private static void need(boolean ok, String what) throws Broken {
    if (!ok) {
      throw new Broken(what);
    }
  }
}
