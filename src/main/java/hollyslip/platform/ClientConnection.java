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
import java.util.concurrent.TimeUnit;

/** A client connection. Serves requests one after the other and writes responses in request order. Every
 * completely read request is answered before the connection is closed, so nothing is read once no response
 * can be sent any more: a request that arrives while an idle connection is being closed stays unread, which
 * causes a reset and tells the client to send that request again.
 *
 * <p>
 * After a framing error, when the start of the next request is unknown, no more requests are read: this side
 * shuts down its output, discards further input and then closes, so that the client sees the error and not a
 * reset.
 *
 * <p>
 * A client that closes its connection, or only its output, has gone: its open request is abandoned in every
 * state, however much stands before its end ({@link ClientInput}). */
final class ClientConnection {
  /** Bytes that are discarded after the last response before the connection is closed: a client that keeps
   * sending at full speed would take up the event loop's time. The drawback is that such a client may see a
   * reset instead of the error. */
  private static final int MAX_DISCARDED_BYTES = 1 << 20;

  /** Size of responses without a body from which on no more are added to a write, bytes, and how many equal
   * ones are added at once. */
  private static final int MAX_BYTES_PER_WRITE = 4 << 10, MAX_RESPONSES_PER_ITEM = 64;

  private static final byte[] EMPTY_BODY = {};

  /** {@code OPEN}: requests are read and served. {@code ENDING}: the connection closes after the last pending
   * response; further requests are refused. {@code BROKEN}: the start of the next request is unknown; input
   * is discarded, pending responses are still sent. {@code DISCARDING}: the output is shut down, input is
   * discarded. {@code CLOSED}: the connection is closed. */
  private enum State {
    OPEN, ENDING, BROKEN, DISCARDING, CLOSED;

    boolean acceptsRequests() {
      return this == OPEN || this == ENDING;
    }

    boolean sendsResponses() {
      return this == OPEN || this == ENDING || this == BROKEN;
    }
  }

  private final ClientConnectionManager manager;
  private final Channel channel;
  private final RequestDecoder decoder = new RequestDecoder();
  private final RequestAssembler assembler;
  private final RequestQueue queued;
  private State state = State.OPEN;
  private Exchange current;
  private long idleSince, writeStartedAt = -1;
  /** Since when a partial request has been present or the first request has been awaited; -1: neither. */
  private long partialRequestSince;
  private final ClientInput input;
  private long discardedBytes;
  private boolean excessLogged;
  private String closeReason = "client closed";

  ClientConnection(ClientConnectionManager manager, Channel channel) {
    this.manager = manager;
    this.channel = channel;
    assembler = new RequestAssembler(manager, channel);
    queued = new RequestQueue(manager.dispatcher().requestBytes());
    partialRequestSince = manager.now();
    idleSince = partialRequestSince;
    input = new ClientInput(manager, channel, new InputOwner());
  }

  void start() {
    channel.pipeline().addLast(new InboundBytesHandler(), decoder, new RequestHandler());
  }

  /** Since when the connection has been idle, us; -1 if it is not. A partial request counts as activity, so
   * that a slowly sent request does not lose its connection to an eviction. */
  long idleSince() {
    return isIdle() ? idleSince : -1;
  }

  /** Whether no byte of a request was ever received. */
  boolean isUnused() {
    return input.bytesRead() == 0;
  }

  /** Whether no request is open, queued or partly read and no response is being written. */
  private boolean isIdle() {
    return state.acceptsRequests() && current == null && queued.isEmpty() && writeStartedAt < 0 && !decoder
        .hasPartialRequest();
  }

  /** Closes the connection if it is still idle after all pending input was read. A request that arrives later
   * is not read, which the client learns from a reset. */
  void closeIfIdle(String reason) {
    if (isIdle()) {
      input.readPending();
      if (isIdle()) {
        close(reason);
      }
    }
  }

  /** Closes the connection if it only waits for the client to close. Pending input is discarded first, as a
   * close with unread bytes causes a reset, which could keep the error response from the client. */
  void closeIfDiscarding() {
    if (state == State.DISCARDING) {
      input.readPending();
      close("closed after an error response");
    }
  }

  private void close(String reason) {
    if (state != State.CLOSED) {
      closeReason = reason;
    }
    channel.close();
  }

