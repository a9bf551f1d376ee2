package hollyslip.front.vhost;

import hollyslip.front.sys.Linux;
import hollyslip.recovery.InflightLog;
import hollyslip.volume.Volume;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The messages of one vhost-user connection ("Front-end message types" of the specification) and what they
 * have set up: features, memory, rings, the region of what is in flight. For the device's thread. */
final class Messages {
  private static final Logger LOG = LoggerFactory.getLogger(Messages.class);

  /** Queues of one device at most. */
  static final int MOST_QUEUES = 16;

  private static final long FEATURES = Wire.F_INDIRECT | Wire.F_EVENT_IDX | Wire.F_PROTOCOL | Wire.F_VERSION_1
      | Wire.BLK_SEG_MAX | Wire.BLK_BLK_SIZE | Wire.BLK_FLUSH | Wire.BLK_MQ | Wire.BLK_DISCARD
      | Wire.BLK_WRITE_ZEROES | Wire.BLK_REFUSED;
  private static final long PROTOCOL = Wire.P_MQ | Wire.P_REPLY_ACK | Wire.P_BACKEND_REQ | Wire.P_CONFIG
      | Wire.P_INFLIGHT | Wire.P_MEM_SLOTS;
  private static final int MOST_SLOTS = 64;
  private static final int CONFIG_BYTES = 60;
  private static final int SEG_MAX = 126;
  private static final long MOST_INFLIGHT_BYTES = 1 << 20;

  private final int socket;
  private final Supplier<Volume> volume;
  private final com.sun.jna.Memory buffer = new com.sun.jna.Memory(4096);
  private final ByteBuffer in = ByteBuffer.allocate(8192).order(ByteOrder.LITTLE_ENDIAN);
  private final ArrayDeque<Integer> arrivedFds = new ArrayDeque<>();
  private final List<Ring> rings = new ArrayList<>();
  private int backend = -1;
  private long features;
  private long protocol;
  private boolean owned;
  private GuestMemory memory = GuestMemory.NONE;
  private Linux.Mapping inflight;
  private ByteBuffer inflightView;
  private int inflightQueues, inflightSize;
  private Ring draining;
  private Wire.Message baseAsked;

  /** The client closed its end. */
  static final class Closed extends RuntimeException {
    private static final long serialVersionUID = 1;

    Closed() {
      super(null, null, false, false);
    }
  }

  /** @param volume
   *          what the device shows, as it is at the time */
  Messages(int socket, Supplier<Volume> volume) {
    this.socket = socket;
    this.volume = volume;
  }

  List<Ring> rings() {
    return rings;
  }

  GuestMemory memory() {
    return memory;
  }

  /** Whether a bit of the features is agreed. */
  boolean agreed(long feature) {
    return (features & feature) != 0;
  }

  /** The ring that is being stopped; null: none. While there is one, no message is read. */
  Ring draining() {
    return draining;
  }

  /** Tells a client that listens for it to read the configuration again
   * (VHOST_USER_BACKEND_CONFIG_CHANGE_MSG). A client that does not read its end must not stop the device, so
   * the message is dropped then. */
  void tellGrown() {
    if (backend >= 0) {
      try {
        Linux.sendNow(backend, Wire.message(Wire.BACKEND_CONFIG_CHANGE, 0, new byte[0]));
      } catch (IOException e) {
        LOG.atDebug()
            .addKeyValue("volume", volume.get().name())
            .addKeyValue("why", e.getMessage())
            .log("device.config");
      }
    }
  }

  /** Reads what has come and does what it says. */
  void receive() throws IOException {
    Linux.Received got = Linux.receive(socket, buffer, 0, (int) Math.min(buffer.size(), in.remaining()));
    for (int fd : got.fds()) {
      arrivedFds.add(fd);
    }
    Violation.check(!got.truncated() && arrivedFds.size() <= Linux.MOST_FDS, "message: too many descriptors");
    if (got.bytes() == -1) {
      throw new Closed();
    }
    if (got.bytes() > 0) {
      byte[] bytes = buffer.getByteArray(0, got.bytes());
      in.put(bytes);
      in.flip();
      for (Wire.Message m = Wire.read(in); m != null && draining == null; m = draining == null
          ? Wire.read(in)
          : null) {
        message(m);
        Violation.check(arrivedFds.isEmpty(), "message " + m.request()
            + ": descriptors that it does not have");
      }
      in.compact();
    }
  }

