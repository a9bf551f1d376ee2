package hollyslip.store;

/** The store is damaged or cannot go on; the text names file and place. */
public final class StoreException extends RuntimeException {
  private static final long serialVersionUID = 1;

  StoreException(String what) {
    super(what);
  }

  StoreException(String what, Throwable cause) {
    super(what, cause);
  }
}
