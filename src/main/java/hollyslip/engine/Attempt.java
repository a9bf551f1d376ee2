package hollyslip.engine;

import hollyslip.HostScheduler.Result;
import hollyslip.volume.IoKind;
import java.nio.ByteBuffer;
import java.util.List;

/** One transmission of a sub-request to a node. As a mailbox message it delivers its outcome; as a timer task
 * it times the attempt out. */
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
  /** For the {@link NodeTransport} only: its own reference for finding the attempt again. */
  public Object handle;

  Attempt(Engine engine, SubRequest subRequest, int number, long node, long sentAt) {
    this.engine = engine;
    this.subRequest = subRequest;
    this.number = number;
    this.node = node;
    this.sentAt = sentAt;
  }

  /** Creates an attempt that belongs to no engine, for measuring a node client by itself. */
  public static Attempt detached(long request, IoKind kind, int shard, long offset, List<ByteBuffer> data) {
    long length = data.stream().mapToLong(ByteBuffer::remaining).sum();
    IoRequest io = new IoRequest("", kind, offset, length, data, 0, null);
    ActiveRequest activeRequest = new ActiveRequest(null, io, null, null, 0);
    return new Attempt(null, new SubRequest(request, activeRequest, shard, offset, 0, length), 0, 0, 0);
  }

  /** Sets the outcome; called by the reporting thread before it posts the attempt to the mailbox. */
  void setOutcome(Result outcome, List<Double> nodeReport) {
    result = outcome;
    report = nodeReport;
  }

  /** Delivers the outcome, as a mailbox message. */
  @Override
  public void run() {
    engine.onAttemptEnded(this, result, report);
  }

  /** Times the attempt out. */
  @Override
  public void onDue() {
    engine.withdraw(this, Result.TIMEOUT);
  }

  /** ID of the node that it is sent to. */
  public long node() {
    return node;
  }

  /** ID of the sub-request, under which the scheduler knows it. */
  public long requestId() {
    return subRequest.id;
  }

  /** Number of the attempt within its sub-request, from 0. */
  public int number() {
    return number;
  }

  public IoKind kind() {
    return subRequest.kind;
  }

  /** Shard that holds the data. */
  public int shard() {
    return subRequest.shard;
  }

  /** Byte offset within the shard. */
  public long offset() {
    return subRequest.offset;
  }

  /** Length in bytes. */
  public long length() {
    return subRequest.length;
  }

  /** The client's memory for this range, in order; new views on each call, so that their positions may be
   * moved. */
  public List<ByteBuffer> data() {
    return subRequest.data();
  }

  @Override
  public String toString() {
    return subRequest.kind + " " + subRequest.id + "/" + number + " at node " + node;
  }
}
