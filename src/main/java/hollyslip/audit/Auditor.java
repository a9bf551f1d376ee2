package hollyslip.audit;

import hollyslip.HostScheduler.NodeState;
import hollyslip.node.Nbd;
import hollyslip.standin.Command;
import hollyslip.standin.Command.Result;
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

/** Checks the seven rules from what went over the sockets, as both ends recorded it: clients what they asked
 * and were answered, disk servers what reached them, the operator what was told to whom. Nothing that a
 * gateway says of itself is used, but for the cookie by which a node's command belongs to a request; where
 * writes bear bytes of their own, the bytes are what counts. Free of I/O and clock. */
public final class Auditor {
  /** A rule as the users number them. */
  public enum Rule {
    ONE_ANSWER, NO_EFFECT_TWICE, DRAINS_KEPT, NO_COLD_NODE_PUSHED, ORDER_KEPT, BUDGET_KEPT, LIMITS_KEPT
  }

  /** One breach. */
  public record Breach(Rule rule, String description) {
    @Override
    public String toString() {
      return rule + ": " + description;
    }
  }

  /** What an audit found: breaches, and over how much it looked by rule. */
  public record Report(List<Breach> breaches, Map<Rule, Long> checked) {
    public boolean kept() {
      return breaches.isEmpty();
    }
  }

  private final Figures parameters;
  private final List<Asked> requests;
  private final List<Command> commands;
  /** The same by when they were sent, where that can be told. */
  private final List<Command> commandsBySendTime;
  private final Map<String, List<Command>> commandsByNode = new HashMap<>();
  private final List<Told> operatorEvents;
  private final List<Breach> breaches = new ArrayList<>();
  private final Map<Rule, Long> checked = new TreeMap<>();

  private Auditor(Figures figures, List<Asked> asked, List<Command> commands, List<Told> told) {
    this.parameters = figures;
    this.requests = asked.stream().sorted(Comparator.comparingLong(Asked::askedUs)).toList();
    this.commands = commands.stream().sorted(Comparator.comparingLong(Command::receivedUs)).toList();
    commandsBySendTime = this.commands.stream()
        .sorted(Comparator.comparingLong(Command::sentOrReceivedUs))
        .toList();
    this.commands.forEach(c -> commandsByNode.computeIfAbsent(c.node(), k -> new ArrayList<>()).add(c));
    this.operatorEvents = told;
  }

  /** Audits a run that is over. */
  public static Report check(Figures figures, List<Asked> asked, List<Command> commands, List<Told> told) {
    Auditor a = new Auditor(figures, asked, commands, told);
    for (Rule r : Rule.values()) {
      a.checked.put(r, 0L);
    }
    a.checkAnswers();
    a.checkEffects();
    a.checkDrains();
    a.checkColdNodes();
    a.checkOrder();
    a.checkBudget();
    a.checkLimits();
    return new Report(a.breaches, a.checked);
  }

  private void addBreach(Rule rule, String what) {
    breaches.add(new Breach(rule, what));
  }

  private void countCheck(Rule rule) {
    checked.merge(rule, 1L, Long::sum);
  }

  private static String describe(Asked a) {
    return a.client() + "/" + a.id() + " (" + a.volume() + " " + a.offset() + "+" + a.length() + ")";
  }

  /** Rule 1: one final answer before the client's time ends. */
  private void checkAnswers() {
    for (Asked a : requests) {
      countCheck(Rule.ONE_ANSWER);
      if (a.answers() > 1) {
        addBreach(Rule.ONE_ANSWER, describe(a) + " has " + a.answers() + " answers");
      } else if (a.answers() == 0 && !a.left()) {
        addBreach(Rule.ONE_ANSWER, describe(a) + " has no answer");
      } else if (a.answers() == 1 && a.answeredUs() > a.deadlineUs() + parameters.answerSlackUs()) {
        addBreach(Rule.ONE_ANSWER, describe(a) + " was answered " + (a.answeredUs() - a.deadlineUs())
            + " us after its client's time");
      }
    }
  }

