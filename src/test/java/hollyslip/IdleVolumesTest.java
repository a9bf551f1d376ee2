package hollyslip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hollyslip.HostScheduler.*;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Clients choose the names of volumes and keys, so what is known of them must not grow without end. */
class IdleVolumesTest {
  private static final long START = 50_000_000, STEP_US = 1_000;

  private static final int MAXIMUM = 200;

  /** Names that one period adds before it ends, in each of the three places where volumes are known. */
  private static final int MAX_KNOWN = 3 * (MAXIMUM + 100);

  private final TokenBorrowingScheduler scheduler = new TokenBorrowingScheduler(Fixtures.settings(), MAXIMUM);
  private final List<Action> actions = new ArrayList<>();
  private long now = START;
  private long lastId;

  private IdleVolumesTest() {
    handle(new NodeList(true, List.of(Fixtures.node(1, 0, NodeState.ON, 0))));
  }

  private List<Action> handle(Event event) {
    int before = actions.size();
    scheduler.handle(now, event, actions::add);
    return List.copyOf(actions.subList(before, actions.size()));
  }

  /** Submits a request and ends its attempt, if it was sent, at once. Returns whether it was sent. */
  private boolean submit(String className, String plan, Long key, long volume, double units, Result result) {
    long id = ++lastId;
    boolean sent = handle(Fixtures.request(id, className, plan, key, volume, units, 0)).stream()
        .anyMatch(action -> action instanceof Send send && send.request() == id);
    now += STEP_US;
    if (sent) {
      handle(new AttemptEnded(id, 0, 1, result, result == Result.OK, STEP_US, 0, 0, null));
    }
    handle(new RequestAbandoned(id));
    return sent;
  }

  @Test
  void everNewVolumesAreForgotten() {
    for (int i = 0; i < 20_000; i++) {
      submit("read", "free", null, 1000 + i, 2, Result.OK);
      assertTrue(scheduler.knownNames() <= MAX_KNOWN, "after " + i + " names: " + scheduler.knownNames());
    }
  }

  @Test
  void everNewVolumesWithLimitsAreForgotten() {
    for (int i = 0; i < 20_000; i++) {
      submit("read", "limited", null, 1000 + i, 6, Result.OK);
      assertTrue(scheduler.knownNames() <= MAX_KNOWN, "after " + i + " names: " + scheduler.knownNames());
    }
  }

  /** Rule 7 holds although so many volumes come after it that its state would be the first to go. */
  @Test
  void aLimitThatIsUsedUpIsNotForgotten() {
    now += 10_000_000;
    long limited = 7;
    double sentUnits = 0;
    for (int i = 0; i < 3_000; i++) {
      sentUnits += i % 10 == 0 && submit("read", "limited", null, limited, 2, Result.OK) ? 2 : 0;
      submit("read", "free", null, 1000 + i, 2, Result.OK);
    }
    double seconds = (now - START) / 1e6, perHost = 2;
    assertTrue(sentUnits <= (24 + 20 * seconds) / perHost, "units: " + sentUnits + " in " + seconds + " s");
    assertTrue(sentUnits > 20, "units: " + sentUnits);
  }

  /** With no room for another limit, its volume's request is refused, which does no harm. */
  @Test
  void aVolumeWhoseLimitCannotBeKeptIsRefused() {
    TokenBorrowingScheduler small = new TokenBorrowingScheduler(Fixtures.settings(), 1);
    small.handle(now, new NodeList(true, List.of(Fixtures.node(1, 0, NodeState.ON, 0))), actions::add);
    small.handle(now, Fixtures.request(1, "read", "limited", null, 1, 2, 0), actions::add);
    small.handle(now, Fixtures.request(2, "read", "limited", null, 2, 2, 0), actions::add);
    small.handle(now, Fixtures.request(3, "read", "free", null, 3, 2, 0), actions::add);
    assertTrue(actions.contains(new Refuse(2, 0)), actions::toString);
    assertEquals(1, actions.stream().filter(action -> action instanceof Refuse).count());
  }

  @Test
  void volumesWithLoansOutlastThoseThatAreLikeNew() {
    submit("read", "free", null, 7, 2, Result.OK);
    TokenBorrowingScheduler.VolumeQueue lender = scheduler.nodes.get(1L).volumes.get(7L);
    lender.record = 50;
    for (int i = 0; i < 2 * MAXIMUM; i++) {
      handle(Fixtures.request(++lastId, "read", "free", null, 1000 + i, 2, 0));
      handle(new RequestAbandoned(lastId));
    }
    now += TokenBorrowingScheduler.ALLOCATION_PERIOD_US;
    handle(new TimerFired(0));
    assertEquals(lender, scheduler.nodes.get(1L).volumes.get(7L));
  }

  /** A key whose request timed out rests for a while, in which nothing more may come for it. */
  @Test
  void keysThatRestedAreForgotten() {
    for (int i = 0; i < 1_000; i++) {
      submit("log", "free", (long) i, 9, 2, Result.RESET);
    }
    now += 2 * TokenBorrowingScheduler.IDLE_EXPIRY_US;
    handle(new TimerFired(0));
    assertTrue(scheduler.knownNames() <= 3, "known: " + scheduler.knownNames());
  }
}
