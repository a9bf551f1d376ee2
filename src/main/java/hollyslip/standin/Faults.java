package hollyslip.standin;

/** What goes wrong at a disk server at present; changed while it runs. All parts are chances from 0 to 1. */
public final class Faults {
  /** Takes commands and does nothing with them. */
  public volatile boolean silent;
  /** Refuses new work with ESHUTDOWN. */
  public volatile boolean draining;
  /** Answers as if its queue were full. */
  public volatile boolean full;
  /** Does the work, throws the answer away. */
  public volatile double loseAnswers;
  /** Answers with EIO without doing the work. */
  public volatile double errors;
  /** Cuts the connection in the middle of a reply. */
  public volatile double resetRate;
  /** Writes are done this much later than they should be and go on when their connection is gone, us. */
  public volatile long lateWriteUs;
  /** Sends so many bytes of the next read's reply and then nothing more; 0: off. */
  public volatile int truncatedReplyBytes;
  /** This part of the commands costs {@link #heavyFactor} times the work. */
  public volatile double heavyPart;
  public volatile double heavyFactor = 1;
  /** The next replies go wrong on purpose. */
  public volatile ProtocolViolation protocolViolation = ProtocolViolation.NONE;

  /** Ways to break the protocol. */
  public enum ProtocolViolation {
    NONE, UNKNOWN_COOKIE, TWICE, OVERSIZE, BAD_MAGIC, WRONG_OFFSET
  }

  /** Ends all faults. */
  public void clear() {
    silent = false;
    draining = false;
    full = false;
    loseAnswers = 0;
    errors = 0;
    resetRate = 0;
    lateWriteUs = 0;
    truncatedReplyBytes = 0;
    heavyPart = 0;
    protocolViolation = ProtocolViolation.NONE;
  }
}
