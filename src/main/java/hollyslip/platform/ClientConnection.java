package hollyslip.platform;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/** One client's connection: requests in, one after the other, and their answers out, in order. Every request
 * that was read whole gets its answer before the connection ends, so nothing is read once no answer can go
 * out any more: a connection at rest is closed as it is, which resets it if a request crosses the close, and
 * tells its client to send that request again.
 *
 * <p>
 * After an error that hides where the next request starts there are no requests any more: this side ends its
 * sending, drops what comes and closes, so that the client sees the error and not a reset. */
final class ClientConnection {
  /** Bytes that are read and dropped before the connection is closed: a client that goes on at full speed
   * after an error would take the event loop's time. Harm: it may see a reset in place of the error. */
  private static final int MOST_DROPPED = 1 << 20;

  /** Requests that may wait behind an open one to be served; more are refused in their turn. */
  private static final int MOST_WAITING = 32;

  /** Answers that may be owed before reading stops, and at which it goes on. */
  private static final int MOST_OWED = 4096, FEW_OWED = 1024;

  /** What a request that waits takes beside its body, bytes. */
  private static final int HEAD_BYTES = 1024;

  /** Reads in a row when a client's connection is looked at again: a request and the end that follows it take
   * two. */
  private static final int READS_IN_A_ROW = 16;

  private static final byte[] NOTHING = {};

  /** {@code OPEN}: requests are read and served. {@code ENDING}: the last answer is announced; requests that
   * still come are refused. {@code BROKEN}: where the next request starts is unknown; what comes is dropped,
   * answers still go out. {@code DISCARDING}: this side has ended its sending, what comes is dropped.
   * {@code CLOSED}: there is no connection any more. */
  private enum State {
    OPEN, ENDING, BROKEN, DISCARDING, CLOSED;

    boolean reads() {
      return this == OPEN || this == ENDING;
    }

    boolean answers() {
      return this == OPEN || this == ENDING || this == BROKEN;
    }
  }

  private final Front front;
  private final Channel channel;
  private final RequestDecoder decoder = new RequestDecoder();
  private final RequestAssembler assembler;
  private final ArrayDeque<Incoming> waiting = new ArrayDeque<>();
  private State state = State.OPEN;
  private Exchange open;
  /** When what is being read may have come, and what came with the connection. */
  private long arrivedAt, queuedSince;
  private long idleSince, writingSince = -1;
  /** Since when part of a request has been here, or the first one is waited for; -1: neither. */
  private long partSince;
  /** Bytes ever read; bytes that were dropped of them. */
  private long bytesRead;
  private int dropped;
  private boolean reading;
  private String closeReason = "client closed";

  ClientConnection(Front front, Channel channel) {
    this.front = front;
    this.channel = channel;
    assembler = new RequestAssembler(front, channel);
    partSince = front.now();
    idleSince = partSince;
    queuedSince = front.arrivals().queuedSince(partSince);
  }

  void open() {
    channel.pipeline().addLast(new Reads(), decoder, new Requests());
  }

  /** Since when nothing is open or under way here, us; -1: something is. A request of which a part has come
   * is: a slow one must not lose its connection to others' need of places. */
  long idleSince() {
    return resting() ? idleSince : -1;
  }

  /** Whether no request was ever begun on it. */
  boolean stranger() {
    return bytesRead == 0;
  }

  /** Whether nothing is open, waits or is being read or written. */
  private boolean resting() {
    return state.reads() && open == null && waiting.isEmpty() && writingSince < 0 && !decoder.within();
  }

  /** Closes it if it rests once all that has come was read. A request that comes after that is not read, and
   * its client told so by a reset. */
  void closeIfResting(String reason) {
    if (resting()) {
      readNow();
      if (resting()) {
        close(reason);
      }
    }
  }

  /** Closes it if only the client's end is waited for; what has come is dropped before, as a close over
   * unread bytes is a reset, which might take the error along. */
  void closeIfDiscarding() {
    if (state == State.DISCARDING) {
      readNow();
      close("error taken");
    }
  }

  private void close(String reason) {
    if (state != State.CLOSED) {
      closeReason = reason;
    }
    channel.close();
  }

  /** Reads all that has come, its end included. */
  private void readNow() {
    if (reading || state == State.CLOSED) {
      return;
    }
    long before = -1;
    for (int i = 0; i < READS_IN_A_ROW && bytesRead != before && channel.isActive(); i++) {
      before = bytesRead;
      Http.readNow(channel);
    }
    if (!channel.isActive()) {
      // The handlers would hear of it only in the loop's next task.
      closed();
    }
  }

