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

/** The memory that a client shares, as an immutable table of regions. A region is unmapped once neither a
 * table nor a request refers to it any more, so that nothing writes to unmapped memory. */
final class GuestMemory {
  static final GuestMemory EMPTY = new GuestMemory(List.of());

  /** Unmapping a large region takes the kernel a while, so serving threads do not do it themselves. */
  private static final ExecutorService UNMAPPER = Executors.newSingleThreadExecutor(r -> {
    Thread t = new Thread(r, "unmapper");
    t.setDaemon(true);
    return t;
  });

  /** A region, with the addresses of the message "memory region description". */
  static final class Region {
    final long guestAddress, size, userAddress;
    private final long mappingOffset;
    private final Linux.Mapping mapping;
    private final AtomicInteger referenceCount = new AtomicInteger(1);

    private Region(long guestAddress, long size, long userAddress, long mappingOffset,
        Linux.Mapping mapping) {
      this.guestAddress = guestAddress;
      this.size = size;
      this.userAddress = userAddress;
      this.mappingOffset = mappingOffset;
      this.mapping = mapping;
    }

    ByteBuffer view(long offset, int length) {
      return mapping.view(mappingOffset + offset, length).order(ByteOrder.LITTLE_ENDIAN);
    }

    void copy(long offset, ByteBuffer to, int length) {
      mapping.copy(mappingOffset + offset, to, length);
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

  /** Maps a region of a file that the client sent. A file shorter than the region is rejected, because
   * accessing memory beyond its end would raise a SIGBUS. The caller keeps the file descriptor. */
  static Region map(long guestAddress, long size, long userAddress, long offset, int fd) {
    ProtocolViolationException.check(size > 0 && offset >= 0 && offset <= Long.MAX_VALUE - size,
        "memory region: size " + size
            + " at offset " + offset);
    ProtocolViolationException.check(guestAddress >= 0 && guestAddress <= Long.MAX_VALUE - size
        && userAddress >= 0
        && userAddress <= Long.MAX_VALUE
            - size, "memory region: address out of range");
    try {
      ProtocolViolationException.check(Linux.size(fd) >= offset + size,
          "memory region: the file is shorter than offset + size");
      return new Region(guestAddress, size, userAddress, offset, Linux.map(fd, 0, offset + size));
    } catch (IOException e) {
      throw new ProtocolViolationException("memory region: " + e.getMessage());
    }
  }

  /** Returns a table with one more region. */
  GuestMemory withRegion(Region added) {
    for (Region r : regions) {
      ProtocolViolationException.check(added.guestAddress + added.size <= r.guestAddress || r.guestAddress
          + r.size <= added.guestAddress,
          "memory region: overlaps another region");
    }
    List<Region> next = new ArrayList<>(regions);
    next.add(added);
    return new GuestMemory(next);
  }

  /** Returns a table without a region; the caller releases the region. */
  GuestMemory withoutRegion(Region removed) {
    return new GuestMemory(regions.stream().filter(r -> r != removed).toList());
  }

  /** Returns a view of memory by the client's own addresses, which locate the rings. */
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
    long offset = address - r.guestAddress;
    ProtocolViolationException.check(length <= r.size - offset,
        "indirect descriptor.addr: the table spans two regions");
    r.copy(offset, to, length);
  }

  /** Adds views of a range of guest memory to {@code views}, and the regions it touches to {@code touched}; a
   * range may continue in the next region. */
  void addViewsAtGuestAddress(long address, long length, List<ByteBuffer> views, List<Region> touched) {
    long current = address;
    long remaining = length;
    while (remaining > 0) {
      Region region = findByGuestAddress(current);
      int count = (int) Math.min(Math.min(remaining, Linux.Mapping.MAX_VIEW_BYTES), region.size - (current
          - region.guestAddress));
      views.add(region.view(current - region.guestAddress, count));
      if (!touched.contains(region)) {
        touched.add(region);
      }
      current += count;
      remaining -= count;
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