  private void message(Wire.Message m) throws IOException {
    Violation.check((m.flags() & Wire.REPLY) == 0, "message.flags: a reply, not asked for");
    ByteBuffer p = m.payload();
    boolean replied = true;
    switch (m.request()) {
      case Wire.GET_FEATURES -> reply(m, Wire.u64(FEATURES));
      case Wire.GET_PROTOCOL_FEATURES -> reply(m, Wire.u64(PROTOCOL));
      case Wire.GET_QUEUE_NUM -> reply(m, Wire.u64(MOST_QUEUES));
      case Wire.GET_MAX_MEM_SLOTS -> reply(m, Wire.u64(MOST_SLOTS));
      case Wire.GET_CONFIG -> config(m);
      case Wire.GET_INFLIGHT_FD -> giveInflight(m);
      case Wire.GET_VRING_BASE -> stopRing(m);
      default -> { command(m, p); replied = false; }
    }
    if (!replied && (m.flags() & Wire.NEED_REPLY) != 0 && (protocol & Wire.P_REPLY_ACK) != 0) {
      reply(m, Wire.u64(0));
    }
  }

  private void command(Wire.Message m, ByteBuffer p) throws IOException {
    switch (m.request()) {
      case Wire.SET_FEATURES -> {
        need(p, 8, "SET_FEATURES");
        long wanted = p.getLong();
        Violation.check((wanted & ~FEATURES) == 0, "SET_FEATURES: bits " + Long.toHexString(wanted
            & ~FEATURES) + " were not offered");
        Violation.check(rings.stream().allMatch(r -> r.queue == null), "SET_FEATURES: while a ring runs");
        features = wanted;
      }
      case Wire.SET_PROTOCOL_FEATURES -> {
        need(p, 8, "SET_PROTOCOL_FEATURES");
        long wanted = p.getLong();
        Violation.check((wanted & ~PROTOCOL) == 0, "SET_PROTOCOL_FEATURES: bits " + Long.toHexString(wanted
            & ~PROTOCOL) + " were not offered");
        protocol = wanted;
      }
      case Wire.SET_OWNER -> { Violation.check(!owned, "SET_OWNER: owned already"); owned = true; }
      case Wire.RESET_OWNER -> owned = false;
      case Wire.SET_MEM_TABLE -> memoryTable(p);
      case Wire.ADD_MEM_REG -> {
        need(p, 40, "ADD_MEM_REG");
        p.getLong();
        Violation.check(memory.regions.size() < MOST_SLOTS, "ADD_MEM_REG: more than " + MOST_SLOTS);
        addRegion(p);
      }
      case Wire.REM_MEM_REG -> removeRegion(p);
      case Wire.SET_VRING_NUM -> {
        Ring r = stopped(p, "SET_VRING_NUM");
        int size = p.getInt();
        Violation.check(size > 0 && size <= Virtqueue.MOST_SIZE && Integer.bitCount(size) == 1,
            "SET_VRING_NUM: " + size);
        r.size = size;
      }
      case Wire.SET_VRING_ADDR -> address(p);
      case Wire.SET_VRING_BASE -> stopped(p, "SET_VRING_BASE").base = p.getInt() & 0xffff;
      case Wire.SET_VRING_KICK -> {
        Ring r = ringOfFd(p, "SET_VRING_KICK");
        r.kick = eventfd(p, r.kick, "SET_VRING_KICK");
        start(r);
      }
      case Wire.SET_VRING_CALL -> {
        Ring r = ringOfFd(p, "SET_VRING_CALL");
        r.call = eventfd(p, r.call, "SET_VRING_CALL");
      }
      case Wire.SET_VRING_ERR -> {
        Ring r = ringOfFd(p, "SET_VRING_ERR");
        r.err = eventfd(p, r.err, "SET_VRING_ERR");
      }
      case Wire.SET_BACKEND_REQ_FD -> {
        Violation.check((protocol & Wire.P_BACKEND_REQ) != 0, "SET_BACKEND_REQ_FD: not agreed");
        Integer fd = arrivedFds.poll();
        Violation.check(fd != null, "SET_BACKEND_REQ_FD: no descriptor");
        Linux.closeAll(backend);
        backend = fd;
      }
      case Wire.SET_VRING_ENABLE -> {
        need(p, 8, "SET_VRING_ENABLE");
        Ring r = ring(p.getInt(), "SET_VRING_ENABLE");
        r.enabled = p.getInt() != 0;
        start(r);
      }
      case Wire.SET_CONFIG -> throw new Violation("SET_CONFIG: nothing in the configuration can be written");
      case Wire.SET_INFLIGHT_FD -> takeInflight(p);
      default -> throw new Violation("message.request: " + m.request() + " is not known here");
    }
  }

