package hollyslip.platform;

import hollyslip.HostScheduler.RequestClass;
import hollyslip.HostScheduler.Settings;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.math.BigDecimal;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/** The parsed head of a client request, validated against the settings. Does no I/O.
 *
 * @param uri
 *          path and query, as received
 * @param idempotencyKey
 *          null if there is none
 * @param remainingUs
 *          how long the client waits for the response, counted from when it sent the request, us
 * @param volumePlanId
 *          id of this volume on this plan for the scheduler, to which a volume has a single plan
 * @param shard
 *          -1 for a new object
 * @param bodyLength
 *          bytes, or {@link #CHUNKED} if only the chunked body determines its length */
record RequestHead(String transactionId, String method, String uri, String className, String plan,
    long objectKey, String idempotencyKey, long remainingUs, long volumePlanId, double units, int shard,
    int hosts, boolean clientRetry, boolean write, int bodyLength) {

  static final int CHUNKED = -1;

  /** Maximum length of an idempotency key, characters. */
  private static final int MAX_IDEMPOTENCY_KEY_LENGTH = 256;

  private static final Pattern CONTENT_LENGTH = Pattern.compile("[0-9]{1,18}"),
      TRANSACTION_ID = Pattern.compile("[0-9A-Za-z_-]{1,64}"),
      DECIMAL = Pattern.compile("[0-9]{1,15}(\\.[0-9]{1,9})?"), INTEGER = Pattern.compile("-?[0-9]{1,8}"),
      HEX_64 = Pattern.compile("[0-9a-fA-F]{16}");

  /** Bytes of the texts that it keeps and whose length the client chooses. */
  int textBytes() {
    return uri.length() + (idempotencyKey == null ? 0 : idempotencyKey.length());
  }

  /** Thrown when a request head is invalid, with the status to respond with. */
  static final class RequestRejectedException extends Exception {
    final HttpResponseStatus status;
    /** Whether the start of the next request is unknown, so that the connection cannot be used further. */
    final boolean framingLost;

    RequestRejectedException(HttpResponseStatus status, String reason, boolean framingLost) {
      super(reason, null, false, false);
      this.status = status;
      this.framingLost = framingLost;
    }
  }

  /** Parses request heads under the settings of one deployment. */
  static final class Parser {
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Settings settings;
    private final int shards;

    Parser(Settings settings, int shards) {
      this.settings = settings;
      this.shards = shards;
      settings.classes().forEach(c -> classes.put(c.name(), c));
    }

    /** @throws RequestRejectedException
     *           if the request is not valid under the protocol and these settings */
    RequestHead parse(HttpRequest request) throws RequestRejectedException {
      HttpHeaders headers = request.headers();
      int length = parseBodyLength(request);
      String path = request.uri().indexOf('?') < 0
          ? request.uri()
          : request.uri().substring(0, request.uri().indexOf('?'));
      int secondSlash = path.indexOf('/', 1);
      int lastSlash = path.lastIndexOf('/');
      if (path.isEmpty() || path.charAt(0) != '/' || secondSlash < 0) {
        throw rejected(HttpResponseStatus.NOT_FOUND, "path");
      }
      RequestClass requestClass = classes.get(path.substring(1, secondSlash));
      if (requestClass == null) {
        throw rejected(HttpResponseStatus.NOT_FOUND, "class");
      }
      HttpMethod method = requestClass.write() ? HttpMethod.PUT : HttpMethod.GET;
      if (!request.method().equals(method)) {
        throw rejected(HttpResponseStatus.METHOD_NOT_ALLOWED, "method");
      }
      if (!requestClass.write() && length > 0) {
        throw rejected("body of a read");
      }
      String idempotencyKey = optionalHeader(headers, "Idempotency-Key");
      if (requestClass.effect() == hollyslip.HostScheduler.Effect.KEYED
          && (idempotencyKey == null || idempotencyKey.isEmpty())
          || idempotencyKey != null && idempotencyKey.length() > MAX_IDEMPOTENCY_KEY_LENGTH) {
        throw rejected("Idempotency-Key");
      }
      Map<String, String> io = parsePairs(requiredHeader(headers, "X-IO"));
      double units = parseDecimal(io.get("units"), "units").doubleValue();
      int shard = parseInteger(io.get("shard"), "shard");
      int hosts = parseInteger(io.get("hosts"), "hosts");
      if (!(units > 0) || units > settings.store().maxUnits()) {
        throw rejected("units");
      }
      if (shard < -1 || shards > 0 && shard >= shards) {
        throw rejected("shard");
      }
      if (hosts < 1) {
        throw rejected("hosts");
      }
      String clientRetry = optionalHeader(headers, "X-Resent");
      int planIndex = findPlan(headers);
      return new RequestHead(parseTransactionId(headers), method.name(), request.uri(), requestClass.name(),
          settings.plans().get(planIndex).name(), parseHex(path.substring(lastSlash + 1), "key"),
          idempotencyKey, parseRemaining(requiredHeader(headers, "X-Remaining"), requestClass),
          volumePlanId(parseHex(io.get("volume"), "volume"), planIndex), units, shard, hosts,
          "1".equals(clientRetry), requestClass.write(), length);
    }

    /** How long the client of a request waits that is refused whatever its other fields say, us. Takes a
     * fraction of the time of {@link #parse}.
     *
     * @throws RequestRejectedException
     *           if this cannot be determined, or the start of the next request is unknown */
    long parseRemainingOfRefused(HttpRequest request) throws RequestRejectedException {
      parseBodyLength(request);
      String path = request.uri();
      int secondSlash = path.indexOf('/', 1);
      RequestClass requestClass = secondSlash < 0 ? null : classes.get(path.substring(1, secondSlash));
      if (requestClass == null) {
        throw rejected(HttpResponseStatus.NOT_FOUND, "class");
      }
      return parseRemaining(requiredHeader(request.headers(), "X-Remaining"), requestClass);
    }

    private int findPlan(HttpHeaders headers) throws RequestRejectedException {
      String name = requiredHeader(headers, "X-Plan");
      for (int i = 0; i < settings.plans().size(); i++) {
        if (settings.plans().get(i).name().equals(name)) {
          return i;
        }
      }
      throw rejected("X-Plan");
    }
  }

  /** Requests of one volume that name different plans have separate limits and shares, so each plan gets its
   * own id; for the first plan it is the volume's own id. Volume ids are drawn from all 64 bits, so ids of
   * different volumes are assumed never to collide. */
  static long volumePlanId(long volumeId, int planIndex) {
    return volumeId ^ planIndex * 0x9e3779b97f4a7c15L;
  }

  /** Determines the length of the body that follows a head, in bytes.
   *
   * @throws RequestRejectedException
   *           if the length cannot be determined or exceeds the limit */
  private static int parseBodyLength(HttpRequest request) throws RequestRejectedException {
    HttpHeaders headers = request.headers();
    if (!request.protocolVersion().text().equals("HTTP/1.1")) {
      throw new RequestRejectedException(HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED, "version", true);
    }
    List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
    if (!codings.isEmpty()) {
      if (codings.size() > 1 || !codings.get(0).equalsIgnoreCase("chunked")) {
        throw new RequestRejectedException(HttpResponseStatus.NOT_IMPLEMENTED, "Transfer-Encoding", true);
      }
      return CHUNKED;
    }
    List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
    if (lengths.isEmpty()) {
      return 0;
    }
    if (lengths.size() > 1 || !CONTENT_LENGTH.matcher(lengths.get(0)).matches()) {
      throw new RequestRejectedException(HttpResponseStatus.BAD_REQUEST, "Content-Length", true);
    }
    long length = Long.parseLong(lengths.get(0));
    if (length > Bounds.MAX_REQUEST_BODY_BYTES) {
      throw new RequestRejectedException(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "Content-Length", true);
    }
    return (int) length;
  }

  private static String parseTransactionId(HttpHeaders headers) throws RequestRejectedException {
    String id = requiredHeader(headers, "X-Txn");
    if (!TRANSACTION_ID.matcher(id).matches()) {
      throw rejected("X-Txn");
    }
    return id;
  }

  /** Parses a number followed by its unit, m (ms) or u (us), and returns us. Values above ten times the
   * class's deadline are rejected, as no client of the class waits that long. */
  private static long parseRemaining(String text, RequestClass requestClass) throws RequestRejectedException {
    if (text.length() < 2) {
      throw rejected("X-Remaining");
    }
    double scale = switch (text.charAt(text.length() - 1)) {
      case 'm' -> 1000;
      case 'u' -> 1;
      default -> throw rejected("X-Remaining");
    };
    double us = parseDecimal(text.substring(0, text.length() - 1), "X-Remaining").doubleValue() * scale;
    if (us > 10.0 * requestClass.deadlineUs()) {
      throw rejected("X-Remaining");
    }
    return (long) us;
  }

  private static Map<String, String> parsePairs(String text) throws RequestRejectedException {
    Map<String, String> pairs = new HashMap<>();
    for (String pair : text.split(",")) {
      int equals = pair.indexOf('=');
      if (equals < 0 || pairs.put(pair.substring(0, equals).trim(), pair.substring(equals + 1)
          .trim()) != null) {
        throw rejected("X-IO");
      }
    }
    return pairs;
  }

  private static String optionalHeader(HttpHeaders headers, String name) throws RequestRejectedException {
    List<String> values = headers.getAll(name);
    if (values.size() > 1) {
      throw rejected(name);
    }
    return values.isEmpty() ? null : values.get(0);
  }

  private static String requiredHeader(HttpHeaders headers, String name) throws RequestRejectedException {
    String value = optionalHeader(headers, name);
    if (value == null) {
      throw rejected(name);
    }
    return value;
  }

  private static BigDecimal parseDecimal(String text, String field) throws RequestRejectedException {
    if (text == null || !DECIMAL.matcher(text).matches()) {
      throw rejected(field);
    }
    return new BigDecimal(text);
  }

  private static int parseInteger(String text, String field) throws RequestRejectedException {
    if (text == null || !INTEGER.matcher(text).matches()) {
      throw rejected(field);
    }
    return Integer.parseInt(text);
  }

  private static long parseHex(String text, String field) throws RequestRejectedException {
    if (text == null || !HEX_64.matcher(text).matches()) {
      throw rejected(field);
    }
    return Long.parseUnsignedLong(text, 16);
  }

  private static RequestRejectedException rejected(String reason) {
    return rejected(HttpResponseStatus.BAD_REQUEST, reason);
  }

  private static RequestRejectedException rejected(HttpResponseStatus status, String reason) {
    return new RequestRejectedException(status, reason, false);
  }
}
