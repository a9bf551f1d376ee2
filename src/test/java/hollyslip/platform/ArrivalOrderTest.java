package hollyslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Order of items by arrival, not by reading. */
class ArrivalOrderTest {
  private final ArrivalOrder<String> order = new ArrivalOrder<>();

  @Test
  void anEarlierArrivalThatIsReadLaterGoesFirst() {
    order.add("kept", 160_000);
    order.add("new", 100_000);
    assertEquals(List.of("new", "kept"), order.takeArrivedBy(200_000));
    assertTrue(order.isEmpty());
  }

  @Test
  void arrivalsWithinTheKernelsTickStayInTheOrderOfReading() {
    order.add("a", 100_000);
    order.add("b", 100_000 - ArrivalOrder.TIME_RESOLUTION_US);
    order.add("c", 99_000);
    assertEquals(List.of("a", "b", "c"), order.takeArrivedBy(200_000));
  }

  /** What arrived after the sockets were polled may have a predecessor that is not read yet. */
  @Test
  void anArrivalAfterThePollWaitsForTheNextOne() {
    order.add("later", 160_000);
    assertEquals(List.of(), order.takeArrivedBy(159_999));
    order.add("earlier", 130_000);
    assertEquals(List.of("earlier"), order.takeArrivedBy(159_999));
    assertEquals(List.of("later"), order.takeArrivedBy(160_000));
  }

  @Test
  void removedItemsAreNotPassedOn() {
    order.add("a", 1);
    order.add("b", 2);
    order.remove("a");
    assertEquals(List.of("b"), order.takeArrivedBy(2));
  }
}
