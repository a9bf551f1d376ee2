package hollyslip.fleet;

import hollyslip.HostScheduler.Listed;
import hollyslip.HostScheduler.NodeList;
import hollyslip.HostScheduler.NodeState;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/** What the module is told of the nodes: the operator's list, and starts that were seen on the way to a node.
 * Free of I/O and clock; not safe for several threads at once. */
public final class Membership {
  private final long coldPeriodUs;
  private final Consumer<NodeList> listener;
  private final Map<Long, KnownNode> nodes = new TreeMap<>();

  private static final class KnownNode {
    Listed entry;
    boolean bootSeen;
    long bootId;
  }

  /** @param coldUs
   *          how long a started node is cold, us
   * @param told
   *          hears every change */
  public Membership(long coldUs, Consumer<NodeList> told) {
    this.coldPeriodUs = coldUs;
    this.listener = told;
  }

  /** The operator's whole list: nodes not named are gone. A start that was seen here stays known, whatever an
   * older list says. */
  public synchronized void replace(List<Listed> list) {
    Map<Long, KnownNode> before = new TreeMap<>(nodes);
    nodes.clear();
    for (Listed l : list) {
      KnownNode k = before.getOrDefault(l.node(), new KnownNode());
      long born = Math.max(l.bornUs(), k.entry == null ? 0 : k.entry.bornUs());
      k.entry = new Listed(l.node(), l.zone(), l.cell(), l.state(), born);
      nodes.put(l.node(), k);
    }
    listener.accept(new NodeList(true, list()));
  }

  /** One node's state changed: the operator's word. False: it is not listed. */
  public synchronized boolean state(long node, NodeState state) {
    KnownNode k = nodes.get(node);
    if (k == null) {
      return false;
    }
    k.entry = new Listed(node, k.entry.zone(), k.entry.cell(), state, k.entry.bornUs());
    listener.accept(new NodeList(false, List.of(k.entry)));
    return true;
  }

  /** A node said when it started: {@code boot} tells its starts apart. Whether this start is news and the
   * node may still be cold; a first sight of one that started long ago is neither. */
  public synchronized boolean started(long node, long boot, long ageUs, long now) {
    KnownNode k = nodes.get(node);
    if (k == null || k.bootSeen && k.bootId == boot) {
      return false;
    }
    k.bootSeen = true;
    k.bootId = boot;
    if (ageUs >= coldPeriodUs) {
      return false;
    }
    k.entry = new Listed(node, k.entry.zone(), k.entry.cell(), k.entry.state(), Math.max(1, now - ageUs));
    listener.accept(new NodeList(false, List.of(k.entry)));
    return true;
  }

  /** The list as it stands. */
  public synchronized List<Listed> list() {
    List<Listed> all = new ArrayList<>();
    nodes.values().forEach(k -> all.add(k.entry));
    return all;
  }

  /** Tells the whole list again. */
  public synchronized void tellAgain() {
    listener.accept(new NodeList(true, list()));
  }
}
