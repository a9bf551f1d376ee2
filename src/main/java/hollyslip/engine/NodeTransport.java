package hollyslip.engine;

/** Connects the engine to the storage nodes. All calls come on the engine's thread and must not block;
 * results are reported through {@link Engine#attemptEnded}, {@link Engine#probeEnded} and
 * {@link Engine#attemptResolved}, from any thread. */
public interface NodeTransport {
  /** Starts an attempt. A failure that is known at once may be reported during the call. */
  void send(Attempt attempt);

  /** Result of {@link #withdraw}. */
  enum WithdrawResult {
    /** No byte had been sent: the attempt never runs. */
    NEVER_SENT,
    /** It may still run; {@link Engine#attemptResolved} is called once it no longer can. */
    MAY_RUN,
    /** It had already ended; its outcome is on its way. */
    ENDED
  }

  /** Withdraws an attempt: after this call nothing touches its data. */
  WithdrawResult withdraw(Attempt attempt);

  /** Requests that an attempt which may still run at its node be fenced, because a request waits for its
   * block range. */
  void fence(Attempt attempt);

  /** Sends a probe to a node. */
  void probe(long node);

  /** Sends what the calls of this turn have buffered; called at the end of each turn. */
  void flush();

  /** Subscribes to the node list; updates arrive through {@link Engine#updateNodes}. */
  void watchNodeList();

  /** Closes all connections; nothing is reported any more. */
  void close();
}
