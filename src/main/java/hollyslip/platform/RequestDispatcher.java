package hollyslip.platform;

import hollyslip.HostScheduler;
import hollyslip.HostScheduler.Action;
import hollyslip.HostScheduler.Event;
import hollyslip.HostScheduler.NodeEntry;
import hollyslip.HostScheduler.NodeState;
import hollyslip.HostScheduler.Result;
import hollyslip.HostScheduler.Settings;
import hollyslip.platform.ProcessMetrics.Counter;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.SingleThreadEventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Owns the scheduler and the open requests. Passes events to the scheduler in order and executes the actions
 * it returns. Maps external ids to numeric ids for the scheduler and drops each mapping together with the
 * request or disk server it stands for. */
final class RequestDispatcher {
  /** Delay before the scheduler is called again after it threw an exception, us: its timer may have been
   * lost. */
  private static final long FAULT_RETRY_DELAY_US = 10_000;

  /** Time reserved for a response to get from the scheduler to the client, us: the process may be suspended
   * for tens of ms. At most a tenth of the client's waiting time is reserved. */
  private static final long RESPONSE_MARGIN_US = 30_000;

  /** Time for which events are handled in one iteration of the event loop, us. */
  private static final long MAX_HANDLING_US = 10_000;

  /** A request that is still unanswered this long after its deadline is failed here, us: a fault in the
   * scheduler may have lost it. */
  private static final long OVERDUE_GRACE_US = 100_000;

  /** What becomes of a request that is next in its connection's queue. {@code REPEATED}: its transaction id
   * is open or was sent to a disk server before. {@code NO_ROOM}: its id could not be remembered. */
  enum Admission {
    ACCEPTED, REPEATED, NO_ROOM
  }

  /** Number of an attempt that was not made as its request is over. */
  private static final int UNNUMBERED_ATTEMPT = -1;

  private final HostScheduler scheduler;
  private final Settings settings;
  private final EventLoop loop;
  private final MonotonicClock clock;
  private final EventLog log;
  private final ProcessMetrics metrics;
  private final DiskConnectionPool diskPool;
  private final LoadReportParser reportParser;
  /** Limits the bytes of requests: partly received, queued and open ones. */
  private final ByteBudget requestBytes;
  private final Map<String, Exchange> byTransactionId = new HashMap<>();
  private final SentTransactions sentTransactions;
  private final long longestDeadlineUs;
  private final Map<Long, Exchange> byRequestId = new HashMap<>();
  private final Map<Long, Map<Integer, Call>> callsByRequest = new HashMap<>();
  private final Map<String, DiskServer> serversByHost = new HashMap<>();
  private final Map<Long, DiskServer> serversByNodeId = new HashMap<>();
  private final ArrayDeque<Event> pendingEvents = new ArrayDeque<>();
  private final KeyOrderBuffer keyOrder;
  /** Null if tracing is off. */
  private DiskServerTrace trace;
  /** Whether {@link #handleEvents} is already queued on the event loop. */
  private boolean handlingScheduled;
  private long lastRequestId, lastNodeId;
  private long shutdownDeadline = Long.MAX_VALUE;

  RequestDispatcher(HostScheduler scheduler, Settings settings, EventLoop loop, MonotonicClock clock,
      EventLog log, ProcessMetrics metrics, DiskConnectionPool diskPool, ByteBudget requestBytes,
      SentTransactions sentTransactions) {
    this.scheduler = scheduler;
    this.settings = settings;
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.metrics = metrics;
    this.diskPool = diskPool;
    this.requestBytes = requestBytes;
    this.sentTransactions = sentTransactions;
    longestDeadlineUs = settings.classes()
        .stream()
        .mapToLong(HostScheduler.RequestClass::deadlineUs)
        .max()
        .orElseThrow();
    reportParser = new LoadReportParser(settings);
    keyOrder = new KeyOrderBuffer(settings, loop, clock, log, this::postRequest);
  }

  /** Whether a request with this id may be accepted now. */
  Admission admissionOf(String transactionId) {
    if (byTransactionId.containsKey(transactionId) || sentTransactions.contains(transactionId)) {
      return Admission.REPEATED;
    }
    return sentTransactions.hasRoom(byRequestId.size() + 1, clock.now())
        ? Admission.ACCEPTED
        : Admission.NO_ROOM;
  }

