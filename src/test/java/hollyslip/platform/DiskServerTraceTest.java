package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.ObjectMapper;
import hollyslip.TokenBorrowingScheduler;
import hollyslip.HostScheduler.NodeEntry;
import hollyslip.HostScheduler.NodeList;
import hollyslip.HostScheduler.NodeState;
import hollyslip.HostScheduler.Result;
import hollyslip.JsonSettingsParser;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class DiskServerTraceTest {
  @Test
  void lineShowsSchedulerStateAndCountersThatResetAfterwards() throws Exception {
    TokenBorrowingScheduler scheduler = new TokenBorrowingScheduler(JsonSettingsParser.parse(1,
        new ObjectMapper().readTree(
            "{\"classes\":[{\"name\":\"c\",\"aim\":1,\"giveUp\":1}],\"policies\":[{\"name\":\"p\"}]}")));
    scheduler.handle(1_000, new NodeList(true, List.of(new NodeEntry(5, "a", 0, NodeState.ON, 0))), a -> {});
    ByteArrayOutputStream text = new ByteArrayOutputStream();
    DiskServerTrace trace = new DiskServerTrace(new PrintStream(text, true));
    trace.attemptStarted(5);
    trace.attemptStarted(5);
    trace.attemptStarted(5);
    trace.attemptEnded(5, Result.OK, 10_000);
    trace.attemptEnded(5, Result.OK, 30_000);
    trace.attemptEnded(5, Result.RESET, 99_000);
    DiskServer server = new DiskServer("s-5", 5);
    server.activeCalls = 1;
    trace.writeLines(scheduler, Map.of(5L, server));
    trace.writeLines(scheduler, Map.of());
    String schedulerState = "ON out 0 of 4.0 held 0 expects 40.0 ms | calls ";
    assertEquals("trace s-5 " + schedulerState
        + "1 idle 0 started 3 answered 2 mean 20.0 ms {OK=2, RESET=1}\n"
        + "trace ? " + schedulerState + "0 idle 0 started 0 answered 0 mean 0.0 ms {}\n", text.toString());
  }
}
