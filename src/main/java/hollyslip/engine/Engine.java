package hollyslip.engine;

import hollyslip.HostScheduler;
import hollyslip.HostScheduler.Action;
import hollyslip.HostScheduler.Event;
import hollyslip.HostScheduler.NodeList;
import hollyslip.HostScheduler.NodeState;
import hollyslip.HostScheduler.RequestClass;
import hollyslip.HostScheduler.Result;
import hollyslip.admission.AdmissionQueue;
import hollyslip.volume.RequestClassifier;
import hollyslip.volume.IoKind;
import hollyslip.volume.ExtentSplitter;
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

/** Event loop around one {@link HostScheduler}: reports events to it and carries out the actions that it
 * returns. The engine is the only user of its scheduler and runs it on a single thread that never blocks.
 *
 * <p>
 * Path of a request: a front calls {@link #offer}; {@link #accept} passes it through the
 * {@link AdmissionQueue}, which is fair among tenants; {@link #startSubRequests} splits it along extents, and
 * a sub-request that modifies data waits for its block range ({@link RangeLocks}); {@link #submit} reports it
 * to the scheduler; {@link #perform} sends attempts where the scheduler says; {@link #onAttemptEnded} reports
 * the outcome of an attempt; {@link #answerSubRequest} collects the answers of the sub-requests into the one
 * answer for the client. */
public final class Engine implements RequestIntake {
  private static final Logger LOG = LoggerFactory.getLogger(Engine.class);

  /** Messages processed before timers and sends get their turn, so that a full mailbox cannot starve them. */
  private static final int MAX_MESSAGES_PER_TURN = 256;

  /** Requests admitted per node that is on: what one host may have outstanding at a node, and as many again
   * for the scheduler to choose from. */
  private static final int ADMITTED_PER_NODE = 64;

  /** Scheduler time is measured for one event in 16 ({@code counter & mask == 0}), since reading the clock
   * costs as much as a part of what is measured. */
  private static final long SCHEDULER_TIME_SAMPLE_MASK = 15;

  /** Longest sleep, us. Only an upper bound: timers and messages wake the thread earlier. */
  private static final long MAX_PARK_US = 1_000_000;

  /** Configuration of an engine.
   *
   * @param settings
   *          of the scheduler
   * @param classifier
   *          determines the class and the units of a request
   * @param splitter
   *          splits requests along extents
   * @param maxRequests
   *          maximum number of requests held
   * @param maxBytes
   *          maximum number of request bytes held
   * @param firstRequestId
   *          ID of the first request. The ID ranges of two lanes in one process must differ, because nodes
   *          see the IDs in the cookies of one client. */
  public record Config(HostScheduler.Settings settings, RequestClassifier classifier, ExtentSplitter splitter,
      long maxRequests, long maxBytes, long firstRequestId) {}

  /** Totals since the start, logged under the names of the components; {@code moduleNs} is the time spent
   * inside the scheduler, extrapolated from samples. */
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
  /** One buffer of actions per nesting level, the innermost last: performing an action may report the next
   * event before the remaining actions are performed. */
  private final List<ActionBuffer> actionBuffers = new ArrayList<>();
  private int nestingDepth;
  private final List<Runnable> capacityListeners = new CopyOnWriteArrayList<>();
  private final CompletableFuture<Void> termination = new CompletableFuture<>();
  private final LongAdder taken = new LongAdder(), served = new LongAdder(), refused = new LongAdder();
  private final LongAdder failed = new LongAdder(), abandoned = new LongAdder(), attempts = new LongAdder();
  /** Written by the engine's thread only. */
  private volatile long schedulerNs;
  private final LogSampler refusalLog = new LogSampler(), failureLog = new LogSampler();
  private final Map<String, Volume> volumes = new ConcurrentHashMap<>();
  private final Map<Long, VolumeState> volumeStates = new ConcurrentHashMap<>();
  private final Map<String, HostScheduler.Plan> plansByName = new HashMap<>();
  private final Map<Long, NodeState> nodeStates = new HashMap<>();
  private final AdmissionQueue<ActiveRequest> admissionQueue;
  /** Longest time, us, for which an admitted request counts against the admission limit. One that waits
   * longer, for a rate limit or an unavailable node, no longer keeps others out of the scheduler. Drawback:
   * the scheduler then holds more requests at a time. */
  private final long maxAdmittedUs;
  /** Longest deadline of a class, us. */
  private final long longestDeadlineUs;
  private volatile boolean stopping;
  private volatile boolean refusing;
  private volatile boolean frontsAwaitCapacity;
  private NodeTransport transport;
  /** Events reported to the scheduler. */
  private long handledEvents;
  private long now;
  private long nextSubRequestId;
  private boolean admitting;
  /** Admitted requests in order of admission, each for at most {@link #maxAdmittedUs}. */
  private final ArrayDeque<ActiveRequest> admitted = new ArrayDeque<>();

