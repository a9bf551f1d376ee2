package hollyslip.standin;

import java.util.SplittableRandom;

/** How long a disk server takes: cores that serve one command each, a queue with a bound in turn of arrival,
 * a cold start, pauses and a factor for slow days. Free of I/O and clock; drawn from a seed. Not safe for
 * several threads. */
public final class ServiceModel {
  /** What it is built from.
   *
   * @param cores
   *          commands served at once; 0: all at once, without any time
   * @param queueLimit
   *          commands that may wait
   * @param baseUs
   *          work of a command, us
   * @param perKibUs
   *          work of each KiB more, us
   * @param jitter
   *          part by which the work varies, up and down
   * @param coldFrom
   *          part of its speed at a start
   * @param coldUs
   *          time until it is warm, us
   * @param pauseIntervalUs
   *          between two pauses, us; 0: none
   * @param pauseUs
   *          length of a pause, us */
  public record Config(int cores, int queueLimit, long baseUs, long perKibUs, double jitter, double coldFrom,
      long coldUs,
      long pauseIntervalUs, long pauseUs) {
    public static final Config PLAIN = new Config(0, Integer.MAX_VALUE, 0, 0, 0, 1, 0, 0, 0);
  }

  /** A timed server's: cores that take {@code baseUs} a command, give or take three tenths, a fifth of the
   * speed at a start and all of it after five seconds. */
  public static Config timed(int cores, int queue, long baseUs) {
    return new Config(cores, queue, baseUs, 0, 0.3, 0.2, 5_000_000, 0, 0);
  }

  private final Config config;
  private final SplittableRandom random;
  private final long[] coreFreeAtUs;
  private final long startedAtUs;
  private double slow = 1;
  private long stalledUntilUs;

  public ServiceModel(Config config, long seed, long bornUs) {
    this.config = config;
    this.random = new SplittableRandom(seed);
    this.startedAtUs = bornUs;
    coreFreeAtUs = new long[Math.max(1, config.cores())];
  }

  boolean hasNoDelays() {
    return config.cores() == 0 && stalledUntilUs == 0 && slow == 1;
  }

  public void slow(double factor) {
    slow = factor;
  }

  /** Serves nothing until then. */
  public void stall(long until) {
    stalledUntilUs = until;
  }

  /** When a command of so many bytes that comes now is done, or -1: the queue is full. {@code held}: those
   * that it holds already. */
  public long doneAt(long now, long bytes, int held, double heavyPart, double heavyFactor) {
    if (config.cores() > 0 && held >= config.cores() + config.queueLimit()) {
      return -1;
    }
    int core = 0;
    for (int i = 1; i < coreFreeAtUs.length; i++) {
      core = coreFreeAtUs[i] < coreFreeAtUs[core] ? i : core;
    }
    long start = Math.max(Math.max(now, stalledUntilUs), config.cores() == 0 ? 0 : coreFreeAtUs[core]);
    if (config.pauseIntervalUs() > 0 && (start - startedAtUs) % config.pauseIntervalUs() < config.pauseUs()) {
      start += config.pauseUs() - (start - startedAtUs) % config.pauseIntervalUs();
    }
    double work = (config.baseUs() + config.perKibUs() * bytes / 1024.0) * (1 + config.jitter() * (2 * random
        .nextDouble() - 1)) * slow * (random.nextDouble() < heavyPart ? heavyFactor : 1) / speedAt(start);
    coreFreeAtUs[core] = start + (long) work;
    return coreFreeAtUs[core];
  }

  private double speedAt(long at) {
    if (config.coldUs() <= 0) {
      return 1;
    }
    double age = Math.max(0, Math.min(1, (double) (at - startedAtUs) / config.coldUs()));
    return config.coldFrom() + (1 - config.coldFrom()) * age;
  }
}
