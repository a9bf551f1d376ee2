package hollyslip.platform;

import hollyslip.TokenBorrowingScheduler;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import sun.misc.Signal;

/** A scheduler process of the platform: one event loop owns its sockets, timers and the scheduler. */
public final class SchedulerProcess implements AutoCloseable {
  /** How long a start waits for discovery to respond before it reports that it is ready, ms: an outdated list
   * serves better than none. */
  private static final long DISCOVERY_WAIT_MS = 400;

  /** The platform kills the process no sooner after SIGTERM than the longest deadline, capped at this value,
   * plus 0.7 s; us. */
  private static final long MAX_COUNTED_DEADLINE_US = 3_000_000;

  /** Requests received after SIGTERM are answered within this time after that deadline, us: 0.25 s before the
   * kill. */
  private static final long RESPONSE_GRACE_US = 450_000;

  /** How long before that time idle client connections are closed and responses close theirs, us. Until then
   * clients are served on their persistent connections, as they have no other way to reach this process.
   * Drawback: requests that arrive in the last moments are refused. */
  private static final long DRAIN_LEAD_US = 50_000;

  /** How long the process waits at its end for the last log lines to be written, ms. */
  private static final long LOG_FLUSH_TIMEOUT_MS = 50;

  /** Interval of the lines that report counters and what is held, s. */
  private static final int METRICS_INTERVAL_S = 5;

  private final Configuration configuration;
  private final Map<String, String> environment;
  private final EventLog log;
  private final EventLoopGroup group;
  private final EventLoop loop;
  private final MonotonicClock clock = new MonotonicClock();
  private final CountDownLatch terminated = new CountDownLatch(1);
  private final ProcessMetrics metrics = new ProcessMetrics();
  private final DiskConnectionPool diskPool;
  private final TokenBorrowingScheduler scheduler;
  private final RequestDispatcher dispatcher;
  private final ClientConnectionManager connectionManager;
  private final DiscoveryClient discovery;
  private final InetSocketAddress listenAddress;
  private InetSocketAddress discoveryAddress;
  private boolean stopping;

  /** Starts the process; {@code environment} is read again at each reload. */
  SchedulerProcess(Map<String, String> environment, PrintStream out) throws IOException,
      InterruptedException {
    this(environment, out, new WatchRetryPolicy());
  }

