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
 * gets the next. Appointments are known by hashed owners ({@link Appointments}), the one place where chance
 * comes in. Times are us. Free of I/O, clock and threads.
 *
 * @param <T>
 *          a request */
public final class Door<T> {
  /** Span over which a drain rate is averaged, us. */
  private static final double SPAN = 1e6;

  /** Whose a request is; weights are shares, of the tenant among tenants and of the volume within its
   * tenant. */
  public record Owner(String tenant, double tenantWeight, long volume, double volumeWeight) {}

  /** A request turned away, and when to come back, us from now. */
  public record Turned<T>(T item, long retryInUs) {}

  /** A request's place; it is the owner's handle to {@link #leave} and {@link #left}. */
  public static final class Place<T> {
    private final T item;
    private final double cost;
    private final Line<T> line;
    private final boolean appointed;
    private boolean waiting = true;
    private boolean inside;

    private Place(T item, double cost, boolean appointed, Line<T> line) {
      this.item = item;
      this.cost = cost;
      this.appointed = appointed;
      this.line = line;
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
    final long number;
    double weight;
    double tag;
    int inside;
    int waiting;

    Flow(long number) {
      this.number = number;
    }

    @Override
    public int compareTo(Flow o) {
      return tag != o.tag ? Double.compare(tag, o.tag) : Long.compare(number, o.number);
    }
  }

  /** A volume's. */
  private static final class Line<T> extends Flow {
    final long volume;
    final Tenant<T> tenant;
    final ArrayDeque<Place<T>> places = new ArrayDeque<>(1);

    Line(long number, long volume, Tenant<T> tenant) {
      super(number);
      this.volume = volume;
      this.tenant = tenant;
    }
  }

  /** A tenant's. */
  private static final class Tenant<T> extends Flow {
    final String name;
    final Map<Long, Line<T>> lines = new LinkedHashMap<>();
    final TreeSet<Line<T>> ready = new TreeSet<>();
    final Rate rate = new Rate();
    double virtual;
    double waitingCost;
    long bookedUntil;

    Tenant(long number, String name) {
      super(number);
      this.name = name;
    }
  }

  /** Cost a us while there was something to drain; recent times count most. The first drain after an empty
   * line tells nothing: how long it took was up to who came. */
  private static final class Rate {
    private double cost, span;
    private long at;
    private boolean first;

    void begin() {
      first = true;
    }

    void drained(double more, long now) {
      if (!first) {
        double keep = Math.exp((at - now) / SPAN);
        cost = cost * keep + more;
        span = span * keep + now - at;
      }
      first = false;
      at = now;
    }

    double perUs() {
      return span > 0 ? cost / span : 0;
    }
  }

  private final int mostWaiting;
  private int room;
  private final Map<String, Tenant<T>> tenants = new LinkedHashMap<>();
  private final TreeSet<Tenant<T>> ready = new TreeSet<>();
  private final Rate rate = new Rate();
  private double virtual;
  private double waitingCost;
  private int waiting, inside;
  private long flows;
  private long bookedUntil;
  private final Appointments appointments = new Appointments();
  private Place<T> newest;

  /** @param mostWaiting
   *          requests held at the door at most
   * @param room
   *          requests let in at a time */
  public Door(int mostWaiting, int room) {
    this.mostWaiting = Math.max(1, mostWaiting);
    this.room = Math.max(1, room);
  }

  /** How many may be inside from now on. */
  public void room(int next) {
    room = Math.max(1, next);
  }

  public int waiting() {
    return waiting;
  }

  public int inside() {
    return inside;
  }

  /** Tenants and volumes that state is kept for. */
  public int flows() {
    return tenants.size() + tenants.values().stream().mapToInt(t -> t.lines.size()).sum();
  }

