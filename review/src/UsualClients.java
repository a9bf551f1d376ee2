import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;

/** Clients as the protocol page describes them: each sends one request at a time. A request that crosses the
 * end of its connection, unread, is sent once more on a new connection. */
final class UsualClients {
  /** A final answer up to this long after its time only earns nothing; one later is lost. Half a second, and
   * the 50 ms by which every time limit is longer on sockets. */
  static final double LATE_S = 0.5 + 0.05;

  private final Rig.Scheduler scheduler;
  /** Whether new connections may be shut unread, as the descriptors are full. */
  boolean mayShutUnread;
  private final AtomicBoolean stopped = new AtomicBoolean();
  final List<Rig.Result> results = new CopyOnWriteArrayList<>();
  final List<Thread> threads = new CopyOnWriteArrayList<>();

  UsualClients(Rig.Scheduler scheduler) {
    this.scheduler = scheduler;
  }

  /** Starts one client of the volume at {@code shard}; {@code fresh}: a new connection for each request. */
  void start(String type, int shard, int remainingMs, double pauseS, boolean fresh) {
    threads.add(Rig.daemon("usual client", () -> {
      Socket socket = null;
      while (!stopped.get()) {
        Rig.Result result = null;
        for (int send = 0; send < 2; send++) {
          boolean kept = socket != null;
          try {
            socket = kept ? socket : scheduler.connect();
          } catch (IOException e) {
            Rig.note("usual client: no connection: " + e.getMessage());
            result = null;
            break;
          }
          result = Rig.ask(socket, type, Rig.newId(), shard, remainingMs, new byte[0], LATE_S);
          boolean ended = result.end.equals("closed") || result.end.startsWith("reset");
          if (fresh || result.status == 0) {
            socket.close();
            socket = null;
          }
          if (!ended) {
            break;
          }
        }
        if (result != null) {
          results.add(result);
        }
        Rig.sleep(pauseS);
      }
    }));
  }

  /** Ends the clients after their present requests. */
  void stop() {
    stopped.set(true);
    for (Thread thread : threads) {
      try {
        thread.join(12_000);
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  /** Number of requests that were taken and had no final answer in their time and half a second. */
  int countLost() {
    int lost = 0, answered = 0, served = 0, foreign = 0, shut = 0;
    for (Rig.Result result : results) {
      boolean ended = result.end.equals("closed") || result.end.startsWith("reset");
      if (ended && mayShutUnread) {
        shut++;
      } else if (result.status == 0 || result.endedAt - result.sentAt > result.remaining + LATE_S) {
        Rig.note(String.format(Locale.ROOT, "LOST %s sent at %.3f with %.3f s left: %s after %.3f s", result.id,
            result.sentAt, result.remaining, result.end, result.endedAt - result.sentAt));
        lost++;
      } else {
        answered++;
        served += result.status == 200 ? 1 : 0;
      }
      foreign += "foreign answer".equals(result.end) ? 1 : 0;
    }
    String line = "usual requests: " + results.size() + ", answered in time " + answered + " (served " + served
        + "), foreign answers " + foreign + ", lost " + lost;
    Rig.note(line);
    System.out.println(line);
    return lost;
  }
}
