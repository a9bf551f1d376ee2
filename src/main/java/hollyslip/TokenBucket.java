package hollyslip;

/** Units that fill at a rate up to a depth: a host's part of a volume's limit (rule 7), of its reserve, or of
 * what a cold node always bears. A limit starts empty at each launch: a restarted host has forgotten what it
 * spent, and so is never above its part. The first seconds after a launch are the price. Times are us. */
final class TokenBucket {
  private double depth, rate, level;
  private long at;

  TokenBucket(double perSecond, double depth, double level, long at) {
    this.depth = depth;
    this.level = level;
    this.at = at;
    rate = perSecond / 1e6;
  }

  /** Another rate and depth from now on: what was earned stays as far as it fits, nothing is added. */
  TokenBucket change(double perSecond, double newDepth, long now) {
    level = Math.min(newDepth, Math.min(depth, level + rate * (now - at)));
    at = now;
    depth = newDepth;
    rate = perSecond / 1e6;
    return this;
  }

  /** Whether so many units are there. */
  boolean allows(double units, long now) {
    level = Math.min(depth, level + rate * (now - at));
    at = now;
    return level >= units;
  }

  boolean full(long now) {
    return rate <= 0 || allows(depth, now);
  }

  /** Adds units, or takes them if negative. */
  void add(double units) {
    level = Math.min(depth, level + units);
  }
}
