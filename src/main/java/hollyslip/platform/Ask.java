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

/** A client's request as its head tells it, checked against the settings; no I/O.
 *
 * @param uri
 *          path and query, as they came
 * @param idempotencyKey
 *          null: none
 * @param remainingUs
 *          how long the client waits, from the moment it sent the request
 * @param volume
 *          the module's number for this volume on this plan: there, a volume has one plan
 * @param shard
 *          -1: a new object
 * @param bodyLength
 *          bytes; {@link #CHUNKED}: told by the body itself */
record Ask(String id, String method, String uri, String className, String plan, long key,
    String idempotencyKey, long remainingUs, long volume, double units, int shard, int hosts, boolean again,
    boolean write, int bodyLength) {

  static final int CHUNKED = -1;

  /** Characters of an idempotency key at most. */
  private static final int MOST_KEY = 256;

  private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}"), ID = Pattern.compile(
      "[0-9A-Za-z_-]{1,64}"), DECIMAL = Pattern.compile("[0-9]{1,15}(\\.[0-9]{1,9})?"), WHOLE = Pattern
          .compile(
              "-?[0-9]{1,8}"), HEX = Pattern.compile("[0-9a-fA-F]{16}");

  /** What a head is refused with. */
  static final class Refused extends Exception {
    final HttpResponseStatus status;
    /** Where the next request starts cannot be known. */
    final boolean framingLost;

    Refused(HttpResponseStatus status, String why, boolean framingLost) {
      super(why, null, false, false);
      this.status = status;
      this.framingLost = framingLost;
    }
  }

  /** Reads heads under one deployment's settings. */
  static final class Reader {
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Settings settings;
    private final int shards;

    Reader(Settings settings, int shards) {
      this.settings = settings;
      this.shards = shards;
      settings.classes().forEach(c -> classes.put(c.name(), c));
    }

    /** @throws Refused
     *           if this is no request of the protocol under these settings */
    Ask read(HttpRequest r) throws Refused {
      HttpHeaders h = r.headers();
      int length = bodyLength(r);
      String path = r.uri().indexOf('?') < 0 ? r.uri() : r.uri().substring(0, r.uri().indexOf('?'));
      int second = path.indexOf('/', 1);
      int last = path.lastIndexOf('/');
      if (path.isEmpty() || path.charAt(0) != '/' || second < 0) {
        throw bad(HttpResponseStatus.NOT_FOUND, "path");
      }
      RequestClass c = classes.get(path.substring(1, second));
      if (c == null) {
        throw bad(HttpResponseStatus.NOT_FOUND, "class");
      }
      HttpMethod method = c.write() ? HttpMethod.PUT : HttpMethod.GET;
      if (!r.method().equals(method)) {
        throw bad(HttpResponseStatus.METHOD_NOT_ALLOWED, "method");
      }
      if (!c.write() && length > 0) {
        throw bad("body of a read");
      }
      String idempotency = one(h, "Idempotency-Key");
      if (c.effect() == hollyslip.HostScheduler.Effect.KEYED && (idempotency == null || idempotency
          .isEmpty()) || idempotency != null && idempotency.length() > MOST_KEY) {
        throw bad("Idempotency-Key");
      }
      Map<String, String> io = pairs(needed(h, "X-IO"));
      double units = decimal(io.get("units"), "units").doubleValue();
      int shard = whole(io.get("shard"), "shard");
      int hosts = whole(io.get("hosts"), "hosts");
      if (!(units > 0) || units > settings.store().mostUnits()) {
        throw bad("units");
      }
      if (shard < -1 || shards > 0 && shard >= shards) {
        throw bad("shard");
      }
      if (hosts < 1) {
        throw bad("hosts");
      }
      String resent = one(h, "X-Resent");
      int plan = plan(h);
      return new Ask(id(h), method.name(), r.uri(), c.name(), settings.plans().get(plan).name(), hex(path
          .substring(last + 1), "key"),
          idempotency, remaining(needed(h, "X-Remaining"), c), account(hex(io.get("volume"), "volume"), plan),
          units, shard,
          hosts, "1".equals(resent), c.write(), length);
    }

    private int plan(HttpHeaders h) throws Refused {
      String name = needed(h, "X-Plan");
      for (int i = 0; i < settings.plans().size(); i++) {
        if (settings.plans().get(i).name().equals(name)) {
          return i;
        }
      }
      throw bad("X-Plan");
    }
  }

  /** Requests of one volume that name different plans have limits and shares of their own: another number for
   * each, the volume's own for the first plan. Volumes are drawn from all of 64 bits, so two never meet. */
  static long account(long volume, int plan) {
    return volume ^ plan * 0x9e3779b97f4a7c15L;
  }

  /** Bytes of the body that follows a head.
   *
   * @throws Refused
   *           if that cannot be known, or is too much */
  private static int bodyLength(HttpRequest r) throws Refused {
    HttpHeaders h = r.headers();
    if (!r.protocolVersion().text().equals("HTTP/1.1")) {
      throw new Refused(HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED, "version", true);
    }
    List<String> codings = h.getAll(HttpHeaderNames.TRANSFER_ENCODING);
    if (!codings.isEmpty()) {
      if (codings.size() > 1 || !codings.get(0).equalsIgnoreCase("chunked")) {
        throw new Refused(HttpResponseStatus.NOT_IMPLEMENTED, "Transfer-Encoding", true);
      }
      return CHUNKED;
    }
    List<String> lengths = h.getAll(HttpHeaderNames.CONTENT_LENGTH);
    if (lengths.isEmpty()) {
      return 0;
    }
    if (lengths.size() > 1 || !LENGTH.matcher(lengths.get(0)).matches()) {
      throw new Refused(HttpResponseStatus.BAD_REQUEST, "Content-Length", true);
    }
    long length = Long.parseLong(lengths.get(0));
    if (length > Bounds.BODY) {
      throw new Refused(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "Content-Length", true);
    }
    return (int) length;
  }

  private static String id(HttpHeaders h) throws Refused {
    String id = needed(h, "X-Txn");
    if (!ID.matcher(id).matches()) {
      throw bad("X-Txn");
    }
    return id;
  }

  /** A number and its unit, m or u; above ten times the class's deadline it is no time that a client of it
   * waits. */
  private static long remaining(String text, RequestClass c) throws Refused {
    if (text.length() < 2) {
      throw bad("X-Remaining");
    }
    double scale = switch (text.charAt(text.length() - 1)) {
      case 'm' -> 1000;
      case 'u' -> 1;
      default -> throw bad("X-Remaining");
    };
    double us = decimal(text.substring(0, text.length() - 1), "X-Remaining").doubleValue() * scale;
    if (us > 10.0 * c.deadlineUs()) {
      throw bad("X-Remaining");
    }
    return (long) us;
  }

  private static Map<String, String> pairs(String text) throws Refused {
    Map<String, String> pairs = new HashMap<>();
    for (String pair : text.split(",")) {
      int equals = pair.indexOf('=');
      if (equals < 0 || pairs.put(pair.substring(0, equals).trim(), pair.substring(equals + 1)
          .trim()) != null) {
        throw bad("X-IO");
      }
    }
    return pairs;
  }

  private static String one(HttpHeaders h, String name) throws Refused {
    List<String> all = h.getAll(name);
    if (all.size() > 1) {
      throw bad(name);
    }
    return all.isEmpty() ? null : all.get(0);
  }

  private static String needed(HttpHeaders h, String name) throws Refused {
    String value = one(h, name);
    if (value == null) {
      throw bad(name);
    }
    return value;
  }

  private static BigDecimal decimal(String text, String field) throws Refused {
    if (text == null || !DECIMAL.matcher(text).matches()) {
      throw bad(field);
    }
    return new BigDecimal(text);
  }

  private static int whole(String text, String field) throws Refused {
    if (text == null || !WHOLE.matcher(text).matches()) {
      throw bad(field);
    }
    return Integer.parseInt(text);
  }

  private static long hex(String text, String field) throws Refused {
    if (text == null || !HEX.matcher(text).matches()) {
      throw bad(field);
    }
    return Long.parseUnsignedLong(text, 16);
  }

  private static Refused bad(String what) {
    return bad(HttpResponseStatus.BAD_REQUEST, what);
  }

  private static Refused bad(HttpResponseStatus status, String what) {
    return new Refused(status, what, false);
  }
}
