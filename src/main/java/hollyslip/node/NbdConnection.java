package hollyslip.node;

import hollyslip.HostScheduler.Result;
import hollyslip.engine.Attempt;
import hollyslip.engine.ClientMemory;
import hollyslip.engine.NodeTransport.WithdrawResult;
import hollyslip.recovery.EpochElection.NodeView;
import hollyslip.volume.IoKind;
import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.agrona.collections.Long2ObjectHashMap;

/** A connection to a node. Commands are pipelined in one stream, and replies arrive in any order and are
 * matched by cookie. All state is guarded by the connection's monitor, which is held only for copies in
 * memory. */
final class NbdConnection implements NbdReplyParser.Sink {
  private static final int INPUT_BUFFER_BYTES = 256 * 1024;
  private static final int MAX_BURST_COMMANDS = 64;
  private static final long MAX_BURST_BYTES = 1 << 20;
  private static final int REQUEST_HEADER_BYTES = 28;
  private static final long LOAD_COOKIE = -1;

  /** Callbacks of a connection; called from any thread, and never with the monitor held twice. */
  interface Listener {
    /** The negotiation is finished; {@code load} holds the node's load values and is empty if it reports
     * none. */
    void onReady(NbdConnection connection, long[] load);

    void onAttemptEnded(Attempt attempt, Result result);

    void onAttemptResolved(Attempt attempt);

    void onProbeEnded(NbdConnection connection, Result result, long tookUs, long[] load);

    /** The node does not regard this connection's holder as the newest: nothing from it runs there. */
    void onSuperseded(NbdConnection connection, NodeView holderView);

    /** The connection is closed: {@code unsent} attempts were never sent, {@code sent} ones may run, and
     * {@code withdrawn} ones may run but were already reported to the engine as withdrawn. */
    void onClosed(NbdConnection connection, String reason, List<Attempt> unsent, List<Attempt> sent,
        List<Attempt> withdrawn);
  }

  /** Size in bytes of the buffer that a burst's write data is copied to; data that does not fit gets a buffer
   * of its own. */
  private static final int STAGING_BYTES = 256 << 10;

  private enum Stage {
    QUEUED, SENDING, SENT
  }

  private final class Command {
    final Attempt attempt;
    final long cookie;
    final List<ByteBuffer> data;
    Stage stage = Stage.QUEUED;
    boolean withdrawn;
    long receivedBytes;
    long sentNs;

    Command(Attempt attempt, long cookie) {
      this.attempt = attempt;
      this.cookie = cookie;
      data = attempt.kind() == IoKind.READ || attempt.kind() == IoKind.WRITE ? attempt.data() : List.of();
    }

    NbdConnection connection() {
      return NbdConnection.this;
    }
  }

  final Fence fence;
  final long node;
  private final Listener listener;
  private final AsynchronousSocketChannel channel;
  private final NbdHandshake handshake;
  private final ArrayDeque<Command> queue = new ArrayDeque<>();
  private final Long2ObjectHashMap<Command> inFlight = new Long2ObjectHashMap<>();
  /** Number of commands in {@link #inFlight} that were withdrawn. */
  private int withdrawnCount;
  /** Number of commands queued or in flight; written under the monitor. */
  private volatile int pendingCount;
  /** Whether the pool will flush this connection at the end of its turn; for the pool's thread only. */
  boolean flushScheduled;
  private final ByteBuffer input = ByteBuffer.allocateDirect(INPUT_BUFFER_BYTES);
  private final ByteBuffer headers = ByteBuffer.allocateDirect((MAX_BURST_COMMANDS + 1)
      * REQUEST_HEADER_BYTES);
  private final ByteBuffer staging = ByteBuffer.allocateDirect(STAGING_BYTES);
  private final long[] loadValues = new long[Nbd.LoadMetric.values().length];
  private NbdReplyParser replyParser;
  private boolean negotiated, ready, writeInProgress, closed, probePending, readyReported;
  private long probeSentNs, lastReceivedNs;
  /** Set once the node reported that a newer fence is in force: nothing from this connection runs there any
   * more. */
  private boolean fencedOff;
  private List<Command> burst = List.of();
  private ByteBuffer[] gatherBuffers;

