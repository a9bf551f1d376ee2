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

/** One vhost-user connection: handles its messages ("Front-end message types" of the specification) and holds
 * what they set up: features, memory, rings and the inflight region. For the device's thread only. */
final class VhostUserConnection {
  private static final Logger LOG = LoggerFactory.getLogger(VhostUserConnection.class);

  /** Maximum number of queues of one device. */
  static final int MAX_QUEUES = 16;

  private static final long FEATURES = VhostUserProtocol.F_INDIRECT_DESC | VhostUserProtocol.F_EVENT_IDX
      | VhostUserProtocol.F_PROTOCOL_FEATURES
      | VhostUserProtocol.F_VERSION_1
      | VhostUserProtocol.BLK_SEG_MAX | VhostUserProtocol.BLK_BLK_SIZE | VhostUserProtocol.BLK_FLUSH
      | VhostUserProtocol.BLK_MQ | VhostUserProtocol.BLK_DISCARD
      | VhostUserProtocol.BLK_WRITE_ZEROES | VhostUserProtocol.BLK_REFUSED;
  private static final long PROTOCOL_FEATURES = VhostUserProtocol.PROTOCOL_F_MQ
      | VhostUserProtocol.PROTOCOL_F_REPLY_ACK
      | VhostUserProtocol.PROTOCOL_F_BACKEND_REQ | VhostUserProtocol.PROTOCOL_F_CONFIG
      | VhostUserProtocol.PROTOCOL_F_INFLIGHT_SHMFD | VhostUserProtocol.PROTOCOL_F_CONFIGURE_MEM_SLOTS;
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
  private VhostUserProtocol.Message pendingBaseRequest;

  /** The client closed its end of the socket. */
  static final class DisconnectedException extends RuntimeException {
    private static final long serialVersionUID = 1;

    DisconnectedException() {
      super(null, null, false, false);
    }
  }

  /** @param volume
   *          supplies the volume in its current size */
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

  /** Returns whether a feature bit was negotiated. */
  boolean hasFeature(long feature) {
    return (features & feature) != 0;
  }

  /** The ring that is being stopped; null if there is none. While there is one, no message is read. */
  Ring drainingRing() {
    return drainingRing;
  }

  /** Notifies a client that listens for it to read the configuration again
   * (VHOST_USER_BACKEND_CONFIG_CHANGE_MSG). A client that does not read its end must not block the device, so
   * the message is dropped in that case. */
  void notifyConfigChanged() {
    if (backendRequestFd >= 0) {
      try {
        Linux.sendWithoutBlocking(backendRequestFd, VhostUserProtocol.encode(
            VhostUserProtocol.BACKEND_CONFIG_CHANGE_MSG, 0,
            new byte[0]));
      } catch (IOException e) {
        LOG.atDebug()
            .addKeyValue("volume", volume.get().name())
            .addKeyValue("why", e.getMessage())
            .log("device.config");
      }
    }
  }

  /** Reads the messages that have arrived and handles them. */
  void receive() throws IOException {
    Linux.Received received = Linux.receive(socket, receiveBuffer, 0, (int) Math.min(receiveBuffer.size(),
        input
            .remaining()));
    for (int fd : received.fds()) {
      receivedFds.add(fd);
    }
    ProtocolViolationException.check(!received.truncated() && receivedFds.size() <= Linux.MAX_FDS,
        "message: too many file descriptors");
    if (received.bytes() == -1) {
      throw new DisconnectedException();
    }
    if (received.bytes() > 0) {
      byte[] bytes = receiveBuffer.getByteArray(0, received.bytes());
      input.put(bytes);
      input.flip();
      for (VhostUserProtocol.Message message = VhostUserProtocol.decode(input); message != null
          && drainingRing == null; message = drainingRing == null
              ? VhostUserProtocol.decode(input)
              : null) {
        handleMessage(message);
        ProtocolViolationException.check(receivedFds.isEmpty(), "message " + message.request()
            + ": unexpected file descriptors");
      }
      input.compact();
    }
  }