  /** Logs the first time that the connection has more requests waiting than are served. */
  private void logExcess() {
    if (!excessLogged && state.acceptsRequests()) {
      excessLogged = true;
      manager.log()
          .event("request.too-many-at-once", "client", channel.remoteAddress(), "open", openTransaction(),
              "waiting", queued.pendingResponses(), "read", input.bytesRead());
    }
  }

  /** Enforces the timeouts for writing a response and for receiving a request. */
  void checkTimeouts(long now) {
    if (writeStartedAt >= 0 && now - writeStartedAt >= ClientConnectionManager.WRITE_TIMEOUT_US) {
      close("response write timed out");
    } else if (state.acceptsRequests() && partialRequestSince >= 0 && now - partialRequestSince >= manager
        .requestReadTimeoutUs()) {
      endPartialRequest();
    }
  }

  /** Bytes of memory that a partly received request takes. */
  int partialRequestBytes() {
    return assembler.bufferedBytes();
  }

  /** When bytes were last received, us. */
  long lastReceivedAt() {
    return input.lastReceivedAt();
  }

  /** Stops waiting for a first request or for the rest of a partial one. */
  void endPartialRequest() {
    if (!state.acceptsRequests()) {
      return;
    }
    if (decoder.hasPartialRequest()) {
      manager.log().event("request.not-whole", "client", channel.remoteAddress());
      framingError(HttpResponseStatus.REQUEST_TIMEOUT);
    } else {
      // An error response could cross a first request and be taken for the response to it.
      closeIfIdle("no request received in time");
    }
  }

  /** Queues a request or an error, to be answered in order. */
  private void enqueue(InboundRequest item) {
    InboundRequest added = queued.add(item);
    if (added != item) {
      manager.metrics().increment(ProcessMetrics.Counter.TOO_MANY);
    }
    if (current != null) {
      // Responses are sent in order: the open request must end before the new one is due.
      manager.dispatcher().shortenDeadline(current, added.respondBy());
    }
    processQueue();
  }

  /** Stops reading requests and queues an error response, after which the connection is closed. Used when the
   * start of the next request is unknown or no further input is wanted. */
  private void framingError(HttpResponseStatus status) {
    if (state.acceptsRequests()) {
      state = State.BROKEN;
      partialRequestSince = -1;
      decoder.stop();
      assembler.reset();
      long dueInUs = status == HttpResponseStatus.REQUEST_TIMEOUT
          ? ClientConnectionManager.TIMEOUT_RESPONSE_DEADLINE_US
          : ClientConnectionManager.ERROR_RESPONSE_DEADLINE_US;
      enqueue(InboundRequest.rejected(status, manager.now() + dueInUs, true));
    }
  }

  /** Serves or answers the next queued items, as long as no request is open. */
  private void processQueue() {
    while (current == null && writeStartedAt < 0 && state.sendsResponses() && !queued.isEmpty()) {
      if (immediateStatus(queued.peek()) != null) {
        writeImmediateResponses();
      } else {
        InboundRequest item = queued.remove();
        current = manager.dispatcher()
            .accept(item.head(), item.body(), item.receivedAt(), item.arrivedAt(), new ConnectionResponder(
                item
                    .closeAfterResponse()));
        manager.dispatcher().shortenDeadline(current, queued.earliestRespondBy());
      }
    }
  }

  /** The status with which an item is answered without serving it; null if it is to be served. */
  private HttpResponseStatus immediateStatus(InboundRequest item) {
    if (!item.isRequest()) {
      return item.errorStatus();
    }
    if (manager.draining() || state == State.ENDING) {
      return HttpResponseStatus.SERVICE_UNAVAILABLE;
    }
    return switch (manager.dispatcher().admissionOf(item.head().transactionId())) {
      case ACCEPTED -> null;
      case REPEATED -> HttpResponseStatus.CONFLICT;
      case NO_ROOM -> HttpResponseStatus.SERVICE_UNAVAILABLE;
    };
  }

  /** Answers the items at the head of the queue that are not served, in one write: a system call for each
   * would take most of the time of the event loop when a client sends hundreds of them. */
  private void writeImmediateResponses() {
    ByteBuf responses = ReceiveBuffers.ALLOCATOR.heapBuffer();
    boolean closeAfterResponses = false;
    while (responses.readableBytes() < MAX_BYTES_PER_WRITE && !queued.isEmpty()) {
      HttpResponseStatus status = immediateStatus(queued.peek());
      if (status == null) {
        break;
      }
      InboundRequest item = queued.remove(MAX_RESPONSES_PER_ITEM);
      if (item.isRequest()) {
        logNotAccepted(item, status);
      }
      closeAfterResponses |= item.closeAfterResponse();
      for (int i = 1; i < item.count(); i++) {
        responses.writeBytes(HttpSupport.responseHead(status, 0, 0, false));
      }
      responses.writeBytes(nextResponseHead(status, 0, 0, item.closeAfterResponse()));
    }
    write(responses, 0, closeAfterResponses);
  }