  NbdConnection(AsynchronousChannelGroup group, long node, String export, Fence fence, Listener listener)
      throws IOException {
    this.fence = fence;
    this.node = node;
    this.listener = listener;
    handshake = new NbdHandshake(export, fence);
    channel = AsynchronousSocketChannel.open(group);
    channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
  }

  void connect(SocketAddress address) {
    channel.connect(address, null, new ChannelHandler<Void, Void>() {
      @Override
      public void completed(Void done, Void none) {
        read();
      }
    });
  }

  /** Queues an attempt, which is sent by the next {@link #flush}. Returns false if the connection is
   * closed. */
  synchronized boolean add(Attempt attempt) {
    if (closed) {
      return false;
    }
    Command command = new Command(attempt, attempt.requestId() << 12 | attempt.number() & 0xfff);
    attempt.handle = command;
    queue.add(command);
    pendingCount++;
    return true;
  }

  /** Sends queued commands unless a write is in progress. */
  void flush() {
    boolean startWrite;
    synchronized (this) {
      startWrite = ready && !writeInProgress && !closed && (!queue.isEmpty() || probePending
          && probeSentNs == 0);
      if (startWrite) {
        writeInProgress = true;
        gatherBuffers();
      }
    }
    if (startWrite) {
      write();
    }
  }

  /** Requests the node's load values, which are reported to {@link Listener#onProbeEnded}. */
  synchronized boolean probe() {
    if (closed || !ready || probePending || handshake.loadContextId() < 0) {
      return false;
    }
    probePending = true;
    probeSentNs = 0;
    return true;
  }

  /** Withdraws an attempt: after this call nothing touches its data. A write that is being sent continues
   * from its copy, because the connection carries other requests too. */
  synchronized WithdrawResult withdraw(Attempt attempt) {
    Command command = (Command) attempt.handle;
    if (command.withdrawn || closed) {
      return WithdrawResult.ENDED;
    }
    if (command.stage == Stage.QUEUED) {
      pendingCount -= queue.remove(command) ? 1 : 0;
      return WithdrawResult.NEVER_SENT;
    }
    if (inFlight.get(command.cookie) != command) {
      return WithdrawResult.ENDED;
    }
    command.withdrawn = true;
    withdrawnCount++;
    return WithdrawResult.MAY_RUN;
  }

  /** Removes and returns the attempts that have not been sent. */
  synchronized List<Attempt> removeQueued() {
    List<Attempt> unsent = queue.stream().map(command -> command.attempt).toList();
    queue.clear();
    pendingCount -= unsent.size();
    return unsent;
  }

  /** Number of attempts queued or in flight whose end has not been reported yet. */
  synchronized int activeCount() {
    return pendingCount - withdrawnCount;
  }

  /** Number of attempts queued or in flight, withdrawn or not. */
  int pendingCount() {
    return pendingCount;
  }

  /** Returns the connection to which an attempt was given; null if there is none. */
  static NbdConnection connectionOf(Attempt attempt) {
    return attempt.handle instanceof Command command ? command.connection() : null;
  }

  synchronized boolean isOpen() {
    return !closed;
  }

  /** Returns whether nothing was received for the given time while a withdrawn command was in flight. */
  synchronized boolean isSilentFor(long durationNs) {
    if (withdrawnCount == 0) {
      return false;
    }
    long now = System.nanoTime();
    for (Command command : inFlight.values()) {
      if (command.withdrawn && now - Math.max(command.sentNs, lastReceivedNs) > durationNs) {
        return true;
      }
    }
    return false;
  }

  synchronized boolean isReady() {
    return ready && !closed;
  }

  boolean supportsFence() {
    return handshake.supportsFence();
  }

