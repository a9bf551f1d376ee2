package hollyslip;

import java.util.*;
import java.util.function.Consumer;

/** Decides when and where one host's requests are sent, after the AdapTBF paper (adaptive token borrowing).
 * Its events and actions are declared in {@link HostScheduler}; read that first.
 *
 * <p>
 * Each request waits in the {@link VolumeQueue} of its volume at its {@link Node}. Each period, a node's
 * token rate is divided among the active volumes (initial allocation), unused tokens are lent
 * (redistribution) and reclaimed (re-compensation). Queued requests are sent as the node's window has room:
 * the most valuable first, and among equals the one whose volume has had tokens for the longest time. */
public final class TokenBorrowingScheduler implements HostScheduler {
  /** Allocation period, in microseconds: the 100 ms of the specification. */
  static final long ALLOCATION_PERIOD_US = 100_000;

  /** Initial and maximum window of a node, in requests: a few to begin with, and the maximum that the design
   * specifies. */
  static final double INITIAL_WINDOW = 4, MAX_WINDOW = 32;

  /** The window widens while latency is below the first multiple of the baseline and narrows above the
   * second. In between it stays as it is, so that noise does not move it. */
  static final double WIDEN_BELOW = 1.6, NARROW_ABOVE = 2.4;

  /** Fraction of the shortest aim below which latency, however much it varies, does not indicate a queue, and
   * below which a window counts as full once its integer part is in use: nodes that answer in microseconds
   * jitter by several times their latency and can take everything one host sends. Above it, a window that is
   * not an integer stops widening, because hosts share such nodes. Drawback: a short queue goes unnoticed. */
  static final double LATENCY_NOISE = 0.02;

  /** Fraction of the window that is kept when it narrows, which happens at most once per latency. */
  static final double NARROW_FACTOR = 0.85;

  /** The latency estimate of a node decays toward the baseline over this many mean gaps between this host's
   * requests to it, within these bounds in microseconds. A host that contributes much of the node's queue
   * sends to it again soon, one host of a hundred only now and then, so that together they do not fill the
   * queue with requests that test it. */
  static final double DECAY_GAPS = 6, MIN_DECAY_US = 250_000, MAX_DECAY_US = 2_000_000;

  /** Factors by which an answer of any node that is faster or slower than the baseline latency moves it; in
   * balance, a quarter of the answers are faster. */
  static final double BASELINE_DECREASE = 0.97, BASELINE_INCREASE = 1.01;

  /** Upper bound, in shortest aims, on the latency that the estimate takes from a missing answer, a full
   * queue or an answer; high enough to hold back requests that are due. Without it, a stall of seconds would
   * hold requests back for seconds more, until so large an estimate had decayed. Drawback: a host forgets a
   * longer queue sooner. */
  static final double LATENCY_CAP_AIMS = 2;

  /** When an attempt that may be repeated times out. The latest time is {@link #LATE_TIMEOUT_AIMS} of the
   * aim's length after the aim: a node that drops it then loses only work of little value. A first attempt
   * times out {@link #RETRY_RESERVE_LATENCIES} expected latencies before the aim, but not before
   * {@link #MIN_TIMEOUT_LATENCIES} expected latencies have passed: it is then presumed lost, and a second
   * attempt may still be in time. Drawback: a late answer is missed and work is done twice. */
  static final double LATE_TIMEOUT_AIMS = 0.5, RETRY_RESERVE_LATENCIES = 2, MIN_TIMEOUT_LATENCIES = 6;

  /** Weight of one more missing answer in {@link #lostAnswerRatio}, and minimum weight of a new sample in the
   * latency estimate, which then covers about the last ten answers of a node in frequent use. */
  static final double LOST_ANSWER_GAIN = 0.2, MIN_LATENCY_GAIN = 0.1;

  /** Baseline latency before the first answer, in microseconds: that of a disk request. */
  static final double INITIAL_LATENCY_US = 40_000;

  /** Depth of a bucket in requests of mean size, as in the paper, and the fraction of an idle volume's record
   * that is kept each period. */
  static final double BUCKET_DEPTH_REQUESTS = 3, RECORD_DECAY = 0.98;

  /** Time without requests after which a volume is forgotten at a node, in microseconds; longer than load
   * surges last. */
  static final long IDLE_EXPIRY_US = 60_000_000;

  /** Fraction of the client's remaining time after which a request that was never sent is ended, unless the
   * length of its aim has passed before. The rest is left to the client for a retry. Drawback: a request that
   * could have been served late is not served. */
  static final double MAX_QUEUED_FRACTION = 0.5;

  /** Delays in microseconds: before the retry of an attempt that failed at once, a few service times; before
   * a queued request that a check holds back is examined again; before the node list is requested again,
   * which is itself load. */
  static final long RETRY_DELAY_US = 30_000, BLOCKED_POLL_US = 10_000, NODE_LIST_RETRY_US = 500_000;

  /** Consecutive refused connections that indicate a node that is down, rather than out of connections. */
  static final int DOWN_AFTER_FAILURES = 2;

  /** Safety margin on the deduplication window of a keyed class, in microseconds; longer than a message is in
   * transit. */
  static final long DEDUP_WINDOW_MARGIN_US = 20_000;

  private final Settings settings;
  private final Map<String, RequestClass> classes = new HashMap<>();
  /** Longest remaining time of any request so far, by class; the difference to it is time that has passed
   * before arrival. */
  private final Map<String, Long> maxRemainingUs = new HashMap<>();
  private final Map<String, Plan> plans = new HashMap<>();
  /** All nodes, and those with queued requests: the cost of an event must not grow with the node count. */
  final Map<Long, Node> nodes = new TreeMap<>(), nodesWithQueuedRequests = new TreeMap<>();
  private final Map<Long, PendingRequest> pendingRequests = new LinkedHashMap<>();
  /** In order of last use. */
  private final Map<Long, TokenBucket> limits = new LinkedHashMap<>(16, 0.75f, true),
      reserves = new LinkedHashMap<>(16, 0.75f, true);
  private final Map<Long, KeyQueue> keyQueues = new HashMap<>();
  /** Volumes with a plan of their own, and removed volumes that are forgotten with their last request. */
  private final Map<Long, VolumeChanged> volumeTerms = new HashMap<>();
  private final Set<Long> removedVolumes = new HashSet<>();
  private final TreeMap<Long, PendingRequest> unplaced = new TreeMap<>();
  private final TreeSet<PendingRequest> byAnswerTime = new TreeSet<>(Comparator.<PendingRequest>comparingLong(
      pending -> pending.answerBy).thenComparingLong(pending -> pending.sequence));
  private final SplittableRandom random;
  private final RetryBudget retryBudget;
  private final IdleVolumes idleVolumes;
  private final double shortestAimUs, maxWorth;
  private Consumer<Action> actionSink;
  private double maxValue;
  private double baselineLatency = INITIAL_LATENCY_US;
  /** Share of missing answers, of any node, that were merely lost, as the node's next answer came soon; a
   * moving average. */
  private double lostAnswerRatio;
  private long now, nextSequence, periodEnd, nextSweepAt;
  private long firstEventAt = Long.MIN_VALUE, timerAt = Long.MAX_VALUE, listRetryAt = Long.MAX_VALUE;
  private boolean recheckNeeded, stopping;

