package hollyslip;

import hollyslip.HostScheduler.*;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Records every violation of the seven rules in the events and actions of one host. Across restarts of the
 * scheduler it keeps the limit buckets and the traffic sent to cold nodes, as the system does. It does not
 * depend on how the scheduler decides. */
final class RuleAudit {
  /** One attempt, as sent. */
  record Attempt(long request, int number, long node, long sentAt) {}

  /** The state of one request, as seen from outside the scheduler. */
  static final class TrackedRequest {
    final Request request;
    final RequestClass requestClass;
    final long arrivedAt;
    final List<Attempt> attempts = new ArrayList<>();
    final Map<Integer, Result> results = new HashMap<>();
    boolean answered;
    boolean countedInLimit;

    TrackedRequest(Request request, RequestClass requestClass, long arrivedAt) {
      this.request = request;
      this.requestClass = requestClass;
      this.arrivedAt = arrivedAt;
    }

    boolean mayHaveRun(int number) {
      Result r = results.get(number);
      return r == null || !r.provesNotRun();
    }

    boolean anyMayHaveRun() {
      return attempts.stream().anyMatch(a -> mayHaveRun(a.number()));
    }

    boolean hasAttemptInFlight() {
      return attempts.size() > results.size();
    }
  }

  final Settings settings;
  final List<String> violations = new ArrayList<>();
  final List<Action> actions = new ArrayList<>();
  final TreeMap<Long, Integer> timers = new TreeMap<>();
  final Map<Long, TrackedRequest> requests = new LinkedHashMap<>();
  final Map<Long, NodeEntry> listedNodes = new HashMap<>();
  final Map<Long, Long> notOnSince = new HashMap<>();
  final List<Attempt> inFlight = new ArrayList<>();
  private final List<Long> arrivalTimes = new ArrayList<>();
  private final List<Long> furtherAttemptTimes = new ArrayList<>();
  private final List<double[]> coldSends = new ArrayList<>();
  private final Map<Long, double[]> limitBuckets = new HashMap<>();
  private final Map<Long, Long> keyBlockedUntil = new HashMap<>();
  private final int hostsPerVolume;
  private HostScheduler scheduler;
  long now;

  RuleAudit(Settings settings, long now, int hostsPerVolume) {
    this.settings = settings;
    this.now = now;
    this.hostsPerVolume = hostsPerVolume;
    scheduler = new TokenBorrowingScheduler(settings);
  }

  void restart(List<NodeEntry> stale) {
    scheduler = new TokenBorrowingScheduler(settings);
    timers.clear();
    requests.clear();
    inFlight.clear();
    arrivalTimes.clear();
    furtherAttemptTimes.clear();
    keyBlockedUntil.clear();
    listedNodes.clear();
    notOnSince.clear();
    updateNodes(true, stale);
  }

  void updateNodes(boolean complete, List<NodeEntry> nodes) {
    if (complete) {
      Set<Long> named = new HashSet<>();
      nodes.forEach(l -> named.add(l.node()));
      listedNodes.keySet()
          .stream()
          .filter(n -> !named.contains(n))
          .forEach(n -> notOnSince.putIfAbsent(n, now));
    }
    for (NodeEntry l : nodes) {
      listedNodes.put(l.node(), l);
      if (l.state() == NodeState.ON) {
        notOnSince.remove(l.node());
      } else {
        notOnSince.putIfAbsent(l.node(), now);
      }
    }
    deliver(new NodeList(complete, nodes));
  }

  void submit(Request request) {
    arrivalTimes.add(now);
    RequestClass requestClass = settings.classes()
        .stream()
        .filter(c -> c.name().equals(request.className()))
        .findFirst()
        .orElse(null);
    requests.put(request.id(), new TrackedRequest(request, requestClass, now));
    deliver(request);
  }

  void completeAttempt(Attempt attempt, Result result) {
    TrackedRequest tracked = requests.get(attempt.request());
    inFlight.remove(attempt);
    tracked.results.put(attempt.number(), result);
    double[] bucket = limitBuckets.get(tracked.request.volume());
    if (result == Result.MOOT && attempt.number() == 0 && tracked.countedInLimit && bucket != null) {
      bucket[0] += tracked.request.units();
      tracked.countedInLimit = false;
    }
    boolean ended = tracked.answered || result == Result.OK;
    tracked.answered |= result == Result.OK;
    if (result == Result.TIMEOUT || result == Result.RESET || result == Result.CANCELLED) {
      if (tracked.request.key() != null && tracked.requestClass.inOrder()) {
        keyBlockedUntil.put(tracked.request.key(), now + settings.rules().orderSettleUs());
      }
    }
    deliver(new AttemptEnded(attempt.request(), attempt.number(), attempt.node(), result, ended,
        now - attempt.sentAt(), 0, 0, null));
  }

