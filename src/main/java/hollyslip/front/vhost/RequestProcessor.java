package hollyslip.front.vhost;

import hollyslip.engine.Answer;
import hollyslip.engine.RequestIntake;
import hollyslip.engine.IoRequest;
import hollyslip.volume.IoKind;
import hollyslip.volume.Volume;
import java.nio.ByteBuffer;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Supplier;

/** Processes the requests of one device: takes them off its rings and offers them to the engine in
 * {@link #takeRequests}, and returns their answers to the client in {@link #deliverAnswers}. For the device's
 * thread, except for the engine's callbacks. */
final class RequestProcessor {
  /** Maximum number of requests taken off one queue before the others get their turn. */
  private static final int MAX_REQUESTS_PER_TURN = 64;

  private final RequestIntake engine;
  private final VhostUserConnection connection;
  private final Supplier<Volume> volume;
  private final Runnable wakeUpDevice;
  private final Set<PendingRequest> inFlight = new LinkedHashSet<>();
  private final ConcurrentLinkedQueue<PendingRequest> answers = new ConcurrentLinkedQueue<>();

  /** @param wakeUpDevice
   *          called from the engine's thread when there is an answer */
  RequestProcessor(RequestIntake engine, VhostUserConnection connection, Supplier<Volume> volume,
      Runnable wakeUpDevice) {
    this.engine = engine;
    this.connection = connection;
    this.volume = volume;
    this.wakeUpDevice = wakeUpDevice;
  }

  /** A request that the engine is processing. */
  final class PendingRequest implements IoRequest.CompletionListener {
    final Ring ring;
    final int head;
    final BlockRequest request;
    final List<GuestMemory.Region> regions;
    final IoRequest io;
    volatile Answer answer;

    PendingRequest(Ring ring, Virtqueue.Chain chain, BlockRequest request, boolean resumed) {
      this.ring = ring;
      this.head = chain.head;
      this.request = request;
      this.regions = chain.regions;
      io = new IoRequest(volume.get().name(), request.kind(), request.offset(), request.length(), request
          .data(), 0,
          this, resumed);
      regions.forEach(GuestMemory.Region::retain);
    }

    @Override
    public void onAnswer(Answer result) {
      answer = result;
      answers.add(this);
      wakeUpDevice.run();
    }

    @Override
    public void onRelease() {
      regions.forEach(GuestMemory.Region::release);
    }
  }

  boolean hasAnswers() {
    return !answers.isEmpty();
  }

  /** Returns whether requests may be taken off the ring. */
  boolean acceptsRequests(Ring ring) {
    return ring.queue != null && (ring.enabled && ring != connection.drainingRing() || !ring.recoveredHeads
        .isEmpty())
        && ring.blockedRequest == null;
  }

  /** Returns whether a client has put more into a ring. */
  boolean hasMoreRequests() {
    for (Ring ring : connection.rings()) {
      if (acceptsRequests(ring) && ring.queue.hasMore()) {
        return true;
      }
    }
    return false;
  }

  /** Offers the blocked requests again and returns whether one was accepted. To be called once the device
   * counts as sleeping: capacity that became available just before would wake nobody. */
  boolean offerBlocked() {
    boolean any = false;
    for (Ring ring : connection.rings()) {
      if (ring.blockedRequest != null && offer(ring.blockedRequest)) {
        ring.blockedRequest = null;
        any = true;
      }
    }
    return any;
  }

  /** Like {@link #hasMoreRequests}, after enabling kicks for what follows. */
  boolean hasMoreRequestsOrEnableKicks() {
    boolean more = false;
    for (Ring ring : connection.rings()) {
      more |= acceptsRequests(ring) && ring.queue.hasMoreOrEnableKick();
    }
    return more;
  }

