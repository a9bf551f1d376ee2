package hollyslip.platform;

import io.netty.channel.Channel;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.unix.Socket;
import java.io.IOException;
import java.lang.reflect.Method;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/** Reads from the kernel when a TCP socket last received data, which may be long before the data is read
 * (tcp(7), {@code TCP_INFO}). The JDK does not offer this option, so it is read by the native library of
 * Netty. Where that cannot be loaded, or the JDK does not tell a socket's file descriptor, the time of the
 * read is returned. */
final class SocketReceiveTimes {
  private static final int IPPROTO_TCP = 6, TCP_INFO = 11;

  /** Offset of {@code tcpi_last_data_recv} in {@code struct tcp_info}, bytes: age of the last data, ms. */
  private static final int LAST_DATA_RECEIVED_OFFSET = 52;

  private static final int TCP_INFO_BYTES = LAST_DATA_RECEIVED_OFFSET + Integer.BYTES;

  private final ByteBuffer info = ByteBuffer.allocate(TCP_INFO_BYTES).order(ByteOrder.nativeOrder());
  /** Returns the file descriptor of a channel of the JDK; null: times are not available. */
  private final Method fileDescriptorMethod;

  private SocketReceiveTimes(Method fileDescriptorMethod) {
    this.fileDescriptorMethod = fileDescriptorMethod;
  }

  /** Returns an instance that knows no times but those of the reads. */
  static SocketReceiveTimes unavailable() {
    return new SocketReceiveTimes(null);
  }

  /** Loads the native library; logs why, if times are not available. */
  static SocketReceiveTimes load(EventLog log) {
    try {
      Epoll.ensureAvailability();
      return new SocketReceiveTimes(Class.forName("sun.nio.ch.SelChImpl").getMethod("getFDVal"));
    } catch (ReflectiveOperationException | LinkageError e) {
      log.event("receive-times.unavailable", "reason", e);
      return unavailable();
    }
  }

  boolean isAvailable() {
    return fileDescriptorMethod != null;
  }

  /** When the socket last received data, us, to the kernel's tick; {@code now} if that is not known. */
  long lastReceivedAt(Channel channel, long now) {
    if (!isAvailable()) {
      return now;
    }
    try {
      Object socketChannel = ((AbstractNioChannel) channel).unsafe().ch();
      int descriptor = (int) fileDescriptorMethod.invoke(socketChannel);
      info.clear();
      new Socket(descriptor).getRawOpt(IPPROTO_TCP, TCP_INFO, info);
      long ageMs = Integer.toUnsignedLong(info.getInt(LAST_DATA_RECEIVED_OFFSET));
      return now - ageMs * 1000;
    } catch (IOException | ReflectiveOperationException unknown) {
      // The connection was closed meanwhile, or the sockets are not the kernel's own.
      return now;
    }
  }
}
