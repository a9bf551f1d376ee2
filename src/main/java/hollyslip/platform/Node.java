package hollyslip.platform;

import hollyslip.Choice;
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
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import sun.misc.Signal;

/** One scheduler of the platform, from its start to its end: one event loop owns sockets, timers and the
 * module. */
public final class Node implements AutoCloseable {
  /** How long a start waits for discovery to answer before clients may come, ms: an old list serves better
   * than none. */
  private static final long DISCOVERY_WAIT_MS = 400;

  /** The platform kills no sooner after SIGTERM than the longest deadline, counted as this where it is
   * longer, and 0.7 s more, us. */
  private static final long MAX_COUNTED_DEADLINE_US = 3_000_000;

  /** What is taken after SIGTERM is answered so long after that deadline, us: 0.25 s before the kill. */
  private static final long RESPONSE_GRACE_US = 450_000;

  /** How long before that connections that carry nothing are closed and answers end theirs, us: until then
   * clients are served on the connections that they keep, as they have no other way here. Harm: what comes in
   * the last moments is refused. */
  private static final long DRAIN_LEAD_US = 50_000;

  /** How long an ending process waits for its last log lines to be taken, ms. */
  private static final long LOG_FLUSH_TIMEOUT_MS = 50;

  private final Configuration configuration;
  private final Map<String, String> environment;
  private final Log log;
  private final EventLoopGroup group;
  private final EventLoop loop;
  private final Clock clock = new Clock();
  private final CountDownLatch terminated = new CountDownLatch(1);
  private final DiskServers diskConnections;
  private final Desk desk;
  private final Front front;
  private final DiscoveryClient discovery;
  private final InetSocketAddress listening;
  private InetSocketAddress discoveryAddress;
  private boolean stopping;

  /** Starts it; {@code environment} is read again at each reload. */
  Node(Map<String, String> environment, PrintStream out) throws IOException, InterruptedException {
    this(environment, out, new WatchClock());
  }

