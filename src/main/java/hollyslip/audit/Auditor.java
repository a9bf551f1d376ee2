package hollyslip.audit;

import hollyslip.HostScheduler.NodeState;
import hollyslip.node.Nbd;
import hollyslip.standin.CommandRecord;
import hollyslip.standin.CommandRecord.Result;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.LongStream;

/** Checks the seven service rules against the records of both ends of the sockets: the requests and answers
 * that clients recorded, the commands that disk servers received, and the events that the operator recorded.
 * Nothing that a gateway reports about itself is used, except the cookie that assigns a node's command to a
 * request; writes with unique data are matched by their data. It does no I/O and reads no clock. */
public final class Auditor {
  /** The rules, in the order in which users number them. */
  public enum Rule {
    ONE_ANSWER, NO_EFFECT_TWICE, DRAINS_KEPT, NO_COLD_NODE_PUSHED, ORDER_KEPT, BUDGET_KEPT, LIMITS_KEPT
  }

  /** A breach of a rule. */
  public record Breach(Rule rule, String description) {
    @Override
    public String toString() {
      return rule + ": " + description;
    }
  }

  /** The result of an audit: the breaches, and the number of checks by rule. */
  public record Report(List<Breach> breaches, Map<Rule, Long> checked) {
    public boolean kept() {
      return breaches.isEmpty();
    }
  }

  private final AuditParameters parameters;
  private final List<RequestRecord> requests;
  private final List<CommandRecord> commands;
  /** The commands in order of sending, or of receipt where the time of sending is unknown. */
  private final List<CommandRecord> commandsBySendTime;
  private final Map<String, List<CommandRecord>> commandsByNode = new HashMap<>();
  private final List<OperatorEvent> operatorEvents;
  private final List<Breach> breaches = new ArrayList<>();
  private final Map<Rule, Long> checked = new TreeMap<>();

  private Auditor(AuditParameters parameters, List<RequestRecord> requests, List<CommandRecord> commands,
      List<OperatorEvent> operatorEvents) {
    this.parameters = parameters;
    this.requests = requests.stream().sorted(Comparator.comparingLong(RequestRecord::askedUs)).toList();
    this.commands = commands.stream().sorted(Comparator.comparingLong(CommandRecord::receivedUs)).toList();
    commandsBySendTime = this.commands.stream()
        .sorted(Comparator.comparingLong(CommandRecord::sentOrReceivedUs))
        .toList();
    this.commands.forEach(command -> commandsByNode.computeIfAbsent(command.node(), k -> new ArrayList<>())
        .add(command));
    this.operatorEvents = operatorEvents;
  }

  /** Audits a finished run. */
  public static Report check(AuditParameters parameters, List<RequestRecord> requests,
      List<CommandRecord> commands,
      List<OperatorEvent> operatorEvents) {
    Auditor auditor = new Auditor(parameters, requests, commands, operatorEvents);
    for (Rule rule : Rule.values()) {
      auditor.checked.put(rule, 0L);
    }
    auditor.checkAnswers();
    auditor.checkEffects();
    auditor.checkDrains();
    auditor.checkColdNodes();
    auditor.checkOrder();
    auditor.checkBudget();
    auditor.checkLimits();
    return new Report(auditor.breaches, auditor.checked);
  }

  private void addBreach(Rule rule, String description) {
    breaches.add(new Breach(rule, description));
  }

  private void countCheck(Rule rule) {
    checked.merge(rule, 1L, Long::sum);
  }

  private static String describe(RequestRecord request) {
    return request.client() + "/" + request.id() + " (" + request.volume() + " " + request.offset() + "+"
        + request.length() + ")";
  }

  /** Rule 1: each request gets one final answer before the client's deadline. */
  private void checkAnswers() {
    for (RequestRecord request : requests) {
      countCheck(Rule.ONE_ANSWER);
      if (request.answers() > 1) {
        addBreach(Rule.ONE_ANSWER, describe(request) + " has " + request.answers() + " answers");
      } else if (request.answers() == 0 && !request.left()) {
        addBreach(Rule.ONE_ANSWER, describe(request) + " has no answer");
      } else if (request.answers() == 1 && request.answeredUs() > request.deadlineUs() + parameters
          .answerSlackUs()) {
        addBreach(Rule.ONE_ANSWER, describe(request) + " was answered " + (request.answeredUs()
            - request.deadlineUs()) + " us after its deadline");
      }
    }
  }