  /** Progress of a volume that is being removed.
   *
   * @param answered
   *          completes when all its requests are answered
   * @param settled
   *          completes when, in addition, no write of it can take effect any more, so that its extents may be
   *          given to another volume. This may take as long as a node is silent */
  public record Drain(CompletableFuture<Void> answered, CompletableFuture<Void> settled) {
    Drain() {
      this(new CompletableFuture<>(), new CompletableFuture<>());
    }

    /** The drain of a volume that is not served. */
    static Drain completed() {
      return new Drain(CompletableFuture.completedFuture(null), CompletableFuture.completedFuture(null));
    }
  }

  /** State of a volume that is served here. */
  static final class VolumeState {
    private AdmissionQueue.Owner owner;
    /** Null if the volume is not being removed. */
    private Drain drain;
    /** Requests accepted and not yet released; sub-requests that hold or wait for a block range. */
    private int activeRequests, lockingSubRequests;
    /** When an attempt last ended with an unknown effect. */
    private long lastUncertainAt = Long.MIN_VALUE / 2;
    /** Completes when another engine may take over the volume; null if no hand-over is in progress. */
    private CompletableFuture<Void> handedOver;

    VolumeState(AdmissionQueue.Owner owner) {
      this.owner = owner;
    }

    /** Serves the volume for this owner, and ends a drain that was in progress. */
    void resumeWith(AdmissionQueue.Owner next) {
      owner = next;
      drain = null;
    }

    /** Whether a request of this volume is still held here or may still take effect at a node. */
    boolean mayTakeEffect() {
      return activeRequests > 0 || lockingSubRequests > 0;
    }
  }

  public Engine(Config config, Map<String, Volume> volumes, HostScheduler scheduler) {
    this(config, volumes, scheduler, Engine::monotonicMicros);
  }

  /** @param timeSource
   *          monotonic clock of the engine, us; differs from {@link #monotonicMicros} where time is
   *          simulated */
  public Engine(Config config, Map<String, Volume> volumes, HostScheduler scheduler,
      LongSupplier timeSource) {
    this.config = config;
    this.timeSource = timeSource;
    nextSubRequestId = config.firstRequestId();
    this.scheduler = scheduler;
    config.settings().plans().forEach(p -> plansByName.put(p.name(), p));
    volumes.values().forEach(this::addVolume);
    maxAdmittedUs = config.settings().classes().stream().mapToLong(RequestClass::aimUs).min().orElseThrow();
    longestDeadlineUs = config.settings()
        .classes()
        .stream()
        .mapToLong(RequestClass::deadlineUs)
        .max()
        .orElseThrow();
    admissionQueue = new AdmissionQueue<>((int) Math.min(Integer.MAX_VALUE, config.maxRequests() / 2),
        ADMITTED_PER_NODE);
    limits = new InflightLimits(config.maxRequests(), config.maxBytes());
    config.settings().classes().forEach(c -> classesByName.put(c.name(), c));
  }