  private void handleMessage(VhostUserProtocol.Message message) throws IOException {
    ProtocolViolationException.check((message.flags() & VhostUserProtocol.FLAG_REPLY) == 0,
        "message.flags: unexpected reply");
    ByteBuffer payload = message.payload();
    boolean replied = true;
    switch (message.request()) {
      case VhostUserProtocol.GET_FEATURES -> reply(message, VhostUserProtocol.u64Payload(FEATURES));
      case VhostUserProtocol.GET_PROTOCOL_FEATURES -> reply(message, VhostUserProtocol.u64Payload(
          PROTOCOL_FEATURES));
      case VhostUserProtocol.GET_QUEUE_NUM -> reply(message, VhostUserProtocol.u64Payload(MAX_QUEUES));
      case VhostUserProtocol.GET_MAX_MEM_SLOTS -> reply(message, VhostUserProtocol.u64Payload(
          MAX_MEMORY_SLOTS));
      case VhostUserProtocol.GET_CONFIG -> sendConfig(message);
      case VhostUserProtocol.GET_INFLIGHT_FD -> createInflightRegion(message);
      case VhostUserProtocol.GET_VRING_BASE -> stopRing(message);
      default -> { handleCommand(message, payload); replied = false; }
    }
    if (!replied && (message.flags() & VhostUserProtocol.FLAG_NEED_REPLY) != 0 && (protocolFeatures
        & VhostUserProtocol.PROTOCOL_F_REPLY_ACK) != 0) {
      reply(message, VhostUserProtocol.u64Payload(0));
    }
  }

  private void handleCommand(VhostUserProtocol.Message message, ByteBuffer payload) throws IOException {
    switch (message.request()) {
      case VhostUserProtocol.SET_FEATURES -> {
        requireSize(payload, 8, "SET_FEATURES");
        long requested = payload.getLong();
        ProtocolViolationException.check((requested & ~FEATURES) == 0, "SET_FEATURES: bits " + Long
            .toHexString(
                requested
                    & ~FEATURES) + " were not offered");
        ProtocolViolationException.check(rings.stream().allMatch(ring -> ring.queue == null),
            "SET_FEATURES: a ring is running");
        features = requested;
      }
      case VhostUserProtocol.SET_PROTOCOL_FEATURES -> {
        requireSize(payload, 8, "SET_PROTOCOL_FEATURES");
        long requested = payload.getLong();
        ProtocolViolationException.check((requested & ~PROTOCOL_FEATURES) == 0, "SET_PROTOCOL_FEATURES: bits "
            + Long.toHexString(requested
                & ~PROTOCOL_FEATURES) + " were not offered");
        protocolFeatures = requested;
      }
      case VhostUserProtocol.SET_OWNER -> {
        ProtocolViolationException.check(!owned, "SET_OWNER: already has an owner");
        owned = true;
      }
      case VhostUserProtocol.RESET_OWNER -> owned = false;
      case VhostUserProtocol.SET_MEM_TABLE -> setMemoryTable(payload);
      case VhostUserProtocol.ADD_MEM_REG -> {
        requireSize(payload, 40, "ADD_MEM_REG");
        payload.getLong();
        ProtocolViolationException.check(memory.regions.size() < MAX_MEMORY_SLOTS,
            "ADD_MEM_REG: more regions than "
                + MAX_MEMORY_SLOTS);
        addRegion(payload);
      }
      case VhostUserProtocol.REM_MEM_REG -> removeRegion(payload);
      case VhostUserProtocol.SET_VRING_NUM -> {
        Ring ring = stoppedRing(payload, "SET_VRING_NUM");
        int size = payload.getInt();
        ProtocolViolationException.check(size > 0 && size <= Virtqueue.MAX_SIZE && Integer.bitCount(
            size) == 1,
            "SET_VRING_NUM: invalid queue size " + size);
        ring.size = size;
      }
      case VhostUserProtocol.SET_VRING_ADDR -> setRingAddresses(payload);
      case VhostUserProtocol.SET_VRING_BASE -> stoppedRing(payload, "SET_VRING_BASE").firstAvailIdx = payload
          .getInt()
          & 0xffff;
      case VhostUserProtocol.SET_VRING_KICK -> {
        Ring ring = ringForFd(payload, "SET_VRING_KICK");
        ring.kickFd = takeEventfd(payload, ring.kickFd, "SET_VRING_KICK");
        start(ring);
      }
      case VhostUserProtocol.SET_VRING_CALL -> {
        Ring ring = ringForFd(payload, "SET_VRING_CALL");
        ring.callFd = takeEventfd(payload, ring.callFd, "SET_VRING_CALL");
      }
      case VhostUserProtocol.SET_VRING_ERR -> {
        Ring ring = ringForFd(payload, "SET_VRING_ERR");
        ring.errFd = takeEventfd(payload, ring.errFd, "SET_VRING_ERR");
      }
      case VhostUserProtocol.SET_BACKEND_REQ_FD -> {
        ProtocolViolationException.check((protocolFeatures & VhostUserProtocol.PROTOCOL_F_BACKEND_REQ) != 0,
            "SET_BACKEND_REQ_FD: not negotiated");
        Integer fd = receivedFds.poll();
        ProtocolViolationException.check(fd != null, "SET_BACKEND_REQ_FD: no file descriptor");
        Linux.closeAll(backendRequestFd);
        backendRequestFd = fd;
      }
      case VhostUserProtocol.SET_VRING_ENABLE -> {
        requireSize(payload, 8, "SET_VRING_ENABLE");
        Ring ring = ring(payload.getInt(), "SET_VRING_ENABLE");
        ring.enabled = payload.getInt() != 0;
        start(ring);
      }
      case VhostUserProtocol.SET_CONFIG -> throw new ProtocolViolationException(
          "SET_CONFIG: the configuration is read-only");
      case VhostUserProtocol.SET_INFLIGHT_FD -> setInflightRegion(payload);
      default -> throw new ProtocolViolationException("message.request: " + message.request()
          + " is not supported");
    }
  }