  /** Rule 2: a write takes effect at most once, never if it was refused, and once if it was served. Writes
   * with the same checksum and length are the same write, since clients make their data unique. A write that
   * a gateway repeats after it was killed counts as the same attempt if no newer write came in between. */
  private void checkEffects() {
    Map<String, List<CommandRecord>> effectsByData = new HashMap<>();
    for (CommandRecord command : commands) {
      if (command.kind() == Nbd.CMD_WRITE && command.doneUs() > 0) {
        effectsByData.computeIfAbsent(command.checksum() + "+" + command.length(), k -> new ArrayList<>())
            .add(command);
      }
    }
    for (RequestRecord request : requests) {
      if (request.kind() != Nbd.CMD_WRITE) {
        continue;
      }
      countCheck(Rule.NO_EFFECT_TWICE);
      List<CommandRecord> effects = effectsByData.getOrDefault(request.checksum() + "+" + request.length(),
          List.of());
      Set<String> processes = new HashSet<>();
      for (CommandRecord command : effects) {
        if (!processes.add(command.client())) {
          addBreach(Rule.NO_EFFECT_TWICE, describe(request) + " took effect twice, sent by " + command
              .client()
              + " to " + command.node());
        }
      }
      if (request.answer() == RequestRecord.Answer.REFUSED && !effects.isEmpty()) {
        addBreach(Rule.NO_EFFECT_TWICE, describe(request) + " was refused although it took effect at "
            + effects.get(0).node());
      }
      if (request.answer() == RequestRecord.Answer.SERVED && effects.isEmpty() && extentCount(request) == 1) {
        addBreach(Rule.NO_EFFECT_TWICE, describe(request) + " was served but did not take effect");
      }
      if (request.answers() > 0) {
        effects.stream()
            .filter(command -> command.doneUs() > request.answeredUs())
            .findFirst()
            .ifPresent(command -> checkLateEffect(request, command));
      }
    }
  }

  /** An effect after the answer must not overwrite a newer write that was answered before it. */
  private void checkLateEffect(RequestRecord request, CommandRecord late) {
    for (CommandRecord newer : commandsByNode.getOrDefault(late.node(), List.of())) {
      boolean overlaps = newer.node().equals(late.node()) && newer.offset() < late.offset() + late.length()
          && late.offset() < newer.offset() + newer.length();
      if (overlaps && newer != late && newer.kind() == Nbd.CMD_WRITE && newer.result() == Result.DONE && newer
          .receivedUs() > request.answeredUs() && newer.doneUs() < late.doneUs()) {
        addBreach(Rule.NO_EFFECT_TWICE, describe(request) + " took effect at " + late.node()
            + " after a newer write to its blocks");
        return;
      }
    }
  }

  /** Rule 3: a gateway sends no command to a node later than the grace period after it was told that the node
   * drains. */
  private void checkDrains() {
    Map<String, List<CommandRecord>> commandsByRoute = new HashMap<>();
    for (CommandRecord command : commands) {
      if (!command.client().isEmpty()) {
        String gateway = command.client().substring(0, command.client().lastIndexOf('/'));
        commandsByRoute.computeIfAbsent(gateway + " to " + command.node(), k -> new ArrayList<>())
            .add(command);
      }
    }
    Map<String, List<OperatorEvent.NodeStateChange>> statesByRoute = new HashMap<>();
    for (OperatorEvent event : operatorEvents) {
      if (event instanceof OperatorEvent.NodeStateChange state) {
        statesByRoute.computeIfAbsent(state.gateway() + " to " + state.node(), k -> new ArrayList<>())
            .add(state);
      }
    }
    statesByRoute.forEach((route, states) -> states.stream()
        .filter(state -> state.state() != NodeState.ON)
        .forEach(state -> checkDrain(state, states, commandsByRoute.getOrDefault(route, List.of()))));
  }

  private void checkDrain(OperatorEvent.NodeStateChange drain, List<OperatorEvent.NodeStateChange> states,
      List<CommandRecord> sent) {
    long until = states.stream()
        .filter(later -> later.state() == NodeState.ON && later.atUs() > drain.atUs())
        .mapToLong(OperatorEvent::atUs)
        .min()
        .orElse(Long.MAX_VALUE);
    for (CommandRecord command : sent) {
      if (command.sentOrReceivedUs() > drain.atUs()) {
        countCheck(Rule.DRAINS_KEPT);
        if (command.sentOrReceivedUs() > drain.atUs() + parameters.drainGraceUs() && command
            .sentOrReceivedUs() < until) {
          addBreach(Rule.DRAINS_KEPT, drain.gateway() + " sent to " + drain.node() + " " + (command
              .sentOrReceivedUs()
              - drain.atUs()) + " us after it was told that it is " + drain.state());
        }
      }
    }
  }

