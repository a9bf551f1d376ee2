package hollyslip;

import java.util.*;
import java.util.function.Consumer;

/** All decisions of one host's scheduler, after AdapTBF (adaptive token borrowing). Its events and actions
 * are the records of {@code HostScheduler.java}, the interface file; read that first.
 *
 * <p>
 * Every request is held in the FIFO of its {@link Volume} at its {@link Node}. Each period a node's token
 * rate is split over the active volumes (initial allocation), unused tokens are lent (redistribution) and
 * reclaimed (re-compensation); held requests leave as the node's window has room, from the volume due
 * soonest. */
public final class Choice implements HostScheduler {
  /** Allocation period, us: the document's 100 ms. */
  static final long PERIOD = 100_000;

  /** Window of a fresh node and its ceiling, requests: a few, and what the design page says. */
  static final double WINDOW_START = 4, WINDOW_MAX = 32;

  /** The window widens while latency stays under the first multiple of the usual one and narrows above the
   * second; between the two it rests, so that noise does not move it. */
  static final double NEAR_USUAL = 1.6, FAR_FROM_USUAL = 2.4;

  /** Part of the shortest aim below which latencies tell of no queue, however they differ, and a window's
   * whole part counts as full: nodes that answer in microseconds jitter by several times and take all a host
   * has. Above it a window that is no whole number rests: hosts share such nodes. Harm: a short queue
   * unseen. */
  static final double NOISE = 0.02;

  /** Part of the window kept by one narrowing, of which there is at most one a latency. */
  static final double NARROW = 0.85;

  /** The latency estimate of a node fades toward the usual one in so many mean gaps between this host's
   * requests for it, in these bounds, us: hosts that make up much of its queue look again soon, one of a
   * hundred now and then, so that together they do not fill it while they look. */
  static final double FADE_ASKS = 6, FADE_LEAST = 250_000, FADE_MOST = 2_000_000;

  /** Moves of the usual latency at a faster and at a slower answer of any node: a quarter come to be
   * faster. */
  static final double USUAL_DOWN = 0.97, USUAL_UP = 1.01;

  /** What silence, a full queue or an answer says at most of a latency, in shortest aims: enough to hold what
   * is due. Guards against a stall of seconds that holds requests back for seconds more, until so large an
   * estimate has faded. Harm: of a longer queue a host forgets sooner. */
  static final double UNSEEN = 2;

  /** What may be repeated is given up this part of its aim after it: nodes that drop it lose what earns
   * little. A first attempt so many expected latencies before it, but after so many: it is lost, a second may
   * come in time. Harm: a late answer is missed, work is done twice. */
  static final double GIVE_UP = 0.5, LEFT = 2, SURELY_LOST = 6;

  /** Weight of one more silence in what they mean; least weight of a new latency in the estimate: about the
   * last ten answers of a node often used. */
  static final double LOST_GAIN = 0.2, LATENCY_GAIN = 0.1;

  /** Latency taken as usual before any answer, us: a disk request. */
  static final double LATENCY_GUESS = 40_000;

  /** Depth of a bucket, in mean requests, as the paper's; part of a quiet record kept each period. */
  static final double BUCKET_DEPTH = 3, RECORD_KEEP = 0.98;

  /** A volume unheard of for this long is forgotten at a node, us: longer than surges last. */
  static final long FORGET = 60_000_000;

  /** Part of its client's time after which a request that was never sent is given up, if its aim's length has
   * not passed before: the rest is the client's, to ask again. Harm: what might have come late does not. */
  static final double HELD = 0.5;

  /** Pauses, us: after an attempt that failed at once, a few service times; until a held request that a guard
   * stops is looked at again; before the list is asked for again, which is load. */
  static final long RETRY_PAUSE = 30_000, POLL = 10_000, LIST_RETRY = 500_000;

  /** Refused connections in a row that tell of a node that is down, rather than out of connections. */
  static final int DOWN_AFTER = 2;

  /** Safety margin on the window of a keyed class, us: more than a message is under way. */
  static final long KEYED_MARGIN = 20_000;

  private final Settings settings;
  private final Map<String, RequestClass> classes = new HashMap<>();
  /** The longest time a client of a class had left at arrival: what is missing from it has passed before. */
  private final Map<String, Long> mostRemaining = new HashMap<>();
  private final Map<String, Plan> plans = new HashMap<>();
  /** All, and those that hold requests: what an event costs must not grow with the fleet. */
  final Map<Long, Node> nodes = new TreeMap<>(), holders = new TreeMap<>();
  private final Map<Long, Pending> pendings = new LinkedHashMap<>();
  private final Map<Long, TokenBucket> limits = new HashMap<>(), reserves = new HashMap<>();
  private final Map<Long, KeyLine> lines = new HashMap<>();
  /** Volumes that stand on plans of their own, and those that go with their last request. */
  private final Map<Long, VolumeChanged> terms = new HashMap<>();
  private final Set<Long> leaving = new HashSet<>();
  private final TreeMap<Long, Pending> unplaced = new TreeMap<>();
  private final TreeSet<Pending> byDeadline = new TreeSet<>(Comparator.<Pending>comparingLong(
      p -> p.answerBy).thenComparingLong(p -> p.seq));
  private final SplittableRandom random;
  private final AttemptBudget budget;
  private final double shortestAim, mostWorth;
  private Consumer<Action> out;
  private double mostValue;
  private double usual = LATENCY_GUESS;
  /** Part of silences, of any node, that only lost an answer: the next one from there came soon. */
  private double lost;
  private long now, seq, periodEnd, sweepAt;
  private long launchedAt = Long.MIN_VALUE, timerAt = Long.MAX_VALUE, listRetryAt = Long.MAX_VALUE;
  private boolean blocked, stopping;

