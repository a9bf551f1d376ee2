package hollyslip.engine;

import hollyslip.HostScheduler.Result;
import hollyslip.volume.IoKind;
import java.nio.ByteBuffer;
import java.util.List;

/** One sending of a piece of a request to a node; as a letter it says what came of it, as a timer that it is
 * to be given up. */
public final class Attempt implements Runnable, Timers.Task {
  private final Engine engine;
  final Piece piece;
  final int number;
  final long sentAt;
  private final long node;
  boolean over;
  boolean mayRun;
  boolean resolved;
  Timers.Entry timer;
  private Result result;
  private List<Double> report;
  /** For the node port alone: where it keeps what it needs to find the attempt again. */
  public Object handle;

  Attempt(Engine engine, Piece piece, int number, long node, long sentAt) {
    this.engine = engine;
    this.piece = piece;
    this.number = number;
    this.node = node;
    this.sentAt = sentAt;
  }

  /** An attempt that no engine knows of, for measurements of a node client alone. */
  public static Attempt bare(long request, IoKind kind, int shard, long offset, List<ByteBuffer> data) {
    long length = data.stream().mapToLong(ByteBuffer::remaining).sum();
    Io io = new Io("", kind, offset, length, data, 0, null);
    Operation op = new Operation(null, io, null, null, 0);
    return new Attempt(null, new Piece(request, op, shard, offset, 0, length), 0, 0, 0);
  }

  /** Notes what came of it; then it is posted. By the one who tells. */
  void tell(Result what, List<Double> nodesReport) {
    result = what;
    report = nodesReport;
  }

  /** Read as a letter. */
  @Override
  public void run() {
    engine.ended(this, result, report);
  }

  /** Its time is up. */
  @Override
  public void due() {
    engine.withdraw(this, Result.TIMEOUT);
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
