package hollyslip.recovery;

import java.util.Collection;

/** Decides which epoch a gateway takes, and which of two gateways with one name continues, from the gateway's
 * own epoch file and what nodes report; without I/O. For each name, nodes serve only the holder of the newest
 * epoch, so a wrong decision here can end service but never break ordering.
 *
 * <p>
 * This guards against a state directory that was lost or restored from an older copy: its epochs start over,
 * and nodes that saw a newer one would run nothing of it. Drawback: connections that a host left open when it
 * lost power look like a running gateway until their nodes drop them, and delay a start. */
public final class EpochElection {
  private EpochElection() {}

  /** Holder of a gateway name.
   *
   * @param epoch
   *          grows with each start; 0 if there is no holder
   * @param instance
   *          random number drawn at each start, which distinguishes two processes with the same epoch */
  public record Holder(long epoch, long instance) {
    public static final Holder NONE = new Holder(0, 0);

    private boolean sameAs(Holder other) {
      return epoch == other.epoch && instance == other.instance;
    }
  }

  /** What a node knows of a name: its newest holder and the number of that holder's open connections. */
  public record NodeView(Holder holder, int openConnections) {}

  /** What the gateway has to do. */
  public enum Action {
    /** Continue as the holder. */
    GO_ON,
    /** Take the epoch of this decision and continue with it. */
    TAKE,
    /** Another gateway is running: stop. */
    YIELD
  }

  /** What to do, with the epoch to take and the holder that led to it. */
  public record Decision(Action action, long epoch, Holder other) {}

  /** Decides at a start; {@code recorded} is the epoch on disk, 0 if there is none. A holder with open
   * connections and an epoch above the recorded one is another gateway. Open connections with the recorded
   * epoch were left by an earlier process that used the same directory. */
  public static Decision decideAtStart(long recorded, Collection<NodeView> reports) {
    Holder newest = Holder.NONE;
    Holder running = null;
    for (NodeView report : reports) {
      newest = report.holder.epoch > newest.epoch ? report.holder : newest;
      if (report.openConnections > 0 && report.holder.epoch > recorded
          && (running == null || report.holder.epoch > running.epoch)) {
        running = report.holder;
      }
    }
    return running != null
        ? new Decision(Action.YIELD, 0, running)
        : new Decision(Action.TAKE, Math.max(recorded, newest.epoch) + 1, newest);
  }

  /** Like {@link #decideAtStart}, when an operator asserts that no other gateway of the name is running. */
  public static Decision decideForcedTakeover(long recorded, Collection<NodeView> reports) {
    return decideAtStart(recorded, reports.stream().map(report -> new NodeView(report.holder, 0)).toList());
  }

  /** Decides in service, when a node reports the holder of the name after it learned of this gateway. Of two
   * with the same epoch the one with the higher instance continues, so that both decide the same. */
  public static Decision decideInService(Holder mine, NodeView report) {
    Holder other = report.holder;
    if (other.epoch < mine.epoch || other.sameAs(mine)) {
      return new Decision(Action.GO_ON, mine.epoch, other);
    }
    boolean wins = report.openConnections == 0 || other.epoch == mine.epoch && mine.instance > other.instance;
    return wins ? new Decision(Action.TAKE, other.epoch + 1, other) : new Decision(Action.YIELD, 0, other);
  }
}
