package hollyslip.standin;

import java.util.SplittableRandom;

/** Model of a disk server's service times: cores that each serve one command at a time, a bounded FIFO queue,
 * a cold start, pauses and a slowdown factor. It does no I/O and reads no clock; its random values come from
 * a seed. Not thread-safe. */
public final class ServiceModel {
  /** Parameters of the model.
   *
   * @param cores
   *          number of commands served at a time; 0: unlimited, without service times
   * @param queueLimit
   *          maximum number of queued commands
   * @param baseUs
   *          service time of a command, us
   * @param perKibUs
   *          additional service time per KiB, us
   * @param jitter
   *          fraction by which the service time varies, up and down
   * @param coldFrom
   *          fraction of full speed at the start
   * @param coldUs
   *          time until full speed, us
   * @param pauseIntervalUs
   *          interval between pauses, us; 0: no pauses
   * @param pauseUs
   *          length of a pause, us */
  public record Config(int cores, int queueLimit, long baseUs, long perKibUs, double jitter, double coldFrom,
      long coldUs,
      long pauseIntervalUs, long pauseUs) {
    public static final Config PLAIN = new Config(0, Integer.MAX_VALUE, 0, 0, 0, 1, 0, 0, 0);
  }

  /** Returns the parameters of a server with service times of {@code baseUs} plus or minus 30 %, a fifth of
   * the speed at the start and full speed after five seconds. */
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

  /** Serves nothing until the given time. */
  public void stallUntil(long until) {
    stalledUntilUs = until;
  }

  /** Returns when a command of {@code bytes} that arrives now will be done, or -1 if the queue is full.
   * {@code held}: number of commands in the server already. */
  public long completionTime(long now, long bytes, int held, double heavyPart, double heavyFactor) {
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
