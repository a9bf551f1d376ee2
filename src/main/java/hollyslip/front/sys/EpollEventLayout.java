package hollyslip.front.sys;

import java.io.IOException;

/** Layout of {@code struct epoll_event} (epoll_ctl(2)): 32 bits of events, then 64 bits of user data. The
 * kernel packs it on x86-64 alone, so that 32-bit programs share it; elsewhere the data is aligned to its own
 * size.
 *
 * @param size
 *          bytes from one event of an array to the next
 * @param dataOffset
 *          offset of the user data, bytes */
record EpollEventLayout(int size, int dataOffset) {
  private static final EpollEventLayout PACKED = new EpollEventLayout(12, 4);
  private static final EpollEventLayout ALIGNED = new EpollEventLayout(16, 8);

  /** Returns the layout of an architecture, as the system property {@code os.arch} names it.
   *
   * @throws IOException
   *           if the layout there is not known */
  static EpollEventLayout of(String architecture) throws IOException {
    return switch (architecture) {
      case "amd64", "x86_64" -> PACKED;
      case "aarch64" -> ALIGNED;
      default -> throw new IOException(
          "unsupported machine: system structures are known for x86-64 (amd64) and"
              + " arm64 (aarch64) only, not for " + architecture);
    };
  }
}
