package hollyslip.volume;

/** Operation of a request on its volume. */
public enum IoKind {
  READ(false), WRITE(true), FLUSH(false), DISCARD(true), WRITE_ZEROES(true);

  private final boolean modifiesData;

  IoKind(boolean modifiesData) {
    this.modifiesData = modifiesData;
  }

  /** Whether the operation changes what later reads return. */
  public boolean modifiesData() {
    return modifiesData;
  }

  /** Whether the request or its response carries data. */
  public boolean carriesData() {
    return this == READ || this == WRITE;
  }
}
