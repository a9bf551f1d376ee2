package hollyslip.store;

/** Thrown if the store is damaged or cannot be written. For damage the message names file and position. */
public final class StoreException extends RuntimeException {
  private static final long serialVersionUID = 1;

  StoreException(String message) {
    super(message);
  }

  StoreException(String message, Throwable cause) {
    super(message, cause);
  }
}
