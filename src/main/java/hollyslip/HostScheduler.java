package hollyslip;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/** One host's I/O scheduler. It is created from {@link Settings}, receives {@link Event}s in the order in
 * which they happened, and responds with {@link Action}s.
 *
 * <p>
 * All times are microseconds on the caller's clock. An implementation has no clock, does no I/O and starts no
 * thread; equal events give equal actions. */
public interface HostScheduler {

  /** Handles one event at time {@code now} and passes every resulting action to {@code out}, in order. */
  void handle(long now, Event event, Consumer<Action> out);

  /** Whether a request of a class may be repeated: always, with an idempotency key, or never. */
  enum Effect {
    SAFE, KEYED, UNSAFE
  }

  /** The nodes among which repeats of a keyed request are dropped. */
  enum DedupScope {
    ALL, ZONE, CELL
  }

  /** The source of a node's load reports. */
  enum ReportSource {
    ANSWERS, PROBE, NONE
  }

  /** State of a node in the node list. */
  enum NodeState {
    ON, DRAINING, GONE
  }

  /** How an attempt ended. {@code FULL}: a node without room refused it. {@code MOOT}: it was never sent. */
  enum Result {
    OK, ERROR, FULL, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, MOOT;

    /** Whether this result proves that the attempt never ran. */
    public boolean provesNotRun() {
      return this == FULL || this == CONNECT_FAILED || this == MOOT;
    }
  }

  /** A class of requests.
   *
   * @param dedupWindowUs
   *          how long repeats of a keyed request are dropped
   * @param lateWorth
   *          fraction of the worth that remains after the aim
   * @param inOrder
   *          requests with the same key run one at a time, in order of arrival */
  record RequestClass(String name, Effect effect, DedupScope dedupScope, long dedupWindowUs, long aimUs,
      long deadlineUs, double worth, double lateWorth, boolean inOrder, boolean write) {
    public RequestClass {
      requirePresent(name, "class.name");
      requirePresent(effect, "class.effect");
      requirePresent(dedupScope, "class.group");
      requireAtLeast(dedupWindowUs, 0, "class.windowUs");
      requireAtLeast(aimUs, 1, "class.aimUs");
      requireAtLeast(deadlineUs, 1, "class.deadlineUs");
      requireAtLeast(worth, 0, "class.worth");
      requireAtLeast(lateWorth, 0, "class.lateWorth");
    }
  }

  /** A service plan of volumes; rates in units per second, over all hosts and nodes. {@code limit} 0: no
   * limit. */
  record Plan(String name, double rate, double reserve, double weight, double price, double limit,
      double limitBurst, double limitSlack) {
    public Plan {
      requirePresent(name, "plan.name");
      requireAtLeast(rate, 0, "plan.rate");
      requireAtLeast(reserve, 0, "plan.reserve");
      requireAtLeast(weight, 0, "plan.weight");
      requireAtLeast(price, 0, "plan.price");
      requireAtLeast(limit, 0, "plan.limit");
      requireAtLeast(limitBurst, 0, "plan.limitBurst");
      requireAtLeast(limitSlack, 0, "plan.limitSlack");
      if (limit > 0 && limitBurst <= 0) {
        throw new IllegalArgumentException("plan.limitBurst: must be above 0 where there is a limit");
      }
    }
  }

  /** The parameters of the service rules. {@code coldFrom}: fraction of its capacity that a node which has
   * just started can be given. {@code budgetWindowUs} 0: retries are not limited. */
  record Rules(long answerSlackUs, long drainGraceUs, double coldFrom, long coldUs, double fallMultiple,
      long fallUs, long orderSettleUs, double budgetShare, double budgetFree, long budgetWindowUs,
      long askWithinUs) {
    public Rules {
      requireAtLeast(answerSlackUs, 0, "rules.answerSlackUs");
      requireAtLeast(drainGraceUs, 0, "rules.drainGraceUs");
      requireAtLeast(coldFrom, 0, "rules.coldFrom");
      if (coldFrom > 1) {
        throw new IllegalArgumentException("rules.coldFrom: must be at most 1, not " + coldFrom);
      }
      requireAtLeast(coldUs, 0, "rules.coldUs");
      requireAtLeast(fallMultiple, 0, "rules.fallMultiple");
      requireAtLeast(fallUs, 0, "rules.fallUs");
      requireAtLeast(orderSettleUs, 0, "rules.orderSettleUs");
      requireAtLeast(budgetShare, 0, "rules.budgetShare");
      requireAtLeast(budgetFree, 0, "rules.budgetFree");
      requireAtLeast(budgetWindowUs, 0, "rules.budgetWindowUs");
      requireAtLeast(askWithinUs, 0, "rules.askWithinUs");
    }
  }

