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

/** The requests of one device: taken off its rings and offered to the engine in {@link #take}, given back
 * with their answers in {@link #give}. For the device's thread but for what the engine tells. */
final class Requests {
  /** Requests taken off one queue before the others get their turn. */
  private static final int TURN = 64;

  private final RequestIntake engine;
  private final Messages messages;
  private final Supplier<Volume> volume;
  private final Runnable wake;
  private final Set<Taken> flight = new LinkedHashSet<>();
  private final ConcurrentLinkedQueue<Taken> answers = new ConcurrentLinkedQueue<>();

  /** @param wake
   *          called from the engine's thread when there is an answer */
  Requests(RequestIntake engine, Messages messages, Supplier<Volume> volume, Runnable wake) {
    this.engine = engine;
    this.messages = messages;
    this.volume = volume;
    this.wake = wake;
  }

  /** A request on its way through the engine. */
  final class Taken implements IoRequest.CompletionListener {
    final Ring ring;
    final int head;
    final BlockRequest request;
    final List<GuestMemory.Region> regions;
    final IoRequest io;
    volatile Answer answer;

    Taken(Ring ring, Virtqueue.Chain chain, BlockRequest request, boolean resumed) {
      this.ring = ring;
      this.head = chain.head;
      this.request = request;
      this.regions = chain.regions;
      io = new IoRequest(volume.get().name(), request.kind(), request.offset(), request.length(), request
          .data(), 0,
          this, resumed);
      regions.forEach(GuestMemory.Region::hold);
    }

    @Override
    public void onAnswer(Answer a) {
      answer = a;
      answers.add(this);
      wake.run();
    }

    @Override
    public void onRelease() {
      regions.forEach(GuestMemory.Region::release);
    }
  }

  boolean answersWait() {
    return !answers.isEmpty();
  }

  /** Whether the ring may be looked at for requests. */
  boolean takes(Ring r) {
    return r.queue != null && (r.enabled && r != messages.draining() || !r.again.isEmpty())
        && r.blocked == null;
  }

  /** Whether a client has put more into a ring. */
  boolean anyMore() {
    for (Ring r : messages.rings()) {
      if (takes(r) && r.queue.more()) {
        return true;
      }
    }
    return false;
  }

  /** Offers the requests that found no room once more; whether one did now. To be called once the device is
   * known as asleep: room that came just before would wake nobody. */
  boolean roomNow() {
    boolean any = false;
    for (Ring r : messages.rings()) {
      if (r.blocked != null && offer(r.blocked)) {
        r.blocked = null;
        any = true;
      }
    }
    return any;
  }

  /** As {@link #anyMore}, and asks to be kicked for what comes after. */
  boolean anyMoreOrKick() {
    boolean more = false;
    for (Ring r : messages.rings()) {
      more |= takes(r) && r.queue.moreOrKick();
    }
    return more;
  }

  /** Takes a turn's requests off a ring; whether there were any. */
  boolean take(Ring r) {
    if (r.blocked != null) {
      if (!offer(r.blocked)) {
        return false;
      }
      r.blocked = null;
    }
    int n = 0;
    while (n < TURN && takes(r)) {
      boolean resumed = !r.again.isEmpty();
      int head = resumed ? r.again.poll() : r == messages.draining() ? -1 : r.queue.pop();
      if (head < 0) {
        break;
      }
      n++;
      Virtqueue.Chain chain = r.queue.chain(head, messages.memory());
      BlockRequest request = BlockRequest.read(chain, volume.get(), tailBytes());
      if (request.kind() == null) {
        atOnce(r, head, request);
        continue;
      }
      Taken t = new Taken(r, chain, request, resumed);
      flight.add(t);
      if (!offer(t)) {
        r.blocked = t;
      }
    }
    return n > 0;
  }

  /** A volume that was removed meanwhile refuses. */
  private boolean offer(Taken t) {
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
  void lastTurn() {
    for (Ring r : messages.rings()) {
      for (int n = 0; n < Virtqueue.MOST_SIZE && r.queue != null && take(r); n++) {
        give();
      }
    }
    give();
  }

  private int tailBytes() {
    return messages.agreed(Wire.BLK_REFUSED) ? BlockRequest.LONG_TAIL : 1;
  }

  private void atOnce(Ring r, int head, BlockRequest request) {
    int written = 0;
    if (request.id() && request.status() == BlockRequest.OK) {
      request.name(volume.get().name());
      written = BlockRequest.ID_BYTES;
    }
    finish(r, head, request, request.status(), 0, written);
    r.call();
  }

  /** Gives answers back to the client. */
  boolean give() {
    boolean any = false;
    for (Taken t = answers.poll(); t != null; t = answers.poll()) {
      any = true;
      flight.remove(t);
      boolean told = messages.agreed(Wire.BLK_REFUSED);
      byte status = switch (t.answer.kind()) {
        case SERVED -> BlockRequest.OK;
        case REFUSED -> told ? BlockRequest.REFUSED : BlockRequest.IOERR;
        case FAILED -> BlockRequest.IOERR;
      };
      boolean read = t.request.kind() == IoKind.READ && status == BlockRequest.OK;
      finish(t.ring, t.head, t.request, status, t.answer.retryAfterUs(), read ? (int) t.request.length() : 0);
    }
    if (any) {
      messages.rings().forEach(Ring::call);
      if (messages.draining() != null && messages.draining().queue.inFlight() == 0) {
        messages.drained();
      }
    }
    return any;
  }

  private void finish(Ring r, int head, BlockRequest request, byte status, long retryInUs, int written) {
    ByteBuffer tail = request.tail();
    if (tail.capacity() == BlockRequest.LONG_TAIL) {
      tail.putInt(4, (int) Math.min(Integer.MAX_VALUE, (retryInUs + 999) / 1_000));
    }
    tail.put(0, status);
    r.queue.push(head, written + tail.capacity());
  }

  /** Departs what is in flight; how many that were. */
  int depart() {
    for (Ring r : messages.rings()) {
      if (r.blocked != null) {
        flight.remove(r.blocked);
        r.blocked.onRelease();
      }
    }
    flight.forEach(t -> engine.abandon(t.io));
    return flight.size();
  }
}
