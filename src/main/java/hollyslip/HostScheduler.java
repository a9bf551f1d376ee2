package hollyslip;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/** One host's I/O scheduler as seen from outside: it is built from {@link Settings}, is handed {@link Event}s
 * in the order in which they happened, and answers with {@link Action}s.
 *
 * <p>
 * All times are microseconds on the caller's clock. An implementation has no clock, does no I/O and starts no
 * thread; equal events give equal actions. */
public interface HostScheduler {

  /** Takes one event at time {@code now} and hands every action that follows from it to {@code out}, in
   * order. */
  void handle(long now, Event event, Consumer<Action> out);

  /** How often a request of a class may have its effect. */
  enum Effect {
    SAFE, KEYED, UNSAFE
  }

  /** Which nodes drop repeats of a keyed request. */
  enum Group {
    ALL, ZONE, CELL
  }

  /** Where load reports come from. */
  enum ReportSource {
    ANSWERS, PROBE, NONE
  }

  /** State of a node in the list. */
  enum NodeState {
    ON, DRAINING, GONE
  }

  /** How an attempt ended. */
  enum Result {
    OK, ERROR, FULL, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, MOOT;

    /** Whether this result proves that the attempt never ran. */
    public boolean provesNotRun() {
      return this == FULL || this == CONNECT_FAILED || this == MOOT;
    }
  }

  /** A class of requests. {@code inOrder}: requests with one key run one at a time, in order of arrival. */
  record RequestClass(String name, Effect effect, Group group, long windowUs, long aimUs, long deadlineUs,
      double worth, double lateWorth, boolean inOrder, boolean write) {
    public RequestClass {
      present(name, "class.name");
      present(effect, "class.effect");
      present(group, "class.group");
      atLeast(windowUs, 0, "class.windowUs");
      atLeast(aimUs, 1, "class.aimUs");
      atLeast(deadlineUs, 1, "class.deadlineUs");
      atLeast(worth, 0, "class.worth");
      atLeast(lateWorth, 0, "class.lateWorth");
    }
  }

  /** A plan on which volumes stand; rates in units a second, over all hosts and nodes. {@code limit} 0:
   * none. */
  record Plan(String name, double rate, double reserve, double weight, double price, double limit,
      double limitBurst, double limitSlack) {
    public Plan {
      present(name, "plan.name");
      atLeast(rate, 0, "plan.rate");
      atLeast(reserve, 0, "plan.reserve");
      atLeast(weight, 0, "plan.weight");
      atLeast(price, 0, "plan.price");
      atLeast(limit, 0, "plan.limit");
      atLeast(limitBurst, 0, "plan.limitBurst");
      atLeast(limitSlack, 0, "plan.limitSlack");
      if (limit > 0 && limitBurst <= 0) {
        throw new IllegalArgumentException("plan.limitBurst: must be above 0 where there is a limit");
      }
    }
  }

  /** The figures of the rules. {@code budgetWindowUs} 0: no budget of attempts. */
  record Rules(long answerSlackUs, long drainGraceUs, double coldFrom, long coldUs, double fallMultiple,
      long fallUs, long orderSettleUs, double budgetShare, double budgetFree, long budgetWindowUs,
      long askWithinUs) {
    public Rules {
      atLeast(answerSlackUs, 0, "rules.answerSlackUs");
      atLeast(drainGraceUs, 0, "rules.drainGraceUs");
      atLeast(coldFrom, 0, "rules.coldFrom");
      if (coldFrom > 1) {
        throw new IllegalArgumentException("rules.coldFrom: must be at most 1, not " + coldFrom);
      }
      atLeast(coldUs, 0, "rules.coldUs");
      atLeast(fallMultiple, 0, "rules.fallMultiple");
      atLeast(fallUs, 0, "rules.fallUs");
      atLeast(orderSettleUs, 0, "rules.orderSettleUs");
      atLeast(budgetShare, 0, "rules.budgetShare");
      atLeast(budgetFree, 0, "rules.budgetFree");
      atLeast(budgetWindowUs, 0, "rules.budgetWindowUs");
      atLeast(askWithinUs, 0, "rules.askWithinUs");
    }
  }

  /** What the deployment allows. */
  record Allowed(int maxAttempts, boolean probes, boolean cancel, boolean secondCopies, boolean retryAfter,
      long maxRetryAfterUs, long connectTimeoutUs) {
    public Allowed {
      atLeast(maxAttempts, 1, "allowed.maxAttempts");
      atLeast(maxRetryAfterUs, 0, "allowed.maxRetryAfterUs");
      atLeast(connectTimeoutUs, 0, "allowed.connectTimeoutUs");
    }
  }

  /** What is known of the store as a whole. {@code meterUs} 0: no meter. {@code coldUnits} 0: not stated. */
  record Store(double meanUnits, int mostUnits, double coldUnits, double shareWorth, double spareWorth,
      long meterUs, boolean tellsElsewhere) {
    public Store {
      if (!(meanUnits > 0) || Double.isInfinite(meanUnits)) {
        throw new IllegalArgumentException("store.meanUnits: must be above 0, not " + meanUnits);
      }
      atLeast(mostUnits, 1, "store.mostUnits");
      atLeast(coldUnits, 0, "store.coldUnits");
      atLeast(shareWorth, 0, "store.shareWorth");
      atLeast(spareWorth, 0, "store.spareWorth");
      atLeast(meterUs, 0, "store.meterUs");
    }
  }