  public Choice(Settings settings) {
    this.settings = Objects.requireNonNull(settings, "settings");
    settings.classes().forEach(c -> classes.put(c.name(), c));
    settings.plans().forEach(p -> plans.put(p.name(), p));
    random = new SplittableRandom(settings.seed());
    budget = new AttemptBudget(settings.rules());
    mostWorth = settings.classes().stream().mapToDouble(RequestClass::worth).max().orElseThrow();
    mostValue = mostWorth * settings.plans().stream().mapToDouble(Plan::price).max().orElseThrow();
    shortestAim = settings.classes().stream().mapToLong(RequestClass::aimUs).min().orElseThrow();
  }

  /** Rule 6: requests of one key, in order of arrival; the first alone may be sent. */
  private static final class KeyLine {
    final ArrayDeque<Pending> queue = new ArrayDeque<>();
    long quietUntil = Long.MIN_VALUE;
  }

  /** Requests of one volume that earn the same and may go by the same limit and budget; in it, by aim. */
  record Sort(String className, double units, boolean again, boolean paid) {}

  record Aim(long at, long seq) {}

  static final Comparator<Aim> BY_AIM = Comparator.comparingLong(Aim::at).thenComparingLong(Aim::seq);

  /** A request until its final answer is given and its last attempt has ended. */
  static final class Pending {
    final Request request;
    final RequestClass rules;
    final long seq;
    final long cameAt, aimAt;
    final Aim aim;
    /** Even over 0 to 1, from the instance's seed. */
    final double chance;
    final TokenBucket reserve;
    TokenBucket limit;
    Plan plan;
    KeyLine line;
    Node node;
    /** Where it is held, or was last. */
    Volume at;
    Sort sort;
    int attempts, out;
    long deadline, notBefore, sentAt, answerBy;
    boolean done, streaming, overdue, paid;

    /** Where and when the first attempt went that is out or may have run; null while nothing may have run. */
    Node doubtNode;
    long doubtAt;
    boolean doubtKept;

    Pending(Request request, RequestClass rules, long most, Plan plan, long seq, long now, double chance,
        TokenBucket limit, TokenBucket reserve) {
      this.request = request;
      this.rules = rules;
      this.plan = plan;
      this.seq = seq;
      this.limit = limit;
      this.reserve = reserve;
      this.chance = chance;
      cameAt = now;
      deadline = now + request.remainingUs();
      answerBy = now + Math.min((long) (HELD * request.remainingUs()), rules.aimUs());
      aimAt = now + rules.aimUs() - (most - request.remainingUs());
      aim = new Aim(aimAt, seq);
    }

    /** Rule 2: whether one more attempt may go to this node now. */
    boolean repeatable(Node to, long now) {
      if (doubtNode == null || rules.effect() == Effect.SAFE) {
        return true;
      }
      if (rules.effect() == Effect.UNSAFE || now > doubtAt + rules.windowUs() - KEYED_MARGIN) {
        return false;
      }
      return switch (rules.group()) {
        case ALL -> true;
        case ZONE -> to.zone.equals(doubtNode.zone);
        case CELL -> to.cell == doubtNode.cell;
      };
    }

    /** Rule 2: whether the client may be told that a new try does no harm. */
    boolean refusable() {
      return doubtNode == null || rules.effect() == Effect.SAFE || rules.effect() == Effect.KEYED && rules
          .group() == Group.ALL;
    }
  }

  /** A volume at a node: what it holds there, its bucket, its demand and its record of lending. */
  static final class Volume {
    final double depth;
    double weight, groupWeight;
    long group;
    /** By what the requests of one sort have in common, then by aim: a choice looks at a few of them. */
    final Map<Sort, TreeMap<Aim, Pending>> held = new LinkedHashMap<>();
    long filledAt, lastAsked, faded;
    boolean known;
    double tokens, rate, asked, record;
    double p, u, d, alpha, lent, df, lastAlpha;

    Volume(double weight, double depth, long now) {
      this.depth = depth;
      share(weight, 0, weight);
      tokens = depth;
      filledAt = now;
    }

    final void share(double own, long of, double ofGroup) {
      weight = own;
      group = of;
      groupWeight = of == 0 ? own : ofGroup;
    }

    /** Part of the tokens that the weights name, against volumes of other groups. */
    double nominal() {
      return group == 0 ? weight : weight * groupWeight;
    }

    void fill(long now) {
      tokens = Math.min(depth, tokens + rate * (now - filledAt));
      filledAt = now;
    }