  /** Number of transaction ids that are remembered after their requests have ended. */
  int rememberedTransactionCount() {
    return sentTransactions.size();
  }

  /** The budget for bytes of requests. */
  ByteBudget requestBytes() {
    return requestBytes;
  }

  /** The order of requests by their keys. */
  KeyOrderBuffer keyOrder() {
    return keyOrder;
  }

  /** Number of requests that await their response or the end of an attempt. */
  int openRequestCount() {
    return byRequestId.size();
  }

  void setTrace(DiskServerTrace newTrace) {
    trace = newTrace;
  }

  Map<Long, DiskServer> serversByNodeId() {
    return serversByNodeId;
  }

  /** Number of disk servers that are listed or have active calls. */
  int serverCount() {
    return serversByHost.size();
  }

  /** Announces the end of the process: every request is answered by {@code deadline}, us. */
  void beginShutdown(long deadline) {
    shutdownDeadline = deadline;
    post(new HostScheduler.Stopping(deadline));
  }

  /** Accepts a request, which {@link #admissionOf} must allow.
   *
   * @param receivedAt
   *          earliest time at which its last byte may have arrived, from which its deadline counts, us
   * @param arrivedAt
   *          when its last byte arrived, us, for its order among requests of the same key */
  Exchange accept(RequestHead head, byte[] body, long receivedAt, long arrivedAt,
      Exchange.Responder responder) {
    long deadline = Math.min(responseDeadline(head.remainingUs(), receivedAt), shutdownDeadline);
    Exchange exchange = new Exchange(head, body, ++lastRequestId, clock.now(), deadline, responder);
    metrics.increment(Counter.ACCEPTED);
    byTransactionId.put(head.transactionId(), exchange);
    byRequestId.put(exchange.requestId, exchange);
    requestBytes.reserve(exchange.heldBytes());
    if (keyOrder.appliesTo(head)) {
      keyOrder.add(exchange, arrivedAt);
    } else {
      postRequest(exchange);
    }
    return exchange;
  }

  private void postRequest(Exchange exchange) {
    exchange.posted = true;
    RequestHead head = exchange.head;
    post(new HostScheduler.Request(exchange.requestId, head.className(), head.plan(), head.objectKey(),
        head.volumePlanId(), head.units(), head.shard(), head.hosts(), exchange.deadline() - clock.now(),
        head.clientRetry()));
  }

  /** Latest time to send the response to a request that arrived at {@code receivedAt} and whose client waits
   * for {@code remainingUs}, us. */
  long responseDeadline(long remainingUs, long receivedAt) {
    return receivedAt + remainingUs - Math.min(RESPONSE_MARGIN_US, remainingUs / 10);
  }

  /** Brings the deadline of a request forward to {@code latest}, us, if that is earlier. */
  void shortenDeadline(Exchange exchange, long latest) {
    if (!exchange.completed() && latest < exchange.deadline()) {
      exchange.shortenDeadline(latest);
      if (exchange.posted) {
        post(new HostScheduler.DeadlineShortened(exchange.requestId, latest));
      }
    }
  }

  /** Ends a request whose client has disconnected. */
  void abandon(Exchange exchange) {
    if (!exchange.completed()) {
      logCompletion("request.abandoned", exchange);
      metrics.increment(Counter.ABANDONED);
      exchange.abandon();
      withdraw(exchange);
      removeIfDone(exchange);
    }
  }

  /** Tells the scheduler that a request needs no response from it any more. */
  private void withdraw(Exchange exchange) {
    if (exchange.posted) {
      post(new HostScheduler.RequestAbandoned(exchange.requestId));
    } else {
      keyOrder.remove(exchange);
    }
  }

