package hollyslip.platform;

import hollyslip.HostScheduler.RequestClass;
import hollyslip.HostScheduler.Settings;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/** Holds requests of classes that ask for order by key until all input that arrived before them has been
 * read, and passes them on in order of arrival. Order of reading is not enough: after a delay, several
 * connections have input, and new ones are read last. Requests of other classes are not held. */
final class KeyOrderBuffer {
  private final Set<String> classesInOrder;
  private final MonotonicClock clock;
  private final SocketReceiveTimes receiveTimes;
  private final ReadBarrier readBarrier;
  private final Consumer<Exchange> nextInOrder;
  private final ArrivalOrder<Exchange> held = new ArrivalOrder<>();
  private boolean barrierPending;

  KeyOrderBuffer(Settings settings, EventLoop loop, MonotonicClock clock, EventLog log,
      Consumer<Exchange> nextInOrder) {
    classesInOrder = settings.classes()
        .stream()
        .filter(RequestClass::inOrder)
        .map(RequestClass::name)
        .collect(Collectors.toSet());
    this.clock = clock;
    receiveTimes = classesInOrder.isEmpty() ? SocketReceiveTimes.unavailable() : SocketReceiveTimes.load(log);
    readBarrier = new ReadBarrier(loop);
    this.nextInOrder = nextInOrder;
  }

  boolean appliesTo(RequestHead head) {
    return classesInOrder.contains(head.className());
  }

  /** When the last byte of a request that was just read arrived, us, as exactly as its class asks for. */
  long arrivalTime(RequestHead head, Channel channel) {
    long now = clock.now();
    return appliesTo(head) ? receiveTimes.lastReceivedAt(channel, now) : now;
  }

  void add(Exchange exchange, long arrivedAt) {
    held.add(exchange, arrivedAt);
    awaitBarrier();
  }

  /** Removes a request that is not to be passed on any more. */
  void remove(Exchange exchange) {
    held.remove(exchange);
  }

  /** See {@link ReadBarrier#inputLeft}. */
  void inputLeft() {
    readBarrier.inputLeft();
  }

  private void awaitBarrier() {
    if (!barrierPending) {
      barrierPending = true;
      long readUntil = clock.now();
      readBarrier.await(() -> release(readUntil));
    }
  }

  private void release(long readUntil) {
    barrierPending = false;
    held.takeArrivedBy(readUntil).forEach(nextInOrder);
    if (!held.isEmpty()) {
      awaitBarrier();
    }
  }
}