    /** A quiet volume's record ages out with the periods that it missed. */
    void fade(long periods) {
      record *= periods > faded ? Math.pow(RECORD_KEEP, periods - faded) : 1;
      faded = Math.max(faded, periods);
    }

    /** When the bucket has, or had, enough for so many units. */
    double dueAt(double units) {
      double missing = Math.min(units, depth) - tokens;
      return rate > 0 ? filledAt + missing / rate : missing <= 0 ? filledAt : Double.MAX_VALUE;
    }
  }

  /** A storage node as this host sees it: window, latency, health and the budget while it is cold. */
  final class Node {
    final long id;
    final String zone;
    final int cell;
    final Map<Long, Volume> volumes = new LinkedHashMap<>();
    /** Those that hold requests, and those that asked in this period: what is done costs by these, not by all
     * that were ever seen. */
    final Set<Volume> holding = new LinkedHashSet<>(), asking = new LinkedHashSet<>();
    long periods;
    NodeState state = NodeState.GONE;
    /** When it came up, as this host believes and as the list said last; the first may be later. */
    long born, listedBorn;
    double window = WINDOW_START;
    /** What one host may send while it is cold: half the safe units at once, half over the rule's window. */
    TokenBucket safe;
    double seen = usual, gap = FADE_MOST;
    /** Expected latency as of the present choice: the same for all that is looked at. */
    double wait;
    boolean silent;
    int out, held, refused;
    long narrowedAt, answeredSentAt, seenAt, sampledAt, askedAt;
    /** Requests with an attempt out here, oldest first. */
    final LinkedHashSet<Pending> flight = new LinkedHashSet<>();

    Node(Listed listed) {
      id = listed.node();
      zone = listed.zone();
      cell = listed.cell();
    }

    /** A new start: what the last process could do says nothing of this one. */
    void restart(long bornUs) {
      born = bornUs;
      double half = settings.store().coldUnits() / 2;
      safe = new TokenBucket(half * 1e6 / Math.max(1, settings.rules().fallUs()), half, 0, now);
      window = WINDOW_START;
      seen = usual;
      refused = 0;
    }

    boolean cold() {
      return born > 0 && now < born + settings.rules().coldUs();
    }

    /** Rule 4: of requests first sent and still in time a cold node gets the part that the rules promise of
     * its capacity at the age it had when the request came. Chance decides for each, so hosts need not agree
     * and no restart gains anything; and no host alone passes what is always safe. */
    boolean bears(Pending p) {
      if (!cold()) {
        return true;
      }
      Rules r = settings.rules();
      double age = Math.max(0, Math.min(1, (double) (p.cameAt - born) / r.coldUs()));
      return p.attempts == 0 && p.chance < r.coldFrom() + (1 - r.coldFrom()) * age && !late(this, p)
          && (settings.store().coldUnits() <= 0 || safe.allows(p.request.units(), now));
    }

    /** Tokens a second: the window's requests, in mean units, over the mean latency. */
    double tokenRate() {
      return window * settings.store().meanUnits() / expected() * 1e6;
    }

    /** Latency of a request sent now: what was seen last, fading toward the usual with time, or how long one
     * is out already while nothing sent later was answered. */
    double expected() {
      double faded = usual + (seen - usual) * Math.exp((double) (seenAt - now) / fade());
      for (Pending p : flight) {
        if (p.sentAt > answeredSentAt && !p.overdue) {
          return Math.max(faded, now - p.sentAt);
        }
      }
      return faded;
    }

    double fade() {
      return Math.max(FADE_LEAST, Math.min(FADE_MOST, FADE_ASKS * gap));
    }

    /** A sample counts the more the older the one before: near alone for a host that sends one in seconds. */
    void see(double sample) {
      double faded = expected();
      seen = faded + Math.max(LATENCY_GAIN, 1 - Math.exp((double) (sampledAt - now) / fade())) * (sample
          - faded);
      seenAt = now;
      sampledAt = now;
    }

    /** No answer, no connection or a full queue: the wait is long, how long the next answer tells. */
    void seeNone(double latency) {
      seen = Math.max(expected(), latency);
      seenAt = now;
      sampledAt = now - FORGET;
      narrow(0.5);
    }

    void noAnswer() {
      silent = true;
      seeNone(usual + (1 - lost) * (UNSEEN * shortestAim - usual));
    }

    /** Learns from what followed a silence, on any node, whether silences mean long queues and dead nodes or
     * that answers get lost, which holds nothing back. Harm: a dead node is tried more often. */
    void silenceMeant(boolean onlyLost) {
      silent = false;
      lost += LOST_GAIN * ((onlyLost ? 1 : 0) - lost);
    }

    /** An answer after refused connections: the node may be back from a crash before the list tells of it.
     * Harm: one merely out of connections gets less. */
    void answered(double tookUs) {
      if (silent) {
        silenceMeant(tookUs < shortestAim / 2);
      }
      see(Math.min(tookUs, UNSEEN * shortestAim));
      usual *= tookUs < usual ? USUAL_DOWN : USUAL_UP;
      if (refused >= DOWN_AFTER) {
        restart(now);
      }
      refused = 0;
      double near = Math.max(usual, NOISE * shortestAim);
      if (seen < NEAR_USUAL * near) {
        boolean full = out + 1 >= (seen < NOISE * shortestAim ? (int) window : window);
        window = Math.min(WINDOW_MAX, full ? window + 1 / window : window);
      } else if (seen > FAR_FROM_USUAL * near) {
        narrow(NARROW);
      }
    }