  /** Applies an update of the disk server list from discovery. */
  void updateServers(EndpointUpdate update) {
    long now = clock.now();
    List<NodeEntry> listed = new ArrayList<>();
    Set<String> listedHosts = new HashSet<>();
    for (EndpointUpdate.Entry entry : update.entries()) {
      listedHosts.add(entry.host());
      DiskServer server = serversByHost.get(entry.host());
      if (server == null && entry.state() == NodeState.GONE) {
        continue;
      }
      if (server == null) {
        server = new DiskServer(entry.host(), ++lastNodeId);
        serversByHost.put(server.host, server);
        serversByNodeId.put(server.nodeId, server);
      }
      updateServer(server, entry, now);
      listed.add(new NodeEntry(server.nodeId, entry.zone(), entry.cell(), entry.state(), server.startedAtUs));
    }
    if (update.complete()) {
      serversByHost.values()
          .stream()
          .filter(server -> !listedHosts.contains(server.host))
          .forEach(server -> changeState(server, NodeState.GONE, now));
    }
    post(new HostScheduler.NodeList(update.complete(), listed));
    List.copyOf(serversByHost.values()).forEach(this::removeIfGone);
  }

  private void updateServer(DiskServer server, EndpointUpdate.Entry entry, long now) {
    if (entry.startedAtMs() != server.startedAtMs) {
      server.startedAtMs = entry.startedAtMs();
      // Converted only once per start: the scheduler takes a different time for a new start.
      server.startedAtUs = entry.startedAtMs() > 0
          ? Math.max(1, clock.fromWallClock(entry.startedAtMs()))
          : 0;
      diskPool.closeIdle(server);
    }
    if (entry.address() != null && !entry.address().equals(server.address)) {
      server.address = entry.address();
      diskPool.closeIdle(server);
    }
    changeState(server, entry.state(), now);
  }

  private void changeState(DiskServer server, NodeState state, long now) {
    if (server.state != state) {
      log.event("server.state", "server", server.host, "from", server.state, "to", state);
    }
    server.state = state;
    if (state == NodeState.GONE) {
      diskPool.closeIdle(server);
    }
  }

  private void removeIfGone(DiskServer server) {
    if (server.state == NodeState.GONE && server.activeCalls == 0) {
      diskPool.closeIdle(server);
      serversByHost.remove(server.host, server);
      serversByNodeId.remove(server.nodeId);
    }
  }

  /** Queues an event for the scheduler. Queued events are handled in order after the sockets of this event
   * loop iteration have been read: the scheduler's actions never run in the middle of a read, and a client
   * that sent a request and disconnected in the same iteration is known to be gone. */
  private void post(Event event) {
    pendingEvents.add(event);
    if (!handlingScheduled) {
      handlingScheduled = true;
      loop.execute(this::handleEvents);
    }
  }

  /** Handles queued events, and leaves some for the next iteration of the event loop where they take long, so
   * that sockets and timers get their turn. */
  private void handleEvents() {
    long handleUntil = clock.now() + MAX_HANDLING_US;
    try {
      while (!pendingEvents.isEmpty() && clock.now() < handleUntil) {
        handleEvent(pendingEvents.poll());
      }
    } finally {
      handlingScheduled = !pendingEvents.isEmpty();
      if (handlingScheduled) {
        ((SingleThreadEventLoop) loop).executeAfterEventLoopIteration(() -> loop.execute(this::handleEvents));
      }
    }
  }

  private void handleEvent(Event event) {
    try {
      scheduler.handle(clock.now(), event, this::execute);
    } catch (RuntimeException fault) {
      log.fault("module.fault", fault);
      scheduleTimer(clock.now() + FAULT_RETRY_DELAY_US, 0);
    }
  }

  private void execute(Action action) {
    if (action instanceof HostScheduler.Send send) {
      startAttempt(send);
    } else if (action instanceof HostScheduler.Refuse refuse) {
      Exchange exchange = byRequestId.get(refuse.request());
      if (exchange != null) {
        logCompletion("request.refused", exchange);
        exchange.refuse(settings.allowed().retryAfter() ? refuse.retryAfterUs() : 0);
        removeIfDone(exchange);
      }
    } else if (action instanceof HostScheduler.Fail fail) {
      Exchange exchange = byRequestId.get(fail.request());
      if (exchange != null) {
        logCompletion("request.failed", exchange);
        exchange.fail();
        removeIfDone(exchange);
      }
    } else if (action instanceof HostScheduler.Cancel cancel) {
      Call call = callsByRequest.getOrDefault(cancel.request(), Map.of()).get(cancel.attempt());
      if (call != null) {
        diskPool.cancel(call);
      }
    } else if (action instanceof HostScheduler.Probe probe) {
      startProbe(probe.node());
    } else if (action instanceof HostScheduler.SetTimer timer) {
      scheduleTimer(timer.at(), timer.id());
    }
  }

