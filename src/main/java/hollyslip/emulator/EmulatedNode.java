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

/** A storage node as a model: the service times of the stand-ins, their faults and their fences, without
 * sockets and without bytes. */
final class EmulatedNode {
  final String name;
  final int index;
  final Faults faults = new Faults();
  private final EventQueue time;
  private final ServiceModel.Config config;
  private final SplittableRandom random;
  private final List<Command> log = new ArrayList<>();
  /** Commands taken and not done. */
  private final Set<InFlightCommand> pending = new LinkedHashSet<>();
  private final Set<EmulatedConnection> links = new LinkedHashSet<>();
  /** Newest connection of each client: the older ones' commands have no effect any more. */
  private final Map<String, Long> fences = new HashMap<>();
  private ServiceModel model;
  private boolean up = true;
  private long boot = 1;
  private long bornUs;

  EmulatedNode(int index, EventQueue time, ServiceModel.Config config, SplittableRandom random, long ageUs) {
    name = "store-" + index;
    this.index = index;
    this.time = time;
    this.config = config;
    this.random = random;
    bornUs = time.now() - ageUs;
    model = new ServiceModel(config, random.nextLong(), bornUs);
  }

  boolean isUp() {
    return up;
  }

  long boot() {
    return boot;
  }

  long ageUs() {
    return time.now() - bornUs;
  }

  void slow(double factor) {
    model.slow(factor);
  }

  void stall(long us) {
    model.stall(time.now() + us);
  }

  /** Its process ends: what it held is never done, its connections break. */
  void kill() {
    up = false;
    pending.forEach(f -> note(f, 0, Command.Result.SWALLOWED));
    pending.clear();
    fences.clear();
    List<EmulatedConnection> broken = List.copyOf(links);
    links.clear();
    broken.forEach(l -> l.toGateway(() -> l.close(true)));
  }

  /** Starts cold, with nothing of before but its bytes. */
  void start() {
    if (up) {
      kill();
    }
    up = true;
    boot++;
    bornUs = time.now();
    model = new ServiceModel(config, random.nextLong(), bornUs);
  }

  /** A connection is made; it is the fence of the client's older ones. */
  void connected(EmulatedConnection link) {
    links.add(link);
    fences.merge(link.client(), link.serial, Math::max);
  }

  boolean knows(EmulatedConnection link) {
    return links.contains(link);
  }

  void disconnected(EmulatedConnection link) {
    links.remove(link);
  }

  /** A command has come in. */
  void receive(InFlightCommand f) {
    f.receivedUs = time.now();
    if (faults.silent) {
      note(f, 0, Command.Result.SWALLOWED);
      return;
    }
    long at = faults.full || faults.draining
        ? -1
        : model.doneAt(time.now(), f.length, pending.size(), faults.heavyPart, faults.heavyFactor);
    if (at < 0) {
      note(f, 0, Command.Result.FULL);
      f.link.reply(f, hollyslip.HostScheduler.Result.FULL);
      return;
    }
    pending.add(f);
    time.at(at + (f.kind == Nbd.CMD_WRITE ? faults.lateWriteUs : 0), () -> finish(f));
  }

  private void finish(InFlightCommand f) {
    if (!pending.remove(f)) {
      return;
    }
    double chance = random.nextDouble();
    if (fences.getOrDefault(f.link.client(), 0L) > f.link.serial) {
      note(f, 0, Command.Result.FENCED);
    } else if (chance < faults.errors) {
      note(f, 0, Command.Result.ERROR);
      f.link.reply(f, hollyslip.HostScheduler.Result.ERROR);
    } else if (chance < faults.errors + faults.loseAnswers) {
      note(f, time.now(), Command.Result.DONE_SILENTLY);
    } else {
      note(f, time.now(), Command.Result.DONE);
      f.link.reply(f, hollyslip.HostScheduler.Result.OK);
    }
  }

  private void note(InFlightCommand f, long done, Command.Result result) {
    log.add(new Command(name, boot, f.link.process(), f.link.serial, f.cookie, f.export, f.kind, f.offset,
        f.length, f.receivedUs, done, f.mark, result, f.sentUs));
  }

  /** What reached it, once the run is over. */
  List<Command> log() {
    pending.forEach(f -> note(f, 0, Command.Result.SWALLOWED));
    pending.clear();
    return log;
  }
}