    void narrow(double part) {
      if (now - narrowedAt >= seen) {
        window = Math.max(1, window * part);
        narrowedAt = now;
      }
    }

    /** Takes attempts far overdue out of the window's count. Guards against lost answers and giant requests,
     * which would fill the window of a node that works; where nothing sent later was answered, against one
     * that hangs. Harm: one that serves the last first gets more than its window, up to the ceiling. */
    void writeOff() {
      for (Pending p : flight) {
        if (now - p.sentAt < UNSEEN * shortestAim) {
          return;
        }
        if (!p.overdue) {
          p.overdue = true;
          out--;
          if (p.sentAt > answeredSentAt) {
            noAnswer();
          } else {
            silenceMeant(true);
          }
        }
      }
    }

    Volume volume(Pending p) {
      Volume v = volumes.get(p.request.volume());
      if (v == null) {
        v = new Volume(p.plan.weight(), BUCKET_DEPTH * settings.store().meanUnits(), now);
        volumes.put(p.request.volume(), v);
        VolumeChanged t = terms.get(p.request.volume());
        if (t != null) {
          v.share(t.plan().weight(), t.group(), t.groupWeight());
        }
      }
      return v;
    }

    /** Brings a volume's record (equation 8) to a multiple of itself. Records are claims on each other, so
     * those of the other sign bear the difference in proportion. Harm: who had lent loses the claim. */
    void settle(Volume v, double multiple) {
      v.fade(periods);
      double record = v.record * multiple;
      double difference = record - v.record;
      boolean creditors = v.record < 0;
      double sum = 0;
      for (Volume o : volumes.values()) {
        o.fade(periods);
        sum += o != v && o.record < 0 != creditors ? Math.abs(o.record) : 0;
      }
      double part = sum > 0 ? Math.max(-1, -Math.abs(difference) / sum) : 0;
      part = Math.abs(record) > Math.abs(v.record) ? -part : part;
      for (Volume o : volumes.values()) {
        o.record += o != v && o.record < 0 != creditors ? o.record * part : 0;
      }
      v.record = record;
    }

    void hold(Pending p) {
      p.at = volume(p);
      p.sort = new Sort(p.rules.name(), p.request.units(), p.attempts > 0, p.paid);
      p.at.held.computeIfAbsent(p.sort, k -> new TreeMap<>(BY_AIM)).put(p.aim, p);
      holding.add(p.at);
      p.node = this;
      if (held++ == 0) {
        holders.put(id, this);
      }
    }

    void unhold(Pending p) {
      TreeMap<Aim, Pending> line = p.at.held.get(p.sort);
      if (line != null && line.remove(p.aim) != null) {
        if (--held == 0) {
          holders.remove(id);
        }
        if (line.isEmpty()) {
          p.at.held.remove(p.sort);
        }
        if (p.at.held.isEmpty()) {
          holding.remove(p.at);
        }
      }
    }

    /** One period's allocation: the paper's three steps, then rates for the buckets. */
    void allocate() {
      writeOff();
      asking.addAll(holding);
      List<Volume> active = List.copyOf(asking);
      asking.clear();
      for (Volume v : active) {
        v.fill(now);
        v.fade(periods);
        v.faded++;
      }
      periods++;
      if (active.isEmpty()) {
        return;
      }
      initialAllocation(active, tokenRate() * PERIOD / 1e6);
      redistribution(active);
      recompensation(active);
      for (Volume v : active) {
        v.lastAlpha = v.alpha;
        v.known = true;
        v.rate = v.alpha / PERIOD;
        v.asked = 0;
      }
    }
  }

  /** Equations 1 and 2: the period's tokens by weight, over groups, then within each over its volumes that
   * ask: what a quiet one leaves goes to its group. Demand is what was asked in the period. */
  static void initialAllocation(List<Volume> active, double tokens) {
    double sum = 0;
    Map<Long, Double> within = new HashMap<>();
    for (Volume v : active) {
      sum += v.group == 0 || !within.containsKey(v.group) ? v.groupWeight : 0;
      within.merge(v.group, v.weight, Double::sum);
    }
    for (Volume v : active) {
      double part = v.group == 0 ? 1 : v.weight / within.get(v.group);
      v.p = sum > 0 ? v.groupWeight * part / sum : 1.0 / active.size();
      v.alpha = tokens * v.p;
      v.d = v.asked;
    }
  }

  /** Equations 3 to 8: surplus is pooled and shared by the distribution factor; records follow. */
  static void redistribution(List<Volume> active) {
    double pool = 0, factors = 0;
    for (Volume v : active) {
      v.u = !v.known ? 1 : v.lastAlpha > 0 ? v.d / v.lastAlpha : Math.max(1, v.d);
      v.lent = Math.max(0, v.alpha - v.d);
      v.df = v.u > 1 ? v.u + v.u * v.p : v.u * v.p;
      pool += v.lent;
      factors += v.df;
    }
    for (Volume v : active) {
      double got = factors > 0 ? v.df / factors * pool : v.lent;
      v.alpha += got - v.lent;
      v.lent -= got;
      v.record += v.lent;
    }
  }

