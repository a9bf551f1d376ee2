package hollyslip.platform;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;

/** Collects the body of a message. Memory is allocated only for received bytes, and its size counts against a
 * {@link ByteBudget} until {@link #release}. */
final class BudgetedBuffer {
  private static final byte[] EMPTY = {};

  private static final int MIN_CAPACITY = 1024;

  private final ByteBudget budget;
  private final int expectedSize;
  private byte[] array = EMPTY;
  private int size;

  /** @param expectedSize
   *          probable final size, bytes, allocated with the first bytes received if the budget has room; 0:
   *          unknown */
  BudgetedBuffer(ByteBudget budget, int expectedSize) {
    this.budget = budget;
    this.expectedSize = expectedSize;
  }

  int size() {
    return size;
  }

  /** Bytes reserved from the budget. */
  int capacity() {
    return array.length;
  }

  /** Appends all readable bytes; returns false, and appends nothing, if the budget has no room for them. */
  boolean append(ByteBuf bytes) {
    int count = bytes.readableBytes();
    if (!ensureCapacity(size + count)) {
      return false;
    }
    bytes.readBytes(array, size, count);
    size += count;
    return true;
  }

  private boolean ensureCapacity(int needed) {
    if (needed <= array.length) {
      return true;
    }
    int preferred = Math.max(needed, array.length == 0
        ? Math.max(expectedSize, MIN_CAPACITY)
        : 2 * array.length);
    return growTo(preferred) || growTo(needed);
  }

  private boolean growTo(int capacity) {
    if (!budget.tryReserve(capacity - array.length)) {
      return false;
    }
    array = Arrays.copyOf(array, capacity);
    return true;
  }

  /** The bytes received so far. The array may be the buffer's own, so nothing may be appended after this. */
  byte[] toByteArray() {
    return size == array.length ? array : Arrays.copyOf(array, size);
  }

  /** Discards the bytes and returns their memory to the budget. */
  void release() {
    budget.release(array.length);
    array = EMPTY;
    size = 0;
  }
}
