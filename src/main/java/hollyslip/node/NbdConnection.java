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
  private static final int IN_BYTES = 256 * 1024;
  private static final int BURST = 64;
  private static final long BURST_BYTES = 1 << 20;
  private static final int HEADER = 28;
  private static final long LOAD_COOKIE = -1;

  /** Who hears of what happens; calls come from any thread, never with the monitor held twice. */
  interface Owner {
    /** The negotiation is over; {@code load} are the node's figures, empty if it tells none. */
    void ready(NbdConnection connection, long[] load);

    void ended(Attempt attempt, Result result);

    void resolved(Attempt attempt);

    void probed(NbdConnection connection, Result result, long tookUs, long[] load);

    /** The node does not count this connection as the newest holder's: nothing of it runs there. */
    void superseded(NbdConnection connection, NodeView known);

    /** It is over: {@code waiting} never left, {@code sent} may run, {@code silent} are those of which the
     * engine has already heard. */
    void closed(NbdConnection connection, String why, List<Attempt> waiting, List<Attempt> sent,
        List<Attempt> silent);
  }

  /** Bytes of writes that are sent from one buffer; more, and larger ones, get their own. */
  private static final int STAGING = 256 << 10;

  private enum Stage {
    QUEUED, SENDING, SENT
  }

  private final class Slot {
    final Attempt attempt;
    final long cookie;
    final List<ByteBuffer> data;
    Stage stage = Stage.QUEUED;
    boolean detached;
    long received;
    long sentNs;

    Slot(Attempt attempt, long cookie) {
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
  private final Owner owner;
  private final AsynchronousSocketChannel channel;
  private final NbdHandshake handshake;
  private final ArrayDeque<Slot> queue = new ArrayDeque<>();
  private final Long2ObjectHashMap<Slot> flight = new Long2ObjectHashMap<>();
  /** Of {@link #flight}, how many are given up. */
  private int detached;
  /** Queued or out; written under the monitor. */
  private volatile int size;
  /** Whether the pool has it among those with something to send; the pool's thread. */
  boolean dirty;
  private final ByteBuffer in = ByteBuffer.allocateDirect(IN_BYTES);
  private final ByteBuffer headers = ByteBuffer.allocateDirect((BURST + 1) * HEADER);
  private final ByteBuffer staging = ByteBuffer.allocateDirect(STAGING);
  private final long[] load = new long[Nbd.Load.values().length];
  private NbdReplyParser replies;
  private boolean negotiated, ready, writing, closed, probing, opened;
  private long probeNs, heardNs;
  /** A newer fence stands at the node: nothing of this connection runs there any more. */
  private boolean fencedOff;
  private List<Slot> burst = List.of();
  private ByteBuffer[] gather;

  NbdConnection(AsynchronousChannelGroup group, long node, String export, Fence fence, Owner owner)
      throws IOException {
    this.fence = fence;
    this.node = node;
    this.owner = owner;
    handshake = new NbdHandshake(export, fence);
    channel = AsynchronousSocketChannel.open(group);
    channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
  }

  void connect(SocketAddress address) {
    channel.connect(address, null, new Handler<Void, Void>() {
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
    Slot slot = new Slot(attempt, attempt.requestId() << 12 | attempt.number() & 0xfff);
    attempt.handle = slot;
    queue.add(slot);
    size++;
    return true;
  }

  /** Sends what waits, if nothing is being sent. */
  void flush() {
    boolean go;
    synchronized (this) {
      go = ready && !writing && !closed && (!queue.isEmpty() || probing && probeNs == 0);
      if (go) {
        writing = true;
        gather();
      }
    }
    if (go) {
      write();
    }
  }

  /** Asks for the node's load; answered by {@link Owner#probed}. */
  synchronized boolean probe() {
    if (closed || !ready || probing || handshake.loadContext() < 0) {
      return false;
    }
    probing = true;
    probeNs = 0;
    return true;
  }

  /** Gives an attempt up: nothing touches its data after this call. A write that is being sent goes on from
   * its copy: others' requests are on this connection too. */
  synchronized WithdrawResult withdraw(Attempt attempt) {
    Slot slot = (Slot) attempt.handle;
    if (slot.detached || closed) {
      return WithdrawResult.ENDED;
    }
    if (slot.stage == Stage.QUEUED) {
      size -= queue.remove(slot) ? 1 : 0;
      return WithdrawResult.NEVER_SENT;
    }
    if (flight.get(slot.cookie) != slot) {
      return WithdrawResult.ENDED;
    }
    slot.detached = true;
    detached++;
    return WithdrawResult.MAY_RUN;
  }

  /** Gives back what has not left yet. */
  synchronized List<Attempt> takeBack() {
    List<Attempt> waiting = queue.stream().map(s -> s.attempt).toList();
    queue.clear();
    size -= waiting.size();
    return waiting;
  }

  /** Attempts queued or out whose end is still to be told. */
  synchronized int live() {
    return size - detached;
  }

  /** Attempts queued or out, given up or not. */
  int size() {
    return size;
  }

  /** The connection to which an attempt was given; null: none was. */
  static NbdConnection carrier(Attempt attempt) {
    return attempt.handle instanceof Slot s ? s.connection() : null;
  }

  synchronized boolean isOpen() {
    return !closed;
  }

  /** Whether it has been silent for so long while something given up was out. */
  synchronized boolean silentFor(long ns) {
    if (detached == 0) {
      return false;
    }
    long from = System.nanoTime();
    for (Slot s : flight.values()) {
      if (s.detached && from - Math.max(s.sentNs, heardNs) > ns) {
        return true;
      }
    }
    return false;
  }

  synchronized boolean isReady() {
    return ready && !closed;
  }

  boolean fenced() {
    return handshake.fenced();
  }

  /** Whether it ended since the node runs nothing of it any more. */
  synchronized boolean fencedOff() {
    return fencedOff;
  }

  boolean multi() {
    return handshake.has(Nbd.CAN_MULTI_CONN);
  }

  /** Says goodbye where that can be done at once, then closes. */
  void leave(String why) {
    boolean idle;
    synchronized (this) {
      idle = ready && !writing && !closed;
      writing |= idle;
    }
    if (!idle) {
      close(why);
      return;
    }
    ByteBuffer bye = ByteBuffer.allocate(HEADER)
        .putInt(Nbd.REQUEST)
        .putShort((short) 0)
        .putShort((short) Nbd.CMD_DISC)
        .putLong(0)
        .putLong(0)
        .putInt(0)
        .flip();
    channel.write(bye, null, new Handler<Integer, Void>() {
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
      flight.values().forEach(s -> (s.detached ? silent : sent).add(s.attempt));
      flight.clear();
      queue.clear();
      size = 0;
      detached = 0;
    }
    owner.closed(this, why, waiting, sent, silent);
  }

  // Out.

  private void gather() {
    List<ByteBuffer> out = new ArrayList<>();
    burst = new ArrayList<>();
    headers.clear();
    staging.clear();
    long bytes = 0;
    int from = 0;
    long at = System.nanoTime();
    if (probing && probeNs == 0) {
      probeNs = at;
      header(0, Nbd.CMD_BLOCK_STATUS, LOAD_COOKIE, 0, load.length * Nbd.LOAD_STEP);
    }
    while (!queue.isEmpty() && burst.size() < BURST && bytes < BURST_BYTES) {
      Slot s = queue.poll();
      s.stage = Stage.SENDING;
      s.sentNs = at;
      flight.put(s.cookie, s);
      burst.add(s);
      header(0, command(s.attempt.kind()), s.cookie, s.attempt.offset(), (int) s.attempt.length());
      if (s.attempt.kind() == IoKind.WRITE) {
        out.add(headers.slice(from, headers.position() - from));
        from = headers.position();
        out.add(staged(s));
        bytes += s.attempt.length();
      }
    }
    if (headers.position() > from) {
      out.add(headers.slice(from, headers.position() - from));
    }
    gather = out.toArray(new ByteBuffer[0]);
  }

  /** A copy of what a write brings. Sent from the client's memory itself, memory that is cut short would end
   * this connection, which others use; and what is not there must not be what a write before left here. Harm:
   * a copy a write. */
  private ByteBuffer staged(Slot s) {
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

  private void header(int commandFlags, int command, long cookie, long offset, int length) {
    headers.putInt(Nbd.REQUEST)
        .putShort((short) commandFlags)
        .putShort((short) command)
        .putLong(cookie)
        .putLong(offset)
        .putInt(length);
  }

  private static int command(IoKind kind) {
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
    while (from < gather.length && !gather[from].hasRemaining()) {
      from++;
    }
    channel.write(gather, from, gather.length - from, 0, TimeUnit.MILLISECONDS, null,
        new Handler<Long, Void>() {
          @Override
          public void completed(Long n, Void none) {
            written();
          }
        });
  }

  private void written() {
    boolean more;
    synchronized (this) {
      if (closed) {
        return;
      }
      more = false;
      for (ByteBuffer b : gather) {
        more |= b.hasRemaining();
      }
      if (!more) {
        burst.forEach(s -> s.stage = Stage.SENT);
        writing = false;
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
    channel.read(in, null, new Handler<Integer, Void>() {
      @Override
      public void completed(Integer n, Void none) {
        if (n < 0) {
          close("the node closed the connection");
          return;
        }
        if (received()) {
          read();
        }
      }
    });
  }

  private boolean received() {
    try {
      synchronized (this) {
        if (closed) {
          return false;
        }
        heardNs = System.nanoTime();
        in.flip();
        if (negotiated) {
          replies.feed(in);
        }
      }
      if (!negotiated) {
        negotiate();
      }
      in.compact();
      if (fencedOff) {
        close("fenced by another connection's negotiation");
      }
      return !fencedOff;
    } catch (NbdHandshake.Refused | NbdReplyParser.Broken e) {
      close(e.getMessage());
      return false;
    }
  }

  private void negotiate() throws NbdHandshake.Refused {
    boolean done = handshake.feed(in);
    ByteBuffer out = handshake.out();
    if (out.hasRemaining()) {
      sendAll(out);
    }
    NodeView known = done ? handshake.known() : null;
    if (known != null && !known.holder().equals(fence.holder())) {
      close("superseded by epoch " + known.holder().epoch());
      owner.superseded(this, known);
      return;
    }
    if (done) {
      boolean tells = handshake.loadContext() >= 0;
      synchronized (this) {
        replies = new NbdReplyParser(handshake.structured(), this);
        negotiated = true;
        ready = true;
        if (tells) {
          probing = true;
          probeNs = 0;
          writing = true;
          gather();
        }
      }
      if (tells) {
        write();
      } else {
        owner.ready(this, new long[0]);
      }
    }
  }

  /** Negotiation alone: one small message at a time. */
  private void sendAll(ByteBuffer out) {
    channel.write(out, null, new Handler<Integer, Void>() {
      @Override
      public void completed(Integer n, Void none) {
        if (out.hasRemaining()) {
          sendAll(out);
        }
      }
    });
  }

  @Override
  public long expects(long cookie) {
    if (cookie == LOAD_COOKIE) {
      return probing ? 0 : -1;
    }
    Slot s = flight.get(cookie);
    return s == null ? -1 : s.attempt.kind() == IoKind.READ ? s.attempt.length() : 0;
  }

  @Override
  public long offset(long cookie) {
    return flight.get(cookie).attempt.offset();
  }

  @Override
  public void data(long cookie, long at, ByteBuffer from, int length) {
    Slot s = flight.get(cookie);
    s.received += length;
    if (s.detached) {
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
  public void hole(long cookie, long at, long length) {
    ByteBuffer zeros = ByteBuffer.allocate((int) Math.min(length, 64 * 1024));
    for (long done = 0; done < length;) {
      zeros.clear();
      int n = (int) Math.min(zeros.capacity(), length - done);
      data(cookie, at + done, zeros, n);
      done += n;
    }
  }

  @Override
  public void status(long cookie, int context, int index, int value) {
    if (cookie == LOAD_COOKIE && context == handshake.loadContext() && index < load.length) {
      load[index] = Integer.toUnsignedLong(value);
    }
  }

  @Override
  public void done(long cookie, int error, String message) {
    if (cookie == LOAD_COOKIE) {
      probing = false;
      boolean first = !opened;
      opened = true;
      if (first) {
        owner.ready(this, load.clone());
      } else {
        owner.probed(this, error == 0 ? Result.OK : Result.ERROR, (System.nanoTime() - probeNs) / 1_000, load
            .clone());
      }
      return;
    }
    Slot s = flight.remove(cookie);
    size--;
    detached -= s.detached ? 1 : 0;
    if (error == Nbd.EPERM && handshake.loadContext() >= 0 && message.equals(Nbd.MESSAGE_FENCED)) {
      fencedOff = true;
      if (s.detached) {
        owner.resolved(s.attempt);
      } else {
        owner.ended(s.attempt, Result.CONNECT_FAILED);
      }
    } else if (s.detached) {
      owner.resolved(s.attempt);
    } else if (error == 0 && s.attempt.kind() == IoKind.READ && s.received < s.attempt.length()) {
      owner.ended(s.attempt, Result.ERROR);
    } else {
      owner.ended(s.attempt, error == 0
          ? Result.OK
          : turnedAway(error, message) ? Result.FULL : Result.ERROR);
    }
  }

  /** Only a node that speaks our contexts is believed that it never looked at a command. */
  private boolean turnedAway(int error, String message) {
    return handshake.loadContext() >= 0 && (error == Nbd.ESHUTDOWN || error == Nbd.ENOMEM && message.equals(
        Nbd.MESSAGE_FULL));
  }

  /** A failed operation of the channel ends the connection, whatever it was. */
  private abstract class Handler<V, A> implements CompletionHandler<V, A> {
    @Override
    public void failed(Throwable e, A attachment) {
      close(e.getClass().getSimpleName() + (e.getMessage() == null ? "" : ": " + e.getMessage()));
    }
  }
}
