package hollyslip.platform;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;

/** Reads the input of one client connection. Input is read in every state, as the end of the connection
 * stands behind it. A connection that sends more than is read at once or served is read in turn with others
 * like it, which {@link ClientConnectionManager} does, so that it does not keep other clients waiting. */
final class ClientInput {
  /** What a connection does with its input. */
  interface Owner {
    /** Whether more is sent than is served, so that other clients' input comes first. */
    boolean hasExcessInput();

    /** The connection was found to be closed while it was read. */
    void connectionClosed();
  }

  /** Maximum number of consecutive reads when pending input is read: a request and the end of the connection
   * after it take two. */
  private static final int MAX_CONSECUTIVE_READS = 16;

  private final ClientConnectionManager manager;
  private final Channel channel;
  private final Owner owner;
  private final UnreadInput unread = new UnreadInput();
  /** Since when bytes may have been received before the connection was accepted, us. */
  private final long queuedSince;
  private long bytesRead, lastReceivedAt;
  /** Estimated arrival of the bytes being read, us. */
  private long arrivedAt;
  private boolean insideRead;
  /** Whether input is read only when {@link #readInTurn} is called. */
  private boolean inTurn;
  /** Whether more input was pending than one check reads, and its end has not been reached since. */
  private boolean backlogged;

  ClientInput(ClientConnectionManager manager, Channel channel, Owner owner) {
    this.manager = manager;
    this.channel = channel;
    this.owner = owner;
    queuedSince = manager.arrivalTimes().queuedSince(manager.now());
  }

  long bytesRead() {
    return bytesRead;
  }

  /** When bytes were last received, us. */
  long lastReceivedAt() {
    return lastReceivedAt;
  }

  /** Estimated arrival of the bytes that are being handled, us. */
  long arrivedAt() {
    return arrivedAt;
  }

  /** For how long the end of the connection, seen now, may have stood behind input, ms. */
  long endHiddenForMs() {
    return unread.endHiddenForUs(manager.now()) / 1000;
  }

  /** Records bytes that were read, and has them handled. */
  void received(ByteBuf bytes, Runnable handler) {
    long readAt = manager.now();
    unread.read(!bytes.isWritable(), readAt);
    if (unread.mayBeLeft()) {
      manager.dispatcher().keyOrder().inputLeft();
    }
    arrivedAt = bytesRead == 0
        ? Math.min(queuedSince, readAt)
        : manager.arrivalTimes().earliestArrival(readAt);
    bytesRead += bytes.readableBytes();
    lastReceivedAt = readAt;
    insideRead = true;
    try {
      handler.run();
    } finally {
      insideRead = false;
    }
    waitForTurnIfNeeded();
  }

  /** Reads pending input, including the end of the connection, up to a limit. Returns whether the end of the
   * input was reached. */
  boolean readPending() {
    boolean endReached = false;
    for (int i = 0; i < MAX_CONSECUTIVE_READS && !endReached && !insideRead && channel.isActive(); i++) {
      endReached = !readOnce();
    }
    if (!channel.isActive()) {
      // Handlers would be notified only in a later task of the event loop.
      owner.connectionClosed();
      return true;
    }
    return endReached;
  }

  /** Reads pending input. Returns whether all of it was read; if not, the client may have disconnected. Input
   * of a client that is known to send more than is served waits for its turn. */
  boolean readToEnd() {
    if (inTurn && owner.hasExcessInput()) {
      return false;
    }
    if (!backlogged) {
      backlogged = !readPending();
      waitForTurnIfNeeded();
    }
    return !backlogged;
  }

  /** Reads once. Returns whether the connection is to be read in turn again; otherwise it is read like others
   * from now on. */
  boolean readInTurn() {
    boolean endReached = !readOnce();
    backlogged &= !endReached;
    inTurn = !endReached && needsTurns();
    if (!inTurn && channel.isActive()) {
      channel.config().setAutoRead(true);
    }
    return inTurn;
  }

  /** Returns whether anything was read. */
  private boolean readOnce() {
    long bytesBefore = bytesRead;
    HttpSupport.readPending(channel);
    return bytesRead != bytesBefore;
  }

  private boolean needsTurns() {
    return channel.isActive() && (unread.mayBeLeft() || backlogged || owner.hasExcessInput());
  }

  private void waitForTurnIfNeeded() {
    if (!inTurn && needsTurns()) {
      inTurn = true;
      channel.config().setAutoRead(false);
      manager.readInTurn(this);
    }
  }
}
