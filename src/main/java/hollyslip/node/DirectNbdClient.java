package hollyslip.node;

import hollyslip.HostScheduler.Result;
import hollyslip.engine.Attempt;
import hollyslip.recovery.EpochElection.Holder;
import hollyslip.recovery.EpochElection.NodeView;
import hollyslip.volume.IoKind;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousChannelGroup;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.function.BiConsumer;

/** Node client without a gateway in front of it, as a baseline for benchmarks. Not thread-safe. */
public final class DirectNbdClient implements AutoCloseable {
  private final AsynchronousChannelGroup group;
  private final NbdConnection connection;
  private final CountDownLatch ready = new CountDownLatch(1);
  private final BiConsumer<Long, Boolean> completionListener;
  private long lastRequestId;

  /** @param completionListener
   *          receives the number of each request and whether it succeeded, from any thread */
  public DirectNbdClient(InetSocketAddress address, String export,
      BiConsumer<Long, Boolean> completionListener)
      throws IOException,
      InterruptedException {
    this.completionListener = completionListener;
    group = AsynchronousChannelGroup.withFixedThreadPool(1, Executors.defaultThreadFactory());
    connection = new NbdConnection(group, 0, export, new Fence("direct", new Holder(1, 1), 1, Set.of()),
        new ConnectionListener());
    connection.connect(address);
    ready.await();
  }

  /** Queues a read into {@code into} and returns its number; it is sent by the next {@link #flush}. */
  public long read(long offset, ByteBuffer into) {
    connection.add(Attempt.detached(++lastRequestId, IoKind.READ, 0, offset, List.of(into)));
    return lastRequestId;
  }

  public void flush() {
    connection.flush();
  }

  @Override
  public void close() {
    connection.close("closed by the client");
    group.shutdown();
  }

  private final class ConnectionListener implements NbdConnection.Listener {
    @Override
    public void onReady(NbdConnection connection, long[] load) {
      ready.countDown();
    }

    @Override
    public void onAttemptEnded(Attempt attempt, Result result) {
      completionListener.accept(attempt.requestId(), result == Result.OK);
    }

    @Override
    public void onAttemptResolved(Attempt attempt) {}

    @Override
    public void onSuperseded(NbdConnection connection, NodeView holderView) {
      ready.countDown();
    }

    @Override
    public void onProbeEnded(NbdConnection connection, Result result, long tookUs, long[] load) {}

    @Override
    public void onClosed(NbdConnection connection, String reason, List<Attempt> unsent, List<Attempt> sent,
        List<Attempt> withdrawn) {
      ready.countDown();
    }
  }
}
