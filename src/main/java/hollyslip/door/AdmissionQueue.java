package hollyslip.door;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeSet;

/** The queue in front of the module: fair among tenants, then among the volumes of each, by start-time fair
 * queueing with weights. It lets so many requests in at a time, and holds so many at most; state is kept only
 * for who has a request waiting or inside, so memory is bounded by those two figures, however many clients
 * there are, and nothing is shared by chance as hashed buckets would.
 *
 * <p>
 * A full door turns away the newest request of the tenant that has most waiting for its weight, never one of
 * a tenant below its part. Who is turned away is told when its line will have drained, one after the other,
 * so that those who come back as told find it short; while such appointments stand, who comes without one
 * gets the next. Appointments are known by hashed owners ({@link RetryReservations}), the one place where chance
 * comes in. Times are us. Free of I/O, clock and threads.
 *
 * @param <T>
 *          a request */
public final class AdmissionQueue<T> {
  /** Span over which a drain rate is averaged, us. */
  private static final double RATE_AVERAGING_US = 1e6;

  /** Whose a request is; weights are shares, of the tenant among tenants and of the volume within its
   * tenant. */
  public record Owner(String tenant, double tenantWeight, long volume, double volumeWeight) {}

  /** A request turned away, and when to come back, us from now. */
  public record Rejected<T>(T item, long retryInUs) {}

  /** A request's place; it is the owner's handle to {@link #cancel} and {@link #release}. */
  public static final class Ticket<T> {
    private final T item;
    private final double cost;
    private final VolumeFlow<T> flow;
    private final boolean hasReservation;
    private boolean waiting = true;
    private boolean admitted;

    private Ticket(T item, double cost, boolean appointed, VolumeFlow<T> line) {
      this.item = item;
      this.cost = cost;
      this.hasReservation = appointed;
      this.flow = line;
    }

    public T item() {
      return item;
    }

    /** Whether it still waits at the door. */
    public boolean waiting() {
      return waiting;
    }
  }

  /** Something that is served in turn, by its start tag. */
  private abstract static class Flow implements Comparable<Flow> {
    final long sequence;
    double weight;
    double startTag;
    int admitted;
    int waiting;

    Flow(long number) {
      this.sequence = number;
    }

    @Override
    public int compareTo(Flow o) {
      return startTag != o.startTag ? Double.compare(startTag, o.startTag) : Long.compare(sequence, o.sequence);
    }
  }

  /** A volume's. */
  private static final class VolumeFlow<T> extends Flow {
    final long volume;
    final TenantFlow<T> tenant;
    final ArrayDeque<Ticket<T>> tickets = new ArrayDeque<>(1);

    VolumeFlow(long number, long volume, TenantFlow<T> tenant) {
      super(number);
      this.volume = volume;
      this.tenant = tenant;
    }
  }

  /** A tenant's. */
  private static final class TenantFlow<T> extends Flow {
    final String name;
    final Map<Long, VolumeFlow<T>> volumes = new LinkedHashMap<>();
    final TreeSet<VolumeFlow<T>> ready = new TreeSet<>();
    final DrainRate drainRate = new DrainRate();
    double virtualTime;
    double waitingCost;
    long reservedUntil;

    TenantFlow(long number, String name) {
      super(number);
      this.name = name;
    }
  }

  /** Cost a us while there was something to drain; recent times count most. The first drain after an empty
   * line tells nothing: how long it took was up to who came. */
  private static final class DrainRate {
    private double drainedCost, drainUs;
    private long lastDrainAt;
    private boolean firstDrain;

    void startBusyPeriod() {
      firstDrain = true;
    }

    void addDrain(double more, long now) {
      if (!firstDrain) {
        double keep = Math.exp((lastDrainAt - now) / RATE_AVERAGING_US);
        drainedCost = drainedCost * keep + more;
        drainUs = drainUs * keep + now - lastDrainAt;
      }
      firstDrain = false;
      lastDrainAt = now;
    }

    double costPerUs() {
      return drainUs > 0 ? drainedCost / drainUs : 0;
    }
  }

  private final int maxWaiting;
  private int maxAdmitted;
  private final Map<String, TenantFlow<T>> tenants = new LinkedHashMap<>();
  private final TreeSet<TenantFlow<T>> ready = new TreeSet<>();
  private final DrainRate drainRate = new DrainRate();
  private double virtualTime;
  private double waitingCost;
  private int waiting, admitted;
  private long nextSequence;
  private long reservedUntil;
  private final RetryReservations reservations = new RetryReservations();
  private Ticket<T> lastEnqueued;

  /** @param mostWaiting
   *          requests held at the door at most
   * @param room
   *          requests let in at a time */
  public AdmissionQueue(int mostWaiting, int room) {
    this.maxWaiting = Math.max(1, mostWaiting);
    this.maxAdmitted = Math.max(1, room);
  }

