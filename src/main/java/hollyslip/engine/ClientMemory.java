package hollyslip.engine;

import java.nio.ByteBuffer;

/** Touching memory that a client shares and may cut short at any time. The JVM turns such a touch into an
 * {@code InternalError}, but tells of it some time later, in whatever the thread does by then. */
public final class ClientMemory {
  /** Not a constant, so that the allocation below stays a call into the JVM. */
  private static volatile int arrayLength = 1;
  private static volatile Object allocationSink;

  private ClientMemory() {}

  /** Copies {@code n} bytes. False: the memory is gone, wholly or in part. */
  public static boolean copy(ByteBuffer to, int at, ByteBuffer from, int position, int n) {
    try {
      to.put(at, from, position, n);
      return !to.isDirect() && !from.isDirect() || settled();
    } catch (InternalError e) {
      return false;
    }
  }

  /** Brings out here what the JVM has not told yet of touches by this thread; false if there was something.
   * It guards against the error coming in the middle of something that must be done whole. Of the calls into
   * the JVM that look for it, allocating an array of two dimensions is a cheap one that is never compiled
   * away. Harm: some tens of ns. */
  public static boolean settled() {
    try {
      allocationSink = new byte[arrayLength][arrayLength];
      return true;
    } catch (InternalError e) {
      return false;
    }
  }
}
