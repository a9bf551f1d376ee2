package hollyslip.emulator;

import hollyslip.HostScheduler.Result;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** A connection from one gateway process to one node. Delivers in order in both directions, like TCP; what is
 * sent during a network partition arrives after the partition has ended. */
final class EmulatedConnection {
  private enum State {
    CONNECTING, READY, CLOSED
  }

  final long serial;
  final EmulatedNode node;
  private final EmulatedTransport transport;
  private final EventQueue events;
  private State state = State.CONNECTING;
  private final List<InFlightCommand> waiting = new ArrayList<>();
  private final Set<InFlightCommand> sent = new LinkedHashSet<>();
  private long lastArrivalAtNode, lastArrivalAtGateway;

  EmulatedConnection(EmulatedTransport transport, EmulatedNode node, long serial, EventQueue events) {
    this.transport = transport;
    this.node = node;
    this.serial = serial;
    this.events = events;
  }

  String client() {
    return transport.client();
  }

  String process() {
    return transport.process();
  }

  boolean isClosed() {
    return state == State.CLOSED;
  }

  int commandCount() {
    return waiting.size() + sent.size();
  }

  private void deliverToNode(Runnable action) {
    lastArrivalAtNode = Math.max(lastArrivalAtNode, transport.arrivalTime(node));
    events.schedule(lastArrivalAtNode, action);
  }

  void deliverToGateway(Runnable action) {
    lastArrivalAtGateway = Math.max(lastArrivalAtGateway, transport.arrivalTime(node));
    events.schedule(lastArrivalAtGateway, () -> transport.runAtGateway(action));
  }

  void connect(long timeoutUs) {
    deliverToNode(() -> {
      if (!node.isUp()) {
        deliverToGateway(() -> close(false));
      } else if (state == State.CONNECTING) {
        node.onConnected(this);
        long bootCount = node.bootCount();
        long ageUs = node.ageUs();
        deliverToGateway(() -> onReady(bootCount, ageUs));
      }
    });
    events.scheduleAfter(timeoutUs, () -> transport.runAtGateway(() -> {
      if (state == State.CONNECTING) {
        close(false);
      }
    }));
  }

  private void onReady(long bootCount, long ageUs) {
    if (state != State.CONNECTING) {
      return;
    }
    state = State.READY;
    if (transport.recordNodeStart(node, bootCount, ageUs)) {
      // The scheduler chose the node before it restarted; it decides anew for the cold node.
      waiting.forEach(command -> transport.reportOutcome(command, Result.MOOT));
      waiting.clear();
    }
    transport.onFenced(node, serial);
    waiting.forEach(this::transmit);
    waiting.clear();
  }

  void add(InFlightCommand command) {
    if (state == State.READY) {
      transmit(command);
    } else {
      waiting.add(command);
    }
  }

  private void transmit(InFlightCommand command) {
    command.sentUs = events.now();
    sent.add(command);
    deliverToNode(() -> {
      // A node process started since then does not know this connection.
      if (node.isConnected(this)) {
        node.receive(command);
      }
    });
  }

  /** Sends the outcome of a command back to the gateway. */
  void reply(InFlightCommand command, Result result) {
    deliverToGateway(() -> {
      if (state != State.CLOSED && sent.remove(command)) {
        if (command.withdrawn) {
          transport.reportResolved(command);
        } else {
          transport.reportOutcome(command, result);
        }
      }
    });
  }

  /** Removes a command that has not been sent; returns false if it has been. */
  boolean removeUnsent(InFlightCommand command) {
    return waiting.remove(command);
  }

  /** Closes the gateway's end. Commands already sent may still run until a newer connection is made. */
  void close(boolean broken) {
    if (state == State.CLOSED) {
      return;
    }
    state = State.CLOSED;
    if (!broken) {
      deliverToNode(() -> node.onDisconnected(this));
    }
    waiting.forEach(command -> transport.reportOutcome(command, Result.CONNECT_FAILED));
    List<InFlightCommand> uncertain = new ArrayList<>();
    for (InFlightCommand command : sent) {
      if (!command.withdrawn) {
        transport.reportOutcome(command, Result.RESET);
      }
      if (command.attempt.kind().modifiesData()) {
        uncertain.add(command);
      }
    }
    waiting.clear();
    sent.clear();
    transport.onConnectionClosed(this, uncertain);
  }
}
