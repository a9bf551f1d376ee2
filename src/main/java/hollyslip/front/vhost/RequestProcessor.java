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

/** The requests of one device: taken off its rings and offered to the engine in {@link #takeRequests}, given
 * back with their answers in {@link #deliverAnswers}. For the device's thread but for what the engine
 * tells. */
final class RequestProcessor {
  /** Requests taken off one queue before the others get their turn. */
  private static final int MAX_REQUESTS_PER_TURN = 64;

  private final RequestIntake engine;
  private final VhostUserConnection connection;
  private final Supplier<Volume> volume;
  private final Runnable wakeUpDevice;
  private final Set<PendingRequest> inFlight = new LinkedHashSet<>();
  private final ConcurrentLinkedQueue<PendingRequest> answers = new ConcurrentLinkedQueue<>();

  /** @param wake
   *          called from the engine's thread when there is an answer */
  RequestProcessor(RequestIntake engine, VhostUserConnection messages, Supplier<Volume> volume,
      Runnable wake) {
    this.engine = engine;
    this.connection = messages;
    this.volume = volume;
    this.wakeUpDevice = wake;
  }

  /** A request on its way through the engine. */
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
    public void onAnswer(Answer a) {
      answer = a;
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

  /** Whether the ring may be looked at for requests. */
  boolean acceptsRequests(Ring r) {
    return r.queue != null && (r.enabled && r != connection.drainingRing() || !r.recoveredHeads.isEmpty())
        && r.blockedRequest == null;
  }

  /** Whether a client has put more into a ring. */
  boolean hasMoreRequests() {
    for (Ring r : connection.rings()) {
      if (acceptsRequests(r) && r.queue.hasMore()) {
        return true;
      }
    }
    return false;
  }

  /** Offers the requests that found no room once more; whether one did now. To be called once the device is
   * known as asleep: room that came just before would wake nobody. */
  boolean offerBlocked() {
    boolean any = false;
    for (Ring r : connection.rings()) {
      if (r.blockedRequest != null && offer(r.blockedRequest)) {
        r.blockedRequest = null;
        any = true;
      }
    }
    return any;
  }

  /** As {@link #hasMoreRequests}, and asks to be kicked for what comes after. */
  boolean hasMoreRequestsOrEnableKicks() {
    boolean more = false;
    for (Ring r : connection.rings()) {
      more |= acceptsRequests(r) && r.queue.hasMoreOrEnableKick();
    }
    return more;
  }

  /** Takes a turn's requests off a ring; whether there were any. */
  boolean takeRequests(Ring r) {
    if (r.blockedRequest != null) {
      if (!offer(r.blockedRequest)) {
        return false;
      }
      r.blockedRequest = null;
    }
    int n = 0;
    while (n < MAX_REQUESTS_PER_TURN && acceptsRequests(r)) {
      boolean resumed = !r.recoveredHeads.isEmpty();
      int head = resumed ? r.recoveredHeads.poll() : r == connection.drainingRing() ? -1 : r.queue.pop();
      if (head < 0) {
        break;
      }
      n++;
      Virtqueue.Chain chain = r.queue.readChain(head, connection.memory());
      BlockRequest request = BlockRequest.read(chain, volume.get(), tailBytes());
      if (request.kind() == null) {
        answerImmediately(r, head, request);
        continue;
      }
      PendingRequest t = new PendingRequest(r, chain, request, resumed);
      inFlight.add(t);
      if (!offer(t)) {
        r.blockedRequest = t;
      }
    }
    return n > 0;
  }

  /** A volume that was removed meanwhile refuses. */
  private boolean offer(PendingRequest t) {
    try {
      return engine.offer(t.io);
    } catch (IllegalArgumentException e) {
      t.onAnswer(t.io.resumed() && t.io.kind().modifiesData() ? Answer.FAILED : Answer.refused(0));
      t.onRelease();
      return true;
    }
  }

  /** The volume is gone: what its client has put into the rings by now is refused, so that none of it is left
   * without an answer. A client that goes on is not waited for. */
  void refuseRemaining() {
    for (Ring r : connection.rings()) {
      for (int n = 0; n < Virtqueue.MAX_SIZE && r.queue != null && takeRequests(r); n++) {
        deliverAnswers();
      }
    }
    deliverAnswers();
  }

  private int tailBytes() {
    return connection.hasFeature(Wire.BLK_REFUSED) ? BlockRequest.EXTENDED_TAIL_BYTES : 1;
  }

  private void answerImmediately(Ring r, int head, BlockRequest request) {
    int written = 0;
    if (request.deviceIdRequested() && request.status() == BlockRequest.OK) {
      request.writeDeviceId(volume.get().name());
      written = BlockRequest.DEVICE_ID_BYTES;
    }
    complete(r, head, request, request.status(), 0, written);
    r.signalCall();
  }

  /** Gives answers back to the client. */
  boolean deliverAnswers() {
    boolean any = false;
    for (PendingRequest t = answers.poll(); t != null; t = answers.poll()) {
      any = true;
      inFlight.remove(t);
      boolean told = connection.hasFeature(Wire.BLK_REFUSED);
      byte status = switch (t.answer.kind()) {
        case SERVED -> BlockRequest.OK;
        case REFUSED -> told ? BlockRequest.REFUSED : BlockRequest.IOERR;
        case FAILED -> BlockRequest.IOERR;
      };
      boolean read = t.request.kind() == IoKind.READ && status == BlockRequest.OK;
      complete(t.ring, t.head, t.request, status, t.answer.retryInUs(), read ? (int) t.request.length() : 0);
    }
    if (any) {
      connection.rings().forEach(Ring::signalCall);
      if (connection.drainingRing() != null && connection.drainingRing().queue.inFlight() == 0) {
        connection.completeStop();
      }
    }
    return any;
  }

  private void complete(Ring r, int head, BlockRequest request, byte status, long retryInUs, int written) {
    ByteBuffer tail = request.tail();
    if (tail.capacity() == BlockRequest.EXTENDED_TAIL_BYTES) {
      tail.putInt(4, (int) Math.min(Integer.MAX_VALUE, (retryInUs + 999) / 1_000));
    }
    tail.put(0, status);
    r.queue.push(head, written + tail.capacity());
  }

  /** Departs what is in flight; how many that were. */
  int abandonAll() {
    for (Ring r : connection.rings()) {
      if (r.blockedRequest != null) {
        inFlight.remove(r.blockedRequest);
        r.blockedRequest.onRelease();
      }
    }
    inFlight.forEach(t -> engine.abandon(t.io));
    return inFlight.size();
  }
}
