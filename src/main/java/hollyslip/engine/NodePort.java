package hollyslip.engine;

/** The engine's way out to the storage nodes. All calls come on the engine's thread and must not block; what
 * comes back is handed to {@link Engine#outcome}, {@link Engine#probed} and {@link Engine#resolved}, from any
 * thread. */
public interface NodePort {
  /** Starts an attempt. A failure that is known at once may be told during the call. */
  void send(Attempt attempt);

  /** What {@link #withdraw} found. */
  enum Withdrawn {
    /** No byte of it had left: it never runs. */
    NEVER_SENT,
    /** It may run; {@link Engine#resolved} comes when it no longer can. */
    MAY_RUN,
    /** It had ended already; its outcome is under way. */
    ENDED
  }

  /** Gives an attempt up: after this call nothing touches its data. */
  Withdrawn withdraw(Attempt attempt);

  /** Asks that an attempt which may still run at its node be made harmless; something waits for it. */
  void fence(Attempt attempt);

  /** Asks a node how it is. */
  void probe(long node);

  /** Sends on what the calls before have collected: the end of a turn. */
  void flush();

  /** Asks for news of the node list; they come by {@link Engine#nodes}. */
  void watch();

  /** Closes everything; nothing is told any more. */
  void close();
}