  /** Creates a scheduler for volumes whose number is limited elsewhere. */
  public TokenBorrowingScheduler(Settings settings) {
    this(settings, Integer.MAX_VALUE);
  }

  /** Creates a scheduler for volumes that clients name.
   *
   * @param maxIdleVolumes
   *          number of volumes from which on those without requests are forgotten */
  public TokenBorrowingScheduler(Settings settings, int maxIdleVolumes) {
    idleVolumes = new IdleVolumes(maxIdleVolumes);
    this.settings = Objects.requireNonNull(settings, "settings");
    settings.classes().forEach(c -> classes.put(c.name(), c));
    settings.plans().forEach(p -> plans.put(p.name(), p));
    random = new SplittableRandom(settings.seed());
    retryBudget = new RetryBudget(settings.rules());
    maxWorth = settings.classes().stream().mapToDouble(RequestClass::worth).max().orElseThrow();
    maxValue = maxWorth * settings.plans().stream().mapToDouble(Plan::price).max().orElseThrow();
    shortestAimUs = settings.classes().stream().mapToLong(RequestClass::aimUs).min().orElseThrow();
  }

  /** Requests with the same key, in order of arrival; only the first may be sent (rule 6). */
  private static final class KeyQueue {
    final ArrayDeque<PendingRequest> requests = new ArrayDeque<>();
    long quietUntil = Long.MIN_VALUE;
  }

  /** Identifies the requests of one volume that have the same value and need the same permits of limit and
   * retry budget; they are queued together, ordered by aim. */
  record QueueKey(String className, double units, boolean retry, boolean charged) {}

  record AimKey(long aimAt, long sequence) {}

  static final Comparator<AimKey> BY_AIM = Comparator.comparingLong(AimKey::aimAt)
      .thenComparingLong(AimKey::sequence);

  /** A request until its final answer is given and its last attempt has ended. */
  static final class PendingRequest {
    final Request request;
    final RequestClass requestClass;
    final long sequence;
    final long arrivedAt, aimAt;
    final AimKey aimKey;
    /** Uniform over 0 to 1, from the instance's seed; decides on admission to a cold node. */
    final double coldDraw;
    final TokenBucket reserve;
    TokenBucket limit;
    Plan plan;
    KeyQueue keyQueue;
    Node node;
    /** Where the request is queued, or was last. */
    VolumeQueue volumeQueue;
    QueueKey queueKey;
    int attempts, inFlightAttempts;
    long deadline, notBefore, sentAt, answerBy;
    boolean done, streaming, overdue, charged;

    /** Node and time of the first attempt that is in flight or may have run; null while none may have run. */
    Node possibleRunNode;
    long possibleRunAt;
    boolean endedAttemptMayHaveRun;

    PendingRequest(Request request, RequestClass requestClass, long maxRemainingUs, Plan plan, long sequence,
        long now, double coldDraw, TokenBucket limit, TokenBucket reserve) {
      this.request = request;
      this.requestClass = requestClass;
      this.plan = plan;
      this.sequence = sequence;
      this.limit = limit;
      this.reserve = reserve;
      this.coldDraw = coldDraw;
      arrivedAt = now;
      deadline = now + request.remainingUs();
      answerBy = now + Math.min((long) (MAX_QUEUED_FRACTION * request.remainingUs()), requestClass.aimUs());
      aimAt = now + requestClass.aimUs() - (maxRemainingUs - request.remainingUs());
      aimKey = new AimKey(aimAt, sequence);
    }

    /** Whether another attempt at this node now cannot make the request take effect twice (rule 2). */
    boolean mayAttemptOn(Node target, long now) {
      if (possibleRunNode == null || requestClass.effect() == Effect.SAFE) {
        return true;
      }
      if (requestClass.effect() == Effect.UNSAFE
          || now > possibleRunAt + requestClass.dedupWindowUs() - DEDUP_WINDOW_MARGIN_US) {
        return false;
      }
      return switch (requestClass.dedupScope()) {
        case ALL -> true;
        case ZONE -> target.zone.equals(possibleRunNode.zone);
        case CELL -> target.cell == possibleRunNode.cell;
      };
    }

    /** Whether the client may be told that a retry does no harm (rule 2). */
    boolean mayRefuse() {
      return possibleRunNode == null || requestClass.effect() == Effect.SAFE
          || requestClass.effect() == Effect.KEYED && requestClass.dedupScope() == DedupScope.ALL;
    }
  }

  /** A volume at a node: its queued requests, token bucket, demand and record of lending. */
  static final class VolumeQueue {
    final double bucketDepth;
    double weight, groupWeight;
    long group;
    /** By what equivalent requests have in common, then by aim, so that a selection examines only a few of
     * them. */
    final Map<QueueKey, TreeMap<AimKey, PendingRequest>> queues = new LinkedHashMap<>();
    long filledAt, lastRequestAt, decayedPeriods;
    /** Whether the volume has had an allocation at this node. */
    boolean allocatedBefore;
    /** Tokens in the bucket, their rate per microsecond, units requested in the current period, and the
     * record (equation 8): tokens that this volume has lent, or owes if negative. */
    double tokens, rate, requestedUnits, record;
    /** The paper's quantities: p (share of the tokens) and alpha (allocation), equations 1 and 2; u
     * (utilisation), d (demand), tokens lent on balance and DF (distribution factor), equations 3 to 8; and
     * alpha of the previous allocation. */
    double tokenShare, utilisation, demand, allocation, lent, distributionFactor, lastAllocation;

    VolumeQueue(double weight, double bucketDepth, long now) {
      this.bucketDepth = bucketDepth;
      setWeights(weight, 0, weight);
      tokens = bucketDepth;
      filledAt = now;
    }

    final void setWeights(double newWeight, long newGroup, double newGroupWeight) {
      weight = newWeight;
      group = newGroup;
      groupWeight = newGroup == 0 ? newWeight : newGroupWeight;
    }

    /** Weight that determines the volume's share of the tokens, comparable across groups. */
    double nominalWeight() {
      return group == 0 ? weight : weight * groupWeight;
    }

