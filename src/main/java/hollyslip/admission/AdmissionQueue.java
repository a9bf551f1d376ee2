package hollyslip.admission;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeSet;

/** Admission queue in front of the scheduler: start-time fair queueing with weights, among tenants and then
 * among the volumes of each. It limits how many requests are admitted at a time and how many wait. State is
 * kept only for tenants and volumes with a request waiting or admitted, so memory is bounded by those two
 * limits however many clients there are, and no two of them share a queue by chance, as hashed buckets would
 * have it.
 *
 * <p>
 * When the queue is full, it rejects the newest request of the tenant with the most waiting requests for its
 * weight, never one of a tenant below its share. A rejected client is told when its queue will have drained;
 * these times are handed out one after another, so that clients that retry as told find the queue short.
 * While such reservations are outstanding, a request that arrives without one is rejected with the next one.
 * Reservations are stored by a hash of their owner ({@link RetryReservations}), the only place where
 * collisions can occur. Times are us. Without I/O, clock or threads.
 *
 * @param <T>
 *          a request */
public final class AdmissionQueue<T> {
  /** Time constant of the averaged drain rate, us. */
  private static final double RATE_AVERAGING_US = 1e6;

  /** Owner of a request; the weights are shares of the tenant among tenants and of the volume within its
   * tenant. */
  public record Owner(String tenant, double tenantWeight, long volume, double volumeWeight) {}

  /** A rejected request, and when its client should retry, us from now. */
  public record Rejected<T>(T item, long retryAfterUs) {}

  /** Handle to a request in the queue, for {@link #cancel} and {@link #release}. */
  public static final class Ticket<T> {
    private final T item;
    private final double cost;
    private final VolumeFlow<T> flow;
    private final boolean hasReservation;
    private boolean waiting = true;
    private boolean admitted;

    private Ticket(T item, double cost, boolean hasReservation, VolumeFlow<T> flow) {
      this.item = item;
      this.cost = cost;
      this.hasReservation = hasReservation;
      this.flow = flow;
    }

    public T item() {
      return item;
    }

    /** Whether the request still waits for admission. */
    public boolean waiting() {
      return waiting;
    }
  }

  /** A queue or group of queues, served in order of start tags. */
  private abstract static class Flow implements Comparable<Flow> {
    final long sequence;
    double weight;
    double startTag;
    int admitted;
    int waiting;

    Flow(long sequence) {
      this.sequence = sequence;
    }

    @Override
    public int compareTo(Flow other) {
      return startTag != other.startTag
          ? Double.compare(startTag, other.startTag)
          : Long.compare(sequence, other.sequence);
    }
  }

  /** The requests of one volume. */
  private static final class VolumeFlow<T> extends Flow {
    final long volume;
    final TenantFlow<T> tenant;
    final ArrayDeque<Ticket<T>> tickets = new ArrayDeque<>(1);

    VolumeFlow(long sequence, long volume, TenantFlow<T> tenant) {
      super(sequence);
      this.volume = volume;
      this.tenant = tenant;
    }
  }

  /** The volumes of one tenant. */
  private static final class TenantFlow<T> extends Flow {
    final String name;
    final Map<Long, VolumeFlow<T>> volumes = new LinkedHashMap<>();
    final TreeSet<VolumeFlow<T>> ready = new TreeSet<>();
    final DrainRate drainRate = new DrainRate();
    double virtualTime;
    double waitingCost;
    long reservedUntil;

    TenantFlow(long sequence, String name) {
      super(sequence);
      this.name = name;
    }
  }

  /** Exponentially weighted drain rate, cost per us, over times with requests waiting. The first drain of a
   * busy period is not measured, because the time before it depends on when requests arrived. */
  private static final class DrainRate {
    private double drainedCost, drainUs;
    private long lastDrainAt;
    private boolean firstDrain;

    void startBusyPeriod() {
      firstDrain = true;
    }