  /** How many may be inside from now on. */
  public void setMaxAdmitted(int next) {
    maxAdmitted = Math.max(1, next);
  }

  public int waiting() {
    return waiting;
  }

  public int admitted() {
    return admitted;
  }

  /** Tenants and volumes that state is kept for. */
  public int flowCount() {
    return tenants.size() + tenants.values().stream().mapToInt(t -> t.volumes.size()).sum();
  }

  private VolumeFlow<T> flowOf(Owner owner) {
    TenantFlow<T> t = tenants.get(owner.tenant());
    if (t == null) {
      t = new TenantFlow<>(nextSequence++, owner.tenant());
      tenants.put(owner.tenant(), t);
    }
    VolumeFlow<T> line = t.volumes.get(owner.volume());
    if (line == null) {
      line = new VolumeFlow<>(nextSequence++, owner.volume(), t);
      t.volumes.put(owner.volume(), line);
    }
    return line;
  }

  /** Lets a request straight in, if nobody waits or is told to come back and there is room; else null, and it
   * is to {@link #enqueue}. */
  public Ticket<T> tryAdmit(long now, T item, Owner owner, double cost) {
    if (waiting > 0 || admitted >= maxAdmitted || reservedUntil > now) {
      return null;
    }
    VolumeFlow<T> line = flowOf(owner);
    if (line.tenant.reservedUntil > now) {
      removeIfIdle(line);
      return null;
    }
    return admitDirectly(new Ticket<>(item, cost, false, line), owner);
  }

  /** A request comes to the door and waits there. */
  public Ticket<T> enqueue(long now, T item, Owner owner, double cost) {
    return append(now, new Ticket<>(item, cost, reservations.consume(now, owner.tenant(), owner.volume()), flowOf(
        owner)), owner);
  }

  private Ticket<T> admitDirectly(Ticket<T> place, Owner owner) {
    VolumeFlow<T> line = place.flow;
    TenantFlow<T> t = line.tenant;
    t.weight = owner.tenantWeight();
    line.weight = owner.volumeWeight();
    t.startTag = Math.max(t.startTag, virtualTime);
    line.startTag = Math.max(line.startTag, t.virtualTime);
    place.waiting = false;
    recordAdmission(place);
    return place;
  }

  private Ticket<T> append(long now, Ticket<T> place, Owner owner) {
    VolumeFlow<T> line = place.flow;
    TenantFlow<T> t = line.tenant;
    ready.remove(t);
    t.ready.remove(line);
    t.weight = owner.tenantWeight();
    line.weight = owner.volumeWeight();
    lastEnqueued = place;
    if (t.waiting == 0) {
      t.startTag = Math.max(t.startTag, virtualTime);
      t.drainRate.startBusyPeriod();
    }
    if (line.waiting == 0) {
      line.startTag = Math.max(line.startTag, t.virtualTime);
    }
    if (waiting == 0) {
      drainRate.startBusyPeriod();
    }
    line.tickets.add(place);
    addWaiting(line, 1, place.cost);
    t.ready.add(line);
    ready.add(t);
    return place;
  }

  /** Goes in: the tags move on. */
  private void recordAdmission(Ticket<T> place) {
    VolumeFlow<T> line = place.flow;
    TenantFlow<T> t = line.tenant;
    virtualTime = t.startTag;
    t.virtualTime = line.startTag;
    t.startTag += place.cost / t.weight;
    line.startTag += place.cost / line.weight;
    place.admitted = true;
    admitted++;
    t.admitted++;
    line.admitted++;
  }

  private void addWaiting(VolumeFlow<T> line, int n, double cost) {
    line.waiting += n;
    line.tenant.waiting += n;
    line.tenant.waitingCost += cost;
    waiting += n;
    waitingCost += cost;
  }

  /** Whom the door turns away now since it holds too many; null: nobody. To be asked after each
   * {@link #enqueue}. */
  public Rejected<T> pollRejected(long now) {
    Ticket<T> place = lastEnqueued;
    lastEnqueued = null;
    boolean early = place != null && place.waiting && !place.hasReservation && hasOutstandingReservations(now, place.flow.tenant);
    if (!early && waiting <= maxWaiting) {
      return null;
    }
    Ticket<T> last = early ? place : lastTicket(longestFlow());
    cancel(last);
    return new Rejected<>(last.item, reserveRetry(now, last));
  }

  /** Whether those who were told to come back to this tenant's line, or to the door by way of none, are still
   * to come. */
  private boolean hasOutstandingReservations(long now, TenantFlow<T> t) {
    return (usesOwnRate(t) ? t.reservedUntil : reservedUntil) > now;
  }

