package hollyslip.platform;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import hollyslip.HostScheduler.Settings;
import hollyslip.JsonSettingsParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** Configuration of one scheduler process: the file named by {@code PROXY_CONFIG}, and environment variables
 * for fields that the file omits.
 *
 * @param knownEndpoints
 *          the list of disk servers that this process last had, possibly outdated; null: none
 * @param diskIdleTimeoutUs
 *          disk servers close connections that were idle for this long; 0: never
 * @param shardCount
 *          number of shards; 0: unknown */
record Configuration(String name, InetSocketAddress listenAddress, InetSocketAddress discoveryAddress,
    int memoryMb, int maxDescriptors, EndpointUpdate knownEndpoints, Settings settings,
    long diskIdleTimeoutUs, int shardCount) {

  private static final ObjectMapper MAPPER = new ObjectMapper().enable(
      DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  /** Limits of file descriptors and memory if none are configured. */
  private static final int DEFAULT_MAX_DESCRIPTORS = 1024, DEFAULT_MEMORY_MB = 192;

  /** Reads the file named in {@code env}.
   *
   * @throws IllegalArgumentException
   *           naming the invalid field
   * @throws IOException
   *           if the file cannot be read or is not JSON */
  static Configuration read(Map<String, String> env) throws IOException {
    String path = env.get("PROXY_CONFIG");
    if (path == null || path.isEmpty()) {
      throw new IllegalArgumentException("PROXY_CONFIG: is missing");
    }
    return parse(MAPPER.readTree(Files.readAllBytes(Path.of(path))), env);
  }

  /** See {@link #read}. */
  static Configuration parse(JsonNode json, Map<String, String> env) {
    if (json == null || !json.isObject()) {
      throw new IllegalArgumentException("configuration: must be an object");
    }
    JsonNode settings = json.path("settings");
    if (!settings.isObject()) {
      throw new IllegalArgumentException("settings: is missing");
    }
    JsonNode limits = json.path("limits");
    EndpointUpdate known = json.hasNonNull("known") ? EndpointUpdate.parse(json.get("known")) : null;
    return new Configuration(requiredText(json, "name", env, "PROXY_NAME"),
        EndpointUpdate.parseAddress(requiredText(json, "listen", env, "PROXY_LISTEN"), "listen"),
        EndpointUpdate.parseAddress(requiredText(json, "discovery", env, "PROXY_DISCOVERY"), "discovery"),
        limits.path("memory_mb").asInt(DEFAULT_MEMORY_MB),
        limits.path("sockets").asInt(DEFAULT_MAX_DESCRIPTORS), known,
        JsonSettingsParser.parse(parseSeed(json.path("seed").asText("0")), settings),
        Math.round(settings.path("policyLimits").path("idleClose").asDouble() * 1e6),
        settings.path("extra").path("nShards").asInt());
  }

  private static String requiredText(JsonNode json, String field, Map<String, String> env, String variable) {
    String value = json.hasNonNull(field) ? json.get(field).asText() : env.get(variable);
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
