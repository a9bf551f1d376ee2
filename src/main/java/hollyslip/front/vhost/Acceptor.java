package hollyslip.front.vhost;

import hollyslip.front.sys.Linux;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Accepts the connections of all listening sockets of a gateway on one thread, however many there are. */
public final class Acceptor implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Acceptor.class);
  private static final int WAKE_UP_TAG = 0;

  private record Listener(int socket, IntConsumer onAccept) {}

  private final Linux.Epoll epoll;
  private final int wakeUpFd;
  private final AtomicInteger lastTag = new AtomicInteger();
  private final Map<Integer, Listener> listeners = new ConcurrentHashMap<>();
  private final Thread thread;
  private volatile boolean closing;

  public Acceptor() throws IOException {
    epoll = new Linux.Epoll();
    wakeUpFd = Linux.eventfd();
    epoll.add(wakeUpFd, WAKE_UP_TAG);
    thread = new Thread(this::run, "vhost-accept");
    thread.setDaemon(true);
    thread.start();
  }

  /** Passes every connection of a listening socket, which must be non-blocking, to {@code onAccept}; returns
   * a tag for {@link #remove}. */
  int add(int socket, IntConsumer onAccept) throws IOException {
    int tag = lastTag.incrementAndGet();
    listeners.put(tag, new Listener(socket, onAccept));
    try {
      epoll.add(socket, tag);
    } catch (IOException e) {
      listeners.remove(tag);
      throw e;
    }
    return tag;
  }

  /** Stops accepting connections of a socket and closes it. */
  void remove(int tag) {
    Listener listener = listeners.remove(tag);
    if (listener != null) {
      synchronized (listener) {
        epoll.remove(listener.socket);
        Linux.closeAll(listener.socket);
      }
    }
  }

  private void run() {
    while (!closing) {
      for (int tag : epoll.await()) {
        Listener listener = listeners.get(tag);
        if (listener != null) {
          accept(tag, listener);
        } else if (tag < WAKE_UP_TAG || tag > lastTag.get()) {
          LOG.atError().addKeyValue("tag", tag).log("vhost.unknown-tag");
        }
      }
    }
    epoll.close();
    Linux.closeAll(wakeUpFd);
  }

  private void accept(int tag, Listener listener) {
    int fd = -1;
    try {
      synchronized (listener) {
        // The file descriptor number of a closed socket may already be in use for something else.
        fd = listeners.containsKey(tag) ? Linux.accept(listener.socket) : -1;
      }
    } catch (IOException e) {
      LOG.atWarn().addKeyValue("why", e.getMessage()).log("vhost.accept");
      pauseAfterFailure();
    }
    if (fd >= 0) {
      listener.onAccept.accept(fd);
    }
  }

  /** Pauses for a moment, so that the thread does not spin while the process has no file descriptors left:
   * the connection stays ready. The cost is that other connections wait as long. */
  private static void pauseAfterFailure() {
    try {
      Thread.sleep(10);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    closing = true;
    Linux.signalEventfd(wakeUpFd);
    try {
      thread.join(1_000);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
