package hollyslip.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A scripted day: nodes, plans, volumes with their load, and what goes wrong when. Read from a small text of
 * our own (docs/replay.md): a line a fact, words and named figures, {@code #} for comments. Free of I/O.
 *
 * @param seconds
 *          how long the load lasts
 * @param seed
 *          of all that is drawn
 * @param gateways
 *          gateway processes
 * @param lanes
 *          cores of each
 * @param example
 *          whether the settings that ship are run, with their volumes and plans
 * @param nodes
 *          the stand-ins
 * @param plans
 *          plans by name, with their figures
 * @param volumes
 *          volumes and their load
 * @param troubles
 *          what goes wrong, by time */
public record Day(double seconds, long seed, int gateways, int lanes, boolean example, Nodes nodes,
    Map<String, Map<String, Double>> plans, List<Load> volumes, List<Trouble> troubles) {

  /** The stand-ins: all alike but for their seeds. */
  public record Nodes(int count, int cores, int queue, long baseUs) {}

  /** A volume and what its clients ask: {@code rate} requests a second over all gateways. */
  public record Load(String volume, String plan, int sizeMib, double rate, double reads, int mostBlocks,
      int depth, int clients) {}

  /** Something that goes wrong.
   *
   * @param at
   *          s after the start
   * @param kind
   *          one of {@link #KINDS}
   * @param target
   *          name of a node, volume or plan; empty: drawn by {@code part}
   * @param seconds
   *          how long it lasts
   * @param part
   *          part of the nodes or volumes struck
   * @param size
   *          how bad, as the kind says */
  public record Trouble(double at, String kind, String target, double seconds, double part, double size) {}

  /** Kinds of trouble that can be played. */
  public static final Set<String> KINDS = Set.of("stall", "vanish", "hang", "fast-errors", "burst",
      "plan-burst", "volume-burst", "hot-volumes", "scan", "heavy-tail", "list-down", "gateway-crash",
      "reconnect", "answer-lost", "retry-abuse", "mass-restart", "preempt", "drain", "late-write", "slow",
      "full", "client-vanish");

  private static final Set<String> NODE_WORDS = Set.of("count", "cores", "queue", "base-us");
  private static final Set<String> PLAN_WORDS = Set.of("rate", "reserve", "weight", "price", "limit",
      "limit-burst", "limit-slack");
  private static final Set<String> VOLUME_WORDS = Set.of("plan", "size-mib", "rate", "reads", "most-blocks",
      "depth", "clients");
  private static final Set<String> TROUBLE_WORDS = Set.of("target", "for", "part", "size");

  /** Text that is not a day; names the line. */
  public static final class Wrong extends IllegalArgumentException {
    Wrong(int line, String what) {
      super("line " + line + ": " + what);
    }
  }

  /** Reads a day. */
  public static Day parse(String text) {
    return new Reader().read(text);
  }

  private static final class Reader {
    private double seconds = 60;
    private long seed = 1;
    private int gateways = 1;
    private int lanes = 1;
    private boolean example;
    private Nodes nodes = new Nodes(6, 4, 64, 1_000);
    private final Map<String, Map<String, Double>> plans = new java.util.LinkedHashMap<>();
    private final List<Load> volumes = new ArrayList<>();
    private final List<Trouble> troubles = new ArrayList<>();
    private int line;

    Day read(String text) {
      for (String raw : text.split("\n", -1)) {
        line++;
        String[] words = raw.replaceFirst("#.*", "").strip().split("\\s+");
        if (!words[0].isEmpty()) {
          fact(words);
        }
      }
      for (Load l : volumes) {
        if (!example && !plans.containsKey(l.plan())) {
          throw new Wrong(line, "volume " + l.volume() + ": plan " + l.plan() + " is not given");
        }
      }
      if (volumes.isEmpty()) {
        throw new Wrong(line, "no volume is given");
      }
      troubles.sort(java.util.Comparator.comparingDouble(Trouble::at));
      return new Day(seconds, seed, gateways, lanes, example, nodes, plans, volumes, troubles);
    }

    private void fact(String[] w) {
      switch (w[0]) {
        case "day" -> seconds = number(w, 1, 1, 86_400);
        case "seed" -> seed = (long) number(w, 1, 0, 1e15);
        case "gateways" -> gateways = (int) number(w, 1, 1, 64);
        case "lanes" -> lanes = (int) number(w, 1, 1, 16);
        case "settings" -> {
          if (w.length != 2 || !w[1].equals("example")) {
            throw new Wrong(line, "settings: only 'example' is known");
          }
          example = true;
        }
        case "nodes" -> {
          Map<String, Double> f = figures(w, 1, NODE_WORDS);
          nodes = new Nodes(f.getOrDefault("count", 6.0).intValue(), f.getOrDefault("cores", 4.0).intValue(),
              f.getOrDefault("queue", 64.0).intValue(), f.getOrDefault("base-us", 1_000.0).longValue());
          if (nodes.count() < 1 || nodes.count() > 64) {
            throw new Wrong(line, "nodes: count must be from 1 to 64");
          }
        }
        case "plan" -> plans.put(name(w), figures(w, 2, PLAN_WORDS));
        case "volume" -> volume(w);
        case "at" -> trouble(w);
        default -> throw new Wrong(line, "'" + w[0] + "' is not known");
      }
    }

    private void volume(String[] w) {
      String plan = take(w, "plan");
      Map<String, Double> f = figures(w, 2, VOLUME_WORDS);
      volumes.add(new Load(name(w), plan, f.getOrDefault("size-mib", 24.0).intValue(), f.getOrDefault("rate",
          50.0), f.getOrDefault("reads", 0.6), f.getOrDefault("most-blocks", 4.0).intValue(), f.getOrDefault(
              "depth", 64.0).intValue(), f.getOrDefault("clients", 1.0).intValue()));
      Load l = volumes.get(volumes.size() - 1);
      if (!(l.rate() > 0) || l.mostBlocks() < 1 || l.mostBlocks() > 256 || l.depth() < 1 || l.depth() > 512
          || l.clients() < 1 || l.sizeMib() < 1 || l.sizeMib() > 1_024) {
        throw new Wrong(line, "volume " + l.volume() + ": a figure is out of range");
      }
    }

    private void trouble(String[] w) {
      double at = number(w, 1, 0, 86_400);
      String kind = w.length > 2 ? w[2] : "";
      if (!KINDS.contains(kind)) {
        throw new Wrong(line, "trouble '" + kind + "' is not known; known are " + new java.util.TreeSet<>(
            KINDS));
      }
      String target = take(w, "target");
      Map<String, Double> f = figures(w, 3, TROUBLE_WORDS);
      troubles.add(new Trouble(at, kind, target, f.getOrDefault("for", 5.0), f.getOrDefault("part", 0.2), f
          .getOrDefault("size", 1.0)));
    }

    private String name(String[] w) {
      if (w.length < 2 || !w[1].matches("[A-Za-z0-9][A-Za-z0-9._-]*")) {
        throw new Wrong(line, w[0] + ": a name must follow");
      }
      return w[1];
    }

    /** The word after {@code key}, which is taken out of the line. */
    private static String take(String[] w, String key) {
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

    private Map<String, Double> figures(String[] w, int from, Set<String> known) {
      Map<String, Double> found = new HashMap<>();
      for (int i = from; i < w.length; i++) {
        if (w[i].isEmpty()) {
          continue;
        }
        if (!known.contains(w[i])) {
          throw new Wrong(line, w[0] + ": '" + w[i] + "' is not known");
        }
        found.put(w[i], number(w, i + 1, 0, 1e12));
        i++;
      }
      return found;
    }

    private double number(String[] w, int i, double least, double most) {
      String word = i < w.length ? w[i] : "nothing";
      try {
        double n = Double.parseDouble(word);
        if (n >= least && n <= most) {
          return n;
        }
      } catch (NumberFormatException e) {
        throw new Wrong(line, w[0] + ": a number must stand where '" + word + "' does");
      }
      throw new Wrong(line, w[0] + ": " + word + " is not from " + least + " to " + most);
    }
  }
}
