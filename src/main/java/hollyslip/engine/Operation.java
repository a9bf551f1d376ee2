package hollyslip.engine;

import hollyslip.door.Door;
import hollyslip.volume.Volume;
import java.util.List;

/** A request that the engine has taken, until its client's data is free again. */
final class Operation {
  final Io io;
  final Volume volume;
  final String className;
  final long takenAt;
  final long deadline;
  final Verdict verdict;
  List<Piece> pieces = List.of();
  /** At the door, then inside. */
  Door.Place<Operation> place;
  boolean counted;
  long letInAt;
  boolean answered;
  boolean released;
  /** Attempts whose outcome is not told yet: they may touch the data. */
  int out;

  Operation(Io io, Volume volume, String className, boolean repeatable, long takenAt, long deadline) {
    this.io = io;
    this.volume = volume;
    this.className = className;
    this.takenAt = takenAt;
    this.deadline = deadline;
    verdict = new Verdict(repeatable);
  }
}
