package hollyslip.engine;

import hollyslip.HostScheduler;
import hollyslip.HostScheduler.RequestClass;
import hollyslip.door.Door;
import hollyslip.volume.Volume;
import java.util.List;

/** A request that the engine has taken, until its client's data is free again; as a letter it says that it
 * has come. */
final class Operation implements Runnable {
  final Io io;
  final Volume volume;
  final RequestClass rules;
  final long takenAt;
  final long deadline;
  final Verdict verdict;
  private final Engine engine;
  List<Piece> pieces = List.of();
  /** At the door, then inside. */
  Door.Place<Operation> place;
  /** Ends its wait at the door. */
  Timers.Entry patience;
  /** Counted there; null: not. */
  Engine.Served served;
  long letInAt;
  /** Whether it had to wait at the door. */
  boolean waited;
  boolean answered;
  boolean released;
  /** Attempts whose outcome is not told yet: they may touch the data. */
  int out;

  Operation(Engine engine, Io io, Volume volume, RequestClass rules, long takenAt) {
    this.engine = engine;
    this.io = io;
    this.volume = volume;
    this.rules = rules;
    this.takenAt = takenAt;
    deadline = takenAt + (io.remainingUs() > 0 ? io.remainingUs() : rules == null ? 0 : rules.deadlineUs());
    verdict = new Verdict(rules == null || rules.effect() == HostScheduler.Effect.SAFE);
  }

  /** What the client may be told for such an answer. Guards against "refused", which says that trying again
   * is harmless, of a change that a process before this one may have done. Harm: a change that never ran is
   * answered as failed. */
  Answer honest(Answer answer) {
    boolean unsure = io.resumed() && rules != null && rules.effect() != HostScheduler.Effect.SAFE;
    return unsure && answer.kind() == Answer.Kind.REFUSED ? Answer.FAILED : answer;
  }

  Engine engine() {
    return engine;
  }

  @Override
  public void run() {
    engine.take(this);
  }
}