  private void reply(Wire.Message m, byte[] payload, int... fds) throws IOException {
    Linux.send(socket, Wire.message(m.request(), Wire.REPLY, payload), fds);
  }

  private static void need(ByteBuffer p, int bytes, String field) {
    Violation.check(p.remaining() == bytes, field + ": size " + p.remaining() + ", not " + bytes);
  }

  private Ring ring(int index, String field) {
    Violation.check(index >= 0 && index < MOST_QUEUES, field + ": queue " + Integer.toUnsignedString(index));
    while (rings.size() <= index) {
      rings.add(new Ring(rings.size()));
      // Without the protocol's features a ring starts enabled: "Ring states".
      rings.get(rings.size() - 1).enabled = (features & Wire.F_PROTOCOL) == 0;
    }
    return rings.get(index);
  }

  private Ring stopped(ByteBuffer p, String field) {
    need(p, 8, field);
    Ring r = ring(p.getInt(), field);
    Violation.check(r.queue == null, field + ": while the ring runs");
    return r;
  }

  private Ring ringOfFd(ByteBuffer p, String field) {
    need(p, 8, field);
    return ring((int) (p.getLong(0) & 0xff), field);
  }

  private int eventfd(ByteBuffer p, int old, String field) throws IOException {
    boolean none = (p.getLong(0) & 0x100) != 0;
    Violation.check(none == arrivedFds.isEmpty(), field + ": descriptor missing or not announced");
    if (old >= 0) {
      Linux.closeAll(old);
    }
    if (none) {
      return -1;
    }
    int fd = arrivedFds.poll();
    boolean good = Linux.isEventfd(fd);
    if (!good) {
      Linux.closeAll(fd);
      throw new Violation(field + ": the descriptor is not an eventfd");
    }
    Linux.nonBlocking(fd);
    return fd;
  }

  private void memoryTable(ByteBuffer p) {
    Violation.check(p.remaining() >= 8, "SET_MEM_TABLE: size " + p.remaining());
    int count = p.getInt();
    p.getInt();
    Violation.check(count >= 0 && count <= Linux.MOST_FDS && p.remaining() == count * 32 && arrivedFds
        .size() == count, "SET_MEM_TABLE: " + count + " regions, " + p.remaining() + " bytes, " + arrivedFds
            .size() + " descriptors");
    GuestMemory old = memory;
    memory = GuestMemory.NONE;
    old.releaseAll();
    for (int i = 0; i < count; i++) {
      addRegion(p);
    }
    rings.forEach(this::relocate);
  }

  private void addRegion(ByteBuffer p) {
    GuestMemory.Region region = region(p);
    try {
      memory = memory.with(region);
    } catch (Violation e) {
      region.release();
      throw e;
    }
  }

  private GuestMemory.Region region(ByteBuffer p) {
    long guest = p.getLong();
    long size = p.getLong();
    long user = p.getLong();
    long offset = p.getLong();
    Integer fd = arrivedFds.poll();
    Violation.check(fd != null, "memory region: no descriptor");
    try {
      return GuestMemory.map(guest, size, user, offset, fd);
    } finally {
      Linux.closeAll(fd);
    }
  }

