package hollyslip.load;

import hollyslip.front.sys.Linux;
import hollyslip.front.vhost.VhostUserProtocol;
import hollyslip.volume.IoKind;
import java.io.IOException;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.file.Path;
import java.util.ArrayDeque;

/** A vhost-user-blk front end that shares memory with a gateway and submits requests through split
 * virtqueues. Not thread-safe. Each queue has slots; a slot holds one request, either in three descriptors or
 * in an indirect table. */
public final class RingClient implements AutoCloseable {
  private static final int PAGE_BYTES = 4096, HEADER_BYTES = 16, TAIL_BYTES = 8, INDIRECT_TABLE_BYTES = 64;
  private static final long GUEST_BASE = 0x1000_0000L, USER_BASE = 0x7000_0000_0000L;

  /** Options of a client.
   *
   * @param queues
   *          number of queues
   * @param queueSize
   *          descriptors per queue, a power of two
   * @param slotBytes
   *          maximum number of data bytes of a request
   * @param indirect
   *          whether to use indirect descriptor tables
   * @param eventIdx
   *          whether to suppress notifications by index (VIRTIO_RING_F_EVENT_IDX)
   * @param refusedStatus
   *          whether refused requests get a status of their own
   * @param inflightRegion
   *          whether the gateway keeps its inflight region in the client's memory */
  public record Options(int queues, int queueSize, int slotBytes, boolean indirect, boolean eventIdx,
      boolean refusedStatus, boolean inflightRegion) {
    public static Options allFeatures(int queues, int queueSize, int slotBytes) {
      return new Options(queues, queueSize, slotBytes, true, true, true, true);
    }
  }

  /** Callback for the completion of a request. */
  public interface CompletionListener {
    /** Reports the completion. {@code status} is that of virtio-blk or the extension for refused requests;
     * {@code data} is the slot's memory and is valid only during the call. */
    void onComplete(int status, int retryMs, ByteBuffer data);
  }

  private final Options options;
  private final int memoryFd;
  private final long memoryBytes;
  private final Linux.Mapping mapping;
  private final Queue[] queues;
  private final Linux.Poll poll = new Linux.Poll();
  private int socket = -1;
  private int inflightFd = -1;
  private byte[] inflightState;
  private long features;

  /** Memory and outstanding requests of one queue. */
  public final class Queue {
    final int index;
    final long baseOffset;
    public final ByteBuffer descriptors, avail, used;
    final int slots;
    /** Per slot, the listener of the outstanding request and its number of data bytes; and the free slots.
     * Public for tests that submit raw requests. */
    public final CompletionListener[] out;
    public final int[] lengths;
    public final ArrayDeque<Integer> freeSlots = new ArrayDeque<>();
    int kickFd = -1, callFd = -1;
    int availIdx, usedIdx, lastKickedIdx;

    Queue(int index, long baseOffset) {
      this.index = index;
      this.baseOffset = baseOffset;
      int queueSize = options.queueSize();
      descriptors = view(baseOffset, 16 * queueSize);
      avail = view(baseOffset + 16L * queueSize, 6 + 2 * queueSize);
      used = view(usedRingOffset(), 6 + 8 * queueSize);
      slots = options.indirect() ? queueSize : queueSize / 3;
      out = new CompletionListener[slots];
      lengths = new int[slots];
      for (int i = 0; i < slots; i++) {
        freeSlots.add(i);
      }
    }

    long usedRingOffset() {
      int queueSize = options.queueSize();
      return baseOffset + (16L * queueSize + 6 + 2 * queueSize + 3) / 4 * 4;
    }

    long slotOffset(int slot) {
      return baseOffset + roundUpToPage(ringBytes(options.queueSize())) + (long) slot * slotStride();
    }

    /** Memory for the data of a slot. */
    public ByteBuffer data(int slot) {
      return view(slotOffset(slot) + INDIRECT_TABLE_BYTES + HEADER_BYTES + TAIL_BYTES, options.slotBytes());
    }