  private void reply(VhostUserProtocol.Message message, byte[] payload, int... fds) throws IOException {
    Linux.send(socket, VhostUserProtocol.encode(message.request(), VhostUserProtocol.FLAG_REPLY, payload),
        fds);
  }

  private static void requireSize(ByteBuffer payload, int bytes, String field) {
    ProtocolViolationException.check(payload.remaining() == bytes, field + ": size " + payload.remaining()
        + " instead of "
        + bytes);
  }

  private Ring ring(int index, String field) {
    ProtocolViolationException.check(index >= 0 && index < MAX_QUEUES, field + ": invalid queue " + Integer
        .toUnsignedString(index));
    while (rings.size() <= index) {
      rings.add(new Ring(rings.size()));
      // Without protocol features a ring starts enabled: "Ring states".
      rings.get(rings.size() - 1).enabled = (features & VhostUserProtocol.F_PROTOCOL_FEATURES) == 0;
    }
    return rings.get(index);
  }

  private Ring stoppedRing(ByteBuffer payload, String field) {
    requireSize(payload, 8, field);
    Ring ring = ring(payload.getInt(), field);
    ProtocolViolationException.check(ring.queue == null, field + ": the ring is running");
    return ring;
  }

  private Ring ringForFd(ByteBuffer payload, String field) {
    requireSize(payload, 8, field);
    return ring((int) (payload.getLong(0) & 0xff), field);
  }

  private int takeEventfd(ByteBuffer payload, int previousFd, String field) throws IOException {
    boolean noFd = (payload.getLong(0) & 0x100) != 0;
    ProtocolViolationException.check(noFd == receivedFds.isEmpty(), field
        + ": file descriptor missing or not announced");
    if (previousFd >= 0) {
      Linux.closeAll(previousFd);
    }
    if (noFd) {
      return -1;
    }
    int fd = receivedFds.poll();
    boolean isEventfd = Linux.isEventfd(fd);
    if (!isEventfd) {
      Linux.closeAll(fd);
      throw new ProtocolViolationException(field + ": the file descriptor is not an eventfd");
    }
    Linux.setNonBlocking(fd);
    return fd;
  }

  private void setMemoryTable(ByteBuffer payload) {
    ProtocolViolationException.check(payload.remaining() >= 8, "SET_MEM_TABLE: size " + payload.remaining());
    int count = payload.getInt();
    payload.getInt();
    ProtocolViolationException.check(count >= 0 && count <= Linux.MAX_FDS && payload.remaining() == count * 32
        && receivedFds
            .size() == count, "SET_MEM_TABLE: " + count + " regions, " + payload.remaining() + " bytes, "
                + receivedFds
                    .size() + " file descriptors");
    GuestMemory previous = memory;
    memory = GuestMemory.EMPTY;
    previous.releaseAll();
    for (int i = 0; i < count; i++) {
      addRegion(payload);
    }
    rings.forEach(this::relocate);
  }

  private void addRegion(ByteBuffer payload) {
    GuestMemory.Region region = mapRegion(payload);
    try {
      memory = memory.withRegion(region);
    } catch (ProtocolViolationException e) {
      region.release();
      throw e;
    }
  }

