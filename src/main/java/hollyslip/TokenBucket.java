package hollyslip;

/** A token bucket: a host's share of a volume's limit (rule 7), of its reserve, or of what a cold node can
 * always serve. A limit starts empty at each launch: a restarted host does not know what it has spent and
 * would otherwise exceed its share. Drawback: less is sent in the first seconds after a launch. Times are in
 * microseconds. */
final class TokenBucket {
  private double depth, rate, level;
  private long updatedAt;

  TokenBucket(double perSecond, double depth, double level, long updatedAt) {
    this.depth = depth;
    this.level = level;
    this.updatedAt = updatedAt;
    rate = perSecond / 1e6;
  }

  /** Changes rate and depth from now on. The level is kept as far as it fits; nothing is added. */
  TokenBucket reconfigure(double perSecond, double newDepth, long now) {
    level = Math.min(newDepth, Math.min(depth, level + rate * (now - updatedAt)));
    updatedAt = now;
    depth = newDepth;
    rate = perSecond / 1e6;
    return this;
  }

  /** Whether the bucket holds this many units. */
  boolean hasTokens(double units, long now) {
    level = Math.min(depth, level + rate * (now - updatedAt));
    updatedAt = now;
    return level >= units;
  }

  boolean isFull(long now) {
    return rate <= 0 || hasTokens(depth, now);
  }

  /** Adds units up to the depth, or removes them if negative. */
  void add(double units) {
    level = Math.min(depth, level + units);
  }
}
