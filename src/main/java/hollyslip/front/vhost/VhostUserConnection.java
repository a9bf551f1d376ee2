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
final class VhostUserConnection {
  private static final Logger LOG = LoggerFactory.getLogger(VhostUserConnection.class);

  /** Queues of one device at most. */
  static final int MAX_QUEUES = 16;

  private static final long FEATURES = Wire.F_INDIRECT | Wire.F_EVENT_IDX | Wire.F_PROTOCOL | Wire.F_VERSION_1
      | Wire.BLK_SEG_MAX | Wire.BLK_BLK_SIZE | Wire.BLK_FLUSH | Wire.BLK_MQ | Wire.BLK_DISCARD
      | Wire.BLK_WRITE_ZEROES | Wire.BLK_REFUSED;
  private static final long PROTOCOL_FEATURES = Wire.PROTOCOL_F_MQ | Wire.PROTOCOL_F_REPLY_ACK
      | Wire.PROTOCOL_F_BACKEND_REQ | Wire.PROTOCOL_F_CONFIG
      | Wire.PROTOCOL_F_INFLIGHT_SHMFD | Wire.PROTOCOL_F_CONFIGURE_MEM_SLOTS;
  private static final int MAX_MEMORY_SLOTS = 64;
  private static final int CONFIG_BYTES = 60;
  private static final int MAX_SEGMENTS = 126;
  private static final long MAX_INFLIGHT_BYTES = 1 << 20;

  private final int socket;
  private final Supplier<Volume> volume;
  private final com.sun.jna.Memory receiveBuffer = new com.sun.jna.Memory(4096);
  private final ByteBuffer input = ByteBuffer.allocate(8192).order(ByteOrder.LITTLE_ENDIAN);
  private final ArrayDeque<Integer> receivedFds = new ArrayDeque<>();
  private final List<Ring> rings = new ArrayList<>();
  private int backendRequestFd = -1;
  private long features;
  private long protocolFeatures;
  private boolean owned;
  private GuestMemory memory = GuestMemory.EMPTY;
  private Linux.Mapping inflightMapping;
  private ByteBuffer inflightView;
  private int inflightQueues, inflightSize;
  private Ring drainingRing;
  private Wire.Message pendingBaseRequest;

  /** The client closed its end. */
  static final class DisconnectedException extends RuntimeException {
    private static final long serialVersionUID = 1;

    DisconnectedException() {
      super(null, null, false, false);
    }
  }