  /** Everything an instance knows at its start. */
  record Settings(long seed, int index, int hosts, String zone, long tickUs, boolean listOnRequest,
      List<RequestClass> classes, List<Plan> plans, Rules rules, Allowed allowed, Store store,
      ReportSource reportSource, List<String> reportFields) {
    public Settings {
      atLeast(hosts, 1, "hosts");
      atLeast(index, 0, "index");
      if (index >= hosts) {
        throw new IllegalArgumentException("index: must be below hosts, not " + index);
      }
      present(zone, "zone");
      atLeast(tickUs, 1, "tickUs");
      present(rules, "rules");
      present(allowed, "allowed");
      present(store, "store");
      present(reportSource, "reportSource");
      classes = List.copyOf(present(classes, "classes"));
      plans = List.copyOf(present(plans, "plans"));
      reportFields = List.copyOf(present(reportFields, "reportFields"));
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

  /** One entry of the node list. {@code bornUs} 0: long ago. */
  record Listed(long node, String zone, int cell, NodeState state, long bornUs) {
    public Listed {
      present(zone, "listed.zone");
      present(state, "listed.state");
    }
  }

  /** Something that happened. */
  sealed interface Event permits NodeList, ListFailed, Request, TimerDue, Outcome, Departed, Hastened, Probed,
      Started, VolumeChanged, VolumeRemoved, Stopping {}

  /** News of the node list; {@code whole}: nodes not named are gone. */
  record NodeList(boolean whole, List<Listed> nodes) implements Event {
    public NodeList {
      nodes = List.copyOf(nodes);
    }
  }

  /** A call for the list failed, or the subscription dropped. */
  record ListFailed() implements Event {}

  /** A request was taken. {@code shard} -1: a new object, for any node. {@code hosts} 0: not told.
   * {@code again}: its client has asked before, or it was taken a while ago: it earns no further attempts
   * now. */
  record Request(long id, String className, String plan, Long key, long volume, double units, int shard,
      int hosts, long remainingUs, boolean again) implements Event {
    public Request {
      present(className, "request.className");
      present(plan, "request.plan");
      atLeast(units, 0, "request.units");
    }
  }

  /** A timer came due. */
  record TimerDue(long id) implements Event {}

  /** An attempt ended; {@code metered} is 1 + percent of the plan's rate, 0: none; {@code report} may be
   * null. */
  record Outcome(long request, int attempt, long node, Result result, boolean ended, long tookUs, int metered,
      double elsewhere, List<Double> report) implements Event {
    public Outcome {
      present(result, "outcome.result");
    }
  }

  /** The client of a request left. */
  record Departed(long request) implements Event {}

  /** A request must have its final answer by {@code answerBy}, if that is before its client gives up: one
   * that came after it on the same connection, whose answers go out in order, cannot wait longer. */
  record Hastened(long request, long answerBy) implements Event {}

  /** A probe ended; {@code report} may be null. */
  record Probed(long node, Result result, long tookUs, List<Double> report) implements Event {
    public Probed {
      present(result, "probed.result");
    }
  }

  /** The answer of an attempt started to stream; neither time-out nor deadline runs on. */
  record Started(long request, int attempt, long node) implements Event {}

  /** A volume stands on a plan of its own from now on, whatever its requests name; {@code hosts}: through how
   * many its requests come. Volumes of one {@code group} share by their plans' weights what the group gets by
   * {@code groupWeight}; group 0: a group of its own, which counts with the plan's weight. */
  record VolumeChanged(long volume, int hosts, Plan plan, long group, double groupWeight) implements Event {
    public VolumeChanged {
      atLeast(hosts, 1, "volumeChanged.hosts");
      present(plan, "volumeChanged.plan");
      atLeast(groupWeight, 0, "volumeChanged.groupWeight");
    }
  }

  /** A volume takes no more requests; what is known of it may go when its last one has ended. */
  record VolumeRemoved(long volume) implements Event {}

  /** The process is about to end: clients are served on the connections that they have, and make no more; all
   * must have its final answer by {@code answerBy}. */
  record Stopping(long answerBy) implements Event {}

  /** Something to be done. */
  sealed interface Action permits Send, Refuse, Fail, Cancel, Probe, SetTimer, Watch {}

  /** Starts an attempt, to be given up at {@code timeoutAt} (0: when the client gives up). None of it may be
   * sent after {@code startBy}: it is {@link Result#MOOT} then. */
  record Send(long request, long node, long timeoutAt, long startBy) implements Action {
    /** One that may start at any time. */
    public Send(long request, long node, long timeoutAt) {
      this(request, node, timeoutAt, Long.MAX_VALUE);
    }
  }

  /** Final answer: not served, a new try is harmless; {@code retryInUs} 0: no advice. */
  record Refuse(long request, long retryInUs) implements Action {}

  /** Final answer: failed, with no word on its effect. */
  record Fail(long request) implements Action {}

  /** Withdraws an attempt. */
  record Cancel(long request, int attempt) implements Action {}

  /** Asks a node how it is. */
  record Probe(long node) implements Action {}

  /** Asks for a {@link TimerDue} at {@code at}. */
  record SetTimer(long at, long id) implements Action {}

  /** Subscribes to changes of the list. */
  record Watch() implements Action {}

  private static <T> T present(T value, String field) {
    if (value == null) {
      throw new IllegalArgumentException(field + ": is missing");
    }
    return value;
  }

  private static void atLeast(double value, double least, String field) {
    if (!(value >= least) || Double.isInfinite(value)) {
      throw new IllegalArgumentException(field + ": must be at least " + least + ", not " + value);
    }
  }
}
