package hollyslip.front.sys;

import com.sun.jna.Memory;
import com.sun.jna.Native;
import com.sun.jna.Pointer;
import java.io.IOException;
import java.lang.ref.Cleaner;
import java.lang.ref.Reference;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.LinkOption;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicInteger;

/** The Linux system calls that Java lacks: file descriptors over Unix sockets, eventfds, shared memory.
 * Errors are reported as {@link IOException}s that name the call. Layouts are those of 64-bit Linux
 * (recvmsg(2), cmsg(3)). */
public final class Linux {
  /** Maximum number of file descriptors in one message: VHOST_MEMORY_BASELINE_NREGIONS is 8. */
  public static final int MAX_FDS = 8;

  public static final short POLLIN = 1, POLLERR = 8, POLLHUP = 16, POLLNVAL = 32;

  private static final int AF_UNIX = 1, SOCK_STREAM = 1, SOCK_CLOEXEC = 0x80000, SOL_SOCKET = 1;
  private static final int SO_PEERCRED = 17;
  private static final int SCM_RIGHTS = 1, MSG_DONTWAIT = 0x40, MSG_NOSIGNAL = 0x4000;
  private static final int MSG_CMSG_CLOEXEC = 0x40000000, MSG_CTRUNC = 8;
  private static final int EFD_NONBLOCK = 0x800, EFD_CLOEXEC = 0x80000, MFD_CLOEXEC = 1;
  private static final int F_GETFL = 3, F_SETFL = 4, O_NONBLOCK = 0x800;
  private static final int PROT_RW = 3, MAP_SHARED = 1, SEEK_END = 2;
  private static final int MAP_PRIVATE = 2, MAP_FIXED = 0x10, MAP_ANONYMOUS = 0x20, MAP_NORESERVE = 0x4000;
  private static final int EINTR = 4, EAGAIN = 11;
  private static final int SUN_PATH = 108;

  static {
    Native.register("c");
  }

  private static native int socket(int domain, int type, int protocol);

  private static native int bind(int fd, Pointer address, int length);

  private static native int listen(int fd, int backlog);

  private static native int accept4(int fd, Pointer address, Pointer length, int flags);

  private static native int connect(int fd, Pointer address, int length);

  private static native long recvmsg(int fd, Pointer message, int flags);

  private static native long sendmsg(int fd, Pointer message, int flags);

  private static native int memfd_create(String name, int flags);

  private static native int eventfd(int initial, int flags);

  private static native Pointer mmap(Pointer at, long length, int protection, int flags, int fd, long offset);

  private static native int munmap(Pointer at, long length);

  private static native int poll(Pointer fds, long count, int timeout);

  private static native long read(int fd, Pointer to, long length);

  private static native long write(int fd, Pointer from, long length);

  private static native int fcntl(int fd, int command, int argument);

  private static native int ftruncate(int fd, long length);

  private static native long lseek(int fd, long offset, int whence);

  private static native int kill(int pid, int signal);

  private static native int epoll_create1(int flags);

  private static native int epoll_ctl(int epoll, int operation, int fd, Pointer event);

  private static native int epoll_wait(int epoll, Pointer events, int most, int timeout);

  private static native int getsockopt(int fd, int level, int name, Pointer value, Pointer length);

  private static native int close(int fd);

  private Linux() {}

  private static int check(int result, String call) throws IOException {
    if (result < 0) {
      throw new IOException(call + ": error " + Native.getLastError());
    }
    return result;
  }

