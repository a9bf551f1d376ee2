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

  EmulatedTransport(EmulatedGateway gateway, long epoch) {
    this.gateway = gateway;
    this.epoch = epoch;
    connections = new EmulatedConnection[gateway.emulation.nodes().size()];
    uncertainCommands = gateway.emulation.nodes()
        .stream()
        .map(node -> new TreeMap<Long, List<InFlightCommand>>())
        .toList();
  }

  String client() {
    return gateway.name;
  }

  String process() {
    return gateway.name + "/" + epoch;
  }

  /** Time at which a message sent now arrives. */
  long arrivalTime(EmulatedNode node) {
    return gateway.arrivalTime(node);
  }

  /** Runs an action at the gateway unless the process is gone. */
  void runAtGateway(Runnable action) {
    if (!closed) {
      gateway.runOnEngine(action);
    }
  }

  boolean recordNodeStart(EmulatedNode node, long bootCount, long ageUs) {
    return gateway.recordNodeStart(node, bootCount, ageUs);
  }

  void reportOutcome(InFlightCommand command, Result result) {
    command.outcomeReported = true;
    gateway.engine().attemptEnded(command.attempt, result, null);
  }

  void reportResolved(InFlightCommand command) {
    gateway.engine().attemptResolved(command.attempt);
  }

  private EmulatedNode node(long nodeId) {
    return gateway.emulation.nodes().get((int) nodeId - 1);
  }

  @Override
  public void send(Attempt attempt) {
    EmulatedNode node = node(attempt.node());
    EmulatedConnection connection = connections[node.index];
    if (connection == null || connection.isClosed()) {
      connection = open(node);
    }
    InFlightCommand command = new InFlightCommand(attempt, connection);
    attempt.handle = command;
    if (connection.commandCount() >= gateway.maxInFlight()) {
      reportOutcome(command, Result.FULL);
    } else {
      connection.add(command);
    }
  }

  private EmulatedConnection open(EmulatedNode node) {
    EmulatedConnection connection = new EmulatedConnection(this, node, epoch << 32 | ++lastSerial,
        gateway.emulation.events);
    connections[node.index] = connection;
    connection.connect(gateway.connectTimeoutUs());
    return connection;
  }

  @Override
  public WithdrawResult withdraw(Attempt attempt) {
    InFlightCommand command = (InFlightCommand) attempt.handle;
    if (command.outcomeReported) {
      return WithdrawResult.ENDED;
    }
    if (command.connection.removeUnsent(command)) {
      command.outcomeReported = true;
      return WithdrawResult.NEVER_SENT;
    }
    command.withdrawn = true;
    command.outcomeReported = true;
    return WithdrawResult.MAY_RUN;
  }

  @Override
  public void fence(Attempt attempt) {
    InFlightCommand command = (InFlightCommand) attempt.handle;
    if (!command.connection.isClosed()) {
      command.connection.close(false);
    } else {
      reconnectIfUncertain(command.connection.node);
    }
  }

  /** A newer connection was made, so commands of older connections can no longer take effect. */
  void onFenced(EmulatedNode node, long serial) {
    var older = uncertainCommands.get(node.index).headMap(serial);
    List<InFlightCommand> resolved = older.values().stream().flatMap(List::stream).toList();
    older.clear();
    resolved.forEach(this::reportResolved);
  }

  /** A connection was closed while these modifying commands were outstanding. */
  void onConnectionClosed(EmulatedConnection connection, List<InFlightCommand> uncertain) {
    if (connections[connection.node.index] == connection) {
      connections[connection.node.index] = null;
    }
    if (!uncertain.isEmpty()) {
      uncertainCommands.get(connection.node.index).put(connection.serial, uncertain);
      reconnectIfUncertain(connection.node);
    } else if (!uncertainCommands.get(connection.node.index).isEmpty()) {
      gateway.emulation.events.scheduleAfter(gateway.connectTimeoutUs(), () -> runAtGateway(
          () -> reconnectIfUncertain(connection.node)));
    }
  }

  private void reconnectIfUncertain(EmulatedNode node) {
    if (!uncertainCommands.get(node.index).isEmpty() && connections[node.index] == null) {
      open(node);
    }
  }

  @Override
  public void probe(long node) {
    EmulatedNode target = node(node);
    long sentUs = gateway.emulation.events.now();
    boolean answers = target.isUp() && !target.faults.silent;
    gateway.emulation.events.schedule(arrivalTime(target) * 2 - sentUs, () -> runAtGateway(() -> gateway
        .engine()
        .probeEnded(node, answers ? Result.OK : Result.CONNECT_FAILED, gateway.emulation.events.now()
            - sentUs,
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
    Arrays.stream(connections)
        .filter(connection -> connection != null)
        .forEach(connection -> connection.node.onDisconnected(connection));
  }
}