  /** Serves a volume on the plan that the settings give for it; call before {@link #start}. */
  void addVolume(Volume v) {
    volumes.put(v.name(), v);
    volumeStates.put(v.id(), new VolumeState(flowOwner(v)));
  }

  /** Starts the engine's thread; attempts are sent through {@code nodes}. */
  public void start(NodeTransport nodes) {
    transport = nodes;
    Thread thread = new Thread(this::run, "engine");
    mailbox.setOwner(thread);
    thread.start();
  }

  /** Starts without a thread: the caller drives the engine through {@link #runUntilIdle}, and makes all other
   * calls on that same thread. */
  public void startWithoutThread(NodeTransport nodes) {
    transport = nodes;
  }

  /** Processes everything that is due. Returns the time, us, at which there is work again if no message
   * arrives before; {@code Long.MAX_VALUE} for never. */
  public long runUntilIdle() {
    while (!processTurn() || !mailbox.isEmpty()) {
      // Each turn processes one batch of messages and may post further ones.
    }
    return nextDueTime();
  }

  /** Clock of the engine, us: monotonic and common to all processes of a machine. */
  public static long monotonicMicros() {
    return System.nanoTime() / 1_000;
  }

  @Override
  public boolean offer(IoRequest io) {
    Volume volume = volumes.get(io.volume());
    if (volume == null) {
      throw new IllegalArgumentException("volume: " + io.volume() + " is not known");
    }
    if (io.kind() != IoKind.FLUSH && !volume.containsRange(io.offset(), io.length())) {
      throw new IllegalArgumentException("range: " + io.offset() + "+" + io.length()
          + " is not a block-aligned range of volume " + io.volume());
    }
    if (stopping) {
      return false;
    }
    if (!limits.tryAcquire(io.dataBytes())) {
      frontsAwaitCapacity = true;
      return false;
    }
    ActiveRequest request = new ActiveRequest(this, io, volume, requestClass(io), timeSource.getAsLong());
    io.activeRequest = request;
    mailbox.post(request);
    return true;
  }

  private RequestClass requestClass(IoRequest io) {
    return classesByName.get(config.classifier().className(io.kind(), io.length()));
  }

  @Override
  public void addCapacityListener(Runnable listener) {
    capacityListeners.add(listener);
  }

  @Override
  public void removeCapacityListener(Runnable listener) {
    capacityListeners.remove(listener);
  }

  @Override
  public void abandon(IoRequest io) {
    mailbox.post(() -> abandonRequest(io.activeRequest));
  }

  /** Applies an update of the node list. Thread-safe. */
  public void updateNodes(NodeList list) {
    mailbox.post(() -> {
      handleEvent(list);
      if (list.complete()) {
        nodeStates.clear();
      }
      list.nodes().forEach(n -> nodeStates.put(n.node(), n.state()));
      admissionQueue.setMaxAdmitted(ADMITTED_PER_NODE * (int) nodeStates.values()
          .stream()
          .filter(s -> s == NodeState.ON)
          .count());
      admitWaiting();
    });
  }

  /** Reports that fetching the node list failed. Thread-safe. */
  public void nodeListFailed() {
    mailbox.post(() -> handleEvent(new HostScheduler.NodeListFailed()));
  }

  /** Reports the outcome of an attempt, once for each attempt that was not withdrawn; {@code report} may be
   * null. {@code TIMEOUT} and {@code CANCELLED} are only ever reported by the engine itself. Thread-safe. */
  public void attemptEnded(Attempt attempt, Result result, List<Double> report) {
    attempt.setOutcome(result, report);
    mailbox.post(attempt);
  }

  /** Reports that an attempt which ended with an unknown effect can no longer have any. Thread-safe. */
  public void attemptResolved(Attempt attempt) {
    mailbox.post(() -> resolve(attempt));
  }

  /** Reports the outcome of a probe; {@code report} may be null. Thread-safe. */
  public void probeEnded(long node, Result result, long latencyUs, List<Double> report) {
    mailbox.post(() -> handleEvent(new HostScheduler.ProbeEnded(node, result, latencyUs, report)));
  }

