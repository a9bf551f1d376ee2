package hollyslip.engine;

import hollyslip.HostScheduler;
import hollyslip.HostScheduler.Action;
import hollyslip.HostScheduler.Event;
import hollyslip.HostScheduler.NodeList;
import hollyslip.HostScheduler.NodeState;
import hollyslip.HostScheduler.RequestClass;
import hollyslip.HostScheduler.Result;
import hollyslip.door.AdmissionQueue;
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
 * The way of one request, top to bottom: a front calls {@link #offer}; {@link #accept} has it wait at the
 * {@link AdmissionQueue}, fairly among tenants; {@link #admitWaiting} cuts it into pieces; a change of blocks waits for its
 * range ({@link RangeLocks}); {@link #submit} tells the module; {@link #perform} sends where the module
 * says; {@link #termination} takes what came of an attempt back to the module; {@link #answerSubRequest} collects the
 * answers of the pieces and gives the client its one. */
public final class Engine implements Intake {
  private static final Logger LOG = LoggerFactory.getLogger(Engine.class);

  /** Letters read before timers and sends get their turn, so that none starves. */
  private static final int MAX_MESSAGES_PER_TURN = 256;

  /** Requests let in for each node that serves: what one host may have out at it, and as many to choose
   * from. */
  private static final int ADMITTED_PER_NODE = 64;

  /** The module's time is taken at one event in so many and one: reading the clock costs as much as a part of
   * what is measured. */
  private static final long MODULE_TIME_SAMPLE_MASK = 15;

  /** Longest sleep, us: only a bound, timers and letters wake it. */
  private static final long MAX_PARK_US = 1_000_000;

  /** What the engine is built from.
   *
   * @param settings
   *          of the module
   * @param classifier
   *          class and units of a request
   * @param splitter
   *          cuts requests at extents
   * @param maxRequests
   *          requests held at most
   * @param maxBytes
   *          bytes of requests held at most
   * @param firstRequestId
   *          number of its first request: those of two lanes of one process must differ, as nodes see them in
   *          the cookies of one client */
  public record Config(HostScheduler.Settings settings, Classifier classifier, Splitter splitter,
      long maxRequests, long maxBytes, long firstRequestId) {}

  /** Totals since the start; {@code moduleNs} is the time spent inside the module, from samples. */
  public record Totals(long taken, long served, long refused, long failed, long departed, long attempts,
      long held, long moduleNs) {
    Totals plus(Totals o) {
      return new Totals(taken + o.taken, served + o.served, refused + o.refused, failed + o.failed, departed
          + o.departed, attempts + o.attempts, held + o.held, moduleNs + o.moduleNs);
    }
  }

  private final Config config;
  private final HostScheduler scheduler;
  private final LongSupplier timeSource;
  private final Map<String, RequestClass> classesByName = new HashMap<>();
  private final Mailbox mailbox = new Mailbox();
  private final TimerQueue timers = new TimerQueue();
  private final InflightLimits limits;
  private final RangeLocks rangeLocks = new RangeLocks();
  private final Long2ObjectHashMap<SubRequest> subRequests = new Long2ObjectHashMap<>();
  /** Actions of the events that are being told, the innermost last: carrying one out may tell the next. */
  private final List<ActionBuffer> actionBuffers = new ArrayList<>();
  private int nestingDepth;
  private final List<Runnable> capacityListeners = new CopyOnWriteArrayList<>();
  private final CompletableFuture<Void> termination = new CompletableFuture<>();
  private final LongAdder taken = new LongAdder(), served = new LongAdder(), refused = new LongAdder();
  private final LongAdder failed = new LongAdder(), abandoned = new LongAdder(), attempts = new LongAdder();
  /** Written by the engine's thread alone. */
  private volatile long moduleNs;
  private final LogSampler refusalLog = new LogSampler(), failureLog = new LogSampler();
  private final Map<String, Volume> volumes = new ConcurrentHashMap<>();
  private final Map<Long, VolumeState> volumeStates = new ConcurrentHashMap<>();
  private final Map<String, HostScheduler.Plan> plansByName = new HashMap<>();
  private final Map<Long, NodeState> nodeStates = new HashMap<>();
  private final AdmissionQueue<ActiveRequest> admissionQueue;
  /** How long a request counts as inside at most, us: one that waits longer for a limit or a node that is
   * away does not keep others at the door. Harm: the module holds more at a time then. */
  private final long maxAdmittedUs;
  private volatile boolean stopping;
  private volatile boolean refusing;
  private volatile boolean frontsAwaitCapacity;
  private NodePort transport;
  /** Events told to the module. */
  private long handledEvents;
  private long now;
  private long nextSubRequestId;
  private boolean admitting;
  /** Requests let in, in that order, for at most {@link #maxAdmittedUs}. */
  private final ArrayDeque<ActiveRequest> admitted = new ArrayDeque<>();

  /** What the engine keeps of a volume by its id. */
  static final class VolumeState {
    private AdmissionQueue.Owner owner;
    private CompletableFuture<Void> drained = new CompletableFuture<>();
    private boolean draining;
    /** Requests of it that are taken and not released, and pieces that hold or wait for blocks. */
    private int activeRequests, lockingSubRequests;
    /** When an attempt last ended that may still run. */
    private long lastUncertainAt = Long.MIN_VALUE / 2;
    /** Complete when another engine may take the volume on; null: it stays. */
    private CompletableFuture<Void> handedOver;

    VolumeState(AdmissionQueue.Owner owner) {
      this.owner = owner;
    }

    /** Served on such terms, whatever was before. */
    void resumeWith(AdmissionQueue.Owner next) {
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
    this.timeSource = time;
    nextSubRequestId = config.firstRequestId();
    this.scheduler = module;
    config.settings().plans().forEach(p -> plansByName.put(p.name(), p));
    volumes.values().forEach(this::addVolume);
    maxAdmittedUs = config.settings().classes().stream().mapToLong(RequestClass::aimUs).min().orElseThrow();
    admissionQueue = new AdmissionQueue<>((int) Math.min(Integer.MAX_VALUE, config.maxRequests() / 2), ADMITTED_PER_NODE);
    limits = new InflightLimits(config.maxRequests(), config.maxBytes());
    config.settings().classes().forEach(c -> classesByName.put(c.name(), c));
  }

  /** Serves a volume on its plan of the settings; before {@link #start}. */
  void addVolume(Volume v) {
    volumes.put(v.name(), v);
    volumeStates.put(v.id(), new VolumeState(flowOwner(v)));
  }

  /** Starts the engine's thread; {@code nodes} is where attempts go. */
  public void start(NodePort nodes) {
    transport = nodes;
    Thread thread = new Thread(this::run, "engine");
    mailbox.setOwner(thread);
    thread.start();
  }

  /** Has it run without a thread of its own: by {@link #step}, always on one thread, the one that makes all
   * other calls too. */
  public void startDriven(NodePort nodes) {
    transport = nodes;
  }

  /** Does all there is to do at this time; gives the time, us, at which there is something again if nothing
   * comes in before, {@code Long.MAX_VALUE}: never. */
  public long step() {
    while (!processTurn() || !mailbox.isEmpty()) {
      // Each turn reads a batch of letters; what it does may post further ones.
    }
    return nextDueTime();
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
    if (!limits.tryAcquire(io.dataBytes())) {
      frontsAwaitCapacity = true;
      return false;
    }
    ActiveRequest op = new ActiveRequest(this, io, volume, requestClass(io), timeSource.getAsLong());
    io.activeRequest = op;
    mailbox.post(op);
    return true;
  }

  private RequestClass requestClass(Io io) {
    return classesByName.get(config.classifier().className(io.kind(), io.length()));
  }

  @Override
  public void onRoom(Runnable listener) {
    capacityListeners.add(listener);
  }

  @Override
  public void forgetRoom(Runnable listener) {
    capacityListeners.remove(listener);
  }

  @Override
  public void depart(Io io) {
    mailbox.post(() -> abandonRequest(io.activeRequest));
  }

  /** News of the node list. From any thread. */
  public void nodes(NodeList list) {
    mailbox.post(() -> {
      handleEvent(list);
      if (list.whole()) {
        nodeStates.clear();
      }
      list.nodes().forEach(n -> nodeStates.put(n.node(), n.state()));
      admissionQueue.setMaxAdmitted(ADMITTED_PER_NODE * (int) nodeStates.values().stream().filter(s -> s == NodeState.ON).count());
      admitWaiting();
    });
  }

  /** A call for the node list failed. From any thread. */
  public void listFailed() {
    mailbox.post(() -> handleEvent(new HostScheduler.ListFailed()));
  }

  /** What came of an attempt; {@code report} may be null. From any thread, once an attempt that was not
   * withdrawn. {@code TIMEOUT} and {@code CANCELLED} are the engine's own to tell. */
  public void outcome(Attempt attempt, Result result, List<Double> report) {
    attempt.setOutcome(result, report);
    mailbox.post(attempt);
  }

  /** An attempt that ended without a word of its effect can have none any more. From any thread. */
  public void resolved(Attempt attempt) {
    mailbox.post(() -> resolve(attempt));
  }

  /** What came of a probe; {@code report} may be null. From any thread. */
  public void probed(long node, Result result, long tookUs, List<Double> report) {
    mailbox.post(() -> handleEvent(new HostScheduler.Probed(node, result, tookUs, report)));
  }

  /** Runs something on the engine's thread. */
  public void execute(Runnable task) {
    mailbox.post(task);
  }

  /** Runs something on the engine's thread after so many us; call on the engine's thread. */
  public void after(long us, Runnable task) {
    timers.schedule(timeSource.getAsLong() + us, task::run);
  }

  /** A volume of the settings shares as its plan's weight says. */
  private AdmissionQueue.Owner flowOwner(Volume v) {
    HostScheduler.Plan plan = plansByName.get(v.plan());
    double weight = plan == null || plan.weight() <= 0 ? 1 : plan.weight();
    return new AdmissionQueue.Owner(v.tenant(), weight, v.id(), weight);
  }

  /** Serves a volume from now on, or on other terms; complete when the module has been told. Requests in
   * flight keep the size that they came with. From any thread. */
  public CompletableFuture<Void> serve(Volume volume, HostScheduler.VolumeChanged terms) {
    CompletableFuture<Void> told = new CompletableFuture<>();
    mailbox.post(() -> {
      AdmissionQueue.Owner owner = new AdmissionQueue.Owner(volume.tenant(), terms.groupWeight(), volume.id(), terms.plan()
          .weight());
      volumeStates.computeIfAbsent(volume.id(), k -> new VolumeState(owner)).resumeWith(owner);
      handleEvent(terms);
      volumes.put(volume.name(), volume);
      told.complete(null);
    });
    return told;
  }

  /** Takes no more requests of a volume, which are refused from now on; complete when all that it had are
   * answered and nothing of them is out. From any thread; a volume that is not served is drained. */
  public CompletableFuture<Void> drain(Volume volume) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    mailbox.post(() -> {
      VolumeState s = volumeStates.get(volume.id());
      if (s == null) {
        done.complete(null);
        return;
      }
      s.draining = true;
      s.drained.thenRun(() -> done.complete(null));
      removeIfDrained(volume, s);
    });
    return done;
  }

  /** Gives a volume up, of which nothing is offered any more: complete when all that was taken has its
   * answer, no change of it can have an effect any more, and requests in order are as settled as the rules
   * ask. */
  CompletableFuture<Void> handOver(Volume volume) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    mailbox.post(() -> {
      VolumeState s = volumeStates.get(volume.id());
      if (s == null) {
        done.complete(null);
      } else {
        s.handedOver = done;
        completeHandOver(volume, s);
      }
    });
    return done;
  }

  private void completeHandOver(Volume volume, VolumeState s) {
    if (s.handedOver == null || s.activeRequests > 0 || s.lockingSubRequests > 0) {
      return;
    }
    long settled = s.lastUncertainAt + config.settings().rules().orderSettleUs();
    if (now < settled) {
      timers.schedule(settled, () -> completeHandOver(volume, s));
    } else if (volumeStates.remove(volume.id(), s)) {
      volumes.remove(volume.name());
      handleEvent(new HostScheduler.VolumeRemoved(volume.id()));
      s.handedOver.complete(null);
    }
  }

  /** Forgets a draining volume once nothing of it is held. */
  private void removeIfDrained(Volume volume, VolumeState s) {
    if (s.draining && s.activeRequests == 0 && volumeStates.remove(volume.id(), s)) {
      volumes.remove(volume.name());
      handleEvent(new HostScheduler.VolumeRemoved(volume.id()));
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
    mailbox.post(() -> stopping = true);
    return termination;
  }

  /** Complete when the engine has ended. */
  public CompletableFuture<Void> termination() {
    return termination;
  }

  /** Totals since the start. From any thread; the figures need not be of one instant. */
  public Totals totals() {
    return new Totals(taken.sum(), served.sum(), refused.sum(), failed.sum(), abandoned.sum(), attempts.sum(),
        limits.requests(), moduleNs);
  }

  private void run() {
    try {
      while (!(stopping && limits.requests() == 0)) {
        runTurn();
      }
      transport.close();
      termination.complete(null);
    } catch (Throwable e) {
      LOG.atError().setCause(e).log("engine.fault");
      termination.completeExceptionally(e);
      throw e;
    }
  }

  private void runTurn() {
    if (processTurn()) {
      mailbox.await(Math.min(MAX_PARK_US, Math.max(0, nextDueTime() - timeSource.getAsLong())));
    }
  }

  /** One turn; whether all letters were read. */
  private boolean processTurn() {
    now = timeSource.getAsLong();
    int read = 0;
    for (Runnable letter = mailbox.poll(); letter != null; letter = mailbox.poll()) {
      letter.run();
      if (++read == MAX_MESSAGES_PER_TURN) {
        break;
      }
    }
    now = Math.max(now, timeSource.getAsLong());
    timers.runDue(now);
    for (ActiveRequest op = admitted.peek(); op != null && (op.released || op.admittedAt
        + maxAdmittedUs <= now); op = admitted.peek()) {
      admitted.poll();
      releaseAdmission(op);
    }
    transport.flush();
    if (frontsAwaitCapacity && limits.belowResumeThreshold()) {
      frontsAwaitCapacity = false;
      capacityListeners.forEach(Runnable::run);
    }
    return read < MAX_MESSAGES_PER_TURN;
  }

  private long nextDueTime() {
    return admitted.isEmpty() || admissionQueue.waiting() == 0
        ? timers.nextDueTime()
        : Math.min(timers.nextDueTime(), admitted.peek().admittedAt + maxAdmittedUs);
  }

  // A request comes in.

  void accept(ActiveRequest op) {
    taken.increment();
    VolumeState served = volumeStates.get(op.volume.id());
    if (served == null || served.draining || refusing) {
      refuse(op, 0);
      return;
    }
    served.activeRequests++;
    op.volumeState = served;
    double units = config.classifier().units(op.io.kind(), op.io.length());
    op.ticket = admissionQueue.tryAdmit(now, op, served.owner, units);
    if (op.ticket != null) {
      admit(op);
      return;
    }
    op.queuedForAdmission = true;
    op.ticket = admissionQueue.enqueue(now, op, served.owner, units);
    for (AdmissionQueue.Rejected<ActiveRequest> t = admissionQueue.pollRejected(now); t != null; t = admissionQueue.pollRejected(now)) {
      refuse(t.item(), t.retryInUs());
    }
    admitWaiting();
    if (op.ticket.waiting()) {
      op.admissionTimer = timers.schedule(op.deadline - config.settings().tickUs(), () -> {
        if (op.ticket.waiting()) {
          admissionQueue.cancel(op.ticket);
          refuse(op, 0);
        }
      });
    }
  }

  /** Refuses a request that has not been let in: nothing of it ran. */
  private void refuse(ActiveRequest op, long retryInUs) {
    answer(op, Answer.refused(retryInUs));
    releaseIfDone(op);
  }

  private void admitWaiting() {
    for (AdmissionQueue.Ticket<ActiveRequest> p = admissionQueue.pollAdmitted(now); p != null; p = admissionQueue.pollAdmitted(now)) {
      admit(p.item());
    }
  }

  private void admit(ActiveRequest op) {
    if (op.admissionTimer != null) {
      op.admissionTimer.cancel();
    }
    op.admittedAt = now;
    admitted.add(op);
    startSubRequests(op);
  }

  private void releaseAdmission(ActiveRequest op) {
    admissionQueue.release(op.ticket);
    if (!admitting) {
      admitting = true;
      admitWaiting();
      admitting = false;
    }
  }

  private void startSubRequests(ActiveRequest op) {
    op.subRequests = split(op);
    for (SubRequest piece : op.subRequests) {
      if (piece.kind.changes()) {
        piece.countedAsLocking = true;
        op.volumeState.lockingSubRequests++;
      }
      if (!piece.kind.changes() || rangeLocks.lockOrEnqueue(piece)) {
        submit(piece);
      } else {
        awaitRange(piece);
      }
    }
  }

  private List<SubRequest> split(ActiveRequest op) {
    List<SubRequest> cut = new ArrayList<>(1);
    if (op.io.kind() == IoKind.FLUSH) {
      for (int shard : Splitter.shards(op.volume)) {
        cut.add(new SubRequest(nextSubRequestId++, op, shard, 0, 0, 0));
      }
    } else {
      for (Splitter.ShardRange p : config.splitter().split(op.volume, op.io.offset(), op.io.length())) {
        cut.add(new SubRequest(nextSubRequestId++, op, p.shard(), p.offset(), p.requestOffset(), p.length()));
      }
    }
    return cut;
  }

  /** A change whose blocks another one holds: it is refused a tick before its client's time ends, since
   * nothing of it ran. */
  private void awaitRange(SubRequest piece) {
    for (SubRequest holder : rangeLocks.blockers(piece)) {
      holder.attempts.forEach(this::fenceIfAbandoned);
    }
    piece.lockWaitTimer = timers.schedule(piece.request.deadline - config.settings().tickUs(), () -> {
      if (!piece.submitted && !piece.answered) {
        rangeLocks.cancelWait(piece).forEach(this::submit);
        answerSubRequest(piece, Answer.refused(0));
      }
    });
  }

  private void fenceIfAbandoned(Attempt attempt) {
    if (attempt.ended && attempt.mayStillRun && !attempt.resolved) {
      transport.fence(attempt);
    }
  }

  /** Tells the module of a piece that may be sent as far as its blocks go. One that waited, at the door or
   * for its blocks, earns no further attempts: it was taken before, and a window's attempts must not exceed
   * what was taken in it. Harm: fewer further attempts while there are queues. */
  private void submit(SubRequest piece) {
    ActiveRequest op = piece.request;
    piece.submitted = true;
    if (piece.lockWaitTimer != null) {
      piece.lockWaitTimer.cancel();
    }
    subRequests.put(piece.id, piece);
    long extent = op.io.offset() / op.volume.extentBytes();
    handleEvent(new HostScheduler.Request(piece.id, op.requestClass.name(), op.volume.plan(), op.volume.id() << 24 | extent,
        op.volume.id(), config.classifier().units(piece.kind, piece.length), piece.shard, op.volume.hosts(),
        op.deadline - now, op.queuedForAdmission || piece.lockWaitTimer != null));
  }

  // The module decides.

  private void handleEvent(Event event) {
    if (nestingDepth == actionBuffers.size()) {
      actionBuffers.add(new ActionBuffer());
    }
    ActionBuffer decided = actionBuffers.get(nestingDepth++);
    boolean sampled = (++handledEvents & MODULE_TIME_SAMPLE_MASK) == 0;
    long from = sampled ? System.nanoTime() : 0;
    scheduler.handle(now, event, decided);
    if (sampled) {
      moduleNs += (System.nanoTime() - from) * (MODULE_TIME_SAMPLE_MASK + 1);
    }
    for (int i = 0; i < decided.actions.size(); i++) {
      perform(decided.actions.get(i));
    }
    decided.actions.clear();
    nestingDepth--;
  }

  /** What the module decided on one event, in order. */
  private static final class ActionBuffer implements Consumer<Action> {
    final List<Action> actions = new ArrayList<>();

    @Override
    public void accept(Action action) {
      actions.add(action);
    }
  }

  private void perform(Action action) {
    if (action instanceof HostScheduler.Send s) {
      send(subRequests.get(s.request()), s);
    } else if (action instanceof HostScheduler.Refuse r) {
      answerSubRequest(subRequests.get(r.request()), Answer.refused(r.retryInUs()));
    } else if (action instanceof HostScheduler.Fail f) {
      answerSubRequest(subRequests.get(f.request()), Answer.FAILED);
    } else if (action instanceof HostScheduler.Cancel c) {
      withdraw(subRequests.get(c.request()).attempts.get(c.attempt()), Result.CANCELLED);
    } else if (action instanceof HostScheduler.Probe p) {
      transport.probe(p.node());
    } else if (action instanceof HostScheduler.SetTimer t) {
      timers.schedule(t.at(), () -> handleEvent(new HostScheduler.TimerDue(t.id())));
    } else if (action instanceof HostScheduler.Watch) {
      transport.watch();
    }
  }

  private void send(SubRequest piece, HostScheduler.Send order) {
    ActiveRequest op = piece.request;
    Attempt attempt = new Attempt(this, piece, piece.attempts.size(), order.node(), now);
    piece.attempts.add(attempt);
    attempts.increment();
    op.pendingAttempts++;
    if (piece.kind.changes()) {
      piece.unresolvedAttempts++;
    }
    long until = order.timeoutAt() > 0 ? Math.min(order.timeoutAt(), op.deadline) : op.deadline;
    attempt.timer = timers.schedule(until, attempt);
    transport.send(attempt);
  }

  // What came of it.

  /** Gives an attempt up, if its outcome has not come: the module hears what is true of it. */
  void withdraw(Attempt attempt, Result reason) {
    if (attempt.ended) {
      return;
    }
    switch (transport.withdraw(attempt)) {
      case NEVER_SENT -> onAttemptEnded(attempt, Result.MOOT, null);
      case MAY_RUN -> onAttemptEnded(attempt, reason, null);
      case ENDED -> {}
    }
  }

  void onAttemptEnded(Attempt attempt, Result result, List<Double> report) {
    if (attempt.ended) {
      return;
    }
    attempt.ended = true;
    attempt.timer.cancel();
    SubRequest piece = attempt.subRequest;
    piece.request.pendingAttempts--;
    attempt.mayStillRun = !result.provesNotRun() && result != Result.OK && result != Result.ERROR;
    if (attempt.mayStillRun) {
      piece.request.volumeState.lastUncertainAt = now;
    }
    boolean before = piece.answered;
    if (result == Result.OK && !before) {
      answerSubRequest(piece, Answer.SERVED);
    }
    handleEvent(new HostScheduler.Outcome(piece.id, attempt.number, attempt.node(), result, piece.answered, Math.max(
        0, now - attempt.sentAt), 0, 0, report));
    if (!attempt.mayStillRun) {
      resolve(attempt);
    } else if (piece.kind.changes() && rangeLocks.hasWaiters(piece)) {
      fenceIfAbandoned(attempt);
    }
    releaseIfDone(piece);
  }

  /** An attempt can have no effect any more. */
  private void resolve(Attempt attempt) {
    SubRequest piece = attempt.subRequest;
    if (!attempt.resolved) {
      attempt.resolved = true;
      if (piece.kind.changes()) {
        piece.unresolvedAttempts--;
        unlockIfResolved(piece);
      }
    }
  }

  private void unlockIfResolved(SubRequest piece) {
    if (piece.answered && piece.unresolvedAttempts == 0) {
      rangeLocks.unlock(piece).forEach(this::submit);
      if (piece.countedAsLocking) {
        piece.countedAsLocking = false;
        piece.request.volumeState.lockingSubRequests--;
        completeHandOver(piece.request.volume, piece.request.volumeState);
      }
    }
  }

  /** Takes the one answer of a piece; gives the client its own when all pieces have theirs. */
  private void answerSubRequest(SubRequest piece, Answer answer) {
    if (piece == null || piece.answered) {
      return;
    }
    piece.answered = true;
    ActiveRequest op = piece.request;
    op.answers.add(answer);
    Result reason = now >= op.deadline - 2 * config.settings().tickUs() ? Result.TIMEOUT : Result.CANCELLED;
    withdrawAttempts(piece, reason);
    if (piece.kind.changes()) {
      unlockIfResolved(piece);
    }
    if (!op.answered && op.answers.count() == op.subRequests.size()) {
      answer(op, op.answers.combined());
    }
    releaseIfDone(piece);
  }

  /** Gives the client its one answer. */
  private void answer(ActiveRequest op, Answer all) {
    Answer honest = op.clientAnswer(all);
    op.answered = true;
    switch (honest.kind()) {
      case SERVED -> served.increment();
      case REFUSED -> { refused.increment(); logSampled(refusalLog, "request.refused", op); }
      case FAILED -> { failed.increment(); logSampled(failureLog, "request.failed", op); }
    }
    op.io.listener().answered(honest);
  }

  private void logSampled(LogSampler sampler, String event, ActiveRequest op) {
    long facts = sampler.admit(now);
    if (facts > 0) {
      LOG.atInfo()
          .addKeyValue("volume", op.volume.name())
          .addKeyValue("tenant", op.volume.tenant())
          .addKeyValue("request", op.subRequests.isEmpty() ? -1 : op.subRequests.get(0).id)
          .addKeyValue("kind", op.io.kind())
          .addKeyValue("facts", facts)
          .log(event);
    }
  }

  /** What is still out for a piece that has its answer must not touch the client's data again. */
  private void withdrawAttempts(SubRequest piece, Result reason) {
    for (Attempt a : piece.attempts) {
      withdraw(a, reason);
    }
  }

  private void abandonRequest(ActiveRequest op) {
    if (op == null || op.answered) {
      return;
    }
    op.answered = true;
    abandoned.increment();
    admissionQueue.cancel(op.ticket);
    for (SubRequest piece : op.subRequests) {
      if (piece.answered) {
        continue;
      }
      piece.answered = true;
      if (piece.submitted) {
        handleEvent(new HostScheduler.Departed(piece.id));
      } else {
        rangeLocks.cancelWait(piece).forEach(this::submit);
      }
      withdrawAttempts(piece, Result.CANCELLED);
      unlockIfResolved(piece);
      releaseIfDone(piece);
    }
    releaseIfDone(op);
  }

  /** Forgets what nothing will ask for again. */
  private void releaseIfDone(SubRequest piece) {
    boolean over = piece.answered;
    for (int i = 0; i < piece.attempts.size(); i++) {
      over &= piece.attempts.get(i).ended;
    }
    if (over) {
      subRequests.remove(piece.id);
    }
    releaseIfDone(piece.request);
  }

  private void releaseIfDone(ActiveRequest op) {
    if (op.answered && op.pendingAttempts == 0 && !op.released) {
      op.released = true;
      op.io.listener().released();
      limits.release(op.io.dataBytes());
      if (op.volumeState != null) {
        op.volumeState.activeRequests--;
        removeIfDrained(op.volume, op.volumeState);
        completeHandOver(op.volume, op.volumeState);
        releaseAdmission(op);
      }
    }
  }
}
