package hollyslip.front.vhost;

/** A client violated the specification; the message names the field. Its device is stopped. */
final class ProtocolViolationException extends RuntimeException {
  ProtocolViolationException(String message) {
    super(message, null, false, false);
  }

  static void check(boolean condition, String message) {
    if (!condition) {
      throw new ProtocolViolationException(message);
    }
  }

  /** For checks on the path of every request: the message is only concatenated when it is needed. */
  static void check(boolean condition, String field, long value) {
    if (!condition) {
      throw new ProtocolViolationException(field + value);
    }
  }

  static void check(boolean condition, String field, long value, String separator, long limit) {
    if (!condition) {
      throw new ProtocolViolationException(field + value + separator + limit);
    }
  }
}
