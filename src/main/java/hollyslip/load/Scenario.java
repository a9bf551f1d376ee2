package hollyslip.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A scenario: nodes, plans, volumes with their load, and the disturbances to inject at given times. Read
 * from a day file (docs/replay.md), a line-based text format of keywords and named numbers with {@code #} for
 * comments. Performs no I/O.
 *
 * @param seconds
 *          duration of the load, s
 * @param seed
 *          seed of all random choices
 * @param gateways
 *          number of gateway processes
 * @param lanes
 *          number of lanes of each gateway
 * @param exampleSettings
 *          whether to run the shipped example settings with their volumes and plans
 * @param nodes
 *          stand-in nodes
 * @param plans
 *          parameters of the plans, by plan name
 * @param volumes
 *          volumes and their load
 * @param disturbances
 *          disturbances in order of time */
public record Scenario(double seconds, long seed, int gateways, int lanes, boolean exampleSettings,
    Nodes nodes,
    Map<String, Map<String, Double>> plans, List<VolumeLoad> volumes, List<Disturbance> disturbances) {

  /** The stand-in nodes; they differ only in their seeds. {@code netUs} and {@code engineUs} apply to the
   * emulator only: the mean one-way network delay, drawn from half to one and a half of it, and the time that
   * a gateway's engine spends on one request. */
  public record Nodes(int count, int cores, int queue, long baseUs, long netUs, double engineUs) {}

  /** A volume and its load: {@code rate} requests per second in total through {@code maxGateways} gateways
   * (0: all), starting with {@code firstGateway}. {@code maxShards} is the number of shards that the volume
   * spreads over; 0: all. */
  public record VolumeLoad(String volume, String plan, int sizeMib, double rate, double readFraction,
      int maxBlocks,
      int depth, int clients, ArrivalProcess.Shape shape, int maxGateways, int maxShards, int firstGateway) {
    private VolumeLoad scaledBy(double factor) {
      return new VolumeLoad(volume, plan, sizeMib, rate * factor, readFraction, maxBlocks, depth, clients,
          shape, maxGateways,
          maxShards,
          firstGateway);
    }

    private String toText() {
      return "volume " + volume + " plan " + plan + " size-mib " + sizeMib + " rate " + rate + " reads "
          + readFraction
          + " most-blocks " + maxBlocks + " depth " + depth + " clients " + clients + " shape " + shape
              .keyword()
          + " period " + shape.periodS() + " swing " + shape.swing() + " hosts " + maxGateways + " spread "
          + maxShards
          + " first " + firstGateway;
    }
  }

  /** A disturbance to inject.
   *
   * @param at
   *          start, s
   * @param kind
   *          one of {@link #KINDS}
   * @param target
   *          name of a node, volume or plan; empty to choose at random according to {@code fraction}
   * @param seconds
   *          duration, s
   * @param fraction
   *          fraction of the nodes or volumes affected
   * @param size
   *          severity; its meaning depends on the kind */
  public record Disturbance(double at, String kind, String target, double seconds, double fraction,
      double size) {
    /** Delay between telling a preempted node to drain and killing it, s. Always less than the duration, so
     * that the node dies before it returns. */
    public double killDelaySeconds() {
      return Math.min(2, seconds / 2);
    }

    private String toText() {
      return "at " + at + " " + kind + (target.isEmpty() ? "" : " target " + target) + " for " + seconds
          + " part "
          + fraction + " size " + size;
    }
  }

  /** Kinds of disturbances. */
  public static final Set<String> KINDS = Set.of("stall", "vanish", "hang", "fast-errors", "burst",
      "plan-burst", "volume-burst", "hot-volumes", "scan", "heavy-tail", "list-down", "gateway-crash",
      "reconnect", "answer-lost", "retry-abuse", "mass-restart", "preempt", "drain", "late-write", "slow",
      "full", "client-vanish", "partition");

  /** Kinds whose {@code target} is a volume or a plan; for all others it is a node. */
  public static final Set<String> LOAD_KINDS = Set.of("plan-burst", "volume-burst", "retry-abuse",
      "client-vanish");

  /** Kinds that only the emulator supports. */
  public static final Set<String> EMULATOR_ONLY_KINDS = Set.of("partition");

  /** Limits on the size of a scenario; over sockets {@link #MAX_ON_SOCKETS} applies to nodes and gateways
   * instead. */
  private static final int MAX_NODES = 1_000, MAX_GATEWAYS = 5_000;
  private static final int MAX_ON_SOCKETS = 64;

  private static final Set<String> NODE_KEYS = Set.of("count", "cores", "queue", "base-us", "net-us",
      "engine-us");
  private static final Set<String> PLAN_KEYS = Set.of("rate", "reserve", "weight", "price", "limit",
      "limit-burst", "limit-slack");
  private static final Set<String> VOLUME_KEYS = Set.of("plan", "size-mib", "rate", "reads", "most-blocks",
      "depth", "clients", "period", "swing", "hosts", "spread", "first", "copies");
  private static final Set<String> DISTURBANCE_KEYS = Set.of("target", "for", "part", "size");

  /** Thrown if a text is not a valid scenario; the message names the line. */
  public static final class ParseException extends IllegalArgumentException {
    ParseException(int lineNumber, String message) {
      super("line " + lineNumber + ": " + message);
    }
  }

  /** Parses a scenario. */
  public static Scenario parse(String text) {
    return new Parser().parse(text);
  }

  /** Checks that the scenario can be played over sockets.
   *
   * @throws IllegalArgumentException
   *           if it is too large, or contains a disturbance that only the emulator supports */
  public void checkPlayableOverSockets() {
    if (nodes.count() > MAX_ON_SOCKETS || gateways > MAX_ON_SOCKETS) {
      throw new IllegalArgumentException("at most " + MAX_ON_SOCKETS
          + " nodes and gateways are supported over sockets; use 'hollyslip emulate' for more");
    }
    for (Disturbance disturbance : disturbances) {
      if (EMULATOR_ONLY_KINDS.contains(disturbance.kind())) {
        throw new IllegalArgumentException("disturbance '" + disturbance.kind() + "' at " + disturbance.at()
            + " is supported by 'hollyslip emulate' only");
      }
    }
  }

  /** Formats the scenario as text that {@link #parse} parses to an equal scenario. */
  public String toText() {
    StringBuilder text = new StringBuilder();
    text.append("day ").append(seconds).append("\nseed ").append(seed).append("\ngateways ").append(gateways);
    text.append("\nlanes ").append(lanes).append(exampleSettings ? "\nsettings example" : "");
    text.append("\nnodes count ")
        .append(nodes.count())
        .append(" cores ")
        .append(nodes.cores())
        .append(" queue ");
    text.append(nodes.queue())
        .append(" base-us ")
        .append(nodes.baseUs())
        .append(" net-us ")
        .append(nodes.netUs());
    text.append(" engine-us ").append(nodes.engineUs()).append('\n');
    plans.forEach((name, parameters) -> {
      text.append("plan ").append(name);
      new java.util.TreeMap<>(parameters).forEach((key, value) -> text.append(' ')
          .append(key)
          .append(' ')
          .append(value));
      text.append('\n');
    });
    volumes.forEach(value -> text.append(value.toText()).append('\n'));
    disturbances.forEach(t -> text.append(t.toText()).append('\n'));
    return text.toString();
  }

  /** Returns a copy with other disturbances, sorted by time. */
  public Scenario with(List<Disturbance> others) {
    List<Disturbance> sorted = new ArrayList<>(others);
    sorted.sort(java.util.Comparator.comparingDouble(Disturbance::at));
    return new Scenario(seconds, seed, gateways, lanes, exampleSettings, nodes, plans, volumes, sorted);
  }

  /** Number of clients of a volume, over all its gateways. */
  public int clientCount(VolumeLoad load) {
    return load.clients() * gatewayCount(load);
  }

  /** Number of gateways that requests of a volume come through. */
  public int gatewayCount(VolumeLoad load) {
    return load.maxGateways() == 0 ? gateways : Math.min(load.maxGateways(), gateways);
  }

  /** Index of the gateway that a client uses. */
  public int gatewayOf(VolumeLoad load, int client) {
    return (load.firstGateway() + client % gatewayCount(load)) % gateways;
  }

  /** Returns a copy with the load multiplied by {@code factor}. */
  public Scenario scaledBy(double factor) {
    return new Scenario(seconds, seed, gateways, lanes, exampleSettings, nodes, plans, volumes.stream()
        .map(v -> v.scaledBy(factor))
        .toList(), disturbances);
  }

  /** Returns a copy whose load lasts {@code newSeconds} seconds. */
  public Scenario withDuration(double newSeconds) {
    return new Scenario(newSeconds, seed, gateways, lanes, exampleSettings, nodes, plans, volumes,
        disturbances);
  }

  /** Returns a copy with another seed. */
  public Scenario with(long otherSeed) {
    return new Scenario(seconds, otherSeed, gateways, lanes, exampleSettings, nodes, plans, volumes,
        disturbances);
  }

  private static final class Parser {
    private double seconds = 60;
    private long seed = 1;
    private int gateways = 1;
    private int lanes = 1;
    private boolean exampleSettings;
    private Nodes nodes = new Nodes(6, 4, 64, 1_000, 40, 9);
    private final Map<String, Map<String, Double>> plans = new java.util.LinkedHashMap<>();
    private final List<VolumeLoad> volumes = new ArrayList<>();
    private final List<Disturbance> disturbances = new ArrayList<>();
    private int lineNumber;

    Scenario parse(String text) {
      for (String raw : text.split("\n", -1)) {
        lineNumber++;
        String[] words = raw.replaceFirst("#.*", "").strip().split("\\s+");
        if (!words[0].isEmpty()) {
          parseLine(words);
        }
      }
      for (VolumeLoad load : volumes) {
        if (!exampleSettings && !plans.containsKey(load.plan())) {
          throw new ParseException(lineNumber, "volume " + load.volume() + ": plan " + load.plan()
              + " is not declared");
        }
      }
      if (volumes.isEmpty()) {
        throw new ParseException(lineNumber, "no volume is declared");
      }
      disturbances.sort(java.util.Comparator.comparingDouble(Disturbance::at));
      return new Scenario(seconds, seed, gateways, lanes, exampleSettings, nodes, plans, volumes,
          disturbances);
    }

    private void parseLine(String[] words) {
      switch (words[0]) {
        case "day" -> seconds = parseNumber(words, 1, 1, 86_400);
        case "seed" -> seed = (long) parseNumber(words, 1, 0, 1e15);
        case "gateways" -> gateways = (int) parseNumber(words, 1, 1, MAX_GATEWAYS);
        case "lanes" -> lanes = (int) parseNumber(words, 1, 1, 16);
        case "settings" -> {
          if (words.length != 2 || !words[1].equals("example")) {
            throw new ParseException(lineNumber, "settings: only 'example' is supported");
          }
          exampleSettings = true;
        }
        case "nodes" -> {
          Map<String, Double> numbers = parseNumbers(words, 1, NODE_KEYS);
          nodes = new Nodes(numbers.getOrDefault("count", 6.0).intValue(), numbers.getOrDefault("cores", 4.0)
              .intValue(),
              numbers.getOrDefault("queue", 64.0).intValue(), numbers.getOrDefault("base-us", 1_000.0)
                  .longValue(), numbers
                      .getOrDefault("net-us", 40.0)
                      .longValue(), numbers.getOrDefault("engine-us", 9.0));
          if (nodes.count() < 1 || nodes.count() > MAX_NODES) {
            throw new ParseException(lineNumber, "nodes: count must be from 1 to " + MAX_NODES);
          }
        }
        case "plan" -> plans.put(parseName(words), parseNumbers(words, 2, PLAN_KEYS));
        case "volume" -> parseVolume(words);
        case "at" -> parseDisturbance(words);
        default -> throw new ParseException(lineNumber, "unknown keyword '" + words[0] + "'");
      }
    }

    private void parseVolume(String[] words) {
      String plan = extractValue(words, "plan");
      ArrivalProcess.Shape shape;
      String shapeKeyword = extractValue(words, "shape");
      Map<String, Double> numbers = parseNumbers(words, 2, VOLUME_KEYS);
      try {
        shape = ArrivalProcess.Shape.of(shapeKeyword, numbers.getOrDefault("period", 0.0), numbers
            .getOrDefault("swing", 0.0));
      } catch (IllegalArgumentException e) {
        throw new ParseException(lineNumber, "volume " + words[1] + ": " + e.getMessage());
      }
      int copies = numbers.getOrDefault("copies", 1.0).intValue();
      if (copies < 1 || copies > 100_000) {
        throw new ParseException(lineNumber, "volume " + words[1] + ": copies must be from 1 to 100,000");
      }
      int maxGateways = numbers.getOrDefault("hosts", 0.0).intValue();
      int firstGateway = numbers.getOrDefault("first", 0.0).intValue();
      for (int i = 0; i < copies; i++) {
        volumes.add(new VolumeLoad(copies == 1 ? parseName(words) : parseName(words) + "-" + i, plan, numbers
            .getOrDefault(
                "size-mib", 24.0)
            .intValue(), numbers.getOrDefault("rate", 50.0), numbers.getOrDefault("reads", 0.6), numbers
                .getOrDefault(
                    "most-blocks",
                    4.0)
                .intValue(), numbers.getOrDefault("depth", 64.0).intValue(), numbers.getOrDefault("clients",
                    1.0)
                    .intValue(),
            shape, maxGateways, numbers.getOrDefault("spread", 0.0).intValue(), firstGateway + i
                * maxGateways));
      }
      VolumeLoad load = volumes.get(volumes.size() - 1);
      if (!(load.rate() > 0) || load.maxBlocks() < 1 || load.maxBlocks() > 256 || load.depth() < 1 || load
          .depth() > 512
          || load.clients() < 1 || load.sizeMib() < 1 || load.sizeMib() > 1_024) {
        throw new ParseException(lineNumber, "volume " + load.volume() + ": a value is out of range");
      }
    }

    private void parseDisturbance(String[] words) {
      double at = parseNumber(words, 1, 0, 86_400);
      String kind = words.length > 2 ? words[2] : "";
      if (!KINDS.contains(kind)) {
        throw new ParseException(lineNumber, "unknown disturbance '" + kind + "'; known kinds: "
            + new java.util.TreeSet<>(
                KINDS));
      }
      String target = extractValue(words, "target");
      Map<String, Double> numbers = parseNumbers(words, 3, DISTURBANCE_KEYS);
      disturbances.add(new Disturbance(at, kind, target, numbers.getOrDefault("for", 5.0), numbers
          .getOrDefault("part", 0.2),
          numbers
              .getOrDefault("size", 1.0)));
    }

    private String parseName(String[] words) {
      if (words.length < 2 || !words[1].matches("[A-Za-z0-9][A-Za-z0-9._-]*")) {
        throw new ParseException(lineNumber, words[0] + ": expected a name");
      }
      return words[1];
    }

    /** Removes {@code key} and the word after it from the line and returns that word; empty if the key is
     * absent. */
    private static String extractValue(String[] words, String key) {
      for (int i = 1; i + 1 < words.length; i++) {
        if (words[i].equals(key)) {
          String value = words[i + 1];
          words[i] = "";
          words[i + 1] = "";
          return value;
        }
      }
      return "";
    }

    private Map<String, Double> parseNumbers(String[] words, int from, Set<String> known) {
      Map<String, Double> numbers = new HashMap<>();
      for (int i = from; i < words.length; i++) {
        if (words[i].isEmpty()) {
          continue;
        }
        if (!known.contains(words[i])) {
          throw new ParseException(lineNumber, words[0] + ": unknown keyword '" + words[i] + "'");
        }
        numbers.put(words[i], parseNumber(words, i + 1, 0, 1e12));
        i++;
      }
      return numbers;
    }

    private double parseNumber(String[] words, int i, double min, double max) {
      String word = i < words.length ? words[i] : "end of line";
      try {
        double number = Double.parseDouble(word);
        if (number >= min && number <= max) {
          return number;
        }
      } catch (NumberFormatException e) {
        throw new ParseException(lineNumber, words[0] + ": expected a number, found '" + word + "'");
      }
      throw new ParseException(lineNumber, words[0] + ": " + word + " is not in the range from " + min
          + " to " + max);
    }
  }
}
