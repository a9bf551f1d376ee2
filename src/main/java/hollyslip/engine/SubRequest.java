package hollyslip.engine;

import hollyslip.volume.IoKind;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** The part of a request that lies on one shard; the scheduler sees it as a request of its own. */
final class SubRequest {
  final long id;
  final ActiveRequest request;
  final IoKind kind;
  final int shard;
  final long offset;
  final long requestOffset;
  final long length;
  /** Indexed by attempt number. */
  final List<Attempt> attempts = new ArrayList<>(1);
  /** Ends the wait for the block range before the deadline. */
  TimerQueue.Timer lockWaitTimer;
  boolean submitted;
  /** Whether its volume counts it as holding or waiting for a block range. */
  boolean countedAsLocking;
  boolean answered;
  /** Attempts that may still have an effect at a node. */
  int unresolvedAttempts;

  SubRequest(long id, ActiveRequest request, int shard, long offset, long requestOffset, long length) {
    this.id = id;
    this.request = request;
    this.kind = request.io.kind();
    this.shard = shard;
    this.offset = offset;
    this.requestOffset = requestOffset;
    this.length = length;
  }

  /** Views of the request's buffers that cover this sub-request. */
  List<ByteBuffer> data() {
    List<ByteBuffer> buffers = request.io.data();
    if (buffers.isEmpty()) {
      return buffers;
    }
    List<ByteBuffer> views = new ArrayList<>(buffers.size());
    long skip = requestOffset;
    long remaining = length;
    for (ByteBuffer buffer : buffers) {
      int size = buffer.remaining();
      if (skip >= size) {
        skip -= size;
      } else if (remaining > 0) {
        int count = (int) Math.min(remaining, size - skip);
        views.add(buffer.slice(buffer.position() + (int) skip, count));
        remaining -= count;
        skip = 0;
      }
    }
    return views;
  }
}
