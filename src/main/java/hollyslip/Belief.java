package hollyslip;

import java.util.List;

/** What the module holds true of one node, for a trace beside what passes on the sockets. Read only.
 *
 * @param out
 *          requests out that count
 * @param held
 *          requests that wait here
 * @param window
 *          requests that may be out
 * @param expectedUs
 *          latency of a request sent now
 * @param silent
 *          the last attempts had no answer */
public record Belief(long node, HostScheduler.NodeState state, int out, int held, double window,
    double expectedUs, boolean silent, boolean cold) {

  /** One for each node that the module knows, by its number. */
  public static List<Belief> of(Choice choice) {
    return choice.nodes.values()
        .stream()
        .map(n -> new Belief(n.id, n.state, n.out, n.held, n.window, n.expected(), n.silent, n.cold()))
        .toList();
  }
}
