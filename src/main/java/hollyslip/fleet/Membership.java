package hollyslip.fleet;

import hollyslip.HostScheduler.NodeEntry;
import hollyslip.HostScheduler.NodeList;
import hollyslip.HostScheduler.NodeState;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/** The nodes as reported to the scheduler: the operator's list, combined with node starts that were observed
 * on connections. Without I/O or clock. Thread-safe; the listener runs while the lock is held. */
public final class Membership {
  private final long coldPeriodUs;
  private final Consumer<NodeList> listener;
  private final Map<Long, KnownNode> nodes = new TreeMap<>();

  private static final class KnownNode {
    NodeEntry entry;
    boolean bootSeen;
    long bootId;
  }

  /** @param coldPeriodUs
   *          how long a node is cold after its start, us
   * @param listener
   *          receives every change */
  public Membership(long coldPeriodUs, Consumer<NodeList> listener) {
    this.coldPeriodUs = coldPeriodUs;
    this.listener = listener;
  }

  /** Replaces the operator's list; nodes that are not in it are removed. An observed start is kept even if
   * the list is older. */
  public synchronized void replaceAll(List<NodeEntry> list) {
    Map<Long, KnownNode> previous = new TreeMap<>(nodes);
    nodes.clear();
    for (NodeEntry listed : list) {
      KnownNode known = previous.getOrDefault(listed.node(), new KnownNode());
      long startedAtUs = Math.max(listed.startedAtUs(), known.entry == null ? 0 : known.entry.startedAtUs());
      known.entry = new NodeEntry(listed.node(), listed.zone(), listed.cell(), listed.state(), startedAtUs);
      nodes.put(listed.node(), known);
    }
    listener.accept(new NodeList(true, list()));
  }

  /** Sets a node's state as the operator gives it. Returns false if the node is not listed. */
  public synchronized boolean setState(long node, NodeState state) {
    KnownNode known = nodes.get(node);
    if (known == null) {
      return false;
    }
    known.entry = new NodeEntry(node, known.entry.zone(), known.entry.cell(), state, known.entry
        .startedAtUs());
    listener.accept(new NodeList(false, List.of(known.entry)));
    return true;
  }

  /** Records the start that a node reports; {@code boot} distinguishes its starts. Returns whether this start
   * is new and the node may still be cold, which excludes the first contact with a node that started long
   * ago. */
  public synchronized boolean recordStart(long node, long boot, long ageUs, long now) {
    KnownNode known = nodes.get(node);
    if (known == null || known.bootSeen && known.bootId == boot) {
      return false;
    }
    known.bootSeen = true;
    known.bootId = boot;
    if (ageUs >= coldPeriodUs) {
      return false;
    }
    known.entry = new NodeEntry(node, known.entry.zone(), known.entry.cell(), known.entry.state(), Math.max(1,
        now - ageUs));
    listener.accept(new NodeList(false, List.of(known.entry)));
    return true;
  }

  /** The current list. */
  public synchronized List<NodeEntry> list() {
    List<NodeEntry> all = new ArrayList<>();
    nodes.values().forEach(known -> all.add(known.entry));
    return all;
  }

  /** Reports the whole list to the listener again. */
  public synchronized void republish() {
    listener.accept(new NodeList(true, list()));
  }
}
