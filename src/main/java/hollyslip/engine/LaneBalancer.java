package hollyslip.engine;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Which volume moves to another lane, and when: decided once an interval from what each volume brought in
 * it. Free of I/O, clock and threads, the same for the same figures.
 *
 * <p>
 * Guards against lanes that idle while one is overrun. A move empties the volume's limit bucket and pauses
 * its rings for as long as its last requests take, so it must gain: the two lanes must end nearer to each
 * other, and a volume that moved rests. Harm: a volume that alone is more than a lane can do stays where it
 * is. */
final class LaneBalancer {
  /** A lane is hot from this multiple of the mean on. */
  static final double HOT_LANE_RATIO = 1.25;

  /** Intervals for which a lane must have been hot before anything moves: a burst is over by then. */
  static final int HOT_INTERVALS_BEFORE_MOVE = 3;

  /** Intervals for which a volume that moved stays. */
  static final int REST_INTERVALS_AFTER_MOVE = 30;

  private final Map<Long, Long> lastMoveByVolume = new HashMap<>();
  private long interval;
  private int hotLane = -1;
  private int hotIntervals;

  /** What a volume brought in the interval, and its lane. */
  record Load(long volume, int lane, long units) {}

  /** A volume that is to move. */
  record Move(long volume, int from, int to) {}

  /** One interval is over; null: nothing moves. */
  Move decide(int lanes, List<Load> loads) {
    interval++;
    lastMoveByVolume.values().removeIf(at -> interval - at > REST_INTERVALS_AFTER_MOVE);
    long[] sum = new long[lanes];
    loads.forEach(l -> sum[l.lane] += l.units);
    int hot = 0;
    int cold = 0;
    long all = 0;
    for (int i = 0; i < lanes; i++) {
      hot = sum[i] > sum[hot] ? i : hot;
      cold = sum[i] < sum[cold] ? i : cold;
      all += sum[i];
    }
    if (sum[hot] <= HOT_LANE_RATIO * all / lanes) {
      hotIntervals = 0;
      return null;
    }
    hotIntervals = hot == hotLane ? hotIntervals + 1 : 1;
    hotLane = hot;
    if (hotIntervals < HOT_INTERVALS_BEFORE_MOVE) {
      return null;
    }
    Load best = null;
    long gap = sum[hot] - sum[cold];
    for (Load l : loads) {
      boolean may = l.lane == hot && l.units > 0 && !lastMoveByVolume.containsKey(l.volume);
      long left = Math.abs(gap - 2 * l.units);
      if (may && left < gap && (best == null || left < Math.abs(gap - 2 * best.units))) {
        best = l;
      }
    }
    if (best == null) {
      return null;
    }
    lastMoveByVolume.put(best.volume, interval);
    hotIntervals = 0;
    return new Move(best.volume, hot, cold);
  }
}
