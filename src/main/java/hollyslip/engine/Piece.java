package hollyslip.engine;

import hollyslip.volume.IoKind;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** A part of a request that lies on one shard: one request of the module. */
final class Piece {
  final long id;
  final Operation operation;
  final IoKind kind;
  final int shard;
  final long offset;
  final long from;
  final long length;
  /** Attempts, in order of their numbers. */
  final List<Attempt> attempts = new ArrayList<>(1);
  /** Ends its wait for its blocks. */
  Timers.Entry patience;
  boolean known;
  /** Whether it counts among those that hold or wait for blocks. */
  boolean locked;
  boolean answered;
  /** Attempts that may still have an effect at a node. */
  int unresolved;

  Piece(long id, Operation operation, int shard, long offset, long from, long length) {
    this.id = id;
    this.operation = operation;
    this.kind = operation.io.kind();
    this.shard = shard;
    this.offset = offset;
    this.from = from;
    this.length = length;
  }

  /** Views of the request's buffers that cover this piece. */
  List<ByteBuffer> data() {
    List<ByteBuffer> all = operation.io.data();
    if (all.isEmpty()) {
      return all;
    }
    List<ByteBuffer> mine = new ArrayList<>(all.size());
    long skip = from;
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
