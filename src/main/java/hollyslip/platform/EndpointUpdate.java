package hollyslip.platform;

import com.fasterxml.jackson.databind.JsonNode;
import hollyslip.HostScheduler.NodeState;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;

/** What discovery says: a version of the list, whole or only what changed.
 *
 * @param version
 *          the version
 * @param whole
 *          who is not named is gone */
record EndpointUpdate(long version, boolean whole, List<Entry> entries) {
  EndpointUpdate {
    entries = List.copyOf(entries);
  }

  /** One disk server; {@code bornMs}: Unix time of its last start, 0: long ago; {@code dial} is null for one
   * that is gone. */
  record Entry(String host, InetSocketAddress dial, String zone, int cell, NodeState state, long bornMs) {}

  /** @throws IllegalArgumentException
   *           naming what is missing or cannot be read; nothing of it counts then */
  static EndpointUpdate parse(JsonNode m) {
    if (m == null || !m.isObject()) {
      throw new IllegalArgumentException("list: must be an object");
    }
    if (!m.path("seq").canConvertToLong() || !m.path("seq").isNumber()) {
      throw new IllegalArgumentException("list.seq: must be a number");
    }
    if (!m.path("hosts").isArray()) {
      throw new IllegalArgumentException("list.hosts: must be an array");
    }
    List<Entry> entries = new ArrayList<>();
    m.get("hosts").forEach(e -> entries.add(parseEntry(e)));
    return new EndpointUpdate(m.get("seq").asLong(), m.path("whole").asBoolean(), entries);
  }

  private static Entry parseEntry(JsonNode e) {
    String host = e.path("host").asText("");
    if (host.isEmpty()) {
      throw new IllegalArgumentException("list.host: is missing");
    }
    NodeState state = switch (e.path("health").asText()) {
      case "up" -> NodeState.ON;
      case "draining" -> NodeState.DRAINING;
      case "removed" -> NodeState.GONE;
      default -> throw new IllegalArgumentException("list.health: must be up, draining or removed");
    };
    InetSocketAddress dial = state == NodeState.GONE && !e.hasNonNull("dial")
        ? null
        : parseAddress(e.path("dial").asText(""), "list.dial");
    return new Entry(host, dial, e.path("site").asText(""), e.path("block").asInt(-1), state, e.path(
        "born_ms").asLong());
  }

  /** An address in digits, so that nothing is ever looked up.
   *
   * @throws IllegalArgumentException
   *           with {@code field}, if it is none */
  static InetSocketAddress parseAddress(String text, String field) {
    int colon = text.lastIndexOf(':');
    byte[] ip = colon < 1 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
    if (ip == null || !text.substring(colon + 1).matches("[0-9]{1,5}")) {
      throw new IllegalArgumentException(field + ": must be an IP address and a port, not '" + text + "'");
    }
    int port = Integer.parseInt(text.substring(colon + 1));
    if (port > 65535) {
      throw new IllegalArgumentException(field + ": port above 65535");
    }
    try {
      return new InetSocketAddress(InetAddress.getByAddress(ip), port);
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException(field + ": " + e.getMessage(), e);
    }
  }
}