  private void scheduleTimer(long at, long id) {
    loop.schedule(() -> post(new HostScheduler.TimerFired(id)), Math.max(0, at - clock.now()),
        TimeUnit.MICROSECONDS);
  }

  private void startAttempt(HostScheduler.Send send) {
    Exchange exchange = byRequestId.get(send.request());
    if (exchange == null) {
      // Its client has left, which the scheduler learns by a later event; it still counts the attempt.
      post(new HostScheduler.AttemptEnded(send.request(), UNNUMBERED_ATTEMPT, send.node(), Result.MOOT, true,
          0, 0, 0, null));
      return;
    }
    int attempt = exchange.attempts++;
    long now = clock.now();
    DiskServer server = serversByNodeId.get(send.node());
    if (server == null || exchange.completed() || attempt >= settings.allowed().maxAttempts()) {
      post(new HostScheduler.AttemptEnded(exchange.requestId, attempt, send.node(), Result.MOOT,
          exchange.completed(), 0, 0, 0, null));
      return;
    }
    countAttempt(exchange, attempt, server);
    exchange.attemptsOutstanding++;
    long latest = Math.min(exchange.deadline(), shutdownDeadline);
    long timeoutAt = send.timeoutAt() > 0 ? Math.min(send.timeoutAt(), latest) : latest;
    long startedAtUs = server.startedAtUs;
    Call call = new Call(server, now, timeoutAt, waitUs -> beginSending(exchange, server, waitUs),
        () -> mayForward(exchange, attempt) && clock.now() <= send.startBy()
            && server.startedAtUs == startedAtUs && acceptsAttempts(server),
        (result, latencyUs, headers, body) -> attemptEnded(exchange, attempt, server, result, latencyUs,
            headers, body));
    callsByRequest.computeIfAbsent(exchange.requestId, k -> new HashMap<>()).put(attempt, call);
    if (trace != null) {
      trace.attemptStarted(server.nodeId);
    }
    diskPool.start(call);
  }

  /** Whether a request is open and its client has not disconnected. While that is not known, nothing is sent
   * for it; the scheduler may try again. */
  private boolean mayForward(Exchange exchange, int attempt) {
    Exchange.SendState state = exchange.checkSendState();
    if (state == Exchange.SendState.CLIENT_UNKNOWN) {
      metrics.increment(Counter.WITHHELD);
      log.event("attempt.withheld", "id", exchange.head.transactionId(), "attempt", attempt, "reason",
          "input of its client is unread");
    }
    return state == Exchange.SendState.OPEN;
  }

  private void countAttempt(Exchange exchange, int attempt, DiskServer server) {
    metrics.increment(Counter.ATTEMPTS);
    if (attempt > 0) {
      metrics.increment(Counter.RETRIES);
      log.event("request.retried", "id", exchange.head.transactionId(), "attempt", attempt, "server",
          server.host, "waited_ms", (clock.now() - exchange.acceptedAt) / 1000, "out",
          exchange.attemptsOutstanding);
    }
  }

  /** Draining disk servers get no attempts. Their grace period is not used, as it may have begun before the
   * update that announced the drain arrived. */
  private static boolean acceptsAttempts(DiskServer server) {
    return server.state == NodeState.ON;
  }

  private void attemptEnded(Exchange exchange, int attempt, DiskServer server, Result result, long latencyUs,
      HttpHeaders headers, byte[] body) {
    exchange.attemptsOutstanding--;
    Map<Integer, Call> callsOfRequest = callsByRequest.get(exchange.requestId);
    callsOfRequest.remove(attempt);
    if (callsOfRequest.isEmpty()) {
      callsByRequest.remove(exchange.requestId);
    }
    if (trace != null) {
      trace.attemptEnded(server.nodeId, result, latencyUs);
    }
    if (result == Result.OK) {
      if (clock.now() > exchange.deadline() && !exchange.completed()) {
        logCompletion("request.late", exchange);
      }
      exchange.serve(body);
    } else {
      log.event("attempt.ended", "id", exchange.head.transactionId(), "attempt", attempt, "server",
          server.host, "result", result, "took_ms", latencyUs / 1000);
    }
    post(new HostScheduler.AttemptEnded(exchange.requestId, attempt, server.nodeId, result,
        exchange.completed(), latencyUs, reportParser.volumeUse(headers),
        reportParser.servedElsewhere(headers), reportParser.attemptReport(headers)));
    removeIfDone(exchange);
    removeIfGone(server);
  }