  /** Ends what takes too long. */
  void sweep(long now) {
    if (writingSince >= 0 && now - writingSince >= Front.TAKEN_WITHIN_US) {
      close("answer not taken");
    } else if (state.reads() && partSince >= 0 && now - partSince >= front.wholeWithinUs()) {
      endPart();
    }
  }

  /** Waits no longer for the rest of a request, or for a first one. */
  void endPart() {
    if (!state.reads()) {
      return;
    }
    if (decoder.within()) {
      front.log().event("request.not-whole", "client", channel.remoteAddress());
      framingError(HttpResponseStatus.REQUEST_TIMEOUT);
    } else {
      // An answer might meet a first request under way, and be taken for its own.
      closeIfResting("nothing asked");
    }
  }

  /** Queues a request or an error for its answer, in its turn. */
  private void queue(Incoming item) {
    Incoming queued = item;
    if (item.isRequest() && !mayWait(item)) {
      front.log().event("request.too-many-at-once", "id", item.ask().id(), "client", channel.remoteAddress());
      queued = item.refused(HttpResponseStatus.SERVICE_UNAVAILABLE);
    }
    waiting.add(queued);
    if (open != null) {
      // Answers go out in order: the open one may not take longer than this one can wait.
      front.desk().hasten(open, queued.answerBy());
    }
    next();
    if (waiting.size() >= MOST_OWED) {
      channel.config().setAutoRead(false);
    }
  }

  /** Whether there is room for a request to wait until it is served; takes it. */
  private boolean mayWait(Incoming item) {
    return waiting.size() < MOST_WAITING && front.desk().hold(HEAD_BYTES + item.body().length);
  }

  private Incoming nextWaiting() {
    Incoming item = waiting.poll();
    if (item.isRequest()) {
      front.desk().letGo(HEAD_BYTES + item.body().length);
    }
    if (waiting.size() == FEW_OWED && state.answers()) {
      channel.config().setAutoRead(true);
    }
    return item;
  }

  private void dropWaiting() {
    while (!waiting.isEmpty()) {
      nextWaiting();
    }
  }

  /** What follows cannot be told apart, or is not wanted: an error in its turn, then the end. */
  private void framingError(HttpResponseStatus status) {
    if (state.reads()) {
      state = State.BROKEN;
      partSince = -1;
      assembler.reset();
      long within = status == HttpResponseStatus.REQUEST_TIMEOUT
          ? Front.TIMEOUT_WITHIN_US
          : Front.ERROR_WITHIN_US;
      queue(Incoming.error(status, front.now() + within, true));
    }
  }

  /** Goes on to the next in turn, if nothing is open. */
  private void next() {
    while (open == null && writingSince < 0 && state.answers() && !waiting.isEmpty()) {
      Incoming item = nextWaiting();
      if (!item.isRequest()) {
        answer(item.error(), NOTHING, 0, item.close());
      } else if (front.draining() || state == State.ENDING) {
        answer(HttpResponseStatus.SERVICE_UNAVAILABLE, NOTHING, 0, item.close());
      } else if (front.desk().isOpen(item.ask().id())) {
        answer(HttpResponseStatus.CONFLICT, NOTHING, 0, item.close());
      } else {
        open = front.desk().take(item.ask(), item.body(), item.cameAt(), new Reply(item.close()));
        waiting.stream()
            .mapToLong(Incoming::answerBy)
            .min()
            .ifPresent(earliest -> front.desk().hasten(open, earliest));
      }
    }
  }

  private final class Reply implements Exchange.Reply {
    private final boolean close;

    Reply(boolean close) {
      this.close = close;
    }

    private void give(HttpResponseStatus status, byte[] text, long retryInUs) {
      open = null;
      answer(status, text, retryInUs, close);
    }

    @Override
    public void served(byte[] answer) {
      give(HttpResponseStatus.OK, answer, 0);
    }

    @Override
    public void refused(long retryInUs) {
      give(HttpResponseStatus.SERVICE_UNAVAILABLE, NOTHING, retryInUs);
    }

    @Override
    public void failed() {
      give(HttpResponseStatus.BAD_GATEWAY, NOTHING, 0);
    }

    @Override
    public void readNow() {
      ClientConnection.this.readNow();
    }
  }