  /** What the deployment allows the scheduler to do. */
  record Allowed(int maxAttempts, boolean probes, boolean cancel, boolean secondCopies, boolean retryAfter,
      long maxRetryAfterUs, long connectTimeoutUs) {
    public Allowed {
      requireAtLeast(maxAttempts, 1, "allowed.maxAttempts");
      requireAtLeast(maxRetryAfterUs, 0, "allowed.maxRetryAfterUs");
      requireAtLeast(connectTimeoutUs, 0, "allowed.connectTimeoutUs");
    }
  }

  /** Properties of the store as a whole. {@code coldUnits}: units within {@code fallUs} that a cold node can
   * always serve; 0: unknown. {@code shareWorth}: relative worth of a unit beyond the volume's reserve.
   * {@code meterUs} 0: volume use is not metered. */
  record Store(double meanUnits, int maxUnits, double coldUnits, double shareWorth, double spareWorth,
      long meterUs, boolean reportsServedElsewhere) {
    public Store {
      if (!(meanUnits > 0) || Double.isInfinite(meanUnits)) {
        throw new IllegalArgumentException("store.meanUnits: must be above 0, not " + meanUnits);
      }
      requireAtLeast(maxUnits, 1, "store.mostUnits");
      requireAtLeast(coldUnits, 0, "store.coldUnits");
      requireAtLeast(shareWorth, 0, "store.shareWorth");
      requireAtLeast(spareWorth, 0, "store.spareWorth");
      requireAtLeast(meterUs, 0, "store.meterUs");
    }
  }

  /** Everything an instance knows when it is created. */
  record Settings(long seed, int index, int hosts, String zone, long tickUs, boolean listOnRequest,
      List<RequestClass> classes, List<Plan> plans, Rules rules, Allowed allowed, Store store,
      ReportSource reportSource, List<String> reportFields) {
    public Settings {
      requireAtLeast(hosts, 1, "hosts");
      requireAtLeast(index, 0, "index");
      if (index >= hosts) {
        throw new IllegalArgumentException("index: must be below hosts, not " + index);
      }
      requirePresent(zone, "zone");
      requireAtLeast(tickUs, 1, "tickUs");
      requirePresent(rules, "rules");
      requirePresent(allowed, "allowed");
      requirePresent(store, "store");
      requirePresent(reportSource, "reportSource");
      classes = List.copyOf(requirePresent(classes, "classes"));
      plans = List.copyOf(requirePresent(plans, "plans"));
      reportFields = List.copyOf(requirePresent(reportFields, "reportFields"));
      if (classes.isEmpty()) {
        throw new IllegalArgumentException("classes: at least one is needed");
      }
      if (plans.isEmpty()) {
        throw new IllegalArgumentException("plans: at least one is needed");
      }
      if (Set.copyOf(classes.stream().map(RequestClass::name).toList()).size() < classes.size()) {
        throw new IllegalArgumentException("classes: names must differ");
      }
      if (Set.copyOf(plans.stream().map(Plan::name).toList()).size() < plans.size()) {
        throw new IllegalArgumentException("plans: names must differ");
      }
    }
  }

  /** One entry of the node list, with the node's start time; 0: long ago. */
  record NodeEntry(long node, String zone, int cell, NodeState state, long startedAtUs) {
    public NodeEntry {
      requirePresent(zone, "listed.zone");
      requirePresent(state, "listed.state");
    }
  }

  /** Something that happened. */
  sealed interface Event permits NodeList, NodeListFailed, Request, TimerFired, AttemptEnded,
      RequestAbandoned, DeadlineShortened, ProbeEnded,
      ResponseStarted, VolumeChanged, VolumeRemoved, Stopping {}

  /** The node list, whole or only the entries that changed. With the whole list, nodes not in it are gone. */
  record NodeList(boolean complete, List<NodeEntry> nodes) implements Event {
    public NodeList {
      nodes = List.copyOf(nodes);
    }
  }

  /** A request for the node list failed, or the subscription to it was lost. */
  record NodeListFailed() implements Event {}

