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

/** A client's connection to one volume: the vhost-user back end of a virtio-blk device, on a thread of its
 * own. It checks everything that the specification leaves to trust; a client that violates a rule stops this
 * device and no other.
 *
 * <p>
 * This class runs the life cycle: {@link #runTurn} looks for work and sleeps, {@link #close} ends the device.
 * Socket messages are handled in {@link VhostUserConnection}, the contents of the rings in
 * {@link RequestProcessor}. */
final class Device implements Runnable {
  private static final Logger LOG = LoggerFactory.getLogger(Device.class);

  /** Positions of file descriptors in what is polled. */
  private static final int WAKE_UP_INDEX = 0, SOCKET_INDEX = 1, FIRST_RING_INDEX = 2;

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

  Device(RequestIntake engine, Volume volume, int socket, long userId, Runnable closeListener)
      throws IOException {
    this.engine = engine;
    this.userId = userId;
    this.volume = volume;
    this.socket = socket;
    this.closeListener = closeListener;
    wakeUpFd = Linux.eventfd();
    connection = new VhostUserConnection(socket, () -> this.volume);
    requests = new RequestProcessor(engine, connection, () -> this.volume, this::wakeUp);
    workAvailable = () -> requests.hasAnswers() || requests.hasMoreRequests();
  }

  /** Ends the device because its volume was removed; called from another thread. */
  void retire() {
    retired = true;
    stop();
  }

  /** User ID of the client. */
  long userId() {
    return userId;
  }

  /** Sets the volume's new size; called from any thread. */
  void resize(Volume newVolume) {
    volume = newVolume;
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

  /** Wakes the device up. Answers may arrive after the device has ended, when the file descriptor's number
   * may refer to something else. */
  private synchronized void signal() {
    if (!wakeClosed) {
      Linux.signalEventfd(wakeUpFd);
    }
  }

  private synchronized void closeWakeUp() {
    wakeClosed = true;
    Linux.closeAll(wakeUpFd);
  }

  @Override
  public void run() {
    engine.addCapacityListener(capacityListener);
    String reason = "memory region: truncated while in use";
    try {
      reason = serve();
    } catch (InternalError e) {
      addVolume(LOG.atWarn()).addKeyValue("field", reason).log("device.stopped");
    }
    ClientMemory.hasNoPendingFault();
    close(reason);
  }

  /** Serves the client until the end and returns the reason for it. A fault in shared memory (the client
   * truncated its file after the check at mapping) leaves this method as an {@code InternalError}. The JVM
   * throws it some time after the access, which may then have read anything: the data read may violate a rule
   * first, and the error be thrown while that violation is being caught. */
  private String serve() {
    try {
      while (!stopRequested) {
        runTurn();
      }
      if (retired) {
        requests.refuseRemaining();
        return "the volume was removed";
      }
      return "the gateway is stopping";
    } catch (ProtocolViolationException e) {
      addVolume(LOG.atWarn()).addKeyValue("field", e.getMessage()).log("device.stopped");
      return e.getMessage();
    } catch (VhostUserConnection.DisconnectedException e) {
      return "the client disconnected";
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
    for (Ring ring : connection.rings()) {
      worked |= ring.queue != null && requests.takeRequests(ring);
    }
    if (worked) {
      pollDescriptors(0);
      return;
    }
    boolean workSeen = spinner.spinUntil(Long.MAX_VALUE, workAvailable);
    checkNoPendingFault();
    if (workSeen) {
      return;
    }
    sleeping = true;
    boolean workWaiting = requests.offerBlocked() | requests.hasMoreRequestsOrEnableKicks() | requests
        .hasAnswers()
        | stopRequested | configChanged;
    checkNoPendingFault();
    pollDescriptors(workWaiting ? 0 : -1);
    sleeping = false;
  }

  /** Checks that the memory just read is not truncated, since anything may have been read from it otherwise.
   * The JVM would throw the error only once this thread calls into it: after a sleep without a time limit, or
   * never, if one look sees work and the next does not. The cost is some tens of ns after each look that
   * finds nothing. */
  private static void checkNoPendingFault() {
    ProtocolViolationException.check(ClientMemory.hasNoPendingFault(),
        "memory region: truncated while in use");
  }

  /** Waits for kicks, wake-ups and messages. While there is work, file descriptors are polled only once in a
   * while. */
  private void pollDescriptors(int timeoutMs) throws IOException {
    if (timeoutMs == 0 && ++turnsSincePoll % 64 != 0 && !connection.rings().isEmpty() && connection
        .drainingRing() == null) {
      return;
    }
    poll.clear();
    poll.add(wakeUpFd);
    boolean readsMessages = connection.drainingRing() == null;
    if (readsMessages) {
      poll.add(socket);
    } else {
      poll.addForHangUp(socket);
    }
    List<Ring> rings = new ArrayList<>();
    for (Ring ring : connection.rings()) {
      if (ring.kickFd >= 0) {
        poll.add(ring.kickFd);
        rings.add(ring);
      }
    }
    poll.await(timeoutMs);
    if (poll.events(WAKE_UP_INDEX) != 0) {
      Linux.drainEventfd(wakeUpFd);
    }
    if ((poll.events(SOCKET_INDEX) & Linux.POLLHUP) != 0) {
      // The client has gone, whatever it sent before that was not read.
      throw new VhostUserConnection.DisconnectedException();
    }
    for (int i = 0; i < rings.size(); i++) {
      if (poll.events(FIRST_RING_INDEX + i) != 0) {
        Linux.drainEventfd(rings.get(i).kickFd);
        connection.start(rings.get(i));
      }
    }
    if (readsMessages && poll.events(SOCKET_INDEX) != 0) {
      connection.receive();
    }
  }

  /** Abandons the requests in flight and releases everything. */
  private void close(String reason) {
    engine.removeCapacityListener(capacityListener);
    stopRequested = true;
    int abandoned = requests.abandonAll();
    connection.close();
    addVolume(LOG.atInfo()).addKeyValue("inflight", abandoned)
        .addKeyValue("why", reason)
        .log("device.closed");
    closeWakeUp();
    closeListener.run();
  }

  private LoggingEventBuilder addVolume(LoggingEventBuilder event) {
    return event.addKeyValue("volume", volume.name()).addKeyValue("tenant", volume.tenant());
  }
}
