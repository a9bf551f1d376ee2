package hollyslip.emulator;

import hollyslip.HostScheduler.Result;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** A connection of one gateway process to one node: in order both ways, like TCP; what is sent while the
 * network is cut arrives when it is whole again. */
final class EmulatedConnection {
  private enum State {
    CONNECTING, READY, CLOSED
  }

  final long serial;
  final EmulatedNode disk;
  private final EmulatedTransport net;
  private final EventQueue time;
  private State state = State.CONNECTING;
  private final List<InFlightCommand> waiting = new ArrayList<>();
  private final Set<InFlightCommand> sent = new LinkedHashSet<>();
  private long lastThere, lastBack;

  EmulatedConnection(EmulatedTransport net, EmulatedNode disk, long serial, EventQueue time) {
    this.net = net;
    this.disk = disk;
    this.serial = serial;
    this.time = time;
  }

  String client() {
    return net.client();
  }

  String process() {
    return net.process();
  }

  boolean isClosed() {
    return state == State.CLOSED;
  }

  int size() {
    return waiting.size() + sent.size();
  }

  private void toDisk(Runnable what) {
    lastThere = Math.max(lastThere, net.arrival(disk));
    time.at(lastThere, what);
  }

  void toGateway(Runnable what) {
    lastBack = Math.max(lastBack, net.arrival(disk));
    time.at(lastBack, () -> net.told(what));
  }

  void connect(long timeoutUs) {
    toDisk(() -> {
      if (!disk.isUp()) {
        toGateway(() -> close(false));
      } else if (state == State.CONNECTING) {
        disk.connected(this);
        long boot = disk.boot();
        long age = disk.ageUs();
        toGateway(() -> ready(boot, age));
      }
    });
    time.in(timeoutUs, () -> net.told(() -> {
      if (state == State.CONNECTING) {
        close(false);
      }
    }));
  }

  private void ready(long boot, long ageUs) {
    if (state != State.CONNECTING) {
      return;
    }
    state = State.READY;
    if (net.started(disk, boot, ageUs)) {
      // Sent by the module to the process before: it decides anew for a cold one.
      waiting.forEach(f -> net.outcome(f, Result.MOOT));
      waiting.clear();
    }
    net.fenced(disk, serial);
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
    f.sentUs = time.now();
    sent.add(f);
    toDisk(() -> {
      // A process that has started since does not know the connection.
      if (disk.knows(this)) {
        disk.receive(f);
      }
    });
  }

  /** What came of a command, on its way back. */
  void reply(InFlightCommand f, Result result) {
    toGateway(() -> {
      if (state != State.CLOSED && sent.remove(f)) {
        if (f.withdrawn) {
          net.resolved(f);
        } else {
          net.outcome(f, result);
        }
      }
    });
  }

  /** Takes back one that has not left; false: it has. */
  boolean takeBack(InFlightCommand f) {
    return waiting.remove(f);
  }

  /** The connection ends, here: what has left may still run until a newer one is made. */
  void close(boolean broken) {
    if (state == State.CLOSED) {
      return;
    }
    state = State.CLOSED;
    if (!broken) {
      toDisk(() -> disk.disconnected(this));
    }
    waiting.forEach(f -> net.outcome(f, Result.CONNECT_FAILED));
    List<InFlightCommand> doubt = new ArrayList<>();
    for (InFlightCommand f : sent) {
      if (!f.withdrawn) {
        net.outcome(f, Result.RESET);
      }
      if (f.attempt.kind().modifiesData()) {
        doubt.add(f);
      }
    }
    waiting.clear();
    sent.clear();
    net.lost(this, doubt);
  }
}
