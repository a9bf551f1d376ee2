package hollyslip.node;

import hollyslip.HostScheduler.Result;
import hollyslip.engine.Attempt;
import hollyslip.engine.Engine;
import hollyslip.engine.NodeTransport;
import hollyslip.recovery.EpochElection.Holder;
import hollyslip.recovery.EpochElection.NodeView;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousChannelGroup;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Executors;
import org.agrona.collections.Long2ObjectHashMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The nodes as the engine reaches them: a few connections each, made when they are needed, and what is left
 * of those that ended. All state belongs to the engine's thread; connections tell it by letters. */
public final class NodePool implements NodeTransport, NbdConnection.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(NodePool.class);

  /** How a node is reached: its export is named after its shard. */
  public record Address(long node, String name, InetSocketAddress socketAddress, String export) {}

  /** What binds the pool.
   *
   * @param client
   *          name of this gateway instance, for {@link Fence}
   * @param holder
   *          which of its starts
   * @param maxConnections
   *          connections to one node at most
   * @param maxInFlight
   *          attempts on one connection at most
   * @param connectTimeoutUs
   *          a connection not ready after this has failed, us
   * @param settleUs
   *          how long a node without fences may still run what a dead connection brought, us */
  public record Limits(String client, Holder holder, int maxConnections, int maxInFlight,
      long connectTimeoutUs,
      long settleUs) {}

  /** Hears that a node was found to have started: {@code ageUs} ago, told apart by {@code boot}. */
  public interface NodeEventListener {
    /** Whether this start was not known before. */
    boolean onNodeStarted(long node, long boot, long ageUs);

    /** A node counts another one as the newest holder of our name. */
    void onSuperseded(long node, NodeView known);

    /** The module asks for the list. */
    void onNodeListRequested();
  }

  private final Engine engine;
  private final Limits limits;
  private final ConnectionSerials serials;
  private final NodeEventListener nodeEventListener;
  private final List<String> reportFields;
  private final AsynchronousChannelGroup group;
  private final Long2ObjectHashMap<Target> targets = new Long2ObjectHashMap<>();
  /** Those with something to send, at the end of the engine's turn. */
  private final List<NbdConnection> connectionsToFlush = new ArrayList<>();
  private Holder holder;
  private boolean closing;

  /** A node and what this gateway has to do with it. */
  private static final class Target {
    Address address;
    final List<NbdConnection> connections = new ArrayList<>();
    /** Changes of dead connections that may still run there, by serial of the connection. */
    final Map<Long, List<Attempt>> unresolvedChanges = new LinkedHashMap<>();
    boolean listed = true;
  }

  /** @param serials
   *          shared by all pools of a process */
  public NodePool(Engine engine, Limits limits, ConnectionSerials serials, List<String> reportFields,
      NodeEventListener news,
      int threads) throws IOException {
    this.serials = serials;
    this.engine = engine;
    this.limits = limits;
    holder = limits.holder();
    this.nodeEventListener = news;
    this.reportFields = List.copyOf(reportFields);
    group = AsynchronousChannelGroup.withFixedThreadPool(threads, r -> {
      Thread t = Executors.defaultThreadFactory().newThread(r);
      t.setName("node-io");
      t.setDaemon(true);
      return t;
    });
  }

  /** Where nodes are from now on; on the engine's thread or before its start. A node no longer named keeps
   * its connections until they end. */
  public void updateAddresses(List<Address> all) {
    Set<Long> named = new TreeSet<>();
    for (Address a : all) {
      targets.computeIfAbsent(a.node(), k -> new Target()).address = a;
      named.add(a.node());
    }
    targets.forEach((node, t) -> {
      t.listed = named.contains(node);
      if (!t.listed) {
        resolveAfterSettleTime(t);
      }
    });
  }

  @Override
  public void send(Attempt attempt) {
    Target t = targets.get(attempt.node());
    if (t == null || t.address == null || closing) {
      engine.attemptEnded(attempt, Result.CONNECT_FAILED, null);
      return;
    }
    NbdConnection c = chooseConnection(t);
    if (c == null) {
      engine.attemptEnded(attempt, Result.FULL, null);
    } else if (c.add(attempt)) {
      if (!c.flushScheduled) {
        c.flushScheduled = true;
        connectionsToFlush.add(c);
      }
    } else {
      engine.attemptEnded(attempt, Result.CONNECT_FAILED, null);
    }
  }

  /** The ready connection with the least on it; another one only when that has half of what it may hold. A
   * connection that is silent on something given up is passed over while there may be others: it guards
   * against one that is stuck in the middle of a reply. Harm: a node that is merely slow is connected to more
   * than once. */
  private NbdConnection chooseConnection(Target t) {
    NbdConnection best = null;
    int least = Integer.MAX_VALUE;
    for (NbdConnection c : t.connections) {
      int size = c.pendingCount();
      boolean stuck = c.isSilentFor(limits.connectTimeoutUs() * 1_000);
      if (stuck && c.activeCount() == 0) {
        c.close("silent, and all on it given up");
      } else if (size < least && !stuck) {
        best = c;
        least = size;
      }
    }
    boolean crowded = best == null || best.isReady() && least >= limits.maxInFlight() / 2 && best
        .allowsMultipleConnections();
    if (crowded && t.connections.size() < limits.maxConnections()) {
      NbdConnection fresh = openConnection(t);
      best = best == null ? fresh : best;
    }
    return best == null || best.pendingCount() >= limits.maxInFlight() ? null : best;
  }

  private NbdConnection openConnection(Target t) {
    Fence fence = serials.nextFence(t.address.node(), limits.client(), holder);
    try {
      NbdConnection c = new NbdConnection(group, t.address.node(), t.address.export(), fence, this);
      t.connections.add(c);
      engine.schedule(limits.connectTimeoutUs(), () -> {
        if (!c.isReady()) {
          c.close("not ready in time");
        }
      });
      c.connect(t.address.socketAddress());
      return c;
    } catch (IOException e) {
      serials.markClosed(t.address.node(), fence.serial());
      LOG.atWarn()
          .addKeyValue("node", t.address.name())
          .addKeyValue("why", e.getMessage())
          .log("node.connection.failed");
      return null;
    }
  }

  @Override
  public WithdrawResult withdraw(Attempt attempt) {
    NbdConnection c = NbdConnection.connectionOf(attempt);
    return c == null ? WithdrawResult.ENDED : c.withdraw(attempt);
  }

  /** Closes the connection that carried the attempt, if it still lives, and makes another, whose negotiation
   * is the fence. */
  @Override
  public void fence(Attempt attempt) {
    Target t = targets.get(attempt.node());
    NbdConnection c = NbdConnection.connectionOf(attempt);
    if (c != null && c.isOpen()) {
      LOG.atInfo()
          .addKeyValue("node", t.address.name())
          .addKeyValue("connection", c.fence.serial())
          .addKeyValue("request", attempt.requestId())
          .log("node.fenced");
      c.close("fenced: a newer write waits");
    } else if (t != null && !t.unresolvedChanges.isEmpty()) {
      openFencingConnection(t);
    }
  }

  @Override
  public void probe(long node) {
    Target t = targets.get(node);
    for (NbdConnection c : t == null ? List.<NbdConnection>of() : t.connections) {
      if (c.probe()) {
        c.flushScheduled = true;
        connectionsToFlush.add(c);
        return;
      }
    }
    engine.probeEnded(node, Result.CONNECT_FAILED, 0, null);
  }

  @Override
  public void flush() {
    for (int i = 0; i < connectionsToFlush.size(); i++) {
      connectionsToFlush.get(i).flushScheduled = false;
      connectionsToFlush.get(i).flush();
    }
    connectionsToFlush.clear();
  }

  @Override
  public void watchNodeList() {
    nodeEventListener.onNodeListRequested();
  }

  @Override
  public void close() {
    closing = true;
    targets.values().forEach(t -> List.copyOf(t.connections).forEach(c -> c.disconnect("the gateway ends")));
    group.shutdown();
  }

  // Letters of the connections.

  @Override
  public void onReady(NbdConnection c, long[] load) {
    engine.execute(() -> handleReady(c, load));
  }

  private void handleReady(NbdConnection c, long[] load) {
    Target t = targets.get(c.node);
    LOG.atDebug()
        .addKeyValue("node", t.address.name())
        .addKeyValue("connection", c.fence.serial())
        .log("node.connected");
    boolean fresh = load.length > 0 && nodeEventListener.onNodeStarted(c.node, load[Nbd.LoadMetric.BOOT
        .ordinal()],
        load[Nbd.LoadMetric.AGE_MS.ordinal()] * 1_000);
    if (fresh) {
      // What waited was sent by the module to the process before: it decides anew for a cold one.
      c.removeQueued().forEach(a -> onAttemptEnded(a, Result.MOOT));
    }
    if (c.supportsFence()) {
      t.unresolvedChanges.entrySet().removeIf(e -> {
        boolean dead = e.getKey() < c.fence.serial() && !c.fence.liveSerials().contains(e.getKey());
        if (dead) {
          e.getValue().forEach(engine::attemptResolved);
        }
        return dead;
      });
    }
    c.flush();
  }

  /** Goes on as another holder of the name, on the engine's thread: connections of the one before end, as its
   * fences no longer count. */
  public void changeHolder(Holder next) {
    holder = next;
    targets.values().forEach(t -> List.copyOf(t.connections).forEach(c -> c.close("a newer epoch is taken")));
  }

  @Override
  public void onSuperseded(NbdConnection c, NodeView known) {
    engine.execute(() -> {
      if (c.fence.holder().equals(holder)) {
        nodeEventListener.onSuperseded(c.node, known);
      }
    });
  }

  @Override
  public void onAttemptEnded(Attempt attempt, Result result) {
    engine.attemptEnded(attempt, result, null);
  }

  @Override
  public void onAttemptResolved(Attempt attempt) {
    engine.attemptResolved(attempt);
  }

  @Override
  public void onProbeEnded(NbdConnection c, Result result, long tookUs, long[] load) {
    List<Double> report = new ArrayList<>();
    for (String field : reportFields) {
      report.add(switch (field) {
        case "inflight" -> (double) load[Nbd.LoadMetric.INFLIGHT.ordinal()];
        case "queue" -> (double) load[Nbd.LoadMetric.QUEUE.ordinal()];
        case "latency_ms" -> load[Nbd.LoadMetric.LATENCY_US.ordinal()] / 1e3;
        default -> 0.0;
      });
    }
    engine.probeEnded(c.node, result, tookUs, report);
  }

  @Override
  public void onClosed(NbdConnection c, String why, List<Attempt> waiting, List<Attempt> sent,
      List<Attempt> silent) {
    engine.execute(() -> handleClosed(c, why, waiting, sent, silent));
  }

  private void handleClosed(NbdConnection c, String why, List<Attempt> waiting, List<Attempt> sent,
      List<Attempt> silent) {
    Target t = targets.get(c.node);
    t.connections.remove(c);
    serials.markClosed(c.node, c.fence.serial());
    if (!closing) {
      LOG.atInfo()
          .addKeyValue("node", t.address.name())
          .addKeyValue("connection", c.fence.serial())
          .addKeyValue("waiting", waiting.size())
          .addKeyValue("sent", sent.size())
          .addKeyValue("why", why)
          .log("node.disconnected");
    }
    if (c.fencedOff() && t.listed && !closing) {
      // The next negotiation tells who holds our name.
      openConnection(t);
    }
    waiting.forEach(a -> onAttemptEnded(a, Result.CONNECT_FAILED));
    List<Attempt> doubt = new ArrayList<>();
    for (Attempt a : sent) {
      onAttemptEnded(a, Result.RESET);
      doubt.add(a);
    }
    doubt.addAll(silent);
    doubt.removeIf(a -> !a.kind().modifiesData());
    if (doubt.isEmpty() || closing) {
      if (!t.unresolvedChanges.isEmpty()) {
        engine.schedule(limits.connectTimeoutUs(), () -> openFencingConnection(t));
      }
      return;
    }
    t.unresolvedChanges.put(c.fence.serial(), doubt);
    if (c.supportsFence()) {
      openFencingConnection(t);
    } else {
      engine.schedule(limits.settleUs(), () -> {
        if (t.unresolvedChanges.remove(c.fence.serial(), doubt)) {
          doubt.forEach(engine::attemptResolved);
        }
      });
    }
  }

  /** What may still run at a node that is no longer listed is seen by nobody: its shard is another node's. It
   * counts as over after the settle time. Guards against blocks that stay locked because a node never comes
   * back. Harm: a node listed again within that time is trusted to have been fenced by the negotiation before
   * its first command. */
  private void resolveAfterSettleTime(Target t) {
    engine.schedule(limits.settleUs(), () -> {
      if (!t.listed) {
        t.unresolvedChanges.values().forEach(d -> d.forEach(engine::attemptResolved));
        t.unresolvedChanges.clear();
      }
    });
  }

  /** A connection made for its fence: newer writes may be waiting. */
  private void openFencingConnection(Target t) {
    long newest = t.unresolvedChanges.keySet().stream().mapToLong(s -> s).max().orElse(0);
    boolean underWay = t.connections.stream().anyMatch(c -> c.fence.serial() > newest);
    if (!t.listed) {
      resolveAfterSettleTime(t);
    } else if (!underWay && !closing && !t.unresolvedChanges.isEmpty()) {
      openConnection(t);
    }
  }
}
