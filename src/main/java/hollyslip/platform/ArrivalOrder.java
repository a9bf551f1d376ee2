package hollyslip.platform;

import java.util.ArrayList;
import java.util.List;

/** Items in the order in which they arrived, although they may be read in another one: a process that was
 * suspended finds input of several connections at once. An item is passed on only when all that arrived
 * before it has been added. Does no I/O and has no clock; times are passed in, us.
 *
 * @param <T>
 *          what is ordered; compared by identity */
final class ArrivalOrder<T> {
  /** Arrival times that differ by no more than this say nothing about the order, us; the order of reading
   * counts then. The kernel counts time in ticks, which are 10 ms at most. */
  static final long TIME_RESOLUTION_US = 10_000;

  private record Entry<T>(T item, long arrivedAt) {}

  private final List<Entry<T>> entries = new ArrayList<>();

  boolean isEmpty() {
    return entries.isEmpty();
  }

  /** Adds an item that was read after all items added before. */
  void add(T item, long arrivedAt) {
    int index = entries.size();
    while (index > 0 && entries.get(index - 1).arrivedAt > arrivedAt + TIME_RESOLUTION_US) {
      index--;
    }
    entries.add(index, new Entry<>(item, arrivedAt));
  }

  /** Removes an item, if present. */
  void remove(T item) {
    entries.removeIf(entry -> entry.item == item);
  }

  /** Removes and returns the items that may be passed on, in order, once all input that had arrived by
   * {@code readUntil} has been added. */
  List<T> takeArrivedBy(long readUntil) {
    int count = 0;
    while (count < entries.size() && entries.get(count).arrivedAt <= readUntil) {
      count++;
    }
    List<Entry<T>> arrived = entries.subList(0, count);
    List<T> items = arrived.stream().map(Entry::item).toList();
    arrived.clear();
    return items;
  }
}
