package hollyslip.platform;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Locale;

/** One client's connection: requests in, one after the other, and their answers out. It is always read, so
 * that a client's leaving is seen; what comes beyond a bound is dropped. It ends by ending this side's
 * sending, reading out what still comes, and only then closing: a close over unread bytes would reset the
 * connection and take the last answer along. */
final class ClientConnection {
  /** Bytes that are read and dropped before the connection is closed: a client that goes on at full speed
   * after an error would take the event loop's time. Harm: it may see a reset in place of the error. */
  private static final int MOST_DROPPED = 1 << 20;

  /** Requests that may wait behind an open one: an ordinary client sends none. */
  private static final int MOST_WAITING = 8;
  private static final byte[] NOTHING = {};

  /** What becomes of bytes that come: they are parsed; they are dropped, while answers may still go out; they
   * are dropped, and this side has ended its sending; there are none any more. */
  private enum State {
    OPEN, DISCARDING, SHUT, CLOSED
  }

  private final Front front;
  private final Channel channel;
  private final RequestDecoder decoder = new RequestDecoder();
  private final ArrayDeque<Item> waiting = new ArrayDeque<>();
  private State state = State.OPEN;
  private long stateSince;
  /** What is being read: its head, or the answer that its head earned; and its body so far. */
  private Ask ask;
  private Item instead;
  private ByteBuf body = Unpooled.EMPTY_BUFFER;
  private boolean closeAfter;

  private Exchange open;
  private long readAt, idleSince, writingSince = -1;
  /** Since when part of a request has been here, or one is waited for that should have come first; -1: no. */
  private long partSince;
  private boolean asked, reading;
  private int dropped;

  /** Something to be answered in its turn: a request, or an error ({@code status}). */
  private record Item(Ask ask, byte[] body, long cameAt, HttpResponseStatus status, boolean close) {}

  ClientConnection(Front front, Channel channel) {
    this.front = front;
    this.channel = channel;
    partSince = front.now();
    idleSince = partSince;
    stateSince = partSince;
  }

  void open() {
    channel.pipeline().addLast(new Reads(), decoder, new Requests());
  }

  /** Since when nothing is open or under way here, us; -1: something is. A request of which a part has come
   * is: a slow one must not lose its connection to others' need of places. */
  long idleSince() {
    return quiet() ? idleSince : -1;
  }

  /** Whether no request was ever begun on it. */
  boolean stranger() {
    return !asked;
  }

  /** Whether nothing is open, waits or is being read or written. */
  private boolean quiet() {
    return state == State.OPEN && open == null && waiting.isEmpty() && writingSince < 0 && !decoder.within();
  }

  /** Ends it if it is quiet once all that has come was read. */
  void endIfQuiet() {
    if (quiet()) {
      readNow();
      if (quiet()) {
        shut();
      }
    }
  }

  /** Whether this side has ended its sending and only the client's end is waited for. */
  boolean isShut() {
    return state == State.SHUT;
  }

  /** Closes it at once; what has come is read before, as a close over unread bytes is a reset. */
  void close() {
    readNow();
    channel.close();
  }

  private void readNow() {
    if (!reading && state != State.CLOSED) {
      Http.readNow(channel);
      if (!channel.isActive()) {
        // The handlers would hear of it only in the loop's next task.
        closed();
      }
    }
  }

  /** Ends what takes too long. */
  void sweep(long now) {
    if (state == State.SHUT && now - stateSince >= Front.LINGER_US || writingSince >= 0 && now
        - writingSince >= Front.TAKEN_WITHIN_US) {
      close();
    } else if (state == State.OPEN && partSince >= 0 && now - partSince >= Front.WHOLE_WITHIN_US) {
      if (decoder.within()) {
        front.log().event("request.not-whole", "client", channel.remoteAddress());
        framingError(HttpResponseStatus.REQUEST_TIMEOUT);
      } else {
        // Nothing came: an answer might meet a first request under way, and be taken for its own.
        endIfQuiet();
      }
    }
  }

  private void head(HttpRequest r) {
    closeAfter = r.headers().containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
    dropBody();
    ask = null;
    instead = null;
    if (r.decoderResult().isFailure()) {
      framingError(HttpResponseStatus.BAD_REQUEST);
      return;
    }
    if (r.method().equals(HttpMethod.GET) && r.uri().equals("/ready")) {
      instead = error(front.ready() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE);
      return;
    }
    try {
      ask = front.reader().read(r);
      if (ask.bodyLength() != 0) {
        // Grows with what comes: a length that is only said must not take memory.
        body = Unpooled.buffer(1024, Bounds.BODY);
      }
      if (!front.desk().hasRoom(Math.max(0, ask.bodyLength()))) {
        ask = null;
        instead = error(HttpResponseStatus.SERVICE_UNAVAILABLE);
      } else if (ask.bodyLength() != 0 && r.headers()
          .containsValue(HttpHeaderNames.EXPECT, HttpHeaderValues.CONTINUE, true) && quiet()) {
        channel.writeAndFlush(Http.bytes("HTTP/1.1 100 Continue\r\n\r\n"));
      }
    } catch (Ask.Refused e) {
      front.log().event("request.bad", "reason", e.getMessage(), "client", channel.remoteAddress());
      if (e.framingLost) {
        framingError(e.status);
      } else {
        instead = error(e.status);
      }
    }
  }

