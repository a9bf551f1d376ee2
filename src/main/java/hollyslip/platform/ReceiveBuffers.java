package hollyslip.platform;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/** Buffers of the connections. Everything received is read into heap memory: direct memory is small, and an
 * allocation that does not fit into it makes the thread sleep, which is the event loop. What remains of it is
 * the JDK's own transfer buffers, which one read or write uses at a time. */
final class ReceiveBuffers {
  /** The allocator of every connection. */
  static final ByteBufAllocator ALLOCATOR = new UnpooledByteBufAllocator(false);

  /** Bytes of unused capacity that a buffer with undecoded bytes may keep. */
  static final int MAX_UNUSED_BYTES = 1024;

  /** Initial and maximum size of the buffer for a read of a client, bytes. One read in each iteration of the
   * event loop is all that a client gets, so this limits how long the requests of one keep others waiting. */
  private static final int INITIAL_CLIENT_READ_BYTES = 2 << 10, MAX_CLIENT_READ_BYTES = 16 << 10;

  private static final int MIN_READ_BYTES = 64;

  /** Allocates the buffer of each read on the heap, sized by the amounts read before. */
  static final RecvByteBufAllocator RECEIVE_ALLOCATOR = new HeapReceiveAllocator(
      new AdaptiveRecvByteBufAllocator());

  /** The same for connections of clients. */
  static final RecvByteBufAllocator CLIENT_RECEIVE_ALLOCATOR = new HeapReceiveAllocator(
      new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_CLIENT_READ_BYTES, MAX_CLIENT_READ_BYTES));

  private ReceiveBuffers() {}

  private static final class HeapReceiveAllocator implements RecvByteBufAllocator {
    private final RecvByteBufAllocator adaptive;

    HeapReceiveAllocator(AdaptiveRecvByteBufAllocator adaptive) {
      this.adaptive = adaptive.maxMessagesPerRead(1);
    }

    @Override
    @SuppressWarnings("deprecation") // The interface has no other method to create a handle.
    public Handle newHandle() {
      return new DelegatingHandle(adaptive.newHandle()) {
        @Override
        public ByteBuf allocate(ByteBufAllocator allocator) {
          return allocator.heapBuffer(guess());
        }
      };
    }
  }

  /** Shrinks a buffer that waits for more bytes to about the size of what it holds: a read may be 64 KiB long
   * and leave only the first bytes of a message, and the peer may never send the rest. */
  static void trim(ByteBuf undecoded) {
    boolean oversized = undecoded.capacity() - undecoded.readableBytes() > MAX_UNUSED_BYTES;
    if (oversized && undecoded.isReadable() && undecoded.refCnt() == 1) {
      undecoded.discardReadBytes();
      undecoded.capacity(undecoded.readableBytes());
    }
  }
}