    void addDrain(double cost, long now) {
      if (!firstDrain) {
        double decay = Math.exp((lastDrainAt - now) / RATE_AVERAGING_US);
        drainedCost = drainedCost * decay + cost;
        drainUs = drainUs * decay + now - lastDrainAt;
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

  /** @param maxWaiting
   *          maximum number of waiting requests
   * @param maxAdmitted
   *          number of requests admitted at a time */
  public AdmissionQueue(int maxWaiting, int maxAdmitted) {
    this.maxWaiting = Math.max(1, maxWaiting);
    this.maxAdmitted = Math.max(1, maxAdmitted);
  }

  /** Sets the number of requests admitted at a time. */
  public void setMaxAdmitted(int limit) {
    maxAdmitted = Math.max(1, limit);
  }

  public int waiting() {
    return waiting;
  }

  public int admitted() {
    return admitted;
  }

  /** Number of tenants and volumes for which state is kept. */
  public int flowCount() {
    return tenants.size() + tenants.values().stream().mapToInt(tenant -> tenant.volumes.size()).sum();
  }

  private VolumeFlow<T> flowOf(Owner owner) {
    TenantFlow<T> tenant = tenants.get(owner.tenant());
    if (tenant == null) {
      tenant = new TenantFlow<>(nextSequence++, owner.tenant());
      tenants.put(owner.tenant(), tenant);
    }
    VolumeFlow<T> flow = tenant.volumes.get(owner.volume());
    if (flow == null) {
      flow = new VolumeFlow<>(nextSequence++, owner.volume(), tenant);
      tenant.volumes.put(owner.volume(), flow);
    }
    return flow;
  }

  /** Admits a request at once if no request waits, no reservation is outstanding and there is capacity;
   * otherwise returns null, and the caller has to {@link #enqueue} it. */
  public Ticket<T> tryAdmit(long now, T item, Owner owner, double cost) {
    if (waiting > 0 || admitted >= maxAdmitted || reservedUntil > now) {
      return null;
    }
    VolumeFlow<T> flow = flowOf(owner);
    if (flow.tenant.reservedUntil > now) {
      removeIfIdle(flow);
      return null;
    }
    return admitDirectly(new Ticket<>(item, cost, false, flow), owner);
  }

  /** Appends a request to its volume's queue. */
  public Ticket<T> enqueue(long now, T item, Owner owner, double cost) {
    return append(now, new Ticket<>(item, cost, reservations.consume(now, owner.tenant(), owner.volume()),
        flowOf(owner)), owner);
  }

  private Ticket<T> admitDirectly(Ticket<T> ticket, Owner owner) {
    VolumeFlow<T> flow = ticket.flow;
    TenantFlow<T> tenant = flow.tenant;
    tenant.weight = owner.tenantWeight();
    flow.weight = owner.volumeWeight();
    tenant.startTag = Math.max(tenant.startTag, virtualTime);
    flow.startTag = Math.max(flow.startTag, tenant.virtualTime);
    ticket.waiting = false;
    recordAdmission(ticket);
    return ticket;
  }

  private Ticket<T> append(long now, Ticket<T> ticket, Owner owner) {
    VolumeFlow<T> flow = ticket.flow;
    TenantFlow<T> tenant = flow.tenant;
    ready.remove(tenant);
    tenant.ready.remove(flow);
    tenant.weight = owner.tenantWeight();
    flow.weight = owner.volumeWeight();
    lastEnqueued = ticket;
    if (tenant.waiting == 0) {
      tenant.startTag = Math.max(tenant.startTag, virtualTime);
      tenant.drainRate.startBusyPeriod();
    }
    if (flow.waiting == 0) {
      flow.startTag = Math.max(flow.startTag, tenant.virtualTime);
    }
    if (waiting == 0) {
      drainRate.startBusyPeriod();
    }
    flow.tickets.add(ticket);
    addWaiting(flow, 1, ticket.cost);
    tenant.ready.add(flow);
    ready.add(tenant);
    return ticket;
  }

  /** Counts an admission and advances the virtual times and start tags. */
  private void recordAdmission(Ticket<T> ticket) {
    VolumeFlow<T> flow = ticket.flow;
    TenantFlow<T> tenant = flow.tenant;
    virtualTime = tenant.startTag;
    tenant.virtualTime = flow.startTag;
    tenant.startTag += ticket.cost / tenant.weight;
    flow.startTag += ticket.cost / flow.weight;
    ticket.admitted = true;
    admitted++;
    tenant.admitted++;
    flow.admitted++;
  }

  private void addWaiting(VolumeFlow<T> flow, int delta, double cost) {
    flow.waiting += delta;
    flow.tenant.waiting += delta;
    flow.tenant.waitingCost += cost;
    waiting += delta;
    waitingCost += cost;
  }

  /** Removes and returns a request that must be rejected; null if there is none. Call after each
   * {@link #enqueue} until it returns null. */
  public Rejected<T> pollRejected(long now) {
    Ticket<T> ticket = lastEnqueued;
    lastEnqueued = null;
    boolean unreserved = ticket != null && ticket.waiting && !ticket.hasReservation
        && hasOutstandingReservations(now, ticket.flow.tenant);
    if (!unreserved && waiting <= maxWaiting) {
      return null;
    }
    Ticket<T> rejected = unreserved ? ticket : lastTicket(longestFlow());
    cancel(rejected);
    return new Rejected<>(rejected.item, reserveRetry(now, rejected));
  }

  /** Whether retries that were reserved for this tenant, or for the whole queue if it has no rate of its own,
   * are still outstanding. */
  private boolean hasOutstandingReservations(long now, TenantFlow<T> tenant) {
    return (usesOwnRate(tenant) ? tenant.reservedUntil : reservedUntil) > now;
  }

  /** Whether retry times come from the tenant's own drain rate, which only a tenant with a backlog has, or
   * from that of the whole queue. */
  private boolean usesOwnRate(TenantFlow<T> tenant) {
    return tenant.drainRate.costPerUs() > 0 && (tenant.waiting > 1 || tenant.reservedUntil > 0);
  }

  /** Of the tenant with the most waiting requests for its weight, the volume with the most for its weight;
   * the newest of equals. */
  private VolumeFlow<T> longestFlow() {
    TenantFlow<T> longestTenant = null;
    for (TenantFlow<T> tenant : tenants.values()) {
      if (tenant.waiting > 0 && (longestTenant == null
          || tenant.waiting / tenant.weight >= longestTenant.waiting / longestTenant.weight)) {
        longestTenant = tenant;
      }
    }
    VolumeFlow<T> longest = null;
    for (VolumeFlow<T> flow : longestTenant.volumes.values()) {
      if (flow.waiting > 0 && (longest == null
          || flow.waiting / flow.weight >= longest.waiting / longest.weight)) {
        longest = flow;
      }
    }
    return longest;
  }

  private Ticket<T> lastTicket(VolumeFlow<T> flow) {
    while (!flow.tickets.peekLast().waiting) {
      flow.tickets.pollLast();
    }
    return flow.tickets.peekLast();
  }

  /** Reserves a retry for when the queue will have drained, after the retries reserved before; returns the
   * delay, us. */
  private long reserveRetry(long now, Ticket<T> ticket) {
    TenantFlow<T> tenant = ticket.flow.tenant;
    boolean ownRate = usesOwnRate(tenant);
    double perUs = ownRate ? tenant.drainRate.costPerUs() : drainRate.costPerUs();
    if (perUs <= 0) {
      return 0;
    }
    long drained = now + (long) ((ownRate ? tenant.waitingCost : waitingCost) / perUs);
    long retryAt = Math.max(drained, ownRate ? tenant.reservedUntil : reservedUntil);
    long end = retryAt + (long) Math.ceil(ticket.cost / perUs);
    if (ownRate) {
      tenant.reservedUntil = end;
    } else {
      reservedUntil = end;
    }
    reservations.reserve(now, retryAt, tenant.name, ticket.flow.volume);
    return retryAt - now;
  }

  /** Removes and returns the next request to admit; null if there is none or no capacity. Once
   * {@link #admitted} has reached the limit, only those below an even share are admitted: up to twice the
   * limit, a tenant with less than an even share of the limit; up to one and a half times, also a volume with
   * less than an even part of its tenant's share. Admitted requests may be held up by a rate limit or an
   * unavailable node, and this keeps them from blocking everyone else. */
  public Ticket<T> pollAdmitted(long now) {
    if (waiting == 0 || admitted >= 2 * maxAdmitted) {
      return null;
    }
    if (admitted < maxAdmitted) {
      TenantFlow<T> tenant = ready.first();
      return admit(now, tenant, tenant.ready.first());
    }
    int tenantShare = Math.max(1, maxAdmitted / tenants.size());
    boolean withinTenant = admitted < maxAdmitted + maxAdmitted / 2;
    for (TenantFlow<T> tenant : ready) {
      int volumeShare = Math.max(1, tenantShare / tenant.volumes.size());
      for (VolumeFlow<T> flow : tenant.ready) {
        if (tenant.admitted < tenantShare || withinTenant && flow.admitted < volumeShare) {
          return admit(now, tenant, flow);
        }
      }
    }
    return null;
  }

  private Ticket<T> admit(long now, TenantFlow<T> tenant, VolumeFlow<T> flow) {
    Ticket<T> ticket = flow.tickets.poll();
    while (!ticket.waiting) {
      ticket = flow.tickets.poll();
    }
    ready.remove(tenant);
    tenant.ready.remove(flow);
    recordAdmission(ticket);
    ticket.waiting = false;
    addWaiting(flow, -1, -ticket.cost);
    tenant.drainRate.addDrain(ticket.cost, now);
    drainRate.addDrain(ticket.cost, now);
    if (flow.waiting > 0) {
      tenant.ready.add(flow);
    }
    if (tenant.waiting > 0) {
      ready.add(tenant);
    }
    return ticket;
  }

  /** Removes a request that has not been admitted. */
  public void cancel(Ticket<T> ticket) {
    if (!ticket.waiting) {
      return;
    }
    ticket.waiting = false;
    VolumeFlow<T> flow = ticket.flow;
    addWaiting(flow, -1, -ticket.cost);
    if (flow.waiting == 0) {
      flow.tickets.clear();
      flow.tenant.ready.remove(flow);
    }
    if (flow.tenant.waiting == 0) {
      ready.remove(flow.tenant);
    }
    removeIfIdle(flow);
  }

  /** Releases the capacity of an admitted request; idempotent. */
  public void release(Ticket<T> ticket) {
    if (ticket.admitted) {
      ticket.admitted = false;
      admitted--;
      ticket.flow.admitted--;
      ticket.flow.tenant.admitted--;
      removeIfIdle(ticket.flow);
    }
  }

  /** Drops the state of a volume and of a tenant with no request waiting or admitted. A start tag that is
   * ahead is lost, which gains its owner at most one request. */
  private void removeIfIdle(VolumeFlow<T> flow) {
    TenantFlow<T> tenant = flow.tenant;
    if (flow.waiting == 0 && flow.admitted == 0) {
      tenant.volumes.remove(flow.volume, flow);
    }
    if (tenant.waiting == 0 && tenant.admitted == 0 && tenant.volumes.isEmpty()) {
      tenants.remove(tenant.name, tenant);
    }
  }
}
