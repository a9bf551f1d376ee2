package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import com.fasterxml.jackson.databind.ObjectMapper;
import hollyslip.JsonSettingsParser;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class LoadReportParserTest {
  private static LoadReportParser parser(String how, double meter, boolean tellsElsewhere) throws Exception {
    return new LoadReportParser(JsonSettingsParser.parse(1, new ObjectMapper().readTree(
        "{\"classes\":[{\"name\":\"c\",\"aim\":1,\"giveUp\":1}],\"policies\":[{\"name\":\"p\"}],"
            + "\"extra\":{\"meter\":" + meter + ",\"tellsElsewhere\":" + tellsElsewhere
            + "},\"stats\":{\"how\":\"" + how + "\",\"names\":[\"outstanding\",\"utilization\"]}}")));
  }

  private static HttpHeaders headers(String name, String value) {
    return new DefaultHttpHeaders().add(name, value);
  }

  @Test
  void reportIsParsedOnlyFromTheConfiguredSource() throws Exception {
    HttpHeaders headers = headers("X-Pressure", "inflight=7,queue=2,util=0.61");
    assertEquals(List.of(7.0, 0.61), parser("answers", 0, false).attemptReport(headers));
    assertNull(parser("probe", 0, false).attemptReport(headers));
    assertEquals(List.of(7.0, 0.61), parser("probe", 0, false).probeReport(new DefaultHttpHeaders(),
        "inflight=7,util=0.61\n".getBytes(StandardCharsets.US_ASCII)));
    assertNull(parser("none", 0, false).probeReport(headers, new byte[0]));
  }

  @Test
  void invalidValuesCountAsAbsent() throws Exception {
    LoadReportParser parser = parser("answers", 1, true);
    for (String invalid : List.of("", "inflight", "inflight=7", "inflight=x,util=0.1", "inflight=-1,util=0.1",
        "inflight=NaN,util=1", "inflight=1e99,util=1", "\u00ff")) {
      assertNull(parser.attemptReport(headers("X-Pressure", invalid)), invalid);
    }
    for (String invalid : List.of("", "-1", "x", "1.5", "99999999999999999999")) {
      assertEquals(0, parser.volumeUse(headers("X-Volume-Use", invalid)), invalid);
      assertEquals(0, parser.servedElsewhere(headers("X-Served-Elsewhere", invalid)), invalid);
    }
    assertEquals(0, parser.volumeUse(null));
    assertEquals(87, parser.volumeUse(headers("X-Volume-Use", "87")));
    assertEquals(12, parser.servedElsewhere(headers("X-Served-Elsewhere", "12")));
    assertEquals(0, parser("answers", 0, false).volumeUse(headers("X-Volume-Use", "87")));
  }
}
