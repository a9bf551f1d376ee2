package hollyslip.standin;

import hollyslip.node.Fence;
import hollyslip.node.Nbd;
import hollyslip.recovery.EpochElection.Holder;
import hollyslip.recovery.EpochElection.NodeView;
import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.zip.CRC32;

/** A small NBD disk server on a loopback port, with exports {@code shard-N} in memory or in files, simulated
 * service times and faults. It stands in for a real disk server in tests, demos and benchmarks. */
public final class StandInDiskServer implements AutoCloseable {
  private static final int MAX_LENGTH = 32 << 20;

  /** Parameters of the server.
   *
   * @param name
   *          name of the server
   * @param shardBytes
   *          size of each export, bytes
   * @param model
   *          model of its service times
   * @param seed
   *          seed of the random values
   * @param initialAgeUs
   *          uptime that it reports at its first start, us
   * @param supportsContexts
   *          whether it supports the hollyslip metadata contexts
   * @param recordCommands
   *          whether it records its commands */
  public record Config(String name, long shardBytes, ServiceModel.Config model, long seed, long initialAgeUs,
      boolean supportsContexts, boolean recordCommands) {
    /** A server without service times that started long ago. */
    public static Config plain(String name, long shardBytes, boolean log) {
      return new Config(name, shardBytes, ServiceModel.Config.PLAIN, 1, 3_600_000_000L, true, log);
    }

    /** A server with cores, a queue and a mean service time per command. */
    public static Config timed(String name, long shardBytes, int cores, int queue, long baseUs, long seed) {
      return new Config(name, shardBytes, ServiceModel.timed(cores, queue, baseUs), seed, 3_600_000_000L,
          true, true);
    }
  }

  public final Faults faults = new Faults();
  private final Config config;
  private final Path directory;
  private final Map<String, Export> exports = new ConcurrentHashMap<>();
  private final ConcurrentLinkedQueue<CommandRecord> commandLog = new ConcurrentLinkedQueue<>();
  private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
  /** The newest fence of each client; it supersedes everything that an older one superseded. */
  private final Map<String, Fence> newestFences = new HashMap<>();
  private final AtomicLong serials = new AtomicLong();
  private volatile Thread worker;
  private final PriorityQueue<Job> jobs = new PriorityQueue<>();
  private final SplittableRandom random;
  private final int port;
  /** Reserves the port; it is bound but never used. Without it, another socket could be given the port while
   * the server is down, even the local end of a connection that a gateway attempts to it. */
  private final Socket portReservation;
  private ServerSocket listener;
  private Thread acceptor;
  private ServiceModel model;
  private volatile boolean running;
  private volatile long bootCount;
  private volatile long startedAtUs;
  private volatile int queuedCount;

  /** An export; its data survives restarts of the server. */
  private final class Export {
    final String name;
    final ByteBuffer data;

    Export(String name, long size) {
      this.name = name;
      data = directory == null ? ByteBuffer.allocateDirect((int) size) : mapFile(name, size);
    }
  }

