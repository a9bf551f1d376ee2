package hollyslip.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import hollyslip.admin.ApiClient;
import hollyslip.tenant.NumberFormatter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** A client of the administration API for one kind of resource. Fields are given as {@code field=value}, with
 * the names of the API and dots for nested fields. */
abstract class AdminCommand implements Callable<Integer> {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Pattern SIZE_PATTERN = Pattern.compile("(\\d+)(KiB|MiB|GiB|TiB)");
  private static final Map<String, Long> SIZE_UNITS = Map.of("KiB", 1L << 10, "MiB", 1L << 20, "GiB",
      1L << 30,
      "TiB", 1L << 40);

  enum Verb {
    LIST, SHOW, CREATE, SET, REMOVE, DRAIN, UNDRAIN
  }

  @Parameters(index = "0", paramLabel = "VERB", description = "${COMPLETION-CANDIDATES}")
  Verb verb;
  @Parameters(index = "1..*", paramLabel = "NAME|FIELD=VALUE", description = "name of the resource, TENANT/NAME for a volume; then fields as the API names them, sizes also with KiB, MiB, GiB")
  List<String> arguments = new ArrayList<>();
  @Option(names = "--socket", paramLabel = "FILE", description = "admin.sock of the gateway", defaultValue = "run/admin.sock")
  Path socket;
  @Option(names = "--port", description = "port of the admin API on the loopback address, instead of the socket")
  Integer port;
  @Option(names = "--trust", paramLabel = "FILE", description = "PEM file of the certificates to trust on the port")
  Path trust;
  @Option(names = "--token-file", paramLabel = "FILE", description = "file that holds the token", defaultValue = "state/operator.token")
  Path tokenFile;
  @Option(names = "--if-match", paramLabel = "REVISION", description = "change the resource only if it is at this revision; by default, only if it has not changed since it was read just before")
  Long revision;
  @Option(names = "--json", description = "print the API's responses as JSON")
  boolean json;

  /** The columns of the table that the list verb prints, separated by spaces. */
  private final String columns;

  AdminCommand(String columns) {
    this.columns = columns;
  }

  /** Returns the API path of the collection. */
  abstract String collectionPath(String name);

  /** Returns the API path of one resource. */
  String itemPath(String name) {
    return collectionPath(name) + "/" + name;
  }

  Set<Verb> supportedVerbs() {
    return Set.of(Verb.LIST, Verb.SHOW, Verb.CREATE, Verb.SET, Verb.REMOVE);
  }

  private String name() throws IOException {
    if (arguments.isEmpty() || arguments.get(0).contains("=")) {
      throw new IOException("a name is required");
    }
    return arguments.get(0);
  }

  @Override
  public Integer call() {
    if (!supportedVerbs().contains(verb)) {
      System.err.println("unsupported verb; supported: " + supportedVerbs());
      return Main.EXIT_INVALID_INPUT;
    }
    LogSetup.configure(LogSetup.Form.text, ch.qos.logback.classic.Level.WARN);
    String token;
    try {
      token = Files.readString(tokenFile).trim();
    } catch (IOException e) {
      System.err.println("--token-file: " + tokenFile + " cannot be read: " + e.getClass().getSimpleName());
      return Main.EXIT_INVALID_INPUT;
    }
    try (ApiClient api = port == null
        ? ApiClient.connect(socket, token)
        : ApiClient.connect(port, trust, token)) {
      return execute(api);
    } catch (IOException e) {
      System.err.println(e.getMessage());
      return Main.EXIT_FAILURE;
    }
  }

  private int execute(ApiClient api) throws IOException {
    return switch (verb) {
      case LIST -> listAll(api);
      case SHOW -> printResponse(api.send("GET", itemPath(name()), null, Map.of()));
      case CREATE -> {
        ObjectNode body = parseFields(arguments.subList(1, arguments.size()));
        body.put("name", name().substring(name().indexOf('/') + 1));
        yield printResponse(api.send("POST", collectionPath(name()), body, Map.of()));
      }
      case SET -> update(api, "PATCH", parseFields(arguments.subList(1, arguments.size())));
      case DRAIN -> update(api, "PATCH", JSON.createObjectNode().put("state", "draining"));
      case UNDRAIN -> update(api, "PATCH", JSON.createObjectNode().put("state", "on"));
      case REMOVE -> update(api, "DELETE", null);
    };
  }

  private int update(ApiClient api, String method, JsonNode body) throws IOException {
    String tag = revision == null ? null : "\"" + revision + "\"";
    if (tag == null) {
      ApiClient.Response current = api.send("GET", itemPath(name()), null, Map.of());
      if (!current.isSuccess()) {
        return printResponse(current);
      }
      tag = current.etag();
    }
    return printResponse(api.send(method, itemPath(name()), body, Map.of("If-Match", tag)));
  }

  /** Prints the whole list, page by page. */
  private int listAll(ApiClient api) throws IOException {
    List<JsonNode> items = new ArrayList<>();
    String base = collectionPath(arguments.isEmpty() ? "" : arguments.get(0) + "/");
    String after = null;
    do {
      ApiClient.Response answer = api.send("GET", base + "?limit=1000" + (after == null
          ? ""
          : "&after=" + after),
          null, Map.of());
      if (!answer.isSuccess()) {
        return printResponse(answer);
      }
      answer.body().get("items").forEach(items::add);
      after = answer.body().path("next").asText(null);
    } while (after != null);
    if (json) {
      items.forEach(System.out::println);
    } else {
      printTable(items);
    }
    return Main.EXIT_OK;
  }