  /** Runs a task on the engine's thread. */
  public void execute(Runnable task) {
    mailbox.post(task);
  }

  /** Runs a task on the engine's thread after a delay in us; call on the engine's thread. */
  public void schedule(long us, Runnable task) {
    timers.schedule(timeSource.getAsLong() + us, task::run);
  }

  /** Owner of a volume from the settings, weighted by the volume's plan. */
  private AdmissionQueue.Owner flowOwner(Volume v) {
    HostScheduler.Plan plan = plansByName.get(v.plan());
    double weight = plan == null || plan.weight() <= 0 ? 1 : plan.weight();
    return new AdmissionQueue.Owner(v.tenant(), weight, v.id(), weight);
  }

  /** Starts serving a volume, or changes its terms; completes when the scheduler has been told. Requests in
   * flight keep the volume size with which they arrived. Thread-safe. */
  public CompletableFuture<Void> serve(Volume volume, HostScheduler.VolumeChanged terms) {
    CompletableFuture<Void> applied = new CompletableFuture<>();
    mailbox.post(() -> {
      AdmissionQueue.Owner owner = new AdmissionQueue.Owner(volume.tenant(), terms.groupWeight(), volume.id(),
          terms.plan().weight());
      volumeStates.computeIfAbsent(volume.id(), k -> new VolumeState(owner)).resumeWith(owner);
      handleEvent(terms);
      volumes.put(volume.name(), volume);
      applied.complete(null);
    });
    return applied;
  }

  /** Stops accepting requests for a volume: new ones are refused. Writes that a node may still hold when no
   * client can wait for them any more are fenced. Thread-safe. */
  public Drain drain(Volume volume) {
    Drain drain = new Drain();
    mailbox.post(() -> startDrain(volume, drain));
    return drain;
  }

  private void startDrain(Volume volume, Drain drain) {
    VolumeState state = volumeStates.get(volume.id());
    if (state == null) {
      drain.answered.complete(null);
      drain.settled.complete(null);
      return;
    }
    if (state.drain == null) {
      state.drain = drain;
      timers.schedule(now + longestDeadlineUs, () -> fenceUnresolvedWrites(state, drain));
    } else {
      state.drain.answered.thenRun(() -> drain.answered.complete(null));
      state.drain.settled.thenRun(() -> drain.settled.complete(null));
    }
    advanceDrain(volume, state);
  }

  /** A fence costs other volumes the connections that it closes, so it is not the first resort. */
  private void fenceUnresolvedWrites(VolumeState state, Drain drain) {
    if (state.drain == drain && !drain.settled.isDone()) {
      rangeLocks.holders()
          .stream()
          .filter(holder -> holder.request.volumeState == state)
          .forEach(holder -> holder.attempts.forEach(this::fenceIfUnresolved));
    }
  }

