package hollyslip.emulator;

import hollyslip.HostScheduler.Result;
import hollyslip.engine.Attempt;
import hollyslip.engine.NodeTransport;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;

/** The nodes as one start of a gateway's engine reaches them, in place of the product's connections: a link
 * each, made when it is needed, fences by making a newer one. */
final class EmulatedTransport implements NodeTransport {
  private final EmulatedGateway site;
  private final long epoch;
  private final EmulatedConnection[] links;
  /** Changes of dead links that may still run, by node and serial. */
  private final List<TreeMap<Long, List<InFlightCommand>>> doubts;
  private long serials;
  /** The process is gone: nothing reaches it any more. */
  private boolean dead;

  EmulatedTransport(EmulatedGateway site, long epoch) {
    this.site = site;
    this.epoch = epoch;
    links = new EmulatedConnection[site.world.disks().size()];
    doubts = site.world.disks().stream().map(d -> new TreeMap<Long, List<InFlightCommand>>()).toList();
  }

  String client() {
    return site.name;
  }

  String process() {
    return site.name + "/" + epoch;
  }

  /** When something that leaves now arrives. */
  long arrival(EmulatedNode disk) {
    return site.arrival(disk);
  }

  /** Something reaches the gateway. */
  void told(Runnable what) {
    if (!dead) {
      site.input(what);
    }
  }

  boolean started(EmulatedNode disk, long boot, long ageUs) {
    return site.started(disk, boot, ageUs);
  }

  void outcome(InFlightCommand f, Result result) {
    f.told = true;
    site.engine().attemptEnded(f.attempt, result, null);
  }

  void resolved(InFlightCommand f) {
    site.engine().attemptResolved(f.attempt);
  }

  private EmulatedNode disk(long node) {
    return site.world.disks().get((int) node - 1);
  }

  @Override
  public void send(Attempt attempt) {
    EmulatedNode disk = disk(attempt.node());
    EmulatedConnection link = links[disk.index];
    if (link == null || link.isClosed()) {
      link = open(disk);
    }
    InFlightCommand f = new InFlightCommand(attempt, link);
    attempt.handle = f;
    if (link.size() >= site.mostOut()) {
      outcome(f, Result.FULL);
    } else {
      link.add(f);
    }
  }

  private EmulatedConnection open(EmulatedNode disk) {
    EmulatedConnection link = new EmulatedConnection(this, disk, epoch << 32 | ++serials, site.world.time);
    links[disk.index] = link;
    link.connect(site.connectTimeoutUs());
    return link;
  }

  @Override
  public WithdrawResult withdraw(Attempt attempt) {
    InFlightCommand f = (InFlightCommand) attempt.handle;
    if (f.told) {
      return WithdrawResult.ENDED;
    }
    if (f.link.takeBack(f)) {
      f.told = true;
      return WithdrawResult.NEVER_SENT;
    }
    f.withdrawn = true;
    f.told = true;
    return WithdrawResult.MAY_RUN;
  }

  @Override
  public void fence(Attempt attempt) {
    InFlightCommand f = (InFlightCommand) attempt.handle;
    if (!f.link.isClosed()) {
      f.link.close(false);
    } else {
      reopen(f.link.disk);
    }
  }

  /** A newer link was made: what older ones brought can have no effect any more. */
  void fenced(EmulatedNode disk, long serial) {
    var older = doubts.get(disk.index).headMap(serial);
    List<InFlightCommand> over = older.values().stream().flatMap(List::stream).toList();
    older.clear();
    over.forEach(this::resolved);
  }

  /** A link has ended with these changes out. */
  void lost(EmulatedConnection link, List<InFlightCommand> doubt) {
    if (links[link.disk.index] == link) {
      links[link.disk.index] = null;
    }
    if (!doubt.isEmpty()) {
      doubts.get(link.disk.index).put(link.serial, doubt);
      reopen(link.disk);
    } else if (!doubts.get(link.disk.index).isEmpty()) {
      site.world.time.in(site.connectTimeoutUs(), () -> told(() -> reopen(link.disk)));
    }
  }

  private void reopen(EmulatedNode disk) {
    if (!doubts.get(disk.index).isEmpty() && links[disk.index] == null) {
      open(disk);
    }
  }

  @Override
  public void probe(long node) {
    EmulatedNode disk = disk(node);
    long from = site.world.time.now();
    boolean up = disk.isUp() && !disk.faults.silent;
    site.world.time.at(arrival(disk) * 2 - from, () -> told(() -> site.engine()
        .probeEnded(node, up ? Result.OK : Result.CONNECT_FAILED, site.world.time.now() - from, null)));
  }

  @Override
  public void flush() {
    // Links send at once.
  }

  @Override
  public void watchNodeList() {
    site.wanted();
  }

  @Override
  public void close() {
    dead = true;
    Arrays.stream(links).filter(l -> l != null).forEach(l -> l.disk.disconnected(l));
  }
}
