package hollyslip.platform;

import com.fasterxml.jackson.databind.JsonNode;
import hollyslip.HostScheduler.NodeState;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;

/** A version of the list of disk servers from discovery: the complete list, or only its changes.
 *
 * @param version
 *          the version of the list after this update
 * @param complete
 *          the list is complete: disk servers that are not named are gone */
record EndpointUpdate(long version, boolean complete, List<Entry> entries) {
  EndpointUpdate {
    entries = List.copyOf(entries);
  }

  /** One disk server. The time of its last start is Unix time in ms, 0: long ago; its address may be null if
   * it is gone. */
  record Entry(String host, InetSocketAddress address, String zone, int cell, NodeState state,
      long startedAtMs) {}

  /** @throws IllegalArgumentException
   *           naming the field that is missing or invalid; the whole update is rejected */
  static EndpointUpdate parse(JsonNode json) {
    if (json == null || !json.isObject()) {
      throw new IllegalArgumentException("list: must be an object");
    }
    if (!json.path("seq").canConvertToLong() || !json.path("seq").isNumber()) {
      throw new IllegalArgumentException("list.seq: must be a number");
    }
    if (!json.path("hosts").isArray()) {
      throw new IllegalArgumentException("list.hosts: must be an array");
    }
    List<Entry> entries = new ArrayList<>();
    json.get("hosts").forEach(e -> entries.add(parseEntry(e)));
    return new EndpointUpdate(json.get("seq").asLong(), json.path("whole").asBoolean(), entries);
  }

  private static Entry parseEntry(JsonNode json) {
    String host = json.path("host").asText("");
    if (host.isEmpty()) {
      throw new IllegalArgumentException("list.host: is missing");
    }
    NodeState state = switch (json.path("health").asText()) {
      case "up" -> NodeState.ON;
      case "draining" -> NodeState.DRAINING;
      case "removed" -> NodeState.GONE;
      default -> throw new IllegalArgumentException("list.health: must be up, draining or removed");
    };
    InetSocketAddress address = state == NodeState.GONE && !json.hasNonNull("dial")
        ? null
        : parseAddress(json.path("dial").asText(""), "list.dial");
    return new Entry(host, address, json.path("site").asText(""), json.path("block").asInt(-1), state,
        json.path("born_ms").asLong());
  }

  /** Parses a numeric address and port, so that no name is ever resolved.
   *
   * @throws IllegalArgumentException
   *           naming {@code field}, if the text is not an address */
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
