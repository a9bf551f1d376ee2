package hollyslip.emulator;

import hollyslip.HostScheduler.RequestClass;
import hollyslip.audit.RequestRecord;
import hollyslip.engine.Answer;
import hollyslip.engine.Engine;
import hollyslip.engine.IoRequest;
import hollyslip.load.ArrivalProcess;
import hollyslip.load.Scenario;
import hollyslip.load.RequestMix;
import hollyslip.node.Nbd;
import hollyslip.volume.IoKind;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/** A client of a volume at one gateway, which submits requests on an open-loop schedule. Requests that find
 * no room in its ring wait in a backlog; their latency counts from the due time. */
final class EmulatedClient {
  final Scenario.VolumeLoad load;
  private final Emulation emulation;
  private final EmulatedGateway gateway;
  private final String name;
  private final ArrivalProcess arrivals;
  private final RequestMix mix;
  private final ArrayDeque<PendingRequest> backlog = new ArrayDeque<>();
  private final Set<PendingRequest> outstanding = new LinkedHashSet<>();
  private double rateFactor = 1;
  private boolean readsOnly, retryImmediately, awaitingCapacity, ended;
  private long requestCount;

  /** A request, from its due time to its completion. */
  private final class PendingRequest implements IoRequest.CompletionListener {
    final long id;
    final IoKind kind;
    final long offset, length, dueUs;
    final long writeId;
    final RequestClass requestClass;
    long askedUs, deadlineUs;
    IoRequest ioRequest;
    private boolean accepted, answered, abandoned;
    /** Whether a gateway process that was killed had accepted it. */
    private boolean mayHaveStarted;

    PendingRequest(IoKind kind, long offset, long length) {
      id = ++requestCount;
      this.kind = kind;
      this.offset = offset;
      this.length = length;
      dueUs = emulation.events.now();
      writeId = kind.modifiesData() ? emulation.nextWriteId() : 0;
      requestClass = emulation.requestClass(kind, length);
    }

    void submit() {
      List<ByteBuffer> data = kind.modifiesData()
          ? List.of(ByteBuffer.allocate(Long.BYTES).putLong(0, writeId))
          : List.of();
      IoRequest request = new IoRequest(load.volume(), kind, offset, length, data, 0, this, mayHaveStarted);
      ioRequest = request;
      outstanding.add(this);
      gateway.offer(request, hasRoom -> {
        accepted = hasRoom;
        if (hasRoom) {
          askedUs = emulation.events.now();
          deadlineUs = askedUs + requestClass.deadlineUs();
        } else {
          outstanding.remove(this);
          awaitingCapacity = true;
          requeue(this);
        }
      });
    }

    @Override
    public void onAnswer(Answer answer) {
      if (abandoned) {
        return;
      }
      if (answered) {
        recordOutcome(2, RequestRecord.Answer.NONE, false);
        return;
      }
      answered = true;
      outstanding.remove(this);
      RequestRecord.Answer outcome = RequestRecord.Answer.valueOf(answer.kind().name());
      recordOutcome(1, outcome, false);
      if (retryImmediately && outcome != RequestRecord.Answer.SERVED && !ended) {
        addDueRequest();
      }
      submitBacklog();
    }

    @Override
    public void onRelease() {
      // No memory to free.
    }

    void recordOutcome(int answers, RequestRecord.Answer answer, boolean disconnected) {
      long now = emulation.events.now();
      emulation.recordRequest(new RequestRecord(name, gateway.name, load.volume(), id, kind == IoKind.READ
          ? Nbd.CMD_READ
          : Nbd.CMD_WRITE, offset, length, 0, -1, writeId, askedUs, deadlineUs, answers, answers > 0
              ? now
              : 0,
          answer, disconnected), load.plan(), dueUs, requestClass.aimUs());
    }
  }

  EmulatedClient(Emulation emulation, EmulatedGateway gateway, Scenario.VolumeLoad load, int index,
      int clientCount,
      long volumeBytes, long seed) {
    this.emulation = emulation;
    this.gateway = gateway;
    this.load = load;
    name = load.volume() + "-" + index;
    SplittableRandom seeds = new SplittableRandom(seed);
    mix = new RequestMix(load, index, clientCount, volumeBytes, seeds.nextLong());
    arrivals = new ArrivalProcess(load.shape(), load.rate() / clientCount, seeds.nextLong());
  }

  /** Schedules the next request. */
  void scheduleNextArrival() {
    long dueUs = EventQueue.START_US + arrivals.nextDueUs(rateFactor);
    if (!ended) {
      emulation.events.schedule(dueUs, () -> {
        if (!ended) {
          addDueRequest();
          scheduleNextArrival();
        }
      });
    }
  }

  /** Stops submitting requests, including those in the backlog. */
  void endLoad() {
    ended = true;
    emulation.recordNeverSubmitted(load.plan(), backlog.size());
    backlog.clear();
  }

  void rateFactor(double factor) {
    rateFactor = factor;
  }

  void readsOnly(boolean on) {
    readsOnly = on;
  }

  void retryImmediately(boolean on) {
    retryImmediately = on;
  }

  private void addDueRequest() {
    RequestMix.Operation next = mix.next(readsOnly);
    backlog.add(new PendingRequest(next.kind(), next.offset(), next.length()));
    submitBacklog();
  }

  private void submitBacklog() {
    while (gateway.isAlive() && !awaitingCapacity && outstanding.size() < load.depth() && !backlog
        .isEmpty()) {
      backlog.poll().submit();
    }
  }

  /** The gateway has started and serves the client's volume. */
  void onGatewayStarted(Engine engine) {
    awaitingCapacity = false;
    engine.addCapacityListener(() -> {
      awaitingCapacity = false;
      submitBacklog();
    });
    submitBacklog();
  }

  /** The gateway was killed: outstanding requests are submitted again once it is back. */
  void onGatewayKilled() {
    List<PendingRequest> resubmitted = new ArrayList<>(outstanding);
    outstanding.clear();
    for (int i = resubmitted.size() - 1; i >= 0; i--) {
      resubmitted.get(i).mayHaveStarted |= resubmitted.get(i).accepted;
      resubmitted.get(i).accepted = false;
      requeue(resubmitted.get(i));
    }
  }

  private void requeue(PendingRequest request) {
    if (ended) {
      emulation.recordNeverSubmitted(load.plan(), 1);
    } else {
      backlog.addFirst(request);
    }
  }

  /** Disconnects with all requests outstanding and continues as a new client. */
  void reconnect() {
    for (PendingRequest request : List.copyOf(outstanding)) {
      if (request.accepted) {
        request.abandoned = true;
        outstanding.remove(request);
        request.recordOutcome(0, RequestRecord.Answer.NONE, true);
        gateway.abandon(request.ioRequest);
      }
    }
    submitBacklog();
  }

  /** Records the requests that are still unanswered at the end of the run. */
  void recordUnanswered() {
    outstanding.forEach(request -> {
      if (request.accepted) {
        request.recordOutcome(0, RequestRecord.Answer.NONE, false);
      }
    });
    emulation.recordNeverSubmitted(load.plan(), outstanding.stream()
        .filter(request -> !request.accepted)
        .count());
  }
}