  /** Releases a volume, for which no more requests may be offered, to another engine. Completes when every
   * accepted request is answered, no write can take effect any more, and the settling time for ordered
   * requests ({@code orderSettleUs}) has passed. */
  CompletableFuture<Void> handOver(Volume volume) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    mailbox.post(() -> {
      VolumeState state = volumeStates.get(volume.id());
      if (state == null) {
        done.complete(null);
      } else {
        state.handedOver = done;
        completeHandOver(volume, state);
      }
    });
    return done;
  }

  private void completeHandOver(Volume volume, VolumeState state) {
    if (state.handedOver == null || state.mayTakeEffect()) {
      return;
    }
    long settledAt = state.lastUncertainAt + config.settings().rules().orderSettleUs();
    if (now < settledAt) {
      timers.schedule(settledAt, () -> completeHandOver(volume, state));
    } else if (volumeStates.remove(volume.id(), state)) {
      volumes.remove(volume.name());
      handleEvent(new HostScheduler.VolumeRemoved(volume.id()));
      state.handedOver.complete(null);
    }
  }

  /** Reports that the requests of a draining volume are answered, and removes it once none of them can take
   * effect any more: until then a node may hold a write that would land over the extents' next owner. */
  private void advanceDrain(Volume volume, VolumeState state) {
    Drain drain = state.drain;
    if (drain == null) {
      return;
    }
    if (state.activeRequests == 0) {
      drain.answered.complete(null);
    }
    if (!state.mayTakeEffect() && volumeStates.remove(volume.id(), state)) {
      volumes.remove(volume.name());
      handleEvent(new HostScheduler.VolumeRemoved(volume.id()));
      drain.settled.complete(null);
    }
  }

  @Override
  public Map<String, Volume> volumes() {
    return volumes;
  }

  /** Refuses all requests from now on; requests already held continue. For a gateway that the nodes have
   * fenced: its clients learn of it at once instead of at their deadlines. Thread-safe. */
  public void refuseAll() {
    refusing = true;
  }

  /** Stops accepting requests, answers those that are held, then ends. Thread-safe and idempotent. */
  public CompletableFuture<Void> stop() {
    mailbox.post(() -> stopping = true);
    return termination;
  }

  /** Completes when the engine has ended. */
  public CompletableFuture<Void> termination() {
    return termination;
  }

  /** Totals since the start. Thread-safe; the figures need not be from the same instant. */
  public Totals totals() {
    return new Totals(taken.sum(), served.sum(), refused.sum(), failed.sum(), abandoned.sum(), attempts.sum(),
        limits.requests(), schedulerNs);
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

  /** Runs one turn; returns whether the mailbox was emptied. */
  private boolean processTurn() {
    now = timeSource.getAsLong();
    int processed = 0;
    for (Runnable message = mailbox.poll(); message != null; message = mailbox.poll()) {
      message.run();
      if (++processed == MAX_MESSAGES_PER_TURN) {
        break;
      }
    }
    now = Math.max(now, timeSource.getAsLong());
    timers.runDue(now);
    for (ActiveRequest request = admitted.peek(); request != null && (request.released || request.admittedAt
        + maxAdmittedUs <= now); request = admitted.peek()) {
      admitted.poll();
      releaseAdmission(request);
    }
    transport.flush();
    if (frontsAwaitCapacity && limits.belowResumeThreshold()) {
      frontsAwaitCapacity = false;
      capacityListeners.forEach(Runnable::run);
    }
    return processed < MAX_MESSAGES_PER_TURN;
  }

  private long nextDueTime() {
    return admitted.isEmpty() || admissionQueue.waiting() == 0
        ? timers.nextDueTime()
        : Math.min(timers.nextDueTime(), admitted.peek().admittedAt + maxAdmittedUs);
  }

  // Admission.

  void accept(ActiveRequest request) {
    taken.increment();
    VolumeState state = volumeStates.get(request.volume.id());
    if (state == null || state.drain != null || refusing) {
      refuse(request, 0);
      return;
    }
    state.activeRequests++;
    request.volumeState = state;
    double units = config.classifier().units(request.io.kind(), request.io.length());
    request.ticket = admissionQueue.tryAdmit(now, request, state.owner, units);
    if (request.ticket != null) {
      admit(request);
      return;
    }
    request.queuedForAdmission = true;
    request.ticket = admissionQueue.enqueue(now, request, state.owner, units);
    for (AdmissionQueue.Rejected<ActiveRequest> rejected = admissionQueue.pollRejected(
        now); rejected != null; rejected = admissionQueue.pollRejected(now)) {
      refuse(rejected.item(), rejected.retryAfterUs());
    }
    admitWaiting();
    if (request.ticket.waiting()) {
      request.admissionTimer = timers.schedule(request.deadline - config.settings().tickUs(), () -> {
        if (request.ticket.waiting()) {
          admissionQueue.cancel(request.ticket);
          refuse(request, 0);
        }
      });
    }
  }

  /** Refuses a request that has not been admitted, so nothing of it has run. */
  private void refuse(ActiveRequest request, long retryAfterUs) {
    answer(request, Answer.refused(retryAfterUs));
    releaseIfDone(request);
  }

  private void admitWaiting() {
    for (AdmissionQueue.Ticket<ActiveRequest> ticket = admissionQueue.pollAdmitted(
        now); ticket != null; ticket = admissionQueue.pollAdmitted(now)) {
      admit(ticket.item());
    }
  }

  private void admit(ActiveRequest request) {
    if (request.admissionTimer != null) {
      request.admissionTimer.cancel();
    }
    request.admittedAt = now;
    admitted.add(request);
    startSubRequests(request);
  }

  private void releaseAdmission(ActiveRequest request) {
    admissionQueue.release(request.ticket);
    if (!admitting) {
      admitting = true;
      admitWaiting();
      admitting = false;
    }
  }

  private void startSubRequests(ActiveRequest request) {
    request.subRequests = split(request);
    for (SubRequest subRequest : request.subRequests) {
      if (subRequest.kind.modifiesData()) {
        subRequest.countedAsLocking = true;
        request.volumeState.lockingSubRequests++;
      }
      if (!subRequest.kind.modifiesData() || rangeLocks.lockOrEnqueue(subRequest)) {
        submit(subRequest);
      } else {
        awaitRange(subRequest);
      }
    }
  }

  private List<SubRequest> split(ActiveRequest request) {
    List<SubRequest> result = new ArrayList<>(1);
    if (request.io.kind() == IoKind.FLUSH) {
      for (int shard : ExtentSplitter.shards(request.volume)) {
        result.add(new SubRequest(nextSubRequestId++, request, shard, 0, 0, 0));
      }
    } else {
      for (ExtentSplitter.ShardRange range : config.splitter()
          .split(request.volume, request.io.offset(), request.io.length())) {
        result.add(new SubRequest(nextSubRequestId++, request, range.shard(), range.offset(),
            range.requestOffset(), range.length()));
      }
    }
    return result;
  }

  /** Lets a sub-request wait for a block range that another one holds. It is refused one tick before its
   * client's deadline, which is safe because nothing of it has run. */
  private void awaitRange(SubRequest subRequest) {
    for (SubRequest holder : rangeLocks.blockers(subRequest)) {
      holder.attempts.forEach(this::fenceIfUnresolved);
    }
    subRequest.lockWaitTimer = timers.schedule(subRequest.request.deadline - config.settings().tickUs(),
        () -> {
          if (!subRequest.submitted && !subRequest.answered) {
            rangeLocks.cancelWait(subRequest).forEach(this::submit);
            answerSubRequest(subRequest, Answer.refused(0));
          }
        });
  }

  private void fenceIfUnresolved(Attempt attempt) {
    if (attempt.ended && attempt.mayStillRun && !attempt.resolved) {
      transport.fence(attempt);
    }
  }

  /** Reports a sub-request whose block range is free to the scheduler. One that waited, for admission or for
   * its range, adds nothing to the retry budget: it was accepted in an earlier window, and the retries of a
   * window must be covered by the requests accepted in it. Drawback: fewer retries while requests queue. */
  private void submit(SubRequest subRequest) {
    ActiveRequest request = subRequest.request;
    subRequest.submitted = true;
    if (subRequest.lockWaitTimer != null) {
      subRequest.lockWaitTimer.cancel();
    }
    subRequests.put(subRequest.id, subRequest);
    long extent = request.io.offset() / request.volume.extentBytes();
    handleEvent(new HostScheduler.Request(subRequest.id, request.requestClass.name(), request.volume.plan(),
        request.volume.id() << 24 | extent, request.volume.id(),
        config.classifier().units(subRequest.kind, subRequest.length), subRequest.shard,
        request.volume.hosts(), request.deadline - now,
        request.queuedForAdmission || subRequest.lockWaitTimer != null));
  }

  // Events and actions of the scheduler.

  private void handleEvent(Event event) {
    if (nestingDepth == actionBuffers.size()) {
      actionBuffers.add(new ActionBuffer());
    }
    ActionBuffer buffer = actionBuffers.get(nestingDepth++);
    boolean sampled = (++handledEvents & SCHEDULER_TIME_SAMPLE_MASK) == 0;
    long startNs = sampled ? System.nanoTime() : 0;
    scheduler.handle(now, event, buffer);
    if (sampled) {
      schedulerNs += (System.nanoTime() - startNs) * (SCHEDULER_TIME_SAMPLE_MASK + 1);
    }
    for (int i = 0; i < buffer.actions.size(); i++) {
      perform(buffer.actions.get(i));
    }
    buffer.actions.clear();
    nestingDepth--;
  }

  /** Collects the actions for one event, in order. */
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
      answerSubRequest(subRequests.get(r.request()), Answer.refused(r.retryAfterUs()));
    } else if (action instanceof HostScheduler.Fail f) {
      answerSubRequest(subRequests.get(f.request()), Answer.FAILED);
    } else if (action instanceof HostScheduler.Cancel c) {
      withdraw(subRequests.get(c.request()).attempts.get(c.attempt()), Result.CANCELLED);
    } else if (action instanceof HostScheduler.Probe p) {
      transport.probe(p.node());
    } else if (action instanceof HostScheduler.SetTimer t) {
      timers.schedule(t.at(), () -> handleEvent(new HostScheduler.TimerFired(t.id())));
    } else if (action instanceof HostScheduler.WatchNodes) {
      transport.watchNodeList();
    }
  }

  private void send(SubRequest subRequest, HostScheduler.Send action) {
    ActiveRequest request = subRequest.request;
    Attempt attempt = new Attempt(this, subRequest, subRequest.attempts.size(), action.node(), now);
    subRequest.attempts.add(attempt);
    attempts.increment();
    request.pendingAttempts++;
    if (subRequest.kind.modifiesData()) {
      subRequest.unresolvedAttempts++;
    }
    long timeoutAt = action.timeoutAt() > 0
        ? Math.min(action.timeoutAt(), request.deadline)
        : request.deadline;
    attempt.timer = timers.schedule(timeoutAt, attempt);
    transport.send(attempt);
  }

  // Attempts and answers.

  /** Withdraws an attempt that has no outcome yet, and reports to the scheduler whether it may still run. */
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
    SubRequest subRequest = attempt.subRequest;
    subRequest.request.pendingAttempts--;
    attempt.mayStillRun = !result.provesNotRun() && result != Result.OK && result != Result.ERROR;
    if (attempt.mayStillRun) {
      subRequest.request.volumeState.lastUncertainAt = now;
    }
    boolean wasAnswered = subRequest.answered;
    if (result == Result.OK && !wasAnswered) {
      answerSubRequest(subRequest, Answer.SERVED);
    }
    handleEvent(new HostScheduler.AttemptEnded(subRequest.id, attempt.number, attempt.node(), result,
        subRequest.answered, Math.max(0, now - attempt.sentAt), 0, 0, report));
    if (!attempt.mayStillRun) {
      resolve(attempt);
    } else if (subRequest.kind.modifiesData() && rangeLocks.hasWaiters(subRequest)) {
      fenceIfUnresolved(attempt);
    }
    releaseIfDone(subRequest);
  }

  /** Marks an attempt as unable to have any further effect. */
  private void resolve(Attempt attempt) {
    SubRequest subRequest = attempt.subRequest;
    if (!attempt.resolved) {
      attempt.resolved = true;
      if (subRequest.kind.modifiesData()) {
        subRequest.unresolvedAttempts--;
        unlockIfResolved(subRequest);
      }
    }
  }

  private void unlockIfResolved(SubRequest subRequest) {
    if (subRequest.answered && subRequest.unresolvedAttempts == 0) {
      rangeLocks.unlock(subRequest).forEach(this::submit);
      if (subRequest.countedAsLocking) {
        subRequest.countedAsLocking = false;
        subRequest.request.volumeState.lockingSubRequests--;
        advanceDrain(subRequest.request.volume, subRequest.request.volumeState);
        completeHandOver(subRequest.request.volume, subRequest.request.volumeState);
      }
    }
  }

  /** Records the only answer of a sub-request; answers the client when all sub-requests have theirs. */
  private void answerSubRequest(SubRequest subRequest, Answer answer) {
    if (subRequest == null || subRequest.answered) {
      return;
    }
    subRequest.answered = true;
    ActiveRequest request = subRequest.request;
    request.answers.add(answer);
    Result reason = now >= request.deadline - 2 * config.settings().tickUs()
        ? Result.TIMEOUT
        : Result.CANCELLED;
    withdrawAttempts(subRequest, reason);
    if (subRequest.kind.modifiesData()) {
      unlockIfResolved(subRequest);
    }
    if (!request.answered && request.answers.count() == request.subRequests.size()) {
      answer(request, request.answers.combined());
    }
    releaseIfDone(subRequest);
  }

  /** Gives the client its only answer. */
  private void answer(ActiveRequest request, Answer combined) {
    Answer clientAnswer = request.clientAnswer(combined);
    request.answered = true;
    switch (clientAnswer.kind()) {
      case SERVED -> served.increment();
      case REFUSED -> { refused.increment(); logSampled(refusalLog, "request.refused", request); }
      case FAILED -> { failed.increment(); logSampled(failureLog, "request.failed", request); }
    }
    request.io.listener().onAnswer(clientAnswer);
  }

  private void logSampled(LogSampler sampler, String event, ActiveRequest request) {
    long occurrences = sampler.admit(now);
    if (occurrences > 0) {
      LOG.atInfo()
          .addKeyValue("volume", request.volume.name())
          .addKeyValue("tenant", request.volume.tenant())
          .addKeyValue("request", request.subRequests.isEmpty() ? -1 : request.subRequests.get(0).id)
          .addKeyValue("kind", request.io.kind())
          .addKeyValue("facts", occurrences)
          .log(event);
    }
  }

  /** Withdraws the pending attempts of an answered sub-request, which must not touch the client's data
   * again. */
  private void withdrawAttempts(SubRequest subRequest, Result reason) {
    for (Attempt a : subRequest.attempts) {
      withdraw(a, reason);
    }
  }

  private void abandonRequest(ActiveRequest request) {
    if (request == null || request.answered) {
      return;
    }
    request.answered = true;
    abandoned.increment();
    admissionQueue.cancel(request.ticket);
    for (SubRequest subRequest : request.subRequests) {
      if (subRequest.answered) {
        continue;
      }
      subRequest.answered = true;
      if (subRequest.submitted) {
        handleEvent(new HostScheduler.RequestAbandoned(subRequest.id));
      } else {
        rangeLocks.cancelWait(subRequest).forEach(this::submit);
      }
      withdrawAttempts(subRequest, Result.CANCELLED);
      unlockIfResolved(subRequest);
      releaseIfDone(subRequest);
    }
    releaseIfDone(request);
  }

  /** Drops a sub-request once it is answered and all its attempts have ended. */
  private void releaseIfDone(SubRequest subRequest) {
    boolean done = subRequest.answered;
    for (int i = 0; i < subRequest.attempts.size(); i++) {
      done &= subRequest.attempts.get(i).ended;
    }
    if (done) {
      subRequests.remove(subRequest.id);
    }
    releaseIfDone(subRequest.request);
  }

  private void releaseIfDone(ActiveRequest request) {
    if (request.answered && request.pendingAttempts == 0 && !request.released) {
      request.released = true;
      request.io.listener().onRelease();
      limits.release(request.io.dataBytes());
      if (request.volumeState != null) {
        request.volumeState.activeRequests--;
        advanceDrain(request.volume, request.volumeState);
        completeHandOver(request.volume, request.volumeState);
        releaseAdmission(request);
      }
    }
  }
}
