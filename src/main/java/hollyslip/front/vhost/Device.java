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
 * Its life is here: {@link #runTurn} looks for work and sleeps, {@link #close} ends it. What the socket says
 * is in {@link VhostUserConnection}, what the rings bring in {@link RequestProcessor}. */
final class Device implements Runnable {
  private static final Logger LOG = LoggerFactory.getLogger(Device.class);

  private final RequestIntake engine;
  private final long userId;
  private final int socket;
  private final int wakeUpFd;
  private final Runnable closeListener;
  private final VhostUserConnection connection;
  private final RequestProcessor requests;
  private final Linux.Poll poll = new Linux.Poll();
  private final Runnable capacityListener = this::wakeUp;
  private final AdaptiveSpinner spinner = new AdaptiveSpinner();
  private final BooleanSupplier workAvailable;
  private volatile Volume volume;
  private volatile boolean configChanged;
  private volatile boolean retired;
  private volatile boolean sleeping;
  private volatile boolean stopRequested;
  private boolean wakeClosed;
  private int turnsSincePoll;

  Device(RequestIntake engine, Volume volume, int socket, long user, Runnable ended) throws IOException {
    this.engine = engine;
    this.userId = user;
    this.volume = volume;
    this.socket = socket;
    this.closeListener = ended;
    wakeUpFd = Linux.eventfd();
    connection = new VhostUserConnection(socket, () -> this.volume);
    requests = new RequestProcessor(engine, connection, () -> this.volume, this::wakeUp);
    workAvailable = () -> requests.hasAnswers() || requests.hasMoreRequests();
  }

  /** Ends the device since its volume is gone; from another thread. */
  void retire() {
    retired = true;
    stop();
  }

  /** User number of the client. */
  long userId() {
    return userId;
  }

  /** The volume has another size. From any thread. */
  void resize(Volume next) {
    volume = next;
    configChanged = true;
    signal();
  }

  /** Ends the device from another thread. */
  void stop() {
    stopRequested = true;
    signal();
  }

  private void wakeUp() {
    if (sleeping) {
      sleeping = false;
      signal();
    }
  }

  /** Answers may come when the device is gone and its descriptor's number means something else. */
  private synchronized void signal() {
    if (!wakeClosed) {
      Linux.signal(wakeUpFd);
    }
  }

  private synchronized void closeWakeUp() {
    wakeClosed = true;
    Linux.closeAll(wakeUpFd);
  }

  @Override
  public void run() {
    engine.addCapacityListener(capacityListener);
    String why = "memory region: cut short while in use";
    try {
      why = serve();
    } catch (InternalError e) {
      addVolume(LOG.atWarn()).addKeyValue("field", why).log("device.stopped");
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
      while (!stopRequested) {
        runTurn();
      }
      if (retired) {
        requests.refuseRemaining();
        return "the volume is removed";
      }
      return "the gateway ends";
    } catch (ProtocolViolationException e) {
      addVolume(LOG.atWarn()).addKeyValue("field", e.getMessage()).log("device.stopped");
      return e.getMessage();
    } catch (VhostUserConnection.DisconnectedException e) {
      return "the client left";
    } catch (IOException | RuntimeException e) {
      addVolume(LOG.atWarn()).addKeyValue("why", e.toString()).log("device.stopped");
      return e.toString();
    }
  }

  private void runTurn() throws IOException {
    boolean worked = requests.deliverAnswers();
    if (configChanged) {
      configChanged = false;
      connection.notifyConfigChanged();
    }
    for (Ring r : connection.rings()) {
      worked |= r.queue != null && requests.takeRequests(r);
    }
    if (worked) {
      pollDescriptors(0);
      return;
    }
    boolean seen = spinner.spinUntil(Long.MAX_VALUE, workAvailable);
    checkNoPendingFault();
    if (seen) {
      return;
    }
    sleeping = true;
    boolean more = requests.offerBlocked() | requests.hasMoreRequestsOrEnableKicks() | requests.hasAnswers()
        | stopRequested | configChanged;
    checkNoPendingFault();
    pollDescriptors(more ? 0 : -1);
    sleeping = false;
  }

  /** What was looked at may be gone, and anything seen for that reason. The JVM would tell only once this
   * thread calls into it: when a sleep that has no end is over, or never, where one look sees work and the
   * next does not. Harm: some tens of ns after each look in vain. */
  private static void checkNoPendingFault() {
    ProtocolViolationException.check(ClientMemory.hasNoPendingFault(),
        "memory region: cut short while in use");
  }

  /** Waits for kicks, letters and messages. While there is work, the socket is looked at now and then. */
  private void pollDescriptors(int ms) throws IOException {
    if (ms == 0 && ++turnsSincePoll % 64 != 0 && !connection.rings().isEmpty() && connection
        .drainingRing() == null) {
      return;
    }
    poll.clear();
    poll.add(wakeUpFd);
    if (connection.drainingRing() == null) {
      poll.add(socket);
    }
    int first = connection.drainingRing() == null ? 2 : 1;
    List<Ring> kicked = new ArrayList<>();
    for (Ring r : connection.rings()) {
      if (r.kickFd >= 0) {
        poll.add(r.kickFd);
        kicked.add(r);
      }
    }
    poll.await(ms);
    if (poll.events(0) != 0) {
      Linux.drain(wakeUpFd);
    }
    for (int i = 0; i < kicked.size(); i++) {
      if (poll.events(first + i) != 0) {
        Linux.drain(kicked.get(i).kickFd);
        connection.start(kicked.get(i));
      }
    }
    if (connection.drainingRing() == null && poll.events(1) != 0) {
      connection.receive();
    }
  }

  /** Departs what is in flight and closes all. */
  private void close(String why) {
    engine.removeCapacityListener(capacityListener);
    stopRequested = true;
    int left = requests.abandonAll();
    connection.close();
    addVolume(LOG.atInfo()).addKeyValue("inflight", left).addKeyValue("why", why).log("device.closed");
    closeWakeUp();
    closeListener.run();
  }

  private LoggingEventBuilder addVolume(LoggingEventBuilder to) {
    return to.addKeyValue("volume", volume.name()).addKeyValue("tenant", volume.tenant());
  }
}