  private void printTable(List<JsonNode> items) {
    List<String[]> rows = new ArrayList<>();
    String[] headers = columns.split(" ");
    rows.add(headers);
    for (JsonNode item : items) {
      String[] row = new String[headers.length];
      for (int i = 0; i < row.length; i++) {
        JsonNode value = item.at("/" + headers[i].replace('.', '/'));
        row[i] = headers[i].endsWith("bytes") && value.isIntegralNumber()
            ? NumberFormatter.formatBytes(value.asLong())
            : value.asText();
      }
      rows.add(row);
    }
    int[] widths = new int[headers.length];
    rows.forEach(r -> {
      for (int i = 0; i < r.length; i++) {
        widths[i] = Math.max(widths[i], r[i].length());
      }
    });
    for (String[] row : rows) {
      StringBuilder line = new StringBuilder();
      for (int i = 0; i < row.length; i++) {
        line.append(String.format("%-" + Math.max(1, widths[i]) + "s  ", row[i]));
      }
      System.out.println(line.toString().stripTrailing());
    }
  }

  private int printResponse(ApiClient.Response answer) {
    if (answer.isSuccess()) {
      if (answer.body() != null) {
        System.out.println(json ? answer.body().toString() : answer.body().toPrettyString());
      }
      return Main.EXIT_OK;
    }
    JsonNode problem = answer.body() == null ? JSON.createObjectNode() : answer.body();
    System.err.println(json
        ? problem.toString()
        : answer.status() + " " + problem.path("title").asText() + (problem.has("field")
            ? ": " + problem.get("field").asText()
            : "")
            + ": " + problem.path("detail").asText() + (problem.has("figures")
                ? " " + problem.get("figures")
                : ""));
    return answer.status() < 500 ? Main.EXIT_INVALID_INPUT : Main.EXIT_FAILURE;
  }

  /** Parses fields such as {@code a.b=1} into an object. */
  static ObjectNode parseFields(List<String> assignments) throws IOException {
    ObjectNode top = JSON.createObjectNode();
    for (String assignment : assignments) {
      int equalsIndex = assignment.indexOf('=');
      if (equalsIndex < 1) {
        throw new IOException("expected field=value, not '" + assignment + "'");
      }
      String[] path = assignment.substring(0, equalsIndex).split("\\.");
      ObjectNode parent = top;
      for (int i = 0; i < path.length - 1; i++) {
        parent = parent.withObjectProperty(path[i]);
      }
      parent.set(path[path.length - 1], parseValue(assignment.substring(equalsIndex + 1)));
    }
    return top;
  }

  private static JsonNode parseValue(String text) {
    Matcher size = SIZE_PATTERN.matcher(text);
    if (size.matches()) {
      return JSON.getNodeFactory().numberNode(Long.parseLong(size.group(1)) * SIZE_UNITS.get(size.group(2)));
    }
    try {
      JsonNode node = JSON.readTree(text);
      return node != null && (node.isNumber() || node.isNull()) ? node : JSON.getNodeFactory().textNode(text);
    } catch (IOException e) {
      return JSON.getNodeFactory().textNode(text);
    }
  }

  @Command(name = "tenant", mixinStandardHelpOptions = true, description = "Lists, shows, creates, changes and removes tenants of a running gateway.")
  static final class Tenants extends AdminCommand {
    Tenants() {
      super("name phase revision weight quota.reserve used.reserve quota.bytes used.bytes used.volumes");
    }

    @Override
    String collectionPath(String name) {
      return "/v1/tenants";
    }
  }

  @Command(name = "plan", mixinStandardHelpOptions = true, description = "Lists, shows, creates, changes and removes plans of a running gateway.")
  static final class Plans extends AdminCommand {
    Plans() {
      super("name revision reserve weight price limit limit_burst");
    }

    @Override
    String collectionPath(String name) {
      return "/v1/plans";
    }
  }

  @Command(name = "volume", mixinStandardHelpOptions = true, description = "Lists, shows, creates, changes and removes volumes: TENANT/NAME; list TENANT.")
  static final class Volumes extends AdminCommand {
    Volumes() {
      super("name phase revision plan bytes terms.reserve terms.weight terms.limit");
    }

    @Override
    String collectionPath(String name) {
      int slash = name.indexOf('/');
      return "/v1/tenants/" + (slash < 0 ? name : name.substring(0, slash)) + "/volumes";
    }

    @Override
    String itemPath(String name) {
      return collectionPath(name) + "/" + name.substring(name.indexOf('/') + 1);
    }
  }

  @Command(name = "node", mixinStandardHelpOptions = true, description = "Lists, shows, drains and undrains storage nodes.")
  static final class Nodes extends AdminCommand {
    Nodes() {
      super("name id shard zone state revision");
    }

    @Override
    String collectionPath(String name) {
      return "/v1/nodes";
    }

    @Override
    Set<Verb> supportedVerbs() {
      return Set.of(Verb.LIST, Verb.SHOW, Verb.DRAIN, Verb.UNDRAIN);
    }
  }
}