    /** Number of outstanding requests. */
    public int out() {
      return slots - freeSlots.size();
    }
  }

  private static int ringBytes(int queueSize) {
    return 16 * queueSize + 6 + 2 * queueSize + 4 + 6 + 8 * queueSize;
  }

  private static long roundUpToPage(long bytes) {
    return (bytes + PAGE_BYTES - 1) / PAGE_BYTES * PAGE_BYTES;
  }

  private long slotStride() {
    return (INDIRECT_TABLE_BYTES + HEADER_BYTES + TAIL_BYTES + options.slotBytes() + 63) / 64 * 64;
  }

  private ByteBuffer view(long offset, int length) {
    return mapping.view(offset, length).order(ByteOrder.LITTLE_ENDIAN);
  }

  public RingClient(Options options) throws IOException {
    this.options = options;
    if (options.queueSize() < 4 || Integer.bitCount(options.queueSize()) != 1) {
      // A chain of three descriptors must fit: virtio 1.2, 2.7.5.3.1.
      throw new IllegalArgumentException("queue size must be a power of two of at least 4, not " + options
          .queueSize());
    }
    int slots = options.indirect() ? options.queueSize() : options.queueSize() / 3;
    long queueBytes = roundUpToPage(ringBytes(options.queueSize())) + roundUpToPage(slots * slotStride());
    memoryBytes = queueBytes * options.queues();
    memoryFd = Linux.memfd("ring-client", memoryBytes);
    mapping = Linux.map(memoryFd, 0, memoryBytes);
    queues = new Queue[options.queues()];
    for (int i = 0; i < queues.length; i++) {
      queues[i] = new Queue(i, i * queueBytes);
    }
  }

  /** Connects to a gateway. After a gateway has died, connects to its successor with all requests that are
   * still outstanding. */
  public void connect(Path path) throws IOException {
    detach();
    socket = Linux.connect(path);
    long offered = sendAndReceive(VhostUserProtocol.GET_FEATURES, new byte[0]).getLong();
    features = offered & (VhostUserProtocol.F_PROTOCOL_FEATURES | VhostUserProtocol.F_VERSION_1
        | VhostUserProtocol.BLK_FLUSH | VhostUserProtocol.BLK_MQ
        | VhostUserProtocol.BLK_DISCARD
        | VhostUserProtocol.BLK_WRITE_ZEROES | (options.indirect() ? VhostUserProtocol.F_INDIRECT_DESC : 0)
        | (options.eventIdx()
            ? VhostUserProtocol.F_EVENT_IDX
            : 0) | (options.refusedStatus() ? VhostUserProtocol.BLK_REFUSED : 0));
    long protocol = sendAndReceive(VhostUserProtocol.GET_PROTOCOL_FEATURES, new byte[0]).getLong();
    sendAcknowledged(VhostUserProtocol.SET_PROTOCOL_FEATURES, VhostUserProtocol.u64Payload(protocol));
    sendAcknowledged(VhostUserProtocol.SET_OWNER, new byte[0]);
    sendAcknowledged(VhostUserProtocol.SET_FEATURES, VhostUserProtocol.u64Payload(features));
    if (options.inflightRegion()) {
      shareInflight();
    }
    ByteBuffer table = littleEndian(8 + 32).putInt(1)
        .putInt(0)
        .putLong(GUEST_BASE)
        .putLong(memoryBytes)
        .putLong(USER_BASE)
        .putLong(0);
    sendAcknowledged(VhostUserProtocol.SET_MEM_TABLE, table.array(), memoryFd);
    for (Queue q : queues) {
      startQueue(q);
    }
  }

  private void shareInflight() throws IOException {
    ByteBuffer payload = littleEndian(24).putLong(0)
        .putLong(0)
        .putShort((short) queues.length)
        .putShort((short) options.queueSize());
    if (inflightFd >= 0) {
      sendAcknowledged(VhostUserProtocol.SET_INFLIGHT_FD, inflightState, inflightFd);
      return;
    }
    send(VhostUserProtocol.GET_INFLIGHT_FD, 0, payload.array());
    Reply reply = receive();
    inflightFd = reply.fd;
    inflightState = reply.payload.array();
  }