  private double units(CommandRecord command) {
    boolean carriesData = command.kind() == Nbd.CMD_READ || command.kind() == Nbd.CMD_WRITE;
    return carriesData
        ? Math.max(1, Math.min(parameters.mostUnits(), (command.length() + parameters.unitBytes() - 1)
            / parameters.unitBytes()))
        : 1;
  }

  /** Rule 4: within any window, all gateways together send a cold node no more than it can always serve. */
  private void checkColdNodes() {
    for (OperatorEvent event : operatorEvents) {
      if (!(event instanceof OperatorEvent.NodeStart start)) {
        continue;
      }
      ArrayDeque<CommandRecord> window = new ArrayDeque<>();
      double windowUnits = 0;
      for (CommandRecord command : commands) {
        if (!command.node().equals(start.node()) || command.receivedUs() < start.atUs() || command
            .receivedUs() > start.atUs()
                + parameters.coldUs()) {
          continue;
        }
        countCheck(Rule.NO_COLD_NODE_PUSHED);
        window.add(command);
        windowUnits += units(command);
        while (window.peek().receivedUs() <= command.receivedUs() - parameters.fallUs()) {
          windowUnits -= units(window.poll());
        }
        double age = Math.min(1, (double) (command.receivedUs() - start.atUs()) / parameters.coldUs());
        if (windowUnits > parameters.coldUnits() * (parameters.coldFrom() + (1 - parameters.coldFrom()) * age)
            / parameters.coldFrom()) {
          addBreach(Rule.NO_COLD_NODE_PUSHED, start.node() + " got " + windowUnits + " units in " + parameters
              .fallUs()
              + " us, " + (command.receivedUs() - start.atUs()) + " us after its start");
          break;
        }
      }
    }
  }

  /** Rule 5: requests with the same key run one at a time, in the order in which they were submitted. */
  private void checkOrder() {
    Map<Long, List<RequestRecord>> requestsByKey = new HashMap<>();
    requests.stream()
        .filter(request -> request.key() >= 0)
        .forEach(request -> requestsByKey.computeIfAbsent(request.key(), k -> new ArrayList<>())
            .add(request));
    Map<String, List<CommandRecord>> writesByData = new HashMap<>();
    commands.stream()
        .filter(command -> command.kind() == Nbd.CMD_WRITE)
        .forEach(command -> writesByData.computeIfAbsent(command.checksum() + "+" + command.length(),
            k -> new ArrayList<>())
            .add(command));
    for (List<RequestRecord> sameKey : requestsByKey.values()) {
      long busyUntilUs = 0;
      RequestRecord previous = null;
      for (RequestRecord request : sameKey) {
        countCheck(Rule.ORDER_KEPT);
        List<CommandRecord> writes = writesByData.getOrDefault(request.checksum() + "+" + request.length(),
            List.of());
        long firstSentUs = writes.stream().mapToLong(CommandRecord::receivedUs).min().orElse(Long.MAX_VALUE);
        if (firstSentUs < busyUntilUs) {
          addBreach(Rule.ORDER_KEPT, describe(request) + " was sent while " + describe(previous)
              + " before it was not finished");
        }
        for (CommandRecord command : writes) {
          long endUs = command.doneUs() > 0
              ? command.doneUs()
              : command.result() == Result.SWALLOWED
                  ? command.receivedUs() + parameters.settleUs()
                  : command.receivedUs();
          if (endUs > busyUntilUs) {
            busyUntilUs = endUs;
            previous = request;
          }
        }
      }
    }
  }

  /** Rule 6: each gateway process stays within its retry budget in any window. */
  private void checkBudget() {
    if (parameters.budgetWindowUs() <= 0) {
      return;
    }
    Map<String, List<CommandRecord>> commandsByClient = new HashMap<>();
    commandsBySendTime.stream()
        .filter(command -> !command.client().isEmpty())
        .forEach(command -> commandsByClient.computeIfAbsent(command.client(), k -> new ArrayList<>())
            .add(command));
    Map<String, List<RequestRecord>> requestsByGateway = new HashMap<>();
    requests.forEach(request -> requestsByGateway.computeIfAbsent(request.gateway(), k -> new ArrayList<>())
        .add(request));
    commandsByClient.forEach((client, sent) -> checkBudget(client, sent, requestsByGateway
        .getOrDefault(client.substring(0, client.lastIndexOf('/')), List.of())
        .stream()
        .flatMapToLong(request -> LongStream.generate(request::askedUs).limit(extentCount(request)))
        .toArray()));
  }

