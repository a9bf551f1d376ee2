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

  EmulatedConnection(EmulatedTransport net, EmulatedNode disk, long serial, EventQueue time) {
    this.transport = net;
    this.node = disk;
    this.serial = serial;
    this.events = time;
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

  private void deliverToNode(Runnable what) {
    lastArrivalAtNode = Math.max(lastArrivalAtNode, transport.arrivalTime(node));
    events.schedule(lastArrivalAtNode, what);
  }

  void deliverToGateway(Runnable what) {
    lastArrivalAtGateway = Math.max(lastArrivalAtGateway, transport.arrivalTime(node));
    events.schedule(lastArrivalAtGateway, () -> transport.runAtGateway(what));
  }

  void connect(long timeoutUs) {
    deliverToNode(() -> {
      if (!node.isUp()) {
        deliverToGateway(() -> close(false));
      } else if (state == State.CONNECTING) {
        node.onConnected(this);
        long boot = node.bootCount();
        long age = node.ageUs();
        deliverToGateway(() -> onReady(boot, age));
      }
    });
    events.scheduleAfter(timeoutUs, () -> transport.runAtGateway(() -> {
      if (state == State.CONNECTING) {
        close(false);
      }
    }));
  }

  private void onReady(long boot, long ageUs) {
    if (state != State.CONNECTING) {
      return;
    }
    state = State.READY;
    if (transport.recordNodeStart(node, boot, ageUs)) {
      // The scheduler chose the node before it restarted; it decides anew for the cold node.
      waiting.forEach(f -> transport.reportOutcome(f, Result.MOOT));
      waiting.clear();
    }
    transport.onFenced(node, serial);
    waiting.forEach(this::transmit);
    waiting.clear();
  }

  void add(InFlightCommand f) {
    if (state == State.READY) {
      transmit(f);
    } else {
      waiting.add(f);
    }
  }

  private void transmit(InFlightCommand f) {
    f.sentUs = events.now();
    sent.add(f);
    deliverToNode(() -> {
      // A node process started since then does not know this connection.
      if (node.isConnected(this)) {
        node.receive(f);
      }
    });
  }

  /** Sends the outcome of a command back to the gateway. */
  void reply(InFlightCommand f, Result result) {
    deliverToGateway(() -> {
      if (state != State.CLOSED && sent.remove(f)) {
        if (f.withdrawn) {
          transport.reportResolved(f);
        } else {
          transport.reportOutcome(f, result);
        }
      }
    });
  }

  /** Removes a command that has not been sent; returns false if it has been. */
  boolean removeUnsent(InFlightCommand f) {
    return waiting.remove(f);
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
    waiting.forEach(f -> transport.reportOutcome(f, Result.CONNECT_FAILED));
    List<InFlightCommand> doubt = new ArrayList<>();
    for (InFlightCommand f : sent) {
      if (!f.withdrawn) {
        transport.reportOutcome(f, Result.RESET);
      }
      if (f.attempt.kind().modifiesData()) {
        doubt.add(f);
      }
    }
    waiting.clear();
    sent.clear();
    transport.onConnectionClosed(this, doubt);
  }
}
