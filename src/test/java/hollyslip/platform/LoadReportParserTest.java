package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import com.fasterxml.jackson.databind.ObjectMapper;
import hollyslip.WireSettings;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Figures in answers' heads. */
class LoadReportParserTest {
  private static Readings readings(String how, double meter, boolean tells) throws Exception {
    return new Readings(WireSettings.parse(1, new ObjectMapper().readTree(
        "{\"classes\":[{\"name\":\"c\",\"aim\":1,\"giveUp\":1}],\"policies\":[{\"name\":\"p\"}],"
            + "\"extra\":{\"meter\":" + meter + ",\"tellsElsewhere\":" + tells + "},\"stats\":{\"how\":\""
            + how
            + "\",\"names\":[\"outstanding\",\"utilization\"]}}")));
  }

  private static HttpHeaders head(String name, String value) {
    return new DefaultHttpHeaders().add(name, value);
  }

  @Test
  void aReportIsReadWhereTheSettingsSayThatThereIsOne() throws Exception {
    HttpHeaders h = head("X-Pressure", "inflight=7,queue=2,util=0.61");
    assertEquals(List.of(7.0, 0.61), readings("answers", 0, false).report(h));
    assertNull(readings("probe", 0, false).report(h));
    assertEquals(List.of(7.0, 0.61), readings("probe", 0, false).probed(new DefaultHttpHeaders(),
        "inflight=7,util=0.61\n".getBytes(StandardCharsets.US_ASCII)));
    assertNull(readings("none", 0, false).probed(h, new byte[0]));
  }

  @Test
  void whatCannotBeReadIsAbsent() throws Exception {
    Readings r = readings("answers", 1, true);
    for (String bad : List.of("", "inflight", "inflight=7", "inflight=x,util=0.1", "inflight=-1,util=0.1",
        "inflight=NaN,util=1", "inflight=1e99,util=1", "\u00ff")) {
      assertNull(r.report(head("X-Pressure", bad)), bad);
    }
    for (String bad : List.of("", "-1", "x", "1.5", "99999999999999999999")) {
      assertEquals(0, r.metered(head("X-Volume-Use", bad)), bad);
      assertEquals(0, r.elsewhere(head("X-Served-Elsewhere", bad)), bad);
    }
    assertEquals(0, r.metered(null));
    assertEquals(87, r.metered(head("X-Volume-Use", "87")));
    assertEquals(12, r.elsewhere(head("X-Served-Elsewhere", "12")));
    assertEquals(0, readings("answers", 0, false).metered(head("X-Volume-Use", "87")));
  }
}
