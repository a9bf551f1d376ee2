package hollyslip.front.vhost;

import hollyslip.front.sys.Linux;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** The client's memory as it has shared it: an immutable row of regions. A region is unmapped when neither a
 * table nor a request holds it any more, so nothing can write to memory that is gone. */
final class GuestMemory {
  static final GuestMemory EMPTY = new GuestMemory(List.of());

  /** Unmapping a large region takes the kernel a while; no thread that serves waits for it. */
  private static final ExecutorService UNMAPPER = Executors.newSingleThreadExecutor(r -> {
    Thread t = new Thread(r, "unmapper");
    t.setDaemon(true);
    return t;
  });

  /** One region, by the addresses of the message "memory region description". */
  static final class Region {
    final long guestAddress, size, userAddress;
    private final long mappingOffset;
    private final Linux.Mapping mapping;
    private final AtomicInteger referenceCount = new AtomicInteger(1);

    private Region(long guest, long size, long user, long offset, Linux.Mapping mapping) {
      this.guestAddress = guest;
      this.size = size;
      this.userAddress = user;
      this.mappingOffset = offset;
      this.mapping = mapping;
    }

    ByteBuffer view(long at, int length) {
      return mapping.view(mappingOffset + at, length).order(ByteOrder.LITTLE_ENDIAN);
    }

    void copy(long at, ByteBuffer to, int length) {
      mapping.copy(mappingOffset + at, to, length);
    }

    void retain() {
      referenceCount.incrementAndGet();
    }

    void release() {
      if (referenceCount.decrementAndGet() == 0) {
        UNMAPPER.execute(mapping::unmap);
      }
    }
  }

  final List<Region> regions;

  private GuestMemory(List<Region> regions) {
    this.regions = List.copyOf(regions);
  }

  /** Maps a region of a file that the client sent. A file that is shorter than the region is turned down: a
   * touch behind its end would be a SIGBUS. The descriptor stays the caller's. */
  static Region map(long guest, long size, long user, long offset, int fd) {
    ProtocolViolationException.check(size > 0 && offset >= 0 && offset <= Long.MAX_VALUE - size,
        "memory region: size " + size
            + " at offset " + offset);
    ProtocolViolationException.check(guest >= 0 && guest <= Long.MAX_VALUE - size && user >= 0
        && user <= Long.MAX_VALUE
            - size, "memory region: address out of range");
    try {
      ProtocolViolationException.check(Linux.size(fd) >= offset + size,
          "memory region: file shorter than offset + size");
      return new Region(guest, size, user, offset, Linux.map(fd, 0, offset + size));
    } catch (IOException e) {
      throw new ProtocolViolationException("memory region: " + e.getMessage());
    }
  }

  /** The table with one more region. */
  GuestMemory withRegion(Region added) {
    for (Region r : regions) {
      ProtocolViolationException.check(added.guestAddress + added.size <= r.guestAddress || r.guestAddress
          + r.size <= added.guestAddress,
          "memory region: overlaps another");
    }
    List<Region> next = new ArrayList<>(regions);
    next.add(added);
    return new GuestMemory(next);
  }

  /** The table without a region; the caller releases it. */
  GuestMemory withoutRegion(Region gone) {
    return new GuestMemory(regions.stream().filter(r -> r != gone).toList());
  }

  /** A view of memory by the client's own addresses: where rings lie. */
  ByteBuffer viewAtUserAddress(long address, int length, String field) {
    for (Region r : regions) {
      if (address >= r.userAddress && address - r.userAddress <= r.size - length) {
        return r.view(address - r.userAddress, length);
      }
    }
    throw new ProtocolViolationException(field + ": outside shared memory");
  }

  /** Copies a range of guest memory, which must lie in one region, to the start of {@code to}. */
  void copyFromGuestAddress(long address, ByteBuffer to, int length) {
    Region r = findByGuestAddress(address);
    long at = address - r.guestAddress;
    ProtocolViolationException.check(length <= r.size - at,
        "indirect descriptor.addr: a table in two regions");
    r.copy(at, to, length);
  }

  /** Adds views of a range of guest memory to {@code to} and the regions touched to {@code held}; a range may
   * go on in the next region. */
  void addViewsAtGuestAddress(long address, long length, List<ByteBuffer> to, List<Region> held) {
    long at = address;
    long left = length;
    while (left > 0) {
      Region r = findByGuestAddress(at);
      int n = (int) Math.min(Math.min(left, Linux.Mapping.MAX_VIEW_BYTES), r.size - (at - r.guestAddress));
      to.add(r.view(at - r.guestAddress, n));
      if (!held.contains(r)) {
        held.add(r);
      }
      at += n;
      left -= n;
    }
  }

  private Region findByGuestAddress(long address) {
    for (Region r : regions) {
      if (address >= r.guestAddress && address - r.guestAddress < r.size) {
        return r;
      }
    }
    throw new ProtocolViolationException("descriptor.addr: " + Long.toHexString(address)
        + " is outside shared memory");
  }

  void releaseAll() {
    regions.forEach(Region::release);
  }
}
