package hollyslip.platform;

import hollyslip.HostScheduler;
import hollyslip.HostScheduler.Action;
import hollyslip.HostScheduler.Event;
import hollyslip.HostScheduler.Listed;
import hollyslip.HostScheduler.NodeState;
import hollyslip.HostScheduler.Result;
import hollyslip.HostScheduler.Settings;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Owns the module and the open requests: what happens goes in as events, in order, and what the module wants
 * is carried out. Outside ids become numbers here, and are forgotten with what they stood for. */
final class Desk {
  /** How soon the module is called again after a fault of its own, us: its timer may be lost. */
  private static final long AFTER_FAULT_US = 10_000;

  /** What an answer may need from the module to its client at worst, us: the process may be held off its core
   * for tens of ms. At most a tenth of the time that the client waits. */
  private static final long ON_ITS_WAY_US = 30_000;

  /** A request that the module has not answered so long after it had to be is failed here, us: a fault of the
   * module may lose it. */
  private static final long OVERDUE_US = 100_000;

  private final HostScheduler module;
  private final Settings settings;
  private final EventLoop loop;
  private final Clock clock;
  private final Log log;
  private final DiskServers disks;
  private final Readings readings;
  private final long mostBytes;
  private final Map<String, Exchange> byId = new HashMap<>();
  private final Map<Long, Exchange> byNumber = new HashMap<>();
  private final Map<Long, Map<Integer, Call>> calls = new HashMap<>();
  private final Map<String, DiskServer> servers = new HashMap<>();
  private final Map<Long, DiskServer> serversByNumber = new HashMap<>();
  private final ArrayDeque<Event> events = new ArrayDeque<>();
  /** Null: off. */
  private Trace trace;
  /** The module is to be called in this turn of the loop. */
  private boolean scheduled;
  private long lastNumber, lastServer, bytes;
  private long answerBy = Long.MAX_VALUE;

  Desk(HostScheduler module, Settings settings, EventLoop loop, Clock clock, Log log, DiskServers disks,
      long mostBytes) {
    this.module = module;
    this.settings = settings;
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.disks = disks;
    this.mostBytes = mostBytes;
    readings = new Readings(settings);
  }

  /** Whether this id belongs to a request that has not ended. */
  boolean isOpen(String id) {
    return byId.containsKey(id);
  }

  /** Whether there is room for one more body. */
  boolean hasRoom(int length) {
    return bytes + length <= mostBytes;
  }

  /** Takes room for so many bytes of a request that waits, if there is any. */
  boolean hold(int length) {
    if (!hasRoom(length)) {
      return false;
    }
    bytes += length;
    return true;
  }

  /** Gives room back that {@link #hold} took. */
  void letGo(int length) {
    bytes -= length;
  }

  /** Open requests that await their answer or the end of an attempt. */
  int open() {
    return byNumber.size();
  }

  void trace(Trace to) {
    trace = to;
  }

  Map<Long, DiskServer> serversByNumber() {
    return serversByNumber;
  }

  /** Disk servers that are listed or have calls. */
  int servers() {
    return servers.size();
  }

  /** The process ends: all is answered by then, us. */
  void stopping(long at) {
    answerBy = at;
    post(new HostScheduler.Stopping(at));
  }

  /** Takes a request whose last byte came at {@code cameAt}, us; its id must not be open. */
  Exchange take(Ask ask, byte[] body, long cameAt, Exchange.Reply reply) {
    long deadline = Math.min(deadline(ask, cameAt), answerBy);
    Exchange x = new Exchange(ask, body, ++lastNumber, clock.now(), deadline, reply);
    byId.put(ask.id(), x);
    byNumber.put(x.number, x);
    bytes += body.length;
    post(new HostScheduler.Request(x.number, ask.className(), ask.plan(), ask.key(), ask.volume(), ask
        .units(), ask.shard(), ask.hosts(), x.deadline() - clock.now(), ask.again()));
    return x;
  }

  /** When the answer to a request that came at {@code cameAt} has to be on its way, us. */
  long deadline(Ask ask, long cameAt) {
    return cameAt + ask.remainingUs() - Math.min(ON_ITS_WAY_US, ask.remainingUs() / 10);
  }

  /** A request has to be answered by then, us, if that is before its client gives up. */
  void hasten(Exchange x, long by) {
    if (!x.over() && by < x.deadline()) {
      x.hasten(by);
      post(new HostScheduler.Hastened(x.number, by));
    }
  }

  /** The client of a request left. */
  void departed(Exchange x) {
    if (!x.over()) {
      logEnd("request.abandoned", x);
      x.left();
      post(new HostScheduler.Departed(x.number));
      forgetIfDone(x);
    }
  }

