package hollyslip.engine;

import hollyslip.volume.IoKind;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** A part of a request that lies on one shard: one request of the module. */
final class SubRequest {
  final long id;
  final ActiveRequest request;
  final IoKind kind;
  final int shard;
  final long offset;
  final long requestOffset;
  final long length;
  /** Attempts, in order of their numbers. */
  final List<Attempt> attempts = new ArrayList<>(1);
  /** Ends its wait for its blocks. */
  TimerQueue.Timer lockWaitTimer;
  boolean submitted;
  /** Whether it counts among those that hold or wait for blocks. */
  boolean countedAsLocking;
  boolean answered;
  /** Attempts that may still have an effect at a node. */
  int unresolvedAttempts;

  SubRequest(long id, ActiveRequest operation, int shard, long offset, long from, long length) {
    this.id = id;
    this.request = operation;
    this.kind = operation.io.kind();
    this.shard = shard;
    this.offset = offset;
    this.requestOffset = from;
    this.length = length;
  }

  /** Views of the request's buffers that cover this piece. */
  List<ByteBuffer> data() {
    List<ByteBuffer> all = request.io.data();
    if (all.isEmpty()) {
      return all;
    }
    List<ByteBuffer> mine = new ArrayList<>(all.size());
    long skip = requestOffset;
    long left = length;
    for (ByteBuffer b : all) {
      int size = b.remaining();
      if (skip >= size) {
        skip -= size;
      } else if (left > 0) {
        int n = (int) Math.min(left, size - skip);
        mine.add(b.slice(b.position() + (int) skip, n));
        left -= n;
        skip = 0;
      }
    }
    return mine;
  }
}