    void refill(long now) {
      tokens = Math.min(bucketDepth, tokens + rate * (now - filledAt));
      filledAt = now;
    }

    /** Ages the record of an idle volume by the periods that it missed. */
    void decayRecord(long periods) {
      record *= periods > decayedPeriods ? Math.pow(RECORD_DECAY, periods - decayedPeriods) : 1;
      decayedPeriods = Math.max(decayedPeriods, periods);
    }

    /** Whether a new volume of the same weight would be treated no differently: the bucket is full, and less
     * than one unit is lent or owed. */
    boolean isLikeNew(long now, long periods) {
      refill(now);
      decayRecord(periods);
      return tokens >= bucketDepth && Math.abs(record) < 1;
    }

    /** Time at which the bucket holds, or held, this many units. */
    double tokensAvailableAt(double units) {
      double missing = Math.min(units, bucketDepth) - tokens;
      return rate > 0 ? filledAt + missing / rate : missing <= 0 ? filledAt : Double.MAX_VALUE;
    }
  }

  /** A storage node as this host sees it: its window, latency and health, and the budget while it is cold. */
  final class Node {
    final long id;
    final String zone;
    final int cell;
    final Map<Long, VolumeQueue> volumes = new LinkedHashMap<>();
    /** Volumes with queued requests, and volumes with requests in this period: costs depend on these, not on
     * all volumes ever seen. */
    final Set<VolumeQueue> volumesWithQueuedRequests = new LinkedHashSet<>(),
        activeVolumes = new LinkedHashSet<>();
    long periodCount;
    NodeState state = NodeState.GONE;
    /** Start time as this host assumes it, and as last listed; the first may be later. */
    long startedAt, listedStartedAt;
    double window = INITIAL_WINDOW;
    /** What this host may send while the node is cold: half of the safe units at once, half over the window
     * of the rule. */
    TokenBucket coldBudget;
    double latencyEstimate = baselineLatency, meanRequestGap = MAX_DECAY_US;
    /** Expected latency at the start of the present selection, the same for all its candidates. */
    double selectionLatency;
    boolean unresponsive;
    int countedInFlight, queued, connectFailures;
    long narrowedAt, lastAnsweredSentAt, estimatedAt, lastSampleAt, lastRequestAt;
    /** Requests with an attempt in flight to this node, oldest first. */
    final LinkedHashSet<PendingRequest> inFlight = new LinkedHashSet<>();

    Node(NodeEntry entry) {
      id = entry.node();
      zone = entry.zone();
      cell = entry.cell();
    }

    /** Resets what was learned: the performance of the previous process says nothing about the new one. */
    void resetForRestart(long startedAtUs) {
      startedAt = startedAtUs;
      double half = settings.store().coldUnits() / 2;
      coldBudget = new TokenBucket(half * 1e6 / Math.max(1, settings.rules().fallUs()), half, 0, now);
      window = INITIAL_WINDOW;
      latencyEstimate = baselineLatency;
      connectFailures = 0;
    }

    boolean isCold() {
      return startedAt > 0 && now < startedAt + settings.rules().coldUs();
    }

    /** While the node is cold, admits only first attempts that are still in time, and of these the fraction
     * that the rules grant of its capacity at its age when the request arrived (rule 4). A random draw for
     * each request decides, so that hosts need not agree and a restart gains nothing; the budget keeps a host
     * alone within what is always safe. */
    boolean admits(PendingRequest pending) {
      if (!isCold()) {
        return true;
      }
      Rules rules = settings.rules();
      double age = Math.max(0, Math.min(1, (double) (pending.arrivedAt - startedAt) / rules.coldUs()));
      return pending.attempts == 0 && pending.coldDraw < rules.coldFrom() + (1 - rules.coldFrom()) * age
          && !isLate(this, pending)
          && (settings.store().coldUnits() <= 0 || coldBudget.hasTokens(pending.request.units(), now));
    }

    /** Tokens per second: the requests of the window, in mean units, divided by the expected latency. */
    double tokensPerSecond() {
      return window * settings.store().meanUnits() / expectedLatency() * 1e6;
    }

    /** Latency of a request sent now: the last estimate, decayed toward the baseline, or the time that an
     * attempt has been in flight, if longer, while nothing sent later was answered. */
    double expectedLatency() {
      double decayed = baselineLatency + (latencyEstimate - baselineLatency)
          * Math.exp((double) (estimatedAt - now) / decayUs());
      for (PendingRequest pending : inFlight) {
        if (pending.sentAt > lastAnsweredSentAt && !pending.overdue) {
          return Math.max(decayed, now - pending.sentAt);
        }
      }
      return decayed;
    }

    double decayUs() {
      return Math.max(MIN_DECAY_US, Math.min(MAX_DECAY_US, DECAY_GAPS * meanRequestGap));
    }

    /** Weighs a sample the more, the older the previous one is: for a host that sends once in seconds it
     * nearly replaces the estimate. */
    void recordLatency(double sample) {
      double decayed = expectedLatency();
      latencyEstimate = decayed
          + Math.max(MIN_LATENCY_GAIN, 1 - Math.exp((double) (lastSampleAt - now) / decayUs())) * (sample
              - decayed);
      estimatedAt = now;
      lastSampleAt = now;
    }

    /** Raises the estimate when there was no answer, no connection or a full queue: the wait is long, and the
     * next answer tells how long. */
    void assumeLatency(double latency) {
      latencyEstimate = Math.max(expectedLatency(), latency);
      estimatedAt = now;
      lastSampleAt = now - IDLE_EXPIRY_US;
      narrowWindow(0.5);
    }

    void recordNoAnswer() {
      unresponsive = true;
      assumeLatency(baselineLatency + (1 - lostAnswerRatio)
          * (LATENCY_CAP_AIMS * shortestAimUs - baselineLatency));
    }

    /** Learns from what followed a missing answer, on any node, whether missing answers indicate long queues
     * and dead nodes, or merely lost answers, which hold nothing back. Drawback: a dead node is tried more
     * often. */
    void endSilence(boolean answerLost) {
      unresponsive = false;
      lostAnswerRatio += LOST_ANSWER_GAIN * ((answerLost ? 1 : 0) - lostAnswerRatio);
    }

