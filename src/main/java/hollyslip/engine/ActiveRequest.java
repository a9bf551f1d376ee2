package hollyslip.engine;

import hollyslip.HostScheduler;
import hollyslip.HostScheduler.RequestClass;
import hollyslip.door.AdmissionQueue;
import hollyslip.volume.Volume;
import java.util.List;

/** A request that the engine has taken, until its client's data is free again; as a letter it says that it
 * has come. */
final class ActiveRequest implements Runnable {
  final Io io;
  final Volume volume;
  final RequestClass requestClass;
  final long takenAt;
  final long deadline;
  final AnswerAggregator answers;
  private final Engine engine;
  List<SubRequest> subRequests = List.of();
  /** At the door, then inside. */
  AdmissionQueue.Ticket<ActiveRequest> ticket;
  /** Ends its wait at the door. */
  TimerQueue.Timer admissionTimer;
  /** Counted there; null: not. */
  Engine.VolumeState volumeState;
  long admittedAt;
  /** Whether it had to wait at the door. */
  boolean queuedForAdmission;
  boolean answered;
  boolean released;
  /** Attempts whose outcome is not told yet: they may touch the data. */
  int pendingAttempts;

  ActiveRequest(Engine engine, Io io, Volume volume, RequestClass rules, long takenAt) {
    this.engine = engine;
    this.io = io;
    this.volume = volume;
    this.requestClass = rules;
    this.takenAt = takenAt;
    deadline = takenAt + (io.remainingUs() > 0 ? io.remainingUs() : rules == null ? 0 : rules.deadlineUs());
    answers = new AnswerAggregator(rules == null || rules.effect() == HostScheduler.Effect.SAFE);
  }

  /** What the client may be told for such an answer. Guards against "refused", which says that trying again
   * is harmless, of a change that a process before this one may have done. Harm: a change that never ran is
   * answered as failed. */
  Answer clientAnswer(Answer answer) {
    boolean unsure = io.resumed() && requestClass != null && requestClass.effect() != HostScheduler.Effect.SAFE;
    return unsure && answer.kind() == Answer.Kind.REFUSED ? Answer.FAILED : answer;
  }

  Engine engine() {
    return engine;
  }

  @Override
  public void run() {
    engine.accept(this);
  }
}
