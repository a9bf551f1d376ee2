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

/** Runs scheduler instances for the simulator, over its protocol of one JSON object per line. Translates
 * lines to events and actions to lines, and does nothing else. */
public final class SimulatorAdapter {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final Function<HostScheduler.Settings, HostScheduler> factory;
  private final JsonGenerator out;
  private final Map<String, HostScheduler> instances = new HashMap<>();
  private final Map<Integer, List<HostScheduler.NodeEntry>> pages = new HashMap<>();
  private long lineNumber;
  private long now;
  private long serial;
  private boolean inBatch;

  private SimulatorAdapter(Function<HostScheduler.Settings, HostScheduler> factory, OutputStream out)
      throws IOException {
    this.factory = factory;
    this.out = JSON.getFactory().createGenerator(new BufferedOutputStream(out, 1 << 16));
    this.out.setRootValueSeparator(null);
  }

  /** Input that violates the protocol; the message says what was expected. */
  private static final class InvalidInputException extends RuntimeException {
    InvalidInputException(String expected) {
      super(expected);
    }
  }

  public static void main(String[] args) throws IOException {
    if (args.length != 1 || !args[0].equals("wirehost")) {
      System.err.println("usage: java -jar hollyslip.jar wirehost");
      System.exit(2);
    }
    System.exit(serve(TokenBorrowingScheduler::new, System.in, System.out, System.err));
  }

