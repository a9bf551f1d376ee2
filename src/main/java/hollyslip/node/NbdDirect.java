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

/** The node client without a gateway before it: what a measurement compares with. For one thread. */
public final class NbdDirect implements AutoCloseable {
  private final AsynchronousChannelGroup group;
  private final NbdConnection connection;
  private final CountDownLatch ready = new CountDownLatch(1);
  private final BiConsumer<Long, Boolean> completionListener;
  private long lastRequestId;

  /** @param done
   *          hears the number of each request and whether it was served, from any thread */
  public NbdDirect(InetSocketAddress at, String export, BiConsumer<Long, Boolean> done) throws IOException,
      InterruptedException {
    this.completionListener = done;
    group = AsynchronousChannelGroup.withFixedThreadPool(1, Executors.defaultThreadFactory());
    connection = new NbdConnection(group, 0, export, new Fence("direct", new Holder(1, 1), 1, Set.of()),
        new ConnectionListener());
    connection.connect(at);
    ready.await();
  }

  /** Asks for a read into {@code into}; its number. It leaves with the next {@link #flush}. */
  public long read(long offset, ByteBuffer into) {
    connection.add(Attempt.detached(++lastRequestId, IoKind.READ, 0, offset, List.of(into)));
    return lastRequestId;
  }

  public void flush() {
    connection.flush();
  }

  @Override
  public void close() {
    connection.close("over");
    group.shutdown();
  }

  private final class ConnectionListener implements NbdConnection.Listener {
    @Override
    public void onReady(NbdConnection c, long[] load) {
      ready.countDown();
    }

    @Override
    public void onAttemptEnded(Attempt attempt, Result result) {
      completionListener.accept(attempt.requestId(), result == Result.OK);
    }

    @Override
    public void onAttemptResolved(Attempt attempt) {}

    @Override
    public void onSuperseded(NbdConnection c, NodeView known) {
      ready.countDown();
    }

    @Override
    public void onProbeEnded(NbdConnection c, Result result, long tookUs, long[] load) {}

    @Override
    public void onClosed(NbdConnection c, String why, List<Attempt> waiting, List<Attempt> sent,
        List<Attempt> silent) {
      ready.countDown();
    }
  }
}