  SchedulerProcess(Map<String, String> environment, PrintStream out, WatchRetryPolicy watchRetryPolicy)
      throws IOException, InterruptedException {
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    this.environment = environment;
    log = new EventLog(out);
    configuration = Configuration.read(environment);
    discoveryAddress = configuration.discoveryAddress();
    group = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("loop"), NioIoHandler.newFactory());
    loop = (EventLoop) group.next();
    Bounds bounds = Bounds.of(configuration.maxDescriptors(), Bounds.openDescriptors(),
        configuration.memoryMb(), Runtime.getRuntime().maxMemory());
    diskPool = new DiskConnectionPool(loop, clock, log, bounds.disks(), new ByteBudget(bounds.bytes()),
        configuration.settings().allowed().connectTimeoutUs(), configuration.diskIdleTimeoutUs());
    scheduler = new TokenBorrowingScheduler(configuration.settings(), bounds.volumes());
    dispatcher = new RequestDispatcher(scheduler, configuration.settings(), loop, clock, log, metrics,
        diskPool,
        new ByteBudget(bounds.bytes()), new SentTransactions(bounds.transactions(), new SplittableRandom()
            .nextLong()));
    connectionManager = new ClientConnectionManager(loop, clock, log, metrics, dispatcher,
        new RequestHead.Parser(configuration.settings(), configuration.shardCount()), bounds);
    long version = configuration.knownEndpoints() == null ? -1 : configuration.knownEndpoints().version();
    discovery = new DiscoveryClient(loop, clock, log, watchRetryPolicy, discoveryAddress, version,
        this::onEndpointUpdate, this::markReady);
    loop.submit(() -> {
      if (configuration.knownEndpoints() != null) {
        EndpointUpdate known = configuration.knownEndpoints();
        dispatcher.updateServers(new EndpointUpdate(known.version(), true, known.entries()));
      }
      discovery.start();
    }).sync();
    listenAddress = (InetSocketAddress) connectionManager.listen(group, configuration.listenAddress())
        .localAddress();
    loop.schedule(this::markReady, DISCOVERY_WAIT_MS, TimeUnit.MILLISECONDS);
    loop.scheduleAtFixedRate(log.guarded(diskPool::closeAllExpired), 1, 1, TimeUnit.SECONDS);
    loop.scheduleAtFixedRate(log.guarded(this::logMetrics), METRICS_INTERVAL_S, METRICS_INTERVAL_S,
        TimeUnit.SECONDS);
    if (environment.containsKey("HOLLYSLIP_TRACE")) {
      DiskServerTrace trace = new DiskServerTrace(out);
      loop.execute(() -> dispatcher.setTrace(trace));
      loop.scheduleAtFixedRate(log.guarded(() -> trace.writeLines(scheduler, dispatcher.serversByNodeId())),
          1, 1,
          TimeUnit.SECONDS);
    }
    log.event("node.started", "name", configuration.name(), "listen", listenAddress, "bounds", bounds);
  }

  /** Runs a scheduler until SIGTERM or SIGINT, and ends the JVM with an exit status. With {@code --rehearse},
   * runs a {@link TrainingRun} instead. */
  public static void main(String[] args) throws IOException, InterruptedException {
    if (args.length > 1 && args[1].equals("--rehearse")) {
      TrainingRun.run();
      return;
    }
    // Signals that arrive during the start are handled once it is complete.
    AtomicReference<SchedulerProcess> started = new AtomicReference<>();
    Set<String> received = ConcurrentHashMap.newKeySet();
    for (String name : List.of("TERM", "INT", "HUP")) {
      Signal.handle(new Signal(name), s -> {
        received.add(s.getName());
        SchedulerProcess process = started.get();
        if (process != null) {
          process.onSignal(s.getName());
        }
      });
    }
    SchedulerProcess process;
    try {
      process = new SchedulerProcess(System.getenv(), System.out);
    } catch (IOException | RuntimeException e) {
      System.err.println("configuration: " + e.getMessage());
      System.exit(2);
      return;
    }
    started.set(process);
    List.copyOf(received).forEach(process::onSignal);
    process.terminated.await();
    process.log.flush(LOG_FLUSH_TIMEOUT_MS);
    System.exit(0);
  }

  private void onSignal(String name) {
    if (name.equals("HUP")) {
      reload();
    } else {
      stop();
    }
  }

  /** The address that clients connect to. */
  InetSocketAddress listenAddress() {
    return listenAddress;
  }

  /** The event loop that everything runs on. */
  EventLoop loop() {
    return loop;
  }

  /** Number of requests that have not ended. */
  int openRequests() {
    return dispatcher.openRequestCount();
  }

  /** Number of disk servers that are listed or have calls. */
  int diskServerCount() {
    return dispatcher.serverCount();
  }

  private void onEndpointUpdate(EndpointUpdate update) {
    dispatcher.updateServers(update);
    markReady();
  }

  private void markReady() {
    if (!connectionManager.ready() && !stopping) {
      connectionManager.setReady();
      log.event("node.ready", "name", configuration.name());
    }
  }

  /** Reads the configuration file again and switches to its discovery address; other changes need a restart.
   * Synchronized because each signal has its own thread, and an older configuration could be applied last. */
  synchronized void reload() {
    try {
      Configuration next = Configuration.read(environment);
      loop.execute(() -> applyConfiguration(next));
    } catch (IOException | RuntimeException e) {
      log.event("configuration.refused", "reason", e.getMessage());
    }
  }

  private void applyConfiguration(Configuration next) {
    log.event("configuration.read", "discovery", next.discoveryAddress());
    if (!next.settings().equals(configuration.settings())) {
      log.event("configuration.ignored", "reason", "changed settings take effect only after a restart");
    }
    if (!next.discoveryAddress().equals(discoveryAddress)) {
      discoveryAddress = next.discoveryAddress();
      discovery.changeAddress(discoveryAddress);
    }
  }

  /** Keeps serving for as long as the platform allows, then closes client connections, answers all open
   * requests and ends the process. */
  void stop() {
    loop.execute(() -> {
      if (stopping) {
        return;
      }
      stopping = true;
      long longestDeadlineUs = configuration.settings()
          .classes()
          .stream()
          .mapToLong(c -> c.deadlineUs())
          .max()
          .orElseThrow();
      long responseLimitUs = responseLimitAfterStopUs(longestDeadlineUs);
      log.event("node.stopping", "open", dispatcher.openRequestCount());
      dispatcher.beginShutdown(clock.now() + responseLimitUs);
      loop.schedule(this::drain, drainDelayUs(longestDeadlineUs), TimeUnit.MICROSECONDS);
    });
  }

  /** Time from SIGTERM until every request must have been answered, us, for the longest deadline of the
   * request classes, us. */
  static long responseLimitAfterStopUs(long longestDeadlineUs) {
    return Math.min(longestDeadlineUs, MAX_COUNTED_DEADLINE_US) + RESPONSE_GRACE_US;
  }

  /** Time from SIGTERM for which clients are served on their persistent connections, us. */
  static long drainDelayUs(long longestDeadlineUs) {
    return responseLimitAfterStopUs(longestDeadlineUs) - DRAIN_LEAD_US;
  }

  /** Starts the final drain immediately: no more requests are accepted. */
  void drainNow() {
    loop.execute(this::drain);
  }

  private void logMetrics() {
    log.event("node.counters", metrics.takeReport());
    Runtime runtime = Runtime.getRuntime();
    log.event("node.held", "connections", connectionManager.connectionCount(), "read_in_turn",
        connectionManager.readInTurnCount(), "open", dispatcher.openRequestCount(), "request_bytes",
        dispatcher.requestBytes()
            .used(), "remembered_ids", dispatcher.rememberedTransactionCount(), "known_names", scheduler
                .knownNames(), "disk_connections", diskPool
                    .connectionCount(), "heap_mb", (runtime.totalMemory()
                        - runtime.freeMemory()) >> 20);
  }

  /** Number of open client connections. */
  int clientConnectionCount() {
    return connectionManager.connectionCount();
  }

  private void drain() {
    connectionManager.drain();
    loop.scheduleAtFixedRate(log.guarded(this::terminateIfDrained), 0, 10, TimeUnit.MILLISECONDS);
  }

  private void terminateIfDrained() {
    if (connectionManager.closeIfDrained()) {
      log.event("node.ended", "open", dispatcher.openRequestCount());
      terminated.countDown();
    }
  }

  /** Ends immediately, as if killed. */
  @Override
  public void close() {
    group.shutdownGracefully(0, 1000, TimeUnit.MILLISECONDS).syncUninterruptibly();
    log.close();
    terminated.countDown();
  }

  /** Waits until the process has ended; returns false if it has not within {@code ms}. */
  boolean awaitTermination(long ms) throws InterruptedException {
    return terminated.await(ms, TimeUnit.MILLISECONDS);
  }
}
