package hollyslip.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Orders writes (requests that modify data) to the same blocks by arrival: a write holds its range of a
 * shard from when it is granted until it is answered and none of its attempts can have an effect any more; an
 * overlapping write waits.
 *
 * <p>
 * This guards against late writes: a write that was withdrawn here may still sit in its node's queue and land
 * after a newer write to the same blocks was answered, so that reads would go back in time. Drawback: the
 * newer write waits until the node answers, or the older write is fenced or known to be gone; it is refused
 * if its client's deadline comes first. Reads, and writes of other ranges, do not wait. */
final class RangeLocks {
  private final Map<Integer, ShardLocks> shards = new HashMap<>();

  private static final class ShardLocks {
    /** By first byte; held ranges never overlap. */
    final TreeMap<Long, SubRequest> held = new TreeMap<>();
    final ArrayDeque<SubRequest> waiting = new ArrayDeque<>();
    long maxHeldLength;
  }

  /** Locks the range and returns true, or queues the sub-request, which a later {@link #unlock} returns. */
  boolean lockOrEnqueue(SubRequest subRequest) {
    ShardLocks shard = shards.computeIfAbsent(subRequest.shard, k -> new ShardLocks());
    if (!shard.waiting.isEmpty() && shard.waiting.stream().anyMatch(w -> overlaps(w, subRequest))
        || blockers(shard, subRequest) != null) {
      shard.waiting.add(subRequest);
      return false;
    }
    hold(shard, subRequest);
    return true;
  }

  /** Releases a range; returns the waiting sub-requests that now hold theirs, in order. */
  List<SubRequest> unlock(SubRequest subRequest) {
    ShardLocks shard = shards.get(subRequest.shard);
    if (shard == null || !shard.held.remove(subRequest.offset, subRequest)) {
      return List.of();
    }
    return grantWaiting(shard, subRequest.shard);
  }

  /** Removes a waiting sub-request; returns those that now hold their ranges because of it. */
  List<SubRequest> cancelWait(SubRequest subRequest) {
    ShardLocks shard = shards.get(subRequest.shard);
    if (shard == null || !shard.waiting.remove(subRequest)) {
      return List.of();
    }
    return grantWaiting(shard, subRequest.shard);
  }

  /** The sub-requests whose ranges a waiting one overlaps. */
  List<SubRequest> blockers(SubRequest subRequest) {
    ShardLocks shard = shards.get(subRequest.shard);
    List<SubRequest> blockers = shard == null ? null : blockers(shard, subRequest);
    return blockers == null ? List.of() : blockers;
  }

  /** Whether a sub-request waits for a block that this one holds. */
  boolean hasWaiters(SubRequest holder) {
    ShardLocks shard = shards.get(holder.shard);
    return shard != null && !shard.waiting.isEmpty() && shard.waiting.stream()
        .anyMatch(w -> overlaps(w, holder));
  }

  /** The sub-requests that hold a range. */
  List<SubRequest> holders() {
    return shards.values().stream().flatMap(shard -> shard.held.values().stream()).toList();
  }

  /** Number of sub-requests that hold or wait for a range. */
  int size() {
    return shards.values().stream().mapToInt(s -> s.held.size() + s.waiting.size()).sum();
  }

  private List<SubRequest> grantWaiting(ShardLocks shard, int shardNumber) {
    List<SubRequest> granted = new ArrayList<>();
    List<SubRequest> stillWaiting = new ArrayList<>();
    while (!shard.waiting.isEmpty()) {
      SubRequest waiter = shard.waiting.poll();
      if (blockers(shard, waiter) == null && stillWaiting.stream().noneMatch(s -> overlaps(s, waiter))) {
        hold(shard, waiter);
        granted.add(waiter);
      } else {
        stillWaiting.add(waiter);
      }
    }
    shard.waiting.addAll(stillWaiting);
    if (shard.held.isEmpty() && shard.waiting.isEmpty()) {
      shards.remove(shardNumber);
    }
    return granted;
  }

  private static void hold(ShardLocks shard, SubRequest subRequest) {
    shard.held.put(subRequest.offset, subRequest);
    shard.maxHeldLength = Math.max(shard.maxHeldLength, subRequest.length);
  }

  private static List<SubRequest> blockers(ShardLocks shard, SubRequest subRequest) {
    List<SubRequest> blockers = null;
    for (SubRequest holder : shard.held.subMap(subRequest.offset - shard.maxHeldLength, false,
        subRequest.offset + subRequest.length, false)
        .values()) {
      if (overlaps(holder, subRequest)) {
        blockers = blockers == null ? new ArrayList<>(2) : blockers;
        blockers.add(holder);
      }
    }
    return blockers;
  }

  private static boolean overlaps(SubRequest a, SubRequest b) {
    return a.offset < b.offset + b.length && b.offset < a.offset + a.length;
  }
}