  private void startQueue(Queue q) throws IOException {
    q.kickFd = Linux.eventfd();
    q.callFd = Linux.eventfd();
    sendAcknowledged(VhostUserProtocol.SET_VRING_NUM, VhostUserProtocol.vringStatePayload(q.index, options
        .queueSize()));
    // After the back end has died, all unanswered requests are submitted again, from the index of the used
    // ring on.
    sendAcknowledged(VhostUserProtocol.SET_VRING_BASE, VhostUserProtocol.vringStatePayload(q.index, Short
        .toUnsignedInt(q.used.getShort(
            2))));
    sendAcknowledged(VhostUserProtocol.SET_VRING_ADDR, littleEndian(40).putInt(q.index)
        .putInt(0)
        .putLong(USER_BASE + q.baseOffset)
        .putLong(USER_BASE + q.usedRingOffset())
        .putLong(USER_BASE + q.baseOffset + 16L * options.queueSize())
        .putLong(0)
        .array());
    sendAcknowledged(VhostUserProtocol.SET_VRING_CALL, VhostUserProtocol.u64Payload(q.index), q.callFd);
    sendAcknowledged(VhostUserProtocol.SET_VRING_KICK, VhostUserProtocol.u64Payload(q.index), q.kickFd);
    sendAcknowledged(VhostUserProtocol.SET_VRING_ENABLE, VhostUserProtocol.vringStatePayload(q.index, 1));
    Linux.signalEventfd(q.kickFd);
  }

  private static ByteBuffer littleEndian(int bytes) {
    return ByteBuffer.allocate(bytes).order(ByteOrder.LITTLE_ENDIAN);
  }

  private record Reply(ByteBuffer payload, int fd) {}

  /** Sends a message that is acknowledged, and waits for the acknowledgement. */
  public void sendAcknowledged(int request, byte[] payload, int... fds) throws IOException {
    send(request, VhostUserProtocol.FLAG_NEED_REPLY, payload, fds);
    // Messages are acknowledged only once the protocol features are set.
    if (request != VhostUserProtocol.SET_PROTOCOL_FEATURES) {
      long result = receive().payload.getLong();
      if (result != 0) {
        throw new IOException("message " + request + " failed with result " + result);
      }
    } else {
      receive();
    }
  }

  /** Sends a message that has a reply of its own and returns the payload of the reply. */
  public ByteBuffer sendAndReceive(int request, byte[] payload) throws IOException {
    send(request, 0, payload);
    return receive().payload;
  }

  /** Sends a message without waiting for a reply. */
  public void send(int request, int flags, byte[] payload, int... fds) throws IOException {
    Linux.send(socket, VhostUserProtocol.encode(request, flags, payload), fds);
  }

  /** Sends raw bytes. */
  public void sendRaw(byte[] bytes, int... fds) throws IOException {
    Linux.send(socket, bytes, fds);
  }

  private Reply receive() throws IOException {
    com.sun.jna.Memory buffer = new com.sun.jna.Memory(1024);
    int received = 0;
    int fd = -1;
    int expected = VhostUserProtocol.HEADER_BYTES;
    while (received < expected) {
      Linux.Poll p = new Linux.Poll();
      p.add(socket);
      p.await(10_000);
      if (p.events(0) == 0) {
        throw new IOException("no reply within 10 s");
      }
      Linux.Received part = Linux.receive(socket, buffer, received, expected - received);
      if (part.bytes() == -1) {
        throw new IOException("the gateway closed the connection");
      }
      received += Math.max(0, part.bytes());
      fd = part.fds().length > 0 ? part.fds()[0] : fd;
      if (received == VhostUserProtocol.HEADER_BYTES && expected == VhostUserProtocol.HEADER_BYTES) {
        expected += buffer.getInt(8);
      }
    }
    return new Reply(ByteBuffer.wrap(buffer.getByteArray(VhostUserProtocol.HEADER_BYTES, expected
        - VhostUserProtocol.HEADER_BYTES))
        .order(ByteOrder.LITTLE_ENDIAN), fd);
  }