    /** Records an answer. After refused connections the node may have restarted after a crash before the list
     * tells so, and counts as restarted. Drawback: a node that was merely out of connections gets less. */
    void recordAnswer(double latencyUs) {
      if (unresponsive) {
        endSilence(latencyUs < shortestAimUs / 2);
      }
      recordLatency(Math.min(latencyUs, LATENCY_CAP_AIMS * shortestAimUs));
      baselineLatency *= latencyUs < baselineLatency ? BASELINE_DECREASE : BASELINE_INCREASE;
      if (connectFailures >= DOWN_AFTER_FAILURES) {
        resetForRestart(now);
      }
      connectFailures = 0;
      double reference = Math.max(baselineLatency, LATENCY_NOISE * shortestAimUs);
      if (latencyEstimate < WIDEN_BELOW * reference) {
        boolean full = countedInFlight + 1 >= (latencyEstimate < LATENCY_NOISE * shortestAimUs
            ? (int) window
            : window);
        window = Math.min(MAX_WINDOW, full ? window + 1 / window : window);
      } else if (latencyEstimate > NARROW_ABOVE * reference) {
        narrowWindow(NARROW_FACTOR);
      }
    }

    void narrowWindow(double factor) {
      if (now - narrowedAt >= latencyEstimate) {
        window = Math.max(1, window * factor);
        narrowedAt = now;
      }
    }

    /** Stops counting attempts that are far overdue against the window. Lost answers and giant requests would
     * otherwise fill the window of a working node; where nothing sent later was answered, the node may hang,
     * and the estimate is raised. Drawback: a node that serves the last request first gets more than its
     * window, up to the maximum. */
    void excludeOverdue() {
      for (PendingRequest pending : inFlight) {
        if (now - pending.sentAt < LATENCY_CAP_AIMS * shortestAimUs) {
          return;
        }
        if (!pending.overdue) {
          pending.overdue = true;
          countedInFlight--;
          if (pending.sentAt > lastAnsweredSentAt) {
            recordNoAnswer();
          } else {
            endSilence(true);
          }
        }
      }
    }

    VolumeQueue volumeQueue(PendingRequest pending) {
      VolumeQueue volume = volumes.get(pending.request.volume());
      if (volume == null) {
        volume = new VolumeQueue(pending.plan.weight(), BUCKET_DEPTH_REQUESTS * settings.store().meanUnits(),
            now);
        volumes.put(pending.request.volume(), volume);
        VolumeChanged terms = volumeTerms.get(pending.request.volume());
        if (terms != null) {
          volume.setWeights(terms.plan().weight(), terms.group(), terms.groupWeight());
        }
      }
      return volume;
    }

    /** Scales a volume's record (equation 8). Records are mutual claims, so the volumes with a record of the
     * other sign take the difference in proportion. Drawback: a volume that had lent loses its claim. */
    void rescaleRecord(VolumeQueue volume, double factor) {
      volume.decayRecord(periodCount);
      double record = volume.record * factor;
      double difference = record - volume.record;
      boolean borrower = volume.record < 0;
      double counterpartSum = 0;
      for (VolumeQueue other : volumes.values()) {
        other.decayRecord(periodCount);
        counterpartSum += other != volume && other.record < 0 != borrower ? Math.abs(other.record) : 0;
      }
      double correction = counterpartSum > 0 ? Math.max(-1, -Math.abs(difference) / counterpartSum) : 0;
      correction = Math.abs(record) > Math.abs(volume.record) ? -correction : correction;
      for (VolumeQueue other : volumes.values()) {
        other.record += other != volume && other.record < 0 != borrower ? other.record * correction : 0;
      }
      volume.record = record;
    }

    void enqueue(PendingRequest pending) {
      pending.volumeQueue = volumeQueue(pending);
      pending.queueKey = new QueueKey(pending.requestClass.name(), pending.request.units(),
          pending.attempts > 0, pending.charged);
      pending.volumeQueue.queues.computeIfAbsent(pending.queueKey, k -> new TreeMap<>(BY_AIM))
          .put(pending.aimKey, pending);
      volumesWithQueuedRequests.add(pending.volumeQueue);
      pending.node = this;
      if (queued++ == 0) {
        nodesWithQueuedRequests.put(id, this);
      }
    }

    void dequeue(PendingRequest pending) {
      TreeMap<AimKey, PendingRequest> queue = pending.volumeQueue.queues.get(pending.queueKey);
      if (queue != null && queue.remove(pending.aimKey) != null) {
        if (--queued == 0) {
          nodesWithQueuedRequests.remove(id);
        }
        if (queue.isEmpty()) {
          pending.volumeQueue.queues.remove(pending.queueKey);
        }
        if (pending.volumeQueue.queues.isEmpty()) {
          volumesWithQueuedRequests.remove(pending.volumeQueue);
        }
      }
    }

    /** Allocates one period: the three steps of the paper, then the rates of the buckets. */
    void allocateTokens() {
      excludeOverdue();
      activeVolumes.addAll(volumesWithQueuedRequests);
      List<VolumeQueue> active = List.copyOf(activeVolumes);
      activeVolumes.clear();
      for (VolumeQueue volume : active) {
        volume.refill(now);
        volume.decayRecord(periodCount);
        volume.decayedPeriods++;
      }
      periodCount++;
      if (active.isEmpty()) {
        return;
      }
      initialAllocation(active, tokensPerSecond() * ALLOCATION_PERIOD_US / 1e6);
      redistribution(active);
      recompensation(active);
      for (VolumeQueue volume : active) {
        volume.lastAllocation = volume.allocation;
        volume.allocatedBefore = true;
        volume.rate = volume.allocation / ALLOCATION_PERIOD_US;
        volume.requestedUnits = 0;
      }
    }
  }

  /** Equations 1 and 2: divides the period's tokens by weight, over groups and then over the active volumes
   * of each, so that what an idle volume leaves goes to its group. Demand is what was requested in the
   * period. */
  static void initialAllocation(List<VolumeQueue> active, double tokens) {
    double weightSum = 0;
    Map<Long, Double> weightByGroup = new HashMap<>();
    for (VolumeQueue volume : active) {
      weightSum += volume.group == 0 || !weightByGroup.containsKey(volume.group) ? volume.groupWeight : 0;
      weightByGroup.merge(volume.group, volume.weight, Double::sum);
    }
    for (VolumeQueue volume : active) {
      double groupShare = volume.group == 0 ? 1 : volume.weight / weightByGroup.get(volume.group);
      volume.tokenShare = weightSum > 0 ? volume.groupWeight * groupShare / weightSum : 1.0 / active.size();
      volume.allocation = tokens * volume.tokenShare;
      volume.demand = volume.requestedUnits;
    }
  }

