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

/** One connection to a node: commands go out in one stream, pipelined, replies come back in any order by
 * cookie. All state is guarded by the connection's monitor, which is held only for copies in memory. */
final class NbdConnection implements NbdReplyParser.Sink {
  private static final int INPUT_BUFFER_BYTES = 256 * 1024;
  private static final int MAX_BURST_COMMANDS = 64;
  private static final long MAX_BURST_BYTES = 1 << 20;
  private static final int REQUEST_HEADER_BYTES = 28;
  private static final long LOAD_COOKIE = -1;

  /** Who hears of what happens; calls come from any thread, never with the monitor held twice. */
  interface Listener {
    /** The negotiation is over; {@code load} are the node's figures, empty if it tells none. */
    void onReady(NbdConnection connection, long[] load);

    void onAttemptEnded(Attempt attempt, Result result);

    void onAttemptResolved(Attempt attempt);

    void onProbeEnded(NbdConnection connection, Result result, long tookUs, long[] load);

    /** The node does not count this connection as the newest holder's: nothing of it runs there. */
    void onSuperseded(NbdConnection connection, NodeView known);

    /** It is over: {@code waiting} never left, {@code sent} may run, {@code silent} are those of which the
     * engine has already heard. */
    void onClosed(NbdConnection connection, String why, List<Attempt> waiting, List<Attempt> sent,
        List<Attempt> silent);
  }

  /** Bytes of writes that are sent from one buffer; more, and larger ones, get their own. */
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
  /** Of {@link #inFlight}, how many are given up. */
  private int withdrawnCount;
  /** Queued or out; written under the monitor. */
  private volatile int pendingCount;
  /** Whether the pool has it among those with something to send; the pool's thread. */
  boolean flushScheduled;
  private final ByteBuffer input = ByteBuffer.allocateDirect(INPUT_BUFFER_BYTES);
  private final ByteBuffer headers = ByteBuffer.allocateDirect((MAX_BURST_COMMANDS + 1)
      * REQUEST_HEADER_BYTES);
  private final ByteBuffer staging = ByteBuffer.allocateDirect(STAGING_BYTES);
  private final long[] loadValues = new long[Nbd.LoadMetric.values().length];
  private NbdReplyParser replyParser;
  private boolean negotiated, ready, writeInProgress, closed, probePending, readyReported;
  private long probeSentNs, lastReceivedNs;
  /** A newer fence stands at the node: nothing of this connection runs there any more. */
  private boolean fencedOff;
  private List<Command> burst = List.of();
  private ByteBuffer[] gatherBuffers;

