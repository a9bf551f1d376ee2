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

/** Connects the engine to the nodes: holds a few connections to each, opened on demand, and what may still
 * run of those that were closed. All state belongs to the engine's thread; connections post their events to
 * it. */
public final class NodePool implements NodeTransport, NbdConnection.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(NodePool.class);

  /** Address of a node and the shard whose data it holds. */
  public record Address(long node, String name, InetSocketAddress socketAddress, int shard) {
    /** Name of the export with the data of the shard. */
    String export() {
      return "shard-" + shard;
    }
  }

  /** Limits and identity of the pool.
   *
   * @param client
   *          name of this gateway instance, for {@link Fence}
   * @param holder
   *          which of its starts this is
   * @param maxConnections
   *          maximum number of connections to one node
   * @param maxInFlight
   *          maximum number of attempts on one connection
   * @param connectTimeoutUs
   *          a connection that is not ready after this time has failed, us
   * @param settleUs
   *          how long a node without fences may still run commands of a closed connection, us */
  public record Limits(String client, Holder holder, int maxConnections, int maxInFlight,
      long connectTimeoutUs,
      long settleUs) {}

  /** Receives what the connections learn of the nodes. */
  public interface NodeEventListener {
    /** A node reports that it started {@code ageUs} ago, with the random number {@code boot} that identifies
     * the start. Returns whether this start was not known before. */
    boolean onNodeStarted(long node, long boot, long ageUs);

    /** A node reports another holder as the newest of this gateway's name. */
    void onSuperseded(long node, NodeView holderView);

    /** The scheduler requests the node list. */
    void onNodeListRequested();
  }

  private final Engine engine;
  private final Limits limits;
  private final ConnectionSerials serials;
  private final NodeEventListener nodeEventListener;
  private final List<String> reportFields;
  private final AsynchronousChannelGroup group;
  private final Long2ObjectHashMap<Target> targets = new Long2ObjectHashMap<>();
  /** Connections to flush at the end of the engine's turn. */
  private final List<NbdConnection> connectionsToFlush = new ArrayList<>();
  private Holder holder;
  private boolean closing;

  /** A node with this gateway's connections to it. */
  private static final class Target {
    final Address address;
    final List<NbdConnection> connections = new ArrayList<>();
    /** Attempts that change data and may still run although their connection is closed, by the connection's
     * serial. */
    final Map<Long, List<Attempt>> unresolvedChanges = new LinkedHashMap<>();
    boolean listed = true;

    Target(Address address) {
      this.address = address;
    }

    /** Whether the server is known not to support fences. */
    boolean withoutFences() {
      return connections.stream().anyMatch(connection -> connection.isReady() && !connection.supportsFence());
    }

    boolean hasSameAddress(Target other) {
      return address.socketAddress().equals(other.address.socketAddress());
    }
  }

  /** @param serials
   *          shared by all pools of a process */
  public NodePool(Engine engine, Limits limits, ConnectionSerials serials, List<String> reportFields,
      NodeEventListener nodeEventListener,
      int threads) throws IOException {
    this.serials = serials;
    this.engine = engine;
    this.limits = limits;
    holder = limits.holder();
    this.nodeEventListener = nodeEventListener;
    this.reportFields = List.copyOf(reportFields);
    group = AsynchronousChannelGroup.withFixedThreadPool(threads, r -> {
      Thread t = Executors.defaultThreadFactory().newThread(r);
      t.setName("node-io");
      t.setDaemon(true);
      return t;
    });
  }

  /** Sets the list of nodes; called on the engine's thread or before its start. A node that is no longer
   * listed keeps its connections while attempts are in flight on them.
   *
   * @throws IllegalArgumentException
   *           if an id had another address or shard before: its connections lead to that one */
  public void updateAddresses(List<Address> addresses) {
    Set<Long> listed = new TreeSet<>();
    for (Address address : addresses) {
      Target target = targets.computeIfAbsent(address.node(), k -> new Target(address));
      if (!target.address.equals(address)) {
        throw new IllegalArgumentException("node " + address.node() + " is " + target.address + ", not "
            + address);
      }
      listed.add(address.node());
    }
    targets.forEach((node, target) -> {
      target.listed = listed.contains(node);
      if (!target.listed) {
        resolveAfterSettleTime(target);
        closeWhenIdle(target);
      }
    });
  }

  /** Closes the connections to a node that is no longer listed once no attempt waits for an answer on them,
   * and then forgets the node. */
  private void closeWhenIdle(Target target) {
    engine.schedule(limits.settleUs(), () -> {
      if (target.listed || closing) {
        return;
      }
      List.copyOf(target.connections)
          .stream()
          .filter(connection -> connection.activeCount() == 0)
          .forEach(connection -> connection.disconnect("the node is no longer listed"));
      if (target.connections.isEmpty() && target.unresolvedChanges.isEmpty()) {
        targets.remove(target.address.node(), target);
      } else {
        closeWhenIdle(target);
      }
    });
  }

  @Override
  public void send(Attempt attempt) {
    Target target = targets.get(attempt.node());
    if (target == null || closing) {
      engine.attemptEnded(attempt, Result.CONNECT_FAILED, null);
      return;
    }
    if (target.address.shard() != attempt.shard()) {
      // Data of another shard must never be read or overwritten, whatever went wrong before.
      LOG.atError()
          .addKeyValue("node", target.address.name())
          .addKeyValue("holds", target.address.shard())
          .addKeyValue("asked", attempt.shard())
          .log("node.wrong-shard");
      engine.attemptEnded(attempt, Result.CONNECT_FAILED, null);
      return;
    }
    NbdConnection connection = chooseConnection(target);
    if (connection == null) {
      engine.attemptEnded(attempt, Result.FULL, null);
    } else if (connection.add(attempt)) {
      if (!connection.flushScheduled) {
        connection.flushScheduled = true;
        connectionsToFlush.add(connection);
      }
    } else {
      engine.attemptEnded(attempt, Result.CONNECT_FAILED, null);
    }
  }

  /** Chooses the ready connection with the fewest attempts, and opens another one only when that has half of
   * its maximum. A connection that is silent while a withdrawn attempt is in flight is skipped, which guards
   * against one that is stuck in the middle of a reply. The cost is that a node that is merely slow gets more
   * than one connection. */
  private NbdConnection chooseConnection(Target target) {
    NbdConnection best = null;
    int lowestCount = Integer.MAX_VALUE;
    for (NbdConnection connection : target.connections) {
      int count = connection.pendingCount();
      boolean silent = connection.isSilentFor(limits.connectTimeoutUs() * 1_000);
      if (silent && connection.activeCount() == 0) {
        connection.close("silent with only withdrawn attempts left");
      } else if (count < lowestCount && !silent) {
        best = connection;
        lowestCount = count;
      }
    }
    boolean crowded = best == null || best.isReady() && lowestCount >= limits.maxInFlight() / 2 && best
        .allowsMultipleConnections();
    if (crowded && target.connections.size() < limits.maxConnections()) {
      NbdConnection opened = openConnection(target);
      best = best == null ? opened : best;
    }
    return best == null || best.pendingCount() >= limits.maxInFlight() ? null : best;
  }

  private NbdConnection openConnection(Target target) {
    Fence fence = serials.nextFence(target.address.socketAddress(), limits.client(), holder);
    try {
      NbdConnection connection = new NbdConnection(group, target.address.node(), target.address.export(),
          fence, this);
      target.connections.add(connection);
      engine.schedule(limits.connectTimeoutUs(), () -> {
        if (!connection.isReady()) {
          connection.close("not ready within the connect timeout");
        }
      });
      connection.connect(target.address.socketAddress());
      return connection;
    } catch (IOException e) {
      serials.markClosed(target.address.socketAddress(), fence.serial());
      LOG.atWarn()
          .addKeyValue("node", target.address.name())
          .addKeyValue("why", e.getMessage())
          .log("node.connection.failed");
      return null;
    }
  }

  @Override
  public WithdrawResult withdraw(Attempt attempt) {
    NbdConnection connection = NbdConnection.connectionOf(attempt);
    return connection == null ? WithdrawResult.ENDED : connection.withdraw(attempt);
  }

  /** Closes the connection that carried the attempt if it is still open, and opens another one, whose
   * negotiation is the fence. */
  @Override
  public void fence(Attempt attempt) {
    Target target = targets.get(attempt.node());
    NbdConnection connection = NbdConnection.connectionOf(attempt);
    if (connection != null && connection.isOpen()) {
      LOG.atInfo()
          .addKeyValue("node", target.address.name())
          .addKeyValue("connection", connection.fence.serial())
          .addKeyValue("request", attempt.requestId())
          .log("node.fenced");
      connection.close("closed to fence its attempts: a newer write is waiting");
    } else if (target != null && !target.unresolvedChanges.isEmpty()) {
      openFencingConnection(target);
    }
  }

  @Override
  public void probe(long node) {
    Target target = targets.get(node);
    for (NbdConnection connection : target == null ? List.<NbdConnection>of() : target.connections) {
      if (connection.probe()) {
        connection.flushScheduled = true;
        connectionsToFlush.add(connection);
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
    targets.values()
        .forEach(target -> List.copyOf(target.connections)
            .forEach(c -> c.disconnect("the gateway is stopping")));
    group.shutdown();
  }

  // Events of the connections.

  @Override
  public void onReady(NbdConnection connection, long[] load) {
    engine.execute(() -> handleReady(connection, load));
  }

  private void handleReady(NbdConnection connection, long[] load) {
    Target target = targets.get(connection.node);
    LOG.atDebug()
        .addKeyValue("node", target.address.name())
        .addKeyValue("connection", connection.fence.serial())
        .log("node.connected");
    boolean newStart = load.length > 0 && nodeEventListener.onNodeStarted(connection.node,
        load[Nbd.LoadMetric.BOOT
            .ordinal()],
        load[Nbd.LoadMetric.AGE_MS.ordinal()] * 1_000);
    if (newStart) {
      // The scheduler sent the unsent attempts to the previous process of the node; it decides again for the
      // restarted one, which is cold.
      connection.removeQueued().forEach(attempt -> onAttemptEnded(attempt, Result.MOOT));
    }
    if (connection.supportsFence()) {
      targets.values()
          .stream()
          .filter(other -> other.hasSameAddress(target))
          .toList()
          .forEach(other -> resolveInvalidated(other, connection));
    }
    connection.flush();
  }

  /** Resolves the changes of connections that the fence of a new connection to the same server
   * invalidated. */
  private void resolveInvalidated(Target target, NbdConnection connection) {
    target.unresolvedChanges.entrySet().removeIf(entry -> {
      boolean invalidated = entry.getKey() < connection.fence.serial() && !connection.fence.liveSerials()
          .contains(entry.getKey());
      if (invalidated) {
        entry.getValue().forEach(engine::attemptResolved);
      }
      return invalidated;
    });
  }

  /** Continues as another holder of the name; called on the engine's thread. Connections of the previous
   * holder are closed, because its fences no longer count. */
  public void changeHolder(Holder newHolder) {
    holder = newHolder;
    targets.values()
        .forEach(target -> List.copyOf(target.connections)
            .forEach(connection -> connection.close("the gateway took a newer epoch")));
  }

  @Override
  public void onSuperseded(NbdConnection connection, NodeView holderView) {
    engine.execute(() -> {
      if (connection.fence.holder().equals(holder)) {
        nodeEventListener.onSuperseded(connection.node, holderView);
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
  public void onProbeEnded(NbdConnection connection, Result result, long tookUs, long[] load) {
    List<Double> report = new ArrayList<>();
    for (String field : reportFields) {
      report.add(switch (field) {
        case "inflight" -> (double) load[Nbd.LoadMetric.INFLIGHT.ordinal()];
        case "queue" -> (double) load[Nbd.LoadMetric.QUEUE.ordinal()];
        case "latency_ms" -> load[Nbd.LoadMetric.LATENCY_US.ordinal()] / 1e3;
        default -> 0.0;
      });
    }
    engine.probeEnded(connection.node, result, tookUs, report);
  }

  @Override
  public void onClosed(NbdConnection connection, String reason, List<Attempt> unsent, List<Attempt> sent,
      List<Attempt> withdrawn) {
    engine.execute(() -> handleClosed(connection, reason, unsent, sent, withdrawn));
  }

  private void handleClosed(NbdConnection connection, String reason, List<Attempt> unsent, List<Attempt> sent,
      List<Attempt> withdrawn) {
    Target target = targets.get(connection.node);
    target.connections.remove(connection);
    serials.markClosed(target.address.socketAddress(), connection.fence.serial());
    if (!closing) {
      LOG.atInfo()
          .addKeyValue("node", target.address.name())
          .addKeyValue("connection", connection.fence.serial())
          .addKeyValue("waiting", unsent.size())
          .addKeyValue("sent", sent.size())
          .addKeyValue("why", reason)
          .log("node.disconnected");
    }
    if (connection.fencedOff() && target.listed && !closing) {
      // The next negotiation reports the holder of this gateway's name.
      openConnection(target);
    }
    unsent.forEach(attempt -> onAttemptEnded(attempt, Result.CONNECT_FAILED));
    List<Attempt> changes = new ArrayList<>();
    for (Attempt attempt : sent) {
      onAttemptEnded(attempt, Result.RESET);
      changes.add(attempt);
    }
    changes.addAll(withdrawn);
    changes.removeIf(attempt -> !attempt.kind().modifiesData());
    if (changes.isEmpty() || closing) {
      if (!target.unresolvedChanges.isEmpty()) {
        engine.schedule(limits.connectTimeoutUs(), () -> openFencingConnection(target));
      }
      return;
    }
    target.unresolvedChanges.put(connection.fence.serial(), changes);
    if (connection.supportsFence()) {
      openFencingConnection(target);
    } else {
      engine.schedule(limits.settleUs(), () -> {
        if (target.unresolvedChanges.remove(connection.fence.serial(), changes)) {
          changes.forEach(engine::attemptResolved);
        }
      });
    }
  }

  /** Resolves the changes of a node that is no longer listed after the settle time. If its server is still
   * listed under another name, zone or shard, a fence has to stop them, as they could still overwrite newer
   * data there. Otherwise they count as resolved, because nobody reads them. This guards against blocks that
   * stay locked because a node never returns. The cost is that a node listed again within that time is
   * trusted to have been fenced by the negotiation before its first command. */
  private void resolveAfterSettleTime(Target target) {
    engine.schedule(limits.settleUs(), () -> {
      if (target.listed || target.unresolvedChanges.isEmpty() || closing) {
        return;
      }
      Target successor = targets.values()
          .stream()
          .filter(other -> other.listed && other.hasSameAddress(target))
          .findFirst()
          .orElse(null);
      if (successor == null || successor.withoutFences()) {
        target.unresolvedChanges.values().forEach(changes -> changes.forEach(engine::attemptResolved));
        target.unresolvedChanges.clear();
      } else {
        openConnection(successor);
        resolveAfterSettleTime(target);
      }
    });
  }

  /** Opens a connection for the sake of its fence, because newer writes may be waiting. */
  private void openFencingConnection(Target target) {
    long newest = target.unresolvedChanges.keySet().stream().mapToLong(serial -> serial).max().orElse(0);
    boolean fencePending = target.connections.stream()
        .anyMatch(connection -> connection.fence.serial() > newest);
    if (!target.listed) {
      resolveAfterSettleTime(target);
    } else if (!fencePending && !closing && !target.unresolvedChanges.isEmpty()) {
      openConnection(target);
    }
  }
}