  private void checkBudget(String client, List<CommandRecord> sent, long[] requestTimes) {
    Set<Long> seenRequests = new HashSet<>();
    ArrayDeque<Long> retries = new ArrayDeque<>();
    for (CommandRecord command : sent) {
      countCheck(Rule.BUDGET_KEPT);
      if (seenRequests.add(command.cookie() >> 12)) {
        continue;
      }
      retries.add(command.sentOrReceivedUs());
      while (retries.peek() < command.sentOrReceivedUs() - parameters.budgetWindowUs() + parameters
          .skewUs()) {
        retries.poll();
      }
      long accepted = countUpTo(requestTimes, command.sentOrReceivedUs()) - countUpTo(requestTimes,
          command.sentOrReceivedUs() - parameters.budgetWindowUs() - parameters.skewUs());
      double allowed = parameters.budgetFree() + parameters.budgetShare() * accepted;
      if (retries.size() > allowed) {
        addBreach(Rule.BUDGET_KEPT, client + " made " + retries.size() + " retries in " + parameters
            .budgetWindowUs() + " us with " + accepted + " requests accepted");
        return;
      }
    }
  }

  /** Returns the number of extents that a request touches. The scheduler handles it as that many requests,
   * each with its own command and data. */
  private long extentCount(RequestRecord request) {
    return (request.offset() + Math.max(1, request.length()) - 1) / parameters.extentBytes()
        - request.offset() / parameters.extentBytes() + 1;
  }

  /** Returns how many of the sorted times are at or before {@code at}. */
  private static int countUpTo(long[] times, long at) {
    int count = Arrays.binarySearch(times, at);
    if (count < 0) {
      return -count - 1;
    }
    while (count < times.length && times[count] == at) {
      count++;
    }
    return count;
  }

  /** Rule 7: a volume has one token bucket for all gateways, across restarts. A request is charged once, when
   * its first command is sent. */
  private void checkLimits() {
    Map<String, List<CommandRecord>> commandsOfVolumes = parameters.limits().isEmpty()
        ? Map.of()
        : commandsByVolume();
    for (Map.Entry<String, AuditParameters.Limit> entry : parameters.limits().entrySet()) {
      AuditParameters.Limit limit = entry.getValue();
      List<Long> times = new ArrayList<>();
      List<Double> costs = new ArrayList<>();
      Set<String> charged = new HashSet<>();
      for (CommandRecord command : commandsOfVolumes.getOrDefault(entry.getKey(), List.of())) {
        if (charged.add(command.client() + "/" + (command.cookie() >> 12))) {
          times.add(command.sentOrReceivedUs());
          costs.add(units(command));
        }
      }
      double level = limit.burst();
      for (int i = 0; i < times.size(); i++) {
        countCheck(Rule.LIMITS_KEPT);
        level = Math.min(limit.burst(), level + (i == 0
            ? 0
            : limit.rate() * (times.get(i) - times.get(i - 1)) / 1e6)) - costs.get(i);
        if (level < -limit.slack()) {
          addBreach(Rule.LIMITS_KEPT, entry.getKey() + " is " + -level + " units below its limit");
          break;
        }
      }
    }
  }

  /** Returns the commands by the volume whose bytes they touch, in order of sending. */
  private Map<String, List<CommandRecord>> commandsByVolume() {
    Map<String, TreeMap<Long, AuditParameters.Area>> areas = new HashMap<>();
    parameters.areas()
        .forEach(area -> areas.computeIfAbsent(area.export(), k -> new TreeMap<>()).put(area.from(), area));
    Map<String, List<CommandRecord>> commandsOfVolumes = new HashMap<>();
    for (CommandRecord command : commandsBySendTime) {
      Map.Entry<Long, AuditParameters.Area> candidate = areas.getOrDefault(command.export(), new TreeMap<>())
          .floorEntry(command.offset());
      if (candidate != null && command.offset() < candidate.getValue().to()) {
        commandsOfVolumes.computeIfAbsent(candidate.getValue().volume(), k -> new ArrayList<>()).add(command);
      }
    }
    return commandsOfVolumes;
  }
}
