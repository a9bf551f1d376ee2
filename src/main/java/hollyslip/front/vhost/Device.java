package hollyslip.front.vhost;

import hollyslip.engine.ClientMemory;
import hollyslip.engine.RequestIntake;
import hollyslip.engine.AdaptiveSpinner;
import hollyslip.front.sys.Linux;
import hollyslip.volume.Volume;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/** One client at one volume: the vhost-user back end of a virtio-blk device, on a thread of its own. What the
 * specification leaves to trust is checked; whatever the client does wrong stops this device and no other.
 *
 * <p>
 * Its life is here: {@link #turn} looks for work and sleeps, {@link #close} ends it. What the socket says is
 * in {@link Messages}, what the rings bring in {@link Requests}. */
final class Device implements Runnable {
  private static final Logger LOG = LoggerFactory.getLogger(Device.class);

  private final RequestIntake engine;
  private final long user;
  private final int socket;
  private final int wake;
  private final Runnable ended;
  private final Messages messages;
  private final Requests requests;
  private final Linux.Poll poll = new Linux.Poll();
  private final Runnable roomListener = this::wake;
  private final AdaptiveSpinner spin = new AdaptiveSpinner();
  private final BooleanSupplier work;
  private volatile Volume volume;
  private volatile boolean grown;
  private volatile boolean retired;
  private volatile boolean sleeping;
  private volatile boolean over;
  private boolean wakeClosed;
  private int quiet;

  Device(RequestIntake engine, Volume volume, int socket, long user, Runnable ended) throws IOException {
    this.engine = engine;
    this.user = user;
    this.volume = volume;
    this.socket = socket;
    this.ended = ended;
    wake = Linux.eventfd();
    messages = new Messages(socket, () -> this.volume);
    requests = new Requests(engine, messages, () -> this.volume, this::wake);
    work = () -> requests.answersWait() || requests.anyMore();
  }

  /** Ends the device since its volume is gone; from another thread. */
  void retire() {
    retired = true;
    stop();
  }

  /** User number of the client. */
  long user() {
    return user;
  }

  /** The volume has another size. From any thread. */
  void resized(Volume next) {
    volume = next;
    grown = true;
    signal();
  }

  /** Ends the device from another thread. */
  void stop() {
    over = true;
    signal();
  }

  private void wake() {
    if (sleeping) {
      sleeping = false;
      signal();
    }
  }

  /** Answers may come when the device is gone and its descriptor's number means something else. */
  private synchronized void signal() {
    if (!wakeClosed) {
      Linux.signal(wake);
    }
  }

  private synchronized void closeWake() {
    wakeClosed = true;
    Linux.closeAll(wake);
  }

  @Override
  public void run() {
    engine.addCapacityListener(roomListener);
    String why = "memory region: cut short while in use";
    try {
      why = serve();
    } catch (InternalError e) {
      line(LOG.atWarn()).addKeyValue("field", why).log("device.stopped");
    }
    ClientMemory.hasNoPendingFault();
    close(why);
  }

  /** Serves until the end, and says why it came. A fault in shared memory (the client cut its file short
   * after the check at mapping) leaves this as an {@code InternalError}. The JVM tells of it some time after
   * the touch, which then has read anything: so what was read may break a rule first, and the error come
   * while that is being caught. */
  private String serve() {
    try {
      while (!over) {
        turn();
      }
      if (retired) {
        requests.lastTurn();
        return "the volume is removed";
      }
      return "the gateway ends";
    } catch (Violation e) {
      line(LOG.atWarn()).addKeyValue("field", e.getMessage()).log("device.stopped");
      return e.getMessage();
    } catch (Messages.Closed e) {
      return "the client left";
    } catch (IOException | RuntimeException e) {
      line(LOG.atWarn()).addKeyValue("why", e.toString()).log("device.stopped");
      return e.toString();
    }
  }

  private void turn() throws IOException {
    boolean worked = requests.give();
    if (grown) {
      grown = false;
      messages.tellGrown();
    }
    for (Ring r : messages.rings()) {
      worked |= r.queue != null && requests.take(r);
    }
    if (worked) {
      looksAt(0);
      return;
    }
    boolean seen = spin.spinUntil(Long.MAX_VALUE, work);
    settle();
    if (seen) {
      return;
    }
    sleeping = true;
    boolean more = requests.roomNow() | requests.anyMoreOrKick() | requests.answersWait() | over | grown;
    settle();
    looksAt(more ? 0 : -1);
    sleeping = false;
  }

  /** What was looked at may be gone, and anything seen for that reason. The JVM would tell only once this
   * thread calls into it: when a sleep that has no end is over, or never, where one look sees work and the
   * next does not. Harm: some tens of ns after each look in vain. */
  private static void settle() {
    Violation.check(ClientMemory.hasNoPendingFault(), "memory region: cut short while in use");
  }

  /** Waits for kicks, letters and messages. While there is work, the socket is looked at now and then. */
  private void looksAt(int ms) throws IOException {
    if (ms == 0 && ++quiet % 64 != 0 && !messages.rings().isEmpty() && messages.draining() == null) {
      return;
    }
    poll.clear();
    poll.add(wake);
    if (messages.draining() == null) {
      poll.add(socket);
    }
    int first = messages.draining() == null ? 2 : 1;
    List<Ring> kicked = new ArrayList<>();
    for (Ring r : messages.rings()) {
      if (r.kick >= 0) {
        poll.add(r.kick);
        kicked.add(r);
      }
    }
    poll.await(ms);
    if (poll.events(0) != 0) {
      Linux.drain(wake);
    }
    for (int i = 0; i < kicked.size(); i++) {
      if (poll.events(first + i) != 0) {
        Linux.drain(kicked.get(i).kick);
        messages.start(kicked.get(i));
      }
    }
    if (messages.draining() == null && poll.events(1) != 0) {
      messages.receive();
    }
  }

  /** Departs what is in flight and closes all. */
  private void close(String why) {
    engine.removeCapacityListener(roomListener);
    over = true;
    int left = requests.depart();
    messages.close();
    line(LOG.atInfo()).addKeyValue("inflight", left).addKeyValue("why", why).log("device.closed");
    closeWake();
    ended.run();
  }

  private LoggingEventBuilder line(LoggingEventBuilder to) {
    return to.addKeyValue("volume", volume.name()).addKeyValue("tenant", volume.tenant());
  }
}
