package hollyslip.front.vhost;

import hollyslip.front.sys.Linux;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Takes the connections of all listening sockets of a gateway on one thread, however many there are. */
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

  /** Hands every connection of a listening socket, which must not block, to {@code taken}; a number for
   * {@link #remove}. */
  int add(int socket, IntConsumer taken) throws IOException {
    int tag = lastTag.incrementAndGet();
    listeners.put(tag, new Listener(socket, taken));
    try {
      epoll.add(socket, tag);
    } catch (IOException e) {
      listeners.remove(tag);
      throw e;
    }
    return tag;
  }

  /** Takes no more connections of a socket and closes it. */
  void remove(int tag) {
    Listener l = listeners.remove(tag);
    if (l != null) {
      synchronized (l) {
        epoll.remove(l.socket);
        Linux.closeAll(l.socket);
      }
    }
  }

  private void run() {
    while (!closing) {
      for (int tag : epoll.await()) {
        Listener l = listeners.get(tag);
        if (l != null) {
          accept(tag, l);
        }
      }
    }
    epoll.close();
    Linux.closeAll(wakeUpFd);
  }

  private void accept(int tag, Listener l) {
    int fd = -1;
    try {
      synchronized (l) {
        // The number of a closed socket may be another's by now.
        fd = listeners.containsKey(tag) ? Linux.accept(l.socket) : -1;
      }
    } catch (IOException e) {
      LOG.atWarn().addKeyValue("why", e.getMessage()).log("vhost.accept");
      pauseAfterFailure();
    }
    if (fd >= 0) {
      l.onAccept.accept(fd);
    }
  }

  /** Guards against a spin while the process has no descriptors left: the connection stays ready. Harm:
   * others wait as long. */
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
    Linux.signal(wakeUpFd);
    try {
      thread.join(1_000);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