  /** Returns whether the node no longer runs anything from this connection. */
  synchronized boolean fencedOff() {
    return fencedOff;
  }

  boolean allowsMultipleConnections() {
    return handshake.hasFlag(Nbd.CAN_MULTI_CONN);
  }

  /** Sends NBD_CMD_DISC if nothing is being sent, then closes the connection. */
  void disconnect(String reason) {
    boolean idle;
    synchronized (this) {
      idle = ready && !writeInProgress && !closed;
      writeInProgress |= idle;
    }
    if (!idle) {
      close(reason);
      return;
    }
    ByteBuffer message = ByteBuffer.allocate(REQUEST_HEADER_BYTES)
        .putInt(Nbd.REQUEST_MAGIC)
        .putShort((short) 0)
        .putShort((short) Nbd.CMD_DISC)
        .putLong(0)
        .putLong(0)
        .putInt(0)
        .flip();
    channel.write(message, null, new ChannelHandler<Integer, Void>() {
      @Override
      public void completed(Integer n, Void none) {
        close(reason);
      }
    });
  }

  void close(String reason) {
    List<Attempt> unsent = new ArrayList<>();
    List<Attempt> sent = new ArrayList<>();
    List<Attempt> withdrawn = new ArrayList<>();
    synchronized (this) {
      if (closed) {
        return;
      }
      closed = true;
      try {
        channel.close();
      } catch (IOException e) {
        reason = reason + " (" + e.getMessage() + ")";
      }
      queue.forEach(command -> unsent.add(command.attempt));
      inFlight.values().forEach(command -> (command.withdrawn ? withdrawn : sent).add(command.attempt));
      inFlight.clear();
      queue.clear();
      pendingCount = 0;
      withdrawnCount = 0;
    }
    listener.onClosed(this, reason, unsent, sent, withdrawn);
  }

  // Sending.

  private void gatherBuffers() {
    List<ByteBuffer> buffers = new ArrayList<>();
    burst = new ArrayList<>();
    headers.clear();
    staging.clear();
    long bytes = 0;
    int headersStart = 0;
    long now = System.nanoTime();
    if (probePending && probeSentNs == 0) {
      probeSentNs = now;
      putRequestHeader(0, Nbd.CMD_BLOCK_STATUS, LOAD_COOKIE, 0, loadValues.length * Nbd.LOAD_BLOCK_BYTES);
    }
    while (!queue.isEmpty() && burst.size() < MAX_BURST_COMMANDS && bytes < MAX_BURST_BYTES) {
      Command command = queue.poll();
      command.stage = Stage.SENDING;
      command.sentNs = now;
      inFlight.put(command.cookie, command);
      burst.add(command);
      putRequestHeader(0, commandType(command.attempt.kind()), command.cookie, command.attempt.offset(),
          (int) command.attempt
              .length());
      if (command.attempt.kind() == IoKind.WRITE) {
        buffers.add(headers.slice(headersStart, headers.position() - headersStart));
        headersStart = headers.position();
        buffers.add(stageWrite(command));
        bytes += command.attempt.length();
      }
    }
    if (headers.position() > headersStart) {
      buffers.add(headers.slice(headersStart, headers.position() - headersStart));
    }
    gatherBuffers = buffers.toArray(new ByteBuffer[0]);
  }

  /** Copies the data of a write to the staging buffer. If the data were sent from the client's memory itself,
   * a client that truncates its memory would break this connection, which others use; and data that is
   * missing must not be replaced by what an earlier write left in the buffer. The cost is one copy per
   * write. */
  private ByteBuffer stageWrite(Command command) {
    int length = (int) command.attempt.length();
    ByteBuffer copy = staging.remaining() >= length
        ? staging.slice(staging.position(), length)
        : ByteBuffer.allocate(length);
    if (staging.remaining() >= length) {
      staging.position(staging.position() + length);
    }
    int position = 0;
    boolean complete = true;
    for (ByteBuffer b : command.data) {
      complete &= ClientMemory.copy(copy, position, b, b.position(), b.remaining());
      position += b.remaining();
    }
    if (!complete) {
      for (int i = 0; i < length; i++) {
        copy.put(i, (byte) 0);
      }
    }
    return copy;
  }

