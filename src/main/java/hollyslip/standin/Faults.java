package hollyslip.standin;

/** The faults that a disk server currently simulates; they can be changed while it runs. Rates are
 * probabilities from 0 to 1. */
public final class Faults {
  /** Accepts commands without executing or answering them. */
  public volatile boolean silent;
  /** Refuses new commands with ESHUTDOWN. */
  public volatile boolean draining;
  /** Refuses new commands as if the queue were full. */
  public volatile boolean full;
  /** Rate of commands that are executed but not answered. */
  public volatile double lostResponseRate;
  /** Rate of commands that are answered with EIO and not executed. */
  public volatile double errorRate;
  /** Rate of replies in the middle of which the connection is closed. */
  public volatile double resetRate;
  /** Additional delay of writes, us; they take effect even if their connection is closed meanwhile. */
  public volatile long writeDelayUs;
  /** Number of bytes to send of the next read's reply, and nothing after them; 0: off. */
  public volatile int truncatedReplyBytes;
  /** Rate of commands that take {@link #slowCommandFactor} times as long. */
  public volatile double slowCommandRate;
  public volatile double slowCommandFactor = 1;
  /** How replies violate the protocol. */
  public volatile ProtocolViolation protocolViolation = ProtocolViolation.NONE;

  /** Ways to violate the protocol. */
  public enum ProtocolViolation {
    NONE, UNKNOWN_COOKIE, TWICE, OVERSIZE, BAD_MAGIC, WRONG_OFFSET
  }

  /** Stops all faults. */
  public void clear() {
    silent = false;
    draining = false;
    full = false;
    lostResponseRate = 0;
    errorRate = 0;
    resetRate = 0;
    writeDelayUs = 0;
    truncatedReplyBytes = 0;
    slowCommandRate = 0;
    protocolViolation = ProtocolViolation.NONE;
  }
}
