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
    void onEnd(Result result, long tookUs, HttpHeaders headers, byte[] body);
  }

  /** Whether the first byte may still be written: asked at the last moment, as looking may take its time. */
  interface SendCheck {
    boolean maySend();
  }

  final DiskServer server;
  final long startedAt;
  /** us on the module's clock. */
  final long timeoutAt;
  /** Makes the bytes, given how long the answer is waited for, us. */
  final LongFunction<ByteBuf> requestEncoder;
  final SendCheck sendCheck;
  private final Listener listener;
  DiskConnection connection;
  Future<?> timeoutTask;
  /** The last byte was given to the system. */
  boolean written;
  private boolean ended;

  Call(DiskServer to, long startedAt, long giveUpAt, LongFunction<ByteBuf> bytes, SendCheck wanted,
      Listener listener) {
    this.server = to;
    this.startedAt = startedAt;
    this.timeoutAt = giveUpAt;
    this.requestEncoder = bytes;
    this.sendCheck = wanted;
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
    if (timeoutTask != null) {
      timeoutTask.cancel(false);
    }
    server.calls--;
    listener.onEnd(result, now - startedAt, headers, body);
  }

  void end(Result result, long now) {
    end(result, now, null, null);
  }
}
