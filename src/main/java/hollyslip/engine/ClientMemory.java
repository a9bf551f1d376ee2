package hollyslip.engine;

import java.nio.ByteBuffer;

/** Access to memory that a client shares and may truncate at any time. The JVM turns an access beyond the end
 * into an {@code InternalError}, but may throw it some time later, from whatever the thread runs by then. */
public final class ClientMemory {
  /** Not a constant, so that the JIT compiler keeps the allocation below as a call into the JVM. */
  private static volatile int arrayLength = 1;
  private static volatile Object allocationSink;

  private ClientMemory() {}

  /** Copies {@code n} bytes. Returns false if the memory is gone, wholly or in part. */
  public static boolean copy(ByteBuffer to, int toIndex, ByteBuffer from, int fromIndex, int n) {
    try {
      to.put(toIndex, from, fromIndex, n);
      return !to.isDirect() && !from.isDirect() || hasNoPendingFault();
    } catch (InternalError e) {
      return false;
    }
  }

  /** Forces pending errors of this thread's earlier accesses to be thrown here; returns false if there was
   * one. This keeps the error from interrupting a section that must run to its end. Of the calls into the JVM
   * that check for a pending error, allocating a two-dimensional array is a cheap one that is never compiled
   * away; it costs some tens of ns. */
  public static boolean hasNoPendingFault() {
    try {
      allocationSink = new byte[arrayLength][arrayLength];
      return true;
    } catch (InternalError e) {
      return false;
    }
  }
}
