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
  /** What a write writes: a number of its own stands for the bytes. */
  final long writeId;
  /** When its first byte left, and when the node had it. */
  long sentUs, receivedUs;
  /** Whether the engine has heard what came of it. */
  boolean outcomeReported;
  /** Whether the engine has given it up. */
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