  /** Equations 3 to 8: pools the surplus tokens, shares them by distribution factor and updates records. */
  static void redistribution(List<VolumeQueue> active) {
    double pool = 0, factorSum = 0;
    for (VolumeQueue volume : active) {
      volume.utilisation = !volume.allocatedBefore
          ? 1
          : volume.lastAllocation > 0
              ? volume.demand / volume.lastAllocation
              : Math.max(1, volume.demand);
      volume.lent = Math.max(0, volume.allocation - volume.demand);
      volume.distributionFactor = volume.utilisation > 1
          ? volume.utilisation + volume.utilisation * volume.tokenShare
          : volume.utilisation * volume.tokenShare;
      pool += volume.lent;
      factorSum += volume.distributionFactor;
    }
    for (VolumeQueue volume : active) {
      double received = factorSum > 0 ? volume.distributionFactor / factorSum * pool : volume.lent;
      volume.allocation += received - volume.lent;
      volume.lent -= received;
      volume.record += volume.lent;
    }
  }

  /** Equations 9 to 20: borrowers return tokens to lenders, at most what they owed before this period's
   * redistribution. */
  static void recompensation(List<VolumeQueue> active) {
    double reclaimFactor = 0, factorSum = 0;
    for (VolumeQueue volume : active) {
      if (isLender(volume)) {
        double futureUtilisation = volume.allocation > 0 ? volume.demand / volume.allocation : 1;
        reclaimFactor += volume.tokenShare * (Math.max(1, volume.utilisation) + Math.max(0, 1
            - futureUtilisation)) / 2;
        factorSum += volume.distributionFactor;
      }
    }
    if (factorSum <= 0) {
      return;
    }
    double pool = 0;
    for (VolumeQueue volume : active) {
      double recordBefore = volume.record - volume.lent;
      if (recordBefore < 0 && volume.record < 0) {
        double reclaimed = Math.min(volume.allocation,
            Math.min(-recordBefore, Math.floor(reclaimFactor * volume.allocation)));
        volume.allocation -= reclaimed;
        volume.record += reclaimed;
        pool += reclaimed;
      }
    }
    for (VolumeQueue volume : active) {
      if (isLender(volume)) {
        double received = volume.distributionFactor / factorSum * pool;
        volume.allocation += received;
        volume.lent -= received;
        volume.record -= received;
      }
    }
  }

  private static boolean isLender(VolumeQueue volume) {
    return volume.record > 0 && volume.record - volume.lent > 0;
  }

  @Override
  public void handle(long time, Event event, Consumer<Action> actions) {
    Objects.requireNonNull(event, "event");
    actionSink = Objects.requireNonNull(actions, "actions");
    now = time;
    if (firstEventAt == Long.MIN_VALUE) {
      firstEventAt = now;
      periodEnd = now + ALLOCATION_PERIOD_US;
      if (settings.listOnRequest()) {
        actionSink.accept(new WatchNodes());
      }
    }
    if (event instanceof NodeList list) {
      updateNodes(list);
    } else if (event instanceof NodeListFailed) {
      listRetryAt = now + NODE_LIST_RETRY_US;
    } else if (event instanceof Request request) {
      acceptRequest(request);
    } else if (event instanceof AttemptEnded ended) {
      attemptEnded(ended);
    } else if (event instanceof RequestAbandoned abandoned && pendingRequests.containsKey(abandoned
        .request())) {
      finish(pendingRequests.get(abandoned.request()));
    } else if (event instanceof DeadlineShortened shortened && pendingRequests.containsKey(shortened
        .request())) {
      shortenDeadline(pendingRequests.get(shortened.request()), shortened.answerBy());
    } else if (event instanceof ResponseStarted started && pendingRequests.containsKey(started.request())) {
      pendingRequests.get(started.request()).streaming = true;
    } else if (event instanceof VolumeChanged changed) {
      applyVolumeChange(changed);
    } else if (event instanceof VolumeRemoved removed) {
      removedVolumes.add(removed.volume());
      forgetVolume(removed.volume());
    } else if (event instanceof Stopping stop) {
      stopping = true;
      List.copyOf(byAnswerTime).forEach(pending -> shortenDeadline(pending, stop.answerBy()));
    } else if (event instanceof TimerFired && now >= timerAt) {
      timerAt = Long.MAX_VALUE;
    }
    runDueWork();
  }

  /** Moves the deadline of a request that is still open to this time, if that is earlier. */
  private void shortenDeadline(PendingRequest pending, long answerBy) {
    if (byAnswerTime.remove(pending)) {
      pending.deadline = Math.min(pending.deadline, answerBy);
      pending.answerBy = Math.min(pending.answerBy, answerBy);
      byAnswerTime.add(pending);
    }
  }

  /** Changes the terms of a volume, also for its queued requests. A limit that the volume did not have before
   * starts empty. Records (section III, equation 8) are rescaled with the weight: a volume owes the same
   * number of periods of its share as before, not the same tokens, which a smaller share might not repay. */
  private void applyVolumeChange(VolumeChanged change) {
    volumeTerms.put(change.volume(), change);
    removedVolumes.remove(change.volume());
    Plan plan = change.plan();
    maxValue = Math.max(maxValue, maxWorth * plan.price());
    double rate = plan.limit() / change.hosts(), depth = plan.limitBurst() / change.hosts();
    limits.compute(change.volume(), (k, limit) -> plan.limit() <= 0
        ? null
        : limit == null ? new TokenBucket(rate, depth, 0, now) : limit.reconfigure(rate, depth, now));
    reserves.computeIfPresent(change.volume(),
        (k, reserve) -> reserve.reconfigure(plan.reserve() / change.hosts(),
            reserveDepth(plan, change.hosts()), now));
    for (PendingRequest pending : pendingRequests.values()) {
      if (pending.request.volume() == change.volume()) {
        pending.plan = plan;
        pending.limit = limits.get(change.volume());
      }
    }
    for (Node node : nodes.values()) {
      VolumeQueue volume = node.volumes.get(change.volume());
      if (volume != null) {
        double before = volume.nominalWeight();
        volume.setWeights(plan.weight(), change.group(), change.groupWeight());
        node.rescaleRecord(volume, before > 0 ? volume.nominalWeight() / before : 1);
      }
    }
  }

  /** Drops the state of a removed volume and settles its loans, once none of its requests is left. */
  private void forgetVolume(long volume) {
    if (pendingRequests.values().stream().anyMatch(pending -> pending.request.volume() == volume)) {
      return;
    }
    removedVolumes.remove(volume);
    volumeTerms.remove(volume);
    limits.remove(volume);
    reserves.remove(volume);
    for (Node node : nodes.values()) {
      VolumeQueue queue = node.volumes.get(volume);
      if (queue != null) {
        node.rescaleRecord(queue, 0);
        node.activeVolumes.remove(node.volumes.remove(volume));
      }
    }
  }

  private double reserveDepth(Plan plan, int hosts) {
    return plan.reserve() / hosts + settings.store().maxUnits();
  }