  private void removeRegion(ByteBuffer p) {
    need(p, 40, "REM_MEM_REG");
    p.getLong();
    long guest = p.getLong();
    long size = p.getLong();
    long user = p.getLong();
    // A descriptor may come along and is of no use: "VHOST_USER_REM_MEM_REG".
    while (!arrivedFds.isEmpty()) {
      Linux.closeAll(arrivedFds.poll());
    }
    GuestMemory.Region gone = memory.regions.stream()
        .filter(r -> r.guest == guest && r.size == size && r.user == user)
        .findFirst()
        .orElseThrow(() -> new Violation("REM_MEM_REG: no such region"));
    memory = memory.without(gone);
    rings.forEach(this::relocate);
    gone.release();
  }

  /** A running ring goes on in the new table; it must lie in it. */
  private void relocate(Ring r) {
    if (r.queue != null) {
      r.queue.move(memory.byUser(r.table, 16 * r.size, "vring.descriptor"), memory.byUser(r.avail, Virtqueue
          .availBytes(r.size), "vring.available"), memory.byUser(r.used, Virtqueue.usedBytes(r.size),
              "vring.used"));
    }
  }

  private void address(ByteBuffer p) {
    need(p, 40, "SET_VRING_ADDR");
    Ring r = ring(p.getInt(), "SET_VRING_ADDR");
    p.getInt();
    r.table = p.getLong();
    r.used = p.getLong();
    r.avail = p.getLong();
    Violation.check(r.table % 16 == 0 && r.avail % 2 == 0 && r.used % 4 == 0, "SET_VRING_ADDR: not aligned");
    r.addressed = true;
    relocate(r);
  }

  /** Starts a ring once all that it needs is known. */
  void start(Ring r) {
    if (r.queue != null || !r.enabled || r.kick < 0 || r.size == 0 || !r.addressed) {
      return;
    }
    r.queue = new Virtqueue(r.size, memory.byUser(r.table, 16 * r.size, "vring.descriptor"), memory.byUser(
        r.avail, Virtqueue.availBytes(r.size), "vring.available"), memory.byUser(r.used, Virtqueue.usedBytes(
            r.size), "vring.used"), r.base, (features & Wire.F_EVENT_IDX) != 0);
    if (inflightView != null && r.index < inflightQueues && r.size <= inflightSize) {
      int stride = stride(inflightSize);
      List<Integer> heads = r.queue.recover(new InflightLog(inflightView.slice(r.index * stride, stride),
          r.size));
      r.again.addAll(heads);
      if (!heads.isEmpty()) {
        LOG.atInfo()
            .addKeyValue("volume", volume.get().name())
            .addKeyValue("queue", r.index)
            .addKeyValue("requests", heads.size())
            .log("ring.recovered");
      }
    }
    LOG.atDebug()
        .addKeyValue("volume", volume.get().name())
        .addKeyValue("queue", r.index)
        .addKeyValue("size", r.size)
        .log("ring.started");
  }

  /** The ring stops; the reply waits until all it has taken is answered: {@link #drained}. */
  private void stopRing(Wire.Message m) throws IOException {
    need(m.payload(), 8, "GET_VRING_BASE");
    Ring r = ring(m.payload().getInt(0), "GET_VRING_BASE");
    baseAsked = m;
    draining = r;
    if (r.queue == null || r.queue.inFlight() == 0) {
      drained();
    }
  }

  /** All that the stopping ring had is answered. */
  void drained() {
    Ring r = draining;
    draining = null;
    int base = r.queue == null ? r.base : r.queue.base();
    r.base = base;
    r.queue = null;
    if (r.kick >= 0) {
      Linux.closeAll(r.kick);
      r.kick = -1;
    }
    try {
      reply(baseAsked, Wire.state(r.index, base));
    } catch (IOException e) {
      throw new Closed();
    }
  }

