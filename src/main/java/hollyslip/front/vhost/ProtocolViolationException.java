package hollyslip.front.vhost;

/** A client did what the specification does not allow; names the field. Its device is stopped. */
final class ProtocolViolationException extends RuntimeException {
  ProtocolViolationException(String what) {
    super(what, null, false, false);
  }

  static void check(boolean ok, String what) {
    if (!ok) {
      throw new ProtocolViolationException(what);
    }
  }

  /** For the way of each request: the text is made of its parts only when it is needed. */
  static void check(boolean ok, String field, long figure) {
    if (!ok) {
      throw new ProtocolViolationException(field + figure);
    }
  }

  static void check(boolean ok, String field, long figure, String of, long most) {
    if (!ok) {
      throw new ProtocolViolationException(field + figure + of + most);
    }
  }
}
