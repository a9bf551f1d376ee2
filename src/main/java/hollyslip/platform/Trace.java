package hollyslip.platform;

import hollyslip.Belief;
import hollyslip.Choice;
import hollyslip.HostScheduler.Result;
import java.io.PrintStream;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** A line a second and disk server: what the module believes beside what the connections saw. Off unless
 * {@code HOLLYSLIP_TRACE} is set; then it costs some us a second. */
final class Trace {
  private final PrintStream out;
  private final Map<Long, Counters> countersByServer = new HashMap<>();

  /** What passed on the connections to one disk server since the last line. */
  private static final class Counters {
    int started, answered;
    long totalTimeUs;
    final Map<Result, Integer> results = new EnumMap<>(Result.class);
  }

  Trace(PrintStream out) {
    this.out = out;
  }

  void started(long server) {
    countersByServer.computeIfAbsent(server, k -> new Counters()).started++;
  }

  void ended(long server, Result result, long tookUs) {
    Counters s = countersByServer.computeIfAbsent(server, k -> new Counters());
    s.results.merge(result, 1, Integer::sum);
    if (result == Result.OK) {
      s.answered++;
      s.totalTimeUs += tookUs;
    }
  }

  /** Writes the lines and begins anew. */
  void writeLines(Choice module, Map<Long, DiskServer> servers) {
    for (Belief b : Belief.of(module)) {
      DiskServer server = servers.get(b.node());
      Counters s = countersByServer.getOrDefault(b.node(), new Counters());
      out.printf(Locale.ROOT,
          "trace %s %s out %d of %.1f held %d expects %.1f ms%s%s | calls %d idle %d started %d answered %d mean %.1f ms %s%n",
          server == null ? "?" : server.host, b.state(), b.out(), b.window(), b.held(), b.expectedUs() / 1e3,
          b.silent() ? " silent" : "", b.cold() ? " cold" : "", server == null ? 0 : server.calls,
          server == null ? 0 : server.idleConnections.size(), s.started, s.answered, s.answered == 0
              ? 0
              : s.totalTimeUs / 1e3 / s.answered, s.results);
    }
    countersByServer.clear();
  }
}