  /** Equations 9 to 20: borrowers give back to lenders, at most what they owed before sharing. */
  static void recompensation(List<Volume> active) {
    double c = 0, factors = 0;
    for (Volume v : active) {
      if (lender(v)) {
        double ahead = v.alpha > 0 ? v.d / v.alpha : 1;
        c += v.p * (Math.max(1, v.u) + Math.max(0, 1 - ahead)) / 2;
        factors += v.df;
      }
    }
    if (factors <= 0) {
      return;
    }
    double pool = 0;
    for (Volume v : active) {
      double before = v.record - v.lent;
      if (before < 0 && v.record < 0) {
        double back = Math.min(v.alpha, Math.min(-before, Math.floor(c * v.alpha)));
        v.alpha -= back;
        v.record += back;
        pool += back;
      }
    }
    for (Volume v : active) {
      if (lender(v)) {
        double got = v.df / factors * pool;
        v.alpha += got;
        v.lent -= got;
        v.record -= got;
      }
    }
  }

  private static boolean lender(Volume v) {
    return v.record > 0 && v.record - v.lent > 0;
  }

  @Override
  public void handle(long time, Event event, Consumer<Action> actions) {
    Objects.requireNonNull(event, "event");
    out = Objects.requireNonNull(actions, "actions");
    now = time;
    if (launchedAt == Long.MIN_VALUE) {
      launchedAt = now;
      periodEnd = now + PERIOD;
      if (settings.listOnRequest()) {
        out.accept(new Watch());
      }
    }
    if (event instanceof NodeList list) {
      members(list);
    } else if (event instanceof ListFailed) {
      listRetryAt = now + LIST_RETRY;
    } else if (event instanceof Request request) {
      take(request);
    } else if (event instanceof Outcome outcome) {
      outcome(outcome);
    } else if (event instanceof Departed gone && pendings.containsKey(gone.request())) {
      finish(pendings.get(gone.request()));
    } else if (event instanceof Hastened sooner && pendings.containsKey(sooner.request())) {
      hasten(pendings.get(sooner.request()), sooner.answerBy());
    } else if (event instanceof Started started && pendings.containsKey(started.request())) {
      pendings.get(started.request()).streaming = true;
    } else if (event instanceof VolumeChanged changed) {
      change(changed);
    } else if (event instanceof VolumeRemoved gone) {
      leaving.add(gone.volume());
      purge(gone.volume());
    } else if (event instanceof Stopping end) {
      stopping = true;
      List.copyOf(byDeadline).forEach(p -> hasten(p, end.answerBy()));
    } else if (event instanceof TimerDue && now >= timerAt) {
      timerAt = Long.MAX_VALUE;
    }
    turn();
  }

  /** A request that is still open is answered by then. */
  private void hasten(Pending p, long by) {
    if (byDeadline.remove(p)) {
      p.deadline = Math.min(p.deadline, by);
      p.answerBy = Math.min(p.answerBy, by);
      byDeadline.add(p);
    }
  }

  /** Other terms for a volume; requests that it holds stand on them too. A limit that is new to it starts
   * empty. Records (section III, equation 8) are rescaled with the weight: a volume owes the same number of
   * periods of its part as before, not the same tokens, which a smaller part might never pay. */
  private void change(VolumeChanged c) {
    terms.put(c.volume(), c);
    leaving.remove(c.volume());
    Plan plan = c.plan();
    mostValue = Math.max(mostValue, mostWorth * plan.price());
    double rate = plan.limit() / c.hosts(), depth = plan.limitBurst() / c.hosts();
    limits.compute(c.volume(), (k, limit) -> plan.limit() <= 0
        ? null
        : limit == null ? new TokenBucket(rate, depth, 0, now) : limit.change(rate, depth, now));
    reserves.computeIfPresent(c.volume(), (k, reserve) -> reserve.change(plan.reserve() / c.hosts(),
        reserveDepth(plan, c.hosts()), now));
    for (Pending p : pendings.values()) {
      if (p.request.volume() == c.volume()) {
        p.plan = plan;
        p.limit = limits.get(c.volume());
      }
    }
    for (Node n : nodes.values()) {
      Volume v = n.volumes.get(c.volume());
      if (v != null) {
        double before = v.nominal();
        v.share(plan.weight(), c.group(), c.groupWeight());
        n.settle(v, before > 0 ? v.nominal() / before : 1);
      }
    }
  }

  /** Drops what is known of a volume that was removed, once nothing of it is left; its loans are settled. */
  private void purge(long volume) {
    if (pendings.values().stream().anyMatch(p -> p.request.volume() == volume)) {
      return;
    }
    leaving.remove(volume);
    terms.remove(volume);
    limits.remove(volume);
    reserves.remove(volume);
    for (Node n : nodes.values()) {
      Volume v = n.volumes.get(volume);
      if (v != null) {
        n.settle(v, 0);
        n.asking.remove(n.volumes.remove(volume));
      }
    }
  }