  /** Takes on what discovery says. */
  void news(EndpointUpdate news) {
    long now = clock.now();
    List<Listed> listed = new ArrayList<>();
    Set<String> named = new HashSet<>();
    for (EndpointUpdate.Entry e : news.entries()) {
      named.add(e.host());
      DiskServer s = servers.get(e.host());
      if (s == null && e.state() == NodeState.GONE) {
        continue;
      }
      if (s == null) {
        s = new DiskServer(e.host(), ++lastServer);
        servers.put(s.host, s);
        serversByNumber.put(s.number, s);
      }
      update(s, e, now);
      listed.add(new Listed(s.number, e.zone(), e.cell(), e.state(), s.bornUs));
    }
    if (news.whole()) {
      servers.values()
          .stream()
          .filter(s -> !named.contains(s.host))
          .forEach(s -> state(s, NodeState.GONE,
              now));
    }
    post(new HostScheduler.NodeList(news.whole(), listed));
    List.copyOf(servers.values()).forEach(this::forgetIfGone);
  }

  private void update(DiskServer s, EndpointUpdate.Entry e, long now) {
    if (e.bornMs() != s.bornMs) {
      s.bornMs = e.bornMs();
      // Once for each start: the module takes another time for another start.
      s.bornUs = e.bornMs() > 0 ? Math.max(1, clock.ofWall(e.bornMs())) : 0;
      disks.dropIdle(s);
    }
    if (e.dial() != null && !e.dial().equals(s.dial)) {
      s.dial = e.dial();
      disks.dropIdle(s);
    }
    state(s, e.state(), now);
  }

  private void state(DiskServer s, NodeState state, long now) {
    if (s.state != state) {
      log.event("server.state", "server", s.host, "from", s.state, "to", state);
    }
    s.state = state;
    if (state == NodeState.GONE) {
      disks.dropIdle(s);
    }
  }

  private void forgetIfGone(DiskServer s) {
    if (s.state == NodeState.GONE && s.calls == 0) {
      disks.dropIdle(s);
      servers.remove(s.host, s);
      serversByNumber.remove(s.number);
    }
  }

  /** Hands an event to the module, after those before it, once this turn's sockets have been read: what the
   * module decides never runs in the middle of a read, and a client that left with its request in the same
   * turn is known to have left. */
  private void post(Event event) {
    events.add(event);
    if (!scheduled) {
      scheduled = true;
      loop.execute(this::handleEvents);
    }
  }

  private void handleEvents() {
    scheduled = false;
    for (Event e = events.poll(); e != null; e = events.poll()) {
      try {
        module.handle(clock.now(), e, this::carryOut);
      } catch (RuntimeException fault) {
        log.fault("module.fault", fault);
        timer(clock.now() + AFTER_FAULT_US, 0);
      }
    }
  }

  private void carryOut(Action action) {
    if (action instanceof HostScheduler.Send s) {
      send(s);
    } else if (action instanceof HostScheduler.Refuse r) {
      Exchange x = byNumber.get(r.request());
      if (x != null) {
        logEnd("request.refused", x);
        x.refuse(settings.allowed().retryAfter() ? r.retryInUs() : 0);
        forgetIfDone(x);
      }
    } else if (action instanceof HostScheduler.Fail f) {
      Exchange x = byNumber.get(f.request());
      if (x != null) {
        logEnd("request.failed", x);
        x.fail();
        forgetIfDone(x);
      }
    } else if (action instanceof HostScheduler.Cancel k) {
      Call c = calls.getOrDefault(k.request(), Map.of()).get(k.attempt());
      if (c != null) {
        disks.cancel(c);
      }
    } else if (action instanceof HostScheduler.Probe p) {
      probe(p.node());
    } else if (action instanceof HostScheduler.SetTimer t) {
      timer(t.at(), t.id());
    }
  }

  private void timer(long at, long id) {
    loop.schedule(() -> post(new HostScheduler.TimerDue(id)), Math.max(0, at - clock.now()),
        TimeUnit.MICROSECONDS);
  }

  private void send(HostScheduler.Send s) {
    Exchange x = byNumber.get(s.request());
    if (x == null) {
      return;
    }
    int attempt = x.attempts++;
    long now = clock.now();
    DiskServer to = serversByNumber.get(s.node());
    if (to == null || x.over() || attempt >= settings.allowed().maxAttempts()) {
      post(new HostScheduler.Outcome(x.number, attempt, s.node(), Result.MOOT, x.over(), 0, 0, 0, null));
      return;
    }
    x.out++;
    long last = Math.min(x.deadline(), answerBy);
    long giveUpAt = s.timeoutAt() > 0 ? Math.min(s.timeoutAt(), last) : last;
    long born = to.bornUs;
    Call c = new Call(to, now, giveUpAt, waitUs -> bytes(x, to, waitUs), () -> x.wanted() && clock
        .now() <= s.startBy() && to.bornUs == born && mayStart(to), (result, tookUs, headers, body) -> ended(
            x,
            attempt, to, result, tookUs,
            headers,
            body));
    calls.computeIfAbsent(x.number, k -> new HashMap<>()).put(attempt, c);
    if (trace != null) {
      trace.started(to.number);
    }
    disks.start(c);
  }

