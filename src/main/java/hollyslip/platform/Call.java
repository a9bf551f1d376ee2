package hollyslip.platform;

import hollyslip.HostScheduler.Result;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.Future;
import java.util.function.LongFunction;

/** One request to one disk server: an attempt or a probe. It ends once, however often things happen to it. */
final class Call {
  /** What came back; headers and body are null where there was no answer. */
  interface Listener {
    void ended(Result result, long tookUs, HttpHeaders headers, byte[] body);
  }

  /** Whether the first byte may still be written: asked at the last moment, as looking may take its time. */
  interface Wanted {
    boolean now();
  }

  final DiskServer to;
  final long startedAt;
  /** us on the module's clock. */
  final long giveUpAt;
  /** Makes the bytes, given how long the answer is waited for, us. */
  final LongFunction<ByteBuf> bytes;
  final Wanted wanted;
  private final Listener listener;
  DiskConnection connection;
  Future<?> timeout;
  /** The last byte was given to the system. */
  boolean written;
  private boolean ended;

  Call(DiskServer to, long startedAt, long giveUpAt, LongFunction<ByteBuf> bytes, Wanted wanted,
      Listener listener) {
    this.to = to;
    this.startedAt = startedAt;
    this.giveUpAt = giveUpAt;
    this.bytes = bytes;
    this.wanted = wanted;
    this.listener = listener;
  }

  boolean ended() {
    return ended;
  }

  void end(Result result, long now, HttpHeaders headers, byte[] body) {
    if (ended) {
      return;
    }
    ended = true;
    connection = null;
    if (timeout != null) {
      timeout.cancel(false);
    }
    to.calls--;
    listener.ended(result, now - startedAt, headers, body);
  }

  void end(Result result, long now) {
    end(result, now, null, null);
  }
}