  NbdConnection(AsynchronousChannelGroup group, long node, String export, Fence fence, Listener owner)
      throws IOException {
    this.fence = fence;
    this.node = node;
    this.listener = owner;
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

  /** Takes an attempt; it leaves with the next {@link #flush}. False: the connection is closed. */
  synchronized boolean add(Attempt attempt) {
    if (closed) {
      return false;
    }
    Command slot = new Command(attempt, attempt.requestId() << 12 | attempt.number() & 0xfff);
    attempt.handle = slot;
    queue.add(slot);
    pendingCount++;
    return true;
  }

  /** Sends what waits, if nothing is being sent. */
  void flush() {
    boolean go;
    synchronized (this) {
      go = ready && !writeInProgress && !closed && (!queue.isEmpty() || probePending && probeSentNs == 0);
      if (go) {
        writeInProgress = true;
        gatherBuffers();
      }
    }
    if (go) {
      write();
    }
  }

  /** Asks for the node's load; answered by {@link Listener#onProbeEnded}. */
  synchronized boolean probe() {
    if (closed || !ready || probePending || handshake.loadContextId() < 0) {
      return false;
    }
    probePending = true;
    probeSentNs = 0;
    return true;
  }

  /** Gives an attempt up: nothing touches its data after this call. A write that is being sent goes on from
   * its copy: others' requests are on this connection too. */
  synchronized WithdrawResult withdraw(Attempt attempt) {
    Command slot = (Command) attempt.handle;
    if (slot.withdrawn || closed) {
      return WithdrawResult.ENDED;
    }
    if (slot.stage == Stage.QUEUED) {
      pendingCount -= queue.remove(slot) ? 1 : 0;
      return WithdrawResult.NEVER_SENT;
    }
    if (inFlight.get(slot.cookie) != slot) {
      return WithdrawResult.ENDED;
    }
    slot.withdrawn = true;
    withdrawnCount++;
    return WithdrawResult.MAY_RUN;
  }

  /** Gives back what has not left yet. */
  synchronized List<Attempt> removeQueued() {
    List<Attempt> waiting = queue.stream().map(s -> s.attempt).toList();
    queue.clear();
    pendingCount -= waiting.size();
    return waiting;
  }

  /** Attempts queued or out whose end is still to be told. */
  synchronized int activeCount() {
    return pendingCount - withdrawnCount;
  }

  /** Attempts queued or out, given up or not. */
  int pendingCount() {
    return pendingCount;
  }

  /** The connection to which an attempt was given; null: none was. */
  static NbdConnection connectionOf(Attempt attempt) {
    return attempt.handle instanceof Command s ? s.connection() : null;
  }

  synchronized boolean isOpen() {
    return !closed;
  }

  /** Whether it has been silent for so long while something given up was out. */
  synchronized boolean isSilentFor(long ns) {
    if (withdrawnCount == 0) {
      return false;
    }
    long from = System.nanoTime();
    for (Command s : inFlight.values()) {
      if (s.withdrawn && from - Math.max(s.sentNs, lastReceivedNs) > ns) {
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

  /** Whether it ended since the node runs nothing of it any more. */
  synchronized boolean fencedOff() {
    return fencedOff;
  }

  boolean allowsMultipleConnections() {
    return handshake.hasFlag(Nbd.CAN_MULTI_CONN);
  }

  /** Says goodbye where that can be done at once, then closes. */
  void disconnect(String why) {
    boolean idle;
    synchronized (this) {
      idle = ready && !writeInProgress && !closed;
      writeInProgress |= idle;
    }
    if (!idle) {
      close(why);
      return;
    }
    ByteBuffer bye = ByteBuffer.allocate(REQUEST_HEADER_BYTES)
        .putInt(Nbd.REQUEST)
        .putShort((short) 0)
        .putShort((short) Nbd.CMD_DISC)
        .putLong(0)
        .putLong(0)
        .putInt(0)
        .flip();
    channel.write(bye, null, new ChannelHandler<Integer, Void>() {
      @Override
      public void completed(Integer n, Void none) {
        close(why);
      }
    });
  }

  void close(String why) {
    List<Attempt> waiting = new ArrayList<>();
    List<Attempt> sent = new ArrayList<>();
    List<Attempt> silent = new ArrayList<>();
    synchronized (this) {
      if (closed) {
        return;
      }
      closed = true;
      try {
        channel.close();
      } catch (IOException e) {
        why = why + " (" + e.getMessage() + ")";
      }
      queue.forEach(s -> waiting.add(s.attempt));
      inFlight.values().forEach(s -> (s.withdrawn ? silent : sent).add(s.attempt));
      inFlight.clear();
      queue.clear();
      pendingCount = 0;
      withdrawnCount = 0;
    }
    listener.onClosed(this, why, waiting, sent, silent);
  }

  // Out.

  private void gatherBuffers() {
    List<ByteBuffer> out = new ArrayList<>();
    burst = new ArrayList<>();
    headers.clear();
    staging.clear();
    long bytes = 0;
    int from = 0;
    long at = System.nanoTime();
    if (probePending && probeSentNs == 0) {
      probeSentNs = at;
      putRequestHeader(0, Nbd.CMD_BLOCK_STATUS, LOAD_COOKIE, 0, loadValues.length * Nbd.LOAD_STEP);
    }
    while (!queue.isEmpty() && burst.size() < MAX_BURST_COMMANDS && bytes < MAX_BURST_BYTES) {
      Command s = queue.poll();
      s.stage = Stage.SENDING;
      s.sentNs = at;
      inFlight.put(s.cookie, s);
      burst.add(s);
      putRequestHeader(0, commandType(s.attempt.kind()), s.cookie, s.attempt.offset(), (int) s.attempt
          .length());
      if (s.attempt.kind() == IoKind.WRITE) {
        out.add(headers.slice(from, headers.position() - from));
        from = headers.position();
        out.add(stageWrite(s));
        bytes += s.attempt.length();
      }
    }
    if (headers.position() > from) {
      out.add(headers.slice(from, headers.position() - from));
    }
    gatherBuffers = out.toArray(new ByteBuffer[0]);
  }

  /** A copy of what a write brings. Sent from the client's memory itself, memory that is cut short would end
   * this connection, which others use; and what is not there must not be what a write before left here. Harm:
   * a copy a write. */
  private ByteBuffer stageWrite(Command s) {
    int length = (int) s.attempt.length();
    ByteBuffer to = staging.remaining() >= length
        ? staging.slice(staging.position(), length)
        : ByteBuffer.allocate(length);
    if (staging.remaining() >= length) {
      staging.position(staging.position() + length);
    }
    int at = 0;
    boolean whole = true;
    for (ByteBuffer b : s.data) {
      whole &= ClientMemory.copy(to, at, b, b.position(), b.remaining());
      at += b.remaining();
    }
    if (!whole) {
      for (int i = 0; i < length; i++) {
        to.put(i, (byte) 0);
      }
    }
    return to;
  }

  private void putRequestHeader(int commandFlags, int command, long cookie, long offset, int length) {
    headers.putInt(Nbd.REQUEST)
        .putShort((short) commandFlags)
        .putShort((short) command)
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
    int from = 0;
    while (from < gatherBuffers.length && !gatherBuffers[from].hasRemaining()) {
      from++;
    }
    channel.write(gatherBuffers, from, gatherBuffers.length - from, 0, TimeUnit.MILLISECONDS, null,
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
        burst.forEach(s -> s.stage = Stage.SENT);
        writeInProgress = false;
      }
    }
    if (more) {
      write();
    } else {
      flush();
    }
  }

  // In.

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
        close("fenced by another connection's negotiation");
      }
      return !fencedOff;
    } catch (NbdHandshake.NegotiationException | NbdReplyParser.MalformedReplyException e) {
      close(e.getMessage());
      return false;
    }
  }