  private double reserveDepth(Plan plan, int hosts) {
    return plan.reserve() / hosts + settings.store().mostUnits();
  }

  /** What every event ends with: answers due, the period, releases, the timer for the earliest need. */
  private void turn() {
    while (!byDeadline.isEmpty() && byDeadline.first().answerBy - settings.tickUs() <= now) {
      Pending p = byDeadline.pollFirst();
      if (!p.streaming) {
        end(p);
      }
    }
    if (now >= listRetryAt) {
      listRetryAt = Long.MAX_VALUE;
      out.accept(new Watch());
    }
    if (now >= periodEnd) {
      nodes.values().forEach(Node::allocate);
      periodEnd = now + PERIOD;
      sweep();
    }
    blocked = false;
    List.copyOf(holders.values()).forEach(this::release);
    arm();
  }

  /** Forgets volumes that hold nothing, as new ones come for ever: a full bucket is as good as a new one. */
  private void sweep() {
    if (now >= sweepAt) {
      sweepAt = now + FORGET / 4;
      Set<Long> busy = new HashSet<>();
      pendings.values().forEach(p -> busy.add(p.request.volume()));
      List.of(limits, reserves)
          .forEach(m -> m.entrySet().removeIf(e -> !busy.contains(e.getKey()) && e.getValue().full(now)));
      nodes.values()
          .forEach(n -> n.volumes.values().removeIf(v -> v.held.isEmpty() && now - v.lastAsked > FORGET));
    }
  }

  private void arm() {
    long at = Math.min(periodEnd, listRetryAt);
    if (!byDeadline.isEmpty()) {
      at = Math.min(at, byDeadline.first().answerBy - settings.tickUs());
    }
    at = Math.max(blocked ? Math.min(at, now + POLL) : at, now + 1);
    if (at < timerAt) {
      timerAt = at;
      out.accept(new SetTimer(at, at));
    }
  }

  private void members(NodeList list) {
    Map<Long, Listed> named = new HashMap<>();
    for (Listed l : list.nodes()) {
      named.put(l.node(), l);
      Node n = nodes.computeIfAbsent(l.node(), k -> new Node(l));
      if (l.bornUs() > 0 && l.bornUs() != n.listedBorn) {
        n.restart(l.bornUs());
      }
      n.listedBorn = l.bornUs();
      n.state = l.state();
    }
    for (Node n : nodes.values()) {
      if (list.whole() && !named.containsKey(n.id)) {
        n.state = NodeState.GONE;
      }
      if (n.state != NodeState.ON && n.held > 0) {
        List<Pending> moved = new ArrayList<>();
        n.volumes.values().forEach(v -> v.held.values().forEach(line -> moved.addAll(line.values())));
        moved.forEach(n::unhold);
        moved.forEach(p -> unplaced.put(p.seq, p));
      }
    }
    nodes.values().removeIf(n -> n.state == NodeState.GONE && n.flight.isEmpty());
    List<Pending> waiting = new ArrayList<>(unplaced.values());
    unplaced.clear();
    waiting.forEach(this::place);
  }

  private void take(Request r) {
    budget.took(r.again() ? 0 : 1);
    RequestClass rules = classes.get(r.className());
    VolumeChanged own = terms.get(r.volume());
    Plan plan = own != null ? own.plan() : plans.get(r.plan());
    if (rules == null || plan == null || r.remainingUs() <= 0) {
      out.accept(new Refuse(r.id(), 0));
      return;
    }
    int hosts = own != null ? own.hosts() : r.hosts() > 0 ? r.hosts() : settings.hosts();
    TokenBucket limit = plan.limit() <= 0
        ? null
        : limits.computeIfAbsent(r.volume(), k -> new TokenBucket(plan.limit() / hosts, plan.limitBurst()
            / hosts,
            0, launchedAt));
    double depth = reserveDepth(plan, hosts);
    TokenBucket reserve = reserves.computeIfAbsent(r.volume(), k -> new TokenBucket(plan.reserve() / hosts,
        depth, depth,
        now));
    long most = mostRemaining.merge(r.className(), r.remainingUs(), Math::max);
    Pending p = new Pending(r, rules, most, plan, seq++, now, random.nextDouble(), limit, reserve);
    // Clients make no more connections to a process that ends: what cannot go soon gives its own back, or all
    // stay away. Harm: what might have gone within its aim.
    p.answerBy = stopping ? Math.min(p.answerBy, now + (long) usual) : p.answerBy;
    pendings.put(r.id(), p);
    byDeadline.add(p);
    if (p.rules.inOrder() && r.key() != null) {
      p.line = lines.computeIfAbsent(r.key(), k -> new KeyLine());
      p.line.queue.add(p);
    }
    place(p);
    if (p.node != null) {
      Volume v = p.at;
      v.asked += r.units();
      p.node.asking.add(v);
      p.node.gap += LATENCY_GAIN * (Math.min(FADE_MOST, now - p.node.askedAt) - p.node.gap);
      p.node.askedAt = now;
      v.lastAsked = now;
    }
  }