  private GuestMemory.Region mapRegion(ByteBuffer payload) {
    long guestAddress = payload.getLong();
    long size = payload.getLong();
    long userAddress = payload.getLong();
    long offset = payload.getLong();
    Integer fd = receivedFds.poll();
    ProtocolViolationException.check(fd != null, "memory region: no file descriptor");
    try {
      return GuestMemory.map(guestAddress, size, userAddress, offset, fd);
    } finally {
      Linux.closeAll(fd);
    }
  }

  private void removeRegion(ByteBuffer payload) {
    requireSize(payload, 40, "REM_MEM_REG");
    payload.getLong();
    long guestAddress = payload.getLong();
    long size = payload.getLong();
    long userAddress = payload.getLong();
    // A file descriptor may be attached and is ignored: "VHOST_USER_REM_MEM_REG".
    while (!receivedFds.isEmpty()) {
      Linux.closeAll(receivedFds.poll());
    }
    GuestMemory.Region removed = memory.regions.stream()
        .filter(r -> r.guestAddress == guestAddress && r.size == size && r.userAddress == userAddress)
        .findFirst()
        .orElseThrow(() -> new ProtocolViolationException("REM_MEM_REG: no such region"));
    memory = memory.withoutRegion(removed);
    rings.forEach(this::relocate);
    removed.release();
  }

  /** Moves a running ring to the new memory table, which must contain it. */
  private void relocate(Ring ring) {
    if (ring.queue != null) {
      ring.queue.relocate(memory.viewAtUserAddress(ring.descriptorAddress, 16 * ring.size,
          "vring.descriptor"), memory
              .viewAtUserAddress(ring.availAddress, Virtqueue
                  .availBytes(ring.size), "vring.available"), memory.viewAtUserAddress(ring.usedAddress,
                      Virtqueue
                          .usedBytes(ring.size),
                      "vring.used"));
    }
  }

  private void setRingAddresses(ByteBuffer payload) {
    requireSize(payload, 40, "SET_VRING_ADDR");
    Ring ring = ring(payload.getInt(), "SET_VRING_ADDR");
    payload.getInt();
    ring.descriptorAddress = payload.getLong();
    ring.usedAddress = payload.getLong();
    ring.availAddress = payload.getLong();
    ProtocolViolationException.check(ring.descriptorAddress % 16 == 0 && ring.availAddress % 2 == 0
        && ring.usedAddress
            % 4 == 0, "SET_VRING_ADDR: misaligned address");
    ring.addressesSet = true;
    relocate(ring);
  }

  /** Starts a ring once all of its parameters are known. */
  void start(Ring ring) {
    if (ring.queue != null || !ring.enabled || ring.kickFd < 0 || ring.size == 0 || !ring.addressesSet) {
      return;
    }
    ring.queue = new Virtqueue(ring.size, memory.viewAtUserAddress(ring.descriptorAddress, 16 * ring.size,
        "vring.descriptor"), memory.viewAtUserAddress(
            ring.availAddress, Virtqueue.availBytes(ring.size), "vring.available"), memory.viewAtUserAddress(
                ring.usedAddress, Virtqueue.usedBytes(
                    ring.size), "vring.used"), ring.firstAvailIdx, (features
                        & VhostUserProtocol.F_EVENT_IDX) != 0);
    if (inflightView != null && ring.index < inflightQueues && ring.size <= inflightSize) {
      int stride = bytesPerQueue(inflightSize);
      List<Integer> heads = ring.queue.recover(new InflightLog(inflightView.slice(ring.index * stride,
          stride),
          ring.size));
      ring.recoveredHeads.addAll(heads);
      if (!heads.isEmpty()) {
        LOG.atInfo()
            .addKeyValue("volume", volume.get().name())
            .addKeyValue("queue", ring.index)
            .addKeyValue("requests", heads.size())
            .log("ring.recovered");
      }
    }
    LOG.atDebug()
        .addKeyValue("volume", volume.get().name())
        .addKeyValue("queue", ring.index)
        .addKeyValue("size", ring.size)
        .log("ring.started");
  }

  /** Stops a ring; the reply is sent once all of its requests are answered, by {@link #completeStop}. */
  private void stopRing(VhostUserProtocol.Message message) throws IOException {
    requireSize(message.payload(), 8, "GET_VRING_BASE");
    Ring ring = ring(message.payload().getInt(0), "GET_VRING_BASE");
    pendingBaseRequest = message;
    drainingRing = ring;
    if (ring.queue == null || ring.queue.inFlight() == 0) {
      completeStop();
    }
  }