  private void negotiate() throws NbdHandshake.NegotiationException {
    boolean done = handshake.feed(input);
    ByteBuffer out = handshake.takeOutput();
    if (out.hasRemaining()) {
      sendNegotiation(out);
    }
    NodeView known = done ? handshake.holderView() : null;
    if (known != null && !known.holder().equals(fence.holder())) {
      close("superseded by epoch " + known.holder().epoch());
      listener.onSuperseded(this, known);
      return;
    }
    if (done) {
      boolean tells = handshake.loadContextId() >= 0;
      synchronized (this) {
        replyParser = new NbdReplyParser(handshake.structuredReplies(), this);
        negotiated = true;
        ready = true;
        if (tells) {
          probePending = true;
          probeSentNs = 0;
          writeInProgress = true;
          gatherBuffers();
        }
      }
      if (tells) {
        write();
      } else {
        listener.onReady(this, new long[0]);
      }
    }
  }

  /** Negotiation alone: one small message at a time. */
  private void sendNegotiation(ByteBuffer out) {
    channel.write(out, null, new ChannelHandler<Integer, Void>() {
      @Override
      public void completed(Integer n, Void none) {
        if (out.hasRemaining()) {
          sendNegotiation(out);
        }
      }
    });
  }

  @Override
  public long expectedBytes(long cookie) {
    if (cookie == LOAD_COOKIE) {
      return probePending ? 0 : -1;
    }
    Command s = inFlight.get(cookie);
    return s == null ? -1 : s.attempt.kind() == IoKind.READ ? s.attempt.length() : 0;
  }

  @Override
  public long requestOffset(long cookie) {
    return inFlight.get(cookie).attempt.offset();
  }

  @Override
  public void onData(long cookie, long at, ByteBuffer from, int length) {
    Command s = inFlight.get(cookie);
    s.receivedBytes += length;
    if (s.withdrawn) {
      from.position(from.position() + length);
      return;
    }
    long skip = at;
    int left = length;
    for (ByteBuffer b : s.data) {
      if (left > 0 && skip < b.limit()) {
        int n = (int) Math.min(left, b.limit() - skip);
        // A client that cut its memory short loses its own answer's data, and must not take the connection,
        // which
        // others use, with it.
        ClientMemory.copy(b, (int) skip, from, from.position(), n);
        from.position(from.position() + n);
        left -= n;
        skip = 0;
      } else {
        skip -= b.limit();
      }
    }
  }

  @Override
  public void onHole(long cookie, long at, long length) {
    ByteBuffer zeros = ByteBuffer.allocate((int) Math.min(length, 64 * 1024));
    for (long done = 0; done < length;) {
      zeros.clear();
      int n = (int) Math.min(zeros.capacity(), length - done);
      onData(cookie, at + done, zeros, n);
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
    Command s = inFlight.remove(cookie);
    pendingCount--;
    withdrawnCount -= s.withdrawn ? 1 : 0;
    if (error == Nbd.EPERM && handshake.loadContextId() >= 0 && message.equals(Nbd.MESSAGE_FENCED)) {
      fencedOff = true;
      if (s.withdrawn) {
        listener.onAttemptResolved(s.attempt);
      } else {
        listener.onAttemptEnded(s.attempt, Result.CONNECT_FAILED);
      }
    } else if (s.withdrawn) {
      listener.onAttemptResolved(s.attempt);
    } else if (error == 0 && s.attempt.kind() == IoKind.READ && s.receivedBytes < s.attempt.length()) {
      listener.onAttemptEnded(s.attempt, Result.ERROR);
    } else {
      listener.onAttemptEnded(s.attempt, error == 0
          ? Result.OK
          : rejectedUnprocessed(error, message) ? Result.FULL : Result.ERROR);
    }
  }

  /** Only a node that speaks our contexts is believed that it never looked at a command. */
  private boolean rejectedUnprocessed(int error, String message) {
    return handshake.loadContextId() >= 0 && (error == Nbd.ESHUTDOWN || error == Nbd.ENOMEM && message.equals(
        Nbd.MESSAGE_FULL));
  }

  /** A failed operation of the channel ends the connection, whatever it was. */
  private abstract class ChannelHandler<V, A> implements CompletionHandler<V, A> {
    @Override
    public void failed(Throwable e, A attachment) {
      close(e.getClass().getSimpleName() + (e.getMessage() == null ? "" : ": " + e.getMessage()));
    }
  }
}