  /** The drain's grace is not used: it may count from earlier than the news of it came. */
  private static boolean mayStart(DiskServer to) {
    return to.state == NodeState.ON;
  }

  private void ended(Exchange x, int attempt, DiskServer from, Result result, long tookUs,
      HttpHeaders headers, byte[] body) {
    x.out--;
    Map<Integer, Call> own = calls.get(x.number);
    own.remove(attempt);
    if (own.isEmpty()) {
      calls.remove(x.number);
    }
    if (trace != null) {
      trace.ended(from.number, result, tookUs);
    }
    if (result == Result.OK) {
      if (clock.now() > x.deadline() && !x.over()) {
        logEnd("request.late", x);
      }
      x.serve(body);
    } else {
      log.event("attempt.ended", "id", x.ask.id(), "attempt", attempt, "server", from.host, "result", result,
          "took_ms",
          tookUs / 1000);
    }
    post(new HostScheduler.Outcome(x.number, attempt, from.number, result, x.over(), tookUs, readings
        .metered(headers), readings.elsewhere(headers), readings.report(headers)));
    forgetIfDone(x);
    forgetIfGone(from);
  }

  /** To be called now and then: fails what the module has forgotten to answer. */
  void failOverdue() {
    long now = clock.now();
    for (Exchange x : List.copyOf(byNumber.values())) {
      if (!x.over() && now > x.deadline() + OVERDUE_US) {
        logEnd("request.overdue", x);
        x.fail();
        post(new HostScheduler.Departed(x.number));
        forgetIfDone(x);
      }
    }
  }

  /** Logs how a request ends, before it does. */
  private void logEnd(String name, Exchange x) {
    if (!x.over()) {
      long now = clock.now();
      log.event(name, "id", x.ask.id(), "class", x.ask.className(), "waited_ms", (now - x.takenAt) / 1000,
          "left_ms",
          (x.deadline() - now) / 1000, "attempts", x.attempts, "out", x.out);
    }
  }

  /** Nothing more is sent for a request that is over; it is forgotten when its last attempt has ended. */
  private void forgetIfDone(Exchange x) {
    if (x.over()) {
      List.copyOf(calls.getOrDefault(x.number, Map.of()).values()).forEach(disks::withdraw);
    }
    if (x.over() && x.out == 0 && byNumber.remove(x.number) != null) {
      byId.remove(x.ask.id(), x);
      bytes -= x.body.length;
    }
  }

  private void probe(long node) {
    DiskServer to = serversByNumber.get(node);
    if (to == null) {
      return;
    }
    long now = clock.now();
    boolean reports = settings.reportSource() != HostScheduler.ReportSource.NONE;
    String path = reports ? "/status/load" : "/health";
    disks.start(new Call(to, now, now + settings.allowed().connectTimeoutUs(), waitUs -> Http.bytes("GET "
        + path
        + " HTTP/1.1\r\nHost: " + Http.authority(to.dial) + "\r\n\r\n"), () -> to.state != NodeState.GONE, (
            result,
            tookUs, headers, body) -> {
          post(new HostScheduler.Probed(node, result, tookUs, readings.probed(headers, body)));
          forgetIfGone(to);
        }));
  }

  /** An attempt's request, written anew: only what the protocol names is passed on. */
  private static ByteBuf bytes(Exchange x, DiskServer to, long waitUs) {
    Ask a = x.ask;
    StringBuilder head = new StringBuilder(256).append(a.method())
        .append(' ')
        .append(a.uri())
        .append(" HTTP/1.1\r\nHost: ")
        .append(Http.authority(to.dial))
        .append("\r\nX-Txn: ")
        .append(a.id())
        .append("\r\nX-Remaining: ")
        .append(Math.max(0, waitUs))
        .append("u\r\n");
    if (a.idempotencyKey() != null) {
      head.append("Idempotency-Key: ").append(a.idempotencyKey()).append("\r\n");
    }
    if (x.body.length > 0 || a.method().equals("PUT")) {
      head.append("Content-Length: ").append(x.body.length).append("\r\n");
    }
    ByteBuf text = Http.bytes(head.append("\r\n").toString());
    return x.body.length == 0 ? text : Unpooled.wrappedBuffer(text, Unpooled.wrappedBuffer(x.body));
  }
}
