package hollyslip.front.vhost;

/** A client did what the specification does not allow; names the field. Its device is stopped. */
final class Violation extends RuntimeException {
  Violation(String what) {
    super(what, null, false, false);
  }

  static void check(boolean ok, String what) {
    if (!ok) {
      throw new Violation(what);
    }
  }
}