  void disconnect(long id) {
    requests.get(id).answered = true;
    deliver(new RequestAbandoned(id));
  }

  /** Advances the clock and fires the timers and client timeouts that come due. */
  void advanceTo(long time) {
    while (true) {
      long nextTimerAt = timers.isEmpty() ? Long.MAX_VALUE : timers.firstKey();
      Attempt nextTimedOut = null;
      long nextTimeoutAt = Long.MAX_VALUE;
      for (Attempt attempt : inFlight) {
        TrackedRequest tracked = requests.get(attempt.request());
        long timeoutAt = tracked.arrivedAt + tracked.request.remainingUs();
        if (timeoutAt < nextTimeoutAt) {
          nextTimedOut = attempt;
          nextTimeoutAt = timeoutAt;
        }
      }
      long next = Math.min(nextTimerAt, nextTimeoutAt);
      if (next > time) {
        break;
      }
      now = Math.max(now, next);
      if (nextTimerAt <= nextTimeoutAt) {
        timers.pollFirstEntry();
        deliver(new TimerFired(nextTimerAt));
      } else {
        completeAttempt(nextTimedOut, Result.TIMEOUT);
      }
    }
    now = time;
    for (TrackedRequest tracked : requests.values()) {
      if (!tracked.answered
          && now > tracked.arrivedAt + tracked.request.remainingUs() + settings.rules().answerSlackUs()) {
        addViolation("not answered in time", tracked.request.id());
        tracked.answered = true;
      }
    }
  }

  void deliver(Event event) {
    scheduler.handle(now, event, this::checkAction);
  }

  private void checkAction(Action action) {
    actions.add(action);
    if (action instanceof SetTimer timer) {
      timers.put(timer.at(), 1);
    } else if (action instanceof Send send) {
      checkSend(send);
    } else if (action instanceof Refuse refuse) {
      TrackedRequest tracked = recordAnswer(refuse.request());
      if (tracked.requestClass != null && tracked.anyMayHaveRun()) {
        boolean harmless = tracked.requestClass.effect() == Effect.SAFE
            || tracked.requestClass.effect() == Effect.KEYED && tracked.requestClass
                .dedupScope() == DedupScope.ALL;
        if (!harmless) {
          addViolation("refused although it may have run", refuse.request());
        }
      }
    } else if (action instanceof Fail fail) {
      recordAnswer(fail.request());
    } else if (action instanceof Probe && !settings.allowed().probes()) {
      addViolation("probe not allowed", 0);
    } else if (action instanceof Cancel && !settings.allowed().cancel()) {
      addViolation("cancel not allowed", 0);
    }
  }

  private TrackedRequest recordAnswer(long id) {
    TrackedRequest tracked = requests.get(id);
    if (tracked.answered) {
      addViolation("answered twice", id);
    }
    tracked.answered = true;
    return tracked;
  }

  private void checkSend(Send send) {
    TrackedRequest tracked = requests.get(send.request());
    if (tracked == null || tracked.answered) {
      addViolation("sent for an unknown or answered request", send.request());
      return;
    }
    NodeEntry target = listedNodes.get(send.node());
    if (target == null) {
      addViolation("sent to an unlisted node", send.request());
      return;
    }
    Long notOn = notOnSince.get(send.node());
    if (notOn != null && now > notOn + settings.rules().drainGraceUs()) {
      addViolation("sent to an unavailable node", send.request());
    }
    checkRepeats(tracked, target);
    checkOrder(tracked);
    checkAttemptBudget(tracked);
    checkColdNode(tracked, target);
    checkLimit(tracked);
    Attempt attempt = new Attempt(send.request(), tracked.attempts.size(), send.node(), now);
    tracked.attempts.add(attempt);
    inFlight.add(attempt);
  }

