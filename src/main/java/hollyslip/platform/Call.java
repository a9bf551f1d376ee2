package hollyslip.platform;

import hollyslip.HostScheduler.Result;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.Future;
import java.util.function.LongFunction;

/** One request to one disk server: an attempt or a probe. It ends exactly once; later results are ignored. */
final class Call {
  /** Receives the result; headers and body are null if there was no response. */
  interface Listener {
    void onEnd(Result result, long latencyUs, HttpHeaders headers, byte[] body);
  }

  /** Whether the request may still be sent. Evaluated last, just before its first byte is written, as the
   * check may be slow. */
  interface SendCheck {
    boolean maySend();
  }

  final DiskServer server;
  final long startedAt;
  /** us on the scheduler's clock. */
  final long timeoutAt;
  /** Encodes the request, given how long its response is waited for, us. */
  final LongFunction<ByteBuf> requestEncoder;
  final SendCheck sendCheck;
  private final Listener listener;
  DiskConnection connection;
  Future<?> timeoutTask;
  /** The whole request was handed to the operating system. */
  boolean written;
  private boolean ended;

  Call(DiskServer server, long startedAt, long timeoutAt, LongFunction<ByteBuf> requestEncoder,
      SendCheck sendCheck, Listener listener) {
    this.server = server;
    this.startedAt = startedAt;
    this.timeoutAt = timeoutAt;
    this.requestEncoder = requestEncoder;
    this.sendCheck = sendCheck;
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
    server.activeCalls--;
    listener.onEnd(result, now - startedAt, headers, body);
  }

  void end(Result result, long now) {
    end(result, now, null, null);
  }
}
