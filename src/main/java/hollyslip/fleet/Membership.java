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
  private final long coldUs;
  private final Consumer<NodeList> told;
  private final Map<Long, Known> nodes = new TreeMap<>();

  private static final class Known {
    Listed listed;
    boolean booted;
    long boot;
  }

  /** @param coldUs
   *          how long a started node is cold, us
   * @param told
   *          hears every change */
  public Membership(long coldUs, Consumer<NodeList> told) {
    this.coldUs = coldUs;
    this.told = told;
  }

  /** The operator's whole list: nodes not named are gone. A start that was seen here stays known, whatever an
   * older list says. */
  public synchronized void replace(List<Listed> list) {
    Map<Long, Known> before = new TreeMap<>(nodes);
    nodes.clear();
    for (Listed l : list) {
      Known k = before.getOrDefault(l.node(), new Known());
      long born = Math.max(l.bornUs(), k.listed == null ? 0 : k.listed.bornUs());
      k.listed = new Listed(l.node(), l.zone(), l.cell(), l.state(), born);
      nodes.put(l.node(), k);
    }
    told.accept(new NodeList(true, list()));
  }

  /** One node's state changed: the operator's word. False: it is not listed. */
  public synchronized boolean state(long node, NodeState state) {
    Known k = nodes.get(node);
    if (k == null) {
      return false;
    }
    k.listed = new Listed(node, k.listed.zone(), k.listed.cell(), state, k.listed.bornUs());
    told.accept(new NodeList(false, List.of(k.listed)));
    return true;
  }

  /** A node said when it started: {@code boot} tells its starts apart. Whether this start is news and the
   * node may still be cold; a first sight of one that started long ago is neither. */
  public synchronized boolean started(long node, long boot, long ageUs, long now) {
    Known k = nodes.get(node);
    if (k == null || k.booted && k.boot == boot) {
      return false;
    }
    k.booted = true;
    k.boot = boot;
    if (ageUs >= coldUs) {
      return false;
    }
    k.listed = new Listed(node, k.listed.zone(), k.listed.cell(), k.listed.state(), Math.max(1, now - ageUs));
    told.accept(new NodeList(false, List.of(k.listed)));
    return true;
  }

  /** The list as it stands. */
  public synchronized List<Listed> list() {
    List<Listed> all = new ArrayList<>();
    nodes.values().forEach(k -> all.add(k.listed));
    return all;
  }

  /** Tells the whole list again. */
  public synchronized void tellAgain() {
    told.accept(new NodeList(true, list()));
  }
}