  /** Writes one answer.
   *
   * @param close
   *          its client asked for the end of the connection after it */
  private void answer(HttpResponseStatus status, byte[] text, long retryInUs, boolean close) {
    if (state == State.OPEN && (close || front.draining())) {
      state = State.ENDING;
    }
    // Whatever was read is answered before the connection ends.
    boolean last = state != State.OPEN && waiting.isEmpty();
    ByteBuf head = Http.answerHead(status, text.length, retryInUs, last);
    writingSince = front.now();
    channel.writeAndFlush(text.length == 0
        ? head
        : Unpooled.wrappedBuffer(head, Unpooled.wrappedBuffer(text))).addListener(f -> {
          writingSince = -1;
          idleSince = front.now();
          if (!f.isSuccess()) {
            close("answer not written");
          } else {
            answered(close);
          }
        });
  }

  /** An answer was given to the system. */
  private void answered(boolean close) {
    if (!waiting.isEmpty()) {
      next();
    } else if (state == State.BROKEN) {
      discard();
    } else if (state == State.ENDING && close) {
      closeIfResting("as the client asked");
    } else if (state == State.ENDING) {
      // The client is told to close; a request of its that crosses this answer is refused until then.
      channel.eventLoop()
          .schedule(() -> closeIfResting("told to close"), Front.TOLD_TO_CLOSE_US, TimeUnit.MICROSECONDS);
    }
  }

  /** Ends this side's sending; the rest goes once the client's side has ended too, or soon. */
  private void discard() {
    state = State.DISCARDING;
    ((SocketChannel) channel).shutdownOutput();
    long linger = front.draining() ? Front.TOLD_TO_CLOSE_US : Front.LINGER_US;
    channel.eventLoop().schedule(this::closeIfDiscarding, linger, TimeUnit.MICROSECONDS);
  }

  /** The connection is gone, and with it whoever waits for what is open. */
  private void closed() {
    if (state == State.CLOSED) {
      return;
    }
    logClosed();
    state = State.CLOSED;
    dropWaiting();
    assembler.reset();
    front.closed(this);
    if (open != null) {
      Exchange x = open;
      open = null;
      front.desk().departed(x);
    }
  }

  /** Logs an end that leaves something unanswered, or follows bytes that were not looked at. */
  private void logClosed() {
    if (open != null || !waiting.isEmpty() || decoder.within() || dropped > 0) {
      front.log()
          .event("client.closed", "client", channel.remoteAddress(), "reason", closeReason, "state", state,
              "open", open == null ? "none" : open.ask.id(), "waiting", waiting.size(), "partial", decoder
                  .within(), "dropped", dropped);
    }
  }

  /** Sees bytes before the codec does. */
  private final class Reads extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      int count = ((ByteBuf) message).readableBytes();
      long readAt = front.now();
      arrivedAt = bytesRead == 0 ? Math.min(queuedSince, readAt) : front.arrivals().arrival(readAt);
      bytesRead += count;
      if (!state.reads()) {
        drop(message, count);
        return;
      }
      if (partSince < 0) {
        partSince = readAt;
      }
      reading = true;
      try {
        ctx.fireChannelRead(message);
      } finally {
        reading = false;
      }
      if (!decoder.within() || !state.reads()) {
        partSince = -1;
      } else if (partSince < 0) {
        // A request ended in these bytes, and the next one began.
        partSince = readAt;
      }
    }

    private void drop(Object message, int count) {
      dropped += count;
      ReferenceCountUtil.release(message);
      if (dropped > MOST_DROPPED) {
        close("too much after an error");
      }
    }
  }

  private final class Requests extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      try {
        if (state.reads() && message instanceof HttpRequest r) {
          assembler.head(r, open == null && waiting.isEmpty() && writingSince < 0);
        }
        if (state.reads() && message instanceof HttpContent c) {
          Incoming whole = assembler.content(c, arrivedAt);
          if (whole != null) {
            partSince = -1;
            queue(whole);
          }
        }
      } catch (RequestAssembler.FramingLost e) {
        framingError(e.status);
      } finally {
        ReferenceCountUtil.release(message);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      closed();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (cause instanceof DecoderException) {
        front.log()
            .event("request.unreadable", "reason", cause.getMessage(), "client", channel.remoteAddress());
        framingError(HttpResponseStatus.BAD_REQUEST);
      } else {
        close(String.valueOf(cause.getMessage()));
      }
    }
  }
}
