package hollyslip.platform;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import hollyslip.HostScheduler.Settings;
import hollyslip.WireSettings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** What the platform tells one scheduler: the file named by {@code PROXY_CONFIG}, and the variables beside it
 * for what the file leaves out.
 *
 * @param knownEndpoints
 *          the list as this scheduler last had it, maybe old
 * @param diskIdleTimeoutUs
 *          a disk server closes a connection idle for so long; 0: never
 * @param shardCount
 *          how many shards there are; 0: not told */
record Configuration(String name, InetSocketAddress listenAddress, InetSocketAddress discoveryAddress, int memoryMb,
    int maxDescriptors, EndpointUpdate knownEndpoints, Settings settings, long diskIdleTimeoutUs, int shardCount) {

  private static final ObjectMapper MAPPER = new ObjectMapper().enable(
      DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  /** Descriptors and memory where no limits are told. */
  private static final int DEFAULT_MAX_DESCRIPTORS = 1024, DEFAULT_MEMORY_MB = 192;

  /** Reads the file that {@code env} names.
   *
   * @throws IllegalArgumentException
   *           naming the field that is wrong
   * @throws IOException
   *           if the file cannot be read or is no JSON */
  static Configuration read(Map<String, String> env) throws IOException {
    String path = env.get("PROXY_CONFIG");
    if (path == null || path.isEmpty()) {
      throw new IllegalArgumentException("PROXY_CONFIG: is missing");
    }
    return parse(MAPPER.readTree(Files.readAllBytes(Path.of(path))), env);
  }

  /** See {@link #read}. */
  static Configuration parse(JsonNode c, Map<String, String> env) {
    if (c == null || !c.isObject()) {
      throw new IllegalArgumentException("configuration: must be an object");
    }
    JsonNode settings = c.path("settings");
    if (!settings.isObject()) {
      throw new IllegalArgumentException("settings: is missing");
    }
    JsonNode limits = c.path("limits");
    EndpointUpdate known = c.hasNonNull("known") ? EndpointUpdate.parse(c.get("known")) : null;
    return new Configuration(requiredText(c, "name", env, "PROXY_NAME"), EndpointUpdate.parseAddress(requiredText(c, "listen", env,
        "PROXY_LISTEN"), "listen"), EndpointUpdate.parseAddress(requiredText(c, "discovery", env, "PROXY_DISCOVERY"),
            "discovery"), limits.path("memory_mb").asInt(DEFAULT_MEMORY_MB), limits.path("sockets").asInt(DEFAULT_MAX_DESCRIPTORS),
        known, WireSettings.parse(parseSeed(c.path("seed").asText("0")), settings), Math.round(settings.path(
            "policyLimits").path("idleClose").asDouble() * 1e6), settings.path("extra")
                .path("nShards")
                .asInt());
  }

  private static String requiredText(JsonNode c, String field, Map<String, String> env, String variable) {
    String value = c.hasNonNull(field) ? c.get(field).asText() : env.get(variable);
    if (value == null || value.isEmpty()) {
      throw new IllegalArgumentException(field + ": is missing");
    }
    return value;
  }

  private static long parseSeed(String hex) {
    try {
      return Long.parseUnsignedLong(hex, 16);
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("seed: must be hex digits, not '" + hex + "'", e);
    }
  }
}
