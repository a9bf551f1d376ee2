package hollyslip.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Keeps changes of the same blocks in order of arrival: a change holds its range of a shard from when it is
 * let through until it is answered and none of its attempts can have an effect any more; one that overlaps
 * waits.
 *
 * <p>
 * Guards against the late write: a write given up here may sit in its node's queue and land after a newer
 * write to the same blocks was answered, so that reads would go back in time. Harm: a newer write to those
 * blocks waits until the node answers, is fenced or is known to be gone, and is refused if its client's time
 * ends before that. Reads and ranges that do not overlap wait for nothing. */
final class RangeLocks {
  private final Map<Integer, ShardLocks> shards = new HashMap<>();

  private static final class ShardLocks {
    /** By first byte; pieces that hold never overlap. */
    final TreeMap<Long, SubRequest> held = new TreeMap<>();
    final ArrayDeque<SubRequest> waiting = new ArrayDeque<>();
    long maxHeldLength;
  }

  /** Whether the piece may go now; otherwise it waits and comes out of a later {@link #unlock}. */
  boolean lockOrEnqueue(SubRequest piece) {
    ShardLocks shard = shards.computeIfAbsent(piece.shard, k -> new ShardLocks());
    if (!shard.waiting.isEmpty() && shard.waiting.stream().anyMatch(w -> overlaps(w, piece)) || blockers(shard,
        piece) != null) {
      shard.waiting.add(piece);
      return false;
    }
    hold(shard, piece);
    return true;
  }

  /** Ends a hold and gives the pieces that may go now, in order. */
  List<SubRequest> unlock(SubRequest piece) {
    ShardLocks shard = shards.get(piece.shard);
    if (shard == null || !shard.held.remove(piece.offset, piece)) {
      return List.of();
    }
    return grantWaiting(shard, piece.shard);
  }

  /** A waiting piece gives up; gives the pieces that may go now because of it. */
  List<SubRequest> cancelWait(SubRequest piece) {
    ShardLocks shard = shards.get(piece.shard);
    if (shard == null || !shard.waiting.remove(piece)) {
      return List.of();
    }
    return grantWaiting(shard, piece.shard);
  }

  /** What a waiting piece waits for: the pieces that hold its blocks. */
  List<SubRequest> blockers(SubRequest piece) {
    ShardLocks shard = shards.get(piece.shard);
    List<SubRequest> found = shard == null ? null : blockers(shard, piece);
    return found == null ? List.of() : found;
  }

  /** Whether something waits for the blocks that this piece holds. */
  boolean hasWaiters(SubRequest holder) {
    ShardLocks shard = shards.get(holder.shard);
    return shard != null && !shard.waiting.isEmpty() && shard.waiting.stream()
        .anyMatch(w -> overlaps(w, holder));
  }

  /** Pieces that hold or wait. */
  int size() {
    return shards.values().stream().mapToInt(s -> s.held.size() + s.waiting.size()).sum();
  }

  private List<SubRequest> grantWaiting(ShardLocks shard, int number) {
    List<SubRequest> free = new ArrayList<>();
    List<SubRequest> still = new ArrayList<>();
    while (!shard.waiting.isEmpty()) {
      SubRequest w = shard.waiting.poll();
      if (blockers(shard, w) == null && still.stream().noneMatch(s -> overlaps(s, w))) {
        hold(shard, w);
        free.add(w);
      } else {
        still.add(w);
      }
    }
    shard.waiting.addAll(still);
    if (shard.held.isEmpty() && shard.waiting.isEmpty()) {
      shards.remove(number);
    }
    return free;
  }

  private static void hold(ShardLocks shard, SubRequest piece) {
    shard.held.put(piece.offset, piece);
    shard.maxHeldLength = Math.max(shard.maxHeldLength, piece.length);
  }

  private static List<SubRequest> blockers(ShardLocks shard, SubRequest piece) {
    List<SubRequest> found = null;
    for (SubRequest h : shard.held.subMap(piece.offset - shard.maxHeldLength, false, piece.offset + piece.length, false)
        .values()) {
      if (overlaps(h, piece)) {
        found = found == null ? new ArrayList<>(2) : found;
        found.add(h);
      }
    }
    return found;
  }

  private static boolean overlaps(SubRequest a, SubRequest b) {
    return a.offset < b.offset + b.length && b.offset < a.offset + a.length;
  }
}
