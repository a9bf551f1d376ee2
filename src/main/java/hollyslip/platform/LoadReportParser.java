package hollyslip.platform;

import hollyslip.HostScheduler.ReportSource;
import hollyslip.HostScheduler.Settings;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Parses load reports and usage figures in disk servers' responses, if the settings enable them. Values that
 * cannot be parsed count as absent, not as zero. */
final class LoadReportParser {
  private final Settings settings;

  LoadReportParser(Settings settings) {
    this.settings = settings;
  }

  /** 1 + the volume's use in percent of the plan's rate; 0 if absent. */
  int volumeUse(HttpHeaders headers) {
    String text = headers == null || settings.store().meterUs() <= 0 ? null : headers.get("X-Volume-Use");
    return text != null && text.matches("[0-9]{1,9}") ? Integer.parseInt(text) : 0;
  }

  /** Units served elsewhere; 0 if absent. */
  double servedElsewhere(HttpHeaders headers) {
    String text = headers == null || !settings.store().reportsServedElsewhere()
        ? null
        : headers.get("X-Served-Elsewhere");
    return text != null && text.matches("[0-9]{1,12}") ? Long.parseLong(text) : 0;
  }

  /** Load report in the response to an attempt; null if absent. */
  List<Double> attemptReport(HttpHeaders headers) {
    return headers == null || settings.reportSource() != ReportSource.ANSWERS
        ? null
        : parseFields(headers.get("X-Pressure"));
  }

  /** Load report in the response to a probe: in its header or, from the report's own path, in its body; null
   * if absent. */
  List<Double> probeReport(HttpHeaders headers, byte[] body) {
    if (headers == null || settings.reportSource() == ReportSource.NONE) {
      return null;
    }
    List<Double> inHeader = parseFields(headers.get("X-Pressure"));
    return inHeader != null ? inHeader : parseFields(new String(body, StandardCharsets.ISO_8859_1));
  }

  private List<Double> parseFields(String text) {
    if (text == null || text.length() > 1000) {
      return null;
    }
    Map<String, Double> values = new HashMap<>();
    for (String pair : text.trim().split(",")) {
      int separator = pair.indexOf('=');
      String number = separator < 0 ? "" : pair.substring(separator + 1).trim();
      if (!number.matches("[0-9]{1,12}(\\.[0-9]{1,12})?")) {
        return null;
      }
      values.put(pair.substring(0, separator).trim(), Double.parseDouble(number));
    }
    List<Double> report = new ArrayList<>();
    for (String field : settings.reportFields()) {
      Double value = values.get(field);
      if (value == null) {
        return null;
      }
      report.add(value);
    }
    return report;
  }
}