  private void logNotAccepted(InboundRequest item, HttpResponseStatus status) {
    boolean repeated = status.equals(HttpResponseStatus.CONFLICT);
    if (repeated) {
      manager.metrics().increment(ProcessMetrics.Counter.REPEATED);
    }
    manager.log()
        .event(repeated ? "request.repeated" : "request.not-accepted", "id", item.head().transactionId(),
            "client", channel.remoteAddress(), "draining", manager.draining(), "state", state);
  }

  private final class ConnectionResponder implements Exchange.Responder {
    private final boolean closeAfterResponse;

    ConnectionResponder(boolean closeAfterResponse) {
      this.closeAfterResponse = closeAfterResponse;
    }

    private void respond(HttpResponseStatus status, byte[] body, long retryAfterUs) {
      current = null;
      writeResponse(status, body, retryAfterUs, closeAfterResponse);
    }

    @Override
    public void serve(byte[] body) {
      respond(HttpResponseStatus.OK, body, 0);
    }

    @Override
    public void refuse(long retryAfterUs) {
      respond(HttpResponseStatus.SERVICE_UNAVAILABLE, EMPTY_BODY, retryAfterUs);
    }

    @Override
    public void fail() {
      respond(HttpResponseStatus.BAD_GATEWAY, EMPTY_BODY, 0);
    }

    @Override
    public boolean readToEnd() {
      return input.readToEnd();
    }
  }

  /** Writes one response; only that the request failed if there is no room for its body.
   *
   * @param closeAfterResponse
   *          whether the client asked to close the connection after it */
  private void writeResponse(HttpResponseStatus status, byte[] body, long retryAfterUs,
      boolean closeAfterResponse) {
    if (body.length > 0 && !manager.unsentBytes().tryReserve(body.length)) {
      manager.log().event("response.no-space", "bytes", body.length, "client", channel.remoteAddress());
      writeResponse(HttpResponseStatus.BAD_GATEWAY, EMPTY_BODY, 0, closeAfterResponse);
      return;
    }
    ByteBuf head = nextResponseHead(status, body.length, retryAfterUs, closeAfterResponse);
    ByteBuf response = body.length == 0 ? head : Unpooled.wrappedBuffer(head, Unpooled.wrappedBuffer(body));
    write(response, body.length, closeAfterResponse);
  }

  /** Encodes the head of the response to the item that was dequeued last. */
  private ByteBuf nextResponseHead(HttpResponseStatus status, int bodyLength, long retryAfterUs,
      boolean closeAfterResponse) {
    if (state == State.OPEN && (closeAfterResponse || manager.draining())) {
      state = State.ENDING;
    }
    // All requests read so far are answered before the connection is closed.
    boolean last = state != State.OPEN && queued.isEmpty();
    return HttpSupport.responseHead(status, bodyLength, retryAfterUs, last);
  }

  /** Writes responses; {@code countedBytes} of them are reserved from the limit of unsent bytes. */
  private void write(ByteBuf responses, int countedBytes, boolean closeAfterResponses) {
    writeStartedAt = manager.now();
    channel.writeAndFlush(responses).addListener(f -> {
      manager.unsentBytes().release(countedBytes);
      writeStartedAt = -1;
      idleSince = manager.now();
      if (!f.isSuccess()) {
        close("response write failed");
      } else {
        responseWritten(closeAfterResponses);
      }
    });
  }

  /** Called when a response was handed to the operating system. */
  private void responseWritten(boolean closeAfterResponse) {
    if (!queued.isEmpty()) {
      processQueue();
    } else if (state == State.BROKEN) {
      startDiscarding();
    } else if (state == State.ENDING && closeAfterResponse) {
      closeIfIdle("requested by client");
    } else if (state == State.ENDING) {
      // The response told the client to close; requests that cross it are refused until the grace period
      // ends.
      channel.eventLoop()
          .schedule(() -> closeIfIdle("closed after notice to client"),
              ClientConnectionManager.CLOSE_GRACE_US,
              TimeUnit.MICROSECONDS);
    }
  }