  private void checkRepeats(TrackedRequest tracked, NodeEntry target) {
    if (tracked.hasAttemptInFlight() && !settings.allowed().secondCopies()) {
      addViolation("second concurrent attempt", tracked.request.id());
    }
    for (Attempt previous : tracked.attempts) {
      if (tracked.requestClass.effect() == Effect.SAFE || !tracked.mayHaveRun(previous.number())) {
        continue;
      }
      NodeEntry previousNode = listedNodes.get(previous.node());
      boolean inDedupScope = switch (tracked.requestClass.dedupScope()) {
        case ALL -> true;
        case ZONE -> previousNode.zone().equals(target.zone());
        case CELL -> previousNode.cell() == target.cell();
      };
      if (tracked.requestClass.effect() == Effect.UNSAFE || !inDedupScope
          || now > previous.sentAt() + tracked.requestClass.dedupWindowUs()) {
        addViolation("effect may occur twice", tracked.request.id());
      }
    }
  }

  private void checkOrder(TrackedRequest tracked) {
    if (!tracked.requestClass.inOrder() || tracked.request.key() == null) {
      return;
    }
    for (TrackedRequest other : requests.values()) {
      if (other == tracked) {
        break;
      }
      boolean sameKey = other.requestClass != null && other.requestClass.inOrder() && tracked.request.key()
          .equals(other.request.key());
      if (sameKey && (!other.answered || other.hasAttemptInFlight())) {
        addViolation("out of order", tracked.request.id());
      }
    }
    if (tracked.attempts.isEmpty() && now < keyBlockedUntil.getOrDefault(tracked.request.key(), 0L)) {
      addViolation("key still blocked", tracked.request.id());
    }
  }

  private void checkAttemptBudget(TrackedRequest tracked) {
    Rules rules = settings.rules();
    if (tracked.attempts.isEmpty() || rules.budgetWindowUs() == 0) {
      return;
    }
    furtherAttemptTimes.add(now);
    long windowStart = now - rules.budgetWindowUs();
    long furtherAttempts = furtherAttemptTimes.stream().filter(t -> t >= windowStart).count();
    long arrivals = arrivalTimes.stream().filter(t -> t > windowStart).count();
    if (furtherAttempts > rules.budgetFree() + rules.budgetShare() * arrivals) {
      addViolation("attempt budget exceeded", tracked.request.id());
    }
  }

  private void checkColdNode(TrackedRequest tracked, NodeEntry target) {
    Rules rules = settings.rules();
    if (target.startedAtUs() <= 0 || now > target.startedAtUs() + rules.coldUs() || settings.store()
        .coldUnits() <= 0) {
      return;
    }
    coldSends.add(new double[]{target.node(), target.startedAtUs(), now, tracked.request.units()});
    double sentUnits = 0;
    for (double[] coldSend : coldSends) {
      if (coldSend[0] == target.node() && coldSend[1] == target.startedAtUs()
          && coldSend[2] > now - rules.fallUs()) {
        sentUnits += coldSend[3];
      }
    }
    double age = Math.min(1, (double) Math.max(0, now - target.startedAtUs()) / rules.coldUs());
    double allowedUnits = settings.store().coldUnits() * (rules.coldFrom() + (1 - rules.coldFrom()) * age)
        / rules.coldFrom();
    if (sentUnits > allowedUnits + 1e-6) {
      addViolation("cold node overloaded", tracked.request.id());
    }
  }

  private void checkLimit(TrackedRequest tracked) {
    Plan plan = settings.plans()
        .stream()
        .filter(p -> p.name().equals(tracked.request.plan()))
        .findFirst()
        .get();
    if (plan.limit() <= 0 || tracked.countedInLimit) {
      return;
    }
    tracked.countedInLimit = true;
    double depth = plan.limitBurst() / hostsPerVolume;
    double[] bucket = limitBuckets.computeIfAbsent(tracked.request.volume(), k -> new double[]{depth, now});
    bucket[0] = Math.min(depth, bucket[0] + plan.limit() / hostsPerVolume * (now - bucket[1]) / 1e6);
    bucket[1] = now;
    bucket[0] -= tracked.request.units();
    if (bucket[0] < -1e-6) {
      addViolation("volume limit exceeded", tracked.request.id());
    }
  }

  private void addViolation(String rule, long requestId) {
    violations.add(rule + ": request " + requestId + " at " + now);
  }
}