  private void putRequestHeader(int commandFlags, int type, long cookie, long offset, int length) {
    headers.putInt(Nbd.REQUEST_MAGIC)
        .putShort((short) commandFlags)
        .putShort((short) type)
        .putLong(cookie)
        .putLong(offset)
        .putInt(length);
  }

  private static int commandType(IoKind kind) {
    return switch (kind) {
      case READ -> Nbd.CMD_READ;
      case WRITE -> Nbd.CMD_WRITE;
      case FLUSH -> Nbd.CMD_FLUSH;
      case DISCARD -> Nbd.CMD_TRIM;
      case WRITE_ZEROES -> Nbd.CMD_WRITE_ZEROES;
    };
  }

  private void write() {
    int first = 0;
    while (first < gatherBuffers.length && !gatherBuffers[first].hasRemaining()) {
      first++;
    }
    channel.write(gatherBuffers, first, gatherBuffers.length - first, 0, TimeUnit.MILLISECONDS, null,
        new ChannelHandler<Long, Void>() {
          @Override
          public void completed(Long n, Void none) {
            handleWritten();
          }
        });
  }

  private void handleWritten() {
    boolean more;
    synchronized (this) {
      if (closed) {
        return;
      }
      more = false;
      for (ByteBuffer b : gatherBuffers) {
        more |= b.hasRemaining();
      }
      if (!more) {
        burst.forEach(command -> command.stage = Stage.SENT);
        writeInProgress = false;
      }
    }
    if (more) {
      write();
    } else {
      flush();
    }
  }

  // Receiving.

  private void read() {
    channel.read(input, null, new ChannelHandler<Integer, Void>() {
      @Override
      public void completed(Integer n, Void none) {
        if (n < 0) {
          close("the node closed the connection");
          return;
        }
        if (processInput()) {
          read();
        }
      }
    });
  }

  private boolean processInput() {
    try {
      synchronized (this) {
        if (closed) {
          return false;
        }
        lastReceivedNs = System.nanoTime();
        input.flip();
        if (negotiated) {
          replyParser.feed(input);
        }
      }
      if (!negotiated) {
        negotiate();
      }
      input.compact();
      if (fencedOff) {
        close("fenced off by a newer connection");
      }
      return !fencedOff;
    } catch (NbdHandshake.NegotiationException | NbdReplyParser.MalformedReplyException e) {
      close(e.getMessage());
      return false;
    }
  }

  private void negotiate() throws NbdHandshake.NegotiationException {
    boolean done = handshake.feed(input);
    ByteBuffer output = handshake.takeOutput();
    if (output.hasRemaining()) {
      sendNegotiation(output);
    }
    NodeView holderView = done ? handshake.holderView() : null;
    if (holderView != null && !holderView.holder().equals(fence.holder())) {
      close("superseded by epoch " + holderView.holder().epoch());
      listener.onSuperseded(this, holderView);
      return;
    }
    if (done) {
      boolean reportsLoad = handshake.loadContextId() >= 0;
      synchronized (this) {
        replyParser = new NbdReplyParser(handshake.structuredReplies(), this);
        negotiated = true;
        ready = true;
        if (reportsLoad) {
          probePending = true;
          probeSentNs = 0;
          writeInProgress = true;
          gatherBuffers();
        }
      }
      if (reportsLoad) {
        write();
      } else {
        listener.onReady(this, new long[0]);
      }
    }
  }

  /** Sends a message of the negotiation; these are small and sent one at a time. */
  private void sendNegotiation(ByteBuffer message) {
    channel.write(message, null, new ChannelHandler<Integer, Void>() {
      @Override
      public void completed(Integer n, Void none) {
        if (message.hasRemaining()) {
          sendNegotiation(message);
        }
      }
    });
  }