  /** Shuts down the output. The connection is closed once the client closes its side, or after a short
   * time. */
  private void startDiscarding() {
    state = State.DISCARDING;
    ((SocketChannel) channel).shutdownOutput();
    long linger = manager.draining()
        ? ClientConnectionManager.CLOSE_GRACE_US
        : ClientConnectionManager.LINGER_US;
    channel.eventLoop().schedule(this::closeIfDiscarding, linger, TimeUnit.MICROSECONDS);
  }

  /** Called when the connection is closed: discards the queue and abandons the open request. */
  private void connectionClosed() {
    if (state == State.CLOSED) {
      return;
    }
    logClosed();
    state = State.CLOSED;
    queued.clear();
    assembler.reset();
    manager.connectionClosed(this);
    if (current != null) {
      Exchange exchange = current;
      current = null;
      manager.dispatcher().abandon(exchange);
    }
  }

  /** Logs a close that leaves requests unanswered or follows discarded input. */
  private void logClosed() {
    if (current != null || !queued.isEmpty() || decoder.hasPartialRequest() || discardedBytes > 0) {
      manager.log()
          .event("client.closed", "client", channel.remoteAddress(), "reason", closeReason, "state", state,
              "open", openTransaction(), "waiting", queued.pendingResponses(), "partial", decoder
                  .hasPartialRequest(),
              "read", input.bytesRead(), "dropped", discardedBytes, "end_hidden_ms", input.endHiddenForMs());
    }
  }

  private String openTransaction() {
    return current == null ? "none" : current.head.transactionId();
  }

  /** Handles received bytes before the decoder. */
  private final class InboundBytesHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      input.received((ByteBuf) message, () -> handle(ctx, (ByteBuf) message));
    }

    private void handle(ChannelHandlerContext ctx, ByteBuf bytes) {
      if (!state.acceptsRequests()) {
        discard(bytes);
        return;
      }
      long readAt = input.lastReceivedAt();
      if (partialRequestSince < 0) {
        partialRequestSince = readAt;
      }
      ctx.fireChannelRead(bytes);
      if (!decoder.hasPartialRequest() || !state.acceptsRequests()) {
        partialRequestSince = -1;
      } else if (partialRequestSince < 0) {
        // These bytes completed one request and started the next.
        partialRequestSince = readAt;
      }
      if (queued.isFull()) {
        logExcess();
      }
    }

    /** While requests read before an error are owed their responses, all further input is discarded. */
    private void discard(ByteBuf bytes) {
      discardedBytes += bytes.readableBytes();
      bytes.release();
      if (state == State.DISCARDING && discardedBytes > MAX_DISCARDED_BYTES) {
        close("too much input after an error");
      }
    }
  }

  private final class InputOwner implements ClientInput.Owner {
    @Override
    public boolean hasExcessInput() {
      return queued.isFull() || !state.acceptsRequests();
    }

    @Override
    public void connectionClosed() {
      ClientConnection.this.connectionClosed();
    }
  }

  private final class RequestHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      try {
        if (state.acceptsRequests() && message instanceof HttpRequest request) {
          boolean first = current == null && queued.isEmpty() && writeStartedAt < 0;
          assembler.startRequest(request, first, queued.isFull());
        }
        if (state.acceptsRequests() && message instanceof HttpContent content) {
          InboundRequest complete = assembler.addContent(content, input.arrivedAt());
          if (complete != null) {
            partialRequestSince = -1;
            if (complete.isInvalid() && queued.hasMaxInvalidRequests()) {
              framingError(complete.errorStatus());
            } else if (queued.hasMaxItems()) {
              framingError(HttpResponseStatus.SERVICE_UNAVAILABLE);
            } else {
              enqueue(complete);
            }
          }
        }
      } catch (RequestAssembler.FramingException e) {
        framingError(e.status);
      } finally {
        ReferenceCountUtil.release(message);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      connectionClosed();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (cause instanceof DecoderException) {
        manager.log()
            .event("request.unreadable", "reason", cause.getMessage(), "client", channel.remoteAddress());
        framingError(HttpResponseStatus.BAD_REQUEST);
      } else {
        close(String.valueOf(cause.getMessage()));
      }
    }
  }
}