  /** Rule 2: a write has its effect once; a refused one never; an answered one did have it. Writes of one
   * checksum and length are one write: clients make their bytes unique. One that a gateway does again after
   * it was killed is the same attempt as far as its client knows, if nothing newer came between. */
  private void checkEffects() {
    Map<String, List<Command>> done = new HashMap<>();
    for (Command c : commands) {
      if (c.kind() == Nbd.CMD_WRITE && c.doneUs() > 0) {
        done.computeIfAbsent(c.checksum() + "+" + c.length(), k -> new ArrayList<>()).add(c);
      }
    }
    for (Asked a : requests) {
      if (a.kind() != Nbd.CMD_WRITE) {
        continue;
      }
      countCheck(Rule.NO_EFFECT_TWICE);
      List<Command> effects = done.getOrDefault(a.checksum() + "+" + a.length(), List.of());
      Set<String> processes = new HashSet<>();
      for (Command c : effects) {
        if (!processes.add(c.client())) {
          addBreach(Rule.NO_EFFECT_TWICE, describe(a) + " had its effect twice, sent by " + c.client()
              + " to " + c
                  .node());
        }
      }
      if (a.answer() == Asked.Answer.REFUSED && !effects.isEmpty()) {
        addBreach(Rule.NO_EFFECT_TWICE, describe(a) + " was refused though it had its effect at " + effects
            .get(0)
            .node());
      }
      if (a.answer() == Asked.Answer.SERVED && effects.isEmpty() && extentCount(a) == 1) {
        addBreach(Rule.NO_EFFECT_TWICE, describe(a) + " was served without an effect");
      }
      if (a.answers() > 0) {
        effects.stream()
            .filter(c -> c.doneUs() > a.answeredUs())
            .findFirst()
            .ifPresent(c -> checkLateEffect(a, c));
      }
    }
  }

  /** An effect after the answer must not land on a newer write that was answered before it. */
  private void checkLateEffect(Asked a, Command late) {
    for (Command newer : commandsByNode.getOrDefault(late.node(), List.of())) {
      boolean same = newer.node().equals(late.node()) && newer.offset() < late.offset() + late.length()
          && late.offset() < newer.offset() + newer.length();
      if (same && newer != late && newer.kind() == Nbd.CMD_WRITE && newer.result() == Result.DONE && newer
          .receivedUs() > a.answeredUs() && newer.doneUs() < late.doneUs()) {
        addBreach(Rule.NO_EFFECT_TWICE, describe(a) + " landed at " + late.node()
            + " after a newer write to its blocks");
        return;
      }
    }
  }

  /** Rule 3: nothing new to a node later than the grace after its gateway was told that it drains. */
  private void checkDrains() {
    Map<String, List<Command>> sent = new HashMap<>();
    for (Command c : commands) {
      if (!c.client().isEmpty()) {
        String gateway = c.client().substring(0, c.client().lastIndexOf('/'));
        sent.computeIfAbsent(gateway + " to " + c.node(), k -> new ArrayList<>()).add(c);
      }
    }
    Map<String, List<Told.State>> words = new HashMap<>();
    for (Told t : operatorEvents) {
      if (t instanceof Told.State s) {
        words.computeIfAbsent(s.gateway() + " to " + s.node(), k -> new ArrayList<>()).add(s);
      }
    }
    words.forEach((way, states) -> states.stream()
        .filter(s -> s.state() != NodeState.ON)
        .forEach(s -> checkDrain(s, states, sent.getOrDefault(way, List.of()))));
  }

  private void checkDrain(Told.State s, List<Told.State> states, List<Command> sent) {
    long until = states.stream()
        .filter(y -> y.state() == NodeState.ON && y.atUs() > s.atUs())
        .mapToLong(Told::atUs)
        .min()
        .orElse(Long.MAX_VALUE);
    for (Command c : sent) {
      if (c.sentOrReceivedUs() > s.atUs()) {
        countCheck(Rule.DRAINS_KEPT);
        if (c.sentOrReceivedUs() > s.atUs() + parameters.drainGraceUs() && c.sentOrReceivedUs() < until) {
          addBreach(Rule.DRAINS_KEPT, s.gateway() + " sent to " + s.node() + " " + (c.sentOrReceivedUs() - s
              .atUs())
              + " us after it was told that it is " + s.state());
        }
      }
    }
  }

