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

/** A small disk server on a loopback port that serves NBD to any client of that protocol, with exports
 * {@code shard-N} in memory, service times and faults. It is a stand-in: for tests, demos and
 * measurements. */
public final class DiskServer implements AutoCloseable {
  private static final int MAX_LENGTH = 32 << 20;

  /** What it is built from.
   *
   * @param name
   *          of the server
   * @param shardBytes
   *          size of each export, bytes
   * @param model
   *          its speed
   * @param seed
   *          of all that is drawn
   * @param initialAgeUs
   *          how long it claims to have run at its first start, us
   * @param supportsContexts
   *          whether it knows the contexts of ours
   * @param recordCommands
   *          whether it keeps its commands */
  public record Config(String name, long shardBytes, ServiceModel.Config model, long seed, long initialAgeUs,
      boolean supportsContexts, boolean recordCommands) {
    /** A server without service times that started long ago. */
    public static Config plain(String name, long shardBytes, boolean log) {
      return new Config(name, shardBytes, ServiceModel.Config.PLAIN, 1, 3_600_000_000L, true, log);
    }

    /** One with cores, a queue and a mean time a command. */
    public static Config timed(String name, long shardBytes, int cores, int queue, long baseUs, long seed) {
      return new Config(name, shardBytes, ServiceModel.timed(cores, queue, baseUs), seed, 3_600_000_000L,
          true, true);
    }
  }

  public final Faults faults = new Faults();
  private final Config config;
  private final Path directory;
  private final Map<String, Export> exports = new ConcurrentHashMap<>();
  private final ConcurrentLinkedQueue<Command> commandLog = new ConcurrentLinkedQueue<>();
  private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
  /** The newest fence of each client: what an older one killed, it kills too. */
  private final Map<String, Fence> newestFences = new HashMap<>();
  private final AtomicLong serials = new AtomicLong();
  private volatile Thread worker;
  private final PriorityQueue<Job> jobs = new PriorityQueue<>();
  private final SplittableRandom random;
  private final int port;
  /** Bound and never used: while the server is down no other socket is given its port, not even the far end
   * of a connection that a gateway tries to it. */
  private final Socket portReservation;
  private ServerSocket listener;
  private Thread acceptor;
  private ServiceModel model;
  private volatile boolean running;
  private volatile long bootCount;
  private volatile long startedAtUs;
  private volatile int queuedCount;

  /** Data of an export; what was written stays over restarts. */
  private final class Export {
    final String name;
    final ByteBuffer data;

    Export(String name, long size) {
      this.name = name;
      data = directory == null ? ByteBuffer.allocateDirect((int) size) : mapFile(name, size);
    }
  }