  private Line<T> line(Owner owner) {
    Tenant<T> t = tenants.get(owner.tenant());
    if (t == null) {
      t = new Tenant<>(flows++, owner.tenant());
      tenants.put(owner.tenant(), t);
    }
    Line<T> line = t.lines.get(owner.volume());
    if (line == null) {
      line = new Line<>(flows++, owner.volume(), t);
      t.lines.put(owner.volume(), line);
    }
    return line;
  }

  /** Lets a request straight in, if nobody waits or is told to come back and there is room; else null, and it
   * is to {@link #enter}. */
  public Place<T> pass(long now, T item, Owner owner, double cost) {
    if (waiting > 0 || inside >= room || bookedUntil > now) {
      return null;
    }
    Line<T> line = line(owner);
    if (line.tenant.bookedUntil > now) {
      forget(line);
      return null;
    }
    return straight(new Place<>(item, cost, false, line), owner);
  }

  /** A request comes to the door and waits there. */
  public Place<T> enter(long now, T item, Owner owner, double cost) {
    return queue(now, new Place<>(item, cost, appointments.keeps(now, owner.tenant(), owner.volume()), line(
        owner)), owner);
  }

  private Place<T> straight(Place<T> place, Owner owner) {
    Line<T> line = place.line;
    Tenant<T> t = line.tenant;
    t.weight = owner.tenantWeight();
    line.weight = owner.volumeWeight();
    t.tag = Math.max(t.tag, virtual);
    line.tag = Math.max(line.tag, t.virtual);
    place.waiting = false;
    step(place);
    return place;
  }

  private Place<T> queue(long now, Place<T> place, Owner owner) {
    Line<T> line = place.line;
    Tenant<T> t = line.tenant;
    ready.remove(t);
    t.ready.remove(line);
    t.weight = owner.tenantWeight();
    line.weight = owner.volumeWeight();
    newest = place;
    if (t.waiting == 0) {
      t.tag = Math.max(t.tag, virtual);
      t.rate.begin();
    }
    if (line.waiting == 0) {
      line.tag = Math.max(line.tag, t.virtual);
    }
    if (waiting == 0) {
      rate.begin();
    }
    line.places.add(place);
    count(line, 1, place.cost);
    t.ready.add(line);
    ready.add(t);
    return place;
  }

  /** Goes in: the tags move on. */
  private void step(Place<T> place) {
    Line<T> line = place.line;
    Tenant<T> t = line.tenant;
    virtual = t.tag;
    t.virtual = line.tag;
    t.tag += place.cost / t.weight;
    line.tag += place.cost / line.weight;
    place.inside = true;
    inside++;
    t.inside++;
    line.inside++;
  }

  private void count(Line<T> line, int n, double cost) {
    line.waiting += n;
    line.tenant.waiting += n;
    line.tenant.waitingCost += cost;
    waiting += n;
    waitingCost += cost;
  }

  /** Whom the door turns away now since it holds too many; null: nobody. To be asked after each
   * {@link #enter}. */
  public Turned<T> over(long now) {
    Place<T> place = newest;
    newest = null;
    boolean early = place != null && place.waiting && !place.appointed && booked(now, place.line.tenant);
    if (!early && waiting <= mostWaiting) {
      return null;
    }
    Place<T> last = early ? place : lastOf(longest());
    leave(last);
    return new Turned<>(last.item, advice(now, last));
  }

  /** Whether those who were told to come back to this tenant's line, or to the door by way of none, are still
   * to come. */
  private boolean booked(long now, Tenant<T> t) {
    return (own(t) ? t.bookedUntil : bookedUntil) > now;
  }

  /** A tenant with a line has a rate of its own; the others go by that of the door. */
  private boolean own(Tenant<T> t) {
    return t.rate.perUs() > 0 && (t.waiting > 1 || t.bookedUntil > 0);
  }

