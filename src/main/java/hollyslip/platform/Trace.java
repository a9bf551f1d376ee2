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
  private final Map<Long, Seen> seen = new HashMap<>();

  /** What passed on the connections to one disk server since the last line. */
  private static final class Seen {
    int started, answered;
    long tookUs;
    final Map<Result, Integer> ends = new EnumMap<>(Result.class);
  }

  Trace(PrintStream out) {
    this.out = out;
  }

  void started(long server) {
    seen.computeIfAbsent(server, k -> new Seen()).started++;
  }

  void ended(long server, Result result, long tookUs) {
    Seen s = seen.computeIfAbsent(server, k -> new Seen());
    s.ends.merge(result, 1, Integer::sum);
    if (result == Result.OK) {
      s.answered++;
      s.tookUs += tookUs;
    }
  }

  /** Writes the lines and begins anew. */
  void lines(Choice module, Map<Long, DiskServer> servers) {
    for (Belief b : Belief.of(module)) {
      DiskServer server = servers.get(b.node());
      Seen s = seen.getOrDefault(b.node(), new Seen());
      out.printf(Locale.ROOT,
          "trace %s %s out %d of %.1f held %d expects %.1f ms%s%s | calls %d idle %d started %d answered %d mean %.1f ms %s%n",
          server == null ? "?" : server.host, b.state(), b.out(), b.window(), b.held(), b.expectedUs() / 1e3,
          b.silent() ? " silent" : "", b.cold() ? " cold" : "", server == null ? 0 : server.calls,
          server == null ? 0 : server.idle.size(), s.started, s.answered, s.answered == 0
              ? 0
              : s.tookUs / 1e3 / s.answered, s.ends);
    }
    seen.clear();
  }
}
