package hollyslip.engine;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Decides once per interval whether a volume moves to another lane, from the load of each volume. Without
 * I/O, clock or threads, and deterministic.
 *
 * <p>
 * This keeps lanes from idling while another is overloaded. A move empties the volume's rate limit bucket and
 * pauses its rings until its last requests are answered, so a move must bring the two lanes closer together,
 * and a volume that was moved stays for a while. Drawback: a volume that alone overloads a lane stays where
 * it is. */
final class LaneBalancer {
  /** A lane is hot above this multiple of the mean load. */
  static final double HOT_LANE_RATIO = 1.25;

  /** Intervals for which a lane must have been hot before a volume moves, so that a burst causes no move. */
  static final int HOT_INTERVALS_BEFORE_MOVE = 3;

  /** Intervals for which a moved volume stays on its lane. */
  static final int REST_INTERVALS_AFTER_MOVE = 30;

  private final Map<Long, Long> lastMoveByVolume = new HashMap<>();
  private long interval;
  private int hotLane = -1;
  private int hotIntervals;

  /** Requests of a volume in an interval, and its lane. */
  record Load(long volume, int lane, long requests) {}

  /** A volume to be moved. */
  record Move(long volume, int from, int to) {}

  /** Decides at the end of an interval; null if no volume moves. */
  Move decide(int lanes, List<Load> loads) {
    interval++;
    lastMoveByVolume.values().removeIf(movedAt -> interval - movedAt > REST_INTERVALS_AFTER_MOVE);
    long[] laneLoads = new long[lanes];
    loads.forEach(load -> laneLoads[load.lane] += load.requests);
    int hottest = 0;
    int coldest = 0;
    long total = 0;
    for (int i = 0; i < lanes; i++) {
      hottest = laneLoads[i] > laneLoads[hottest] ? i : hottest;
      coldest = laneLoads[i] < laneLoads[coldest] ? i : coldest;
      total += laneLoads[i];
    }
    if (laneLoads[hottest] <= HOT_LANE_RATIO * total / lanes) {
      hotIntervals = 0;
      return null;
    }
    hotIntervals = hottest == hotLane ? hotIntervals + 1 : 1;
    hotLane = hottest;
    if (hotIntervals < HOT_INTERVALS_BEFORE_MOVE) {
      return null;
    }
    Load best = null;
    long gap = laneLoads[hottest] - laneLoads[coldest];
    for (Load load : loads) {
      boolean movable = load.lane == hottest && load.requests > 0
          && !lastMoveByVolume.containsKey(load.volume);
      long gapAfterMove = Math.abs(gap - 2 * load.requests);
      if (movable && gapAfterMove < gap
          && (best == null || gapAfterMove < Math.abs(gap - 2 * best.requests))) {
        best = load;
      }
    }
    if (best == null) {
      return null;
    }
    lastMoveByVolume.put(best.volume, interval);
    hotIntervals = 0;
    return new Move(best.volume, hottest, coldest);
  }
}