  /** Puts a request into the FIFO of its node: the one with its data, or for a new object the least
   * burdened. */
  private void place(Pending p) {
    Node choice = null;
    double least = Double.MAX_VALUE;
    for (Node n : nodes.values()) {
      if (n.state == NodeState.ON && (p.request.shard() < 0 || n.cell == p.request.shard()) && p.repeatable(n,
          now)) {
        double burden = burden(n);
        if (burden < least) {
          least = burden;
          choice = n;
        }
      }
    }
    if (choice == null) {
      p.node = null;
      unplaced.put(p.seq, p);
    } else {
      choice.hold(p);
    }
  }

  /** Expected time to serve one more, us; cold nodes last. Chance keeps hosts from all picking one node. */
  private double burden(Node n) {
    double time = (n.out + n.held + 1) * n.expected() / n.window;
    return (n.cold() ? time + 1e8 : time) * (1 + random.nextDouble());
  }

  /** Sends while the window has room and what earns most is worth the wait. */
  private void release(Node n) {
    while (n.state == NodeState.ON && n.held > 0 && n.out < (int) n.window && n.flight.size() < WINDOW_MAX) {
      Pending p = pick(n);
      if (p == null || !worthwhile(n, p)) {
        blocked |= p != null;
        return;
      }
      send(n, p);
    }
  }

  private Pending pick(Node n) {
    Pending choice = null;
    Volume of = null;
    double most = 0;
    n.wait = n.expected();
    for (Volume v : n.holding) {
      v.fill(now);
      for (Map.Entry<Sort, TreeMap<Aim, Pending>> line : v.held.entrySet()) {
        Pending p = first(n, line.getKey(), line.getValue());
        double earns = p == null ? 0 : earns(n, p);
        blocked |= p == null;
        if (p != null && (choice == null || earns > most || earns == most && before(v, p, of, choice))) {
          choice = p;
          of = v;
          most = earns;
        }
      }
    }
    return choice;
  }

  /** Of requests of one sort the first by aim that may go: of those still in time, if they earn more. */
  private Pending first(Node n, Sort sort, TreeMap<Aim, Pending> line) {
    Pending any = line.firstEntry().getValue();
    if (sort.again && !budget.allows() || any.limit != null && !sort.paid && !any.limit.allows(sort.units,
        now)) {
      return null;
    }
    long edge = any.rules.lateWorth() < 1 ? now + (long) (n.wait + beyondMean(any)) : Long.MIN_VALUE;
    if (any.aimAt >= edge && ready(n, any)) {
      return any;
    }
    Aim from = new Aim(edge, Long.MIN_VALUE);
    Pending p = first(n, line.tailMap(from));
    return p != null ? p : first(n, line.headMap(from));
  }

  private Pending first(Node n, Map<Aim, Pending> line) {
    for (Pending p : line.values()) {
      if (ready(n, p)) {
        return p;
      }
    }
    return null;
  }

  /** Among those that earn the same a unit: due before not due; the due by due time, the others by weight;
   * within a volume the nearest aim; then by arrival. */
  private boolean before(Volume a, Pending p, Volume b, Pending q) {
    if (a == b) {
      return p.aimAt != q.aimAt ? p.aimAt < q.aimAt : p.seq < q.seq;
    }
    double dueA = a.dueAt(p.request.units()), dueB = b.dueAt(q.request.units());
    if (dueA <= now != dueB <= now) {
      return dueA <= now;
    }
    if (dueA > now && a.groupWeight != b.groupWeight) {
      return a.groupWeight > b.groupWeight;
    }
    return dueA != dueB ? dueA < dueB : p.seq < q.seq;
  }

  /** Whether the answer can no longer come within the aim. */
  private boolean late(Node n, Pending p) {
    return p.aimAt < now + (long) (n.wait + beyondMean(p));
  }

  /** Latency of a request beyond that of one of mean units: a large one tells of no queue. */
  private double beyondMean(Pending p) {
    return usual * (p.request.units() / settings.store().meanUnits() - 1);
  }

  /** What a unit of a request earns if it leaves now, as a part of the most that any can. */
  private double earns(Node n, Pending p) {
    double reserved = p.paid || p.reserve.allows(p.request.units(), now) ? 1 : settings.store().shareWorth();
    return p.rules.worth() * p.plan.price() / mostValue * reserved * (late(n, p) ? p.rules.lateWorth() : 1);
  }

  /** Whether a request is worth its place in the node's queue, which hosts share unseen: the longer the wait,
   * the more a unit must earn, up to the shortest aim; never one that its client cannot wait for. */
  private boolean worthwhile(Node n, Pending p) {
    double wait = n.expected();
    return wait <= usual + earns(n, p) * Math.max(0, shortestAim - usual) && now + wait < p.deadline;
  }

  /** Whether order, repeats and a cold node let this request be sent now. */
  private boolean ready(Node n, Pending p) {
    boolean turn = p.line == null || p.line.queue.peek() == p && (p.attempts > 0 || now >= p.line.quietUntil);
    return turn && now >= p.notBefore && p.repeatable(n, now) && n.bears(p);
  }

