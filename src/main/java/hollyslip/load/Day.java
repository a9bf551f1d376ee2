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
 * @param troubles
 *          disturbances in order of time */
public record Day(double seconds, long seed, int gateways, int lanes, boolean exampleSettings, Nodes nodes,
    Map<String, Map<String, Double>> plans, List<VolumeLoad> volumes, List<Disturbance> troubles) {

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
  public static final class Wrong extends IllegalArgumentException {
    Wrong(int line, String what) {
      super("line " + line + ": " + what);
    }
  }

  /** Parses a scenario. */
  public static Day parse(String text) {
    return new Parser().parse(text);
  }

  /** Checks that the scenario can be played over sockets.
   *
   * @throws IllegalArgumentException
   *           if it is too large, or contains a disturbance that only the emulator supports */
  public void checkPlayableOverSockets() {
    if (nodes.count() > MAX_ON_SOCKETS || gateways > MAX_ON_SOCKETS) {
      throw new IllegalArgumentException("at most " + MAX_ON_SOCKETS
          + " nodes and gateways are played over sockets; hollyslip emulate plays more");
    }
    for (Disturbance t : troubles) {
      if (EMULATOR_ONLY_KINDS.contains(t.kind())) {
        throw new IllegalArgumentException("trouble '" + t.kind() + "' at " + t.at()
            + " is played by hollyslip emulate only");
      }
    }
  }

  /** Formats the scenario as text that {@link #parse} parses to an equal scenario. */
  public String text() {
    StringBuilder s = new StringBuilder();
    s.append("day ").append(seconds).append("\nseed ").append(seed).append("\ngateways ").append(gateways);
    s.append("\nlanes ").append(lanes).append(exampleSettings ? "\nsettings example" : "");
    s.append("\nnodes count ")
        .append(nodes.count())
        .append(" cores ")
        .append(nodes.cores())
        .append(" queue ");
    s.append(nodes.queue())
        .append(" base-us ")
        .append(nodes.baseUs())
        .append(" net-us ")
        .append(nodes.netUs());
    s.append(" engine-us ").append(nodes.engineUs()).append('\n');
    plans.forEach((name, figures) -> {
      s.append("plan ").append(name);
      new java.util.TreeMap<>(figures).forEach((k, v) -> s.append(' ').append(k).append(' ').append(v));
      s.append('\n');
    });
    volumes.forEach(v -> s.append(v.toText()).append('\n'));
    troubles.forEach(t -> s.append(t.toText()).append('\n'));
    return s.toString();
  }

  /** Returns a copy with other disturbances, sorted by time. */
  public Day with(List<Disturbance> others) {
    List<Disturbance> sorted = new ArrayList<>(others);
    sorted.sort(java.util.Comparator.comparingDouble(Disturbance::at));
    return new Day(seconds, seed, gateways, lanes, exampleSettings, nodes, plans, volumes, sorted);
  }

  /** Number of clients of a volume, over all its gateways. */
  public int clientCount(VolumeLoad v) {
    return v.clients() * gatewayCount(v);
  }

  /** Number of gateways that requests of a volume come through. */
  public int gatewayCount(VolumeLoad v) {
    return v.maxGateways() == 0 ? gateways : Math.min(v.maxGateways(), gateways);
  }

  /** Index of the gateway that a client uses. */
  public int gatewayOf(VolumeLoad v, int client) {
    return (v.firstGateway() + client % gatewayCount(v)) % gateways;
  }

  /** Returns a copy with the load multiplied by {@code factor}. */
  public Day times(double factor) {
    return new Day(seconds, seed, gateways, lanes, exampleSettings, nodes, plans, volumes.stream()
        .map(v -> v.scaledBy(factor))
        .toList(), troubles);
  }

  /** Returns a copy whose load lasts {@code s} seconds. */
  public Day lasting(double s) {
    return new Day(s, seed, gateways, lanes, exampleSettings, nodes, plans, volumes, troubles);
  }

  /** Returns a copy with another seed. */
  public Day with(long otherSeed) {
    return new Day(seconds, otherSeed, gateways, lanes, exampleSettings, nodes, plans, volumes, troubles);
  }

  private static final class Parser {
    private double seconds = 60;
    private long seed = 1;
    private int gateways = 1;
    private int lanes = 1;
    private boolean example;
    private Nodes nodes = new Nodes(6, 4, 64, 1_000, 40, 9);
    private final Map<String, Map<String, Double>> plans = new java.util.LinkedHashMap<>();
    private final List<VolumeLoad> volumes = new ArrayList<>();
    private final List<Disturbance> troubles = new ArrayList<>();
    private int lineNumber;

    Day parse(String text) {
      for (String raw : text.split("\n", -1)) {
        lineNumber++;
        String[] words = raw.replaceFirst("#.*", "").strip().split("\\s+");
        if (!words[0].isEmpty()) {
          parseLine(words);
        }
      }
      for (VolumeLoad l : volumes) {
        if (!example && !plans.containsKey(l.plan())) {
          throw new Wrong(lineNumber, "volume " + l.volume() + ": plan " + l.plan() + " is not given");
        }
      }
      if (volumes.isEmpty()) {
        throw new Wrong(lineNumber, "no volume is given");
      }
      troubles.sort(java.util.Comparator.comparingDouble(Disturbance::at));
      return new Day(seconds, seed, gateways, lanes, example, nodes, plans, volumes, troubles);
    }

    private void parseLine(String[] w) {
      switch (w[0]) {
        case "day" -> seconds = parseNumber(w, 1, 1, 86_400);
        case "seed" -> seed = (long) parseNumber(w, 1, 0, 1e15);
        case "gateways" -> gateways = (int) parseNumber(w, 1, 1, MAX_GATEWAYS);
        case "lanes" -> lanes = (int) parseNumber(w, 1, 1, 16);
        case "settings" -> {
          if (w.length != 2 || !w[1].equals("example")) {
            throw new Wrong(lineNumber, "settings: only 'example' is known");
          }
          example = true;
        }
        case "nodes" -> {
          Map<String, Double> f = parseNumbers(w, 1, NODE_KEYS);
          nodes = new Nodes(f.getOrDefault("count", 6.0).intValue(), f.getOrDefault("cores", 4.0).intValue(),
              f.getOrDefault("queue", 64.0).intValue(), f.getOrDefault("base-us", 1_000.0).longValue(), f
                  .getOrDefault("net-us", 40.0)
                  .longValue(), f.getOrDefault("engine-us", 9.0));
          if (nodes.count() < 1 || nodes.count() > MAX_NODES) {
            throw new Wrong(lineNumber, "nodes: count must be from 1 to " + MAX_NODES);
          }
        }
        case "plan" -> plans.put(parseName(w), parseNumbers(w, 2, PLAN_KEYS));
        case "volume" -> parseVolume(w);
        case "at" -> parseDisturbance(w);
        default -> throw new Wrong(lineNumber, "'" + w[0] + "' is not known");
      }
    }

    private void parseVolume(String[] w) {
      String plan = extractValue(w, "plan");
      ArrivalProcess.Shape shape;
      String word = extractValue(w, "shape");
      Map<String, Double> f = parseNumbers(w, 2, VOLUME_KEYS);
      try {
        shape = ArrivalProcess.Shape.of(word, f.getOrDefault("period", 0.0), f.getOrDefault("swing", 0.0));
      } catch (IllegalArgumentException e) {
        throw new Wrong(lineNumber, "volume " + w[1] + ": " + e.getMessage());
      }
      int copies = f.getOrDefault("copies", 1.0).intValue();
      if (copies < 1 || copies > 100_000) {
        throw new Wrong(lineNumber, "volume " + w[1] + ": copies must be from 1 to 100,000");
      }
      int hosts = f.getOrDefault("hosts", 0.0).intValue();
      int first = f.getOrDefault("first", 0.0).intValue();
      for (int i = 0; i < copies; i++) {
        volumes.add(new VolumeLoad(copies == 1 ? parseName(w) : parseName(w) + "-" + i, plan, f.getOrDefault(
            "size-mib", 24.0)
            .intValue(), f.getOrDefault("rate", 50.0), f.getOrDefault("reads", 0.6), f.getOrDefault(
                "most-blocks",
                4.0).intValue(), f.getOrDefault("depth", 64.0).intValue(), f.getOrDefault("clients", 1.0)
                    .intValue(),
            shape, hosts, f.getOrDefault("spread", 0.0).intValue(), first + i * hosts));
      }
      VolumeLoad l = volumes.get(volumes.size() - 1);
      if (!(l.rate() > 0) || l.maxBlocks() < 1 || l.maxBlocks() > 256 || l.depth() < 1 || l.depth() > 512
          || l.clients() < 1 || l.sizeMib() < 1 || l.sizeMib() > 1_024) {
        throw new Wrong(lineNumber, "volume " + l.volume() + ": a figure is out of range");
      }
    }

    private void parseDisturbance(String[] w) {
      double at = parseNumber(w, 1, 0, 86_400);
      String kind = w.length > 2 ? w[2] : "";
      if (!KINDS.contains(kind)) {
        throw new Wrong(lineNumber, "trouble '" + kind + "' is not known; known are "
            + new java.util.TreeSet<>(
                KINDS));
      }
      String target = extractValue(w, "target");
      Map<String, Double> f = parseNumbers(w, 3, DISTURBANCE_KEYS);
      troubles.add(new Disturbance(at, kind, target, f.getOrDefault("for", 5.0), f.getOrDefault("part", 0.2),
          f
              .getOrDefault("size", 1.0)));
    }

    private String parseName(String[] w) {
      if (w.length < 2 || !w[1].matches("[A-Za-z0-9][A-Za-z0-9._-]*")) {
        throw new Wrong(lineNumber, w[0] + ": a name must follow");
      }
      return w[1];
    }

    /** Removes {@code key} and the word after it from the line and returns that word; empty if the key is
     * absent. */
    private static String extractValue(String[] w, String key) {
      for (int i = 1; i + 1 < w.length; i++) {
        if (w[i].equals(key)) {
          String value = w[i + 1];
          w[i] = "";
          w[i + 1] = "";
          return value;
        }
      }
      return "";
    }

    private Map<String, Double> parseNumbers(String[] w, int from, Set<String> known) {
      Map<String, Double> found = new HashMap<>();
      for (int i = from; i < w.length; i++) {
        if (w[i].isEmpty()) {
          continue;
        }
        if (!known.contains(w[i])) {
          throw new Wrong(lineNumber, w[0] + ": '" + w[i] + "' is not known");
        }
        found.put(w[i], parseNumber(w, i + 1, 0, 1e12));
        i++;
      }
      return found;
    }

    private double parseNumber(String[] w, int i, double least, double most) {
      String word = i < w.length ? w[i] : "nothing";
      try {
        double n = Double.parseDouble(word);
        if (n >= least && n <= most) {
          return n;
        }
      } catch (NumberFormatException e) {
        throw new Wrong(lineNumber, w[0] + ": a number must stand where '" + word + "' does");
      }
      throw new Wrong(lineNumber, w[0] + ": " + word + " is not from " + least + " to " + most);
    }
  }
}
