package hollyslip;

import hollyslip.TokenBorrowingScheduler.Node;
import hollyslip.TokenBorrowingScheduler.VolumeQueue;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Decides what is forgotten of volumes without requests when too many are known: names of volumes come from
 * clients, and there is no end of new ones. A bucket that is full again, and a record without loans, say no
 * more than those of a new volume, so they go first. A bucket of a limit that is not full is never forgotten,
 * as the limit would be exceeded; with too many of those, requests of further volumes are refused. Drawback:
 * among more volumes than are known, one that is seldom used may lose its loans or its place in a share. */
final class IdleVolumes {
  /** Part of the maximum that remains known, so that volumes are forgotten many at a time. */
  private static final double KEPT_FRACTION = 0.75;

  private final int maximum;

  /** @param maximum
   *          how many volumes may be known: at nodes, each counted at every node, and by each kind of
   *          bucket */
  IdleVolumes(int maximum) {
    this.maximum = maximum;
  }

  /** A volume without queued requests at a node. */
  private record Candidate(Node node, long volume, VolumeQueue queue, boolean likeNew) {}

  /** Whether the bucket of one more limit may be kept. */
  boolean hasRoom(int buckets) {
    return buckets < maximum;
  }

  /** Whether more volumes are known at the nodes than may be. */
  boolean areTooMany(Collection<Node> nodes) {
    return countAt(nodes) > maximum;
  }

  private static long countAt(Collection<Node> nodes) {
    long count = 0;
    for (Node node : nodes) {
      count += node.volumes.size();
    }
    return count;
  }

  /** Forgets volumes at nodes if there are too many: those that are like new ones, then those without
   * requests for the longest time. */
  void forgetAt(Collection<Node> nodes, long now) {
    if (!areTooMany(nodes)) {
      return;
    }
    List<Candidate> candidates = new ArrayList<>();
    for (Node node : nodes) {
      node.volumes.forEach((volume, queue) -> {
        if (queue.queues.isEmpty()) {
          candidates.add(new Candidate(node, volume, queue, queue.isLikeNew(now, node.periodCount)));
        }
      });
    }
    candidates.sort(Comparator.comparing((Candidate candidate) -> !candidate.likeNew)
        .thenComparingLong(candidate -> candidate.queue.lastRequestAt));
    long excess = countAt(nodes) - (long) (KEPT_FRACTION * maximum);
    candidates.stream()
        .limit(excess)
        .forEach(candidate -> candidate.node.volumes.remove(candidate.volume));
  }

  /** Forgets buckets that are full and belong to no volume of {@code busy}. */
  void forgetFull(Map<Long, TokenBucket> buckets, Set<Long> busy, long now) {
    buckets.entrySet().removeIf(entry -> !busy.contains(entry.getKey()) && entry.getValue().isFull(now));
  }

  /** Forgets buckets that enforce no limit, in the order of the map, if there are too many. */
  void forgetFirst(Map<Long, TokenBucket> buckets, Set<Long> busy) {
    if (buckets.size() > maximum) {
      List<Long> first = buckets.keySet()
          .stream()
          .filter(volume -> !busy.contains(volume))
          .limit(buckets.size() - (long) (KEPT_FRACTION * maximum))
          .toList();
      buckets.keySet().removeAll(Set.copyOf(first));
    }
  }

  /** Whether a map of buckets holds more than may be known. */
  boolean areTooMany(Map<Long, TokenBucket> buckets) {
    return buckets.size() > maximum;
  }
}