  /** Serves until the input ends and returns the exit status. */
  static int serve(Function<HostScheduler.Settings, HostScheduler> factory, InputStream in, OutputStream out,
      PrintStream err) throws IOException {
    SimulatorAdapter host = new SimulatorAdapter(factory, out);
    try (BufferedReader reader = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8),
        1 << 16)) {
      for (String line = reader.readLine(); line != null; line = reader.readLine()) {
        host.lineNumber++;
        if (!line.isBlank()) {
          host.handleLine(line);
        }
      }
      return 0;
    } catch (InvalidInputException e) {
      err.println("line " + host.lineNumber + ": expected " + e.getMessage());
      return 1;
    }
  }

  private void handleLine(String text) throws IOException {
    JsonNode message;
    try {
      message = JSON.readTree(text);
    } catch (IOException e) {
      throw new InvalidInputException("one JSON object");
    }
    if (!message.isObject()) {
      throw new InvalidInputException("one JSON object");
    }
    String kind = require(message, "m").asText();
    if (kind.equals("MARK")) {
      now = micros(require(message, "simTime"));
      serial = number(message, "serial");
      inBatch = true;
    } else if (!inBatch) {
      throw new InvalidInputException("MARK before " + kind);
    } else if (kind.equals("YOUR_TURN")) {
      inBatch = false;
      out.writeStartObject();
      out.writeStringField("m", "OK");
      out.writeNumberField("serial", serial);
      endLine();
      out.flush();
    } else {
      handleEvent(kind, message);
    }
  }

  private void handleEvent(String kind, JsonNode message) throws IOException {
    if (kind.equals("PAGE")) {
      List<HostScheduler.NodeEntry> entries = new ArrayList<>();
      require(message, "entries").forEach(e -> entries.add(nodeEntry(e)));
      pages.put((int) number(message, "slot"), entries);
      return;
    }
    String name = require(message, "i").asText();
    if (kind.equals("LAUNCH")) {
      launch(name, message);
      return;
    }
    HostScheduler instance = instances.get(name);
    if (kind.equals("POWER_OFF")) {
      instances.remove(name);
      return;
    }
    HostScheduler.Event event = translate(kind, message);
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
      reportFault(name, e);
    }
  }

  private void launch(String name, JsonNode message) throws IOException {
    JsonNode conf = require(message, "conf");
    long seed = require(message, "nonce64").asLong();
    try {
      instances.put(name, factory.apply(JsonSettingsParser.parse(seed, conf)));
    } catch (IllegalArgumentException e) {
      reportFault(name, e);
    }
  }

  private void reportFault(String name, RuntimeException e) throws IOException {
    instances.remove(name);
    StackTraceElement[] trace = e.getStackTrace();
    startLine("FAULT", name);
    out.writeStringField("line", e + (trace.length > 0 ? " at " + trace[0] : ""));
    endLine();
  }

  private HostScheduler.Event translate(String kind, JsonNode message) {
    return switch (kind) {
      case "PEERS_KNOWN" -> nodeList(message);
      case "INGRESS" -> new HostScheduler.Request(number(message, "opId"), require(message, "type").asText(),
          require(message, "plan").asText(), isPresent(message, "blockKey")
              ? message.get("blockKey").asLong()
              : null, message.path("storeUser").asLong(), message.path("sizeUnits").asDouble(1), message.path(
                  "liesIn").asInt(-1), message.path("nHosts").asInt(), micros(require(message, "remaining")),
          message.path("againByClient").asBoolean());
      case "REMINDER" -> new HostScheduler.TimerFired(number(message, "name"));
      case "ABANDONED" -> new HostScheduler.RequestAbandoned(number(message, "opId"));
      case "ECHO" -> new HostScheduler.ProbeEnded(number(message, "server"), result(require(message, "code")
          .asText()), micros(require(message, "waitTime")), report(message.path("pressure")));
      case "FINISHED" -> new HostScheduler.AttemptEnded(number(message, "opId"), (int) number(message,
          "seqNo"),
          number(message, "server"), result(require(message, "code").asText()), require(message, "ended")
              .asBoolean(), micros(require(message, "waitTime")), message.path("metered").asInt(), message
                  .path("delta")
                  .asDouble(), report(message.path("pressure")));
      case "UNDER_WAY" -> new HostScheduler.ResponseStarted(number(message, "opId"), (int) number(message,
          "seqNo"), number(message, "server"));
      case "MEMO" -> null;
      default -> throw new InvalidInputException("a known event, not " + kind);
    };
  }

  private HostScheduler.Event nodeList(JsonNode message) {
    String mode = require(message, "mode").asText();
    if (mode.equals("broken")) {
      return new HostScheduler.NodeListFailed();
    }
    List<HostScheduler.NodeEntry> page = pages.get((int) number(message, "slot"));
    if (page == null) {
      throw new InvalidInputException("a slot that a PAGE has set");
    }
    return new HostScheduler.NodeList(!mode.equals("patch"), page);
  }

  private static HostScheduler.NodeEntry nodeEntry(JsonNode entry) {
    HostScheduler.NodeState state = switch (require(entry, "mode").asText()) {
      case "on" -> HostScheduler.NodeState.ON;
      case "fading" -> HostScheduler.NodeState.DRAINING;
      case "off" -> HostScheduler.NodeState.GONE;
      default -> throw new InvalidInputException("mode on, fading or off");
    };
    return new HostScheduler.NodeEntry(number(entry, "server"), entry.path("regionPart").asText(""), entry
        .path(
            "cluster")
        .asInt(-1), state, isPresent(entry, "born") ? micros(entry.get("born")) : 0);
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
      default -> throw new InvalidInputException("a known code, not " + code);
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
    if (action instanceof HostScheduler.Send send) {
      startLine("RELAY", name);
      out.writeNumberField("opId", send.request());
      out.writeNumberField("server", send.node());
      if (send.timeoutAt() > 0) {
        out.writeNumberField("expireAt", send.timeoutAt() / 1e6);
      }
    } else if (action instanceof HostScheduler.Refuse refuse) {
      startLine("SAY_NO", name);
      out.writeNumberField("opId", refuse.request());
      if (refuse.retryAfterUs() > 0) {
        out.writeNumberField("retryIn", refuse.retryAfterUs() / 1e6);
      }
    } else if (action instanceof HostScheduler.Fail fail) {
      startLine("END_FAILED", name);
      out.writeNumberField("opId", fail.request());
    } else if (action instanceof HostScheduler.Cancel cancel) {
      startLine("ABANDON", name);
      out.writeNumberField("opId", cancel.request());
      out.writeNumberField("seqNo", cancel.attempt());
    } else if (action instanceof HostScheduler.Probe probe) {
      startLine("TEST", name);
      out.writeNumberField("server", probe.node());
    } else if (action instanceof HostScheduler.SetTimer timer) {
      startLine("SLEEP", name);
      out.writeNumberField("at", timer.at() / 1e6);
      out.writeNumberField("name", timer.id());
    } else if (action instanceof HostScheduler.WatchNodes) {
      startLine("FOLLOW", name);
      out.writeBooleanField("on", true);
    }
    endLine();
  }

  private void startLine(String kind, String name) throws IOException {
    out.writeStartObject();
    out.writeStringField("m", kind);
    out.writeStringField("i", name);
  }

  private void endLine() throws IOException {
    out.writeEndObject();
    out.writeRaw('\n');
  }

  private static boolean isPresent(JsonNode object, String field) {
    return object.hasNonNull(field);
  }

  private static JsonNode require(JsonNode object, String field) {
    if (!object.hasNonNull(field)) {
      throw new InvalidInputException("field " + field);
    }
    return object.get(field);
  }

  private static long number(JsonNode object, String field) {
    JsonNode value = require(object, field);
    if (!value.isNumber()) {
      throw new InvalidInputException("a number in " + field);
    }
    return value.asLong();
  }

  private static long micros(JsonNode value) {
    return Math.round(value.asDouble() * 1e6);
  }
}
