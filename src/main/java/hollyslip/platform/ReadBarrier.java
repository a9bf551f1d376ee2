package hollyslip.platform;

import io.netty.channel.EventLoop;
import io.netty.channel.SingleThreadEventLoop;

/** Tells when all input has been read that had arrived at a certain moment, on new connections too: one
 * iteration of the event loop polls all sockets and accepts connections, and a further one reads from those.
 * Only the event loop may call it. */
final class ReadBarrier {
  /** Iterations that read all input once no connection is left in the accept queue. */
  private static final int ITERATIONS = 2;

  /** Limit of iterations for one wait, in case connections come faster than they are accepted. It suffices
   * for a full accept queue. */
  private static final int MAX_ITERATIONS = ClientConnectionManager.ACCEPT_QUEUE_LENGTH
      / ClientConnectionManager.MAX_ACCEPTS_PER_READ + ITERATIONS;

  private final SingleThreadEventLoop loop;
  /** Whether connections may be left in the accept queue. */
  private boolean connectionsLeft;

  ReadBarrier(EventLoop loop) {
    this.loop = (SingleThreadEventLoop) loop;
  }

  /** To be called whenever accepting ends although the accept queue may hold further connections. */
  void connectionsLeftInQueue() {
    connectionsLeft = true;
  }

  /** Calls {@code whenRead} once all input that has arrived by now has been read. */
  void await(Runnable whenRead) {
    connectionsLeft = false;
    afterNextIteration(() -> iterationEnded(1, 1, whenRead));
  }

  private void iterationEnded(int iterations, int iterationsSinceAccept, Runnable whenRead) {
    int quietIterations = connectionsLeft ? 0 : iterationsSinceAccept;
    connectionsLeft = false;
    if (quietIterations >= ITERATIONS || iterations >= MAX_ITERATIONS) {
      whenRead.run();
    } else {
      afterNextIteration(() -> iterationEnded(iterations + 1, quietIterations + 1, whenRead));
    }
  }

  /** Runs a task after the sockets that the next iteration finds ready have been read. */
  private void afterNextIteration(Runnable task) {
    loop.executeAfterEventLoopIteration(() -> loop.execute(task));
  }
}
