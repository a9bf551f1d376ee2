package hollyslip.emulator;

import hollyslip.node.Nbd;
import hollyslip.standin.CommandRecord;
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
  private final List<CommandRecord> commandLog = new ArrayList<>();
  /** Commands received but not finished. */
  private final Set<InFlightCommand> pending = new LinkedHashSet<>();
  private final Set<EmulatedConnection> connections = new LinkedHashSet<>();
  /** Serial of each client's newest connection; commands of older connections have no effect. */
  private final Map<String, Long> newestSerialByClient = new HashMap<>();
  private ServiceModel model;
  private boolean up = true;
  private long bootCount = 1;
  private long startedAtUs;

  EmulatedNode(int index, EventQueue events, ServiceModel.Config config, SplittableRandom random,
      long ageUs) {
    name = "store-" + index;
    this.index = index;
    this.events = events;
    this.config = config;
    this.random = random;
    startedAtUs = events.now() - ageUs;
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

  void stallFor(long durationUs) {
    model.stallUntil(events.now() + durationUs);
  }

  /** Ends the node's process: pending commands are never executed, and its connections break. */
  void kill() {
    up = false;
    pending.forEach(command -> recordCommand(command, 0, CommandRecord.Result.SWALLOWED));
    pending.clear();
    newestSerialByClient.clear();
    List<EmulatedConnection> broken = List.copyOf(connections);
    connections.clear();
    broken.forEach(connection -> connection.deliverToGateway(() -> connection.close(true)));
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
  void onConnected(EmulatedConnection connection) {
    connections.add(connection);
    newestSerialByClient.merge(connection.client(), connection.serial, Math::max);
  }

  boolean isConnected(EmulatedConnection connection) {
    return connections.contains(connection);
  }

  void onDisconnected(EmulatedConnection connection) {
    connections.remove(connection);
  }

  /** Receives a command. */
  void receive(InFlightCommand command) {
    command.receivedUs = events.now();
    if (faults.silent) {
      recordCommand(command, 0, CommandRecord.Result.SWALLOWED);
      return;
    }
    long doneAt = faults.full || faults.draining
        ? -1
        : model.completionTime(events.now(), command.length, pending.size(), faults.slowCommandRate,
            faults.slowCommandFactor);
    if (doneAt < 0) {
      recordCommand(command, 0, CommandRecord.Result.FULL);
      command.connection.reply(command, hollyslip.HostScheduler.Result.FULL);
      return;
    }
    pending.add(command);
    events.schedule(doneAt + (command.kind == Nbd.CMD_WRITE ? faults.writeDelayUs : 0), () -> finish(
        command));
  }

  private void finish(InFlightCommand command) {
    if (!pending.remove(command)) {
      return;
    }
    double draw = random.nextDouble();
    if (newestSerialByClient.getOrDefault(command.connection.client(), 0L) > command.connection.serial) {
      recordCommand(command, 0, CommandRecord.Result.FENCED);
    } else if (draw < faults.errorRate) {
      recordCommand(command, 0, CommandRecord.Result.ERROR);
      command.connection.reply(command, hollyslip.HostScheduler.Result.ERROR);
    } else if (draw < faults.errorRate + faults.lostResponseRate) {
      recordCommand(command, events.now(), CommandRecord.Result.DONE_SILENTLY);
    } else {
      recordCommand(command, events.now(), CommandRecord.Result.DONE);
      command.connection.reply(command, hollyslip.HostScheduler.Result.OK);
    }
  }

  private void recordCommand(InFlightCommand command, long doneUs, CommandRecord.Result result) {
    commandLog.add(new CommandRecord(name, bootCount, command.connection.process(), command.connection.serial,
        command.cookie,
        command.export, command.kind, command.offset,
        command.length, command.receivedUs, doneUs, command.writeId, result, command.sentUs));
  }

  /** All commands received; to be called after the end of the run. */
  List<CommandRecord> commandLog() {
    pending.forEach(command -> recordCommand(command, 0, CommandRecord.Result.SWALLOWED));
    pending.clear();
    return commandLog;
  }
}
