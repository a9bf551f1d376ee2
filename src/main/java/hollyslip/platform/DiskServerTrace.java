package hollyslip.platform;

import hollyslip.NodeSnapshot;
import hollyslip.TokenBorrowingScheduler;
import hollyslip.HostScheduler.Result;
import java.io.PrintStream;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Prints one line per second and disk server that compares the scheduler's state with what was measured on
 * the connections. Off unless {@code HOLLYSLIP_TRACE} is set; then it costs some us per second. */
final class DiskServerTrace {
  private final PrintStream out;
  private final Map<Long, Counters> countersByServer = new HashMap<>();

  /** Counts of attempts at one disk server since its last line. */
  private static final class Counters {
    int started, answered;
    long totalLatencyUs;
    final Map<Result, Integer> results = new EnumMap<>(Result.class);
  }

  DiskServerTrace(PrintStream out) {
    this.out = out;
  }

  void attemptStarted(long server) {
    countersByServer.computeIfAbsent(server, k -> new Counters()).started++;
  }

  void attemptEnded(long server, Result result, long latencyUs) {
    Counters counters = countersByServer.computeIfAbsent(server, k -> new Counters());
    counters.results.merge(result, 1, Integer::sum);
    if (result == Result.OK) {
      counters.answered++;
      counters.totalLatencyUs += latencyUs;
    }
  }

  /** Writes the lines and resets the counters. */
  void writeLines(TokenBorrowingScheduler scheduler, Map<Long, DiskServer> servers) {
    for (NodeSnapshot snapshot : NodeSnapshot.of(scheduler)) {
      DiskServer server = servers.get(snapshot.node());
      Counters counters = countersByServer.getOrDefault(snapshot.node(), new Counters());
      out.printf(Locale.ROOT,
          "trace %s %s out %d of %.1f held %d expects %.1f ms%s%s | calls %d idle %d started %d answered %d mean %.1f ms %s%n",
          server == null ? "?" : server.host, snapshot.state(), snapshot.inFlight(), snapshot.window(),
          snapshot
              .queued(),
          snapshot.expectedLatencyUs() / 1e3,
          snapshot.unresponsive() ? " silent" : "", snapshot.cold() ? " cold" : "", server == null
              ? 0
              : server.activeCalls,
          server == null ? 0 : server.idleConnections.size(), counters.started, counters.answered,
          counters.answered == 0
              ? 0
              : counters.totalLatencyUs / 1e3 / counters.answered, counters.results);
    }
    countersByServer.clear();
  }
}
