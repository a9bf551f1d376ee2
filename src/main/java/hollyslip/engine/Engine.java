package hollyslip.engine;

import hollyslip.HostScheduler;
import hollyslip.HostScheduler.Action;
import hollyslip.HostScheduler.Event;
import hollyslip.HostScheduler.NodeList;
import hollyslip.HostScheduler.NodeState;
import hollyslip.HostScheduler.RequestClass;
import hollyslip.HostScheduler.Result;
import hollyslip.door.Door;
import hollyslip.volume.Classifier;
import hollyslip.volume.IoKind;
import hollyslip.volume.Splitter;
import hollyslip.volume.Volume;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.agrona.collections.Long2ObjectHashMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Drives one {@link HostScheduler}: tells it what happens, carries out what it decides. It is the only owner
 * of the module and runs it on one thread that never blocks.
 *
 * <p>
 * The way of one request, top to bottom: a front calls {@link #offer}; {@link #take} has it wait at the
 * {@link Door}, fairly among tenants; {@link #letIn} cuts it into pieces; a change of blocks waits for its
 * range ({@link RangeLocks}); {@link #submit} tells the module; {@link #carryOut} sends where the module
 * says; {@link #ended} takes what came of an attempt back to the module; {@link #answerPiece} collects the
 * answers of the pieces and gives the client its one. */
public final class Engine implements Intake {
  private static final Logger LOG = LoggerFactory.getLogger(Engine.class);

  /** Letters read before timers and sends get their turn, so that none starves. */
  private static final int BATCH = 256;

  /** Requests let in for each node that serves: what one host may have out at it, and as many to choose
   * from. */
  private static final int ROOM_A_NODE = 64;

  /** The module's time is taken at one event in so many and one: reading the clock costs as much as a part of
   * what is measured. */
  private static final long SAMPLED = 15;

  /** Longest sleep, us: only a bound, timers and letters wake it. */
  private static final long NAP = 1_000_000;

  /** What the engine is built from.
   *
   * @param settings
   *          of the module
   * @param classifier
   *          class and units of a request
   * @param splitter
   *          cuts requests at extents
   * @param mostRequests
   *          requests held at most
   * @param mostBytes
   *          bytes of requests held at most
   * @param firstRequest
   *          number of its first request: those of two lanes of one process must differ, as nodes see them in
   *          the cookies of one client */
  public record Config(HostScheduler.Settings settings, Classifier classifier, Splitter splitter,
      long mostRequests, long mostBytes, long firstRequest) {}

  /** Totals since the start; {@code moduleNs} is the time spent inside the module, from samples. */
  public record Totals(long taken, long served, long refused, long failed, long departed, long attempts,
      long held, long moduleNs) {
    Totals plus(Totals o) {
      return new Totals(taken + o.taken, served + o.served, refused + o.refused, failed + o.failed, departed
          + o.departed, attempts + o.attempts, held + o.held, moduleNs + o.moduleNs);
    }
  }

  private final Config config;
  private final HostScheduler module;
  private final LongSupplier time;
  private final Map<String, RequestClass> classes = new HashMap<>();
  private final Mailbox mailbox = new Mailbox();
  private final Timers timers = new Timers();
  private final Bounds bounds;
  private final RangeLocks locks = new RangeLocks();
  private final Long2ObjectHashMap<Piece> pieces = new Long2ObjectHashMap<>();
  /** Actions of the events that are being told, the innermost last: carrying one out may tell the next. */
  private final List<Decided> levels = new ArrayList<>();
  private int level;
  private final List<Runnable> turnedAway = new CopyOnWriteArrayList<>();
  private final CompletableFuture<Void> stopped = new CompletableFuture<>();
  private final LongAdder taken = new LongAdder(), served = new LongAdder(), refused = new LongAdder();
  private final LongAdder failed = new LongAdder(), departed = new LongAdder(), attempts = new LongAdder();
  /** Written by the engine's thread alone. */
  private volatile long moduleNs;
  private final Sampler refusals = new Sampler(), failures = new Sampler();
  private final Map<String, Volume> volumes = new ConcurrentHashMap<>();
  private final Map<Long, Served> shares = new ConcurrentHashMap<>();
  private final Map<String, HostScheduler.Plan> plans = new HashMap<>();
  private final Map<Long, NodeState> states = new HashMap<>();
  private final Door<Operation> door;
  /** How long a request counts as inside at most, us: one that waits longer for a limit or a node that is
   * away does not keep others at the door. Harm: the module holds more at a time then. */
  private final long insideUs;
  private volatile boolean stopping;
  private volatile boolean refusing;
  private volatile boolean awaitingRoom;
  private NodePort port;
  /** Events told to the module. */
  private long told;
  private long now;
  private long nextPiece;
  private boolean lettingIn;
  /** Requests let in, in that order, for at most {@link #insideUs}. */
  private final ArrayDeque<Operation> inside = new ArrayDeque<>();

  /** What the engine keeps of a volume by its id. */
  static final class Served {
    private Door.Owner owner;
    private CompletableFuture<Void> drained = new CompletableFuture<>();
    private boolean draining;
    /** Requests of it that are taken and not released, and pieces that hold or wait for blocks. */
    private int held, locked;
    /** When an attempt last ended that may still run. */
    private long doubtAt = Long.MIN_VALUE / 2;
    /** Complete when another engine may take the volume on; null: it stays. */
    private CompletableFuture<Void> handed;

    Served(Door.Owner owner) {
      this.owner = owner;
    }

    /** Served on such terms, whatever was before. */
    void again(Door.Owner next) {
      owner = next;
      if (draining) {
        draining = false;
        drained = new CompletableFuture<>();
      }
    }
  }

  public Engine(Config config, Map<String, Volume> volumes, HostScheduler module) {
    this(config, volumes, module, Engine::clock);
  }

  /** @param time
   *          the engine's clock, us, which never goes back: another than {@link #clock} where time is a
   *          model's */
  public Engine(Config config, Map<String, Volume> volumes, HostScheduler module, LongSupplier time) {
    this.config = config;
    this.time = time;
    nextPiece = config.firstRequest();
    this.module = module;
    config.settings().plans().forEach(p -> plans.put(p.name(), p));
    volumes.values().forEach(this::begin);
    insideUs = config.settings().classes().stream().mapToLong(RequestClass::aimUs).min().orElseThrow();
    door = new Door<>((int) Math.min(Integer.MAX_VALUE, config.mostRequests() / 2), ROOM_A_NODE);
    bounds = new Bounds(config.mostRequests(), config.mostBytes());
    config.settings().classes().forEach(c -> classes.put(c.name(), c));
  }

  /** Serves a volume on its plan of the settings; before {@link #start}. */
  void begin(Volume v) {
    volumes.put(v.name(), v);
    shares.put(v.id(), new Served(owner(v)));
  }

  /** Starts the engine's thread; {@code nodes} is where attempts go. */
  public void start(NodePort nodes) {
    port = nodes;
    Thread thread = new Thread(this::run, "engine");
    mailbox.owner(thread);
    thread.start();
  }

  /** Has it run without a thread of its own: by {@link #step}, always on one thread, the one that makes all
   * other calls too. */
  public void startDriven(NodePort nodes) {
    port = nodes;
  }

  /** Does all there is to do at this time; gives the time, us, at which there is something again if nothing
   * comes in before, {@code Long.MAX_VALUE}: never. */
  public long step() {
    while (!work() || !mailbox.isEmpty()) {
      // Each turn reads a batch of letters; what it does may post further ones.
    }
    return nextDue();
  }

  /** The engine's clock, us: monotonic, the same for all processes of a machine. */
  public static long clock() {
    return System.nanoTime() / 1_000;
  }

  @Override
  public boolean offer(Io io) {
    Volume volume = volumes.get(io.volume());
    if (volume == null) {
      throw new IllegalArgumentException("volume: " + io.volume() + " is not known");
    }
    if (io.kind() != IoKind.FLUSH && !volume.holds(io.offset(), io.length())) {
      throw new IllegalArgumentException("range: " + io.offset() + "+" + io.length()
          + " is not blocks of volume " + io.volume());
    }
    if (stopping) {
      return false;
    }
    if (!bounds.take(io.held())) {
      awaitingRoom = true;
      return false;
    }
    Operation op = new Operation(this, io, volume, rules(io), time.getAsLong());
    io.operation = op;
    mailbox.put(op);
    return true;
  }

  private RequestClass rules(Io io) {
    return classes.get(config.classifier().className(io.kind(), io.length()));
  }

  @Override
  public void onRoom(Runnable listener) {
    turnedAway.add(listener);
  }

  @Override
  public void forgetRoom(Runnable listener) {
    turnedAway.remove(listener);
  }

  @Override
  public void depart(Io io) {
    mailbox.put(() -> leave(io.operation));
  }

  /** News of the node list. From any thread. */
  public void nodes(NodeList list) {
    mailbox.put(() -> {
      tell(list);
      if (list.whole()) {
        states.clear();
      }
      list.nodes().forEach(n -> states.put(n.node(), n.state()));
      door.room(ROOM_A_NODE * (int) states.values().stream().filter(s -> s == NodeState.ON).count());
      letIn();
    });
  }

  /** A call for the node list failed. From any thread. */
  public void listFailed() {
    mailbox.put(() -> tell(new HostScheduler.ListFailed()));
  }

  /** What came of an attempt; {@code report} may be null. From any thread, once an attempt that was not
   * withdrawn. {@code TIMEOUT} and {@code CANCELLED} are the engine's own to tell. */
  public void outcome(Attempt attempt, Result result, List<Double> report) {
    attempt.tell(result, report);
    mailbox.put(attempt);
  }

  /** An attempt that ended without a word of its effect can have none any more. From any thread. */
  public void resolved(Attempt attempt) {
    mailbox.put(() -> harmless(attempt));
  }

  /** What came of a probe; {@code report} may be null. From any thread. */
  public void probed(long node, Result result, long tookUs, List<Double> report) {
    mailbox.put(() -> tell(new HostScheduler.Probed(node, result, tookUs, report)));
  }

  /** Runs something on the engine's thread. */
  public void execute(Runnable task) {
    mailbox.put(task);
  }

  /** Runs something on the engine's thread after so many us; call on the engine's thread. */
  public void after(long us, Runnable task) {
    timers.set(time.getAsLong() + us, task::run);
  }

  /** A volume of the settings shares as its plan's weight says. */
  private Door.Owner owner(Volume v) {
    HostScheduler.Plan plan = plans.get(v.plan());
    double weight = plan == null || plan.weight() <= 0 ? 1 : plan.weight();
    return new Door.Owner(v.tenant(), weight, v.id(), weight);
  }

  /** Serves a volume from now on, or on other terms; complete when the module has been told. Requests in
   * flight keep the size that they came with. From any thread. */
  public CompletableFuture<Void> serve(Volume volume, HostScheduler.VolumeChanged terms) {
    CompletableFuture<Void> told = new CompletableFuture<>();
    mailbox.put(() -> {
      Door.Owner owner = new Door.Owner(volume.tenant(), terms.groupWeight(), volume.id(), terms.plan()
          .weight());
      shares.computeIfAbsent(volume.id(), k -> new Served(owner)).again(owner);
      tell(terms);
      volumes.put(volume.name(), volume);
      told.complete(null);
    });
    return told;
  }

  /** Takes no more requests of a volume, which are refused from now on; complete when all that it had are
   * answered and nothing of them is out. From any thread; a volume that is not served is drained. */
  public CompletableFuture<Void> drain(Volume volume) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    mailbox.put(() -> {
      Served s = shares.get(volume.id());
      if (s == null) {
        done.complete(null);
        return;
      }
      s.draining = true;
      s.drained.thenRun(() -> done.complete(null));
      gone(volume, s);
    });
    return done;
  }

  /** Gives a volume up, of which nothing is offered any more: complete when all that was taken has its
   * answer, no change of it can have an effect any more, and requests in order are as settled as the rules
   * ask. */
  CompletableFuture<Void> handOver(Volume volume) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    mailbox.put(() -> {
      Served s = shares.get(volume.id());
      if (s == null) {
        done.complete(null);
      } else {
        s.handed = done;
        hand(volume, s);
      }
    });
    return done;
  }

  private void hand(Volume volume, Served s) {
    if (s.handed == null || s.held > 0 || s.locked > 0) {
      return;
    }
    long settled = s.doubtAt + config.settings().rules().orderSettleUs();
    if (now < settled) {
      timers.set(settled, () -> hand(volume, s));
    } else if (shares.remove(volume.id(), s)) {
      volumes.remove(volume.name());
      tell(new HostScheduler.VolumeRemoved(volume.id()));
      s.handed.complete(null);
    }
  }

  /** Forgets a draining volume once nothing of it is held. */
  private void gone(Volume volume, Served s) {
    if (s.draining && s.held == 0 && shares.remove(volume.id(), s)) {
      volumes.remove(volume.name());
      tell(new HostScheduler.VolumeRemoved(volume.id()));
      s.drained.complete(null);
    }
  }

  @Override
  public Map<String, Volume> volumes() {
    return volumes;
  }

  /** Refuses at once all that comes from now on; what is held goes on. From any thread. It is for a gateway
   * of which nodes run nothing any more: its clients need not wait for their deadlines to hear so. */
  public void refuseAll() {
    refusing = true;
  }

  /** Takes nothing more, answers all it holds, then ends. From any thread; calls again change nothing. */
  public CompletableFuture<Void> stop() {
    mailbox.put(() -> stopping = true);
    return stopped;
  }

  /** Complete when the engine has ended. */
  public CompletableFuture<Void> ended() {
    return stopped;
  }

  /** Totals since the start. From any thread; the figures need not be of one instant. */
  public Totals totals() {
    return new Totals(taken.sum(), served.sum(), refused.sum(), failed.sum(), departed.sum(), attempts.sum(),
        bounds.requests(), moduleNs);
  }

  private void run() {
    try {
      while (!(stopping && bounds.requests() == 0)) {
        turn();
      }
      port.close();
      stopped.complete(null);
    } catch (Throwable e) {
      LOG.atError().setCause(e).log("engine.fault");
      stopped.completeExceptionally(e);
      throw e;
    }
  }

  private void turn() {
    if (work()) {
      mailbox.await(Math.min(NAP, Math.max(0, nextDue() - time.getAsLong())));
    }
  }

  /** One turn; whether all letters were read. */
  private boolean work() {
    now = time.getAsLong();
    int read = 0;
    for (Runnable letter = mailbox.poll(); letter != null; letter = mailbox.poll()) {
      letter.run();
      if (++read == BATCH) {
        break;
      }
    }
    now = Math.max(now, time.getAsLong());
    timers.run(now);
    for (Operation op = inside.peek(); op != null && (op.released || op.letInAt
        + insideUs <= now); op = inside.peek()) {
      inside.poll();
      leaveRoom(op);
    }
    port.flush();
    if (awaitingRoom && bounds.roomy()) {
      awaitingRoom = false;
      turnedAway.forEach(Runnable::run);
    }
    return read < BATCH;
  }

  private long nextDue() {
    return inside.isEmpty() || door.waiting() == 0
        ? timers.next()
        : Math.min(timers.next(), inside.peek().letInAt + insideUs);
  }

  // A request comes in.

  void take(Operation op) {
    taken.increment();
    Served served = shares.get(op.volume.id());
    if (served == null || served.draining || refusing) {
      turnAway(op, 0);
      return;
    }
    served.held++;
    op.served = served;
    double units = config.classifier().units(op.io.kind(), op.io.length());
    op.place = door.pass(now, op, served.owner, units);
    if (op.place != null) {
      goIn(op);
      return;
    }
    op.waited = true;
    op.place = door.enter(now, op, served.owner, units);
    for (Door.Turned<Operation> t = door.over(now); t != null; t = door.over(now)) {
      turnAway(t.item(), t.retryInUs());
    }
    letIn();
    if (op.place.waiting()) {
      op.patience = timers.set(op.deadline - config.settings().tickUs(), () -> {
        if (op.place.waiting()) {
          door.leave(op.place);
          turnAway(op, 0);
        }
      });
    }
  }

  /** Refuses a request that has not been let in: nothing of it ran. */
  private void turnAway(Operation op, long retryInUs) {
    answer(op, Answer.refused(retryInUs));
    free(op);
  }

  private void letIn() {
    for (Door.Place<Operation> p = door.next(now); p != null; p = door.next(now)) {
      goIn(p.item());
    }
  }

  private void goIn(Operation op) {
    if (op.patience != null) {
      op.patience.cancel();
    }
    op.letInAt = now;
    inside.add(op);
    begin(op);
  }

  private void leaveRoom(Operation op) {
    door.left(op.place);
    if (!lettingIn) {
      lettingIn = true;
      letIn();
      lettingIn = false;
    }
  }

  private void begin(Operation op) {
    op.pieces = cut(op);
    for (Piece piece : op.pieces) {
      if (piece.kind.changes()) {
        piece.locked = true;
        op.served.locked++;
      }
      if (!piece.kind.changes() || locks.lock(piece)) {
        submit(piece);
      } else {
        await(piece);
      }
    }
  }

  private List<Piece> cut(Operation op) {
    List<Piece> cut = new ArrayList<>(1);
    if (op.io.kind() == IoKind.FLUSH) {
      for (int shard : Splitter.shards(op.volume)) {
        cut.add(new Piece(nextPiece++, op, shard, 0, 0, 0));
      }
    } else {
      for (Splitter.Part p : config.splitter().split(op.volume, op.io.offset(), op.io.length())) {
        cut.add(new Piece(nextPiece++, op, p.shard(), p.offset(), p.from(), p.length()));
      }
    }
    return cut;
  }

  /** A change whose blocks another one holds: it is refused a tick before its client's time ends, since
   * nothing of it ran. */
  private void await(Piece piece) {
    for (Piece holder : locks.blockers(piece)) {
      holder.attempts.forEach(this::fenceIfAbandoned);
    }
    piece.patience = timers.set(piece.operation.deadline - config.settings().tickUs(), () -> {
      if (!piece.known && !piece.answered) {
        locks.leave(piece).forEach(this::submit);
        answerPiece(piece, Answer.refused(0));
      }
    });
  }

  private void fenceIfAbandoned(Attempt attempt) {
    if (attempt.over && attempt.mayRun && !attempt.resolved) {
      port.fence(attempt);
    }
  }

  /** Tells the module of a piece that may be sent as far as its blocks go. One that waited, at the door or
   * for its blocks, earns no further attempts: it was taken before, and a window's attempts must not exceed
   * what was taken in it. Harm: fewer further attempts while there are queues. */
  private void submit(Piece piece) {
    Operation op = piece.operation;
    piece.known = true;
    if (piece.patience != null) {
      piece.patience.cancel();
    }
    pieces.put(piece.id, piece);
    long extent = op.io.offset() / op.volume.extentBytes();
    tell(new HostScheduler.Request(piece.id, op.rules.name(), op.volume.plan(), op.volume.id() << 24 | extent,
        op.volume.id(), config.classifier().units(piece.kind, piece.length), piece.shard, op.volume.hosts(),
        op.deadline - now, op.waited || piece.patience != null));
  }

  // The module decides.

  private void tell(Event event) {
    if (level == levels.size()) {
      levels.add(new Decided());
    }
    Decided decided = levels.get(level++);
    boolean sampled = (++told & SAMPLED) == 0;
    long from = sampled ? System.nanoTime() : 0;
    module.handle(now, event, decided);
    if (sampled) {
      moduleNs += (System.nanoTime() - from) * (SAMPLED + 1);
    }
    for (int i = 0; i < decided.actions.size(); i++) {
      carryOut(decided.actions.get(i));
    }
    decided.actions.clear();
    level--;
  }

  /** What the module decided on one event, in order. */
  private static final class Decided implements Consumer<Action> {
    final List<Action> actions = new ArrayList<>();

    @Override
    public void accept(Action action) {
      actions.add(action);
    }
  }

  private void carryOut(Action action) {
    if (action instanceof HostScheduler.Send s) {
      send(pieces.get(s.request()), s);
    } else if (action instanceof HostScheduler.Refuse r) {
      answerPiece(pieces.get(r.request()), Answer.refused(r.retryInUs()));
    } else if (action instanceof HostScheduler.Fail f) {
      answerPiece(pieces.get(f.request()), Answer.FAILED);
    } else if (action instanceof HostScheduler.Cancel c) {
      withdraw(pieces.get(c.request()).attempts.get(c.attempt()), Result.CANCELLED);
    } else if (action instanceof HostScheduler.Probe p) {
      port.probe(p.node());
    } else if (action instanceof HostScheduler.SetTimer t) {
      timers.set(t.at(), () -> tell(new HostScheduler.TimerDue(t.id())));
    } else if (action instanceof HostScheduler.Watch) {
      port.watch();
    }
  }

  private void send(Piece piece, HostScheduler.Send order) {
    Operation op = piece.operation;
    Attempt attempt = new Attempt(this, piece, piece.attempts.size(), order.node(), now);
    piece.attempts.add(attempt);
    attempts.increment();
    op.out++;
    if (piece.kind.changes()) {
      piece.unresolved++;
    }
    long until = order.timeoutAt() > 0 ? Math.min(order.timeoutAt(), op.deadline) : op.deadline;
    attempt.timer = timers.set(until, attempt);
    port.send(attempt);
  }

  // What came of it.

  /** Gives an attempt up, if its outcome has not come: the module hears what is true of it. */
  void withdraw(Attempt attempt, Result reason) {
    if (attempt.over) {
      return;
    }
    switch (port.withdraw(attempt)) {
      case NEVER_SENT -> ended(attempt, Result.MOOT, null);
      case MAY_RUN -> ended(attempt, reason, null);
      case ENDED -> {}
    }
  }

  void ended(Attempt attempt, Result result, List<Double> report) {
    if (attempt.over) {
      return;
    }
    attempt.over = true;
    attempt.timer.cancel();
    Piece piece = attempt.piece;
    piece.operation.out--;
    attempt.mayRun = !result.provesNotRun() && result != Result.OK && result != Result.ERROR;
    if (attempt.mayRun) {
      piece.operation.served.doubtAt = now;
    }
    boolean before = piece.answered;
    if (result == Result.OK && !before) {
      answerPiece(piece, Answer.SERVED);
    }
    tell(new HostScheduler.Outcome(piece.id, attempt.number, attempt.node(), result, piece.answered, Math.max(
        0, now - attempt.sentAt), 0, 0, report));
    if (!attempt.mayRun) {
      harmless(attempt);
    } else if (piece.kind.changes() && locks.awaited(piece)) {
      fenceIfAbandoned(attempt);
    }
    free(piece);
  }

  /** An attempt can have no effect any more. */
  private void harmless(Attempt attempt) {
    Piece piece = attempt.piece;
    if (!attempt.resolved) {
      attempt.resolved = true;
      if (piece.kind.changes()) {
        piece.unresolved--;
        unlock(piece);
      }
    }
  }

  private void unlock(Piece piece) {
    if (piece.answered && piece.unresolved == 0) {
      locks.unlock(piece).forEach(this::submit);
      if (piece.locked) {
        piece.locked = false;
        piece.operation.served.locked--;
        hand(piece.operation.volume, piece.operation.served);
      }
    }
  }

  /** Takes the one answer of a piece; gives the client its own when all pieces have theirs. */
  private void answerPiece(Piece piece, Answer answer) {
    if (piece == null || piece.answered) {
      return;
    }
    piece.answered = true;
    Operation op = piece.operation;
    op.verdict.add(answer);
    Result reason = now >= op.deadline - 2 * config.settings().tickUs() ? Result.TIMEOUT : Result.CANCELLED;
    giveUpOthers(piece, reason);
    if (piece.kind.changes()) {
      unlock(piece);
    }
    if (!op.answered && op.verdict.pieces() == op.pieces.size()) {
      answer(op, op.verdict.answer());
    }
    free(piece);
  }

  /** Gives the client its one answer. */
  private void answer(Operation op, Answer all) {
    Answer honest = op.honest(all);
    op.answered = true;
    switch (honest.kind()) {
      case SERVED -> served.increment();
      case REFUSED -> { refused.increment(); sample(refusals, "request.refused", op); }
      case FAILED -> { failed.increment(); sample(failures, "request.failed", op); }
    }
    op.io.client().answered(honest);
  }

  private void sample(Sampler sampler, String event, Operation op) {
    long facts = sampler.admit(now);
    if (facts > 0) {
      LOG.atInfo()
          .addKeyValue("volume", op.volume.name())
          .addKeyValue("tenant", op.volume.tenant())
          .addKeyValue("request", op.pieces.isEmpty() ? -1 : op.pieces.get(0).id)
          .addKeyValue("kind", op.io.kind())
          .addKeyValue("facts", facts)
          .log(event);
    }
  }

  /** What is still out for a piece that has its answer must not touch the client's data again. */
  private void giveUpOthers(Piece piece, Result reason) {
    for (Attempt a : piece.attempts) {
      withdraw(a, reason);
    }
  }

  private void leave(Operation op) {
    if (op == null || op.answered) {
      return;
    }
    op.answered = true;
    departed.increment();
    door.leave(op.place);
    for (Piece piece : op.pieces) {
      if (piece.answered) {
        continue;
      }
      piece.answered = true;
      if (piece.known) {
        tell(new HostScheduler.Departed(piece.id));
      } else {
        locks.leave(piece).forEach(this::submit);
      }
      giveUpOthers(piece, Result.CANCELLED);
      unlock(piece);
      free(piece);
    }
    free(op);
  }

  /** Forgets what nothing will ask for again. */
  private void free(Piece piece) {
    boolean over = piece.answered;
    for (int i = 0; i < piece.attempts.size(); i++) {
      over &= piece.attempts.get(i).over;
    }
    if (over) {
      pieces.remove(piece.id);
    }
    free(piece.operation);
  }

  private void free(Operation op) {
    if (op.answered && op.out == 0 && !op.released) {
      op.released = true;
      op.io.client().released();
      bounds.give(op.io.held());
      if (op.served != null) {
        op.served.held--;
        gone(op.volume, op.served);
        hand(op.volume, op.served);
        leaveRoom(op);
      }
    }
  }
}
