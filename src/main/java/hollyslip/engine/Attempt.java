package hollyslip.engine;

import hollyslip.volume.IoKind;
import java.nio.ByteBuffer;
import java.util.List;

/** One sending of a piece of a request to a node. */
public final class Attempt {
  final Piece piece;
  final int number;
  final long sentAt;
  private final long node;
  boolean over;
  boolean mayRun;
  boolean resolved;
  Timers.Entry timer;
  /** For the node port alone: where it keeps what it needs to find the attempt again. */
  public Object handle;

  Attempt(Piece piece, int number, long node, long sentAt) {
    this.piece = piece;
    this.number = number;
    this.node = node;
    this.sentAt = sentAt;
  }

  /** An attempt that no engine knows of, for measurements of a node client alone. */
  public static Attempt bare(long request, IoKind kind, int shard, long offset, List<ByteBuffer> data) {
    long length = data.stream().mapToLong(ByteBuffer::remaining).sum();
    Io io = new Io("", kind, offset, length, data, 0, null);
    Operation op = new Operation(io, null, "", true, 0, 0);
    return new Attempt(new Piece(request, op, shard, offset, 0, length), 0, 0, 0);
  }

  /** The node that it goes to. */
  public long node() {
    return node;
  }

  /** Number of the request at the module, and of the attempt within it: for logs. */
  public long request() {
    return piece.id;
  }

  /** Number of the attempt, from 0. */
  public int number() {
    return number;
  }

  /** What is to be done. */
  public IoKind kind() {
    return piece.kind;
  }

  /** Shard on which the data lies. */
  public int shard() {
    return piece.shard;
  }

  /** First byte within the shard. */
  public long offset() {
    return piece.offset;
  }

  /** Bytes. */
  public long length() {
    return piece.length;
  }

  /** The client's memory for these bytes, in order; fresh views, so positions may be moved. */
  public List<ByteBuffer> data() {
    return piece.data();
  }

  @Override
  public String toString() {
    return piece.kind + " " + piece.id + "/" + number + " at node " + node;
  }
}