  public Queue queue(int i) {
    return queues[i];
  }

  /** Adds a request to a queue; the gateway sees it after the next {@link #kick}. Returns false if no slot is
   * free. For a write, {@code data} is copied from its position on. */
  public boolean submit(int queue, IoKind kind, long offset, int length, ByteBuffer data,
      CompletionListener listener) {
    Queue q = queues[queue];
    Integer slot = q.freeSlots.poll();
    if (slot == null) {
      return false;
    }
    q.out[slot] = listener;
    q.lengths[slot] = length;
    if (data != null) {
      q.data(slot).put(0, data, data.position(), length);
    }
    int type = switch (kind) {
      case READ -> 0;
      case WRITE -> 1;
      case FLUSH -> 4;
      case DISCARD -> 11;
      case WRITE_ZEROES -> 13;
    };
    int dataLength = length;
    if (kind == IoKind.DISCARD || kind == IoKind.WRITE_ZEROES) {
      q.data(slot).putLong(0, offset / 512).putInt(8, length / 512).putInt(12, 0);
      dataLength = 16;
      offset = 0;
    }
    postRequest(q, slot, type, offset / 512, kind == IoKind.FLUSH ? 0 : dataLength, kind == IoKind.READ);
    return true;
  }

  /** Adds a raw request of any type with {@code length} bytes of data to a slot. */
  public void postRequest(Queue q, int slot, int type, long sector, int length, boolean deviceWrites) {
    long slotBase = q.slotOffset(slot);
    ByteBuffer header = view(slotBase + INDIRECT_TABLE_BYTES, HEADER_BYTES + TAIL_BYTES);
    header.putInt(0, type).putInt(4, 0).putLong(8, sector).putLong(HEADER_BYTES, -1L);
    int first = options.indirect() ? slot : 3 * slot;
    ByteBuffer table = options.indirect() ? view(slotBase, INDIRECT_TABLE_BYTES) : q.descriptors;
    int descriptor = options.indirect() ? 0 : first;
    writeDescriptor(table, descriptor, GUEST_BASE + slotBase + INDIRECT_TABLE_BYTES, HEADER_BYTES, 1,
        descriptor
            + 1);
    int last = descriptor + 1;
    if (length > 0) {
      writeDescriptor(table, last, GUEST_BASE + slotBase + INDIRECT_TABLE_BYTES + HEADER_BYTES + TAIL_BYTES,
          length,
          deviceWrites
              ? 3
              : 1, last + 1);
      last++;
    }
    writeDescriptor(table, last, GUEST_BASE + slotBase + INDIRECT_TABLE_BYTES + HEADER_BYTES, options
        .refusedStatus()
            ? TAIL_BYTES
            : 1, 2, 0);
    if (options.indirect()) {
      writeDescriptor(q.descriptors, first, GUEST_BASE + slotBase, 16 * (last + 1), 4, 0);
    }
    makeAvailable(q, first);
  }

  /** Writes one descriptor. */
  public static void writeDescriptor(ByteBuffer table, int i, long address, int length, int flags, int next) {
    table.putLong(16 * i, address)
        .putInt(16 * i + 8, length)
        .putShort(16 * i + 12, (short) flags)
        .putShort(16 * i + 14, (short) next);
  }

  /** Adds a descriptor chain to the available ring. */
  public void makeAvailable(Queue q, int head) {
    q.avail.putShort(4 + 2 * (q.availIdx % options.queueSize()), (short) head);
    q.availIdx = q.availIdx + 1 & 0xffff;
    VarHandle.releaseFence();
    q.avail.putShort(2, (short) q.availIdx);
  }

