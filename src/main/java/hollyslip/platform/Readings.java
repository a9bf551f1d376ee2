package hollyslip.platform;

import hollyslip.HostScheduler.ReportSource;
import hollyslip.HostScheduler.Settings;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Load reports and use figures of disk servers' answers, where the settings say that there are any. What
 * cannot be read is absent, not zero. */
final class Readings {
  private final Settings settings;

  Readings(Settings settings) {
    this.settings = settings;
  }

  /** 1 + percent of the plan's rate, or 0. */
  int metered(HttpHeaders headers) {
    String text = headers == null || settings.store().meterUs() <= 0 ? null : headers.get("X-Volume-Use");
    return text != null && text.matches("[0-9]{1,9}") ? Integer.parseInt(text) : 0;
  }

  /** Units, or 0. */
  double elsewhere(HttpHeaders headers) {
    String text = headers == null || !settings.store().tellsElsewhere()
        ? null
        : headers.get(
            "X-Served-Elsewhere");
    return text != null && text.matches("[0-9]{1,12}") ? Long.parseLong(text) : 0;
  }

  /** Of an attempt's answer; null: none. */
  List<Double> report(HttpHeaders headers) {
    return headers == null || settings.reportSource() != ReportSource.ANSWERS
        ? null
        : parseFields(headers.get(
            "X-Pressure"));
  }

  /** Of a probe's answer: in its header or, from the report's own path, as its body; null: none. */
  List<Double> probed(HttpHeaders headers, byte[] body) {
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
      int equals = pair.indexOf('=');
      String number = equals < 0 ? "" : pair.substring(equals + 1).trim();
      if (!number.matches("[0-9]{1,12}(\\.[0-9]{1,12})?")) {
        return null;
      }
      values.put(pair.substring(0, equals).trim(), Double.parseDouble(number));
    }
    List<Double> row = new ArrayList<>();
    for (String field : settings.reportFields()) {
      Double value = values.get(field);
      if (value == null) {
        return null;
      }
      row.add(value);
    }
    return row;
  }
}