  /** Ends every event: gives the answers that are due, ends the period, dispatches, and sets the timer for
   * the earliest of what comes next. */
  private void runDueWork() {
    while (!byAnswerTime.isEmpty() && byAnswerTime.first().answerBy - settings.tickUs() <= now) {
      PendingRequest pending = byAnswerTime.pollFirst();
      if (!pending.streaming) {
        endUnserved(pending);
      }
    }
    if (now >= listRetryAt) {
      listRetryAt = Long.MAX_VALUE;
      actionSink.accept(new WatchNodes());
    }
    if (now >= periodEnd) {
      nodes.values().forEach(Node::allocateTokens);
      periodEnd = now + ALLOCATION_PERIOD_US;
      expireIdleVolumes();
    }
    recheckNeeded = false;
    List.copyOf(nodesWithQueuedRequests.values()).forEach(this::dispatch);
    armTimer();
  }

  /** Number of volumes that are known, those at several nodes counted at each, and of keys that order
   * requests. */
  public int knownNames() {
    return nodes.values().stream().mapToInt(node -> node.volumes.size()).sum() + limits.size()
        + reserves.size() + keyQueues.size();
  }

  /** Forgets volumes and keys without requests, since new ones keep coming; a full bucket is as good as a new
   * one. */
  private void expireIdleVolumes() {
    boolean tooMany = idleVolumes.areTooMany(nodes.values()) || idleVolumes.areTooMany(limits) || idleVolumes
        .areTooMany(reserves);
    if (now >= nextSweepAt || tooMany) {
      nextSweepAt = now + IDLE_EXPIRY_US / 4;
      Set<Long> busy = new HashSet<>();
      pendingRequests.values().forEach(pending -> busy.add(pending.request.volume()));
      idleVolumes.forgetFull(limits, busy, now);
      idleVolumes.forgetFull(reserves, busy, now);
      idleVolumes.forgetFirst(reserves, busy);
      nodes.values()
          .forEach(node -> node.volumes.values()
              .removeIf(volume -> volume.queues.isEmpty() && now - volume.lastRequestAt > IDLE_EXPIRY_US));
      idleVolumes.forgetAt(nodes.values(), now);
      keyQueues.values().removeIf(queue -> queue.requests.isEmpty() && queue.quietUntil <= now);
    }
  }

  private void armTimer() {
    long at = Math.min(periodEnd, listRetryAt);
    if (!byAnswerTime.isEmpty()) {
      at = Math.min(at, byAnswerTime.first().answerBy - settings.tickUs());
    }
    at = Math.max(recheckNeeded ? Math.min(at, now + BLOCKED_POLL_US) : at, now + 1);
    if (at < timerAt) {
      timerAt = at;
      actionSink.accept(new SetTimer(at, at));
    }
  }

  private void updateNodes(NodeList list) {
    Map<Long, NodeEntry> listed = new HashMap<>();
    for (NodeEntry entry : list.nodes()) {
      listed.put(entry.node(), entry);
      Node node = nodes.computeIfAbsent(entry.node(), k -> new Node(entry));
      if (entry.startedAtUs() > 0 && entry.startedAtUs() != node.listedStartedAt) {
        node.resetForRestart(entry.startedAtUs());
      }
      node.listedStartedAt = entry.startedAtUs();
      node.state = entry.state();
    }
    for (Node node : nodes.values()) {
      if (list.complete() && !listed.containsKey(node.id)) {
        node.state = NodeState.GONE;
      }
      if (node.state != NodeState.ON && node.queued > 0) {
        List<PendingRequest> moved = new ArrayList<>();
        node.volumes.values()
            .forEach(volume -> volume.queues.values()
                .forEach(queue -> moved.addAll(queue.values())));
        moved.forEach(node::dequeue);
        moved.forEach(pending -> unplaced.put(pending.sequence, pending));
      }
    }
    nodes.values().removeIf(node -> node.state == NodeState.GONE && node.inFlight.isEmpty());
    List<PendingRequest> waiting = new ArrayList<>(unplaced.values());
    unplaced.clear();
    waiting.forEach(this::assignNode);
  }

  private void acceptRequest(Request request) {
    retryBudget.requestsAccepted(request.clientRetry() ? 0 : 1);
    RequestClass requestClass = classes.get(request.className());
    VolumeChanged ownTerms = volumeTerms.get(request.volume());
    Plan plan = ownTerms != null ? ownTerms.plan() : plans.get(request.plan());
    boolean limitKnown = plan == null || plan.limit() <= 0 || limits.containsKey(request.volume())
        || idleVolumes.hasRoom(limits.size());
    if (requestClass == null || plan == null || request.remainingUs() <= 0 || !limitKnown) {
      actionSink.accept(new Refuse(request.id(), 0));
      return;
    }
    int hosts = ownTerms != null
        ? ownTerms.hosts()
        : request.hosts() > 0 ? request.hosts() : settings.hosts();
    TokenBucket limit = plan.limit() <= 0
        ? null
        : limits.computeIfAbsent(request.volume(),
            k -> new TokenBucket(plan.limit() / hosts, plan.limitBurst() / hosts, 0, firstEventAt));
    double depth = reserveDepth(plan, hosts);
    TokenBucket reserve = reserves.computeIfAbsent(request.volume(),
        k -> new TokenBucket(plan.reserve() / hosts, depth, depth, now));
    long maxRemaining = maxRemainingUs.merge(request.className(), request.remainingUs(), Math::max);
    PendingRequest pending = new PendingRequest(request, requestClass, maxRemaining, plan, nextSequence++,
        now, random.nextDouble(), limit, reserve);
    // Clients open no new connections to a process that is stopping. A request that cannot be sent soon is
    // ended early to free its client's connection; otherwise all clients stay away until the process is gone.
    // Drawback: refuses requests that might have been sent within their aim.
    pending.answerBy = stopping ? Math.min(pending.answerBy, now + (long) baselineLatency) : pending.answerBy;
    pendingRequests.put(request.id(), pending);
    byAnswerTime.add(pending);
    if (pending.requestClass.inOrder() && request.key() != null) {
      pending.keyQueue = keyQueues.computeIfAbsent(request.key(), k -> new KeyQueue());
      pending.keyQueue.requests.add(pending);
    }
    assignNode(pending);
    if (pending.node != null) {
      VolumeQueue volume = pending.volumeQueue;
      volume.requestedUnits += request.units();
      pending.node.activeVolumes.add(volume);
      pending.node.meanRequestGap += MIN_LATENCY_GAIN
          * (Math.min(MAX_DECAY_US, now - pending.node.lastRequestAt) - pending.node.meanRequestGap);
      pending.node.lastRequestAt = now;
      volume.lastRequestAt = now;
    }
  }