  private void config(Wire.Message m) throws IOException {
    ByteBuffer p = m.payload();
    Violation.check(p.remaining() >= 12, "GET_CONFIG: size " + p.remaining());
    int offset = p.getInt(0);
    int size = p.getInt(4);
    Violation.check(offset >= 0 && size >= 0 && size == p.remaining() - 12 && size <= 256, "GET_CONFIG: "
        + offset + "+" + size);
    ByteBuffer c = ByteBuffer.allocate(offset + size + CONFIG_BYTES).order(ByteOrder.LITTLE_ENDIAN);
    c.putLong(0, volume.get().bytes() / Volume.BLOCK_BYTES)
        .putInt(12, SEG_MAX)
        .putInt(20, Volume.BLOCK_BYTES)
        .putShort(34, (short) MOST_QUEUES);
    int most = (int) Math.min(Integer.MAX_VALUE, volume.get().bytes() / Volume.BLOCK_BYTES);
    c.putInt(36, most).putInt(40, 1).putInt(44, 1).putInt(48, most).putInt(52, 1).put(56, (byte) 1);
    for (int i = 0; i < size; i++) {
      p.put(12 + i, offset + i < CONFIG_BYTES ? c.get(offset + i) : 0);
    }
    reply(m, p.array());
  }

  // In flight.

  private static int stride(int size) {
    return (InflightLog.regionBytes(size) + 63) / 64 * 64;
  }

  private void giveInflight(Wire.Message m) throws IOException {
    ByteBuffer p = m.payload();
    Violation.check(p.remaining() >= 20, "GET_INFLIGHT_FD: size " + p.remaining());
    int queues = Short.toUnsignedInt(p.getShort(16));
    int size = Short.toUnsignedInt(p.getShort(18));
    Violation.check(queues > 0 && queues <= MOST_QUEUES && size > 0 && size <= Virtqueue.MOST_SIZE,
        "GET_INFLIGHT_FD: " + queues + " queues of " + size);
    long bytes = (long) queues * stride(size);
    int fd = Linux.memfd("inflight", bytes);
    try {
      useInflight(fd, bytes, 0, queues, size);
      p.putLong(0, bytes).putLong(8, 0);
      reply(m, p.array(), fd);
    } finally {
      Linux.closeAll(fd);
    }
  }

  private void takeInflight(ByteBuffer p) throws IOException {
    Violation.check(p.remaining() >= 20, "SET_INFLIGHT_FD: size " + p.remaining());
    Integer fd = arrivedFds.poll();
    Violation.check(fd != null, "SET_INFLIGHT_FD: no descriptor");
    try {
      long bytes = p.getLong(0);
      long offset = p.getLong(8);
      int queues = Short.toUnsignedInt(p.getShort(16));
      int size = Short.toUnsignedInt(p.getShort(18));
      Violation.check(bytes > 0 && bytes <= MOST_INFLIGHT_BYTES && offset >= 0
          && offset <= MOST_INFLIGHT_BYTES && queues <= MOST_QUEUES && size <= Virtqueue.MOST_SIZE
          && bytes >= (long) queues * stride(size) && Linux.size(fd) >= offset + bytes, "SET_INFLIGHT_FD: "
              + queues + " queues of " + size + " in " + bytes + " bytes");
      useInflight(fd, bytes, offset, queues, size);
    } finally {
      Linux.closeAll(fd);
    }
  }

  private void useInflight(int fd, long bytes, long offset, int queues, int size) throws IOException {
    Violation.check(rings.stream().allMatch(r -> r.queue == null), "inflight region: while a ring runs");
    if (inflight != null) {
      inflight.unmap();
    }
    inflight = Linux.map(fd, 0, offset + bytes);
    inflightView = inflight.view(offset, bytes);
    inflightQueues = queues;
    inflightSize = size;
  }

  /** Closes all descriptors and lets go of the memory, which goes when the last request lets go. */
  void close() {
    rings.forEach(r -> Linux.closeAll(r.kick, r.call, r.err));
    while (!arrivedFds.isEmpty()) {
      Linux.closeAll(arrivedFds.poll());
    }
    memory.releaseAll();
    if (inflight != null) {
      inflight.unmap();
    }
    Linux.closeAll(socket, backend);
  }
}