  /** The line that is longest for its weight, of the tenant that has most for its weight; the newest of
   * equals. */
  private Line<T> longest() {
    Tenant<T> most = null;
    for (Tenant<T> t : tenants.values()) {
      if (t.waiting > 0 && (most == null || t.waiting / t.weight >= most.waiting / most.weight)) {
        most = t;
      }
    }
    Line<T> longest = null;
    for (Line<T> l : most.lines.values()) {
      if (l.waiting > 0 && (longest == null || l.waiting / l.weight >= longest.waiting / longest.weight)) {
        longest = l;
      }
    }
    return longest;
  }

  private Place<T> lastOf(Line<T> line) {
    while (!line.places.peekLast().waiting) {
      line.places.pollLast();
    }
    return line.places.peekLast();
  }

  /** When the line will have drained, after those who were told so before. */
  private long advice(long now, Place<T> place) {
    Tenant<T> t = place.line.tenant;
    boolean own = own(t);
    double perUs = own ? t.rate.perUs() : rate.perUs();
    if (perUs <= 0) {
      return 0;
    }
    long drained = now + (long) ((own ? t.waitingCost : waitingCost) / perUs);
    long at = Math.max(drained, own ? t.bookedUntil : bookedUntil);
    long until = at + (long) Math.ceil(place.cost / perUs);
    if (own) {
      t.bookedUntil = until;
    } else {
      bookedUntil = until;
    }
    appointments.make(now, at, t.name, place.line.volume);
    return at - now;
  }

  /** The next to be let in; null: nobody, or there is no room. Beyond the room, up to twice of it, only those
   * get in who have less than their even part inside, of the tenants or, up to half as much, of their
   * tenant's volumes: what is inside may be kept there by a limit or a node that is away, and nobody else
   * waits for that. */
  public Place<T> next(long now) {
    if (waiting == 0 || inside >= 2 * room) {
      return null;
    }
    if (inside < room) {
      Tenant<T> t = ready.first();
      return let(now, t, t.ready.first());
    }
    int part = Math.max(1, room / tenants.size());
    boolean siblings = inside < room + room / 2;
    for (Tenant<T> t : ready) {
      int each = Math.max(1, part / t.lines.size());
      for (Line<T> l : t.ready) {
        if (t.inside < part || siblings && l.inside < each) {
          return let(now, t, l);
        }
      }
    }
    return null;
  }

  private Place<T> let(long now, Tenant<T> t, Line<T> line) {
    Place<T> place = line.places.poll();
    while (!place.waiting) {
      place = line.places.poll();
    }
    ready.remove(t);
    t.ready.remove(line);
    step(place);
    place.waiting = false;
    count(line, -1, -place.cost);
    t.rate.drained(place.cost, now);
    rate.drained(place.cost, now);
    if (line.waiting > 0) {
      t.ready.add(line);
    }
    if (t.waiting > 0) {
      ready.add(t);
    }
    return place;
  }

  /** A request leaves the door before it was let in. */
  public void leave(Place<T> place) {
    if (!place.waiting) {
      return;
    }
    place.waiting = false;
    Line<T> line = place.line;
    count(line, -1, -place.cost);
    if (line.waiting == 0) {
      line.places.clear();
      line.tenant.ready.remove(line);
    }
    if (line.tenant.waiting == 0) {
      ready.remove(line.tenant);
    }
    forget(line);
  }

  /** A request that was let in needs its place no more; again changes nothing. */
  public void left(Place<T> place) {
    if (place.inside) {
      place.inside = false;
      inside--;
      place.line.inside--;
      place.line.tenant.inside--;
      forget(place.line);
    }
  }

  /** Who has nothing waiting nor inside is forgotten; a tag that is ahead is lost, at most one request. */
  private void forget(Line<T> line) {
    Tenant<T> t = line.tenant;
    if (line.waiting == 0 && line.inside == 0) {
      t.lines.remove(line.volume, line);
    }
    if (t.waiting == 0 && t.inside == 0 && t.lines.isEmpty()) {
      tenants.remove(t.name, t);
    }
  }
}
