package hollyslip.engine;

import hollyslip.HostScheduler;
import hollyslip.HostScheduler.RequestClass;
import hollyslip.admission.AdmissionQueue;
import hollyslip.volume.Volume;
import java.util.List;

/** A request held by the engine, from acceptance until its client's data is released. As a mailbox message it
 * announces its own arrival. */
final class ActiveRequest implements Runnable {
  final IoRequest io;
  final Volume volume;
  final RequestClass requestClass;
  final long acceptedAt;
  final long deadline;
  final AnswerAggregator answers;
  private final Engine engine;
  List<SubRequest> subRequests = List.of();
  /** Ticket of the admission queue: waiting at first, then admitted. */
  AdmissionQueue.Ticket<ActiveRequest> ticket;
  /** Ends the wait for admission before the deadline. */
  TimerQueue.Timer admissionTimer;
  /** State of the volume that counts this request; null if it is not counted. */
  Engine.VolumeState volumeState;
  long admittedAt;
  /** Whether it had to wait for admission. */
  boolean queuedForAdmission;
  boolean answered;
  boolean released;
  /** Attempts whose outcome has not been reported; they may still touch the data. */
  int pendingAttempts;

  ActiveRequest(Engine engine, IoRequest io, Volume volume, RequestClass requestClass, long acceptedAt) {
    this.engine = engine;
    this.io = io;
    this.volume = volume;
    this.requestClass = requestClass;
    this.acceptedAt = acceptedAt;
    deadline = acceptedAt + (io.remainingUs() > 0
        ? io.remainingUs()
        : requestClass == null ? 0 : requestClass.deadlineUs());
    answers = new AnswerAggregator(requestClass == null || requestClass
        .effect() == HostScheduler.Effect.SAFE);
  }

  /** Maps the combined answer to the one that the client may see. A refusal promises that a retry is
   * harmless, which cannot be said of a write that an earlier gateway process may have run: it is answered as
   * failed. Drawback: a write that never ran is reported as failed too. */
  Answer clientAnswer(Answer answer) {
    boolean mayHaveRun = io.resumed() && requestClass != null && requestClass
        .effect() != HostScheduler.Effect.SAFE;
    return mayHaveRun && answer.kind() == Answer.Kind.REFUSED ? Answer.FAILED : answer;
  }

  Engine engine() {
    return engine;
  }

  @Override
  public void run() {
    engine.accept(this);
  }
}