  /** Queues a request at its node: the one with its data, or for a new object the one of lowest cost. */
  private void assignNode(PendingRequest pending) {
    Node best = null;
    double lowestCost = Double.MAX_VALUE;
    for (Node node : nodes.values()) {
      if (node.state == NodeState.ON
          && (pending.request.shard() < 0 || node.cell == pending.request.shard())
          && pending.mayAttemptOn(node, now)) {
        double cost = placementCost(node);
        if (cost < lowestCost) {
          lowestCost = cost;
          best = node;
        }
      }
    }
    if (best == null) {
      pending.node = null;
      unplaced.put(pending.sequence, pending);
    } else {
      best.enqueue(pending);
    }
  }

  /** Expected time to serve one more request, in microseconds; cold nodes come last. Chance keeps the hosts
   * from all choosing one node. */
  private double placementCost(Node node) {
    double time = (node.countedInFlight + node.queued + 1) * node.expectedLatency() / node.window;
    return (node.isCold() ? time + 1e8 : time) * (1 + random.nextDouble());
  }

  /** Sends while the window has room and the most valuable request is worth the wait. */
  private void dispatch(Node node) {
    while (node.state == NodeState.ON && node.queued > 0 && node.countedInFlight < (int) node.window
        && node.inFlight.size() < MAX_WINDOW) {
      PendingRequest pending = selectNext(node);
      if (pending == null || !isWorthSending(node, pending)) {
        recheckNeeded |= pending != null;
        return;
      }
      send(node, pending);
    }
  }

  private PendingRequest selectNext(Node node) {
    PendingRequest best = null;
    VolumeQueue bestVolume = null;
    double bestValue = 0;
    node.selectionLatency = node.expectedLatency();
    for (VolumeQueue volume : node.volumesWithQueuedRequests) {
      volume.refill(now);
      for (Map.Entry<QueueKey, TreeMap<AimKey, PendingRequest>> entry : volume.queues.entrySet()) {
        PendingRequest pending = firstSendable(node, entry.getKey(), entry.getValue());
        double value = pending == null ? 0 : valuePerUnit(node, pending);
        recheckNeeded |= pending == null;
        if (pending != null && (best == null || value > bestValue || value == bestValue
            && precedes(volume, pending, bestVolume, best))) {
          best = pending;
          bestVolume = volume;
          bestValue = value;
        }
      }
    }
    return best;
  }

  /** Returns the first of equivalent requests, by aim, that may be sent; those still in time come first if
   * they are worth more. */
  private PendingRequest firstSendable(Node node, QueueKey key, TreeMap<AimKey, PendingRequest> queue) {
    PendingRequest first = queue.firstEntry().getValue();
    if (key.retry && !retryBudget.allowsRetry() || first.limit != null && !key.charged
        && !first.limit.hasTokens(key.units, now)) {
      return null;
    }
    long onTimeFrom = first.requestClass.lateWorth() < 1
        ? now + (long) (node.selectionLatency + sizeLatency(first))
        : Long.MIN_VALUE;
    if (first.aimAt >= onTimeFrom && isSendable(node, first)) {
      return first;
    }
    AimKey from = new AimKey(onTimeFrom, Long.MIN_VALUE);
    PendingRequest pending = firstSendable(node, queue.tailMap(from));
    return pending != null ? pending : firstSendable(node, queue.headMap(from));
  }

  private PendingRequest firstSendable(Node node, Map<AimKey, PendingRequest> queue) {
    for (PendingRequest pending : queue.values()) {
      if (isSendable(node, pending)) {
        return pending;
      }
    }
    return null;
  }

  /** Order among requests of equal value per unit: those whose volume has the tokens come first, by the time
   * since which it has them; the others by weight; within a volume by aim; then by arrival. */
  private boolean precedes(VolumeQueue volumeA, PendingRequest pendingA, VolumeQueue volumeB,
      PendingRequest pendingB) {
    if (volumeA == volumeB) {
      return pendingA.aimAt != pendingB.aimAt
          ? pendingA.aimAt < pendingB.aimAt
          : pendingA.sequence < pendingB.sequence;
    }
    double availableA = volumeA.tokensAvailableAt(pendingA.request.units()),
        availableB = volumeB.tokensAvailableAt(pendingB.request.units());
    if (availableA <= now != availableB <= now) {
      return availableA <= now;
    }
    if (availableA > now && volumeA.groupWeight != volumeB.groupWeight) {
      return volumeA.groupWeight > volumeB.groupWeight;
    }
    return availableA != availableB ? availableA < availableB : pendingA.sequence < pendingB.sequence;
  }

  /** Whether the answer can no longer arrive within the aim. */
  private boolean isLate(Node node, PendingRequest pending) {
    return pending.aimAt < now + (long) (node.selectionLatency + sizeLatency(pending));
  }

  /** Latency of a request beyond that of one of mean size: a large request that takes longer does not
   * indicate a queue. */
  private double sizeLatency(PendingRequest pending) {
    return baselineLatency * (pending.request.units() / settings.store().meanUnits() - 1);
  }

  /** Value of one unit of a request if it is sent now, relative to the highest possible value. */
  private double valuePerUnit(Node node, PendingRequest pending) {
    double reserved = pending.charged || pending.reserve.hasTokens(pending.request.units(), now)
        ? 1
        : settings.store().shareWorth();
    return pending.requestClass.worth() * pending.plan.price() / maxValue * reserved
        * (isLate(node, pending) ? pending.requestClass.lateWorth() : 1);
  }

  /** Whether a request is worth queueing at the node, whose queue hosts share without seeing each other. The
   * longer the wait, the more a unit must be worth, up to the shortest aim; a request whose client cannot
   * wait so long is never sent. */
  private boolean isWorthSending(Node node, PendingRequest pending) {
    double wait = node.expectedLatency();
    return wait <= baselineLatency + valuePerUnit(node, pending)
        * Math.max(0, shortestAimUs - baselineLatency) && now + wait < pending.deadline;
  }

  /** Whether the order of its key, the rules on retries and a cold node allow this request to be sent now. */
  private boolean isSendable(Node node, PendingRequest pending) {
    boolean firstOfKey = pending.keyQueue == null || pending.keyQueue.requests.peek() == pending
        && (pending.attempts > 0 || now >= pending.keyQueue.quietUntil);
    return firstOfKey && now >= pending.notBefore && pending.mayAttemptOn(node, now) && node.admits(pending);
  }