  private void send(Node n, Pending p) {
    n.unhold(p);
    byDeadline.remove(p);
    p.answerBy = p.deadline;
    byDeadline.add(p);
    Volume v = p.at;
    v.fill(now);
    v.tokens -= p.request.units();
    budget.spend(p.attempts > 0 ? 1 : 0);
    if (p.limit != null && !p.paid) {
      p.limit.add(-p.request.units());
    }
    if (!p.paid && p.reserve.allows(p.request.units(), now)) {
      p.reserve.add(-p.request.units());
    }
    p.paid = true;
    if (p.doubtNode == null) {
      p.doubtNode = n;
      p.doubtAt = now;
    }
    p.attempts++;
    p.out++;
    p.sentAt = now;
    p.overdue = false;
    n.out++;
    n.flight.add(p);
    if (n.cold()) {
      n.safe.add(-p.request.units());
    }
    double wait = n.wait + Math.max(0, beyondMean(p)), late = p.aimAt + GIVE_UP * p.rules.aimUs();
    double soon = Math.max(p.aimAt - LEFT * wait, now + SURELY_LOST * wait);
    long at = (long) (p.attempts > 1 || !budget.allows() ? late : Math.min(late, soon));
    // A connection may take its time to come up: what is sent again starts within the window, or not at all.
    long startBy = p.attempts > 1 && p.rules.effect() == Effect.KEYED
        ? p.doubtAt + p.rules.windowUs() - KEYED_MARGIN
        : Long.MAX_VALUE;
    out.accept(new Send(p.request.id(), n.id, now < p.aimAt && p.repeatable(n, at) ? at : 0, startBy));
  }

  private void outcome(Outcome o) {
    Pending p = pendings.get(o.request());
    if (p == null || p.out == 0) {
      return;
    }
    Node n = nodes.get(o.node());
    p.out--;
    if (n != null) {
      n.flight.remove(p);
      n.out -= p.overdue ? 0 : 1;
      n.answeredSentAt = Math.max(n.answeredSentAt, o.result() == Result.OK ? p.sentAt : Long.MIN_VALUE);
      judge(n, p, o);
    }
    if (!o.result().provesNotRun()) {
      p.doubtKept = true;
      if (p.line != null && o.result() != Result.OK && o.result() != Result.ERROR) {
        p.line.quietUntil = now + settings.rules().orderSettleUs();
      }
    } else if (!p.doubtKept) {
      p.doubtNode = null;
    }
    if (o.result() == Result.MOOT && p.attempts == 1 && p.limit != null) {
      p.limit.add(p.request.units());
      p.paid = false;
    }
    if (p.done) {
      forget(p);
    } else if (o.ended()) {
      finish(p);
    } else {
      again(p, o);
    }
  }

  /** A connection that broke, or failed once, tells of no wait: taken for one it held a node that answers in
   * ms for most of a second. Harm: one more attempt goes to a process that is gone. */
  private void judge(Node n, Pending p, Outcome o) {
    n.refused += o.result() == Result.CONNECT_FAILED ? 1 : 0;
    if (o.result() == Result.OK) {
      n.answered(Math.max(1, o.tookUs() - beyondMean(p)));
    } else if (o.result() == Result.FULL || o.result() == Result.CONNECT_FAILED && n.refused >= DOWN_AFTER) {
      n.seeNone(UNSEEN * shortestAim);
    } else if (o.result() == Result.TIMEOUT && p.sentAt > n.answeredSentAt && !p.overdue) {
      n.noAnswer();
    }
  }

  /** A further attempt where the rules may allow one before the client gives up; else the final answer. */
  private void again(Pending p, Outcome o) {
    boolean last = p.attempts >= settings.allowed().maxAttempts() || now + RETRY_PAUSE >= p.deadline;
    if (last || p.doubtNode != null && p.rules.effect() == Effect.UNSAFE || o.result() == Result.CANCELLED) {
      end(p);
    } else {
      p.notBefore = o.result() == Result.TIMEOUT ? now : now + RETRY_PAUSE;
      place(p);
    }
  }

  private void end(Pending p) {
    boolean told = settings.allowed().retryAfter() && p.node != null;
    long retryIn = told ? Math.min(settings.allowed().maxRetryAfterUs(), (long) p.node.expected()) : 0;
    out.accept(p.refusable() ? new Refuse(p.request.id(), retryIn) : new Fail(p.request.id()));
    finish(p);
  }

  private void finish(Pending p) {
    if (p.done) {
      return;
    }
    p.done = true;
    byDeadline.remove(p);
    unplaced.remove(p.seq);
    if (p.node != null) {
      p.node.unhold(p);
    }
    forget(p);
  }

  /** Drops a finished request once its last attempt has ended; its key then goes to the next in line. */
  private void forget(Pending p) {
    if (p.out > 0) {
      return;
    }
    pendings.remove(p.request.id());
    if (leaving.contains(p.request.volume())) {
      purge(p.request.volume());
    }
    if (p.line != null) {
      p.line.queue.remove(p);
      if (p.line.queue.isEmpty() && p.line.quietUntil <= now) {
        lines.remove(p.request.key(), p.line);
      }
    }
  }
}