  /** @param volume
   *          what the device shows, as it is at the time */
  VhostUserConnection(int socket, Supplier<Volume> volume) {
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
  boolean hasFeature(long feature) {
    return (features & feature) != 0;
  }

  /** The ring that is being stopped; null: none. While there is one, no message is read. */
  Ring drainingRing() {
    return drainingRing;
  }

  /** Tells a client that listens for it to read the configuration again
   * (VHOST_USER_BACKEND_CONFIG_CHANGE_MSG). A client that does not read its end must not stop the device, so
   * the message is dropped then. */
  void notifyConfigChanged() {
    if (backendRequestFd >= 0) {
      try {
        Linux.sendWithoutBlocking(backendRequestFd, Wire.message(Wire.BACKEND_CONFIG_CHANGE, 0, new byte[0]));
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
    Linux.Received got = Linux.receive(socket, receiveBuffer, 0, (int) Math.min(receiveBuffer.size(), input
        .remaining()));
    for (int fd : got.fds()) {
      receivedFds.add(fd);
    }
    ProtocolViolationException.check(!got.truncated() && receivedFds.size() <= Linux.MAX_FDS,
        "message: too many descriptors");
    if (got.bytes() == -1) {
      throw new DisconnectedException();
    }
    if (got.bytes() > 0) {
      byte[] bytes = receiveBuffer.getByteArray(0, got.bytes());
      input.put(bytes);
      input.flip();
      for (Wire.Message m = Wire.decode(input); m != null && drainingRing == null; m = drainingRing == null
          ? Wire.decode(input)
          : null) {
        handleMessage(m);
        ProtocolViolationException.check(receivedFds.isEmpty(), "message " + m.request()
            + ": descriptors that it does not have");
      }
      input.compact();
    }
  }

  private void handleMessage(Wire.Message m) throws IOException {
    ProtocolViolationException.check((m.flags() & Wire.REPLY) == 0, "message.flags: a reply, not asked for");
    ByteBuffer p = m.payload();
    boolean replied = true;
    switch (m.request()) {
      case Wire.GET_FEATURES -> reply(m, Wire.u64(FEATURES));
      case Wire.GET_PROTOCOL_FEATURES -> reply(m, Wire.u64(PROTOCOL_FEATURES));
      case Wire.GET_QUEUE_NUM -> reply(m, Wire.u64(MAX_QUEUES));
      case Wire.GET_MAX_MEM_SLOTS -> reply(m, Wire.u64(MAX_MEMORY_SLOTS));
      case Wire.GET_CONFIG -> sendConfig(m);
      case Wire.GET_INFLIGHT_FD -> createInflightRegion(m);
      case Wire.GET_VRING_BASE -> stopRing(m);
      default -> { handleCommand(m, p); replied = false; }
    }
    if (!replied && (m.flags() & Wire.NEED_REPLY) != 0 && (protocolFeatures
        & Wire.PROTOCOL_F_REPLY_ACK) != 0) {
      reply(m, Wire.u64(0));
    }
  }

  private void handleCommand(Wire.Message m, ByteBuffer p) throws IOException {
    switch (m.request()) {
      case Wire.SET_FEATURES -> {
        requireSize(p, 8, "SET_FEATURES");
        long wanted = p.getLong();
        ProtocolViolationException.check((wanted & ~FEATURES) == 0, "SET_FEATURES: bits " + Long.toHexString(
            wanted
                & ~FEATURES) + " were not offered");
        ProtocolViolationException.check(rings.stream().allMatch(r -> r.queue == null),
            "SET_FEATURES: while a ring runs");
        features = wanted;
      }
      case Wire.SET_PROTOCOL_FEATURES -> {
        requireSize(p, 8, "SET_PROTOCOL_FEATURES");
        long wanted = p.getLong();
        ProtocolViolationException.check((wanted & ~PROTOCOL_FEATURES) == 0, "SET_PROTOCOL_FEATURES: bits "
            + Long.toHexString(wanted
                & ~PROTOCOL_FEATURES) + " were not offered");
        protocolFeatures = wanted;
      }
      case Wire.SET_OWNER -> {
        ProtocolViolationException.check(!owned, "SET_OWNER: owned already");
        owned = true;
      }
      case Wire.RESET_OWNER -> owned = false;
      case Wire.SET_MEM_TABLE -> setMemoryTable(p);
      case Wire.ADD_MEM_REG -> {
        requireSize(p, 40, "ADD_MEM_REG");
        p.getLong();
        ProtocolViolationException.check(memory.regions.size() < MAX_MEMORY_SLOTS, "ADD_MEM_REG: more than "
            + MAX_MEMORY_SLOTS);
        addRegion(p);
      }
      case Wire.REM_MEM_REG -> removeRegion(p);
      case Wire.SET_VRING_NUM -> {
        Ring r = stoppedRing(p, "SET_VRING_NUM");
        int size = p.getInt();
        ProtocolViolationException.check(size > 0 && size <= Virtqueue.MAX_SIZE && Integer.bitCount(
            size) == 1,
            "SET_VRING_NUM: " + size);
        r.size = size;
      }
      case Wire.SET_VRING_ADDR -> setRingAddresses(p);
      case Wire.SET_VRING_BASE -> stoppedRing(p, "SET_VRING_BASE").firstAvailIdx = p.getInt() & 0xffff;
      case Wire.SET_VRING_KICK -> {
        Ring r = ringForFd(p, "SET_VRING_KICK");
        r.kickFd = takeEventfd(p, r.kickFd, "SET_VRING_KICK");
        start(r);
      }
      case Wire.SET_VRING_CALL -> {
        Ring r = ringForFd(p, "SET_VRING_CALL");
        r.callFd = takeEventfd(p, r.callFd, "SET_VRING_CALL");
      }
      case Wire.SET_VRING_ERR -> {
        Ring r = ringForFd(p, "SET_VRING_ERR");
        r.errFd = takeEventfd(p, r.errFd, "SET_VRING_ERR");
      }
      case Wire.SET_BACKEND_REQ_FD -> {
        ProtocolViolationException.check((protocolFeatures & Wire.PROTOCOL_F_BACKEND_REQ) != 0,
            "SET_BACKEND_REQ_FD: not agreed");
        Integer fd = receivedFds.poll();
        ProtocolViolationException.check(fd != null, "SET_BACKEND_REQ_FD: no descriptor");
        Linux.closeAll(backendRequestFd);
        backendRequestFd = fd;
      }
      case Wire.SET_VRING_ENABLE -> {
        requireSize(p, 8, "SET_VRING_ENABLE");
        Ring r = ring(p.getInt(), "SET_VRING_ENABLE");
        r.enabled = p.getInt() != 0;
        start(r);
      }
      case Wire.SET_CONFIG -> throw new ProtocolViolationException(
          "SET_CONFIG: nothing in the configuration can be written");
      case Wire.SET_INFLIGHT_FD -> setInflightRegion(p);
      default -> throw new ProtocolViolationException("message.request: " + m.request()
          + " is not known here");
    }
  }

  private void reply(Wire.Message m, byte[] payload, int... fds) throws IOException {
    Linux.send(socket, Wire.message(m.request(), Wire.REPLY, payload), fds);
  }

  private static void requireSize(ByteBuffer p, int bytes, String field) {
    ProtocolViolationException.check(p.remaining() == bytes, field + ": size " + p.remaining() + ", not "
        + bytes);
  }

  private Ring ring(int index, String field) {
    ProtocolViolationException.check(index >= 0 && index < MAX_QUEUES, field + ": queue " + Integer
        .toUnsignedString(index));
    while (rings.size() <= index) {
      rings.add(new Ring(rings.size()));
      // Without the protocol's features a ring starts enabled: "Ring states".
      rings.get(rings.size() - 1).enabled = (features & Wire.F_PROTOCOL) == 0;
    }
    return rings.get(index);
  }

  private Ring stoppedRing(ByteBuffer p, String field) {
    requireSize(p, 8, field);
    Ring r = ring(p.getInt(), field);
    ProtocolViolationException.check(r.queue == null, field + ": while the ring runs");
    return r;
  }

  private Ring ringForFd(ByteBuffer p, String field) {
    requireSize(p, 8, field);
    return ring((int) (p.getLong(0) & 0xff), field);
  }

  private int takeEventfd(ByteBuffer p, int old, String field) throws IOException {
    boolean none = (p.getLong(0) & 0x100) != 0;
    ProtocolViolationException.check(none == receivedFds.isEmpty(), field
        + ": descriptor missing or not announced");
    if (old >= 0) {
      Linux.closeAll(old);
    }
    if (none) {
      return -1;
    }
    int fd = receivedFds.poll();
    boolean good = Linux.isEventfd(fd);
    if (!good) {
      Linux.closeAll(fd);
      throw new ProtocolViolationException(field + ": the descriptor is not an eventfd");
    }
    Linux.setNonBlocking(fd);
    return fd;
  }

  private void setMemoryTable(ByteBuffer p) {
    ProtocolViolationException.check(p.remaining() >= 8, "SET_MEM_TABLE: size " + p.remaining());
    int count = p.getInt();
    p.getInt();
    ProtocolViolationException.check(count >= 0 && count <= Linux.MAX_FDS && p.remaining() == count * 32
        && receivedFds
            .size() == count, "SET_MEM_TABLE: " + count + " regions, " + p.remaining() + " bytes, "
                + receivedFds
                    .size() + " descriptors");
    GuestMemory old = memory;
    memory = GuestMemory.EMPTY;
    old.releaseAll();
    for (int i = 0; i < count; i++) {
      addRegion(p);
    }
    rings.forEach(this::relocate);
  }

  private void addRegion(ByteBuffer p) {
    GuestMemory.Region region = mapRegion(p);
    try {
      memory = memory.withRegion(region);
    } catch (ProtocolViolationException e) {
      region.release();
      throw e;
    }
  }

  private GuestMemory.Region mapRegion(ByteBuffer p) {
    long guest = p.getLong();
    long size = p.getLong();
    long user = p.getLong();
    long offset = p.getLong();
    Integer fd = receivedFds.poll();
    ProtocolViolationException.check(fd != null, "memory region: no descriptor");
    try {
      return GuestMemory.map(guest, size, user, offset, fd);
    } finally {
      Linux.closeAll(fd);
    }
  }

  private void removeRegion(ByteBuffer p) {
    requireSize(p, 40, "REM_MEM_REG");
    p.getLong();
    long guest = p.getLong();
    long size = p.getLong();
    long user = p.getLong();
    // A descriptor may come along and is of no use: "VHOST_USER_REM_MEM_REG".
    while (!receivedFds.isEmpty()) {
      Linux.closeAll(receivedFds.poll());
    }
    GuestMemory.Region gone = memory.regions.stream()
        .filter(r -> r.guestAddress == guest && r.size == size && r.userAddress == user)
        .findFirst()
        .orElseThrow(() -> new ProtocolViolationException("REM_MEM_REG: no such region"));
    memory = memory.withoutRegion(gone);
    rings.forEach(this::relocate);
    gone.release();
  }

  /** A running ring goes on in the new table; it must lie in it. */
  private void relocate(Ring r) {
    if (r.queue != null) {
      r.queue.relocate(memory.viewAtUserAddress(r.descriptorAddress, 16 * r.size, "vring.descriptor"), memory
          .viewAtUserAddress(r.availAddress, Virtqueue
              .availBytes(r.size), "vring.available"), memory.viewAtUserAddress(r.usedAddress, Virtqueue
                  .usedBytes(r.size),
                  "vring.used"));
    }
  }

  private void setRingAddresses(ByteBuffer p) {
    requireSize(p, 40, "SET_VRING_ADDR");
    Ring r = ring(p.getInt(), "SET_VRING_ADDR");
    p.getInt();
    r.descriptorAddress = p.getLong();
    r.usedAddress = p.getLong();
    r.availAddress = p.getLong();
    ProtocolViolationException.check(r.descriptorAddress % 16 == 0 && r.availAddress % 2 == 0 && r.usedAddress
        % 4 == 0, "SET_VRING_ADDR: not aligned");
    r.addressesSet = true;
    relocate(r);
  }

  /** Starts a ring once all that it needs is known. */
  void start(Ring r) {
    if (r.queue != null || !r.enabled || r.kickFd < 0 || r.size == 0 || !r.addressesSet) {
      return;
    }
    r.queue = new Virtqueue(r.size, memory.viewAtUserAddress(r.descriptorAddress, 16 * r.size,
        "vring.descriptor"), memory.viewAtUserAddress(
            r.availAddress, Virtqueue.availBytes(r.size), "vring.available"), memory.viewAtUserAddress(
                r.usedAddress, Virtqueue.usedBytes(
                    r.size), "vring.used"), r.firstAvailIdx, (features & Wire.F_EVENT_IDX) != 0);
    if (inflightView != null && r.index < inflightQueues && r.size <= inflightSize) {
      int stride = bytesPerQueue(inflightSize);
      List<Integer> heads = r.queue.recover(new InflightLog(inflightView.slice(r.index * stride, stride),
          r.size));
      r.recoveredHeads.addAll(heads);
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

  /** The ring stops; the reply waits until all it has taken is answered: {@link #completeStop}. */
  private void stopRing(Wire.Message m) throws IOException {
    requireSize(m.payload(), 8, "GET_VRING_BASE");
    Ring r = ring(m.payload().getInt(0), "GET_VRING_BASE");
    pendingBaseRequest = m;
    drainingRing = r;
    if (r.queue == null || r.queue.inFlight() == 0) {
      completeStop();
    }
  }

  /** All that the stopping ring had is answered. */
  void completeStop() {
    Ring r = drainingRing;
    drainingRing = null;
    int base = r.queue == null ? r.firstAvailIdx : r.queue.base();
    r.firstAvailIdx = base;
    r.queue = null;
    if (r.kickFd >= 0) {
      Linux.closeAll(r.kickFd);
      r.kickFd = -1;
    }
    try {
      reply(pendingBaseRequest, Wire.state(r.index, base));
    } catch (IOException e) {
      throw new DisconnectedException();
    }
  }

  private void sendConfig(Wire.Message m) throws IOException {
    ByteBuffer p = m.payload();
    ProtocolViolationException.check(p.remaining() >= 12, "GET_CONFIG: size " + p.remaining());
    int offset = p.getInt(0);
    int size = p.getInt(4);
    ProtocolViolationException.check(offset >= 0 && size >= 0 && size == p.remaining() - 12 && size <= 256,
        "GET_CONFIG: "
            + offset + "+" + size);
    ByteBuffer c = ByteBuffer.allocate(offset + size + CONFIG_BYTES).order(ByteOrder.LITTLE_ENDIAN);
    c.putLong(0, volume.get().bytes() / Volume.BLOCK_BYTES)
        .putInt(12, MAX_SEGMENTS)
        .putInt(20, Volume.BLOCK_BYTES)
        .putShort(34, (short) MAX_QUEUES);
    int most = (int) Math.min(Integer.MAX_VALUE, volume.get().bytes() / Volume.BLOCK_BYTES);
    c.putInt(36, most).putInt(40, 1).putInt(44, 1).putInt(48, most).putInt(52, 1).put(56, (byte) 1);
    for (int i = 0; i < size; i++) {
      p.put(12 + i, offset + i < CONFIG_BYTES ? c.get(offset + i) : 0);
    }
    reply(m, p.array());
  }

  // In flight.

  private static int bytesPerQueue(int size) {
    return (InflightLog.regionBytes(size) + 63) / 64 * 64;
  }

  private void createInflightRegion(Wire.Message m) throws IOException {
    ByteBuffer p = m.payload();
    ProtocolViolationException.check(p.remaining() >= 20, "GET_INFLIGHT_FD: size " + p.remaining());
    int queues = Short.toUnsignedInt(p.getShort(16));
    int size = Short.toUnsignedInt(p.getShort(18));
    ProtocolViolationException.check(queues > 0 && queues <= MAX_QUEUES && size > 0
        && size <= Virtqueue.MAX_SIZE,
        "GET_INFLIGHT_FD: " + queues + " queues of " + size);
    long bytes = (long) queues * bytesPerQueue(size);
    int fd = Linux.memfd("inflight", bytes);
    try {
      mapInflightRegion(fd, bytes, 0, queues, size);
      p.putLong(0, bytes).putLong(8, 0);
      reply(m, p.array(), fd);
    } finally {
      Linux.closeAll(fd);
    }
  }

  private void setInflightRegion(ByteBuffer p) throws IOException {
    ProtocolViolationException.check(p.remaining() >= 20, "SET_INFLIGHT_FD: size " + p.remaining());
    Integer fd = receivedFds.poll();
    ProtocolViolationException.check(fd != null, "SET_INFLIGHT_FD: no descriptor");
    try {
      long bytes = p.getLong(0);
      long offset = p.getLong(8);
      int queues = Short.toUnsignedInt(p.getShort(16));
      int size = Short.toUnsignedInt(p.getShort(18));
      ProtocolViolationException.check(bytes > 0 && bytes <= MAX_INFLIGHT_BYTES && offset >= 0
          && offset <= MAX_INFLIGHT_BYTES && queues <= MAX_QUEUES && size <= Virtqueue.MAX_SIZE
          && bytes >= (long) queues * bytesPerQueue(size) && Linux.size(fd) >= offset + bytes,
          "SET_INFLIGHT_FD: "
              + queues + " queues of " + size + " in " + bytes + " bytes");
      mapInflightRegion(fd, bytes, offset, queues, size);
    } finally {
      Linux.closeAll(fd);
    }
  }

  private void mapInflightRegion(int fd, long bytes, long offset, int queues, int size) throws IOException {
    ProtocolViolationException.check(rings.stream().allMatch(r -> r.queue == null),
        "inflight region: while a ring runs");
    if (inflightMapping != null) {
      inflightMapping.unmap();
    }
    inflightMapping = Linux.map(fd, 0, offset + bytes);
    inflightView = inflightMapping.view(offset, bytes);
    inflightQueues = queues;
    inflightSize = size;
  }

  /** Closes all descriptors and lets go of the memory, which goes when the last request lets go. */
  void close() {
    rings.forEach(r -> Linux.closeAll(r.kickFd, r.callFd, r.errFd));
    while (!receivedFds.isEmpty()) {
      Linux.closeAll(receivedFds.poll());
    }
    memory.releaseAll();
    if (inflightMapping != null) {
      inflightMapping.unmap();
    }
    Linux.closeAll(socket, backendRequestFd);
  }
}
