package hollyslip.emulator;

import hollyslip.HostScheduler.Result;
import hollyslip.engine.Attempt;
import hollyslip.engine.NodeTransport;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;

/** Replaces the production connections between one run of a gateway's engine and the nodes. There is one
 * connection per node, made on demand; fencing is done by making a newer connection. */
final class EmulatedTransport implements NodeTransport {
  private final EmulatedGateway gateway;
  private final long epoch;
  private final EmulatedConnection[] connections;
  /** Commands that modify data and were sent on a closed connection, so that they may still run; by node and
   * connection serial. */
  private final List<TreeMap<Long, List<InFlightCommand>>> uncertainCommands;
  private long lastSerial;
  /** The gateway process is gone and receives nothing any more. */
  private boolean closed;

  EmulatedTransport(EmulatedGateway site, long epoch) {
    this.gateway = site;
    this.epoch = epoch;
    connections = new EmulatedConnection[site.emulation.nodes().size()];
    uncertainCommands = site.emulation.nodes()
        .stream()
        .map(d -> new TreeMap<Long, List<InFlightCommand>>())
        .toList();
  }

  String client() {
    return gateway.name;
  }

  String process() {
    return gateway.name + "/" + epoch;
  }

  /** Time at which a message sent now arrives. */
  long arrivalTime(EmulatedNode disk) {
    return gateway.arrivalTime(disk);
  }

  /** Runs an action at the gateway unless the process is gone. */
  void runAtGateway(Runnable what) {
    if (!closed) {
      gateway.runOnEngine(what);
    }
  }

  boolean recordNodeStart(EmulatedNode disk, long boot, long ageUs) {
    return gateway.recordNodeStart(disk, boot, ageUs);
  }

  void reportOutcome(InFlightCommand f, Result result) {
    f.outcomeReported = true;
    gateway.engine().attemptEnded(f.attempt, result, null);
  }

  void reportResolved(InFlightCommand f) {
    gateway.engine().attemptResolved(f.attempt);
  }

  private EmulatedNode node(long node) {
    return gateway.emulation.nodes().get((int) node - 1);
  }

  @Override
  public void send(Attempt attempt) {
    EmulatedNode disk = node(attempt.node());
    EmulatedConnection link = connections[disk.index];
    if (link == null || link.isClosed()) {
      link = open(disk);
    }
    InFlightCommand f = new InFlightCommand(attempt, link);
    attempt.handle = f;
    if (link.commandCount() >= gateway.maxInFlight()) {
      reportOutcome(f, Result.FULL);
    } else {
      link.add(f);
    }
  }

  private EmulatedConnection open(EmulatedNode disk) {
    EmulatedConnection link = new EmulatedConnection(this, disk, epoch << 32 | ++lastSerial,
        gateway.emulation.events);
    connections[disk.index] = link;
    link.connect(gateway.connectTimeoutUs());
    return link;
  }

  @Override
  public WithdrawResult withdraw(Attempt attempt) {
    InFlightCommand f = (InFlightCommand) attempt.handle;
    if (f.outcomeReported) {
      return WithdrawResult.ENDED;
    }
    if (f.connection.removeUnsent(f)) {
      f.outcomeReported = true;
      return WithdrawResult.NEVER_SENT;
    }
    f.withdrawn = true;
    f.outcomeReported = true;
    return WithdrawResult.MAY_RUN;
  }

  @Override
  public void fence(Attempt attempt) {
    InFlightCommand f = (InFlightCommand) attempt.handle;
    if (!f.connection.isClosed()) {
      f.connection.close(false);
    } else {
      reconnectIfUncertain(f.connection.node);
    }
  }

  /** A newer connection was made, so commands of older connections can no longer take effect. */
  void onFenced(EmulatedNode disk, long serial) {
    var older = uncertainCommands.get(disk.index).headMap(serial);
    List<InFlightCommand> over = older.values().stream().flatMap(List::stream).toList();
    older.clear();
    over.forEach(this::reportResolved);
  }

  /** A connection was closed while these modifying commands were outstanding. */
  void onConnectionClosed(EmulatedConnection link, List<InFlightCommand> doubt) {
    if (connections[link.node.index] == link) {
      connections[link.node.index] = null;
    }
    if (!doubt.isEmpty()) {
      uncertainCommands.get(link.node.index).put(link.serial, doubt);
      reconnectIfUncertain(link.node);
    } else if (!uncertainCommands.get(link.node.index).isEmpty()) {
      gateway.emulation.events.scheduleAfter(gateway.connectTimeoutUs(), () -> runAtGateway(
          () -> reconnectIfUncertain(link.node)));
    }
  }

  private void reconnectIfUncertain(EmulatedNode disk) {
    if (!uncertainCommands.get(disk.index).isEmpty() && connections[disk.index] == null) {
      open(disk);
    }
  }

  @Override
  public void probe(long node) {
    EmulatedNode disk = node(node);
    long from = gateway.emulation.events.now();
    boolean up = disk.isUp() && !disk.faults.silent;
    gateway.emulation.events.schedule(arrivalTime(disk) * 2 - from, () -> runAtGateway(() -> gateway.engine()
        .probeEnded(node, up ? Result.OK : Result.CONNECT_FAILED, gateway.emulation.events.now() - from,
            null)));
  }

  @Override
  public void flush() {
    // Connections send immediately.
  }

  @Override
  public void watchNodeList() {
    gateway.requestNodeList();
  }

  @Override
  public void close() {
    closed = true;
    Arrays.stream(connections).filter(l -> l != null).forEach(l -> l.node.onDisconnected(l));
  }
}