  /** Maps the file of an export, so that its data outlives the process. */
  private ByteBuffer mapFile(String name, long size) {
    if (!name.matches("[A-Za-z0-9._-]+")) {
      throw new IllegalArgumentException("export: '" + name + "' is not a valid file name");
    }
    try (FileChannel channel = FileChannel.open(directory.resolve(name), StandardOpenOption.CREATE,
        StandardOpenOption.READ, StandardOpenOption.WRITE)) {
      return channel.map(FileChannel.MapMode.READ_WRITE, 0, size);
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  /** A command in the queue. */
  private record Job(long doneAtUs, long order, Connection connection, long cookie, int kind, long offset,
      int length,
      byte[] payload, long receivedUs) implements Comparable<Job> {
    @Override
    public int compareTo(Job o) {
      return doneAtUs != o.doneAtUs ? Long.compare(doneAtUs, o.doneAtUs) : Long.compare(order, o.order);
    }
  }

  /** Starts on a free port of the loopback address. */
  public StandInDiskServer(Config config) throws IOException {
    this(config, 0, null);
  }

  /** Starts on a port of the loopback address (0: any free port), with exports in files of {@code directory}
   * (null: in memory). */
  public StandInDiskServer(Config config, int requestedPort, Path directory) throws IOException {
    this.directory = directory;
    this.config = config;
    this.random = new SplittableRandom(config.seed());
    startedAtUs = now() - config.initialAgeUs();
    portReservation = new Socket();
    portReservation.setReuseAddress(true);
    portReservation.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), requestedPort));
    port = portReservation.getLocalPort();
    listener = listen(port);
    start();
  }

  private static ServerSocket listen(int port) throws IOException {
    ServerSocket socket = new ServerSocket();
    socket.setReuseAddress(true);
    socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 64);
    return socket;
  }

  private static long now() {
    return System.nanoTime() / 1_000;
  }

  private void start() {
    bootCount++;
    running = true;
    synchronized (jobs) {
      model = new ServiceModel(config.model(), config.seed() + bootCount, startedAtUs);
    }
    startAccepting(listener);
    long currentBoot = bootCount;
    startDaemon("standin-work", () -> processJobs(currentBoot));
  }

  private void startAccepting(ServerSocket socket) {
    acceptor = startDaemon("standin-accept", () -> accept(socket));
  }

  private Thread startDaemon(String name, Runnable task) {
    Thread thread = new Thread(task, name + "-" + config.name());
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  public InetSocketAddress address() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  public String name() {
    return config.name();
  }

  /** Returns the recorded commands, in the order in which they ended. */
  public List<CommandRecord> commands() {
    return new ArrayList<>(commandLog);
  }

  /** Returns bytes of an export, for comparison. */
  public byte[] read(String export, long offset, int length) {
    byte[] bytes = new byte[length];
    export(export).data.get((int) offset, bytes);
    return bytes;
  }

  /** Serves nothing for the given time. */
  public void stall(long us) {
    synchronized (jobs) {
      model.stallUntil(now() + us);
    }
  }

  /** Multiplies all service times by a factor. */
  public void slow(double factor) {
    synchronized (jobs) {
      model.slow(factor);
    }
  }

  /** Simulates a network failure: closes all connections and accepts none. The process and its state live
   * on. */
  public void disconnectNetwork() throws IOException {
    listener.close();
    connections.forEach(Connection::disconnect);
    try {
      acceptor.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Ends a network failure; listens on the same port. */
  public void reconnectNetwork() throws IOException {
    listener = listen(port);
    startAccepting(listener);
  }

  /** Simulates the death of the process: closes all connections and drops queued commands. */
  public void kill() {
    running = false;
    try {
      listener.close();
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
    connections.forEach(Connection::disconnect);
    try {
      // The kernel keeps a listening socket, and its port, as long as a thread is blocked in it.
      acceptor.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    synchronized (jobs) {
      jobs.clear();
      queuedCount = 0;
      LockSupport.unpark(worker);
    }
  }

  /** Restarts the server, cold, on the same port and with its data. */
  public void restart() throws IOException {
    if (running) {
      kill();
    }
    startedAtUs = now();
    synchronized (newestFences) {
      newestFences.clear();
    }
    listener = listen(port);
    start();
  }

  @Override
  public void close() {
    if (running) {
      kill();
    }
    try {
      portReservation.close();
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  private Export export(String export) {
    return exports.computeIfAbsent(export, k -> new Export(k, config.shardBytes()));
  }

  private void accept(ServerSocket listener) {
    while (running) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        Connection connection = new Connection(socket);
        connections.add(connection);
        startDaemon("standin-conn", connection::run);
      } catch (IOException e) {
        return;
      }
    }
  }

  private void processJobs(long boot) {
    worker = Thread.currentThread();
    while (running && bootCount == boot) {
      Job job;
      long wait;
      synchronized (jobs) {
        job = jobs.peek();
        wait = job == null ? 100_000 : job.doneAtUs - now();
        if (wait <= 0) {
          jobs.poll();
          queuedCount--;
        }
      }
      if (wait > 0) {
        // Parks rather than waiting on the monitor, which rounds up to the next millisecond.
        LockSupport.parkNanos(jobs, wait * 1_000);
      } else {
        finish(job);
      }
    }
  }

  /** Handles a complete command: ignores, refuses, executes or queues it. */
  private void onCommand(Connection connection, long cookie, int kind, long offset, int length,
      byte[] payload) {
    long now = now();
    Job job = new Job(now, 0, connection, cookie, kind, offset, length, payload, now);
    if (faults.silent) {
      recordResult(job, 0, 0, CommandRecord.Result.SWALLOWED);
    } else if (faults.draining || faults.full) {
      reject(job);
    } else if (model.hasNoDelays() && !(faults.writeDelayUs > 0 && kind == Nbd.CMD_WRITE)) {
      finish(job);
    } else {
      enqueue(job, now);
    }
  }

  private void enqueue(Job job, long now) {
    long doneAtUs;
    synchronized (jobs) {
      doneAtUs = model.completionTime(now, job.length, queuedCount, faults.slowCommandRate,
          faults.slowCommandFactor);
      if (doneAtUs >= 0) {
        doneAtUs += job.kind == Nbd.CMD_WRITE ? faults.writeDelayUs : 0;
        jobs.add(new Job(doneAtUs, serials.incrementAndGet(), job.connection, job.cookie, job.kind,
            job.offset, job.length, job.payload, job.receivedUs));
        queuedCount++;
        LockSupport.unpark(worker);
      }
    }
    if (doneAtUs < 0) {
      reject(job);
    }
  }

  private void reject(Job job) {
    recordResult(job, 0, 0, CommandRecord.Result.FULL);
    job.connection.sendError(job.cookie, faults.draining ? Nbd.ESHUTDOWN : Nbd.ENOMEM, faults.draining
        ? ""
        : Nbd.MESSAGE_FULL);
  }

  private void finish(Job job) {
    double chance;
    synchronized (random) {
      chance = random.nextDouble();
    }
    if (chance < faults.errorRate) {
      recordResult(job, 0, 0, CommandRecord.Result.ERROR);
      job.connection.sendError(job.cookie, Nbd.EIO, "");
      return;
    }
    long doneUs;
    byte[] data;
    // Under the monitor of the fences: once a fence is in place, no older command may take effect.
    synchronized (newestFences) {
      Fence newest = job.connection.fence == null ? null : newestFences.get(job.connection.fence.client());
      if (newest != null && newest.invalidates(job.connection.fence)) {
        recordResult(job, 0, 0, CommandRecord.Result.FENCED);
        job.connection.sendError(job.cookie, Nbd.EPERM, Nbd.MESSAGE_FENCED);
        return;
      }
      data = apply(job);
      doneUs = now();
    }
    boolean lost = chance < faults.errorRate + faults.lostResponseRate;
    recordResult(job, doneUs, config.recordCommands() ? crc(data != null ? data : job.payload) : 0, lost
        ? CommandRecord.Result.DONE_SILENTLY
        : CommandRecord.Result.DONE);
    if (!lost) {
      job.connection.sendReply(job, data, chance >= 1 - faults.resetRate);
    }
  }

  private byte[] apply(Job job) {
    ByteBuffer data = job.connection.export.data;
    switch (job.kind) {
      case Nbd.CMD_READ -> {
        byte[] bytes = new byte[job.length];
        data.get((int) job.offset, bytes);
        return bytes;
      }
      case Nbd.CMD_WRITE -> data.put((int) job.offset, job.payload);
      case Nbd.CMD_TRIM, Nbd.CMD_WRITE_ZEROES -> data.put((int) job.offset, new byte[job.length]);
      default -> {}
    }
    return null;
  }

  private static long crc(byte[] bytes) {
    CRC32 crc = new CRC32();
    if (bytes != null) {
      crc.update(bytes);
    }
    return crc.getValue();
  }

  private void recordResult(Job job, long doneUs, long checksum, CommandRecord.Result result) {
    if (config.recordCommands()) {
      Fence fence = job.connection.fence;
      commandLog.add(new CommandRecord(config.name(), bootCount, fence == null
          ? ""
          : fence.client() + "/" + fence.holder().epoch(),
          job.connection.serial,
          job.cookie, job.connection.export.name, job.kind, job.offset, job.length, job.receivedUs, doneUs,
          checksum,
          result));
    }
  }

  /** Returns the holder of a client's name at this server. */
  private NodeView nodeView(String client) {
    synchronized (newestFences) {
      Fence newest = newestFences.get(client);
      if (newest == null) {
        return new NodeView(Holder.NONE, 0);
      }
      long open = connections.stream()
          .filter(c -> c.fence != null && c.fence.client().equals(client) && c.fence.holder()
              .equals(newest.holder()))
          .count();
      return new NodeView(newest.holder(), (int) open);
    }
  }

  /** The connection of one client: negotiation, then commands. */
  private final class Connection {
    private final Socket socket;
    private final DataInputStream in;
    private final OutputStream out;
    private final long serial = serials.incrementAndGet();
    private final Map<Integer, String> metaContexts = new HashMap<>();
    private boolean structured;
    private volatile Thread reader;
    private Export export;
    private volatile Fence fence;

    Connection(Socket socket) throws IOException {
      this.socket = socket;
      in = new DataInputStream(new BufferedInputStream(socket.getInputStream(), 1 << 16));
      out = new java.io.BufferedOutputStream(socket.getOutputStream(), 1 << 16);
    }

    void disconnect() {
      try {
        socket.close();
      } catch (IOException e) {
        // Closing was the purpose.
        connections.remove(this);
      }
    }

    void run() {
      reader = Thread.currentThread();
      try {
        if (negotiate()) {
          serveCommands();
        }
      } catch (IOException e) {
        // The connection is closed; its queued commands are still executed, as a real server may do.
        connections.remove(this);
      } finally {
        connections.remove(this);
        disconnect();
      }
    }

    private boolean negotiate() throws IOException {
      ByteBuffer hello = ByteBuffer.allocate(18)
          .putLong(Nbd.INIT_MAGIC)
          .putLong(Nbd.IHAVEOPT)
          .putShort((short) (Nbd.FLAG_FIXED_NEWSTYLE | Nbd.FLAG_NO_ZEROES));
      send(hello.array());
      int flags = in.readInt();
      while (true) {
        if (in.readLong() != Nbd.IHAVEOPT) {
          return false;
        }
        int option = in.readInt();
        int length = in.readInt();
        if (length < 0 || length > Nbd.MAX_OPTION_BYTES) {
          return false;
        }
        byte[] data = in.readNBytes(length);
        if (option == Nbd.OPT_EXPORT_NAME) {
          export = export(new String(data, StandardCharsets.UTF_8));
          ByteBuffer reply = ByteBuffer.allocate((flags & Nbd.FLAG_NO_ZEROES) != 0 ? 10 : 134);
          send(reply.putLong(config.shardBytes()).putShort(flags()).array());
          return true;
        }
        if (option == Nbd.OPT_ABORT) {
          reply(option, Nbd.REP_ACK, new byte[0]);
          return false;
        }
        if (handleOption(option, ByteBuffer.wrap(data))) {
          return true;
        }
      }
    }

    private short flags() {
      return (short) (Nbd.HAS_FLAGS | Nbd.SEND_FLUSH | Nbd.SEND_TRIM | Nbd.SEND_WRITE_ZEROES
          | Nbd.CAN_MULTI_CONN);
    }

    private boolean handleOption(int option, ByteBuffer data) throws IOException {
      switch (option) {
        case Nbd.OPT_STRUCTURED_REPLY -> { structured = true; reply(option, Nbd.REP_ACK, new byte[0]); }
        case Nbd.OPT_LIST -> {
          for (String name : exports.keySet()) {
            byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
            reply(option, Nbd.REP_SERVER, ByteBuffer.allocate(4 + bytes.length)
                .putInt(bytes.length)
                .put(bytes)
                .array());
          }
          reply(option, Nbd.REP_ACK, new byte[0]);
        }
        case Nbd.OPT_SET_META_CONTEXT, Nbd.OPT_LIST_META_CONTEXT -> metaContexts(option, data);
        case Nbd.OPT_INFO, Nbd.OPT_GO -> {
          String name = readText(data);
          if (name == null) {
            reply(option, Nbd.REP_ERR_INVALID, new byte[0]);
            return false;
          }
          Export requested = export(name);
          reply(option, Nbd.REP_INFO, ByteBuffer.allocate(12)
              .putShort((short) Nbd.INFO_EXPORT)
              .putLong(config.shardBytes())
              .putShort(flags())
              .array());
          reply(option, Nbd.REP_ACK, new byte[0]);
          if (option == Nbd.OPT_GO) {
            export = requested;
            return true;
          }
        }
        default -> reply(option, Nbd.REP_ERR_UNSUP, new byte[0]);
      }
      return false;
    }

    /** Sets or only lists metadata contexts. */
    private void metaContexts(int option, ByteBuffer data) throws IOException {
      boolean setting = option == Nbd.OPT_SET_META_CONTEXT;
      if (setting) {
        metaContexts.clear();
      }
      String export = readText(data);
      if (export == null || data.remaining() < 4) {
        reply(option, Nbd.REP_ERR_INVALID, new byte[0]);
        return;
      }
      int queries = data.getInt();
      for (int i = 0; i < queries && data.hasRemaining(); i++) {
        String query = readText(data);
        Fence requestedFence = query == null || !config.supportsContexts() ? null : Fence.parse(query);
        if (requestedFence != null && setting) {
          synchronized (newestFences) {
            fence = requestedFence;
            newestFences.merge(requestedFence.client(), requestedFence, Fence::newerOf);
          }
          addMetaContext(option, 2, query);
        } else if (config.supportsContexts() && Nbd.CONTEXT_LOAD.equals(query)) {
          addMetaContext(option, 1, query);
        } else if (config.supportsContexts() && query != null && query.startsWith(Nbd.CONTEXT_EPOCH)) {
          addMetaContext(option, 3, Fence.holderReplyName(query.substring(Nbd.CONTEXT_EPOCH.length()),
              nodeView(query.substring(Nbd.CONTEXT_EPOCH.length()))));
        }
      }
      reply(option, Nbd.REP_ACK, new byte[0]);
    }

    private void addMetaContext(int option, int id, String name) throws IOException {
      if (option == Nbd.OPT_SET_META_CONTEXT) {
        metaContexts.put(id, name);
      }
      byte[] bytes = name.getBytes(StandardCharsets.US_ASCII);
      reply(option, Nbd.REP_META_CONTEXT, ByteBuffer.allocate(4 + bytes.length)
          .putInt(id)
          .put(bytes)
          .array());
    }

    private String readText(ByteBuffer data) {
      if (data.remaining() < 4) {
        return null;
      }
      int length = data.getInt();
      if (length < 0 || length > data.remaining()) {
        return null;
      }
      byte[] bytes = new byte[length];
      data.get(bytes);
      return new String(bytes, StandardCharsets.UTF_8);
    }

    private void reply(int option, int type, byte[] data) throws IOException {
      send(ByteBuffer.allocate(20 + data.length)
          .putLong(Nbd.OPTION_REPLY_MAGIC)
          .putInt(option)
          .putInt(type)
          .putInt(data.length)
          .put(data)
          .array());
    }

    private void serveCommands() throws IOException {
      flush();
      while (true) {
        if (in.readInt() != Nbd.REQUEST_MAGIC) {
          return;
        }
        in.readUnsignedShort();
        int kind = in.readUnsignedShort();
        long cookie = in.readLong();
        long offset = in.readLong();
        int length = in.readInt();
        if (kind == Nbd.CMD_DISC) {
          return;
        }
        boolean bounded = length >= 0 && (length <= MAX_LENGTH || kind == Nbd.CMD_TRIM
            || kind == Nbd.CMD_WRITE_ZEROES);
        if (!bounded && kind == Nbd.CMD_WRITE) {
          return;
        }
        byte[] payload = kind == Nbd.CMD_WRITE ? in.readNBytes(length) : null;
        if (payload != null && payload.length < length) {
          return;
        }
        if (kind == Nbd.CMD_BLOCK_STATUS) {
          sendBlockStatus(cookie, offset);
        } else if (!bounded || kind > Nbd.CMD_WRITE_ZEROES || offset < 0 || offset > config.shardBytes()
            - length) {
          sendError(cookie, Nbd.EINVAL, "");
        } else {
          onCommand(this, cookie, kind, offset, length, payload);
        }
        if (in.available() == 0) {
          flush();
        }
      }
    }

    private void sendBlockStatus(long cookie, long offset) throws IOException {
      if (metaContexts.isEmpty()) {
        sendError(cookie, Nbd.EINVAL, "");
        return;
      }
      Integer last = metaContexts.keySet().stream().max(Integer::compare).orElseThrow();
      for (int id : new java.util.TreeSet<>(metaContexts.keySet())) {
        long[] values = id == 1
            ? new long[]{config.seed() * 31 + bootCount, Math.min(0xffffffffL, (now() - startedAtUs) / 1_000),
                queuedCount,
                queuedCount, config.model().baseUs()}
            : new long[]{0};
        ByteBuffer chunk = ByteBuffer.allocate(20 + 4 + 8 * values.length);
        chunk.putInt(Nbd.STRUCTURED_REPLY_MAGIC)
            .putShort((short) (id == last ? Nbd.CHUNK_FLAG_DONE : 0))
            .putShort((short) Nbd.CHUNK_BLOCK_STATUS)
            .putLong(cookie)
            .putInt(4 + 8 * values.length)
            .putInt(id);
        for (long value : values) {
          chunk.putInt(Nbd.LOAD_BLOCK_BYTES).putInt((int) value);
        }
        send(chunk.array());
      }
      flush();
    }

    void sendError(long cookie, int error, String message) {
      byte[] text = message.getBytes(StandardCharsets.UTF_8);
      ByteBuffer reply;
      if (structured) {
        reply = ByteBuffer.allocate(26 + text.length)
            .putInt(Nbd.STRUCTURED_REPLY_MAGIC)
            .putShort((short) Nbd.CHUNK_FLAG_DONE)
            .putShort((short) Nbd.CHUNK_ERROR)
            .putLong(cookie)
            .putInt(6 + text.length)
            .putInt(error)
            .putShort((short) text.length)
            .put(text);
      } else {
        reply = ByteBuffer.allocate(16).putInt(Nbd.SIMPLE_REPLY_MAGIC).putInt(error).putLong(cookie);
      }
      sendOrDisconnect(reply.array());
    }

    void sendReply(Job job, byte[] data, boolean reset) {
      byte[] reply = reply(job, data);
      int truncated = faults.truncatedReplyBytes;
      if (truncated > 0 && data != null) {
        faults.truncatedReplyBytes = 0;
        sendOrDisconnect(java.util.Arrays.copyOf(reply, truncated));
      } else if (reset) {
        sendOrDisconnect(java.util.Arrays.copyOf(reply, reply.length / 2));
        disconnect();
      } else {
        sendOrDisconnect(reply);
        if (faults.protocolViolation == Faults.ProtocolViolation.TWICE) {
          sendOrDisconnect(reply);
        }
      }
    }

    private byte[] reply(Job job, byte[] data) {
      Faults.ProtocolViolation violation = faults.protocolViolation;
      long cookie = violation == Faults.ProtocolViolation.UNKNOWN_COOKIE ? ~job.cookie : job.cookie;
      int length = data == null ? 0 : data.length;
      int claimed = violation == Faults.ProtocolViolation.OVERSIZE ? length + 512 : length;
      if (!structured) {
        return ByteBuffer.allocate(16 + length)
            .putInt(Nbd.SIMPLE_REPLY_MAGIC)
            .putInt(0)
            .putLong(cookie)
            .put(data == null ? new byte[0] : data)
            .array();
      }
      int magic = violation == Faults.ProtocolViolation.BAD_MAGIC ? 0x12345678 : Nbd.STRUCTURED_REPLY_MAGIC;
      ByteBuffer chunk = ByteBuffer.allocate(20 + (data == null ? 0 : 8 + claimed));
      chunk.putInt(magic)
          .putShort((short) Nbd.CHUNK_FLAG_DONE)
          .putShort((short) (data == null ? Nbd.CHUNK_NONE : Nbd.CHUNK_DATA))
          .putLong(cookie)
          .putInt(data == null ? 0 : 8 + claimed);
      if (data != null) {
        chunk.putLong(violation == Faults.ProtocolViolation.WRONG_OFFSET ? job.offset + 1 : job.offset)
            .put(data);
      }
      return chunk.array();
    }

    /** Sends from any thread; on failure, closes the connection. */
    private void sendOrDisconnect(byte[] bytes) {
      try {
        send(bytes);
        if (Thread.currentThread() != reader) {
          flush();
        }
      } catch (IOException e) {
        disconnect();
      }
    }

    private synchronized void send(byte[] bytes) throws IOException {
      out.write(bytes);
      if (export == null) {
        out.flush();
      }
    }

    private synchronized void flush() throws IOException {
      out.flush();
    }
  }
}