  /** A tenant with a line has a rate of its own; the others go by that of the door. */
  private boolean usesOwnRate(TenantFlow<T> t) {
    return t.drainRate.costPerUs() > 0 && (t.waiting > 1 || t.reservedUntil > 0);
  }

  /** The line that is longest for its weight, of the tenant that has most for its weight; the newest of
   * equals. */
  private VolumeFlow<T> longestFlow() {
    TenantFlow<T> most = null;
    for (TenantFlow<T> t : tenants.values()) {
      if (t.waiting > 0 && (most == null || t.waiting / t.weight >= most.waiting / most.weight)) {
        most = t;
      }
    }
    VolumeFlow<T> longest = null;
    for (VolumeFlow<T> l : most.volumes.values()) {
      if (l.waiting > 0 && (longest == null || l.waiting / l.weight >= longest.waiting / longest.weight)) {
        longest = l;
      }
    }
    return longest;
  }

  private Ticket<T> lastTicket(VolumeFlow<T> line) {
    while (!line.tickets.peekLast().waiting) {
      line.tickets.pollLast();
    }
    return line.tickets.peekLast();
  }

  /** When the line will have drained, after those who were told so before. */
  private long reserveRetry(long now, Ticket<T> place) {
    TenantFlow<T> t = place.flow.tenant;
    boolean own = usesOwnRate(t);
    double perUs = own ? t.drainRate.costPerUs() : drainRate.costPerUs();
    if (perUs <= 0) {
      return 0;
    }
    long drained = now + (long) ((own ? t.waitingCost : waitingCost) / perUs);
    long at = Math.max(drained, own ? t.reservedUntil : reservedUntil);
    long until = at + (long) Math.ceil(place.cost / perUs);
    if (own) {
      t.reservedUntil = until;
    } else {
      reservedUntil = until;
    }
    reservations.reserve(now, at, t.name, place.flow.volume);
    return at - now;
  }

  /** The next to be let in; null: nobody, or there is no room. Beyond the room, up to twice of it, only those
   * get in who have less than their even part inside, of the tenants or, up to half as much, of their
   * tenant's volumes: what is inside may be kept there by a limit or a node that is away, and nobody else
   * waits for that. */
  public Ticket<T> pollAdmitted(long now) {
    if (waiting == 0 || admitted >= 2 * maxAdmitted) {
      return null;
    }
    if (admitted < maxAdmitted) {
      TenantFlow<T> t = ready.first();
      return admit(now, t, t.ready.first());
    }
    int part = Math.max(1, maxAdmitted / tenants.size());
    boolean siblings = admitted < maxAdmitted + maxAdmitted / 2;
    for (TenantFlow<T> t : ready) {
      int each = Math.max(1, part / t.volumes.size());
      for (VolumeFlow<T> l : t.ready) {
        if (t.admitted < part || siblings && l.admitted < each) {
          return admit(now, t, l);
        }
      }
    }
    return null;
  }

  private Ticket<T> admit(long now, TenantFlow<T> t, VolumeFlow<T> line) {
    Ticket<T> place = line.tickets.poll();
    while (!place.waiting) {
      place = line.tickets.poll();
    }
    ready.remove(t);
    t.ready.remove(line);
    recordAdmission(place);
    place.waiting = false;
    addWaiting(line, -1, -place.cost);
    t.drainRate.addDrain(place.cost, now);
    drainRate.addDrain(place.cost, now);
    if (line.waiting > 0) {
      t.ready.add(line);
    }
    if (t.waiting > 0) {
      ready.add(t);
    }
    return place;
  }

  /** A request leaves the door before it was let in. */
  public void cancel(Ticket<T> place) {
    if (!place.waiting) {
      return;
    }
    place.waiting = false;
    VolumeFlow<T> line = place.flow;
    addWaiting(line, -1, -place.cost);
    if (line.waiting == 0) {
      line.tickets.clear();
      line.tenant.ready.remove(line);
    }
    if (line.tenant.waiting == 0) {
      ready.remove(line.tenant);
    }
    removeIfIdle(line);
  }

  /** A request that was let in needs its place no more; again changes nothing. */
  public void release(Ticket<T> place) {
    if (place.admitted) {
      place.admitted = false;
      admitted--;
      place.flow.admitted--;
      place.flow.tenant.admitted--;
      removeIfIdle(place.flow);
    }
  }

  /** Who has nothing waiting nor inside is forgotten; a tag that is ahead is lost, at most one request. */
  private void removeIfIdle(VolumeFlow<T> line) {
    TenantFlow<T> t = line.tenant;
    if (line.waiting == 0 && line.admitted == 0) {
      t.volumes.remove(line.volume, line);
    }
    if (t.waiting == 0 && t.admitted == 0 && t.volumes.isEmpty()) {
      tenants.remove(t.name, t);
    }
  }
}
