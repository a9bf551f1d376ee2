package hollyslip.platform;

import io.netty.channel.EventLoop;
import io.netty.channel.SingleThreadEventLoop;

/** Tells when all input has been read that had arrived at a certain moment, on new connections too: one
 * iteration of the event loop polls all sockets and accepts connections, and a further one reads from those.
 * Long input takes more of them, as one iteration reads only so much of a connection. Only the event loop may
 * call it. */
final class ReadBarrier {
  /** Iterations that read all input, where neither connections nor input are left for the next one. */
  private static final int ITERATIONS = 2;

  /** Limit of iterations for one wait, in case input comes faster than it is read. It suffices for a full
   * accept queue, and for the longest request. */
  private static final int MAX_ITERATIONS = ClientConnectionManager.ACCEPT_QUEUE_LENGTH
      / ClientConnectionManager.MAX_ACCEPTS_PER_READ + ITERATIONS;

  private final SingleThreadEventLoop loop;
  /** Whether connections may be left in the accept queue, or input in one of them. */
  private boolean inputLeft;

  ReadBarrier(EventLoop loop) {
    this.loop = (SingleThreadEventLoop) loop;
  }

  /** To be called whenever accepting or reading ends although there may be more to accept or to read. */
  void inputLeft() {
    inputLeft = true;
  }

  /** Calls {@code whenRead} once all input that has arrived by now has been read. */
  void await(Runnable whenRead) {
    inputLeft = false;
    afterNextIteration(() -> iterationEnded(1, 1, whenRead));
  }

  private void iterationEnded(int iterations, int quietIterations, Runnable whenRead) {
    int quiet = inputLeft ? 0 : quietIterations;
    inputLeft = false;
    if (quiet >= ITERATIONS || iterations >= MAX_ITERATIONS) {
      whenRead.run();
    } else {
      afterNextIteration(() -> iterationEnded(iterations + 1, quiet + 1, whenRead));
    }
  }

  /** Runs a task after the sockets that the next iteration finds ready have been read. */
  private void afterNextIteration(Runnable task) {
    loop.executeAfterEventLoopIteration(() -> loop.execute(task));
  }
}