  /** Notifies the gateway of new requests on the queues for which it asked to be notified. */
  public void kick() {
    for (Queue queue : queues) {
      if (queue.lastKickedIdx == queue.availIdx) {
        continue;
      }
      VarHandle.fullFence();
      boolean notify;
      if ((features & VhostUserProtocol.F_EVENT_IDX) != 0) {
        int eventIdx = Short.toUnsignedInt(queue.used.getShort(4 + 8 * options.queueSize()));
        notify = (queue.availIdx - eventIdx - 1 & 0xffff) < (queue.availIdx - queue.lastKickedIdx & 0xffff);
      } else {
        notify = (queue.used.getShort(0) & 1) == 0;
      }
      queue.lastKickedIdx = queue.availIdx;
      if (notify) {
        Linux.signalEventfd(queue.kickFd);
      }
    }
  }

  /** Processes the completions that have arrived and returns their number. */
  public int poll() {
    int completions = 0;
    for (Queue q : queues) {
      while (q.used.getShort(2) != (short) q.usedIdx) {
        VarHandle.acquireFence();
        int head = q.used.getInt(4 + 8 * (q.usedIdx % options.queueSize()));
        q.usedIdx = q.usedIdx + 1 & 0xffff;
        int slot = options.indirect() ? head : head / 3;
        ByteBuffer tail = view(q.slotOffset(slot) + INDIRECT_TABLE_BYTES + HEADER_BYTES, TAIL_BYTES);
        CompletionListener listener = q.out[slot];
        q.out[slot] = null;
        ByteBuffer data = q.data(slot);
        data.limit(q.lengths[slot]);
        int status = Byte.toUnsignedInt(tail.get(0));
        if (listener == null) {
          throw new IllegalStateException("descriptor head " + head + " completed twice");
        }
        listener.onComplete(status, options.refusedStatus() ? tail.getInt(4) : 0, data);
        q.freeSlots.add(slot);
        completions++;
      }
    }
    return completions;
  }

  /** Waits up to {@code ms} milliseconds for completions. Returns false if the gateway closed the
   * connection. */
  public boolean await(int ms) {
    poll.clear();
    boolean ready = false;
    for (Queue q : queues) {
      if ((features & VhostUserProtocol.F_EVENT_IDX) != 0) {
        q.avail.putShort(4 + 2 * options.queueSize(), (short) q.usedIdx);
      }
      VarHandle.fullFence();
      ready |= q.used.getShort(2) != (short) q.usedIdx;
      poll.add(q.callFd);
    }
    poll.add(socket);
    poll.await(ready ? 0 : ms);
    for (int i = 0; i < queues.length; i++) {
      if (poll.events(i) != 0) {
        Linux.drainEventfd(queues[i].callFd);
      }
    }
    return (poll.events(queues.length) & (Linux.POLLHUP | Linux.POLLERR)) == 0;
  }

  /** Number of outstanding requests on all queues. */
  public int inFlight() {
    int n = 0;
    for (Queue q : queues) {
      n += q.out();
    }
    return n;
  }

  /** Stops a queue and returns the index of the next entry of its available ring. */
  public int stopQueue(int queue) throws IOException {
    return sendAndReceive(VhostUserProtocol.GET_VRING_BASE, VhostUserProtocol.vringStatePayload(queue, 0))
        .getInt(4);
  }

  /** File descriptor by which a queue is kicked. */
  public int kickFd(int queue) {
    return queues[queue].kickFd;
  }

  /** File descriptor of the memory shared with the gateway. */
  public int memoryFd() {
    return memoryFd;
  }

  /** Closes the connection abruptly and keeps all memory, as a client does that vanishes. */
  public void detach() {
    if (socket >= 0) {
      Linux.closeAll(socket);
      for (Queue q : queues) {
        Linux.closeAll(q.kickFd, q.callFd);
      }
      socket = -1;
    }
  }

  @Override
  public void close() {
    detach();
    Linux.closeAll(memoryFd, inflightFd);
    mapping.unmap();
  }
}
