package hollyslip;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedOutputStream;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/** Hosts any number of scheduler instances on the line-by-line JSON wire. It only translates: lines become
 * events, actions become lines. */
public final class WireHost {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final Function<HostScheduler.Settings, HostScheduler> factory;
  private final JsonGenerator out;
  private final Map<String, HostScheduler> instances = new HashMap<>();
  private final Map<Integer, List<HostScheduler.Listed>> pages = new HashMap<>();
  private long lineNumber;
  private long now;
  private long serial;
  private boolean inBatch;

  private WireHost(Function<HostScheduler.Settings, HostScheduler> factory, OutputStream out)
      throws IOException {
    this.factory = factory;
    this.out = JSON.getFactory().createGenerator(new BufferedOutputStream(out, 1 << 16));
    this.out.setRootValueSeparator(null);
  }

  /** Input that is not what the wire allows. */
  private static final class BadInput extends RuntimeException {
    BadInput(String expected) {
      super(expected);
    }
  }

  public static void main(String[] args) throws IOException {
    if (args.length != 1 || !args[0].equals("wirehost")) {
      System.err.println("usage: java -jar hollyslip.jar wirehost");
      System.exit(2);
    }
    System.exit(serve(Choice::new, System.in, System.out, System.err));
  }

  /** Serves until the input ends; gives the exit status. */
  static int serve(Function<HostScheduler.Settings, HostScheduler> factory, InputStream in, OutputStream out,
      PrintStream err) throws IOException {
    WireHost host = new WireHost(factory, out);
    try (BufferedReader reader = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8),
        1 << 16)) {
      for (String line = reader.readLine(); line != null; line = reader.readLine()) {
        host.lineNumber++;
        if (!line.isBlank()) {
          host.line(line);
        }
      }
      return 0;
    } catch (BadInput e) {
      err.println("line " + host.lineNumber + ": expected " + e.getMessage());
      return 1;
    }
  }

  private void line(String text) throws IOException {
    JsonNode m;
    try {
      m = JSON.readTree(text);
    } catch (IOException e) {
      throw new BadInput("one JSON object");
    }
    if (!m.isObject()) {
      throw new BadInput("one JSON object");
    }
    String kind = need(m, "m").asText();
    if (kind.equals("MARK")) {
      now = micros(need(m, "simTime"));
      serial = number(m, "serial");
      inBatch = true;
    } else if (!inBatch) {
      throw new BadInput("MARK before " + kind);
    } else if (kind.equals("YOUR_TURN")) {
      inBatch = false;
      out.writeStartObject();
      out.writeStringField("m", "OK");
      out.writeNumberField("serial", serial);
      endLine();
      out.flush();
    } else {
      event(kind, m);
    }
  }

  private void event(String kind, JsonNode m) throws IOException {
    if (kind.equals("PAGE")) {
      List<HostScheduler.Listed> entries = new ArrayList<>();
      need(m, "entries").forEach(e -> entries.add(listed(e)));
      pages.put((int) number(m, "slot"), entries);
      return;
    }
    String name = need(m, "i").asText();
    if (kind.equals("LAUNCH")) {
      launch(name, m);
      return;
    }
    HostScheduler instance = instances.get(name);
    if (kind.equals("POWER_OFF")) {
      instances.remove(name);
      return;
    }
    HostScheduler.Event event = translate(kind, m);
    if (instance == null || event == null) {
      return;
    }
    try {
      List<HostScheduler.Action> actions = new ArrayList<>();
      instance.handle(now, event, actions::add);
      for (HostScheduler.Action action : actions) {
        write(name, action);
      }
    } catch (RuntimeException e) {
      fault(name, e);
    }
  }

  private void launch(String name, JsonNode m) throws IOException {
    JsonNode conf = need(m, "conf");
    long seed = need(m, "nonce64").asLong();
    try {
      instances.put(name, factory.apply(WireSettings.parse(seed, conf)));
    } catch (IllegalArgumentException e) {
      fault(name, e);
    }
  }

  private void fault(String name, RuntimeException e) throws IOException {
    instances.remove(name);
    StackTraceElement[] trace = e.getStackTrace();
    start("FAULT", name);
    out.writeStringField("line", e + (trace.length > 0 ? " at " + trace[0] : ""));
    endLine();
  }

  private HostScheduler.Event translate(String kind, JsonNode m) {
    return switch (kind) {
      case "PEERS_KNOWN" -> members(m);
      case "INGRESS" -> new HostScheduler.Request(number(m, "opId"), need(m, "type").asText(), need(m, "plan")
          .asText(), given(m, "blockKey") ? m.get("blockKey").asLong() : null, m.path("storeUser").asLong(), m
              .path("sizeUnits")
              .asDouble(1), m.path("liesIn").asInt(-1), m.path("nHosts").asInt(), micros(need(m,
                  "remaining")), m.path("againByClient").asBoolean());
      case "REMINDER" -> new HostScheduler.TimerDue(number(m, "name"));
      case "ABANDONED" -> new HostScheduler.Departed(number(m, "opId"));
      case "ECHO" -> new HostScheduler.Probed(number(m, "server"), result(need(m, "code").asText()), micros(
          need(m, "waitTime")), report(m.path("pressure")));
      case "FINISHED" -> new HostScheduler.Outcome(number(m, "opId"), (int) number(m, "seqNo"), number(m,
          "server"), result(need(m, "code").asText()), need(m, "ended").asBoolean(), micros(need(m,
              "waitTime")), m.path("metered").asInt(), m.path("delta").asDouble(), report(m.path(
                  "pressure")));
      case "UNDER_WAY" -> new HostScheduler.Started(number(m, "opId"), (int) number(m, "seqNo"), number(m,
          "server"));
      case "MEMO" -> null;
      default -> throw new BadInput("a known event, not " + kind);
    };
  }

  private HostScheduler.Event members(JsonNode m) {
    String mode = need(m, "mode").asText();
    if (mode.equals("broken")) {
      return new HostScheduler.ListFailed();
    }
    List<HostScheduler.Listed> page = pages.get((int) number(m, "slot"));
    if (page == null) {
      throw new BadInput("a slot that a PAGE has set");
    }
    return new HostScheduler.NodeList(!mode.equals("patch"), page);
  }

  private static HostScheduler.Listed listed(JsonNode e) {
    HostScheduler.NodeState state = switch (need(e, "mode").asText()) {
      case "on" -> HostScheduler.NodeState.ON;
      case "fading" -> HostScheduler.NodeState.DRAINING;
      case "off" -> HostScheduler.NodeState.GONE;
      default -> throw new BadInput("mode on, fading or off");
    };
    return new HostScheduler.Listed(number(e, "server"), e.path("regionPart").asText(""), e.path("cluster")
        .asInt(-1), state, given(e, "born") ? micros(e.get("born")) : 0);
  }

  private static HostScheduler.Result result(String code) {
    return switch (code) {
      case "done" -> HostScheduler.Result.OK;
      case "err" -> HostScheduler.Result.ERROR;
      case "busy" -> HostScheduler.Result.FULL;
      case "etimedout" -> HostScheduler.Result.TIMEOUT;
      case "econnrefused" -> HostScheduler.Result.CONNECT_FAILED;
      case "econnreset" -> HostScheduler.Result.RESET;
      case "ecanceled" -> HostScheduler.Result.CANCELLED;
      case "skipped" -> HostScheduler.Result.MOOT;
      default -> throw new BadInput("a known code, not " + code);
    };
  }

  private static List<Double> report(JsonNode row) {
    if (!row.isArray()) {
      return null;
    }
    List<Double> values = new ArrayList<>();
    row.forEach(v -> values.add(v.asDouble()));
    return values;
  }

  private void write(String name, HostScheduler.Action action) throws IOException {
    if (action instanceof HostScheduler.Send s) {
      start("RELAY", name);
      out.writeNumberField("opId", s.request());
      out.writeNumberField("server", s.node());
      if (s.timeoutAt() > 0) {
        out.writeNumberField("expireAt", s.timeoutAt() / 1e6);
      }
    } else if (action instanceof HostScheduler.Refuse r) {
      start("SAY_NO", name);
      out.writeNumberField("opId", r.request());
      if (r.retryInUs() > 0) {
        out.writeNumberField("retryIn", r.retryInUs() / 1e6);
      }
    } else if (action instanceof HostScheduler.Fail f) {
      start("END_FAILED", name);
      out.writeNumberField("opId", f.request());
    } else if (action instanceof HostScheduler.Cancel k) {
      start("ABANDON", name);
      out.writeNumberField("opId", k.request());
      out.writeNumberField("seqNo", k.attempt());
    } else if (action instanceof HostScheduler.Probe p) {
      start("TEST", name);
      out.writeNumberField("server", p.node());
    } else if (action instanceof HostScheduler.SetTimer t) {
      start("SLEEP", name);
      out.writeNumberField("at", t.at() / 1e6);
      out.writeNumberField("name", t.id());
    } else if (action instanceof HostScheduler.Watch) {
      start("FOLLOW", name);
      out.writeBooleanField("on", true);
    }
    endLine();
  }

  private void start(String kind, String name) throws IOException {
    out.writeStartObject();
    out.writeStringField("m", kind);
    out.writeStringField("i", name);
  }

  private void endLine() throws IOException {
    out.writeEndObject();
    out.writeRaw('\n');
  }

  private static boolean given(JsonNode m, String field) {
    return m.hasNonNull(field);
  }

  private static JsonNode need(JsonNode m, String field) {
    if (!m.hasNonNull(field)) {
      throw new BadInput("field " + field);
    }
    return m.get(field);
  }

  private static long number(JsonNode m, String field) {
    JsonNode value = need(m, field);
    if (!value.isNumber()) {
      throw new BadInput("a number in " + field);
    }
    return value.asLong();
  }

  private static long micros(JsonNode value) {
    return Math.round(value.asDouble() * 1e6);
  }
}