  private double units(Command c) {
    boolean data = c.kind() == Nbd.CMD_READ || c.kind() == Nbd.CMD_WRITE;
    return data
        ? Math.max(1, Math.min(parameters.mostUnits(), (c.length() + parameters.unitBytes() - 1) / parameters
            .unitBytes()))
        : 1;
  }

  /** Rule 4: within any window, all gateways together send a cold node no more than it always bears. */
  private void checkColdNodes() {
    for (Told t : operatorEvents) {
      if (!(t instanceof Told.Born b)) {
        continue;
      }
      ArrayDeque<Command> window = new ArrayDeque<>();
      double sum = 0;
      for (Command c : commands) {
        if (!c.node().equals(b.node()) || c.receivedUs() < b.atUs() || c.receivedUs() > b.atUs() + parameters
            .coldUs()) {
          continue;
        }
        countCheck(Rule.NO_COLD_NODE_PUSHED);
        window.add(c);
        sum += units(c);
        while (window.peek().receivedUs() <= c.receivedUs() - parameters.fallUs()) {
          sum -= units(window.poll());
        }
        double age = Math.min(1, (double) (c.receivedUs() - b.atUs()) / parameters.coldUs());
        if (sum > parameters.coldUnits() * (parameters.coldFrom() + (1 - parameters.coldFrom()) * age)
            / parameters
                .coldFrom()) {
          addBreach(Rule.NO_COLD_NODE_PUSHED, b.node() + " got " + sum + " units in " + parameters.fallUs()
              + " us, " + (c.receivedUs() - b.atUs()) + " us after its start");
          break;
        }
      }
    }
  }

  /** Rule 5: requests with one key run one at a time, in the order in which they were asked. */
  private void checkOrder() {
    Map<Long, List<Asked>> lines = new HashMap<>();
    requests.stream()
        .filter(a -> a.key() >= 0)
        .forEach(a -> lines.computeIfAbsent(a.key(), k -> new ArrayList<>()).add(a));
    Map<String, List<Command>> byBytes = new HashMap<>();
    commands.stream()
        .filter(c -> c.kind() == Nbd.CMD_WRITE)
        .forEach(c -> byBytes.computeIfAbsent(c.checksum() + "+" + c.length(), k -> new ArrayList<>())
            .add(c));
    for (List<Asked> line : lines.values()) {
      long before = 0;
      Asked last = null;
      for (Asked a : line) {
        countCheck(Rule.ORDER_KEPT);
        List<Command> mine = byBytes.getOrDefault(a.checksum() + "+" + a.length(), List.of());
        long first = mine.stream().mapToLong(Command::receivedUs).min().orElse(Long.MAX_VALUE);
        if (first < before) {
          addBreach(Rule.ORDER_KEPT, describe(a) + " was sent while " + describe(last)
              + " before it was not over");
        }
        for (Command c : mine) {
          long over = c.doneUs() > 0
              ? c.doneUs()
              : c.result() == Result.SWALLOWED ? c.receivedUs() + parameters.settleUs() : c.receivedUs();
          if (over > before) {
            before = over;
            last = a;
          }
        }
      }
    }
  }

  /** Rule 6: attempts beyond a request's first, within any window, by gateway process. */
  private void checkBudget() {
    if (parameters.budgetWindowUs() <= 0) {
      return;
    }
    Map<String, List<Command>> byClient = new HashMap<>();
    commandsBySendTime.stream()
        .filter(c -> !c.client().isEmpty())
        .forEach(c -> byClient.computeIfAbsent(c.client(), k -> new ArrayList<>()).add(c));
    Map<String, List<Asked>> byGateway = new HashMap<>();
    requests.forEach(a -> byGateway.computeIfAbsent(a.gateway(), k -> new ArrayList<>()).add(a));
    byClient.forEach((client, sent) -> checkBudget(client, sent, byGateway.getOrDefault(client.substring(0,
        client
            .lastIndexOf('/')), List.of())
        .stream()
        .flatMapToLong(a -> LongStream.generate(a::askedUs).limit(extentCount(a)))
        .toArray()));
  }

