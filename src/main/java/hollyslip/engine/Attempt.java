package hollyslip.engine;

import hollyslip.HostScheduler.Result;
import hollyslip.volume.IoKind;
import java.nio.ByteBuffer;
import java.util.List;

/** One sending of a piece of a request to a node; as a letter it says what came of it, as a timer that it is
 * to be given up. */
public final class Attempt implements Runnable, TimerQueue.Task {
  private final Engine engine;
  final SubRequest subRequest;
  final int number;
  final long sentAt;
  private final long node;
  boolean ended;
  boolean mayStillRun;
  boolean resolved;
  TimerQueue.Timer timer;
  private Result result;
  private List<Double> report;
  /** For the node port alone: where it keeps what it needs to find the attempt again. */
  public Object handle;

  Attempt(Engine engine, SubRequest piece, int number, long node, long sentAt) {
    this.engine = engine;
    this.subRequest = piece;
    this.number = number;
    this.node = node;
    this.sentAt = sentAt;
  }

  /** An attempt that no engine knows of, for measurements of a node client alone. */
  public static Attempt bare(long request, IoKind kind, int shard, long offset, List<ByteBuffer> data) {
    long length = data.stream().mapToLong(ByteBuffer::remaining).sum();
    Io io = new Io("", kind, offset, length, data, 0, null);
    ActiveRequest op = new ActiveRequest(null, io, null, null, 0);
    return new Attempt(null, new SubRequest(request, op, shard, offset, 0, length), 0, 0, 0);
  }

  /** Notes what came of it; then it is posted. By the one who tells. */
  void setOutcome(Result what, List<Double> nodesReport) {
    result = what;
    report = nodesReport;
  }

  /** Read as a letter. */
  @Override
  public void run() {
    engine.onAttemptEnded(this, result, report);
  }

  /** Its time is up. */
  @Override
  public void onDue() {
    engine.withdraw(this, Result.TIMEOUT);
  }

  /** The node that it goes to. */
  public long node() {
    return node;
  }

  /** Number of the request at the module, and of the attempt within it: for logs. */
  public long request() {
    return subRequest.id;
  }

  /** Number of the attempt, from 0. */
  public int number() {
    return number;
  }

  /** What is to be done. */
  public IoKind kind() {
    return subRequest.kind;
  }

  /** Shard on which the data lies. */
  public int shard() {
    return subRequest.shard;
  }

  /** First byte within the shard. */
  public long offset() {
    return subRequest.offset;
  }

  /** Bytes. */
  public long length() {
    return subRequest.length;
  }

  /** The client's memory for these bytes, in order; fresh views, so positions may be moved. */
  public List<ByteBuffer> data() {
    return subRequest.data();
  }

  @Override
  public String toString() {
    return subRequest.kind + " " + subRequest.id + "/" + number + " at node " + node;
  }
}
