package hollyslip.volume;

/** What a request does to its volume. */
public enum IoKind {
  READ(false), WRITE(true), FLUSH(false), DISCARD(true), WRITE_ZEROES(true);

  private final boolean changes;

  IoKind(boolean changes) {
    this.changes = changes;
  }

  /** Whether it changes what later reads return. */
  public boolean changes() {
    return changes;
  }

  /** Whether bytes come with the request or with its answer. */
  public boolean carriesData() {
    return this == READ || this == WRITE;
  }
}
