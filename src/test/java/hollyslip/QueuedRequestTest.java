package hollyslip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hollyslip.HostScheduler.*;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** How long the scheduler keeps a request that it has not sent, and when it drops the state of volumes. */
class QueuedRequestTest {
  private static final long START = 50_000_000;

  private static Request read(long id, long volume, long remainingUs) {
    return new Request(id, "read", "limited", 5L, volume, 2, 77, 2, remainingUs, false);
  }

  /** Time until a request that no node can serve is refused, us. */
  private static long timeToRefusal(long remainingUs, Event... before) {
    TokenBorrowingScheduler scheduler = new TokenBorrowingScheduler(Fixtures.settings());
    List<Action> actions = new ArrayList<>();
    for (Event e : before) {
      scheduler.handle(START, e, actions::add);
    }
    scheduler.handle(START, new NodeList(true, List.of(Fixtures.node(1, 0, NodeState.ON, 0))), actions::add);
    scheduler.handle(START, read(1, 9, remainingUs), actions::add);
    long now = START;
    while (!actions.contains(new Refuse(1, 0))) {
      now += 1_000;
      scheduler.handle(now, new TimerFired(0), actions::add);
    }
    return now - START;
  }

  @Test
  void anUnsentRequestIsRefusedOnceItsAimHasPassed() {
    assertEquals(Fixtures.SAFE.aimUs() - 2_000, timeToRefusal(2_000_000), 1_000);
  }

  @Test
  void halfOfAShortDeadlineIsLeftToTheClient() {
    assertTrue(timeToRefusal(300_000) <= 150_000);
  }

  /** Guards against a fault seen with rolling reloads: all clients of a stopping process were blocked for
   * seconds once each of their connections had a queued request. */
  @Test
  void aStoppingProcessRefusesWhatItCannotSendSoon() {
    assertEquals(TokenBorrowingScheduler.INITIAL_LATENCY_US, timeToRefusal(2_000_000, new Stopping(START
        + 60_000_000)),
        3_000);
  }

  /** Requests sent before the process was told to stop, to a node that does not respond, from clients that
   * wait for longer than the process runs. */
  @Test
  void requestsInFlightAreAnsweredBeforeTheProcessEnds() {
    TokenBorrowingScheduler scheduler = new TokenBorrowingScheduler(Fixtures.settings());
    List<Action> actions = new ArrayList<>();
    scheduler.handle(START, new NodeList(true, List.of(Fixtures.node(1, 0, NodeState.ON, 0))), actions::add);
    scheduler.handle(START, Fixtures.request(1, "read", "free", 5L, 9, 2, 0), actions::add);
    scheduler.handle(START, Fixtures.request(2, "write", "free", 5L, 9, 2, 0), actions::add);
    assertEquals(2, actions.stream().filter(a -> a instanceof Send).count());
    long answerBy = START + 300_000;
    scheduler.handle(START + 1_000, new Stopping(answerBy), actions::add);
    for (long now = START + 1_000; now < answerBy; now += 1_000) {
      scheduler.handle(now, new TimerFired(0), actions::add);
    }
    assertTrue(actions.contains(new Fail(2)), actions::toString);
    assertTrue(actions.stream().anyMatch(a -> a instanceof Refuse r && r.request() == 1), actions::toString);
  }