  private void send(Node node, PendingRequest pending) {
    node.dequeue(pending);
    byAnswerTime.remove(pending);
    pending.answerBy = pending.deadline;
    byAnswerTime.add(pending);
    VolumeQueue volume = pending.volumeQueue;
    volume.refill(now);
    volume.tokens -= pending.request.units();
    retryBudget.retriesMade(pending.attempts > 0 ? 1 : 0);
    if (pending.limit != null && !pending.charged) {
      pending.limit.add(-pending.request.units());
    }
    if (!pending.charged && pending.reserve.hasTokens(pending.request.units(), now)) {
      pending.reserve.add(-pending.request.units());
    }
    pending.charged = true;
    if (pending.possibleRunNode == null) {
      pending.possibleRunNode = node;
      pending.possibleRunAt = now;
    }
    pending.attempts++;
    pending.inFlightAttempts++;
    pending.sentAt = now;
    pending.overdue = false;
    node.countedInFlight++;
    node.inFlight.add(pending);
    if (node.isCold()) {
      node.coldBudget.add(-pending.request.units());
    }
    double latency = node.selectionLatency + Math.max(0, sizeLatency(pending)),
        lateTimeout = pending.aimAt + LATE_TIMEOUT_AIMS * pending.requestClass.aimUs();
    double retryTimeout = Math.max(pending.aimAt - RETRY_RESERVE_LATENCIES * latency,
        now + MIN_TIMEOUT_LATENCIES * latency);
    long timeoutAt = (long) (pending.attempts > 1 || !retryBudget.allowsRetry()
        ? lateTimeout
        : Math.min(lateTimeout, retryTimeout));
    // Opening a connection takes time: a keyed retry starts within the deduplication window or not at all.
    long startBy = pending.attempts > 1 && pending.requestClass.effect() == Effect.KEYED
        ? pending.possibleRunAt + pending.requestClass.dedupWindowUs() - DEDUP_WINDOW_MARGIN_US
        : Long.MAX_VALUE;
    actionSink.accept(new Send(pending.request.id(), node.id, now < pending.aimAt
        && pending.mayAttemptOn(node, timeoutAt) ? timeoutAt : 0, startBy));
  }

  private void attemptEnded(AttemptEnded ended) {
    PendingRequest pending = pendingRequests.get(ended.request());
    if (pending == null || pending.inFlightAttempts == 0) {
      return;
    }
    Node node = nodes.get(ended.node());
    pending.inFlightAttempts--;
    if (node != null) {
      node.inFlight.remove(pending);
      node.countedInFlight -= pending.overdue ? 0 : 1;
      node.lastAnsweredSentAt = Math.max(node.lastAnsweredSentAt, ended.result() == Result.OK
          ? pending.sentAt
          : Long.MIN_VALUE);
      updateNodeHealth(node, pending, ended);
    }
    if (!ended.result().provesNotRun()) {
      pending.endedAttemptMayHaveRun = true;
      if (pending.keyQueue != null && ended.result() != Result.OK && ended.result() != Result.ERROR) {
        pending.keyQueue.quietUntil = now + settings.rules().orderSettleUs();
      }
    } else if (!pending.endedAttemptMayHaveRun) {
      pending.possibleRunNode = null;
    }
    if (ended.result() == Result.MOOT && pending.attempts == 1 && pending.limit != null) {
      pending.limit.add(pending.request.units());
      pending.charged = false;
    }
    if (ended.result() == Result.MOOT && pending.attempts > 1) {
      retryBudget.retryNotSent();
    }
    if (pending.done) {
      forgetIfEnded(pending);
    } else if (ended.requestEnded()) {
      finish(pending);
    } else {
      retryOrEnd(pending, ended);
    }
  }

  /** A broken connection, or a single refused one, does not indicate a queue: treated as one, it blocked a
   * node that answers in milliseconds for most of a second. Drawback: one more attempt goes to a process that
   * is gone. */
  private void updateNodeHealth(Node node, PendingRequest pending, AttemptEnded ended) {
    node.connectFailures += ended.result() == Result.CONNECT_FAILED ? 1 : 0;
    if (ended.result() == Result.OK) {
      node.recordAnswer(Math.max(1, ended.latencyUs() - sizeLatency(pending)));
    } else if (ended.result() == Result.FULL || ended.result() == Result.CONNECT_FAILED
        && node.connectFailures >= DOWN_AFTER_FAILURES) {
      node.assumeLatency(LATENCY_CAP_AIMS * shortestAimUs);
    } else if (ended.result() == Result.TIMEOUT && pending.sentAt > node.lastAnsweredSentAt
        && !pending.overdue) {
      node.recordNoAnswer();
    }
  }

  /** Retries where the rules may allow it before the client gives up; otherwise gives the final answer. */
  private void retryOrEnd(PendingRequest pending, AttemptEnded ended) {
    boolean isLast = pending.attempts >= settings.allowed().maxAttempts()
        || now + RETRY_DELAY_US >= pending.deadline;
    if (isLast || pending.possibleRunNode != null && pending.requestClass.effect() == Effect.UNSAFE
        || ended.result() == Result.CANCELLED) {
      endUnserved(pending);
    } else {
      pending.notBefore = ended.result() == Result.TIMEOUT ? now : now + RETRY_DELAY_US;
      assignNode(pending);
    }
  }

  private void endUnserved(PendingRequest pending) {
    boolean advised = settings.allowed().retryAfter() && pending.node != null;
    long retryAfterUs = advised
        ? Math.min(settings.allowed().maxRetryAfterUs(), (long) pending.node.expectedLatency())
        : 0;
    actionSink.accept(pending.mayRefuse()
        ? new Refuse(pending.request.id(), retryAfterUs)
        : new Fail(pending.request.id()));
    finish(pending);
  }

  private void finish(PendingRequest pending) {
    if (pending.done) {
      return;
    }
    pending.done = true;
    byAnswerTime.remove(pending);
    unplaced.remove(pending.sequence);
    if (pending.node != null) {
      pending.node.dequeue(pending);
    }
    forgetIfEnded(pending);
  }

  /** Drops a finished request once its last attempt has ended; the next request with its key may then be
   * sent. */
  private void forgetIfEnded(PendingRequest pending) {
    if (pending.inFlightAttempts > 0) {
      return;
    }
    pendingRequests.remove(pending.request.id());
    if (removedVolumes.contains(pending.request.volume())) {
      forgetVolume(pending.request.volume());
    }
    if (pending.keyQueue != null) {
      pending.keyQueue.requests.remove(pending);
      if (pending.keyQueue.requests.isEmpty() && pending.keyQueue.quietUntil <= now) {
        keyQueues.remove(pending.request.key(), pending.keyQueue);
      }
    }
  }
}
