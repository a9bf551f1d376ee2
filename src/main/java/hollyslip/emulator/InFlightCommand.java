package hollyslip.emulator;

import hollyslip.engine.Attempt;
import hollyslip.node.Nbd;
import hollyslip.volume.IoKind;
import java.nio.ByteBuffer;
import java.util.List;

/** An attempt on its way to a node and back. */
final class InFlightCommand {
  final Attempt attempt;
  final EmulatedConnection connection;
  final long cookie;
  final int kind;
  final long offset;
  final long length;
  final String export;
  /** ID of a write, which stands for the data written. */
  final long writeId;
  /** When it was sent, and when the node received it. */
  long sentUs, receivedUs;
  /** Whether its outcome has been reported to the engine. */
  boolean outcomeReported;
  /** Whether the engine has withdrawn it. */
  boolean withdrawn;

  InFlightCommand(Attempt attempt, EmulatedConnection link) {
    this.attempt = attempt;
    this.connection = link;
    cookie = attempt.requestId() << 12 | attempt.number();
    kind = switch (attempt.kind()) {
      case READ -> Nbd.CMD_READ;
      case WRITE -> Nbd.CMD_WRITE;
      case FLUSH -> Nbd.CMD_FLUSH;
      case DISCARD -> Nbd.CMD_TRIM;
      case WRITE_ZEROES -> Nbd.CMD_WRITE_ZEROES;
    };
    offset = attempt.offset();
    length = attempt.length();
    export = "shard-" + attempt.shard();
    List<ByteBuffer> data = attempt.data();
    boolean marked = attempt.kind() == IoKind.WRITE && !data.isEmpty() && data.get(0)
        .remaining() >= Long.BYTES;
    writeId = marked ? data.get(0).getLong(data.get(0).position()) : 0;
  }
}