  /** A request arrived. {@code shard} -1: a new object, which any node may store. {@code hosts}: number of
   * hosts that receive the volume's requests, 0: unknown. {@code clientRetry}: the client has sent it before,
   * or it was accepted a while ago, so that it adds nothing to the retry budget. */
  record Request(long id, String className, String plan, Long key, long volume, double units, int shard,
      int hosts, long remainingUs, boolean clientRetry) implements Event {
    public Request {
      requirePresent(className, "request.className");
      requirePresent(plan, "request.plan");
      requireAtLeast(units, 0, "request.units");
    }
  }

  /** A timer expired. */
  record TimerFired(long id) implements Event {}

  /** An attempt ended. {@code requestEnded}: its request has its final answer. {@code volumeUse}: 1 + the
   * volume's use in percent of the plan's rate, 0 if not metered. {@code report} may be null. */
  record AttemptEnded(long request, int attempt, long node, Result result, boolean requestEnded,
      long latencyUs, int volumeUse, double servedElsewhere, List<Double> report) implements Event {
    public AttemptEnded {
      requirePresent(result, "outcome.result");
    }
  }

  /** The client of a request is gone. */
  record RequestAbandoned(long request) implements Event {}

  /** A request must have its final answer by {@code answerBy}, if that is before its client gives up. A later
   * request on the same connection, where answers are sent in order, cannot wait longer. */
  record DeadlineShortened(long request, long answerBy) implements Event {}

  /** A probe ended; {@code report} may be null. */
  record ProbeEnded(long node, Result result, long latencyUs, List<Double> report) implements Event {
    public ProbeEnded {
      requirePresent(result, "probed.result");
    }
  }

  /** The response to an attempt started to stream; its timeout and the deadline no longer apply. */
  record ResponseStarted(long request, int attempt, long node) implements Event {}

  /** A volume has a plan of its own from now on, whatever plan its requests name. {@code hosts}: number of
   * hosts that receive its requests. Volumes of one {@code group} divide what the group gets by
   * {@code groupWeight} according to their plans' weights; group 0: a group of its own, with the plan's
   * weight. */
  record VolumeChanged(long volume, int hosts, Plan plan, long group, double groupWeight) implements Event {
    public VolumeChanged {
      requireAtLeast(hosts, 1, "volumeChanged.hosts");
      requirePresent(plan, "volumeChanged.plan");
      requireAtLeast(groupWeight, 0, "volumeChanged.groupWeight");
    }
  }

  /** A volume gets no more requests; its state may be dropped when the last of them has ended. */
  record VolumeRemoved(long volume) implements Event {}

  /** The process is shutting down: clients are served on their open connections and make no new ones. All
   * requests must have their final answer by {@code answerBy}. */
  record Stopping(long answerBy) implements Event {}

  /** Something that the caller has to do. */
  sealed interface Action permits Send, Refuse, Fail, Cancel, Probe, SetTimer, WatchNodes {}

  /** Starts an attempt that times out at {@code timeoutAt} (0: when the client gives up). Nothing of it may
   * be sent after {@code startBy}; it then ends as {@link Result#MOOT}. */
  record Send(long request, long node, long timeoutAt, long startBy) implements Action {
    /** An attempt that may start at any time. */
    public Send(long request, long node, long timeoutAt) {
      this(request, node, timeoutAt, Long.MAX_VALUE);
    }
  }

  /** Final answer: the request was not served, and the client may safely retry it.
   *
   * @param retryAfterUs
   *          advised delay of the retry; 0: no advice */
  record Refuse(long request, long retryAfterUs) implements Action {}

  /** Final answer: the request failed, and may have taken effect. */
  record Fail(long request) implements Action {}

  /** Cancels an attempt. */
  record Cancel(long request, int attempt) implements Action {}

  /** Probes a node for its health and load. */
  record Probe(long node) implements Action {}

  /** Requests a {@link TimerFired} event at {@code at}. */
  record SetTimer(long at, long id) implements Action {}

  /** Subscribes to the node list. */
  record WatchNodes() implements Action {}

  private static <T> T requirePresent(T value, String field) {
    if (value == null) {
      throw new IllegalArgumentException(field + ": is missing");
    }
    return value;
  }

  private static void requireAtLeast(double value, double least, String field) {
    if (!(value >= least) || Double.isInfinite(value)) {
      throw new IllegalArgumentException(field + ": must be at least " + least + ", not " + value);
    }
  }
}