  /** An export kept in a file: it outlives the process. */
  private ByteBuffer mapFile(String name, long size) {
    if (!name.matches("[A-Za-z0-9._-]+")) {
      throw new IllegalArgumentException("export: '" + name + "' cannot be a file's name");
    }
    try (FileChannel c = FileChannel.open(directory.resolve(name), StandardOpenOption.CREATE,
        StandardOpenOption.READ, StandardOpenOption.WRITE)) {
      return c.map(FileChannel.MapMode.READ_WRITE, 0, size);
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  /** A command on its way. */
  private record Job(long doneAtUs, long order, Connection connection, long cookie, int kind, long offset,
      int length,
      byte[] payload, long receivedUs) implements Comparable<Job> {
    @Override
    public int compareTo(Job o) {
      return doneAtUs != o.doneAtUs ? Long.compare(doneAtUs, o.doneAtUs) : Long.compare(order, o.order);
    }
  }

  /** Starts on a free port of the loopback address. */
  public DiskServer(Config config) throws IOException {
    this(config, 0, null);
  }

  /** Starts on a port of the loopback address, 0: a free one; exports in files of {@code folder}, null: in
   * memory. */
  public DiskServer(Config config, int wanted, Path folder) throws IOException {
    this.directory = folder;
    this.config = config;
    this.random = new SplittableRandom(config.seed());
    startedAtUs = now() - config.initialAgeUs();
    portReservation = new Socket();
    portReservation.setReuseAddress(true);
    portReservation.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), wanted));
    port = portReservation.getLocalPort();
    listener = listen(port);
    start();
  }

  private static ServerSocket listen(int port) throws IOException {
    ServerSocket s = new ServerSocket();
    s.setReuseAddress(true);
    s.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 64);
    return s;
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
    long mine = bootCount;
    startDaemon("standin-work", () -> processJobs(mine));
  }

  private void startAccepting(ServerSocket from) {
    acceptor = startDaemon("standin-accept", () -> accept(from));
  }

  private Thread startDaemon(String name, Runnable task) {
    Thread t = new Thread(task, name + "-" + config.name());
    t.setDaemon(true);
    t.start();
    return t;
  }

  public InetSocketAddress address() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  public String name() {
    return config.name();
  }

  /** Commands so far, in the order in which they ended. */
  public List<Command> commands() {
    return new ArrayList<>(commandLog);
  }

  /** Bytes of an export, for comparison. */
  public byte[] read(String export, long offset, int length) {
    byte[] bytes = new byte[length];
    export(export).data.get((int) offset, bytes);
    return bytes;
  }

  /** Serves nothing for so long. */
  public void stall(long us) {
    synchronized (jobs) {
      model.stall(now() + us);
    }
  }

  /** Takes so many times the usual time. */
  public void slow(double factor) {
    synchronized (jobs) {
      model.slow(factor);
    }
  }

  /** Its network goes: connections are cut and none is taken; the process and what it knows live on. */
  public void disconnectNetwork() throws IOException {
    listener.close();
    connections.forEach(Connection::disconnect);
    try {
      acceptor.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Its network is back, on the same port. */
  public void reconnectNetwork() throws IOException {
    listener = listen(port);
    startAccepting(listener);
  }

  /** The process dies: connections are cut, what waits is lost. */
  public void kill() {
    running = false;
    try {
      listener.close();
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
    connections.forEach(Connection::disconnect);
    try {
      // The kernel keeps a listening socket as long as a thread waits in it, and its port with it.
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

  /** Comes up again, cold, on the same port, with the data that it had. */
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

  private void accept(ServerSocket from) {
    while (running) {
      try {
        Socket s = from.accept();
        s.setTcpNoDelay(true);
        Connection c = new Connection(s);
        connections.add(c);
        startDaemon("standin-conn", c::run);
      } catch (IOException e) {
        return;
      }
    }
  }

  private void processJobs(long mine) {
    worker = Thread.currentThread();
    while (running && bootCount == mine) {
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
        // Not by waiting on the monitor, which rounds up to the next millisecond.
        LockSupport.parkNanos(jobs, wait * 1_000);
      } else {
        finish(job);
      }
    }
  }

  /** A command has come in whole: turned away, swallowed, done at once or put in turn. */
  private void onCommand(Connection c, long cookie, int kind, long offset, int length, byte[] payload) {
    long now = now();
    Job job = new Job(now, 0, c, cookie, kind, offset, length, payload, now);
    if (faults.silent) {
      recordResult(job, 0, 0, Command.Result.SWALLOWED);
    } else if (faults.draining || faults.full) {
      reject(job);
    } else if (model.hasNoDelays() && !(faults.lateWriteUs > 0 && kind == Nbd.CMD_WRITE)) {
      finish(job);
    } else {
      enqueue(job, now);
    }
  }

  private void enqueue(Job job, long now) {
    long at;
    synchronized (jobs) {
      at = model.doneAt(now, job.length, queuedCount, faults.heavyPart, faults.heavyFactor);
      if (at >= 0) {
        at += job.kind == Nbd.CMD_WRITE ? faults.lateWriteUs : 0;
        jobs.add(new Job(at, serials.incrementAndGet(), job.connection, job.cookie, job.kind, job.offset,
            job.length, job.payload, job.receivedUs));
        queuedCount++;
        LockSupport.unpark(worker);
      }
    }
    if (at < 0) {
      reject(job);
    }
  }

  private void reject(Job job) {
    recordResult(job, 0, 0, Command.Result.FULL);
    job.connection.sendError(job.cookie, faults.draining ? Nbd.ESHUTDOWN : Nbd.ENOMEM, faults.draining
        ? ""
        : Nbd.MESSAGE_FULL);
  }

  private void finish(Job job) {
    double chance;
    synchronized (random) {
      chance = random.nextDouble();
    }
    if (chance < faults.errors) {
      recordResult(job, 0, 0, Command.Result.ERROR);
      job.connection.sendError(job.cookie, Nbd.EIO, "");
      return;
    }
    long done;
    byte[] data;
    // Under the fences' monitor: a fence that stands means that nothing older has an effect after it.
    synchronized (newestFences) {
      Fence newest = job.connection.fence == null ? null : newestFences.get(job.connection.fence.client());
      if (newest != null && newest.kills(job.connection.fence)) {
        recordResult(job, 0, 0, Command.Result.FENCED);
        job.connection.sendError(job.cookie, Nbd.EPERM, Nbd.MESSAGE_FENCED);
        return;
      }
      data = apply(job);
      done = now();
    }
    boolean lost = chance < faults.errors + faults.loseAnswers;
    recordResult(job, done, config.recordCommands() ? crc(data != null ? data : job.payload) : 0, lost
        ? Command.Result.DONE_SILENTLY
        : Command.Result.DONE);
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

  private void recordResult(Job job, long done, long checksum, Command.Result result) {
    if (config.recordCommands()) {
      Fence f = job.connection.fence;
      commandLog.add(new Command(config.name(), bootCount, f == null
          ? ""
          : f.client() + "/" + f.holder().epoch(),
          job.connection.serial,
          job.cookie, job.connection.export.name, job.kind, job.offset, job.length, job.receivedUs, done,
          checksum,
          result));
    }
  }

  /** Who holds a client's name here. */
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

  /** One client's connection: negotiation, then commands. */
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
        // Cut is what was wanted.
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
        // The peer is gone or was cut off; its queued commands go on, as those of a real server may.
        connections.remove(this);
      } finally {
        connections.remove(this);
        disconnect();
      }
    }

    private boolean negotiate() throws IOException {
      ByteBuffer hello = ByteBuffer.allocate(18)
          .putLong(Nbd.MAGIC)
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
        if (length < 0 || length > Nbd.MOST_OPTION) {
          return false;
        }
        byte[] data = in.readNBytes(length);
        if (option == Nbd.OPT_EXPORT_NAME) {
          export = export(new String(data, StandardCharsets.UTF_8));
          ByteBuffer b = ByteBuffer.allocate((flags & Nbd.FLAG_NO_ZEROES) != 0 ? 10 : 134);
          send(b.putLong(config.shardBytes()).putShort(flags()).array());
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

    private boolean handleOption(int option, ByteBuffer d) throws IOException {
      switch (option) {
        case Nbd.OPT_STRUCTURED_REPLY -> { structured = true; reply(option, Nbd.REP_ACK, new byte[0]); }
        case Nbd.OPT_LIST -> {
          for (String name : exports.keySet()) {
            byte[] n = name.getBytes(StandardCharsets.UTF_8);
            reply(option, Nbd.REP_SERVER, ByteBuffer.allocate(4 + n.length).putInt(n.length).put(n).array());
          }
          reply(option, Nbd.REP_ACK, new byte[0]);
        }
        case Nbd.OPT_SET_META_CONTEXT, Nbd.OPT_LIST_META_CONTEXT -> metaContexts(option, d);
        case Nbd.OPT_INFO, Nbd.OPT_GO -> {
          String name = readText(d);
          if (name == null) {
            reply(option, Nbd.REP_ERR_INVALID, new byte[0]);
            return false;
          }
          Export m = export(name);
          reply(option, Nbd.REP_INFO, ByteBuffer.allocate(12)
              .putShort((short) Nbd.INFO_EXPORT)
              .putLong(config.shardBytes())
              .putShort(flags())
              .array());
          reply(option, Nbd.REP_ACK, new byte[0]);
          if (option == Nbd.OPT_GO) {
            export = m;
            return true;
          }
        }
        default -> reply(option, Nbd.REP_ERR_UNSUP, new byte[0]);
      }
      return false;
    }

    /** Sets contexts, or, without an effect, lists them. */
    private void metaContexts(int option, ByteBuffer d) throws IOException {
      boolean sets = option == Nbd.OPT_SET_META_CONTEXT;
      if (sets) {
        metaContexts.clear();
      }
      String export = readText(d);
      if (export == null || d.remaining() < 4) {
        reply(option, Nbd.REP_ERR_INVALID, new byte[0]);
        return;
      }
      int queries = d.getInt();
      for (int i = 0; i < queries && d.hasRemaining(); i++) {
        String query = readText(d);
        Fence f = query == null || !config.supportsContexts() ? null : Fence.parse(query);
        if (f != null && sets) {
          synchronized (newestFences) {
            fence = f;
            newestFences.merge(f.client(), f, Fence::orNewer);
          }
          addMetaContext(option, 2, query);
        } else if (config.supportsContexts() && Nbd.CONTEXT_LOAD.equals(query)) {
          addMetaContext(option, 1, query);
        } else if (config.supportsContexts() && query != null && query.startsWith(Nbd.CONTEXT_EPOCH)) {
          addMetaContext(option, 3, Fence.answer(query.substring(Nbd.CONTEXT_EPOCH.length()), nodeView(query
              .substring(
                  Nbd.CONTEXT_EPOCH.length()))));
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

    private String readText(ByteBuffer d) {
      if (d.remaining() < 4) {
        return null;
      }
      int n = d.getInt();
      if (n < 0 || n > d.remaining()) {
        return null;
      }
      byte[] bytes = new byte[n];
      d.get(bytes);
      return new String(bytes, StandardCharsets.UTF_8);
    }

    private void reply(int option, int type, byte[] data) throws IOException {
      send(ByteBuffer.allocate(20 + data.length)
          .putLong(Nbd.OPTION_REPLY)
          .putInt(option)
          .putInt(type)
          .putInt(data.length)
          .put(data)
          .array());
    }

    private void serveCommands() throws IOException {
      flush();
      while (true) {
        if (in.readInt() != Nbd.REQUEST) {
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
        ByteBuffer b = ByteBuffer.allocate(20 + 4 + 8 * values.length);
        b.putInt(Nbd.STRUCTURED_REPLY)
            .putShort((short) (id == last ? Nbd.CHUNK_DONE : 0))
            .putShort((short) Nbd.CHUNK_BLOCK_STATUS)
            .putLong(cookie)
            .putInt(4 + 8 * values.length)
            .putInt(id);
        for (long v : values) {
          b.putInt(Nbd.LOAD_STEP).putInt((int) v);
        }
        send(b.array());
      }
      flush();
    }

    void sendError(long cookie, int error, String message) {
      byte[] m = message.getBytes(StandardCharsets.UTF_8);
      ByteBuffer b;
      if (structured) {
        b = ByteBuffer.allocate(26 + m.length)
            .putInt(Nbd.STRUCTURED_REPLY)
            .putShort((short) Nbd.CHUNK_DONE)
            .putShort((short) Nbd.CHUNK_ERROR)
            .putLong(cookie)
            .putInt(6 + m.length)
            .putInt(error)
            .putShort((short) m.length)
            .put(m);
      } else {
        b = ByteBuffer.allocate(16).putInt(Nbd.SIMPLE_REPLY).putInt(error).putLong(cookie);
      }
      sendOrDisconnect(b.array());
    }

    void sendReply(Job job, byte[] data, boolean reset) {
      byte[] reply = reply(job, data);
      int half = faults.truncatedReplyBytes;
      if (half > 0 && data != null) {
        faults.truncatedReplyBytes = 0;
        sendOrDisconnect(java.util.Arrays.copyOf(reply, half));
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
      Faults.ProtocolViolation malice = faults.protocolViolation;
      long cookie = malice == Faults.ProtocolViolation.UNKNOWN_COOKIE ? ~job.cookie : job.cookie;
      int n = data == null ? 0 : data.length;
      int claimed = malice == Faults.ProtocolViolation.OVERSIZE ? n + 512 : n;
      if (!structured) {
        return ByteBuffer.allocate(16 + n)
            .putInt(Nbd.SIMPLE_REPLY)
            .putInt(0)
            .putLong(cookie)
            .put(data == null ? new byte[0] : data)
            .array();
      }
      int magic = malice == Faults.ProtocolViolation.BAD_MAGIC ? 0x12345678 : Nbd.STRUCTURED_REPLY;
      ByteBuffer b = ByteBuffer.allocate(20 + (data == null ? 0 : 8 + claimed));
      b.putInt(magic)
          .putShort((short) Nbd.CHUNK_DONE)
          .putShort((short) (data == null ? Nbd.CHUNK_NONE : Nbd.CHUNK_DATA))
          .putLong(cookie)
          .putInt(data == null ? 0 : 8 + claimed);
      if (data != null) {
        b.putLong(malice == Faults.ProtocolViolation.WRONG_OFFSET ? job.offset + 1 : job.offset).put(data);
      }
      return b.array();
    }

    /** Sends from any thread; a peer that is gone needs nothing. */
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