  @Override
  public long expectedBytes(long cookie) {
    if (cookie == LOAD_COOKIE) {
      return probePending ? 0 : -1;
    }
    Command command = inFlight.get(cookie);
    return command == null ? -1 : command.attempt.kind() == IoKind.READ ? command.attempt.length() : 0;
  }

  @Override
  public long requestOffset(long cookie) {
    return inFlight.get(cookie).attempt.offset();
  }

  @Override
  public void onData(long cookie, long offset, ByteBuffer in, int length) {
    Command command = inFlight.get(cookie);
    command.receivedBytes += length;
    if (command.withdrawn) {
      in.position(in.position() + length);
      return;
    }
    long skip = offset;
    int remaining = length;
    for (ByteBuffer buffer : command.data) {
      if (remaining > 0 && skip < buffer.limit()) {
        int count = (int) Math.min(remaining, buffer.limit() - skip);
        // A client that truncated its memory loses the data of its own reply only; it must not break the
        // connection, which others use.
        ClientMemory.copy(buffer, (int) skip, in, in.position(), count);
        in.position(in.position() + count);
        remaining -= count;
        skip = 0;
      } else {
        skip -= buffer.limit();
      }
    }
  }

  @Override
  public void onHole(long cookie, long offset, long length) {
    ByteBuffer zeros = ByteBuffer.allocate((int) Math.min(length, 64 * 1024));
    for (long done = 0; done < length;) {
      zeros.clear();
      int n = (int) Math.min(zeros.capacity(), length - done);
      onData(cookie, offset + done, zeros, n);
      done += n;
    }
  }

  @Override
  public void onBlockStatus(long cookie, int context, int index, int value) {
    if (cookie == LOAD_COOKIE && context == handshake.loadContextId() && index < loadValues.length) {
      loadValues[index] = Integer.toUnsignedLong(value);
    }
  }

  @Override
  public void onDone(long cookie, int error, String message) {
    if (cookie == LOAD_COOKIE) {
      probePending = false;
      boolean first = !readyReported;
      readyReported = true;
      if (first) {
        listener.onReady(this, loadValues.clone());
      } else {
        listener.onProbeEnded(this, error == 0 ? Result.OK : Result.ERROR, (System.nanoTime() - probeSentNs)
            / 1_000, loadValues
                .clone());
      }
      return;
    }
    Command command = inFlight.remove(cookie);
    pendingCount--;
    withdrawnCount -= command.withdrawn ? 1 : 0;
    if (error == Nbd.EPERM && handshake.loadContextId() >= 0 && message.equals(Nbd.MESSAGE_FENCED)) {
      fencedOff = true;
      if (command.withdrawn) {
        listener.onAttemptResolved(command.attempt);
      } else {
        listener.onAttemptEnded(command.attempt, Result.CONNECT_FAILED);
      }
    } else if (command.withdrawn) {
      listener.onAttemptResolved(command.attempt);
    } else if (error == 0 && command.attempt.kind() == IoKind.READ && command.receivedBytes < command.attempt
        .length()) {
      listener.onAttemptEnded(command.attempt, Result.ERROR);
    } else {
      listener.onAttemptEnded(command.attempt, error == 0
          ? Result.OK
          : rejectedUnprocessed(error, message) ? Result.FULL : Result.ERROR);
    }
  }

  /** Returns whether the node rejected a command without processing it; believed only of a node that supports
   * this project's contexts. */
  private boolean rejectedUnprocessed(int error, String message) {
    return handshake.loadContextId() >= 0 && (error == Nbd.ESHUTDOWN || error == Nbd.ENOMEM && message.equals(
        Nbd.MESSAGE_FULL));
  }

  /** Closes the connection when any operation on the channel fails. */
  private abstract class ChannelHandler<V, A> implements CompletionHandler<V, A> {
    @Override
    public void failed(Throwable e, A attachment) {
      close(e.getClass().getSimpleName() + (e.getMessage() == null ? "" : ": " + e.getMessage()));
    }
  }
}