  private void checkBudget(String client, List<Command> sent, long[] asks) {
    Set<Long> seen = new HashSet<>();
    ArrayDeque<Long> further = new ArrayDeque<>();
    for (Command c : sent) {
      countCheck(Rule.BUDGET_KEPT);
      if (seen.add(c.cookie() >> 12)) {
        continue;
      }
      further.add(c.sentOrReceivedUs());
      while (further.peek() < c.sentOrReceivedUs() - parameters.budgetWindowUs() + parameters.skewUs()) {
        further.poll();
      }
      long taken = countUpTo(asks, c.sentOrReceivedUs()) - countUpTo(asks, c.sentOrReceivedUs() - parameters
          .budgetWindowUs() - parameters
              .skewUs());
      double allowed = parameters.budgetFree() + parameters.budgetShare() * taken;
      if (further.size() > allowed) {
        addBreach(Rule.BUDGET_KEPT, client + " made " + further.size() + " further attempts in " + parameters
            .budgetWindowUs() + " us with " + taken + " requests taken");
        return;
      }
    }
  }

  /** Extents that a request touches: as many requests it is at the module, and commands with bytes of their
   * own. */
  private long extentCount(Asked a) {
    return (a.offset() + Math.max(1, a.length()) - 1) / parameters.extentBytes() - a.offset() / parameters
        .extentBytes() + 1;
  }

  /** How many of the sorted times are at or before {@code at}. */
  private static int countUpTo(long[] times, long at) {
    int i = Arrays.binarySearch(times, at);
    if (i < 0) {
      return -i - 1;
    }
    while (i < times.length && times[i] == at) {
      i++;
    }
    return i;
  }

  /** Rule 7: one store a volume for all gateways, whatever restarts; it pays for each request once, when its
   * first command reaches a node. */
  private void checkLimits() {
    Map<String, List<Command>> byVolume = parameters.limits().isEmpty() ? Map.of() : commandsByVolume();
    for (Map.Entry<String, Figures.Limit> e : parameters.limits().entrySet()) {
      Figures.Limit limit = e.getValue();
      List<Long> at = new ArrayList<>();
      List<Double> cost = new ArrayList<>();
      Set<String> paid = new HashSet<>();
      for (Command c : byVolume.getOrDefault(e.getKey(), List.of())) {
        if (paid.add(c.client() + "/" + (c.cookie() >> 12))) {
          at.add(c.sentOrReceivedUs());
          cost.add(units(c));
        }
      }
      double level = limit.burst();
      for (int i = 0; i < at.size(); i++) {
        countCheck(Rule.LIMITS_KEPT);
        level = Math.min(limit.burst(), level + (i == 0
            ? 0
            : limit.rate() * (at.get(i) - at.get(i - 1)) / 1e6)) - cost.get(i);
        if (level < -limit.slack()) {
          addBreach(Rule.LIMITS_KEPT, e.getKey() + " is " + -level + " units below its limit's store");
          break;
        }
      }
    }
  }

  /** Commands by the volume whose bytes they touch, as sent. */
  private Map<String, List<Command>> commandsByVolume() {
    Map<String, TreeMap<Long, Figures.Area>> areas = new HashMap<>();
    parameters.areas().forEach(a -> areas.computeIfAbsent(a.export(), k -> new TreeMap<>()).put(a.from(), a));
    Map<String, List<Command>> found = new HashMap<>();
    for (Command c : commandsBySendTime) {
      Map.Entry<Long, Figures.Area> e = areas.getOrDefault(c.export(), new TreeMap<>())
          .floorEntry(c.offset());
      if (e != null && c.offset() < e.getValue().to()) {
        found.computeIfAbsent(e.getValue().volume(), k -> new ArrayList<>()).add(c);
      }
    }
    return found;
  }
}