  Node(Map<String, String> environment, PrintStream out, WatchClock times) throws IOException,
      InterruptedException {
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    this.environment = environment;
    log = new Log(out);
    configuration = Configuration.read(environment);
    discoveryAddress = configuration.discoveryAddress();
    group = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("loop"), NioIoHandler.newFactory());
    loop = (EventLoop) group.next();
    Bounds bounds = Bounds.of(configuration.maxDescriptors(), Bounds.descriptorsHeld(), configuration.memoryMb());
    diskConnections = new DiskServers(loop, clock, log, bounds.disks(), bounds.bytes(), configuration.settings()
        .allowed()
        .connectTimeoutUs(), configuration.diskIdleTimeoutUs());
    Choice module = new Choice(configuration.settings());
    desk = new Desk(module, configuration.settings(), loop, clock, log, diskConnections,
        bounds.bytes());
    front = new Front(loop, clock, log, desk, new Ask.Reader(configuration.settings(), configuration
        .shardCount()), bounds);
    long seq = configuration.knownEndpoints() == null ? -1 : configuration.knownEndpoints().version();
    discovery = new DiscoveryClient(loop, clock, log, times, discoveryAddress, seq, this::onEndpointUpdate, this::markReady);
    loop.submit(() -> {
      if (configuration.knownEndpoints() != null) {
        EndpointUpdate k = configuration.knownEndpoints();
        desk.news(new EndpointUpdate(k.version(), true, k.entries()));
      }
      discovery.start();
    }).sync();
    listening = (InetSocketAddress) front.listen(group, configuration.listenAddress()).localAddress();
    loop.schedule(this::markReady, DISCOVERY_WAIT_MS, TimeUnit.MILLISECONDS);
    loop.scheduleAtFixedRate(log.guarded(diskConnections::closeAllExpired), 1, 1, TimeUnit.SECONDS);
    if (environment.containsKey("HOLLYSLIP_TRACE")) {
      Trace trace = new Trace(out);
      loop.execute(() -> desk.trace(trace));
      loop.scheduleAtFixedRate(log.guarded(() -> trace.writeLines(module, desk.serversByNumber())), 1, 1,
          TimeUnit.SECONDS);
    }
    log.event("node.started", "name", configuration.name(), "listen", listening, "bounds", bounds);
  }

  /** Runs one scheduler until SIGTERM; gives the exit status by ending the process. With {@code --rehearse}
   * it runs a {@link TrainingRun} instead. */
  public static void main(String[] args) throws IOException, InterruptedException {
    if (args.length > 1 && args[1].equals("--rehearse")) {
      TrainingRun.run();
      return;
    }
    // Signals may come before there is a scheduler: what they ask for is done then.
    AtomicReference<Node> started = new AtomicReference<>();
    Set<String> early = ConcurrentHashMap.newKeySet();
    for (String name : List.of("TERM", "INT", "HUP")) {
      Signal.handle(new Signal(name), s -> {
        early.add(s.getName());
        Node node = started.get();
        if (node != null) {
          node.onSignal(s.getName());
        }
      });
    }
    Node node;
    try {
      node = new Node(System.getenv(), System.out);
    } catch (IOException | RuntimeException e) {
      System.err.println("configuration: " + e.getMessage());
      System.exit(2);
      return;
    }
    started.set(node);
    List.copyOf(early).forEach(node::onSignal);
    node.terminated.await();
    node.log.flush(LOG_FLUSH_TIMEOUT_MS);
    System.exit(0);
  }

  private void onSignal(String name) {
    if (name.equals("HUP")) {
      reload();
    } else {
      stop();
    }
  }

  /** Where clients connect. */
  InetSocketAddress listening() {
    return listening;
  }

  /** The one thread. */
  EventLoop loop() {
    return loop;
  }

  /** Requests that have not ended; disk servers that are remembered. */
  int open() {
    return desk.open();
  }

  int diskServerCount() {
    return desk.servers();
  }

  private void onEndpointUpdate(EndpointUpdate n) {
    desk.news(n);
    markReady();
  }

  private void markReady() {
    if (!front.ready() && !stopping) {
      front.setReady();
      log.event("node.ready", "name", configuration.name());
    }
  }

  /** Reads the file again and follows the discovery that it names; other changes need a restart. One at a
   * time: each signal has a thread of its own, and what an older one had read could be taken on last. */
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
      log.event("configuration.ignored", "reason", "settings change by a restart only");
    }
    if (!next.discoveryAddress().equals(discoveryAddress)) {
      discoveryAddress = next.discoveryAddress();
      discovery.changeAddress(discoveryAddress);
    }
  }

  /** Serves what comes for as long as the platform leaves, asks clients to go elsewhere, answers everything,
   * then ends. */
  void stop() {
    loop.execute(() -> {
      if (stopping) {
        return;
      }
      stopping = true;
      long longest = configuration.settings()
          .classes()
          .stream()
          .mapToLong(c -> c.deadlineUs())
          .max()
          .orElseThrow();
      long answeredAfter = responseLimitAfterStopUs(longest);
      log.event("node.stopping", "open", desk.open());
      desk.stopping(clock.now() + answeredAfter);
      loop.schedule(this::drain, drainDelayUs(longest), TimeUnit.MICROSECONDS);
    });
  }

  /** Until when what comes after SIGTERM is answered, us from then; {@code longest} is the longest
   * deadline. */
  static long responseLimitAfterStopUs(long longest) {
    return Math.min(longest, MAX_COUNTED_DEADLINE_US) + RESPONSE_GRACE_US;
  }

  /** Until when clients are served on the connections that they keep, us from SIGTERM. */
  static long drainDelayUs(long longest) {
    return responseLimitAfterStopUs(longest) - DRAIN_LEAD_US;
  }

  /** Goes to the last part of the end at once: nothing more is taken. */
  void drainNow() {
    loop.execute(this::drain);
  }

  /** Connections of clients. */
  int connections() {
    return front.connections();
  }

  private void drain() {
    front.drain();
    loop.scheduleAtFixedRate(log.guarded(this::terminateIfDrained), 0, 10, TimeUnit.MILLISECONDS);
  }

  private void terminateIfDrained() {
    if (front.endIfDone()) {
      log.event("node.ended", "open", desk.open());
      terminated.countDown();
    }
  }

  /** Ends at once, as a kill would. */
  @Override
  public void close() {
    group.shutdownGracefully(0, 1000, TimeUnit.MILLISECONDS).syncUninterruptibly();
    log.close();
    terminated.countDown();
  }

  /** Returns once it has ended. */
  boolean awaitEnd(long ms) throws InterruptedException {
    return terminated.await(ms, TimeUnit.MILLISECONDS);
  }
}