  private static Memory socketAddress(Path path) throws IOException {
    byte[] name = path.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8);
    if (name.length >= SUN_PATH) {
      throw new IOException("socket path longer than " + (SUN_PATH - 1) + " bytes: " + path);
    }
    Memory address = new Memory(2 + SUN_PATH);
    address.clear();
    address.setShort(0, (short) AF_UNIX);
    address.write(2, name, 0, name.length);
    return address;
  }

  /** Opens a listening Unix socket at a path. A file left by a dead process is replaced, but one on which
   * another process listens is not: taking it over would silently cut that process off from its clients. */
  public static int listen(Path path) throws IOException {
    if (Files.exists(path, LinkOption.NOFOLLOW_LINKS)) {
      if (isListening(path)) {
        throw new IOException("another process listens at " + path);
      }
      Files.delete(path);
    }
    int fd = check(socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0), "socket");
    try {
      Memory address = socketAddress(path);
      check(bind(fd, address, (int) address.size()), "bind " + path);
      check(listen(fd, 16), "listen");
      return fd;
    } catch (IOException e) {
      close(fd);
      throw e;
    }
  }

  private static boolean isListening(Path path) {
    try {
      closeAll(connect(path));
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  /** Accepts the next connection of a listening socket, and waits for one. */
  public static int accept(int fd) throws IOException {
    return check(accept4(fd, null, null, SOCK_CLOEXEC), "accept");
  }

  /** Connects to a Unix socket. */
  public static int connect(Path path) throws IOException {
    int fd = check(socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0), "socket");
    try {
      Memory address = socketAddress(path);
      check(connect(fd, address, (int) address.size()), "connect " + path);
      return fd;
    } catch (IOException e) {
      close(fd);
      throw e;
    }
  }

  /** Result of one {@code recvmsg}; {@code bytes} is -1 if the peer closed the connection and -2 if nothing
   * was available. */
  public record Received(int bytes, int[] fds, boolean truncated) {}

  /** Reads up to {@code length} bytes without blocking; the caller owns the file descriptors received with
   * them. */
  public static Received receive(int fd, Memory into, int offset, int length) throws IOException {
    Memory control = new Memory(16 + 4 * 2 * MAX_FDS);
    Memory iov = new Memory(16);
    iov.setPointer(0, into.share(offset));
    iov.setLong(8, length);
    Memory header = messageHeader(iov, control, control.size());
    long received = recvmsg(fd, header, MSG_DONTWAIT | MSG_CMSG_CLOEXEC);
    int error = received < 0 ? Native.getLastError() : 0;
    Reference.reachabilityFence(iov);
    if (received < 0) {
      if (error == EAGAIN || error == EINTR) {
        return new Received(-2, new int[0], false);
      }
      throw new IOException("recvmsg: error " + error);
    }
    int[] fds = new int[0];
    long controlLength = header.getLong(40);
    if (controlLength >= 16 && control.getInt(8) == SOL_SOCKET && control.getInt(12) == SCM_RIGHTS) {
      int count = (int) Math.min((control.getLong(0) - 16) / 4, (controlLength - 16) / 4);
      fds = control.getIntArray(16, Math.max(0, count));
    }
    return new Received(received == 0 ? -1 : (int) received, fds, (header.getInt(48) & MSG_CTRUNC) != 0);
  }

  /** Sends bytes with file descriptors. */
  public static void send(int fd, byte[] bytes, int... fds) throws IOException {
    Memory data = new Memory(bytes.length);
    data.write(0, bytes, 0, bytes.length);
    Memory iov = new Memory(16);
    int sent = 0;
    while (sent < bytes.length) {
      iov.setPointer(0, data.share(sent));
      iov.setLong(8, bytes.length - sent);
      Memory control = null;
      if (fds.length > 0 && sent == 0) {
        control = new Memory(16 + (4 * fds.length + 7) / 8 * 8);
        control.clear();
        control.setLong(0, 16 + 4L * fds.length);
        control.setInt(8, SOL_SOCKET);
        control.setInt(12, SCM_RIGHTS);
        control.write(16, fds, 0, fds.length);
      }
      long count = sendmsg(fd, messageHeader(iov, control, control == null ? 0 : control.size()),
          MSG_NOSIGNAL);
      int error = count < 0 ? Native.getLastError() : 0;
      Reference.reachabilityFence(control);
      if (count < 0 && error != EINTR) {
        throw new IOException("sendmsg: error " + error);
      }
      sent += (int) Math.max(0, count);
    }
  }

  /** Sends bytes without blocking.
   *
   * @throws IOException
   *           if they cannot be sent at once and completely */
  public static void sendWithoutBlocking(int fd, byte[] bytes) throws IOException {
    Memory data = new Memory(bytes.length);
    data.write(0, bytes, 0, bytes.length);
    Memory iov = new Memory(16);
    iov.setPointer(0, data);
    iov.setLong(8, bytes.length);
    long sent = sendmsg(fd, messageHeader(iov, null, 0), MSG_NOSIGNAL | MSG_DONTWAIT);
    Reference.reachabilityFence(iov);
    if (sent < bytes.length) {
      throw new IOException("sendmsg: " + sent + " of " + bytes.length);
    }
  }

  private static Memory messageHeader(Memory iov, Pointer control, long controlLength) {
    Memory header = new Memory(56);
    header.clear();
    header.setPointer(16, iov);
    header.setLong(24, 1);
    header.setPointer(32, control);
    header.setLong(40, controlLength);
    return header;
  }

  /** Creates a non-blocking eventfd. */
  public static int eventfd() throws IOException {
    return check(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC), "eventfd");
  }

  /** Returns whether a file descriptor is an eventfd. */
  public static boolean isEventfd(int fd) {
    try {
      return Files.readSymbolicLink(Path.of("/proc/self/fd/" + fd)).toString().equals("anon_inode:[eventfd]");
    } catch (IOException e) {
      return false;
    }
  }

  /** Makes a file descriptor non-blocking. */
  public static void setNonBlocking(int fd) throws IOException {
    int flags = check(fcntl(fd, F_GETFL, 0), "fcntl");
    check(fcntl(fd, F_SETFL, flags | O_NONBLOCK), "fcntl");
  }

  /** Eight-byte buffer for eventfds, one per thread. */
  private static final ThreadLocal<Memory> EVENTFD_VALUE = ThreadLocal.withInitial(() -> new Memory(8));

  /** Adds one to an eventfd. If the counter is full nothing is lost, because its reader will wake up
   * anyway. */
  public static void signalEventfd(int fd) {
    Memory value = EVENTFD_VALUE.get();
    value.setLong(0, 1);
    write(fd, value, 8);
  }

  /** Reads and resets the counter of an eventfd. */
  public static void drainEventfd(int fd) {
    read(fd, EVENTFD_VALUE.get(), 8);
  }

  /** Creates an anonymous memory file of the given size. */
  public static int memfd(String name, long size) throws IOException {
    int fd = check(memfd_create(name, MFD_CLOEXEC), "memfd_create");
    check(ftruncate(fd, size), "ftruncate");
    return fd;
  }

  /** Changes the length of a file. */
  public static void truncate(int fd, long size) throws IOException {
    check(ftruncate(fd, size), "ftruncate");
  }

  /** Returns the length of a file in bytes. */
  public static long size(int fd) throws IOException {
    long length = lseek(fd, 0, SEEK_END);
    if (length < 0) {
      throw new IOException("lseek: error " + Native.getLastError());
    }
    return length;
  }

  /** Shared memory whose views stay safe to use after it ends: {@link #unmap} replaces it by empty memory in
   * one atomic step of the kernel, and the address range is released only once no view is reachable any more.
   * This guards against a SIGSEGV, which ends the whole process, when a thread still looks at a ring while
   * another closes it. The cost is that address space (and memory only for what is touched after the end)
   * stays in use until the next garbage collection. */
  public static final class Mapping {
    /** Maximum size of a view in bytes. */
    public static final int MAX_VIEW_BYTES = 1 << 30;

    private static final Cleaner CLEANER = Cleaner.create();

    private final Pointer base;
    private final long length;
    /** Views are slices of these buffers and keep them reachable. Each window is two maximum views long, so
     * that any view fits into one. */
    private final ByteBuffer[] windows;
    private boolean mapped = true;

    private Mapping(Pointer base, long length) {
      this.base = base;
      this.length = length;
      windows = new ByteBuffer[(int) Math.max(1, (length + MAX_VIEW_BYTES - 1) / MAX_VIEW_BYTES)];
      Runnable releaser = new AddressReleaser(base, length, new AtomicInteger(windows.length));
      for (int i = 0; i < windows.length; i++) {
        long start = (long) i * MAX_VIEW_BYTES;
        windows[i] = base.getByteBuffer(start, Math.min(length - start, Integer.MAX_VALUE));
        CLEANER.register(windows[i], releaser);
      }
    }

    /** Returns a view of at most {@link #MAX_VIEW_BYTES} bytes. After {@link #unmap} it reads as zeros, and
     * nobody sees what is written to it. */
    public ByteBuffer view(long offset, long size) {
      if (offset < 0 || size < 0 || offset > length - size || size > MAX_VIEW_BYTES) {
        throw new IndexOutOfBoundsException(offset + "+" + size + " of " + length);
      }
      int window = (int) Math.min(offset / MAX_VIEW_BYTES, windows.length - 1);
      return windows[window].slice((int) (offset - (long) window * MAX_VIEW_BYTES), (int) size);
    }

    /** Copies {@code size} bytes to the start of a buffer, without creating a view. */
    public void copy(long offset, ByteBuffer to, int size) {
      if (offset < 0 || size < 0 || offset > length - size) {
        throw new IndexOutOfBoundsException(offset + "+" + size + " of " + length);
      }
      int window = (int) Math.min(offset / MAX_VIEW_BYTES, windows.length - 1);
      to.put(0, windows[window], (int) (offset - (long) window * MAX_VIEW_BYTES), size);
    }

    /** Ends the mapping; further calls do nothing. If the kernel has no room for the empty memory, the shared
     * memory stays mapped until no view is left. */
    public synchronized void unmap() {
      if (mapped) {
        mapped = false;
        mmap(base, length, PROT_RW, MAP_PRIVATE | MAP_FIXED | MAP_ANONYMOUS | MAP_NORESERVE, -1, 0);
        MAPPING_COUNT.decrementAndGet();
      }
    }

    /** Releases the address range when the last window is unreachable. */
    private record AddressReleaser(Pointer base, long length, AtomicInteger remainingWindows)
        implements
          Runnable {
      @Override
      public void run() {
        if (remainingWindows.decrementAndGet() == 0) {
          munmap(base, length);
        }
      }
    }
  }

  private static final AtomicInteger MAPPING_COUNT = new AtomicInteger();

  /** Number of mappings not yet ended, for tests that look for leaks. */
  public static int mappingCount() {
    return MAPPING_COUNT.get();
  }

  /** Maps a part of a file; {@code offset} must be a multiple of the page size. */
  public static Mapping map(int fd, long offset, long length) throws IOException {
    Pointer address = mmap(null, length, PROT_RW, MAP_SHARED, fd, offset);
    if (Pointer.nativeValue(address) == -1) {
      throw new IOException("mmap: error " + Native.getLastError());
    }
    MAPPING_COUNT.incrementAndGet();
    return new Mapping(address, length);
  }

  /** A set of file descriptors to wait for input on (poll(2)). Hang-ups are reported for all of them. */
  public static final class Poll {
    private Memory pollFds = new Memory(8 * 64);
    private int count;

    public void clear() {
      count = 0;
    }

    public void add(int fd) {
      add(fd, POLLIN);
    }

    /** Adds a file descriptor to wait for a hang-up only: its input is not reported. */
    public void addForHangUp(int fd) {
      add(fd, (short) 0);
    }

    private void add(int fd, short events) {
      if (8L * (count + 1) > pollFds.size()) {
        Memory larger = new Memory(pollFds.size() * 2);
        byte[] old = pollFds.getByteArray(0, (int) pollFds.size());
        larger.write(0, old, 0, old.length);
        pollFds = larger;
      }
      pollFds.setInt(8L * count, fd);
      pollFds.setInt(8L * count + 4, events);
      count++;
    }

    /** Waits until one of them has input or the time in ms is up; -1 waits without limit. */
    public void await(int timeoutMs) {
      for (int i = 0; i < count; i++) {
        pollFds.setShort(8L * i + 6, (short) 0);
      }
      poll(pollFds, count, timeoutMs);
    }

    /** Returns the events of the file descriptor that was added at index {@code i}. */
    public short events(int i) {
      return pollFds.getShort(8L * i + 6);
    }
  }

  /** A set of many file descriptors to wait for input on, at a cost that depends on those that have input
   * (epoll(7)). */
  public static final class Epoll {
    private static final int ADD = 1, DELETE = 2, MAX_EVENTS = 64;
    private final EpollEventLayout layout = EpollEventLayout.of(System.getProperty("os.arch"));
    private final Memory events = new Memory((long) MAX_EVENTS * layout.size());
    private final int fd;

    /** @throws IOException
     *           if there is no descriptor left, or the architecture is not supported */
    public Epoll() throws IOException {
      fd = check(epoll_create1(SOCK_CLOEXEC), "epoll_create1");
    }

    /** Adds a file descriptor; {@code tag} is returned with its events. */
    public void add(int watched, int tag) throws IOException {
      Memory event = new Memory(layout.size());
      event.setInt(0, POLLIN);
      event.setLong(layout.dataOffset(), tag);
      check(epoll_ctl(fd, ADD, watched, event), "epoll_ctl");
    }

    public void remove(int watched) {
      epoll_ctl(fd, DELETE, watched, new Memory(layout.size()));
    }

    /** Waits and returns the tags of the file descriptors that have input. */
    public int[] await() {
      int count = Math.max(0, epoll_wait(fd, events, MAX_EVENTS, -1));
      int[] tags = new int[count];
      for (int i = 0; i < count; i++) {
        tags[i] = (int) events.getLong((long) i * layout.size() + layout.dataOffset());
      }
      return tags;
    }

    public void close() {
      Linux.close(fd);
    }
  }

  /** Returns the user ID of the process at the other end of a Unix socket, as of its connect (unix(7),
   * SO_PEERCRED). */
  public static long peerUserId(int fd) throws IOException {
    Memory credentials = new Memory(12);
    Memory length = new Memory(4);
    length.setInt(0, 12);
    check(getsockopt(fd, SOL_SOCKET, SO_PEERCRED, credentials, length), "getsockopt");
    return Integer.toUnsignedLong(credentials.getInt(4));
  }

  /** Sends a signal to a process. */
  public static void signalProcess(long pid, int signal) throws IOException {
    check(kill((int) pid, signal), "kill");
  }

  /** Closes file descriptors; ignores failures. */
  public static void closeAll(int... fds) {
    Arrays.stream(fds).filter(fd -> fd >= 0).forEach(Linux::close);
  }
}
