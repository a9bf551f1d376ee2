package hollyslip.load;

import hollyslip.engine.Engine;
import hollyslip.volume.IoKind;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.concurrent.locks.LockSupport;

/** Submits load to the ring of a gateway. Reconnects when the connection breaks; what was outstanding may be
 * lost with the client's ring. */
final class RingTarget implements OpenLoop.Target, AutoCloseable {
  /** Within this time of the due time, us, the thread polls the clock instead of sleeping. */
  private static final long SPIN_THRESHOLD_US = 1_500;

  private final RingClient client;
  private final Path socket;
  private final int depth;
  private final ByteBuffer writeBuffer;
  private int inFlight;
  private long writeCount;

  RingTarget(Path socket, int depth, int maxBytes) throws IOException {
    this.socket = socket;
    this.depth = depth;
    int queueSize = Integer.highestOneBit(Math.max(4, depth * 2 - 1));
    client = new RingClient(RingClient.Options.allFeatures(1, queueSize, maxBytes));
    writeBuffer = ByteBuffer.allocate(maxBytes);
    client.connect(socket);
  }

  @Override
  public boolean submit(OpenLoop.ScheduledRequest request) {
    if (inFlight >= depth) {
      return false;
    }
    boolean write = request.operation.kind() == IoKind.WRITE;
    if (write) {
      writeBuffer.clear();
      writeBuffer.putLong(0, ++writeCount);
    }
    boolean submitted = client.submit(0, request.operation.kind(), request.operation.offset(),
        request.operation
            .length(), write
                ? writeBuffer
                : null, (
                    status,
                    retryMs, data) -> {
                  inFlight--;
                  request.complete(status == 0
                      ? OpenLoop.End.SERVED
                      : status == 0x80 ? OpenLoop.End.REFUSED : OpenLoop.End.FAILED);
                });
    inFlight += submitted ? 1 : 0;
    return submitted;
  }

  @Override
  public void flush() {
    client.kick();
  }

  @Override
  public int poll() {
    return client.poll();
  }

  @Override
  public void awaitAnswers(long untilUs) {
    long remainingUs = untilUs - now();
    if (remainingUs > SPIN_THRESHOLD_US && !client.await((int) Math.min(100, (remainingUs - SPIN_THRESHOLD_US
        + 999)
        / 1_000))) {
      reconnect();
    } else {
      Thread.onSpinWait();
    }
  }

  private void reconnect() {
    client.detach();
    try {
      client.connect(socket);
    } catch (IOException e) {
      LockSupport.parkNanos(10_000_000);
    }
  }

  @Override
  public long now() {
    return Engine.monotonicMicros();
  }

  @Override
  public void close() {
    client.close();
  }
}