  /** Completes the stop of a ring, all of whose requests are answered. */
  void completeStop() {
    Ring ring = drainingRing;
    drainingRing = null;
    int nextAvailIdx = ring.queue == null ? ring.firstAvailIdx : ring.queue.base();
    ring.firstAvailIdx = nextAvailIdx;
    ring.queue = null;
    if (ring.kickFd >= 0) {
      Linux.closeAll(ring.kickFd);
      ring.kickFd = -1;
    }
    try {
      reply(pendingBaseRequest, VhostUserProtocol.vringStatePayload(ring.index, nextAvailIdx));
    } catch (IOException e) {
      throw new DisconnectedException();
    }
  }

  private void sendConfig(VhostUserProtocol.Message message) throws IOException {
    ByteBuffer payload = message.payload();
    ProtocolViolationException.check(payload.remaining() >= 12, "GET_CONFIG: size " + payload.remaining());
    int offset = payload.getInt(0);
    int size = payload.getInt(4);
    ProtocolViolationException.check(offset >= 0 && size >= 0 && size == payload.remaining() - 12
        && size <= 256,
        "GET_CONFIG: "
            + offset + "+" + size);
    ByteBuffer config = ByteBuffer.allocate(offset + size + CONFIG_BYTES).order(ByteOrder.LITTLE_ENDIAN);
    config.putLong(0, volume.get().bytes() / Volume.BLOCK_BYTES)
        .putInt(12, MAX_SEGMENTS)
        .putInt(20, Volume.BLOCK_BYTES)
        .putShort(34, (short) MAX_QUEUES);
    int maxSectors = (int) Math.min(Integer.MAX_VALUE, volume.get().bytes() / Volume.BLOCK_BYTES);
    config.putInt(36, maxSectors)
        .putInt(40, 1)
        .putInt(44, 1)
        .putInt(48, maxSectors)
        .putInt(52, 1)
        .put(56, (byte) 1);
    for (int i = 0; i < size; i++) {
      payload.put(12 + i, offset + i < CONFIG_BYTES ? config.get(offset + i) : 0);
    }
    reply(message, payload.array());
  }

  // Inflight region.

  private static int bytesPerQueue(int size) {
    return (InflightLog.regionBytes(size) + 63) / 64 * 64;
  }

  private void createInflightRegion(VhostUserProtocol.Message message) throws IOException {
    ByteBuffer payload = message.payload();
    ProtocolViolationException.check(payload.remaining() >= 20, "GET_INFLIGHT_FD: size " + payload
        .remaining());
    int queues = Short.toUnsignedInt(payload.getShort(16));
    int size = Short.toUnsignedInt(payload.getShort(18));
    ProtocolViolationException.check(queues > 0 && queues <= MAX_QUEUES && size > 0
        && size <= Virtqueue.MAX_SIZE,
        "GET_INFLIGHT_FD: " + queues + " queues of " + size);
    long bytes = (long) queues * bytesPerQueue(size);
    int fd = Linux.memfd("inflight", bytes);
    try {
      mapInflightRegion(fd, bytes, 0, queues, size);
      payload.putLong(0, bytes).putLong(8, 0);
      reply(message, payload.array(), fd);
    } finally {
      Linux.closeAll(fd);
    }
  }

  private void setInflightRegion(ByteBuffer payload) throws IOException {
    ProtocolViolationException.check(payload.remaining() >= 20, "SET_INFLIGHT_FD: size " + payload
        .remaining());
    Integer fd = receivedFds.poll();
    ProtocolViolationException.check(fd != null, "SET_INFLIGHT_FD: no file descriptor");
    try {
      long bytes = payload.getLong(0);
      long offset = payload.getLong(8);
      int queues = Short.toUnsignedInt(payload.getShort(16));
      int size = Short.toUnsignedInt(payload.getShort(18));
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
        "inflight region: a ring is running");
    if (inflightMapping != null) {
      inflightMapping.unmap();
    }
    inflightMapping = Linux.map(fd, 0, offset + bytes);
    inflightView = inflightMapping.view(offset, bytes);
    inflightQueues = queues;
    inflightSize = size;
  }

  /** Closes all file descriptors and releases the memory, which is unmapped when the last request releases
   * it. */
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