  private Item error(HttpResponseStatus status) {
    return new Item(null, null, 0, status, closeAfter);
  }

  private void content(HttpContent c) {
    if (c.decoderResult().isFailure()) {
      framingError(HttpResponseStatus.BAD_REQUEST);
      return;
    }
    int more = c.content().readableBytes();
    if (ask != null && more > 0) {
      if (body.readableBytes() + more > Bounds.BODY) {
        framingError(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        return;
      }
      body.writeBytes(c.content());
    }
    if (c instanceof LastHttpContent) {
      partSince = -1;
      queue(instead != null ? instead : whole());
      ask = null;
      instead = null;
      dropBody();
    }
  }

  private Item whole() {
    if (!ask.write() && body.isReadable()) {
      front.log().event("request.bad", "reason", "body of a read", "client", channel.remoteAddress());
      return error(HttpResponseStatus.BAD_REQUEST);
    }
    return new Item(ask, body.isReadable() ? ByteBufUtil.getBytes(body) : NOTHING, readAt, null, closeAfter);
  }

  private void dropBody() {
    body.release();
    body = Unpooled.EMPTY_BUFFER;
  }

  private void queue(Item item) {
    if (waiting.size() >= MOST_WAITING) {
      front.log().event("request.too-many-at-once", "client", channel.remoteAddress());
      framingError(HttpResponseStatus.SERVICE_UNAVAILABLE);
      return;
    }
    waiting.add(item);
    next();
  }

  /** What follows cannot be told apart, or is not wanted: an error in its turn, then the end. */
  private void framingError(HttpResponseStatus status) {
    if (state == State.OPEN) {
      enter(State.DISCARDING);
      partSince = -1;
      dropBody();
      waiting.add(new Item(null, null, 0, status, true));
      next();
    }
  }

  private void enter(State next) {
    state = next;
    stateSince = front.now();
  }

  /** Goes on to the next in turn, if nothing is open. */
  private void next() {
    while (open == null && writingSince < 0 && (state == State.OPEN || state == State.DISCARDING) && !waiting
        .isEmpty()) {
      Item item = waiting.poll();
      if (item.status != null) {
        answer(item.status, NOTHING, 0, item.close);
      } else if (front.parting()) {
        answer(HttpResponseStatus.SERVICE_UNAVAILABLE, NOTHING, 0, item.close);
      } else if (front.desk().isOpen(item.ask.id())) {
        answer(HttpResponseStatus.CONFLICT, NOTHING, 0, item.close);
      } else {
        open = front.desk().take(item.ask, item.body, item.cameAt, new Reply(item.close));
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

  private void answer(HttpResponseStatus status, byte[] text, long retryInUs, boolean close) {
    // Whatever was read is answered before the connection ends.
    boolean last = close || front.parting() && waiting.isEmpty();
    StringBuilder head = new StringBuilder(96).append("HTTP/1.1 ")
        .append(status.code())
        .append(' ')
        .append(status.reasonPhrase())
        .append("\r\nContent-Length: ")
        .append(text.length)
        .append("\r\n");
    if (retryInUs > 0) {
      head.append("Retry-After: ")
          .append(String.format(Locale.ROOT, "%.3f", Math.max(0.001, retryInUs / 1e6)))
          .append("\r\n");
    }
    if (last) {
      head.append("Connection: close\r\n");
    }
    ByteBuf bytes = Http.bytes(head.append("\r\n").toString());
    writingSince = front.now();
    channel.writeAndFlush(text.length == 0
        ? bytes
        : Unpooled.wrappedBuffer(bytes, Unpooled.wrappedBuffer(text))).addListener(f -> {
          writingSince = -1;
          idleSince = front.now();
          if (!f.isSuccess()) {
            channel.close();
          } else if (last) {
            shut();
          } else {
            next();
          }
        });
  }

  /** Ends this side's sending; the rest goes once the client's side has ended too, or soon. Nothing that is
   * read from now on is looked at: the client sends it again elsewhere. */
  private void shut() {
    enter(State.SHUT);
    partSince = -1;
    waiting.clear();
    ((SocketChannel) channel).shutdownOutput();
  }

  /** The connection is gone, and with it whoever waits for what is open. */
  private void closed() {
    if (state == State.CLOSED) {
      return;
    }
    logClosed();
    enter(State.CLOSED);
    waiting.clear();
    dropBody();
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
          .event("client.closed", "client", channel.remoteAddress(), "state", state, "open", open == null
              ? "none"
              : open.ask.id(), "waiting", waiting.size(), "partial", decoder.within(), "dropped", dropped);
    }
  }

  /** Sees bytes before the codec does. */
  private final class Reads extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (state != State.OPEN) {
        dropped += ((ByteBuf) message).readableBytes();
        ReferenceCountUtil.release(message);
        if (dropped > MOST_DROPPED) {
          channel.close();
        }
        return;
      }
      asked = true;
      readAt = front.now();
      if (partSince < 0) {
        partSince = readAt;
      }
      reading = true;
      try {
        ctx.fireChannelRead(message);
      } finally {
        reading = false;
      }
      if (partSince >= 0 && !decoder.within()) {
        partSince = -1;
      }
    }
  }

  private final class Requests extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      try {
        if (state == State.OPEN && message instanceof HttpRequest r) {
          head(r);
        }
        if (state == State.OPEN && message instanceof HttpContent c) {
          content(c);
        }
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
        channel.close();
      }
    }
  }
}