  /** Fails requests that the scheduler has not answered in time. Must be called periodically. */
  void failOverdueRequests() {
    long now = clock.now();
    for (Exchange exchange : List.copyOf(byRequestId.values())) {
      if (!exchange.completed() && now > exchange.deadline() + OVERDUE_GRACE_US) {
        logCompletion("request.overdue", exchange);
        exchange.fail();
        withdraw(exchange);
        removeIfDone(exchange);
      }
    }
  }

  /** Logs the end of a request; called before it is completed. */
  private void logCompletion(String event, Exchange exchange) {
    if (!exchange.completed()) {
      long now = clock.now();
      log.event(event, "id", exchange.head.transactionId(), "class", exchange.head.className(), "waited_ms",
          (now - exchange.acceptedAt) / 1000, "left_ms", (exchange.deadline() - now) / 1000, "attempts",
          exchange.attempts, "out", exchange.attemptsOutstanding);
    }
  }

  /** Cancels calls of a completed request that are not fully written, so that nothing more is sent for it,
   * and removes it once its last attempt has ended. */
  private void removeIfDone(Exchange exchange) {
    if (exchange.completed()) {
      List.copyOf(callsByRequest.getOrDefault(exchange.requestId, Map.of()).values())
          .forEach(diskPool::cancelUnsent);
    }
    if (exchange.completed() && exchange.attemptsOutstanding == 0 && byRequestId.remove(
        exchange.requestId) != null) {
      byTransactionId.remove(exchange.head.transactionId(), exchange);
      if (exchange.sent) {
        sentTransactions.add(exchange.head.transactionId(), exchange.acceptedAt + Math.min(exchange.head
            .remainingUs(), longestDeadlineUs));
      }
      requestBytes.release(exchange.heldBytes());
    }
  }

  private void startProbe(long nodeId) {
    DiskServer server = serversByNodeId.get(nodeId);
    if (server == null) {
      return;
    }
    long now = clock.now();
    boolean reports = settings.reportSource() != HostScheduler.ReportSource.NONE;
    String path = reports ? "/status/load" : "/health";
    diskPool.start(new Call(server, now, now + settings.allowed().connectTimeoutUs(),
        waitUs -> HttpSupport.latin1Bytes("GET " + path + " HTTP/1.1\r\nHost: "
            + HttpSupport.authority(server.address) + "\r\n\r\n"),
        () -> server.state != NodeState.GONE, (result, latencyUs, headers, body) -> {
          post(new HostScheduler.ProbeEnded(nodeId, result, latencyUs,
              reportParser.probeReport(headers, body)));
          removeIfGone(server);
        }));
  }

  private static ByteBuf beginSending(Exchange exchange, DiskServer server, long waitUs) {
    exchange.sent = true;
    return encodeAttempt(exchange, server, waitUs);
  }

  /** Encodes the request of an attempt. The head is written anew: only what the protocol defines is
   * forwarded. */
  private static ByteBuf encodeAttempt(Exchange exchange, DiskServer server, long waitUs) {
    RequestHead requestHead = exchange.head;
    StringBuilder head = new StringBuilder(256).append(requestHead.method())
        .append(' ')
        .append(requestHead.uri())
        .append(" HTTP/1.1\r\nHost: ")
        .append(HttpSupport.authority(server.address))
        .append("\r\nX-Txn: ")
        .append(requestHead.transactionId())
        .append("\r\nX-Remaining: ")
        .append(Math.max(0, waitUs))
        .append("u\r\n");
    if (requestHead.idempotencyKey() != null) {
      head.append("Idempotency-Key: ").append(requestHead.idempotencyKey()).append("\r\n");
    }
    if (exchange.body.length > 0 || requestHead.method().equals("PUT")) {
      head.append("Content-Length: ").append(exchange.body.length).append("\r\n");
    }
    ByteBuf headBytes = HttpSupport.latin1Bytes(head.append("\r\n").toString());
    return exchange.body.length == 0
        ? headBytes
        : Unpooled.wrappedBuffer(headBytes, Unpooled.wrappedBuffer(exchange.body));
  }
}
