package hollyslip.recovery;

import java.util.Collection;

/** Which epoch a gateway takes, and which of two gateways of one name goes on: decided from its own record
 * and from what nodes say, free of I/O. Nodes let one holder of a name through at a time, the one of the
 * newest epoch, so a wrong guess here ends service, never order.
 *
 * <p>
 * Guards against a state folder that is lost or restored from an older copy: its epoch begins again, and
 * nodes that saw a newer one run nothing of it. Harm: connections that a host left open when it lost its
 * power look like a living gateway until their node gives them up, and hold a start back. */
public final class Succession {
  private Succession() {}

  /** Who holds a name.
   *
   * @param epoch
   *          grows with each start; 0: nobody
   * @param instance
   *          drawn at each start: tells two processes of one epoch apart */
  public record Holder(long epoch, long instance) {
    public static final Holder NOBODY = new Holder(0, 0);

    private boolean sameAs(Holder other) {
      return epoch == other.epoch && instance == other.instance;
    }
  }

  /** What a node knows of a name: its newest holder, and how many connections of that one are open there. */
  public record Known(Holder holder, int open) {}

  /** What is to be done. */
  public enum Verdict {
    /** Go on as the holder. */
    GO_ON,
    /** Take {@link Step#epoch} and go on with it. */
    TAKE,
    /** Another one lives: end. */
    YIELD
  }

  /** A verdict, with the epoch for {@link AnswerAggregator#TAKE} and the holder that decided it. */
  public record Step(Verdict verdict, long epoch, Holder other) {}

  /** At a start: {@code recorded} is the epoch on our disk, 0 without one. Who lives with an epoch that our
   * record does not have is another gateway; open connections of our own record's epoch are what a process
   * left that used the same folder. */
  public static Step start(long recorded, Collection<Known> heard) {
    Holder newest = Holder.NOBODY;
    Holder living = null;
    for (Known k : heard) {
      newest = k.holder.epoch > newest.epoch ? k.holder : newest;
      if (k.open > 0 && k.holder.epoch > recorded && (living == null || k.holder.epoch > living.epoch)) {
        living = k.holder;
      }
    }
    return living != null
        ? new Step(Verdict.YIELD, 0, living)
        : new Step(Verdict.TAKE, Math.max(recorded, newest.epoch) + 1, newest);
  }

  /** As {@link #start} when an operator says that no other one lives. */
  public static Step takeOver(long recorded, Collection<Known> heard) {
    return start(recorded, heard.stream().map(k -> new Known(k.holder, 0)).toList());
  }

  /** In service: a node told who holds our name there after it had heard of us. Of two with one epoch the one
   * with the higher instance goes on, so that both decide the same. */
  public static Step heard(Holder mine, Known told) {
    Holder other = told.holder;
    if (other.epoch < mine.epoch || other.sameAs(mine)) {
      return new Step(Verdict.GO_ON, mine.epoch, other);
    }
    boolean wins = told.open == 0 || other.epoch == mine.epoch && mine.instance > other.instance;
    return wins
        ? new Step(Verdict.TAKE, other.epoch + 1, other)
        : new Step(Verdict.YIELD, 0, other);
  }
}