  /** Takes one turn's requests off a ring; returns whether there were any. */
  boolean takeRequests(Ring ring) {
    if (ring.blockedRequest != null) {
      if (!offer(ring.blockedRequest)) {
        return false;
      }
      ring.blockedRequest = null;
    }
    int count = 0;
    while (count < MAX_REQUESTS_PER_TURN && acceptsRequests(ring)) {
      boolean resumed = !ring.recoveredHeads.isEmpty();
      int head = resumed
          ? ring.recoveredHeads.poll()
          : ring == connection.drainingRing() ? -1 : ring.queue.pop();
      if (head < 0) {
        break;
      }
      count++;
      Virtqueue.Chain chain = ring.queue.readChain(head, connection.memory());
      BlockRequest request = BlockRequest.read(chain, volume.get(), tailBytes());
      if (request.kind() == null) {
        answerImmediately(ring, head, request);
        continue;
      }
      PendingRequest pending = new PendingRequest(ring, chain, request, resumed);
      inFlight.add(pending);
      if (!offer(pending)) {
        ring.blockedRequest = pending;
      }
    }
    return count > 0;
  }

  /** Offers a request to the engine; if the volume was removed meanwhile, the request is refused. */
  private boolean offer(PendingRequest pending) {
    try {
      return engine.offer(pending.io);
    } catch (IllegalArgumentException e) {
      pending.onAnswer(pending.io.resumed() && pending.io.kind().modifiesData()
          ? Answer.FAILED
          : Answer.refused(0));
      pending.onRelease();
      return true;
    }
  }

  /** Refuses what clients have put into the rings by now, because the volume was removed, so that no request
   * is left without an answer. Does not wait for a client that continues. */
  void refuseRemaining() {
    for (Ring ring : connection.rings()) {
      for (int turns = 0; turns < Virtqueue.MAX_SIZE && ring.queue != null && takeRequests(ring); turns++) {
        deliverAnswers();
      }
    }
    deliverAnswers();
  }

  private int tailBytes() {
    return connection.hasFeature(VhostUserProtocol.BLK_REFUSED) ? BlockRequest.EXTENDED_TAIL_BYTES : 1;
  }

  private void answerImmediately(Ring ring, int head, BlockRequest request) {
    int written = 0;
    if (request.deviceIdRequested() && request.status() == BlockRequest.OK) {
      request.writeDeviceId(volume.get().name());
      written = BlockRequest.DEVICE_ID_BYTES;
    }
    complete(ring, head, request, request.status(), 0, written);
    ring.signalCall();
  }

  /** Delivers answers to the client. */
  boolean deliverAnswers() {
    boolean any = false;
    for (PendingRequest pending = answers.poll(); pending != null; pending = answers.poll()) {
      any = true;
      inFlight.remove(pending);
      boolean refusedNegotiated = connection.hasFeature(VhostUserProtocol.BLK_REFUSED);
      byte status = switch (pending.answer.kind()) {
        case SERVED -> BlockRequest.OK;
        case REFUSED -> refusedNegotiated ? BlockRequest.REFUSED : BlockRequest.IOERR;
        case FAILED -> BlockRequest.IOERR;
      };
      boolean dataRead = pending.request.kind() == IoKind.READ && status == BlockRequest.OK;
      complete(pending.ring, pending.head, pending.request, status, pending.answer.retryAfterUs(), dataRead
          ? (int) pending.request.length()
          : 0);
    }
    if (any) {
      connection.rings().forEach(Ring::signalCall);
      if (connection.drainingRing() != null && connection.drainingRing().queue.inFlight() == 0) {
        connection.completeStop();
      }
    }
    return any;
  }

  private void complete(Ring ring, int head, BlockRequest request, byte status, long retryInUs, int written) {
    ByteBuffer tail = request.tail();
    if (tail.capacity() == BlockRequest.EXTENDED_TAIL_BYTES) {
      tail.putInt(4, (int) Math.min(Integer.MAX_VALUE, (retryInUs + 999) / 1_000));
    }
    tail.put(0, status);
    ring.queue.push(head, written + tail.capacity());
  }

  /** Abandons the requests in flight and returns their number. */
  int abandonAll() {
    for (Ring ring : connection.rings()) {
      if (ring.blockedRequest != null) {
        inFlight.remove(ring.blockedRequest);
        ring.blockedRequest.onRelease();
      }
    }
    inFlight.forEach(pending -> engine.abandon(pending.io));
    return inFlight.size();
  }
}
