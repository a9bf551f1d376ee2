package hollyslip.platform;

/** Whether a connection may have input that was not read yet, and since when. The end of a connection stands
 * behind its input, so a peer may have disconnected at any time since then. Does no I/O and has no clock;
 * times are passed in, us. */
final class UnreadInput {
  private static final long NONE = -1;

  /** Since when input may have been left, and the same at the last read of all input. */
  private long leftSince = NONE, leftBeforeLastReadSince = NONE;

  /** Records a read. One that fills its buffer may have left input. */
  void read(boolean bufferFilled, long now) {
    if (!bufferFilled) {
      leftBeforeLastReadSince = leftSince;
      leftSince = NONE;
    } else if (leftSince < 0) {
      leftSince = now;
    }
  }

  boolean mayBeLeft() {
    return leftSince >= 0;
  }

  /** For how long the end of the connection, seen at {@code now}, may have stood behind input, us. */
  long endHiddenForUs(long now) {
    long since = mayBeLeft() ? leftSince : leftBeforeLastReadSince;
    return since < 0 ? 0 : now - since;
  }
}
