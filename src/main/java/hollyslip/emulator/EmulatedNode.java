package hollyslip.emulator;

import hollyslip.node.Nbd;
import hollyslip.standin.Command;
import hollyslip.standin.Faults;
import hollyslip.standin.ServiceModel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/** Model of a storage node: the service times, faults and fences of the stand-ins, without sockets and
 * data. */
final class EmulatedNode {
  final String name;
  final int index;
  final Faults faults = new Faults();
  private final EventQueue events;
  private final ServiceModel.Config config;
  private final SplittableRandom random;
  private final List<Command> commandLog = new ArrayList<>();
  /** Commands received but not finished. */
  private final Set<InFlightCommand> pending = new LinkedHashSet<>();
  private final Set<EmulatedConnection> connections = new LinkedHashSet<>();
  /** Serial of each client's newest connection; commands of older connections have no effect. */
  private final Map<String, Long> newestSerialByClient = new HashMap<>();
  private ServiceModel model;
  private boolean up = true;
  private long bootCount = 1;
  private long startedAtUs;

  EmulatedNode(int index, EventQueue time, ServiceModel.Config config, SplittableRandom random, long ageUs) {
    name = "store-" + index;
    this.index = index;
    this.events = time;
    this.config = config;
    this.random = random;
    startedAtUs = time.now() - ageUs;
    model = new ServiceModel(config, random.nextLong(), startedAtUs);
  }

  boolean isUp() {
    return up;
  }

  long bootCount() {
    return bootCount;
  }

  long ageUs() {
    return events.now() - startedAtUs;
  }

  void setSlowdown(double factor) {
    model.slow(factor);
  }

  void stallFor(long us) {
    model.stall(events.now() + us);
  }

  /** Ends the node's process: pending commands are never executed, and its connections break. */
  void kill() {
    up = false;
    pending.forEach(f -> recordCommand(f, 0, Command.Result.SWALLOWED));
    pending.clear();
    newestSerialByClient.clear();
    List<EmulatedConnection> broken = List.copyOf(connections);
    connections.clear();
    broken.forEach(l -> l.deliverToGateway(() -> l.close(true)));
  }

  /** Starts the node cold; only its stored data survives. */
  void start() {
    if (up) {
      kill();
    }
    up = true;
    bootCount++;
    startedAtUs = events.now();
    model = new ServiceModel(config, random.nextLong(), startedAtUs);
  }

  /** Accepts a connection, which fences the client's older ones. */
  void onConnected(EmulatedConnection link) {
    connections.add(link);
    newestSerialByClient.merge(link.client(), link.serial, Math::max);
  }

  boolean isConnected(EmulatedConnection link) {
    return connections.contains(link);
  }

  void onDisconnected(EmulatedConnection link) {
    connections.remove(link);
  }

  /** Receives a command. */
  void receive(InFlightCommand f) {
    f.receivedUs = events.now();
    if (faults.silent) {
      recordCommand(f, 0, Command.Result.SWALLOWED);
      return;
    }
    long at = faults.full || faults.draining
        ? -1
        : model.doneAt(events.now(), f.length, pending.size(), faults.heavyPart, faults.heavyFactor);
    if (at < 0) {
      recordCommand(f, 0, Command.Result.FULL);
      f.connection.reply(f, hollyslip.HostScheduler.Result.FULL);
      return;
    }
    pending.add(f);
    events.schedule(at + (f.kind == Nbd.CMD_WRITE ? faults.lateWriteUs : 0), () -> finish(f));
  }

  private void finish(InFlightCommand f) {
    if (!pending.remove(f)) {
      return;
    }
    double chance = random.nextDouble();
    if (newestSerialByClient.getOrDefault(f.connection.client(), 0L) > f.connection.serial) {
      recordCommand(f, 0, Command.Result.FENCED);
    } else if (chance < faults.errors) {
      recordCommand(f, 0, Command.Result.ERROR);
      f.connection.reply(f, hollyslip.HostScheduler.Result.ERROR);
    } else if (chance < faults.errors + faults.loseAnswers) {
      recordCommand(f, events.now(), Command.Result.DONE_SILENTLY);
    } else {
      recordCommand(f, events.now(), Command.Result.DONE);
      f.connection.reply(f, hollyslip.HostScheduler.Result.OK);
    }
  }

  private void recordCommand(InFlightCommand f, long done, Command.Result result) {
    commandLog.add(new Command(name, bootCount, f.connection.process(), f.connection.serial, f.cookie,
        f.export, f.kind, f.offset,
        f.length, f.receivedUs, done, f.writeId, result, f.sentUs));
  }

  /** All commands received; to be called after the end of the run. */
  List<Command> commandLog() {
    pending.forEach(f -> recordCommand(f, 0, Command.Result.SWALLOWED));
    pending.clear();
    return commandLog;
  }
}