  @Test
  void aRefusalCarriesARetryDelayIfTheSettingsAllowIt() {
    Settings settings = Fixtures.settings();
    for (boolean allowed : new boolean[]{true, false}) {
      TokenBorrowingScheduler scheduler = new TokenBorrowingScheduler(new Settings(7, 0, 2, "a", 2_000, false,
          settings.classes(),
          settings.plans(), settings.rules(), new Allowed(4, false, false, false, allowed, 90_000, 250_000),
          settings.store(), settings.reportSource(), settings.reportFields()));
      List<Action> actions = new ArrayList<>();
      scheduler.handle(START, new NodeList(true, List.of(Fixtures.node(1, 0, NodeState.ON, 0))),
          actions::add);
      int beyondWindow = (int) TokenBorrowingScheduler.INITIAL_WINDOW + 1;
      for (int i = 1; i <= beyondWindow; i++) {
        scheduler.handle(START, Fixtures.request(i, "read", "free", 5L, 9, 2, 0), actions::add);
      }
      scheduler.handle(START + Fixtures.SAFE.aimUs(), new TimerFired(0), actions::add);
      long retryAfterUs = actions.stream()
          .filter(a -> a instanceof Refuse r && r.request() == beyondWindow)
          .mapToLong(a -> ((Refuse) a).retryAfterUs())
          .findFirst()
          .orElseThrow();
      // The latency estimate exceeds maxRetryAfterUs after so long without a response.
      assertEquals(allowed ? 90_000 : 0, retryAfterUs);
    }
  }

  @Test
  void stateOfIdleVolumesIsDropped() throws Exception {
    TokenBorrowingScheduler scheduler = new TokenBorrowingScheduler(Fixtures.settings());
    long now = START;
    scheduler.handle(now, new NodeList(true, List.of(Fixtures.node(1, 77, NodeState.ON, 0))), a -> {});
    int largest = 0;
    for (int i = 0; i < 20_000; i++) {
      now += 10_000;
      List<Action> actions = new ArrayList<>();
      scheduler.handle(now, read(i, 1_000_000 + i, 2_000_000), actions::add);
      for (Action a : List.copyOf(actions)) {
        if (a instanceof Send send) {
          scheduler.handle(now + 1_000, new AttemptEnded(send.request(), 0, send.node(), Result.OK, true,
              1_000,
              0, 0, null), actions::add);
        }
      }
      largest = Math.max(largest, sizeOfMapField(scheduler, "limits")
          + sizeOfMapField(scheduler, "reserves"));
    }
    assertTrue(largest < 6_000, "" + largest);
    assertTrue(sizeOfMapField(scheduler, "pendingRequests") < 100);
  }

  private static int sizeOfMapField(TokenBorrowingScheduler scheduler, String field)
      throws ReflectiveOperationException {
    var mapField = TokenBorrowingScheduler.class.getDeclaredField(field);
    mapField.setAccessible(true);
    return ((Map<?, ?>) mapField.get(scheduler)).size();
  }

  /** A later request on the same connection has an earlier deadline, and responses are sent in order. */
  @Test
  void aRequestThatBlocksALaterResponseIsAnsweredByTheEarlierDeadline() {
    TokenBorrowingScheduler scheduler = new TokenBorrowingScheduler(Fixtures.settings());
    List<Action> actions = new ArrayList<>();
    scheduler.handle(START, new NodeList(true, List.of(Fixtures.node(1, 0, NodeState.ON, 0))), actions::add);
    scheduler.handle(START, Fixtures.request(1, "read", "free", 5L, 9, 2, 0), actions::add);
    scheduler.handle(START, Fixtures.request(2, "write", "free", 5L, 9, 2, 0), actions::add);
    long answerBy = START + 100_000;
    scheduler.handle(START, new DeadlineShortened(1, answerBy), actions::add);
    scheduler.handle(START, new DeadlineShortened(2, START + 60_000_000), actions::add);
    for (long now = START; now < answerBy; now += 1_000) {
      scheduler.handle(now, new TimerFired(0), actions::add);
    }
    assertTrue(actions.stream().anyMatch(a -> a instanceof Refuse r && r.request() == 1), actions::toString);
    assertTrue(actions.stream().noneMatch(a -> a instanceof Fail),
        "the deadline of the other request is unchanged");
    scheduler.handle(answerBy, new DeadlineShortened(1, answerBy - 1), actions::add);
    assertEquals(1, actions.stream().filter(a -> a instanceof Refuse).count(), "answered once");
  }
}
